//! Checks the invariants of `docs/design.md` on histories of concurrent requests under injected faults.
//!
//! [`driver`] runs a complete local deployment and records a [`history`] of requests, backend server work and faults.
//! [`check`] verifies the invariants on that history without I/O. See `docs/design/history-checks.md`.

#![forbid(unsafe_code)]

pub mod check;
pub mod driver;
pub mod finding;
pub mod history;
