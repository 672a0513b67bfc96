//! Parsing of YAML documents and settings, with resource limits.

use std::fmt::Display;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::DeserializeOwned;
use serde::de::Error;
use serde_saphyr::Budget;
use serde_saphyr::Options;
use serde_saphyr::Spanned;

use crate::version::finding::Finding;
use crate::version::finding::Position;

/// Maximum nesting depth of a file. Documents need 8; the limit prevents a malicious file from overflowing the stack.
const MAX_DEPTH: usize = 32;

/// Parses the contents of a file. `path` is the path of the returned finding.
///
/// # Errors
///
/// Returns a finding if the bytes are not UTF-8 or not YAML, or if a key is unknown, missing or of the wrong type. The
/// finding has a position if the parser reports one.
pub fn parse<T: DeserializeOwned>(path: &str, bytes: &[u8]) -> Result<T, Finding> {
    let text = std::str::from_utf8(bytes)
        .map_err(|error| Finding::new(path, format!("the file is not UTF-8: {error}"), "save it as UTF-8 text"))?;
    serde_saphyr::from_str_with_options(text, options()).map_err(|error| to_finding(path, &error))
}

fn options() -> Options {
    let budget = Budget {
        max_depth: MAX_DEPTH,
        ..Budget::default()
    };
    Options {
        budget: Some(budget),
        strict_booleans: true,
        with_snippet: false,
        ..Options::default()
    }
}

/// Deserializes a string and parses it with [`FromStr`].
///
/// The YAML parser does not add a position to errors of `FromStr`, so this function puts it in front of the message,
/// and [`parse`] moves it to the finding.
pub(crate) fn parse_text<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: FromStr<Err: Display>,
    D: Deserializer<'de>,
{
    let text = Spanned::<String>::deserialize(deserializer)?;
    text.value.parse().map_err(|error| {
        let position = Position {
            line: text.referenced.line(),
            column: text.referenced.column(),
        };
        D::Error::custom(format!("{position}: {error}"))
    })
}

fn to_finding(path: &str, error: &serde_saphyr::Error) -> Finding {
    let message = match error.without_snippet() {
        serde_saphyr::Error::Message { msg, .. } => msg.clone(),
        other => without_position(&other.to_string()),
    };
    let (position, message) = match message.split_once(": ").map(|(prefix, rest)| (prefix.parse(), rest)) {
        Some((Ok(position), rest)) => (Some(position), rest.into()),
        _ => (error_position(error), message),
    };
    let message = if is_key_error(&message) {
        format!("in the mapping that begins here: {message}")
    } else {
        message
    };
    let remedy = "correct the file; docs/configuration.md lists every key";
    Finding::new(path, message, remedy).with_position(position)
}

/// Removes the position from a message of the parser, since the finding holds it in a field of its own.
fn without_position(text: &str) -> String {
    let message = text.rsplit_once(" at line ").map_or(text, |(message, _)| message);
    message.to_owned()
}

/// Returns whether the error is about an unknown or missing key. For these, the parser reports the position of the
/// mapping instead of the key.
fn is_key_error(message: &str) -> bool {
    message.starts_with("unknown field") || message.starts_with("missing field")
}

fn error_position(error: &serde_saphyr::Error) -> Option<Position> {
    error.location().map(|location| Position {
        line: location.line(),
        column: location.column(),
    })
}
