//! Connections to backend servers and peers: pools, queues, concurrency limits and framed sessions.

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
