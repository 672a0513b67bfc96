//! Stand-ins for the external systems that pimentoflow uses: a platform and backend servers, as specified in
//! `docs/protocols.md`.
//!
//! They share no code with the system under test. Each records what it did, so that checks of invariants do not depend
//! on what the tier reports about itself. The stand-ins listen on loopback ports and run within a test process or as
//! the program `pimento-standin`.

#![forbid(unsafe_code)]

pub mod platform;
pub mod searcher;
pub mod searcher_list;

mod http1;
