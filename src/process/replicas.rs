//! Observed latency and health of the searchers, outlier ejection and slow start.
//!
//! The entry relies on its own observations: requests in flight, latencies and refusals. Replies also carry a
//! [`LaneReport`], in which a leaf describes its lane to one searcher. It is only a hint, valid for [`HINT_MAX_AGE`],
//! and says nothing about the lanes of other leaves to that searcher. See `docs/design/stragglers.md`.

mod histogram;
mod limits;
mod replica;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

pub use histogram::RatioHistogram;
pub use limits::AVOID_DEFAULT;
pub use limits::AVOID_MAX;
pub use limits::EJECT_BASE;
pub use limits::EJECT_FAILURES;
pub use limits::EJECT_MAX;
pub use limits::EJECT_RATIO;
pub use limits::LEAVING_TTL;
pub use limits::RAMP;
pub use limits::RAMP_START;
pub use replica::HINT_MAX_AGE;
pub use replica::Replica;

use crate::ids::SearcherIndex;
use crate::process::replicas::limits::EJECT_FLOOR_US;
use crate::process::replicas::limits::EJECT_SAMPLES;
use crate::process::replicas::limits::FIRST_HEDGE_SHARE;
use crate::process::replicas::limits::HEDGE_DELAY_CAP;
use crate::process::replicas::limits::HEDGE_DELAY_DEFAULT;
use crate::process::replicas::limits::PEER_SAMPLES;
use crate::process::replicas::limits::SECOND_HEDGE_QUANTILE;
use crate::version::tables::Tables;
use crate::wire::proto::LaneReport;
use crate::wire::proto::RefusalReason;

/// Availability of a searcher for new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// The searcher accepts work.
    Ready,
    /// The searcher should get less work: it refused because of load, a lane to it is full, or it is in slow start.
    Busy,
    /// The searcher is ejected until the given time, as an outlier or after failures.
    Ejected(Instant),
    /// The searcher is leaving and must get no new work.
    Leaving,
}

/// Observations of all searchers of one revision. Updates are lock-free.
#[derive(Debug)]
pub struct Replicas {
    epoch: Instant,
    data_centre: Box<str>,
    adaptive: bool,
    searchers: Vec<Arc<Replica>>,
    local_flags: Vec<bool>,
    services: Vec<Arc<ServiceStats>>,
}

/// Observations of all searchers of a service combined.
#[derive(Debug, Default)]
struct ServiceStats {
    histogram: RatioHistogram,
    all: Replica,
}

/// Hedge delays, as multiples of the searcher's typical latency.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeRatios {
    /// For first attempts, retries and redirects.
    pub first: f64,
    /// For attempts that are hedges themselves.
    pub second: f64,
}

/// Guard of a request in flight to a searcher. Dropping it decrements the count, so the requests of a cancelled query
/// are no longer counted.
#[derive(Debug)]
pub struct InFlight {
    replica: Arc<Replica>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.replica.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Replicas {
    /// Creates empty observations for an instance in `data_centre`.
    #[must_use]
    pub fn new(tables: &Tables, data_centre: &str, now: Instant) -> Self {
        let services = tables.indexes.values().flat_map(|index| index.services.keys());
        Self {
            epoch: now,
            data_centre: data_centre.into(),
            adaptive: true,
            searchers: tables.searchers.values().map(|_| Arc::default()).collect(),
            local_flags: local_flags(tables, data_centre),
            services: services.map(|_| Arc::default()).collect(),
        }
    }

    /// Creates the observations for the next revision. Searchers with an unchanged transport digest and services with
    /// the same name keep their observations; new searchers begin in slow start.
    #[must_use]
    pub fn carry_over(&self, old: &Tables, new: &Tables, now: Instant) -> Self {
        let searchers = new.searchers.iter().map(|(id, searcher)| {
            let before = old.searchers.get_full(id);
            match before {
                Some((ix, _, known)) if known.transport_digest == searcher.transport_digest => {
                    Arc::clone(&self.searchers[ix])
                }
                _ => self.new_in_slow_start(now),
            }
        });
        let names = |tables: &Tables| -> Vec<Box<str>> {
            let all = tables.indexes.values().flat_map(|index| index.services.keys());
            all.cloned().collect()
        };
        let known: std::collections::HashMap<Box<str>, usize> = names(old).into_iter().zip(0..).collect();
        let services = names(new).into_iter().map(|name| match known.get(&name) {
            Some(position) => Arc::clone(&self.services[*position]),
            None => Arc::default(),
        });
        Self {
            epoch: self.epoch,
            data_centre: self.data_centre.clone(),
            adaptive: self.adaptive,
            searchers: searchers.collect(),
            local_flags: local_flags(new, &self.data_centre),
            services: services.collect(),
        }
    }

    /// Disables every use of the observations except for leaving searchers. Experiments use this as their baseline.
    #[must_use]
    pub fn without_adaptation(mut self) -> Self {
        self.adaptive = false;
        self
    }

    /// Counts a request in flight until the returned guard is dropped.
    #[must_use]
    pub fn begin(&self, searcher: SearcherIndex) -> InFlight {
        let replica = Arc::clone(self.replica(searcher));
        replica.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight { replica }
    }

    /// Records the latency of a reply, and ejects the searcher if it is an outlier among `peers`, the replicas of
    /// the shard.
    pub fn on_reply(
        &self,
        service: usize,
        searcher: SearcherIndex,
        peers: &[SearcherIndex],
        latency: Duration,
        now: Instant,
    ) {
        self.replica(searcher).failures.store(0, Ordering::Relaxed);
        self.observe(service, searcher, latency);
        if self.is_outlier(service, searcher, peers) {
            self.eject(searcher, now);
        }
    }

    /// Records that an attempt was abandoned after `waited`, which is a lower bound of its latency. Bounds below the
    /// typical latency carry no information and are ignored.
    pub fn on_abandoned(
        &self,
        service: usize,
        searcher: SearcherIndex,
        peers: &[SearcherIndex],
        waited: Duration,
        now: Instant,
    ) {
        let typical_latency = self.replica(searcher).typical_latency();
        if !typical_latency.is_some_and(|typical_latency| micros(waited) as f64 > typical_latency) {
            return;
        }
        self.observe(service, searcher, waited);
        if self.is_outlier(service, searcher, peers) {
            self.eject(searcher, now);
        }
    }

    /// Records a refusal. A refusal because of load makes the searcher [`Availability::Busy`] for a time, `Draining`
    /// marks it as leaving, and `Unreachable` counts as a failure.
    pub fn on_refusal(
        &self,
        searcher: SearcherIndex,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        now: Instant,
    ) {
        match reason {
            RefusalReason::Shedding | RefusalReason::QueueFull => {
                let time = retry_after.unwrap_or(AVOID_DEFAULT).min(AVOID_MAX);
                self.replica(searcher)
                    .avoid_until
                    .store(self.micros_at(now + time), Ordering::Relaxed);
            }
            RefusalReason::Draining => self.set_leaving(searcher, true, now),
            RefusalReason::Unreachable => self.on_failure(searcher, now),
            _ => {}
        }
    }

    /// Records a leaf's report on its lane to the searcher: whether the lane is full, and whether the searcher is
    /// draining.
    pub fn on_lane_report(&self, searcher: SearcherIndex, report: &LaneReport, now: Instant) {
        let full = report.limit > 0 && report.in_flight >= report.limit && report.queued > 0;
        self.replica(searcher).set_lane_full(full, self.micros_at(now));
        if report.draining {
            self.set_leaving(searcher, true, now);
        }
    }

    /// Records that a searcher is leaving or has returned. A searcher that returned begins in slow start.
    pub fn set_leaving(&self, searcher: SearcherIndex, leaving: bool, now: Instant) {
        let replica = self.replica(searcher);
        let until = if leaving { now + LEAVING_TTL } else { now };
        replica.leaving_until.store(self.micros_at(until), Ordering::Relaxed);
        replica.ramp_from.store(self.micros_at(until), Ordering::Relaxed);
    }

    /// Returns the availability of a searcher. `sample` is a random number in `0.0..1.0` that is compared with the
    /// traffic share of slow start.
    #[must_use]
    pub fn availability(&self, searcher: SearcherIndex, sample: f64, now: Instant) -> Availability {
        let replica = self.replica(searcher);
        let at = self.micros_at(now);
        let ejected = replica.ejected_until.load(Ordering::Relaxed);
        if at < replica.leaving_until.load(Ordering::Relaxed) {
            return Availability::Leaving;
        }
        if !self.adaptive {
            return Availability::Ready;
        }
        if at < ejected {
            return Availability::Ejected(self.epoch + Duration::from_micros(ejected));
        }
        let avoided = at < replica.avoid_until.load(Ordering::Relaxed);
        if avoided || replica.is_lane_full(at) || sample >= self.slow_start_share(searcher, now) {
            return Availability::Busy;
        }
        Availability::Ready
    }

    /// Returns whether a searcher may receive requests, that is, it is neither leaving nor ejected.
    #[must_use]
    pub fn is_usable(&self, searcher: SearcherIndex, now: Instant) -> bool {
        matches!(
            self.availability(searcher, 0.0, now),
            Availability::Ready | Availability::Busy
        )
    }

    /// Returns whether the searcher runs in the data centre of this instance.
    #[must_use]
    pub fn is_local(&self, searcher: SearcherIndex) -> bool {
        self.local_flags[searcher as usize]
    }

    /// Returns the number of this instance's requests in flight to a searcher.
    #[must_use]
    pub fn in_flight(&self, searcher: SearcherIndex) -> u32 {
        self.replica(searcher).in_flight.load(Ordering::Relaxed)
    }

    /// Returns the typical latency of a searcher, or that of its service while the searcher has no samples.
    #[must_use]
    pub fn typical_latency(&self, service: usize, searcher: SearcherIndex) -> Option<Duration> {
        let typical_latency = self
            .replica(searcher)
            .typical_latency()
            .or_else(|| self.services[service].all.typical_latency())?;
        Some(Duration::from_micros(typical_latency as u64))
    }

    /// Returns the expected latency of one more request: the typical latency multiplied by the requests in flight
    /// including the new one.
    #[must_use]
    pub fn expected_wait(&self, service: usize, searcher: SearcherIndex) -> Duration {
        if !self.adaptive {
            return Duration::ZERO;
        }
        let typical_latency = self
            .typical_latency(service, searcher)
            .unwrap_or(Duration::from_millis(1));
        typical_latency.saturating_mul(self.in_flight(searcher).saturating_add(1))
    }

    /// Returns the ratios of the hedge delays to the typical latency. `budget` is the fraction of extra sub-queries
    /// that hedging may add. It determines only the first delay; the second is at a fixed quantile. Each call scans the
    /// histogram, so a query should call it once per service.
    #[must_use]
    pub fn hedge_ratios(&self, service: usize, budget: f64) -> HedgeRatios {
        let histogram = &self.services[service].histogram;
        let Some(cap) = histogram.quantile(0.95).map(|upper| upper * HEDGE_DELAY_CAP) else {
            return HedgeRatios {
                first: HEDGE_DELAY_DEFAULT,
                second: HEDGE_DELAY_DEFAULT,
            };
        };
        let ratio = |quantile: f64| histogram.quantile(quantile).unwrap_or(cap).min(cap);
        HedgeRatios {
            first: ratio(FIRST_HEDGE_SHARE.mul_add(-budget, 1.0)),
            second: ratio(SECOND_HEDGE_QUANTILE),
        }
    }

    fn replica(&self, searcher: SearcherIndex) -> &Arc<Replica> {
        &self.searchers[searcher as usize]
    }

    fn observe(&self, service: usize, searcher: SearcherIndex, latency: Duration) {
        let stats = &self.services[service];
        let latency = micros(latency) as f64;
        let has_samples = self.replica(searcher).samples.load(Ordering::Relaxed) >= PEER_SAMPLES;
        let ratio = self.replica(searcher).observe(latency);
        stats.all.observe(latency);
        if let Some(ratio) = ratio.filter(|_| has_samples) {
            stats.histogram.record(ratio);
        }
    }

    /// Returns whether a searcher is an outlier compared with the fastest other replica or the whole service,
    /// whichever is faster.
    fn is_outlier(&self, service: usize, searcher: SearcherIndex, peers: &[SearcherIndex]) -> bool {
        let replica = self.replica(searcher);
        if replica.samples.load(Ordering::Relaxed) < EJECT_SAMPLES {
            return false;
        }
        let Some(own) = replica.typical_latency() else {
            return false;
        };
        let sampled = peers
            .iter()
            .filter(|peer| **peer != searcher)
            .map(|peer| self.replica(*peer))
            .filter(|peer| peer.samples.load(Ordering::Relaxed) >= PEER_SAMPLES)
            .filter_map(|peer| peer.typical_latency());
        let reference = sampled
            .chain(self.services[service].all.typical_latency())
            .reduce(f64::min);
        reference.is_some_and(|reference| own > EJECT_RATIO * reference && own > reference + EJECT_FLOOR_US)
    }

    fn on_failure(&self, searcher: SearcherIndex, now: Instant) {
        let failures = self.replica(searcher).failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures >= EJECT_FAILURES {
            self.eject(searcher, now);
        }
    }

    /// Ejects a searcher unless it is ejected already. Its latency is learned from scratch after it returns.
    fn eject(&self, searcher: SearcherIndex, now: Instant) {
        let replica = self.replica(searcher);
        let at = self.micros_at(now);
        let before = replica.ejected_until.load(Ordering::Relaxed);
        if at < before {
            return;
        }
        let is_repeated = before > 0 && at < before + micros(EJECT_MAX);
        let count = if is_repeated {
            replica.ejections.load(Ordering::Relaxed) + 1
        } else {
            0
        };
        replica.ejections.store(count, Ordering::Relaxed);
        let time = EJECT_BASE.saturating_mul(1 << count.min(16)).min(EJECT_MAX);
        let until = at + micros(time);
        replica.ejected_until.store(until, Ordering::Relaxed);
        replica.ramp_from.store(until, Ordering::Relaxed);
        replica.failures.store(0, Ordering::Relaxed);
        replica.forget_latency();
    }

    /// Returns the share of traffic that slow start allows; 1 outside slow start.
    fn slow_start_share(&self, searcher: SearcherIndex, now: Instant) -> f64 {
        let from = self.replica(searcher).ramp_from.load(Ordering::Relaxed);
        if from == 0 {
            return 1.0;
        }
        let passed = self.micros_at(now).saturating_sub(from) as f64;
        let progress = (passed / micros(RAMP) as f64).min(1.0);
        (1.0 - RAMP_START).mul_add(progress, RAMP_START)
    }

    fn new_in_slow_start(&self, now: Instant) -> Arc<Replica> {
        let replica = Replica::default();
        replica.ramp_from.store(self.micros_at(now), Ordering::Relaxed);
        Arc::new(replica)
    }

    /// Converts a time to microseconds since the epoch. The result is at least 1, because 0 means never.
    fn micros_at(&self, at: Instant) -> u64 {
        micros(at.saturating_duration_since(self.epoch)).max(1)
    }
}

fn local_flags(tables: &Tables, data_centre: &str) -> Vec<bool> {
    let all = tables.searchers.values();
    all.map(|searcher| *searcher.data_centre == *data_centre).collect()
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
