//! Times that backend servers state for themselves in their answers.
//!
//! Load pattern: a server with too much work asks each instance to stay away for a while. See "What servers say of
//! themselves" in `docs/design/worst-load.md`.

use std::time::Duration;

/// Longest time for which a server is left alone at its own word. A greater value is taken for a mistake of the server,
/// which would otherwise stay unused for ever.
pub const RETRY_AFTER_MAX: Duration = Duration::from_secs(300);

/// Reads the time for which a server wants no requests: seconds, whole or with a fraction. Returns `None` for anything
/// else (a date, a negative value, no number) and for zero, which asks for nothing.
#[must_use]
pub fn parse_retry_after(text: &str) -> Option<Duration> {
    let text = text.trim();
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_decimal)?;
    let time = Duration::from_secs_f64(seconds.min(RETRY_AFTER_MAX.as_secs_f64()));
    (!time.is_zero()).then_some(time)
}
