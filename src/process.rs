//! State and decisions that live as long as the process.

pub mod admin;
pub mod admission;
pub mod budget;
pub mod dissemination;
pub mod document_files;
pub mod drain;
pub mod entry;
pub mod fleet;
pub mod holdings;
pub mod http;
pub mod leaf;
pub mod log;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod ownership;
pub mod peers;
pub mod platform;
pub mod program;
pub mod replicas;
pub mod settings;
pub mod stop;
pub mod tickets;
pub mod timer;
