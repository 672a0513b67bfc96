//! Merge of the hits of all parts into the top hits of the answer.

use std::cmp::Ordering;

use crate::wire::proto::Hit;

/// Size at which the buffer is compacted, as a multiple of the limit. A greater factor sorts less often but uses more
/// memory.
const BUFFER_FACTOR: usize = 8;

/// Minimum buffer size before compaction, so that small limits do not sort on every reply.
const BUFFER_MIN: usize = 1024;

/// Hit of an answer and the service it belongs to.
#[derive(Debug, Clone, PartialEq)]
pub struct MergedHit {
    /// Position of the service in the plan.
    pub service: u32,
    /// Hit as returned by the backend server.
    pub hit: Hit,
}

/// Collects hits and keeps the best ones.
///
/// Each document counts once, with its best score. Hits are ordered by descending score, then by service, key and
/// document, so the result does not depend on the order of replies.
#[derive(Debug)]
pub struct HitMerger {
    limit: usize,
    hits: Vec<MergedHit>,
}

impl HitMerger {
    /// Creates an empty merger that keeps the best `limit` hits.
    #[must_use]
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            hits: Vec::new(),
        }
    }

    /// Adds one hit. Hits with a NaN score are dropped, since they cannot be ranked.
    pub fn push(&mut self, service: u32, hit: Hit) {
        if hit.score.is_nan() {
            return;
        }
        self.hits.push(MergedHit { service, hit });
        if self.hits.len() >= BUFFER_MIN.max(self.limit * BUFFER_FACTOR) {
            self.compact();
        }
    }

    /// Removes all hits.
    pub fn clear(&mut self) {
        self.hits.clear();
    }

    /// Returns the best hits in order and leaves the merger empty.
    #[must_use]
    pub fn finish(&mut self) -> Vec<MergedHit> {
        self.compact();
        std::mem::take(&mut self.hits)
    }

    fn compact(&mut self) {
        self.hits.sort_unstable_by(by_document);
        self.hits.dedup_by(|later, kept| same_document(later, kept));
        if self.hits.len() > self.limit && self.limit > 0 {
            self.hits.select_nth_unstable_by(self.limit - 1, by_rank);
        }
        self.hits.truncate(self.limit);
        self.hits.sort_unstable_by(by_rank);
    }
}

fn by_rank(a: &MergedHit, b: &MergedHit) -> Ordering {
    b.hit
        .score
        .total_cmp(&a.hit.score)
        .then_with(|| identity(a).cmp(&identity(b)))
}

/// Groups copies of a document, best score first, so that deduplication keeps the best copy.
fn by_document(a: &MergedHit, b: &MergedHit) -> Ordering {
    identity(a)
        .cmp(&identity(b))
        .then_with(|| b.hit.score.total_cmp(&a.hit.score))
}

fn same_document(a: &MergedHit, b: &MergedHit) -> bool {
    identity(a) == identity(b)
}

/// Returns what identifies a document. The key alone is not enough, since two documents may hash to the same key.
fn identity(hit: &MergedHit) -> (u32, u64, &str) {
    (hit.service, hit.hit.key, &hit.hit.document)
}
