//! Deterministic hits, which depend only on the corpus, the range, the snapshot and the query.
//!
//! A test computes the expected answer with [`hits`] and compares it with the answer of the tier. The hits of a range
//! are the union of the hits of its parts, so a shard that is split keeps its documents.

use serde::Deserialize;
use serde::Serialize;

use crate::searcher::KeyRange;

/// Keys per block. Each block holds at most one matching document, so a query computes one hash per block.
const BLOCK_KEYS: u64 = 1 << 20;

/// A query matches a document in one of this many blocks on average.
const MATCH_ONE_IN: u64 = 4;

/// Document that matches a query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// Key of the document.
    pub key: u64,
    /// Name of the document, made of the corpus and the key.
    pub document: Box<str>,
    /// Score in `0.0..1.0`; it differs between snapshots.
    pub score: f64,
}

/// Returns the `limit` hits with the highest scores in descending order.
#[must_use]
pub fn hits(corpus: &str, range: KeyRange, snapshot: u64, query: &str, limit: usize) -> Vec<Hit> {
    let first = range.start / BLOCK_KEYS;
    let last = range.end.div_ceil(BLOCK_KEYS);
    let seed = hash_text(hash_text(0, corpus), query);
    let mut found: Vec<Hit> = (first..last)
        .filter_map(|block| hit_in_block(corpus, seed, block, snapshot))
        .filter(|hit| range.start <= hit.key && hit.key < range.end)
        .collect();
    found.sort_by(|a, b| b.score.total_cmp(&a.score).then(a.key.cmp(&b.key)));
    found.truncate(limit);
    found
}

fn hit_in_block(corpus: &str, seed: u64, block: u64, snapshot: u64) -> Option<Hit> {
    let hash = mix(seed ^ mix(block));
    if !hash.is_multiple_of(MATCH_ONE_IN) {
        return None;
    }
    let key = block * BLOCK_KEYS + (hash >> 32) % BLOCK_KEYS;
    let score = fraction(mix(hash ^ mix(snapshot)));
    let document = format!("{corpus}-{key}").into();
    Some(Hit { key, document, score })
}

/// Returns a uniformly distributed number in `0.0..1.0` that depends only on the seed, the purpose and the id.
pub(crate) fn uniform(seed: u64, purpose: &str, id: &str) -> f64 {
    fraction(hash_text(hash_text(mix(seed), purpose), id))
}

fn fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

fn hash_text(seed: u64, text: &str) -> u64 {
    text.bytes().fold(mix(seed), |hash, byte| mix(hash ^ u64::from(byte)))
}

/// Finalizer of SplitMix64, which maps neighbouring inputs to unrelated 64-bit values.
const fn mix(input: u64) -> u64 {
    let a = input.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let b = (a ^ (a >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let c = (b ^ (b >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    c ^ (c >> 31)
}
