//! Stand-ins for the outside systems of pimentoflow: a platform and backend servers, as in `docs/protocols.md`.
//!
//! They share no code with the system under test. Each keeps its own record of what it did, so that checks of
//! invariants do not rest on what the tier says about itself. Everything runs in-process on loopback ports, and as the
//! program `pimento-standin`.

#![forbid(unsafe_code)]

pub mod platform;
pub mod searcher;
pub mod searcher_list;

mod http1;
