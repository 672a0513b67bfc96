//! Independent check of what processes put in effect. It compares with the documents that were published and does not
//! use the decision code.

use std::time::Duration;

use indexmap::IndexMap;
use pimentoflow::process::dissemination::Document;
use pimentoflow::process::dissemination::DocumentKey;
use pimentoflow::process::dissemination::Report;

use crate::scenarios::fleet::content::Publication;

/// Record of publications and of what each process has in effect.
#[derive(Debug, Default)]
pub struct Checker {
    published: IndexMap<DocumentKey, Published>,
    in_effect: Vec<Option<DocumentKey>>,
    adoptions: Vec<Vec<(Duration, DocumentKey)>>,
    /// Reports by kind.
    pub reports: IndexMap<&'static str, u64>,
    /// Violations by kind.
    pub violations: IndexMap<&'static str, u64>,
}

#[derive(Debug)]
struct Published {
    at: Duration,
    publication: Publication,
}

impl Checker {
    /// Makes a check for a number of processes.
    #[must_use]
    pub fn new(processes: usize) -> Self {
        Self {
            in_effect: vec![None; processes],
            adoptions: vec![Vec::new(); processes],
            ..Self::default()
        }
    }

    /// Notes a publication.
    pub fn on_published(&mut self, publication: &Publication, at: Duration) {
        let publication = publication.clone();
        let key = publication.document.key;
        self.published.insert(key, Published { at, publication });
    }

    /// Notes that a process started without any document.
    pub fn on_started(&mut self, node: usize) {
        self.in_effect[node] = None;
        self.adoptions[node].clear();
    }

    /// Checks a document that a process puts in effect.
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

    /// Checks that a process that serves has a document.
    pub fn on_serving(&mut self, node: usize) {
        if self.in_effect[node].is_none() {
            self.record_violation("serving_without");
        }
    }

    /// Counts a report.
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

    /// Returns the sum of the violations.
    #[must_use]
    pub fn violation_count(&self) -> u64 {
        self.violations.values().sum()
    }

    /// Returns what a process has in effect.
    #[must_use]
    pub fn key_in_effect(&self, node: usize) -> Option<DocumentKey> {
        self.in_effect[node]
    }

    /// Returns the greatest valid key published.
    #[must_use]
    pub fn highest_valid(&self) -> Option<DocumentKey> {
        let valid = self
            .published
            .iter()
            .filter(|(_, published)| published.publication.valid);
        valid.map(|(key, _)| *key).max()
    }

    /// Returns, for each valid publication, how long after it the process had this or a higher document in effect.
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
