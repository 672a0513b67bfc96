//! Prometheus metrics of a process.
//!
//! Counters are atomic. Recording a value takes an exclusive lock only for the first use of a label set.

use std::fmt;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency buckets in seconds. Most lie in the range of the current deadlines (50 ms to 2 s), so
/// that burn rates can be computed from the histogram.
pub(crate) const LATENCY_BUCKETS: [f64; 16] = [
    0.002, 0.005, 0.010, 0.020, 0.030, 0.050, 0.075, 0.100, 0.150, 0.200, 0.300, 0.500, 0.750, 1.0, 2.0, 5.0,
];

/// Labels of the request metrics.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Index of the request, or empty when the request names no existing index.
    pub index: String,
    /// Class of the request: `urgent` or `routine`.
    pub class: &'static str,
    /// `ok`, `partial` or the name of an error kind.
    pub outcome: &'static str,
}

/// Label of metrics that are counted by reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Reason, or event for [`Metrics::lane_events`].
    pub reason: &'static str,
}

/// Label of metrics that are recorded per searcher.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SearcherLabel {
    /// Name of the searcher.
    pub searcher: String,
}

/// Metrics of a process. Clones share their values.
#[derive(Clone)]
pub struct Metrics {
    /// Number of requests answered.
    pub requests: Family<RequestLabels, Counter>,
    /// Latency of requests, in seconds.
    pub latency: Family<RequestLabels, Histogram, fn() -> Histogram>,
    /// Number of parts missing from answers, by reason.
    pub missing_parts: Family<ReasonLabel, Counter>,
    /// Number of sub-queries planned.
    pub planned_parts: Counter,
    /// Number of sub-queries sent in addition to the planned ones, by reason.
    pub extra_parts: Family<ReasonLabel, Counter>,
    /// Number of requests refused by the leaf, by reason.
    pub refusals: Family<ReasonLabel, Counter>,
    /// Number of open connections to each searcher.
    pub connections: Family<SearcherLabel, Gauge>,
    /// Number of connections opened to searchers.
    pub connections_opened: Counter,
    /// Maximum number of requests in flight at each searcher.
    pub limit: Family<SearcherLabel, Gauge>,
    /// Number of events of all lanes: `dispatched`, `waited`, `cancels`, `cap_refusals`, `pauses`.
    pub lane_events: Family<ReasonLabel, Counter>,
    /// Number of requests queued in the leaf.
    pub queued: Gauge,
    /// Configuration revision in effect.
    pub revision: Gauge,
    /// Number of configuration documents refused.
    pub documents_refused: Counter,
    /// Number of reads from the platform.
    pub platform_reads: Counter,
    /// Number of process pauses detected by the timer service.
    pub pauses: Counter,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS)
}

impl Metrics {
    /// Creates the metrics and registers them with the prefix `pimento`.
    #[must_use]
    pub fn new() -> (Self, Registry) {
        let metrics = Self {
            requests: Family::default(),
            latency: Family::new_with_constructor(latency_histogram as fn() -> Histogram),
            missing_parts: Family::default(),
            planned_parts: Counter::default(),
            extra_parts: Family::default(),
            refusals: Family::default(),
            connections: Family::default(),
            connections_opened: Counter::default(),
            limit: Family::default(),
            lane_events: Family::default(),
            queued: Gauge::default(),
            revision: Gauge::default(),
            documents_refused: Counter::default(),
            platform_reads: Counter::default(),
            pauses: Counter::default(),
        };
        let mut registry = Registry::with_prefix("pimento");
        metrics.register(&mut registry);
        (metrics, registry)
    }

    fn register(&self, registry: &mut Registry) {
        registry.register("requests", "Requests answered", self.requests.clone());
        registry.register("request_seconds", "Latency of requests", self.latency.clone());
        registry.register(
            "missing_parts",
            "Parts that answers did not cover",
            self.missing_parts.clone(),
        );
        registry.register("planned_parts", "Sub-queries planned", self.planned_parts.clone());
        registry.register(
            "extra_parts",
            "Sub-queries beyond the planned ones",
            self.extra_parts.clone(),
        );
        registry.register("refusals", "Refusals of the leaf", self.refusals.clone());
        registry.register(
            "connections",
            "Connections open to a searcher",
            self.connections.clone(),
        );
        registry.register(
            "connections_opened",
            "Connections opened to searchers",
            self.connections_opened.clone(),
        );
        registry.register(
            "limit",
            "Requests that may be in flight at a searcher",
            self.limit.clone(),
        );
        registry.register("lane_events", "Events of lanes", self.lane_events.clone());
        registry.register("queued", "Work queued in the leaf", self.queued.clone());
        registry.register("revision", "Configuration revision in effect", self.revision.clone());
        registry.register(
            "documents_refused",
            "Configuration documents refused",
            self.documents_refused.clone(),
        );
        registry.register("platform_reads", "Reads of the platform", self.platform_reads.clone());
        registry.register("pauses", "Pauses of the process", self.pauses.clone());
    }

    /// Records one answered request.
    pub fn record_request(&self, labels: &RequestLabels, latency: Duration) {
        self.requests.get_or_create(labels).inc();
        self.latency.get_or_create(labels).observe(latency.as_secs_f64());
    }
}
