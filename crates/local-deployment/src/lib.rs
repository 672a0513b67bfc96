//! Whole local deployments of pimentoflow in one process: a stand-in platform, backend servers, leaves and entries.
//!
//! The leaves and entries run the code of `pimento-leaf` and `pimento-entry` over loopback sockets. The system chooses
//! the ports, so several deployments can run at the same time.

#![forbid(unsafe_code)]

pub mod client;
pub mod deployment;
pub mod document;
pub mod relay;
