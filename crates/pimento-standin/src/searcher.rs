//! Stand-in for a backend server, with fault switches and a record of the requests that it started.

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
    /// Whole key space of a service.
    pub const ALL: Self = Self { start: 0, end: 1 << 32 };

    /// Returns the intersection of two ranges, which is empty if they do not overlap.
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
    /// Name from which hits are generated, usually the name of the shard. Replicas of a shard, and the parts of a shard
    /// that was split, have the same corpus.
    pub corpus: Box<str>,
    /// Range of keys held at the start.
    pub range: KeyRange,
    /// Requests that run concurrently.
    pub slots: u32,
    /// Largest number of requests that wait for a slot; further ones are refused.
    pub queue: u32,
    /// Largest number of open connections; further ones are closed.
    pub connections: u32,
    /// Delay before the first request of a new connection is read.
    pub connect_cost: Duration,
    /// Time that a request takes.
    pub service_time: Duration,
    /// Snapshots held at the start.
    pub snapshots: Vec<u64>,
    /// Seed that selects the requests that become stragglers, are shed or lose their responses.
    pub seed: u64,
}

impl Settings {
    /// Creates settings with the current sizes of the backend servers of the acquired firms: 3 slots, 30 connections
    /// and 6 ms for a new connection. Requests take 2 ms.
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

/// Handle of a running backend server. Dropping it stops the server.
#[derive(Debug)]
pub struct Searcher {
    address: SocketAddr,
    state: Arc<State>,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl Searcher {
    /// Binds to `listen` (port 0 for any free port) and starts the server.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
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

    /// Returns the address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the name of the server.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.state.settings.name
    }

    /// Changes the fault switches. The change takes effect at once.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.state.faults.send_modify(change);
    }

    /// Returns the fault switches.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.state.faults.borrow().clone()
    }

    /// Refuses all requests for `length`, like a server that loads its data after a start.
    pub fn cold_start(&self, length: Duration) {
        self.state.start_cold_period(length);
    }

    /// Replaces the set of snapshots held, to advance, roll back or drop snapshots.
    pub fn set_snapshots(&self, snapshots: &[u64]) {
        self.state.set_snapshots(snapshots);
    }

    /// Returns the snapshots held in ascending order.
    #[must_use]
    pub fn snapshots(&self) -> Vec<u64> {
        self.state.snapshots()
    }

    /// Replaces the range of keys held, as in a split or merge of shards while queries run.
    pub fn set_range(&self, range: KeyRange) {
        self.state.set_range(range);
    }

    /// Makes the state endpoint and `x-load` report the current state until [`Searcher::set_report`] changes it.
    pub fn freeze_report(&self) {
        let report = self.state.actual_report();
        self.set_report(Some(report));
    }

    /// Makes the state endpoint and `x-load` report `report`, or the actual state if it is `None`.
    pub fn set_report(&self, report: Option<StateReport>) {
        self.set_faults(|faults| faults.report = report);
    }

    /// Returns the requests that the server started, in order.
    #[must_use]
    pub fn started(&self) -> Vec<StartedRequest> {
        self.state.record.started()
    }

    /// Returns the times, since [`Searcher::origin`], at which the server refused new work because it was leaving.
    #[must_use]
    pub fn drain_refusals(&self) -> Vec<Duration> {
        self.state.record.drain_refusals()
    }

    /// Returns the time of the start, to which the times in the record are relative.
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

    /// Kills the server: closes the port and all connections, and ends the running requests. The record is kept.
    pub fn kill(&self) {
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(task) = task {
            task.abort();
        }
        self.state.scheduler.cancel_all();
    }

    /// Restarts a killed server on the same address.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
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

/// Accepts connections until the task is aborted, which also closes the connections.
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
