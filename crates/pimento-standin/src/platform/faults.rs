//! Fault switches of the platform.

use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

/// Fault switches. Changes take effect at once; the default is no fault.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay of the answer to each call, in milliseconds.
    pub delay_ms: u64,
    /// Delay until a publication becomes visible, in milliseconds.
    pub lag_ms: u64,
    /// Hides every publication that became visible after the switch was set.
    pub stale: bool,
    /// Answers every call with 503.
    pub down: bool,
    /// Accepts connections and calls without answering them.
    pub silent: bool,
    /// Calls per second of all clients together; further calls are answered with 429.
    pub limit: Option<u32>,
    /// Data centres whose connections are closed.
    pub cut_off: IndexSet<Box<str>>,
}
