//! Fake platform: values with versions, watches, outages, stale answers, and a count of reads.

use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use indexmap::IndexSet;
use pimentoflow::ids::Digest;
use pimentoflow::process::dissemination::PlatformResponse;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::scenarios::fleet::content::Publication;

/// Reads a second that the platform allows.
const READ_LIMIT: u64 = 2_000;

/// Fake platform.
#[derive(Debug)]
pub struct Platform {
    /// Whether it refuses every call.
    pub down: bool,
    /// Data centres that cannot reach it.
    pub cut: IndexSet<usize>,
    /// Fraction of reads answered with an earlier value, in `0.0..=1.0`.
    pub stale: f64,
    /// Shortest and longest time of an answer.
    pub latency: (Duration, Duration),
    /// Reads made.
    pub reads: u64,
    /// Greatest number of reads in one second.
    pub peak: u64,
    /// Reads refused because the limit was exceeded.
    pub refused: u64,
    roots: Vec<Bytes>,
    parts: IndexMap<Digest, Bytes>,
    second: u64,
    in_second: u64,
}

impl Platform {
    /// Makes a platform without values that answers within `latency`.
    #[must_use]
    pub fn new(latency: (Duration, Duration)) -> Self {
        Self {
            down: false,
            cut: IndexSet::new(),
            stale: 0.0,
            latency,
            reads: 0,
            peak: 0,
            refused: 0,
            roots: Vec::new(),
            parts: IndexMap::new(),
            second: 0,
            in_second: 0,
        }
    }

    /// Publishes a document: first the parts, then the root.
    pub fn publish(&mut self, publication: &Publication) {
        for (digest, body) in &publication.document.parts {
            self.parts.insert(*digest, body.clone());
        }
        self.roots.push(publication.document.root.clone());
    }

    /// Counts a read. Returns false when it is refused.
    pub fn count(&mut self, centre: usize, elapsed: Duration) -> bool {
        if self.cut.contains(&centre) {
            // The call does not arrive.
            return false;
        }
        let second = elapsed.as_secs();
        if second != self.second {
            self.second = second;
            self.in_second = 0;
        }
        self.reads += 1;
        self.in_second += 1;
        self.peak = self.peak.max(self.in_second);
        if self.in_second > READ_LIMIT {
            self.refused += 1;
            return false;
        }
        !self.down
    }

    /// Returns the time that an answer takes.
    pub fn delay(&self, rng: &mut SmallRng) -> Duration {
        rng.random_range(self.latency.0..=self.latency.1)
    }

    /// Returns the version of the root.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.roots.len() as u64
    }

    /// Answers a read of the root.
    pub fn root(&self, rng: &mut SmallRng) -> PlatformResponse {
        let mut version = self.roots.len();
        if version > 1 && rng.random_bool(self.stale) {
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

    /// Answers a read of a part.
    #[must_use]
    pub fn part(&self, digest: &Digest) -> Option<Bytes> {
        self.parts.get(digest).cloned()
    }
}
