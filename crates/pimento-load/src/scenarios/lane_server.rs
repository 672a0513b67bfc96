//! Fake backend server: slots, a connection cap, and its own count of violations.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use pimentoflow::connection::lane::work::Work;
use pimentoflow::connection::lane::work::WorkId;
use pimentoflow::connection::pool::ConnectionId;
use rand::Rng;
use rand::rngs::SmallRng;

/// Fixed part of a service time.
const SERVICE_BASE: Duration = Duration::from_millis(12);

/// Mean of the exponential part of a service time.
const SERVICE_SPREAD: Duration = Duration::from_millis(8);

/// Mean service time of an unloaded server.
pub const SERVICE_MEAN: Duration = Duration::from_millis(20);

/// Cost of each request above the capacity for a server that does not refuse, as a fraction of the service time.
const OVERLOAD_PENALTY: f64 = 0.1;

/// Factor by which a straggler is slower.
pub const STRAGGLER_FACTOR: f64 = 30.0;

/// One end of a connection as the server sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Link {
    /// Position of the leaf.
    pub leaf: usize,
    /// Number that the leaf gave the connection.
    pub connection: ConnectionId,
}

/// Behaviour of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerConfig {
    /// Requests that it runs at one time without becoming slower.
    pub capacity: f64,
    /// Connections that it accepts.
    pub connection_cap: usize,
    /// Whether it refuses requests above its capacity. Otherwise all become slower.
    pub refuses: bool,
    /// Part of the requests that are slower by [`STRAGGLER`], in `0.0..=1.0`.
    pub stragglers: f64,
}

/// Counts of a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerCounts {
    /// Connections accepted.
    pub accepted: u64,
    /// Connections attempted above the cap.
    pub over_cap: u64,
    /// Connections held at one time, at most.
    pub peak_connections: usize,
    /// Requests received.
    pub received: u64,
    /// Requests refused for lack of capacity.
    pub refused: u64,
    /// Requests running at one time, at most.
    pub peak_running: usize,
    /// Non-idempotent requests received more than once.
    pub repeated: u64,
    /// Requests received on a connection that already carried one.
    pub pipelined: u64,
}

/// A request that runs.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Connection on which it came.
    pub link: Link,
    /// Its work item.
    pub work: WorkId,
    /// Its service time.
    pub service: Duration,
}

/// Fake backend server. See the module documentation.
#[derive(Debug)]
pub struct Server {
    /// Present behaviour.
    pub config: ServerConfig,
    /// Counts so far.
    pub counts: ServerCounts,
    rng: SmallRng,
    links: IndexSet<Link>,
    running: IndexMap<u64, Request>,
    submitted: IndexSet<WorkId>,
    next_key: u64,
    leaf_requests: IndexMap<usize, u64>,
}

impl Server {
    /// Makes an idle server.
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

    /// Accepts a connection, or returns `false` at the cap.
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

    /// Forgets a connection. A request that came on it goes on.
    pub fn disconnect(&mut self, link: Link) {
        self.links.swap_remove(&link);
    }

    /// Tells whether a connection is open.
    #[must_use]
    pub fn is_connected(&self, link: Link) -> bool {
        self.links.contains(&link)
    }

    /// Returns the connection at a position, modulo their number.
    #[must_use]
    pub fn link_at(&self, position: usize) -> Option<Link> {
        let position = position.checked_rem(self.links.len())?;
        self.links.get_index(position).copied()
    }

    /// Tells whether a connection carries a request.
    #[must_use]
    pub fn is_busy(&self, link: Link) -> bool {
        self.running.values().any(|request| request.link == link)
    }

    /// Returns the requests received from a leaf.
    #[must_use]
    pub fn received_from(&self, leaf: usize) -> u64 {
        self.leaf_requests.get(&leaf).copied().unwrap_or_default()
    }

    /// Takes a request and returns its number and service time, or nothing when it is refused.
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

    /// Ends a request, unless it was cancelled.
    pub fn finish(&mut self, key: u64) -> Option<Request> {
        self.running.swap_remove(&key)
    }

    /// Cancels a request and returns its connection.
    pub fn cancel(&mut self, leaf: usize, work: WorkId) -> Option<Link> {
        let found = self.running.iter().find(|(_, r)| r.link.leaf == leaf && r.work == work);
        let key = *found?.0;
        self.running.swap_remove(&key).map(|request| request.link)
    }

    fn draw_service_time(&mut self, running: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let straggler = self.config.stragglers > 0.0 && self.rng.random_bool(self.config.stragglers);
        let factor = if straggler { STRAGGLER_FACTOR } else { 1.0 };
        let service = (SERVICE_BASE + SERVICE_SPREAD.mul_f64(-uniform.ln())).mul_f64(factor);
        let excess = (running - self.config.capacity).max(0.0);
        let sharing = (running / self.config.capacity).max(1.0);
        service.mul_f64(sharing * (1.0 + OVERLOAD_PENALTY * excess))
    }
}
