//! Description of a load to replay.

use std::time::Duration;

/// Requests of one kind.
#[derive(Debug, Clone)]
pub struct Kind {
    pub name: &'static str,
    /// Requests a second at all instances together.
    pub rate: f64,
    /// Time that a part takes at a server.
    pub work: Duration,
    pub objective: Duration,
    pub time_limit: Duration,
    /// Least share of the shards in an answer.
    pub coverage: f64,
    /// Whether another kind is more urgent.
    pub is_outranked: bool,
}

/// State of a server at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Health {
    Good,
    /// Works this many times slower.
    Slow(f64),
    /// Takes requests and never answers.
    Silent,
    /// Refuses connections.
    Down,
    /// Answers this share of its requests with a failure at once.
    Failing(f64),
    /// Refuses this share of its requests at once, though it has room.
    Shedding(f64),
    /// Fails all requests of one instance in this many, and works for the others.
    FailingFor(usize),
    /// Runs its requests, and loses this share of the answers with their connections.
    Losing(f64),
    /// Resets a connection that was idle for this long, with the next request on it.
    Forgetful(Duration),
}

/// A load to replay.
pub struct Load {
    pub seed: u64,
    pub shards: usize,
    pub instances: usize,
    /// Data centres, among which instances and the servers of a shard are spread in turn.
    pub data_centres: usize,
    pub kinds: Vec<Kind>,
    pub length: Duration,
    /// Factor on the rates of the callers of a data centre, at a time since the start.
    pub rate_factor: fn(data_centre: usize, Duration) -> f64,
    /// Time since the start from which requests are reported.
    pub report_from: Duration,
    /// Health of the server with this number of this shard, at a time since the start.
    pub health: fn(shard: usize, server: usize, Duration) -> Health,
    /// Time for which the server with this number of each shard is still cold at the start, as its entry says.
    pub warmup: fn(server: usize) -> Duration,
}
