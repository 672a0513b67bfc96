//! Rules for searches: all hits come from one snapshot, the stated coverage matches the hits, and each answer belongs
//! to its request.

use pimento_standin::searcher::KeyRange;
use pimento_standin::searcher::hits;
use pimentoflow::process::entry::api::HitAnswer;
use pimentoflow::process::entry::api::MissingRange;
use pimentoflow::process::entry::api::SearchAnswer;

use crate::finding::Finding;
use crate::history::Corpus;
use crate::history::History;
use crate::history::Operation;
use crate::history::Outcome;
use crate::history::Request;

/// Largest difference at which two scores or fractions are equal. JSON does not preserve the last bits.
const TOLERANCE: f64 = 1e-9;

/// Search that was answered.
struct AnsweredSearch<'a> {
    history: &'a History,
    operation: &'a Operation,
    services: &'a [Box<str>],
    query: &'a str,
    limit: usize,
    answer: &'a SearchAnswer,
}

pub(super) fn check(history: &History, findings: &mut Vec<Finding>) {
    for operation in &history.operations {
        check_request_id(operation, findings);
        let (Request::Search { services, query, limit }, Outcome::Found(status, answer)) =
            (&operation.request, &operation.outcome)
        else {
            continue;
        };
        let answered = AnsweredSearch {
            history,
            operation,
            services,
            query,
            limit: *limit,
            answer,
        };
        answered.check_coverage(*status, findings);
        answered.check_hits(findings);
    }
}

fn check_request_id(operation: &Operation, findings: &mut Vec<Finding>) {
    let is_search = matches!(operation.request, Request::Search { .. });
    let (answered, same_kind) = match &operation.outcome {
        Outcome::Found(_, answer) => (&answer.request_id, is_search),
        Outcome::Executed(answer) => (&answer.request_id, !is_search),
        Outcome::Refused(_, error) => (&error.request_id, true),
        Outcome::Cut(_) => return,
    };
    if *answered != operation.request_id || !same_kind {
        findings.push(Finding::ForeignAnswer {
            request: operation.request_id.clone(),
            answered: answered.clone(),
        });
    }
}

impl AnsweredSearch<'_> {
    fn request(&self) -> Box<str> {
        self.operation.request_id.clone()
    }

    fn check_coverage(&self, status: u16, findings: &mut Vec<Finding>) {
        let mut report = |reason: String| {
            findings.push(Finding::FalseCoverage {
                request: self.request(),
                reason: reason.into(),
            });
        };
        let coverage = &self.answer.coverage;
        let mut missing: Vec<&MissingRange> = coverage.missing.iter().collect();
        missing.sort_by_key(|range| (&range.service, range.start));
        for range in &missing {
            let is_requested = self.services.contains(&range.service);
            if !is_requested || range.start >= range.end || range.end > KeyRange::ALL.end {
                report(format!("missing {range:?} is not a requested range"));
            }
        }
        for pair in missing.windows(2) {
            if pair[0].service == pair[1].service && pair[0].end > pair[1].start {
                report(format!(
                    "the missing ranges at {} and {} overlap",
                    pair[0].start, pair[1].start
                ));
            }
        }
        let missing_keys: u64 = missing.iter().map(|range| range.end.saturating_sub(range.start)).sum();
        let requested_keys = KeyRange::ALL.end as f64 * self.services.len() as f64;
        let covered = 1.0 - missing_keys as f64 / requested_keys;
        if (coverage.total - covered).abs() > TOLERANCE {
            report(format!(
                "states {}, but the missing ranges leave {covered}",
                coverage.total
            ));
        }
        if self.answer.complete != missing.is_empty() || self.answer.complete != (status == 200) {
            report(format!("complete is {} with status {status}", self.answer.complete));
        }
    }

    fn check_hits(&self, findings: &mut Vec<Finding>) {
        let snapshot = self.answer.snapshot;
        if !self.history.snapshots.contains(&snapshot) {
            let request = self.request();
            findings.push(Finding::UnknownSnapshot { request, snapshot });
        }
        let expected = self.expected();
        let found = &self.answer.hits;
        let same = expected.len() == found.len() && expected.iter().zip(found).all(|(a, b)| is_same(a, b));
        if same {
            return;
        }
        let before = findings.len();
        for hit in found {
            if !expected.iter().any(|other| is_same(other, hit)) {
                findings.push(self.classify(hit));
            }
        }
        for hit in &expected {
            if !found.iter().any(|other| is_same(other, hit)) {
                let request = self.request();
                findings.push(Finding::HitLost { request, key: hit.key });
            }
        }
        if findings.len() == before {
            let request = self.request();
            findings.push(Finding::Disorder { request });
        }
    }

    /// Returns the hits that the answer must contain: the best of all hits in the covered ranges and of the valid hits
    /// that the answer includes from truncated responses.
    fn expected(&self) -> Vec<HitAnswer> {
        let corpora = self.history.corpora.iter();
        let mut all: Vec<HitAnswer> = corpora
            .filter(|corpus| self.services.contains(&corpus.service))
            .flat_map(|corpus| {
                self.covered_ranges(corpus)
                    .into_iter()
                    .map(move |range| (corpus, range))
            })
            .flat_map(|(corpus, range)| {
                let found = hits::hits(&corpus.name, range, self.answer.snapshot, self.query, self.limit);
                found.into_iter().map(|hit| to_answer(corpus, hit))
            })
            .collect();
        all.extend(self.truncated_hits());
        all.sort_by(|a, b| b.score.total_cmp(&a.score).then(a.key.cmp(&b.key)));
        all.truncate(self.limit);
        all
    }

    /// Returns the valid hits of the answer in ranges that are missing with the reason `truncated`.
    ///
    /// An entry returns the hits of a truncated response but does not count the range as covered. The hits may be any
    /// subset of those in the range, but must come from the snapshot of the answer.
    fn truncated_hits(&self) -> Vec<HitAnswer> {
        let mut kept: Vec<HitAnswer> = Vec::new();
        for hit in &self.answer.hits {
            let is_truncated = self.answer.coverage.missing.iter().any(|range| {
                &*range.reason == "truncated"
                    && range.service == hit.service
                    && (range.start..range.end).contains(&hit.key)
            });
            let is_new = !kept.iter().any(|other| is_same(other, hit));
            if is_truncated && is_new && self.is_returned(self.answer.snapshot, self.query, hit) {
                kept.push(hit.clone());
            }
        }
        kept
    }

    /// Returns the key ranges of a corpus that are not missing.
    fn covered_ranges(&self, corpus: &Corpus) -> Vec<KeyRange> {
        let missing = self.answer.coverage.missing.iter();
        let mut missing: Vec<KeyRange> = missing
            .filter(|range| range.service == corpus.service)
            .map(|range| KeyRange {
                start: range.start,
                end: range.end,
            })
            .collect();
        missing.sort_by_key(|range| range.start);
        let mut covered = Vec::new();
        let mut from = corpus.range.start;
        for range in missing {
            let end = range.start.clamp(from, corpus.range.end.max(from));
            covered.push(KeyRange { start: from, end });
            from = from.max(range.end);
        }
        let end = corpus.range.end.max(from);
        covered.push(KeyRange { start: from, end });
        covered.retain(|range| range.start < range.end);
        covered
    }

    /// Returns the finding for a hit that is not expected in the answer.
    fn classify(&self, hit: &HitAnswer) -> Finding {
        let request = self.request();
        let key = hit.key;
        let stated = self.answer.snapshot;
        let missing = self.answer.coverage.missing.iter();
        let mut missing = missing.filter(|range| range.service == hit.service);
        let is_missing = missing.any(|range| range.start <= key && key < range.end);
        if is_missing || !self.services.contains(&hit.service) {
            return Finding::HitInMissing { request, key };
        }
        if self.is_returned(stated, self.query, hit) {
            // The hit is valid but ranks beyond the limit: a better hit is absent and reported as `HitLost`.
            return Finding::Disorder { request };
        }
        let snapshots = self.history.snapshots.iter();
        if let Some(&found) = snapshots
            .clone()
            .find(|&&other| self.is_returned(other, self.query, hit))
        {
            return Finding::OtherSnapshot {
                request,
                key,
                found,
                stated,
            };
        }
        for other in &self.history.operations {
            let Request::Search { query, .. } = &other.request else {
                continue;
            };
            if snapshots
                .clone()
                .any(|&snapshot| self.is_returned(snapshot, query, hit))
            {
                let other = other.request_id.clone();
                return Finding::OtherRequest { request, key, other };
            }
        }
        Finding::InventedHit { request, key }
    }

    /// Returns whether a server with `snapshot` returns `hit` for `query`.
    fn is_returned(&self, snapshot: u64, query: &str, hit: &HitAnswer) -> bool {
        let corpora = self.history.corpora.iter();
        let mut corpora = corpora.filter(|corpus| corpus.service == hit.service);
        corpora.any(|corpus| {
            let key = KeyRange {
                start: hit.key,
                end: hit.key + 1,
            };
            let returned = hits::hits(&corpus.name, key.intersection(corpus.range), snapshot, query, 1);
            returned
                .into_iter()
                .any(|other| is_same(&to_answer(corpus, other), hit))
        })
    }
}

fn to_answer(corpus: &Corpus, hit: hits::Hit) -> HitAnswer {
    HitAnswer {
        service: corpus.service.clone(),
        key: hit.key,
        document: hit.document,
        score: hit.score,
    }
}

fn is_same(a: &HitAnswer, b: &HitAnswer) -> bool {
    let same_document = a.service == b.service && a.key == b.key && a.document == b.document;
    same_document && (a.score - b.score).abs() < TOLERANCE
}
