//! Generated documents: a root that lists the digests of its parts, one on each line.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use pimentoflow::ids::Digest;
use pimentoflow::process::dissemination::Document;
use pimentoflow::process::dissemination::DocumentKey;
use pimentoflow::process::dissemination::Outline;
use rand::Rng;
use rand::RngCore;
use rand::rngs::SmallRng;
use sha2::Digest as _;
use sha2::Sha256;

use crate::scenarios::fleet::driver::FleetConfig;

/// Marker in the root of a document that validation rejects.
const INVALID: &str = "invalid";

/// Published document with its expected validity.
#[derive(Debug, Clone)]
pub struct Publication {
    /// The document.
    pub document: Arc<Document>,
    /// Whether validation accepts the document.
    pub valid: bool,
}

/// Generates a document of `revision` that differs from `previous` in one random part.
///
/// Without a previous document all parts are new.
pub fn make_publication(
    revision: u64,
    previous: Option<&Document>,
    config: &FleetConfig,
    valid: bool,
    rng: &mut SmallRng,
) -> Publication {
    let size = config.part_bytes;
    let mut bodies: Vec<Bytes> = match previous {
        Some(previous) => previous.parts.values().cloned().collect(),
        None => (0..config.parts).map(|_| random_part(size, rng)).collect(),
    };
    if previous.is_some() && !bodies.is_empty() {
        let changed_ix = rng.random_range(0..bodies.len());
        bodies[changed_ix] = edit_part(&bodies[changed_ix], config.edit_bytes, rng);
    }
    let parts: IndexMap<Digest, Bytes> = bodies.into_iter().map(|body| (digest_of(&body), body)).collect();
    let mut root = format!("revision {revision} {}\n", if valid { "valid" } else { INVALID });
    for digest in parts.keys() {
        for byte in digest {
            root.push_str(&format!("{byte:02x}"));
        }
        root.push('\n');
    }
    let root = Bytes::from(root);
    let key = DocumentKey {
        revision,
        root: digest_of(&root),
    };
    let document = Arc::new(Document { key, root, parts });
    Publication { document, valid }
}

/// Parses the revision and the digests of the parts from a root.
///
/// # Errors
///
/// Returns an error if the root is not UTF-8, has no revision or lists a malformed digest.
pub fn outline(root: &[u8]) -> Result<Outline, Box<str>> {
    let text = std::str::from_utf8(root).map_err(|error| error.to_string())?;
    let mut lines = text.lines();
    let head = lines.next().unwrap_or_default();
    let revision = head.split(' ').nth(1).and_then(|word| word.parse().ok());
    let revision = revision.ok_or("the root has no revision")?;
    let parts = lines.map(parse_digest).collect::<Option<Vec<Digest>>>();
    let parts = parts.ok_or("the root has a malformed digest")?;
    Ok(Outline { revision, parts })
}

/// Stands in for the validation of the library: rejects documents that are marked as invalid.
///
/// # Errors
///
/// Returns an error if the root has the marker.
pub fn validate(document: &Document) -> Result<(), Box<str>> {
    let head = document.root.split(|byte| *byte == b'\n').next().unwrap_or_default();
    if head.ends_with(INVALID.as_bytes()) {
        return Err("the document is marked as invalid".into());
    }
    Ok(())
}

pub fn digest_of(bytes: &[u8]) -> Digest {
    Sha256::digest(bytes).into()
}

/// Replaces `length` random bytes of a part by `length + 1` others, which shifts the bytes that follow.
fn edit_part(body: &Bytes, length: usize, rng: &mut SmallRng) -> Bytes {
    if length == 0 || length >= body.len() {
        return random_part(body.len(), rng);
    }
    let start = rng.random_range(0..body.len() - length);
    let mut edited = body[..start].to_vec();
    edited.extend_from_slice(&random_part(length + 1, rng));
    edited.extend_from_slice(&body[start + length..]);
    edited.into()
}

fn random_part(size: usize, rng: &mut SmallRng) -> Bytes {
    let mut body = vec![0; size];
    rng.fill_bytes(&mut body);
    body.into()
}

fn parse_digest(line: &str) -> Option<Digest> {
    let mut digest = [0; 32];
    for (ix, byte) in digest.iter_mut().enumerate() {
        let pair = line.get(2 * ix..2 * ix + 2)?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(digest)
}
