//! Parser for the Retry-After time in responses of backend servers.
//!
//! An overloaded server uses it to ask each instance for a pause in its requests. See "What servers say of themselves"
//! in `docs/design/worst-load.md`.

use std::time::Duration;

/// Upper bound on a Retry-After time. Larger values are assumed to be mistakes, which would otherwise keep the server
/// out of use indefinitely.
pub const RETRY_AFTER_MAX: Duration = Duration::from_secs(300);

/// Parses a Retry-After value in seconds, with or without a fraction, capped at [`RETRY_AFTER_MAX`]. Returns `None`
/// for zero and for anything that is not an unsigned decimal number, such as a date.
#[must_use]
pub fn parse_retry_after(text: &str) -> Option<Duration> {
    let seconds = super::parse_decimal(text)?;
    let time = Duration::from_secs_f64(seconds.min(RETRY_AFTER_MAX.as_secs_f64()));
    (!time.is_zero()).then_some(time)
}
