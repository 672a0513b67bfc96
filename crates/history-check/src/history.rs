//! Record of a run. All times count from the start of the run, on one monotonic clock.

use std::time::Duration;

use indexmap::IndexMap;
use pimento_standin::searcher::KeyRange;
use pimento_standin::searcher::record::StartedRequest;
use pimentoflow::process::entry::api::ErrorBody;
use pimentoflow::process::entry::api::SearchAnswer;
use pimentoflow::process::entry::api::SubmitAnswer;

/// Everything recorded in one run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Data that the backend servers hold, which does not change when shards are split.
    pub corpora: Vec<Corpus>,
    /// Snapshots that any server held at some time.
    pub snapshots: Vec<u64>,
    /// Operations of all callers.
    pub operations: Vec<Operation>,
    /// Backend servers by name.
    pub servers: IndexMap<Box<str>, Server>,
    /// Entries and leaves by name.
    pub programs: IndexMap<Box<str>, Program>,
    /// Faults and planned actions, in order of time.
    pub events: Vec<Event>,
    /// Pauses of the machine that the watcher noticed.
    pub pauses: Vec<Pause>,
    /// Highest revision that was accepted.
    pub accepted: u64,
}

/// Documents of one key range of a service.
#[derive(Debug, Clone)]
pub struct Corpus {
    /// Service.
    pub service: Box<str>,
    /// Name from which the stand-in makes documents.
    pub name: Box<str>,
    /// Keys.
    pub range: KeyRange,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Operation {
    /// Identity that the caller gave it, unique in the run.
    pub request: Box<str>,
    /// Entry asked.
    pub entry: Box<str>,
    /// Time at which it was sent.
    pub start: Duration,
    /// Time at which its answer had arrived.
    pub end: Duration,
    /// What was asked.
    pub ask: Ask,
    /// What came back.
    pub outcome: Outcome,
}

/// Content of a request. Queries and bodies are unique for each search and each ticket, so that the records of the
/// backend servers tell which request they ran.
#[derive(Debug, Clone)]
pub enum Ask {
    /// Search.
    Search {
        /// Services searched.
        services: Vec<Box<str>>,
        /// Query.
        query: Box<str>,
        /// Greatest number of hits.
        limit: usize,
    },
    /// Non-idempotent request.
    Submission {
        /// Key.
        key: u64,
        /// Body.
        body: Box<str>,
        /// Ticket that was sent.
        ticket: Option<Box<str>>,
    },
}

/// End of a request.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// Answer to a search with its HTTP status.
    Found(u16, Box<SearchAnswer>),
    /// Answer to a submission that ran.
    Executed(Box<SubmitAnswer>),
    /// Error body with its HTTP status.
    Refused(u16, Box<ErrorBody>),
    /// The connection ended, or the answer has an unknown form; the text says which.
    Cut(Box<str>),
}

/// Record of a backend server, made by the server itself.
#[derive(Debug, Clone, Default)]
pub struct Server {
    /// Requests started. Their times count from the start of the run.
    pub started: Vec<StartedRequest>,
    /// Times at which new work was refused because the server was leaving.
    pub turned_away: Vec<Duration>,
    /// Connections that it accepts.
    pub cap: u32,
    /// Greatest number of connections open at one time.
    pub most_open: u32,
    /// Connections refused because of the cap.
    pub over_cap: u64,
}

/// Record of an entry or a leaf.
#[derive(Debug, Clone, Default)]
pub struct Program {
    /// Revisions in effect, each with the time at which it was seen.
    pub revisions: Vec<(Duration, u64)>,
    /// Whether it ran, and could be reached, at the end of the run.
    pub alive: bool,
    /// Whether a planned stop finished without reaching its hard limit; `None` without a planned stop.
    pub clean_stop: Option<bool>,
}

/// Fault or planned action.
#[derive(Debug, Clone)]
pub struct Event {
    /// Time just before it takes effect.
    pub at: Duration,
    /// What happens.
    pub kind: EventKind,
}

/// Kind of an event, as far as a rule depends on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventKind {
    /// A program is killed.
    Kill(Box<str>),
    /// A planned stop of a program begins.
    Stop(Box<str>),
    /// A backend server begins to leave.
    Drain(Box<str>),
    /// A backend server that was leaving takes new work again.
    Return(Box<str>),
    /// Change that must cost no answer, such as a new revision.
    Change(Box<str>),
    /// Fault that may cost answers or coverage.
    Fault(Box<str>),
}

impl EventKind {
    /// Tells whether answers may be partial or missing from this event on.
    #[must_use]
    pub const fn is_disruptive(&self) -> bool {
        matches!(self, Self::Kill(_) | Self::Drain(_) | Self::Fault(_))
    }
}

/// Time in which the machine ran no task of the run.
#[derive(Debug, Clone, Copy)]
pub struct Pause {
    /// Last time that the watcher read before it.
    pub start: Duration,
    /// Length beyond the interval of the watcher.
    pub length: Duration,
}

impl History {
    /// Returns the part of `from..to` that the machine was paused.
    #[must_use]
    pub fn paused(&self, from: Duration, to: Duration) -> Duration {
        let within = self.pauses.iter().map(|pause| {
            let end = (pause.start + pause.length).min(to);
            end.saturating_sub(pause.start.max(from))
        });
        within.sum()
    }
}
