//! A backend server with fault switches and a record of what it started.

pub mod control;
pub mod faults;
pub mod hits;
pub mod record;

mod handler;
mod scheduler;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::http1;
use crate::searcher::faults::Faults;
use crate::searcher::faults::StateReport;
use crate::searcher::record::Counters;
use crate::searcher::record::StartedRequest;
use crate::searcher::state::State;

/// Half-open range of keys, `start..end`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key of the range.
    pub start: u64,
    /// First key after the range.
    pub end: u64,
}

impl KeyRange {
    /// The whole key space of a service.
    pub const ALL: Self = Self { start: 0, end: 1 << 32 };

    /// Returns the keys that both ranges hold; the result is empty when they do not overlap.
    #[must_use]
    pub fn intersection(self, other: Self) -> Self {
        let start = self.start.max(other.start);
        let end = self.end.min(other.end).max(start);
        Self { start, end }
    }
}

/// Fixed properties of a backend server.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the searcher.
    pub name: Box<str>,
    /// Name of the data from which hits are made. Replicas of a shard, and the parts of a shard that was split, share
    /// it. Usually the name of the shard.
    pub corpus: Box<str>,
    /// Keys that the server holds at its start.
    pub range: KeyRange,
    /// Requests that it runs at one time.
    pub slots: u32,
    /// Requests that wait for a slot; those beyond are refused.
    pub queue: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Time that opening a connection costs.
    pub connect_cost: Duration,
    /// Time that a request takes.
    pub service_time: Duration,
    /// Snapshots that it holds at its start.
    pub snapshots: Vec<u64>,
    /// Seed of the decisions about stragglers, shedding and lost replies.
    pub seed: u64,
}

impl Settings {
    /// Makes the settings of a searcher with the sizes that the acquired firms have today: 3 slots, 30 connections, 6
    /// ms for a new connection; requests take 2 ms.
    #[must_use]
    pub fn new(name: &str, corpus: &str, range: KeyRange) -> Self {
        Self {
            name: name.into(),
            corpus: corpus.into(),
            range,
            slots: 3,
            queue: 3,
            connections: 30,
            connect_cost: Duration::from_millis(6),
            service_time: Duration::from_millis(2),
            snapshots: vec![1],
            seed: 1,
        }
    }
}

/// Handle of a running backend server. The server stops when the handle is dropped.
#[derive(Debug)]
pub struct Searcher {
    address: SocketAddr,
    state: Arc<State>,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl Searcher {
    /// Binds to `listen` (port 0 for any free port) and serves.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(listen: SocketAddr, settings: Settings) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::new(settings));
        let task = tokio::spawn(accept(listener, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            task: Mutex::new(Some(task)),
        })
    }

    /// Returns the address that it serves on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.state.settings.name
    }

    /// Changes the fault switches.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.state.faults.send_modify(change);
    }

    /// Returns the fault switches.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.state.faults.borrow().clone()
    }

    /// Refuses all requests for the time given, as a server does that loads its data after a start.
    pub fn cold_start(&self, length: Duration) {
        self.state.start_cold_period(length);
    }

    /// Replaces the set of snapshots held. Advancing, rolling back and dropping are all changes of this set.
    pub fn set_snapshots(&self, snapshots: &[u64]) {
        self.state.set_snapshots(snapshots);
    }

    /// Returns the snapshots held, the oldest first.
    #[must_use]
    pub fn snapshots(&self) -> Vec<u64> {
        self.state.snapshots()
    }

    /// Replaces the range of keys held, as when a shard is split or merged while queries run.
    pub fn set_range(&self, range: KeyRange) {
        self.state.set_range(range);
    }

    /// Makes the state endpoint and `x-load` report the current state from now on, whatever happens to the server.
    pub fn freeze_report(&self) {
        let report = self.state.actual_report();
        self.set_report(Some(report));
    }

    /// Makes the state endpoint and `x-load` report `report`; `None` returns to the truth.
    pub fn set_report(&self, report: Option<StateReport>) {
        self.set_faults(|faults| faults.report = report);
    }

    /// Returns what the server started, in order.
    #[must_use]
    pub fn started(&self) -> Vec<StartedRequest> {
        self.state.record.started()
    }

    /// Returns the times, since [`Searcher::origin`], at which it refused new work because it was leaving.
    #[must_use]
    pub fn drain_refusals(&self) -> Vec<Duration> {
        self.state.record.drain_refusals()
    }

    /// Returns the time from which the times of the record count.
    #[must_use]
    pub fn origin(&self) -> Instant {
        self.state.record.origin()
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.state.record.counters()
    }

    /// Waits until the counters satisfy `condition`, so that tests need not sleep.
    pub async fn wait_for(&self, condition: impl FnMut(&Counters) -> bool) {
        self.state.record.wait_for(condition).await;
    }

    /// Kills the server: closes the port and all connections, and ends the requests that run. The record stays.
    pub fn kill(&self) {
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(task) = task {
            task.abort();
        }
        self.state.scheduler.cancel_all();
    }

    /// Starts a killed server again on the same address.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken by now.
    pub async fn restart(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        let task = tokio::spawn(accept(listener, Arc::clone(&self.state)));
        let previous = self.task.lock().unwrap_or_else(PoisonError::into_inner).replace(task);
        if let Some(previous) = previous {
            previous.abort();
        }
        Ok(())
    }
}

impl Drop for Searcher {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Accepts connections until the task is aborted, which also ends the connections.
async fn accept(listener: TcpListener, state: Arc<State>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let Some(open) = state.record.open_connection(state.settings.connections) else {
            drop(stream);
            continue;
        };
        let state = Arc::clone(&state);
        connections.spawn(async move {
            let _open = open;
            connection(stream, state).await;
        });
    }
}

async fn connection(stream: TcpStream, state: Arc<State>) {
    let no_delay = stream.set_nodelay(true);
    drop(no_delay);
    tokio::time::sleep(state.settings.connect_cost).await;
    http1::serve(stream, |request| handler::handle(Arc::clone(&state), request)).await;
}
