//! Text encoding of tickets, in which callers store them.
//!
//! The text is opaque to callers. Its checksum detects corruption and truncation, not forgery: a leaf never
//! dispatches a ticket that it did not issue.

use prost::Message;
use sha2::Digest;
use sha2::Sha256;

use crate::error::ErrorKind;
use crate::error::RequestError;
use crate::wire::proto::Ticket;

/// Prefix that identifies a ticket and the version of its encoding.
const PREFIX: &str = "pt1-";

/// Number of SHA-256 bytes appended as checksum. Corruption goes undetected with a probability of 2^-32.
const CHECKSUM_BYTES: usize = 4;

/// Maximum length of a text that is decoded, in bytes. Real tickets have about 150; the limit bounds the work on
/// malformed ones.
pub const MAX_TEXT_BYTES: usize = 1024;

/// Encodes a ticket as text that consists of letters, digits and `-`.
#[must_use]
pub fn encode(ticket: &Ticket) -> String {
    let mut bytes = ticket.encode_to_vec();
    let checksum = checksum(&bytes);
    bytes.extend_from_slice(&checksum);
    let mut text = String::from(PREFIX);
    for byte in bytes {
        text.push(encode_digit(byte >> 4));
        text.push(encode_digit(byte & 15));
    }
    text
}

/// Decodes a ticket from the text that [`encode`] returned.
///
/// # Errors
///
/// Returns [`ErrorKind::BadRequest`] if the text is malformed, its checksum is wrong or its version is unknown.
pub fn decode(text: &str) -> Result<Ticket, RequestError> {
    decode_checked(text).ok_or_else(|| {
        let message = "malformed ticket; send the ticket of the 428 reply unchanged";
        RequestError::new(ErrorKind::BadRequest, message)
    })
}

fn decode_checked(text: &str) -> Option<Ticket> {
    if text.len() > MAX_TEXT_BYTES {
        return None;
    }
    let digits = text.strip_prefix(PREFIX)?.as_bytes();
    let pairs = digits.chunks(2);
    let bytes: Option<Vec<u8>> = pairs.map(decode_byte).collect();
    let bytes = bytes?;
    let (body, found) = bytes.split_at_checked(bytes.len().checked_sub(CHECKSUM_BYTES)?)?;
    if found != checksum(body) {
        return None;
    }
    let ticket = Ticket::decode(body).ok()?;
    (!ticket.instance.is_empty() && !ticket.searcher.is_empty()).then_some(ticket)
}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let digest = Sha256::digest(bytes);
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&digest[..CHECKSUM_BYTES]);
    checksum
}

fn encode_digit(value: u8) -> char {
    char::from_digit(u32::from(value), 16).unwrap_or('0')
}

fn decode_byte(pair: &[u8]) -> Option<u8> {
    let [high, low] = pair else {
        return None;
    };
    Some(decode_digit(*high)? << 4 | decode_digit(*low)?)
}

/// Decodes a hexadecimal digit. Uppercase digits are rejected, so that each ticket has exactly one encoding.
const fn decode_digit(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}
