//! Content digests and the transport digest.
//!
//! `docs/design/configuration-digests.md` explains why there is one digest of the whole content and another of only the
//! fields that affect connections.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use sha2::Digest as _;
use sha2::Sha256;

use crate::ids::Digest;
use crate::version::units::UnitError;
use crate::version::yaml;

/// Domain separator of the transport digest. It must change with the encoding, so that digests of different encodings
/// are never equal.
const TRANSPORT_DOMAIN: &[u8] = b"pimento-transport-1\0";

/// Returns the SHA-256 digest of the bytes of a root or a part.
#[must_use]
pub fn sha256(bytes: &[u8]) -> Digest {
    Sha256::digest(bytes).into()
}

/// Returns the first 8 bytes of a digest as a number.
#[must_use]
pub const fn leading_number(digest: &Digest) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = *digest;
    u64::from_be_bytes([a, b, c, d, e, f, g, h])
}

/// Returns the digest of the fields that affect connections to a searcher.
///
/// Connections are reopened only when this digest changes.
#[must_use]
pub fn transport(address: SocketAddr, slots: u32, connections: u32, connect_cost: Duration) -> Digest {
    let mut hash = Sha256::new();
    hash.update(TRANSPORT_DOMAIN);
    hash.update(address.to_string());
    hash.update([0]);
    hash.update(slots.to_be_bytes());
    hash.update(connections.to_be_bytes());
    hash.update(connect_cost.as_nanos().to_be_bytes());
    hash.finalize().into()
}

/// Digest that is displayed and parsed as 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HexDigest(pub Digest);

impl fmt::Display for HexDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for HexDigest {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        parse_hex(text).map(Self).ok_or_else(|| UnitError {
            value: text.into(),
            expected: "a SHA-256 digest",
            remedy: "write 64 hexadecimal digits; `pimento-check seal DIR` fills them in",
        })
    }
}

impl Serialize for HexDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for HexDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        yaml::parse_text(deserializer)
    }
}

fn parse_hex(text: &str) -> Option<Digest> {
    let bytes = text.as_bytes();
    let mut digest = Digest::default();
    if bytes.len() != 2 * digest.len() {
        return None;
    }
    for (pair, byte) in bytes.chunks_exact(2).zip(&mut digest) {
        *byte = 16 * hex_value(pair[0])? + hex_value(pair[1])?;
    }
    Some(digest)
}

const fn hex_value(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        b'A'..=b'F' => Some(digit - b'A' + 10),
        _ => None,
    }
}
