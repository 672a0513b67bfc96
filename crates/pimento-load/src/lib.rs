//! Deterministic simulations of the state machines of pimentoflow.
//!
//! Each scenario drives state machines of the library against fakes of the network, the platform and the backend
//! servers, on a virtual clock. The same seed gives the same report, byte for byte.

#![forbid(unsafe_code)]

pub mod events;
pub mod experiment;
pub mod report;
pub mod scenarios;
