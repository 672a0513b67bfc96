//! Query tier over many shards.
//!
//! The tier fans a search out over the shards of an index, merges the results, reports how much of the index the answer
//! covers, and returns within the caller's deadline. `docs/design.md` describes the architecture. The modules are
//! grouped by the lifetime of their state:
//!
//! * [`request`]: one search or submission,
//! * [`connection`]: the connections to one backend server or peer,
//! * [`version`]: one version of the configuration,
//! * [`process`]: the whole process.
//!
//! Decision logic does no I/O. Its inputs are messages, observations, the current time and a seeded random number
//! generator.

#![forbid(unsafe_code)]

pub mod commands;
pub mod connection;
pub mod error;
pub mod ids;
pub mod process;
pub mod request;
pub mod version;
pub mod wire;
