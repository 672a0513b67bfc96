//! State and decisions that live for one request.

pub mod coverage;
pub mod fanout;
pub mod merge;
pub mod plan;
pub mod query;
pub mod records;
pub mod submission;
pub mod ticket;
