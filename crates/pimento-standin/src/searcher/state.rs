//! State of a backend server, shared by its connections.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

use crate::searcher::KeyRange;
use crate::searcher::Settings;
use crate::searcher::faults::Faults;
use crate::searcher::faults::StateReport;
use crate::searcher::record::ActivityRecord;
use crate::searcher::scheduler::Scheduler;

/// State that can change at run time.
#[derive(Debug)]
struct MutableState {
    range: KeyRange,
    snapshots: Vec<u64>,
    cold_until: Option<Instant>,
}

/// State shared by the connections of a server.
#[derive(Debug)]
pub(crate) struct State {
    pub settings: Settings,
    pub faults: watch::Sender<Faults>,
    pub record: Arc<ActivityRecord>,
    pub scheduler: Scheduler,
    data: Mutex<MutableState>,
}

impl State {
    pub fn new(settings: Settings) -> Self {
        let (faults, _) = watch::channel(Faults::default());
        let data = MutableState {
            range: settings.range,
            snapshots: sorted(&settings.snapshots),
            cold_until: None,
        };
        Self {
            scheduler: Scheduler::new(settings.slots, settings.queue),
            faults,
            record: ActivityRecord::new(),
            data: Mutex::new(data),
            settings,
        }
    }

    fn data(&self) -> MutexGuard<'_, MutableState> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn range(&self) -> KeyRange {
        self.data().range
    }

    pub fn set_range(&self, range: KeyRange) {
        self.data().range = range;
    }

    pub fn snapshots(&self) -> Vec<u64> {
        self.data().snapshots.clone()
    }

    pub fn set_snapshots(&self, snapshots: &[u64]) {
        self.data().snapshots = sorted(snapshots);
    }

    pub fn holds(&self, snapshot: u64) -> bool {
        self.data().snapshots.contains(&snapshot)
    }

    pub fn start_cold_period(&self, length: Duration) {
        self.data().cold_until = Some(Instant::now() + length);
    }

    /// Returns the remaining time of a cold start, if one is in progress.
    pub fn cold_time_left(&self) -> Option<Duration> {
        let until = self.data().cold_until?;
        let left = until.saturating_duration_since(Instant::now());
        (!left.is_zero()).then_some(left)
    }

    pub fn actual_report(&self) -> StateReport {
        let counters = self.record.counters();
        let slots = self.settings.slots.max(1);
        StateReport {
            load: f64::from(counters.running) / f64::from(slots),
            draining: self.faults.borrow().draining,
            snapshots: self.snapshots(),
        }
    }

    /// Returns the state that the server reports, which [`Faults::report`] may replace.
    pub fn report(&self) -> StateReport {
        let replaced = self.faults.borrow().report.clone();
        replaced.unwrap_or_else(|| self.actual_report())
    }
}

fn sorted(snapshots: &[u64]) -> Vec<u64> {
    let mut sorted = snapshots.to_vec();
    sorted.sort_unstable();
    sorted.dedup();
    sorted
}
