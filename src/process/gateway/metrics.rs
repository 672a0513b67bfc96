//! Metrics of a gateway.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::process::metrics::LATENCY_BUCKETS;

/// Labels of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RouteLabels {
    /// Service of the request, or that of the first shard; empty if the request was not forwarded.
    pub(crate) service: String,
    /// `ok`, `partial`, `passed`, `refused`, `failed`, `timed_out`, `caller_left`, `turned_away`,
    /// `quarantined`, `stopping`, `starting`, `no_route` or `malformed`.
    pub(crate) outcome: &'static str,
}

/// Labels of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AttemptLabels {
    /// `first`, `hedge`, `retry` or `resend`.
    pub(crate) cause: &'static str,
    /// `answered`, `not_run`, `failed`, `crashed` or `unsent`.
    pub(crate) ending: &'static str,
}

/// Labels of a notice that a backend server sent about itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct NoticeLabels {
    /// `leaving`, counted once for each server, `hold`, counted for each `Retry-After` time that is received, or
    /// `limit`, counted for each rate limit that differs from the one before.
    pub(crate) notice: &'static str,
}

/// Labels of an event about a request under which servers crashed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct SuspectLabels {
    /// `suspected`, `trial`, `cleared` or `quarantined`.
    pub(crate) event: &'static str,
}

/// Metrics of a gateway.
#[derive(Clone)]
pub(crate) struct GatewayMetrics {
    pub(crate) requests: Family<RouteLabels, Counter>,
    pub(crate) latency: Family<RouteLabels, Histogram, fn() -> Histogram>,
    pub(crate) attempts: Family<AttemptLabels, Counter>,
    pub(crate) denied_extras: Counter,
    pub(crate) notices: Family<NoticeLabels, Counter>,
    /// Number of backend servers that have a rate limit.
    pub(crate) limited_servers: Gauge,
    pub(crate) suspects: Family<SuspectLabels, Counter>,
    /// Number of requests that are refused because they crash servers.
    pub(crate) quarantined_requests: Gauge,
    pub(crate) revision: Gauge,
    /// Seconds for which the newest change of the platform has not been reached; 0 when the state is current.
    pub(crate) platform_lag: Gauge<f64, AtomicU64>,
    /// Era of the platform at the last read.
    pub(crate) platform_era: Gauge,
    /// Number of full reads of the platform.
    pub(crate) full_reads: Counter,
}

impl fmt::Debug for GatewayMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayMetrics").finish_non_exhaustive()
    }
}

impl GatewayMetrics {
    pub(crate) fn new() -> (Self, Registry) {
        let metrics = Self {
            requests: Family::default(),
            latency: Family::new_with_constructor(|| Histogram::new(LATENCY_BUCKETS)),
            attempts: Family::default(),
            denied_extras: Counter::default(),
            notices: Family::default(),
            limited_servers: Gauge::default(),
            suspects: Family::default(),
            quarantined_requests: Gauge::default(),
            revision: Gauge::default(),
            platform_lag: Gauge::default(),
            platform_era: Gauge::default(),
            full_reads: Counter::default(),
        };
        let mut registry = Registry::with_prefix("pimento_gateway");
        registry.register("requests", "Requests of callers answered", metrics.requests.clone());
        registry.register("request_seconds", "Latency of requests", metrics.latency.clone());
        registry.register("attempts", "Attempts at backend servers", metrics.attempts.clone());
        registry.register(
            "denied_extras",
            "Extra attempts that the budget denied",
            metrics.denied_extras.clone(),
        );
        registry.register(
            "server_notices",
            "Backend servers that said that they are leaving, want no requests for a time, or limit the rate of requests",
            metrics.notices.clone(),
        );
        registry.register(
            "limited_servers",
            "Backend servers that have a rate limit",
            metrics.limited_servers.clone(),
        );
        registry.register(
            "suspect_requests",
            "Requests under which servers crashed: suspected, run as a trial, cleared by an answer, or quarantined",
            metrics.suspects.clone(),
        );
        registry.register(
            "quarantined_requests",
            "Requests that are refused because they crash servers",
            metrics.quarantined_requests.clone(),
        );
        registry.register("revision", "Configuration revision in effect", metrics.revision.clone());
        registry.register(
            "platform_lag_seconds",
            "Time for which changes have been followed without reaching the newest one",
            metrics.platform_lag.clone(),
        );
        registry.register(
            "platform_era",
            "Era of the platform, which rises when it returns from a copy of its state",
            metrics.platform_era.clone(),
        );
        registry.register(
            "platform_full_reads",
            "Reads of all values of the platform",
            metrics.full_reads.clone(),
        );
        (metrics, registry)
    }

    pub(crate) fn count_notice(&self, notice: &'static str) {
        self.notices.get_or_create(&NoticeLabels { notice }).inc();
    }

    pub(crate) fn count_suspect(&self, event: &'static str) {
        self.suspects.get_or_create(&SuspectLabels { event }).inc();
    }

    pub(crate) fn record_request(&self, service: &str, outcome: &'static str, latency: Duration) {
        let labels = RouteLabels {
            service: service.into(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
        self.latency.get_or_create(&labels).observe(latency.as_secs_f64());
    }
}
