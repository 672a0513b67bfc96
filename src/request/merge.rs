//! Merge of the hits of all parts into the best ones.

use std::cmp::Ordering;

use crate::wire::proto::Hit;

/// Hits that are kept beyond the limit before the buffer is reduced, as a multiple of the limit. A greater multiple
/// sorts less often and holds more memory.
const BUFFER_FACTOR: usize = 8;

/// Smallest size of the buffer, so that small limits do not sort for every reply.
const BUFFER_MIN: usize = 1024;

/// Hit of an answer, with the service that it belongs to.
#[derive(Debug, Clone, PartialEq)]
pub struct MergedHit {
    /// Position of the service in the plan.
    pub service: u32,
    /// The hit.
    pub hit: Hit,
}

/// Keeps the best hits. A document counts once with its best score. The order is by score, then by service, key and
/// document, so that the result does not depend on the order of replies.
#[derive(Debug)]
pub struct HitMerger {
    limit: usize,
    hits: Vec<MergedHit>,
}

impl HitMerger {
    /// Makes an empty merge that keeps `limit` hits.
    #[must_use]
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            hits: Vec::new(),
        }
    }

    /// Adds one hit. A hit whose score is not a number is dropped, since it has no rank.
    pub fn push(&mut self, service: u32, hit: Hit) {
        if hit.score.is_nan() {
            return;
        }
        self.hits.push(MergedHit { service, hit });
        if self.hits.len() >= BUFFER_MIN.max(self.limit * BUFFER_FACTOR) {
            self.compact();
        }
    }

    /// Forgets all hits.
    pub fn clear(&mut self) {
        self.hits.clear();
    }

    /// Returns the best hits in order and leaves the merge empty.
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

/// Orders copies of a document by falling score, so that the first of them is the one to keep.
fn by_document(a: &MergedHit, b: &MergedHit) -> Ordering {
    identity(a)
        .cmp(&identity(b))
        .then_with(|| b.hit.score.total_cmp(&a.hit.score))
}

fn same_document(a: &MergedHit, b: &MergedHit) -> bool {
    identity(a) == identity(b)
}

/// The key alone does not identify a document, since two documents may hash to one key.
fn identity(hit: &MergedHit) -> (u32, u64, &str) {
    (hit.service, hit.hit.key, &hit.hit.document)
}
