//! Connections that are replaced on configuration changes, for each digest that can decide this.
//!
//! The sequence of documents begins with the Fraser sample. Each random change edits a policy or an address, or adds a
//! firm. Two holders keep their share of connections to every searcher and replace them when the digest that they
//! compare changes. See `docs/design/configuration-digests.md`.

use std::str::FromStr;
use std::time::Duration;

use eyre::Result;
use indexmap::IndexMap;
use pimentoflow::ids::Digest;
use pimentoflow::ids::SearcherId;
use pimentoflow::version::build;
use pimentoflow::version::document::Document;
use pimentoflow::version::tables::Claims;
use pimentoflow::version::tables::Searcher;
use pimentoflow::version::validate::validate;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::events::EventQueue;
use crate::experiment::Options;
use crate::report::Report;

mod changes;

use changes::ChangeKind;
use changes::DocumentSequence;

/// Name of the scenario.
pub const NAME: &str = "config-redial";

/// Default number of changes in a run.
const DEFAULT_CHANGES: u32 = 500;

/// Interval between two changes. It does not affect the figures, since each change completes before the next one.
const CHANGE_INTERVAL: Duration = Duration::from_secs(60);

/// Number of instances with connections to a searcher: its owner and the successor.
const HOLDERS: u64 = 2;

/// Number of connections in addition to the slots: one for cancellation and one spare.
const SPARE_CONNECTIONS: u32 = 2;

/// Kind of digest that decides whether a holder replaces its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestKind {
    /// Transport digest of the searcher.
    Transport,
    /// Digest of the section of the searcher, which also contains its name and data centre.
    Section,
    /// Digest of everything about the searcher in the document, including its range and policy.
    Searcher,
    /// Digest of the part that lists the searcher. This is the baseline, since it exists without a transport digest.
    Part,
    /// Digest of the root.
    Root,
}

impl FromStr for DigestKind {
    type Err = UnknownDigestKind;

    fn from_str(text: &str) -> Result<Self, UnknownDigestKind> {
        match text {
            "transport" => Ok(Self::Transport),
            "section" => Ok(Self::Section),
            "searcher" => Ok(Self::Searcher),
            "part" | "off" => Ok(Self::Part),
            "root" => Ok(Self::Root),
            _ => Err(UnknownDigestKind),
        }
    }
}

/// Error for a value of the setting `policy` that is not a kind of digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownDigestKind;

impl std::fmt::Display for UnknownDigestKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("unknown digest; use transport, section, searcher, part, root, or off for part")
    }
}

impl std::error::Error for UnknownDigestKind {}

/// Runs the scenario.
///
/// # Errors
///
/// Returns an error if a setting is unknown or its value is invalid.
pub fn run(options: &Options) -> Result<Report> {
    options.reject_unknown_settings(&["policy", "changes"])?;
    let digest_kind = options.get("policy", DigestKind::Transport)?;
    let changes: u32 = options.get("changes", DEFAULT_CHANGES)?;
    let mut run = Run::new(options.seed, digest_kind)?;
    let mut events = EventQueue::new();
    for number in 0..changes {
        events.push(CHANGE_INTERVAL * (number + 1), number);
    }
    while events.pop().is_some() {
        run.on_change();
    }
    Ok(run.report(options.seed))
}

/// Counters of one kind of change.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    changes: u64,
    reopened: u64,
}

struct Run {
    rng: SmallRng,
    digest_kind: DigestKind,
    sequence: DocumentSequence,
    held: IndexMap<SearcherId, HeldConnections>,
    counts: IndexMap<&'static str, Counts>,
    opened_initially: u64,
    connect_cost: Duration,
    violations: u64,
}

/// Digest and configuration with which the connections to a searcher were opened.
#[derive(Clone)]
struct HeldConnections {
    digest: Digest,
    searcher: Searcher,
}

impl Run {
    fn new(seed: u64, digest_kind: DigestKind) -> Result<Self> {
        let mut run = Self {
            rng: SmallRng::seed_from_u64(seed),
            digest_kind,
            sequence: DocumentSequence::fraser()?,
            held: IndexMap::new(),
            counts: IndexMap::new(),
            opened_initially: 0,
            connect_cost: Duration::ZERO,
            violations: 0,
        };
        run.apply();
        // The connections of the first document are not caused by a change.
        run.opened_initially = 0;
        Ok(run)
    }

    fn on_change(&mut self) {
        let kind = self.sequence.change(&mut self.rng);
        let reopened = self.apply();
        let counts = self.counts.entry(kind.name()).or_default();
        counts.changes += 1;
        counts.reopened += reopened;
    }

    /// Puts the current document in effect and returns the number of replaced connections.
    fn apply(&mut self) -> u64 {
        let document = self.sequence.document();
        self.violations += validate(&document).len() as u64;
        let tables = build::tables(&document);
        let digests = digests(&document, self.digest_kind);
        let mut reopened = 0;
        let mut held = IndexMap::new();
        for (name, searcher) in &tables.searchers {
            let entry = HeldConnections {
                digest: digests[name],
                searcher: searcher.clone(),
            };
            let connections = HOLDERS * u64::from(connections_per_holder(searcher, tables.claims));
            match self.held.get(name) {
                None => self.opened_initially += connections,
                Some(before) if before.digest != entry.digest => {
                    reopened += connections;
                    let count = u32::try_from(connections).unwrap_or(u32::MAX);
                    self.connect_cost += searcher.connect_cost * count;
                }
                Some(before) => self.violations += u64::from(is_outdated(&before.searcher, searcher)),
            }
            held.insert(name.clone(), entry);
        }
        self.held = held;
        reopened
    }

    fn report(&self, seed: u64) -> Report {
        let mut report = Report::new(NAME, seed);
        let total: u64 = self.counts.values().map(|counts| counts.reopened).sum();
        let changes: u64 = self.counts.values().map(|counts| counts.changes).sum();
        report.answered = changes;
        report.violations = self.violations;
        report.set_figure("searchers", self.held.len() as f64);
        report.set_figure("opened_first", self.opened_initially as f64);
        report.set_figure("redialled", total as f64);
        report.set_figure("redialled_per_change", ratio(total, changes));
        report.set_figure("connect_ms", self.connect_cost.as_secs_f64() * 1e3);
        for kind in ChangeKind::ALL {
            let counts = self.counts.get(kind.name()).copied().unwrap_or_default();
            report.set_figure(&format!("{}_changes", kind.name()), counts.changes as f64);
            let per_change = ratio(counts.reopened, counts.changes);
            report.set_figure(&format!("redialled_per_{}", kind.name()), per_change);
        }
        report
    }
}

/// Returns whether connections opened for `before` do not match the current searcher.
fn is_outdated(before: &Searcher, after: &Searcher) -> bool {
    before.address != after.address
        || before.slots != after.slots
        || before.connections != after.connections
        || before.connect_cost != after.connect_cost
}

/// Returns the number of connections of one holder, as in "Connection cap without shared state" of the design page.
fn connections_per_holder(searcher: &Searcher, claims: Claims) -> u32 {
    let divided = searcher.connections.saturating_sub(claims.remote_reserve) / claims.tolerated_views;
    divided.min(searcher.slots + SPARE_CONNECTIONS)
}

/// Returns the digest of the given kind for each searcher.
fn digests(document: &Document, digest_kind: DigestKind) -> IndexMap<SearcherId, Digest> {
    let mut digests = IndexMap::new();
    for (part, entry) in document.parts.iter().zip(&document.root.parts) {
        for service in &part.services {
            let policy = service.policy.as_ref().unwrap_or(&part.policy);
            for shard in &service.shards {
                for replica in &shard.replicas {
                    let digest = match digest_kind {
                        DigestKind::Transport => build::searcher(replica).transport_digest,
                        DigestKind::Section => changes::digest_of(replica),
                        DigestKind::Searcher => changes::digest_of(&(replica, &shard.range, policy)),
                        DigestKind::Part => entry.sha256.0,
                        DigestKind::Root => document.digest,
                    };
                    digests.insert(replica.searcher.clone(), digest);
                }
            }
        }
    }
    digests
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}
