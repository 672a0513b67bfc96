//! Routes of forwarded requests: the services that can answer a request, and the limits that apply to it.
//!
//! A [`Routing`] holds one version of the gateway's configuration. A request uses the routing that was in effect when
//! it arrived, so that all parts of its answer come from one version. See `docs/design/platform.md`.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::Revision;
use crate::ids::ServiceId;

/// Step of the low-discrepancy sequence that distributes requests over weighted services: the fractional part of the
/// golden ratio, scaled to 2^32. After 100 requests, the share of each service is within 1% of its weight.
const GOLDEN_RATIO_STEP: u32 = 2_654_435_769;

/// Maximum time of a limit. A configuration may hold any value, and a clock cannot.
const MAX_TIME: Duration = Duration::from_secs(24 * 3600);

/// Routes, services and limits of one configuration version.
#[derive(Debug, Default)]
pub struct Routing {
    /// Revision of the configuration. A higher revision replaces a lower one.
    pub revision: Revision,
    /// Limits on connections and requests of callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: IndexMap<ServiceId, ServiceLimits>,
    /// Rank of the most urgent route to each service; 0 is the most urgent.
    ranks: IndexMap<ServiceId, u32>,
    /// Routes by lower-case host name, in descending order of prefix length.
    hosts: IndexMap<Box<str>, Vec<Arc<Route>>>,
}

/// Limits on the size of requests and on the idle time of connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known. They equal the defaults of the platform.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Limits of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Maximum number of connections that a backend server of the service accepts from all instances together.
    pub connections: u32,
}

/// A route, which maps requests by host and path prefix to a target.
#[derive(Debug)]
pub struct Route {
    /// Name, unique within a configuration version.
    pub name: Box<str>,
    /// Prefix of the request paths that the route matches.
    pub prefix: Box<str>,
    /// Whether requests may run more than once.
    pub idempotent: bool,
    /// Maximum number of backend servers that a request may be sent to, for each shard.
    pub max_attempts: u32,
    /// Time within which a request must be answered.
    pub timeout: Duration,
    /// Latency up to which an answer has its full value to the caller.
    pub target_latency: Duration,
    /// Priority relative to other routes; 0 is the most urgent.
    pub rank: u32,
    /// Services that requests are sent to.
    pub target: Target,
}

/// Services that the requests of a route are sent to.
#[derive(Debug)]
pub enum Target {
    /// One backend server of one service.
    Single(ServiceId),
    /// One backend server of one of several services, chosen in proportion to their weights.
    Split(Split),
    /// One backend server of each shard.
    Shards(ShardSet),
}

impl Target {
    /// Returns all services that requests may be sent to, including those with weight 0.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let (single, split, shards) = match self {
            Self::Single(service) => (Some(service), None, None),
            Self::Split(split) => (None, Some(split.weights.iter().map(|(service, _)| service)), None),
            Self::Shards(set) => (None, None, Some(set.shards.iter())),
        };
        let split = split.into_iter().flatten();
        single.into_iter().chain(split).chain(shards.into_iter().flatten())
    }
}

/// Services that share the requests of a route by weight.
#[derive(Debug)]
pub struct Split {
    weights: Vec<(ServiceId, f64)>,
    next: AtomicU32,
}

impl Split {
    /// Creates a split that starts at a random point of the sequence. Services whose weight is not positive get no
    /// requests.
    ///
    /// In a deployment of many instances, each may distribute only a few requests per version. From a common start, all
    /// of them would send their first requests to the same service.
    #[must_use]
    pub fn new(weights: Vec<(ServiceId, f64)>) -> Self {
        Self::with_start(weights, rand::random())
    }

    /// Creates a split that starts at the point `start` of the sequence, which covers the range of `u32`.
    #[must_use]
    pub const fn with_start(weights: Vec<(ServiceId, f64)>, start: u32) -> Self {
        Self {
            weights,
            next: AtomicU32::new(start),
        }
    }

    /// Returns the services with a positive weight.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let usable = self.weights.iter().filter(|(_, weight)| *weight > 0.0);
        usable.map(|(service, _)| service)
    }

    /// Returns the service for the next request, or `None` if no weight is positive.
    #[must_use]
    pub fn next_service(&self) -> Option<&ServiceId> {
        let total: f64 = self.weights.iter().map(|(_, weight)| weight.max(0.0)).sum();
        let point = self.next.fetch_add(GOLDEN_RATIO_STEP, Ordering::Relaxed);
        let mut remaining = f64::from(point) / f64::from(u32::MAX) * total;
        let usable = self.weights.iter().filter(|(_, weight)| *weight > 0.0);
        let mut last = None;
        for (service, weight) in usable {
            last = Some(service);
            if remaining < *weight {
                break;
            }
            remaining -= weight;
        }
        last
    }
}

/// Shards of an index, and the requirements on a merged answer.
#[derive(Debug, Clone)]
pub struct ShardSet {
    /// Service of each shard.
    pub shards: Vec<ServiceId>,
    /// Maximum number of records in an answer.
    pub top_k: usize,
    /// Minimum share of shards that an answer must cover, in `0.0..=1.0`.
    pub min_coverage: f64,
}

impl ShardSet {
    /// Returns the minimum number of parts in an answer, which is at least one.
    #[must_use]
    pub fn min_parts(&self) -> usize {
        // The tolerance prevents floating-point errors from rounding up exact products such as 0.75 * 8.
        let rounded = (self.min_coverage * self.shards.len() as f64 - 1e-9).ceil() as usize;
        rounded.clamp(1, self.shards.len().max(1))
    }
}

impl Routing {
    /// Creates a routing from pairs of host and route. Times are at most a day.
    #[must_use]
    pub fn new(
        revision: Revision,
        mut limits: CallerLimits,
        services: IndexMap<ServiceId, ServiceLimits>,
        routes: Vec<(Box<str>, Route)>,
    ) -> Self {
        let mut hosts: IndexMap<Box<str>, Vec<Arc<Route>>> = IndexMap::new();
        let mut ranks: IndexMap<ServiceId, u32> = IndexMap::new();
        limits.idle_timeout = limits.idle_timeout.min(MAX_TIME);
        for (host, mut route) in routes {
            route.timeout = route.timeout.min(MAX_TIME);
            route.target_latency = route.target_latency.min(MAX_TIME);
            for service in route.target.services() {
                let rank = ranks.entry(service.clone()).or_insert(route.rank);
                *rank = route.rank.min(*rank);
            }
            let host = host.to_ascii_lowercase().into_boxed_str();
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            revision,
            limits,
            services,
            ranks,
            hosts,
        }
    }

    /// Returns whether another route to `service` is more urgent than `route`.
    #[must_use]
    pub fn is_outranked(&self, route: &Route, service: &str) -> bool {
        self.ranks.get(service).is_some_and(|rank| *rank < route.rank)
    }

    /// Returns whether a more urgent route shares a service with `route`.
    #[must_use]
    pub fn is_route_outranked(&self, route: &Route) -> bool {
        let mut services = route.target.services();
        services.any(|service| self.is_outranked(route, service))
    }

    /// Returns the route of `host` with the longest prefix that matches `path`. A port in `host` and its case are
    /// ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&*name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the routes of all hosts.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// Returns the number of routes of all hosts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns whether there are no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
