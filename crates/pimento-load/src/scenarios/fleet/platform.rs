//! Fake platform that stores document versions, limits and counts reads, and simulates outages and stale answers.

use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use indexmap::IndexSet;
use pimentoflow::ids::Digest;
use pimentoflow::process::dissemination::PlatformResponse;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::scenarios::fleet::content::Publication;

/// Number of reads that the platform allows in one second.
const READ_LIMIT_PER_S: u64 = 2_000;

/// Fake platform. See the module documentation.
#[derive(Debug)]
pub struct Platform {
    /// Whether all calls fail.
    pub down: bool,
    /// Data centres that cannot reach the platform.
    pub isolated: IndexSet<usize>,
    /// Probability that a read returns an earlier version, in `0.0..=1.0`.
    pub stale_rate: f64,
    /// Shortest and longest response time.
    pub latency: (Duration, Duration),
    /// Number of reads that arrived.
    pub reads: u64,
    /// Greatest number of reads that arrived in one second.
    pub peak_rate: u64,
    /// Number of reads refused above the rate limit.
    pub refused: u64,
    roots: Vec<Bytes>,
    parts: IndexMap<Digest, Bytes>,
    current_second: u64,
    second_count: u64,
}

impl Platform {
    /// Creates a platform without documents whose response times lie within `latency`.
    #[must_use]
    pub fn new(latency: (Duration, Duration)) -> Self {
        Self {
            down: false,
            isolated: IndexSet::new(),
            stale_rate: 0.0,
            latency,
            reads: 0,
            peak_rate: 0,
            refused: 0,
            roots: Vec::new(),
            parts: IndexMap::new(),
            current_second: 0,
            second_count: 0,
        }
    }

    /// Stores a document: first the parts, then the root that refers to them.
    pub fn publish(&mut self, publication: &Publication) {
        for (digest, body) in &publication.document.parts {
            self.parts.insert(*digest, body.clone());
        }
        self.roots.push(publication.document.root.clone());
    }

    /// Counts a read and returns whether the platform answers it.
    pub fn admit_read(&mut self, data_centre: usize, elapsed: Duration) -> bool {
        if self.isolated.contains(&data_centre) {
            // The call does not reach the platform, so it is not counted.
            return false;
        }
        let current_second = elapsed.as_secs();
        if current_second != self.current_second {
            self.current_second = current_second;
            self.second_count = 0;
        }
        self.reads += 1;
        self.second_count += 1;
        self.peak_rate = self.peak_rate.max(self.second_count);
        if self.second_count > READ_LIMIT_PER_S {
            self.refused += 1;
            return false;
        }
        !self.down
    }

    /// Draws the response time of a call.
    pub fn draw_latency(&self, rng: &mut SmallRng) -> Duration {
        rng.random_range(self.latency.0..=self.latency.1)
    }

    /// Returns the current version of the root.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.roots.len() as u64
    }

    /// Returns the response to a read of the root, which may be an earlier version.
    pub fn root(&self, rng: &mut SmallRng) -> PlatformResponse {
        let mut version = self.roots.len();
        if version > 1 && rng.random_bool(self.stale_rate) {
            version = rng.random_range(1..version);
        }
        match version.checked_sub(1) {
            Some(ix) => PlatformResponse::Value {
                version: version as u64,
                body: self.roots[ix].clone(),
            },
            None => PlatformResponse::Failed { retry_after: None },
        }
    }

    /// Returns a part by its digest.
    #[must_use]
    pub fn part(&self, digest: &Digest) -> Option<Bytes> {
        self.parts.get(digest).cloned()
    }
}
