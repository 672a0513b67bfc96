//! Fake backend server with a limited capacity and a connection cap, which counts violations of its limits.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use pimentoflow::connection::lane::work::Work;
use pimentoflow::connection::lane::work::WorkId;
use pimentoflow::connection::pool::ConnectionId;
use rand::Rng;
use rand::rngs::SmallRng;

/// Constant part of a service time.
const SERVICE_BASE: Duration = Duration::from_millis(12);

/// Mean of the exponential part of a service time.
const SERVICE_SPREAD: Duration = Duration::from_millis(8);

/// Mean service time of an unloaded server.
pub const SERVICE_MEAN: Duration = Duration::from_millis(20);

/// Increase of the service time for each request above the capacity, as a fraction, if the server does not refuse them.
const OVERLOAD_PENALTY: f64 = 0.1;

/// Factor by which the service time of a straggler is longer.
pub const STRAGGLER_FACTOR: f64 = 30.0;

/// Identifies a connection at the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Link {
    /// Index of the leaf.
    pub leaf: usize,
    /// Id of the connection at the leaf.
    pub connection: ConnectionId,
}

/// Capacity and behaviour of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerConfig {
    /// Number of requests that the server executes at once without a slowdown.
    pub capacity: f64,
    /// Maximum number of open connections.
    pub connection_cap: usize,
    /// Whether requests above the capacity are refused. Otherwise later requests take longer.
    pub refuses: bool,
    /// Fraction of requests that take [`STRAGGLER_FACTOR`] times as long, in `0.0..=1.0`.
    pub straggler_share: f64,
}

/// Counters of a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerCounts {
    /// Number of accepted connections.
    pub accepted: u64,
    /// Number of connections refused because of the cap.
    pub over_cap: u64,
    /// Greatest number of connections open at once.
    pub peak_connections: usize,
    /// Number of requests received.
    pub received: u64,
    /// Number of requests refused because of the capacity.
    pub refused: u64,
    /// Greatest number of requests executed at once.
    pub peak_running: usize,
    /// Number of repeated receipts of non-idempotent requests.
    pub repeated: u64,
    /// Number of requests received on a connection with another request in progress.
    pub pipelined: u64,
}

/// Request in progress.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Connection of the request.
    pub link: Link,
    /// Id of its work item.
    pub work: WorkId,
    /// Its service time.
    pub service: Duration,
}

/// Fake backend server. See the module documentation.
#[derive(Debug)]
pub struct Server {
    /// Current configuration.
    pub config: ServerConfig,
    /// Counters since the start.
    pub counts: ServerCounts,
    rng: SmallRng,
    links: IndexSet<Link>,
    running: IndexMap<u64, Request>,
    submitted: IndexSet<WorkId>,
    next_key: u64,
    leaf_requests: IndexMap<usize, u64>,
}

impl Server {
    /// Creates an idle server.
    #[must_use]
    pub fn new(config: ServerConfig, rng: SmallRng) -> Self {
        Self {
            config,
            counts: ServerCounts::default(),
            rng,
            links: IndexSet::new(),
            running: IndexMap::new(),
            submitted: IndexSet::new(),
            next_key: 0,
            leaf_requests: IndexMap::new(),
        }
    }

    /// Accepts a connection. Returns `false` if the cap is reached.
    pub fn connect(&mut self, link: Link) -> bool {
        if self.links.len() >= self.config.connection_cap {
            self.counts.over_cap += 1;
            return false;
        }
        self.links.insert(link);
        self.counts.accepted += 1;
        self.counts.peak_connections = self.counts.peak_connections.max(self.links.len());
        true
    }

    /// Removes a connection. A request in progress on it continues.
    pub fn disconnect(&mut self, link: Link) {
        self.links.swap_remove(&link);
    }

    /// Returns whether a connection is open.
    #[must_use]
    pub fn is_connected(&self, link: Link) -> bool {
        self.links.contains(&link)
    }

    /// Returns the open connection at a position, modulo their number, or `None` if there is none.
    #[must_use]
    pub fn link_at(&self, position: usize) -> Option<Link> {
        let position = position.checked_rem(self.links.len())?;
        self.links.get_index(position).copied()
    }

    /// Returns whether a connection has a request in progress.
    #[must_use]
    pub fn is_busy(&self, link: Link) -> bool {
        self.running.values().any(|request| request.link == link)
    }

    /// Returns the number of requests received from a leaf.
    #[must_use]
    pub fn received_from(&self, leaf: usize) -> u64 {
        self.leaf_requests.get(&leaf).copied().unwrap_or_default()
    }

    /// Receives a request. Returns its key and service time, or `None` if it is refused.
    pub fn receive(&mut self, link: Link, work: &Work) -> Option<(u64, Duration)> {
        self.counts.received += 1;
        *self.leaf_requests.entry(link.leaf).or_default() += 1;
        self.counts.pipelined += u64::from(self.is_busy(link));
        if !work.idempotent && !self.submitted.insert(work.id) {
            self.counts.repeated += 1;
        }
        let running = self.running.len() + 1;
        let excess = running as f64 - self.config.capacity;
        if self.config.refuses && excess > 0.0 {
            self.counts.refused += 1;
            return None;
        }
        self.counts.peak_running = self.counts.peak_running.max(running);
        let service = self.draw_service_time(running as f64);
        let key = self.next_key;
        self.next_key += 1;
        let work = work.id;
        self.running.insert(key, Request { link, work, service });
        Some((key, service))
    }

    /// Removes a request that has been executed. Returns `None` if it was cancelled.
    pub fn finish(&mut self, key: u64) -> Option<Request> {
        self.running.swap_remove(&key)
    }

    /// Cancels a request. Returns its connection, or `None` if it is not in progress.
    pub fn cancel(&mut self, leaf: usize, work: WorkId) -> Option<Link> {
        let found = self.running.iter().find(|(_, r)| r.link.leaf == leaf && r.work == work);
        let key = *found?.0;
        self.running.swap_remove(&key).map(|request| request.link)
    }

    fn draw_service_time(&mut self, running: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let straggler = self.config.straggler_share > 0.0 && self.rng.random_bool(self.config.straggler_share);
        let factor = if straggler { STRAGGLER_FACTOR } else { 1.0 };
        let service = (SERVICE_BASE + SERVICE_SPREAD.mul_f64(-uniform.ln())).mul_f64(factor);
        let excess = (running - self.config.capacity).max(0.0);
        let sharing = (running / self.config.capacity).max(1.0);
        service.mul_f64(sharing * (1.0 + OVERLOAD_PENALTY * excess))
    }
}
