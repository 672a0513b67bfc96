//! Rate limits that backend servers name in their responses.
//!
//! A server in need names the requests per second that it accepts from all instances together, in every response for as
//! long as the limit applies. See "What servers say of themselves" in `docs/design/worst-load.md`.

/// Requests per second.
pub type RequestRate = f64;

/// Statement of a response about the rate limit of its server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitNotice {
    /// The server accepts this rate from all instances together.
    Limited(RequestRate),
    /// The server names no limit.
    Unlimited,
}

impl LimitNotice {
    /// Returns the limit, if there is one.
    #[must_use]
    pub const fn rate(self) -> Option<RequestRate> {
        match self {
            Self::Limited(rate) => Some(rate),
            Self::Unlimited => None,
        }
    }
}

/// Parses a limit in requests per second, with or without a fraction. Returns `None` for anything that is not an
/// unsigned decimal number.
#[must_use]
pub fn parse_rate(text: &str) -> Option<RequestRate> {
    super::parse_decimal(text)
}
