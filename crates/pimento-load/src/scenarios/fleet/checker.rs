//! Invariant checks on the documents that processes put in effect.
//!
//! The checks compare with the published documents and share no code with the state machines under test.

use std::time::Duration;

use indexmap::IndexMap;
use pimentoflow::process::dissemination::Document;
use pimentoflow::process::dissemination::DocumentKey;
use pimentoflow::process::dissemination::Report;

use crate::scenarios::fleet::content::Publication;

/// Checks each document that a process puts in effect against the published ones.
#[derive(Debug, Default)]
pub struct Checker {
    published: IndexMap<DocumentKey, Published>,
    in_effect: Vec<Option<DocumentKey>>,
    adoptions: Vec<Vec<(Duration, DocumentKey)>>,
    /// Number of reports by kind.
    pub reports: IndexMap<&'static str, u64>,
    /// Number of violations by kind.
    pub violations: IndexMap<&'static str, u64>,
}

#[derive(Debug)]
struct Published {
    at: Duration,
    publication: Publication,
}

impl Checker {
    /// Creates a checker for a number of processes.
    #[must_use]
    pub fn new(processes: usize) -> Self {
        Self {
            in_effect: vec![None; processes],
            adoptions: vec![Vec::new(); processes],
            ..Self::default()
        }
    }

    /// Records a publication.
    pub fn on_published(&mut self, publication: &Publication, at: Duration) {
        let publication = publication.clone();
        let key = publication.document.key;
        self.published.insert(key, Published { at, publication });
    }

    /// Records that a process started, without a document in effect.
    pub fn on_started(&mut self, node: usize) {
        self.in_effect[node] = None;
        self.adoptions[node].clear();
    }

    /// Checks that a document put in effect is newer than the previous one, valid and identical to the published one.
    pub fn on_put_in_effect(&mut self, node: usize, document: &Document, at: Duration) {
        let key = document.key;
        if self.in_effect[node].is_some_and(|before| before >= key) {
            self.record_violation("reverted");
        }
        match self.published.get(&key) {
            None => self.record_violation("unpublished"),
            Some(published) if !published.publication.valid => self.record_violation("invalid"),
            Some(published) if *published.publication.document != *document => self.record_violation("content"),
            Some(_) => {}
        }
        self.in_effect[node] = Some(key);
        self.adoptions[node].push((at, key));
    }

    /// Checks that a process that serves requests has a document in effect.
    pub fn on_serving(&mut self, node: usize) {
        if self.in_effect[node].is_none() {
            self.record_violation("serving_without");
        }
    }

    /// Counts a report of a state machine.
    pub fn on_report(&mut self, report: &Report) {
        let kind = match report {
            Report::Rejected { .. } => "rejected",
            Report::Conflict { .. } => "conflict",
            Report::LowerRevision { .. } => "lower",
            Report::Incomplete { .. } => "incomplete",
        };
        *self.reports.entry(kind).or_default() += 1;
    }

    /// Counts a violation.
    pub fn record_violation(&mut self, kind: &'static str) {
        *self.violations.entry(kind).or_default() += 1;
    }

    /// Returns the number of violations of all kinds.
    #[must_use]
    pub fn violation_count(&self) -> u64 {
        self.violations.values().sum()
    }

    /// Returns the key of the document that a process has in effect.
    #[must_use]
    pub fn key_in_effect(&self, node: usize) -> Option<DocumentKey> {
        self.in_effect[node]
    }

    /// Returns the highest key of the valid documents published.
    #[must_use]
    pub fn highest_valid(&self) -> Option<DocumentKey> {
        let valid = self
            .published
            .iter()
            .filter(|(_, published)| published.publication.valid);
        valid.map(|(key, _)| *key).max()
    }

    /// Returns, for each valid publication, the time until the process had this or a higher document in effect.
    pub fn delays(&self, node: usize) -> impl Iterator<Item = Option<Duration>> {
        let valid = self
            .published
            .iter()
            .filter(|(_, published)| published.publication.valid);
        valid.map(move |(key, published)| {
            let reached = self.adoptions[node].iter().find(|(_, adopted)| adopted >= key);
            reached.map(|(at, _)| at.saturating_sub(published.at))
        })
    }
}
