//! Fake backend server with slots, a queue, snapshots and a key range.

use std::collections::VecDeque;
use std::f64::consts::TAU;
use std::time::Duration;

use pimentoflow::version::keys::KeyRange;
use pimentoflow::version::tables::Tables;
use pimentoflow::wire::proto;
use pimentoflow::wire::proto::Hit;
use pimentoflow::wire::proto::Hits;
use pimentoflow::wire::proto::PartResult;
use pimentoflow::wire::proto::Refusal;
use pimentoflow::wire::proto::RefusalReason;
use pimentoflow::wire::proto::part_result::Outcome;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::scenarios::search::audit::RankedDocument;
use crate::scenarios::search::audit::documents;
use crate::scenarios::search::audit::keep_best;

/// Attempt of a sub-query at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Job {
    /// Correlation id of the query.
    pub correlation: u64,
    /// Part number.
    pub part: u32,
    /// Attempt number.
    pub attempt: u32,
    /// Index of the service in the plan.
    pub service: u32,
    /// Requested key range.
    pub range: KeyRange,
    /// Requested snapshot.
    pub snapshot: u64,
}

/// Log-normal distribution of service times, with a share of stragglers.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTimes {
    /// Median service time.
    pub median: Duration,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// Fraction of requests that are stragglers, in `0.0..=1.0`.
    pub straggler_share: f64,
    /// Factor by which the service time of a straggler is longer.
    pub straggler_factor: f64,
}

/// Fake backend server. See the module documentation.
#[derive(Debug)]
pub struct Server {
    /// Distribution of the service times.
    pub times: ServiceTimes,
    /// Number of jobs that the server executes at once.
    pub slots: usize,
    /// Snapshots that the server holds.
    pub snapshots: Vec<u64>,
    /// Keys that the server holds, which may differ from the configuration.
    pub key_range: KeyRange,
    /// Whether results contain all keys of the server instead of the requested range, and a document of another shard.
    pub ignores_range: bool,
    /// Jobs that wait for a slot.
    pub queue: VecDeque<Job>,
    running: Vec<Job>,
}

impl Server {
    /// Creates an idle server.
    #[must_use]
    pub const fn new(times: ServiceTimes, slots: usize, snapshots: Vec<u64>, key_range: KeyRange) -> Self {
        Self {
            times,
            slots,
            snapshots,
            key_range,
            ignores_range: false,
            queue: VecDeque::new(),
            running: Vec::new(),
        }
    }

    /// Starts the next job if a slot is free. Returns the job and its service time.
    pub fn start_next(&mut self, rng: &mut SmallRng) -> Option<(Job, Duration)> {
        if self.running.len() >= self.slots {
            return None;
        }
        let job = self.queue.pop_front()?;
        self.running.push(job);
        Some((job, self.times.sample(rng)))
    }

    /// Removes a job that has been executed. Returns `false` if it was cancelled.
    pub fn finish(&mut self, job: &Job) -> bool {
        let before = self.running.len();
        self.running.retain(|running| running != job);
        self.running.len() < before
    }

    /// Cancels a queued or running job.
    pub fn cancel(&mut self, job: &Job) {
        self.running.retain(|running| running != job);
        self.queue.retain(|queued| queued != job);
    }

    /// Returns a refusal if the server does not hold the snapshot of a job.
    #[must_use]
    pub fn check_snapshot(&self, job: Job) -> Option<PartResult> {
        if self.snapshots.contains(&job.snapshot) {
            return None;
        }
        let refusal = Refusal {
            reason: RefusalReason::SnapshotGone.into(),
            ..Refusal::default()
        };
        Some(self.result(job, Outcome::Refusal(refusal)))
    }

    /// Returns the refusal of a leaf that does not know the searcher of a job.
    #[must_use]
    pub fn refuse_unknown(&self, job: Job) -> PartResult {
        let refusal = Refusal {
            reason: RefusalReason::UnknownSearcher.into(),
            ..Refusal::default()
        };
        self.result(job, Outcome::Refusal(refusal))
    }

    /// Returns the answer to a job: its best documents.
    #[must_use]
    pub fn answer(&self, job: Job, limit: u32) -> PartResult {
        let asked = if self.ignores_range { KeyRange::ALL } else { job.range };
        let range = self.key_range.intersection(asked);
        let mut best: Vec<RankedDocument> = documents(job.service, range).collect();
        let limit = if self.ignores_range { usize::MAX } else { limit as usize };
        keep_best(&mut best, limit);
        let mut hits: Vec<Hit> = best.into_iter().map(|document| document.hit(job.snapshot)).collect();
        if self.ignores_range {
            hits.push(moved_document(range));
        }
        let outcome = Outcome::Hits(Hits {
            snapshot: job.snapshot,
            range: Some(proto::KeyRange {
                start: range.start,
                end: range.end,
            }),
            truncated: false,
            hits,
        });
        self.result(job, outcome)
    }

    fn result(&self, job: Job, outcome: Outcome) -> PartResult {
        PartResult {
            correlation: job.correlation,
            part: job.part,
            attempt: job.attempt,
            outcome: Some(outcome),
            report: None,
            held: self.snapshots.clone(),
        }
    }
}

/// Returns a hit just outside the range of a result, like a document that moved to another shard in a split. No answer
/// may contain it.
fn moved_document(range: KeyRange) -> Hit {
    Hit {
        key: range.end,
        document: "leftover".to_owned(),
        score: f64::MAX,
    }
}

impl ServiceTimes {
    fn sample(&self, rng: &mut SmallRng) -> Duration {
        let radius = (-2.0 * rng.random_range(f64::MIN_POSITIVE..1.0).ln()).sqrt();
        let normal = radius * (TAU * rng.random::<f64>()).cos();
        let usual = self.median.mul_f64((self.sigma * normal).exp());
        if rng.random_bool(self.straggler_share) {
            usual.mul_f64(self.straggler_factor)
        } else {
            usual
        }
    }
}

/// Creates a server for each searcher in `tables`, which holds the keys of its shard.
#[must_use]
pub fn for_tables(tables: &Tables, times: ServiceTimes, snapshots: &[u64]) -> Vec<Server> {
    let services = tables.indexes.values().flat_map(|index| index.services.values());
    let shards = services.flat_map(|service| &service.shards);
    let ranges = shards.flat_map(|shard| shard.replicas.iter().map(|_| shard.range));
    let slots = tables.searchers.values().map(|searcher| searcher.slots as usize);
    let servers = ranges
        .zip(slots)
        .map(|(range, slots)| Server::new(times, slots, snapshots.to_vec(), range));
    servers.collect()
}
