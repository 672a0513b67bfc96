//! State and decisions that live for a connection, or for the set of connections to one searcher.

pub mod backend;
pub mod body;
pub mod lane;
pub mod limit;
pub mod pool;
pub mod queue;
pub mod read_limit;
pub mod session;
pub mod share;
pub mod upstream;
