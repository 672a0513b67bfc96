//! Invariant checks on answers. They share no code with the library that determines coverage or merges hits.

use std::collections::HashMap;

use pimentoflow::request::query::Answer;
use pimentoflow::version::keys::KEY_SPACE;
use pimentoflow::version::keys::KeyRange;
use pimentoflow::wire::proto::Hit;
use pimentoflow::wire::proto::PartResult;
use pimentoflow::wire::proto::part_result::Outcome;

/// Distance between the keys of neighbouring documents, which gives each service 1024 documents.
const KEY_SPACING: u64 = KEY_SPACE / 1024;

/// Key and score of a document. Names are formatted only for returned documents, since a run generates hundreds of
/// thousands.
#[derive(Debug, Clone, Copy)]
pub struct RankedDocument {
    service: u32,
    key: u64,
    score: f64,
}

impl RankedDocument {
    /// Returns the hit of this document in a snapshot. Its name contains the snapshot, so that the check finds answers
    /// with mixed snapshots.
    #[must_use]
    pub fn hit(self, snapshot: u64) -> Hit {
        Hit {
            key: self.key,
            document: format!("{}.{}.{snapshot}", self.service, self.key),
            score: self.score,
        }
    }
}

/// Returns the documents of a service with keys in a range.
pub fn documents(service: u32, range: KeyRange) -> impl Iterator<Item = RankedDocument> {
    let first = range.start.div_ceil(KEY_SPACING);
    let keys = (first..)
        .map(|number| number * KEY_SPACING)
        .take_while(move |key| *key < range.end);
    keys.map(move |key| RankedDocument {
        service,
        key,
        score: score(service, key),
    })
}

/// Keeps the `limit` documents with the highest scores, in descending order.
pub fn keep_best(documents: &mut Vec<RankedDocument>, limit: usize) {
    let by_score = |a: &RankedDocument, b: &RankedDocument| b.score.total_cmp(&a.score);
    if limit < documents.len() {
        documents.select_nth_unstable_by(limit, by_score);
        documents.truncate(limit);
    }
    documents.sort_unstable_by(by_score);
}

/// Returns a score that differs for each document and does not follow the order of the keys.
fn score(service: u32, key: u64) -> f64 {
    let number = key / KEY_SPACING + u64::from(service) * 1024;
    (number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 11) as f64
}

/// Checks each answer against the results that were delivered to the entry.
#[derive(Debug, Default)]
pub struct Audit {
    /// Number of violations so far.
    pub violations: u64,
    /// Number of searches that have arrived.
    pub arrivals: u32,
    delivered: HashMap<u64, Vec<Delivery>>,
}

#[derive(Debug, Clone, Copy)]
struct Delivery {
    service: u32,
    snapshot: u64,
    start: u64,
    end: u64,
}

impl Audit {
    /// Records a result that reached the entry.
    pub fn on_delivered(&mut self, service: u32, result: &PartResult) {
        let Some(Outcome::Hits(hits)) = &result.outcome else {
            return;
        };
        let Some(range) = hits.range.filter(|_| !hits.truncated) else {
            return;
        };
        self.delivered.entry(result.correlation).or_default().push(Delivery {
            service,
            snapshot: hits.snapshot,
            start: range.start,
            end: range.end,
        });
    }

    /// Checks that an answer covers only ranges delivered for its snapshot, and that its hits are exactly the best
    /// documents of the ranges reported as covered.
    pub fn check(&mut self, correlation: u64, answer: &Answer, limit: u32) {
        let delivered = self.delivered.remove(&correlation).unwrap_or_default();
        let mut expected = Vec::new();
        for (number, service) in answer.coverage.services.iter().enumerate() {
            let number = number as u32;
            let missing = service.missing.iter().map(|entry| (entry.range.start, entry.range.end));
            let covered = complement(missing.collect());
            let of_service = delivered.iter().filter(|delivery| delivery.service == number);
            let usable = of_service.filter(|delivery| delivery.snapshot == answer.snapshot);
            let known = complement(usable.map(|delivery| (delivery.start, delivery.end)).collect());
            self.violations += u64::from(overlaps(&covered, &known));
            let keys: u64 = covered.iter().map(|(start, end)| end - start).sum();
            self.violations += u64::from(keys != service.covered);
            for (start, end) in covered {
                expected.extend(documents(number, KeyRange { start, end }));
            }
        }
        keep_best(&mut expected, limit as usize);
        let expected = expected.into_iter().map(|document| document.hit(answer.snapshot));
        let got = answer.hits.iter().map(|merged| merged.hit.clone());
        self.violations += u64::from(!got.eq(expected));
    }
}

/// Returns the ranges of the key space that are not in `ranges`.
fn complement(mut ranges: Vec<(u64, u64)>) -> Vec<(u64, u64)> {
    ranges.sort_unstable();
    let mut left = Vec::new();
    let mut at = 0;
    for (start, end) in ranges {
        if start > at {
            left.push((at, start));
        }
        at = at.max(end);
    }
    if at < KEY_SPACE {
        left.push((at, KEY_SPACE));
    }
    left
}

/// Returns whether two sorted lists of ranges have a key in common.
fn overlaps(a: &[(u64, u64)], b: &[(u64, u64)]) -> bool {
    let (mut i, mut j) = (0, 0);
    while i < a.len() && j < b.len() {
        if a[i].0.max(b[j].0) < a[i].1.min(b[j].1) {
            return true;
        }
        if a[i].1 < b[j].1 {
            i += 1;
        } else {
            j += 1;
        }
    }
    false
}
