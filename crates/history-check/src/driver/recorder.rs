//! Records the history of a run in progress.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use pimentoflow::process::admin::Readiness;
use pimentoflow::process::program::RunningProgram;
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

use crate::history::Event;
use crate::history::EventKind;
use crate::history::History;
use crate::history::Operation;
use crate::history::Pause;
use crate::history::Program;

/// Interval at which the clock is read to detect pauses.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Delay beyond [`WATCH_INTERVAL`] that counts as a pause of the machine. It exceeds ordinary scheduling delays.
const MIN_PAUSE: Duration = Duration::from_millis(40);

/// Entry that callers can connect to.
#[derive(Debug, Clone)]
pub(super) struct Target {
    /// Name of the entry.
    pub name: Box<str>,
    /// Address of the listener for callers.
    pub address: SocketAddr,
    /// Whether the entry accepts new requests.
    pub readiness: Readiness,
}

/// History of a run in progress, shared by all tasks of the run.
#[derive(Debug)]
pub(super) struct Recorder {
    origin: Instant,
    history: Mutex<History>,
    targets: Mutex<Vec<Target>>,
    disrupted: AtomicBool,
    completed: watch::Sender<u64>,
    pending_submissions: watch::Sender<IndexMap<Box<str>, usize>>,
}

impl Recorder {
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            history: Mutex::default(),
            targets: Mutex::default(),
            disrupted: AtomicBool::new(false),
            completed: watch::Sender::new(0),
            pending_submissions: watch::Sender::default(),
        }
    }

    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub const fn origin(&self) -> Instant {
        self.origin
    }

    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    pub fn record_event(&self, kind: EventKind) {
        let at = self.now();
        if kind.is_disruptive() {
            self.disrupted.store(true, Ordering::Release);
        }
        self.history().events.push(Event { at, kind });
    }

    /// Returns whether a fault that may affect answers has been injected.
    pub fn is_disrupted(&self) -> bool {
        self.disrupted.load(Ordering::Acquire)
    }

    pub fn record_operation(&self, operation: Operation) {
        self.history().operations.push(operation);
        self.completed.send_modify(|completed| *completed += 1);
    }

    /// Waits until the callers have completed `count` more operations.
    pub async fn wait_for_operations(&self, count: u64) {
        let mut completed = self.completed.subscribe();
        let wanted = *completed.borrow_and_update() + count;
        let reached = completed.wait_for(|completed| *completed >= wanted).await;
        drop(reached);
    }

    /// Counts a submission with a ticket as in progress on an entry.
    pub fn submission_started(&self, entry: &str) {
        self.pending_submissions
            .send_modify(|counts| *counts.entry(entry.into()).or_default() += 1);
    }

    pub fn submission_ended(&self, entry: &str) {
        self.pending_submissions
            .send_modify(|counts| *counts.entry(entry.into()).or_default() -= 1);
    }

    /// Waits until one of `entries` has a submission in progress, and returns that entry.
    pub async fn wait_for_submission(&self, entries: &[Box<str>]) -> Option<Box<str>> {
        let mut pending_submissions = self.pending_submissions.subscribe();
        let busy = |counts: &IndexMap<Box<str>, usize>| {
            let mut busy = entries.iter();
            busy.find(|entry| counts.get(*entry).is_some_and(|count| *count > 0))
                .cloned()
        };
        let counts = pending_submissions
            .wait_for(|counts| busy(counts).is_some())
            .await
            .ok()?;
        busy(&counts)
    }

    pub fn targets(&self) -> MutexGuard<'_, Vec<Target>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the revisions in effect in a program until it ends.
    pub fn watch_program(self: &Arc<Self>, name: &str, running: &RunningProgram) {
        let alive = Program {
            alive: true,
            ..Program::default()
        };
        self.history().programs.insert(name.into(), alive);
        let mut versions = running.node.watch_config();
        let recorder = Arc::clone(self);
        let name: Box<str> = name.into();
        versions.mark_changed();
        tokio::spawn(async move {
            while versions.changed().await.is_ok() {
                let revision = versions
                    .borrow_and_update()
                    .as_ref()
                    .map(|version| version.tables.revision);
                if let Some(revision) = revision {
                    let now = recorder.now();
                    recorder.update_program(&name, |program| program.revisions.push((now, revision)));
                }
            }
        });
    }

    pub fn update_program(&self, name: &str, change: impl FnOnce(&mut Program)) {
        if let Some(program) = self.history().programs.get_mut(name) {
            change(program);
        }
    }

    /// Records pauses of the machine until the handle is dropped.
    pub fn watch_pauses(self: &Arc<Self>) -> AbortOnDropHandle<()> {
        let recorder = Arc::clone(self);
        AbortOnDropHandle::new(tokio::spawn(async move {
            let mut last = recorder.now();
            loop {
                tokio::time::sleep(WATCH_INTERVAL).await;
                let now = recorder.now();
                let length = (now - last).saturating_sub(WATCH_INTERVAL);
                if length >= MIN_PAUSE {
                    recorder.history().pauses.push(Pause { start: last, length });
                }
                last = now;
            }
        }))
    }

    /// Takes the history recorded so far.
    pub fn take(&self) -> History {
        std::mem::take(&mut *self.history())
    }
}
