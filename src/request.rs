//! Per-request state machines of the entry and the gateway, and the types they share.

pub mod coverage;
pub mod fanout;
pub mod fingerprint;
pub mod merge;
pub mod plan;
pub mod query;
pub mod records;
pub mod submission;
pub mod ticket;
