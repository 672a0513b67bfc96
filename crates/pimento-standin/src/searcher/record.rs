//! Record of the activity of a backend server, independent of the state that the tier keeps.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

/// Largest number of entries in each log; later requests are only counted.
pub const MAX_LOG_ENTRIES: usize = 500_000;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Part of a search.
    Search,
    /// Submission, which is not idempotent.
    Submit,
}

/// Request that took a slot and started to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartedRequest {
    /// Value of `x-request-id`.
    pub request: Box<str>,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Time since the start of the server.
    pub at: Duration,
    /// Snapshot of a search; `None` for a submission.
    pub snapshot: Option<u64>,
    /// Key of a submission; `None` for a search.
    pub key: Option<u64>,
    /// Body of a submission or query of a search.
    pub body: Box<str>,
}

/// Counters since the start of the server.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Connections that were accepted within the cap.
    pub accepted: u64,
    /// Connections that were closed at once because of the cap.
    pub over_cap: u64,
    /// Currently open connections.
    pub open: u32,
    /// Largest number of concurrently open connections.
    pub most_open: u32,
    /// Currently running requests.
    pub running: u32,
    /// Largest number of concurrently running requests.
    pub most_running: u32,
    /// Requests that are currently waiting for a slot.
    pub waiting: u32,
    /// Requests that are currently held because the server is frozen.
    pub held: u32,
    /// Searches and submissions that were received.
    pub received: u64,
    /// Requests that started to run.
    pub started: u64,
    /// Requests that ran to their end.
    pub finished: u64,
    /// Requests that were refused before they started.
    pub refused: u64,
    /// Requests that were cancelled while they waited or ran.
    pub cancelled: u64,
    /// Cancellations that were received, also those of unknown requests.
    pub cancels: u64,
    /// Requests that ended because their remaining time had passed.
    pub expired: u64,
    /// Reads of the state endpoint.
    pub state_reads: u64,
}

/// Record of the activity of a server.
#[derive(Debug)]
pub struct ActivityRecord {
    origin: Instant,
    started: Mutex<Vec<StartedRequest>>,
    drain_refusals: Mutex<Vec<Duration>>,
    counters: watch::Sender<Counters>,
}

impl ActivityRecord {
    pub(crate) fn new() -> Arc<Self> {
        let (counters, _) = watch::channel(Counters::default());
        Arc::new(Self {
            origin: Instant::now(),
            started: Mutex::new(Vec::new()),
            drain_refusals: Mutex::new(Vec::new()),
            counters,
        })
    }

    /// Returns the started requests in order.
    #[must_use]
    pub fn started(&self) -> Vec<StartedRequest> {
        self.started.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the times, relative to the start, at which the server refused new work because it was leaving.
    #[must_use]
    pub fn drain_refusals(&self) -> Vec<Duration> {
        self.drain_refusals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Logs that the server refused new work because it is leaving.
    pub(crate) fn log_drain_refusal(&self) {
        let mut log = self.drain_refusals.lock().unwrap_or_else(PoisonError::into_inner);
        if log.len() < MAX_LOG_ENTRIES {
            log.push(self.origin.elapsed());
        }
    }

    /// Returns the time of the start, to which the times in this record are relative.
    #[must_use]
    pub const fn origin(&self) -> Instant {
        self.origin
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters.borrow().clone()
    }

    /// Waits until the counters satisfy `condition`.
    pub async fn wait_for(&self, condition: impl FnMut(&Counters) -> bool) {
        let mut counters = self.counters.subscribe();
        let met = counters.wait_for(condition).await;
        drop(met);
    }

    pub(crate) fn count(&self, change: impl FnOnce(&mut Counters)) {
        self.counters.send_modify(change);
    }

    /// Returns the time since the start of the server.
    pub(crate) fn elapsed(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Counts a new connection, or returns `None` if `cap` connections are open.
    pub(crate) fn open_connection(self: &Arc<Self>, cap: u32) -> Option<OpenConnection> {
        let mut accepted = false;
        self.count(|counters| {
            accepted = counters.open < cap;
            if accepted {
                counters.accepted += 1;
                counters.open += 1;
                counters.most_open = counters.most_open.max(counters.open);
            } else {
                counters.over_cap += 1;
            }
        });
        accepted.then(|| OpenConnection(Arc::clone(self)))
    }

    /// Counts a request as held until the guard is dropped.
    pub(crate) fn hold(self: &Arc<Self>) -> HeldRequest {
        self.count(|counters| counters.held += 1);
        HeldRequest(Arc::clone(self))
    }

    /// Logs a started request and counts it as running until the guard is dropped.
    pub(crate) fn start(self: &Arc<Self>, started: StartedRequest) -> RunningRequest {
        let mut log = self.started.lock().unwrap_or_else(PoisonError::into_inner);
        if log.len() < MAX_LOG_ENTRIES {
            log.push(started);
        }
        drop(log);
        self.count(|counters| {
            counters.started += 1;
            counters.running += 1;
            counters.most_running = counters.most_running.max(counters.running);
        });
        RunningRequest(Arc::clone(self))
    }
}

/// Guard that counts a connection as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection(Arc<ActivityRecord>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.count(|counters| counters.open -= 1);
    }
}

/// Guard that counts a request as running until it is dropped.
#[derive(Debug)]
pub(crate) struct RunningRequest(Arc<ActivityRecord>);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.count(|counters| counters.running -= 1);
    }
}

/// Guard that counts a request as held until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldRequest(Arc<ActivityRecord>);

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.0.count(|counters| counters.held -= 1);
    }
}
