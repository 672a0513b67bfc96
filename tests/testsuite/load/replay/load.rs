//! Description of a load.

use std::time::Duration;

/// Requests of one kind.
#[derive(Debug, Clone)]
pub struct Kind {
    pub name: &'static str,
    /// Requests per second to all instances.
    pub rate: f64,
    /// Service time of a part.
    pub service_time: Duration,
    /// Time within which an answer must reach the caller to be timely.
    pub objective: Duration,
    /// Time until the caller's deadline.
    pub time_limit: Duration,
    /// Minimum share of the shards in an answer.
    pub coverage: f64,
    /// Whether another kind is more urgent.
    pub is_outranked: bool,
}

/// Health of a server at a point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Health {
    Good,
    /// Takes this many times longer for each request.
    Slow(f64),
    /// Announces that it accepts this many requests per second from all instances together.
    Limited(f64),
    /// Accepts requests and never answers.
    Silent,
    /// Refuses connections.
    Down,
    /// Answers this share of its requests with an immediate failure.
    Failing(f64),
    /// Refuses this share of its requests immediately although it has capacity.
    Shedding(f64),
    /// Fails all requests of every n-th instance and works for the others.
    FailingFor(usize),
    /// Runs its requests, and loses this share of the answers by closing their connections.
    Losing(f64),
    /// Resets a connection that was idle for longer than this when the next request arrives on it.
    DropsIdle(Duration),
}

/// A load to replay.
pub struct Load {
    pub seed: u64,
    pub shards: usize,
    pub instances: usize,
    /// Number of data centres. Instances and the servers of each shard are distributed over them round-robin.
    pub data_centres: usize,
    pub kinds: Vec<Kind>,
    pub length: Duration,
    /// Factor on the request rate of a data centre's callers at a time since the start.
    pub rate_factor: fn(data_centre: usize, Duration) -> f64,
    /// Time since the start before which requests are excluded from the report.
    pub report_from: Duration,
    /// Health of a server of a shard at a time since the start.
    pub health: fn(shard: usize, server: usize, Duration) -> Health,
    /// Warm-up time that the entries of the servers with this index state at the start.
    pub warmup: fn(server: usize) -> Duration,
}
