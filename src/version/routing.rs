//! Routes of forwarded requests: which services may answer a request, and within which limits.
//!
//! One [`Routing`] is one version of the configuration as the gateway uses it. A request keeps the routing that was in
//! effect when it arrived, so all its parts come from one version. See `docs/design/platform.md`.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::Revision;
use crate::ids::ServiceId;

/// Step of the low-discrepancy sequence that deals requests to weighted services: the fractional part of the golden
/// ratio, as a fraction of 2^32. Shares meet their weights within 1% after a hundred requests.
const GOLDEN_RATIO_STEP: u32 = 2_654_435_769;

/// Routes, services and limits of one version.
#[derive(Debug, Default)]
pub struct Routing {
    /// Version number; a greater one replaces a smaller one.
    pub revision: Revision,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: IndexMap<ServiceId, ServiceLimits>,
    /// Rank of the most urgent route to each service.
    ranks: IndexMap<ServiceId, u32>,
    /// Routes of each host, those with the longest prefix first.
    hosts: IndexMap<Box<str>, Vec<Arc<Route>>>,
}

/// Limits on what a caller may send and how long it may stay idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Greatest size of a request head, in bytes.
    pub header_bytes: usize,
    /// Greatest size of a request body, in bytes.
    pub body_bytes: usize,
    /// Longest time a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits that apply until a configuration is known; the platform's own defaults have the same size.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// What the configuration says of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Connections that one backend server accepts from all instances together.
    pub connections: u32,
}

/// One route.
#[derive(Debug)]
pub struct Route {
    /// Name of the route, unique within a version.
    pub name: Box<str>,
    /// Beginning of the paths that it takes.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Greatest number of backend servers that may run one attempt of a caller, for each shard.
    pub max_attempts: u32,
    /// Longest time that a request may stay unanswered.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub target_latency: Duration,
    /// Rank among routes; 0 is the most urgent.
    pub rank: u32,
    /// Where requests go.
    pub target: Target,
}

/// Where the requests of a route go.
#[derive(Debug)]
pub enum Target {
    /// To one backend server of one service.
    Single(ServiceId),
    /// To one backend server of one of several services, in proportion to their weights.
    Split(Split),
    /// To one backend server of each shard.
    Shards(ShardSet),
}

impl Target {
    /// Returns all services that requests may go to.
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
    /// Makes a split. Weights that are not positive get no requests. The place of the first request is random: with many
    /// instances each deals only a few requests of a version, and all would give the first ones to the same service.
    #[must_use]
    pub fn new(weights: Vec<(ServiceId, f64)>) -> Self {
        Self::with_start(weights, rand::random())
    }

    /// Makes a split whose first request lies at `start` in the sequence of all `u32`.
    #[must_use]
    pub const fn with_start(weights: Vec<(ServiceId, f64)>, start: u32) -> Self {
        Self {
            weights,
            next: AtomicU32::new(start),
        }
    }

    /// Returns the services that get requests.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let usable = self.weights.iter().filter(|(_, weight)| *weight > 0.0);
        usable.map(|(service, _)| service)
    }

    /// Deals the next request.
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

/// Shards of an index, with what an answer over them needs.
#[derive(Debug, Clone)]
pub struct ShardSet {
    /// Service of each shard.
    pub shards: Vec<ServiceId>,
    /// Number of records in an answer.
    pub top_k: usize,
    /// Least share of the shards that an answer must cover, in `0.0..=1.0`.
    pub min_coverage: f64,
}

impl ShardSet {
    /// Returns the least number of parts in an answer; at least one.
    #[must_use]
    pub fn min_parts(&self) -> usize {
        // The tolerance keeps products such as 0.75 x 8 from being rounded up by floating-point error.
        let rounded = (self.min_coverage * self.shards.len() as f64 - 1e-9).ceil() as usize;
        rounded.clamp(1, self.shards.len().max(1))
    }
}

impl Routing {
    /// Makes a routing from its routes with their hosts.
    #[must_use]
    pub fn new(
        revision: Revision,
        limits: CallerLimits,
        services: IndexMap<ServiceId, ServiceLimits>,
        routes: Vec<(Box<str>, Route)>,
    ) -> Self {
        let mut hosts: IndexMap<Box<str>, Vec<Arc<Route>>> = IndexMap::new();
        let mut ranks: IndexMap<ServiceId, u32> = IndexMap::new();
        for (host, route) in routes {
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

    /// Tells whether another route to the service is more urgent than `route`.
    #[must_use]
    pub fn is_outranked(&self, route: &Route, service: &str) -> bool {
        self.ranks.get(service).is_some_and(|rank| *rank < route.rank)
    }

    /// Tells whether a more urgent route shares servers with `route`.
    #[must_use]
    pub fn is_route_outranked(&self, route: &Route) -> bool {
        let mut services = route.target.services();
        services.any(|service| self.is_outranked(route, service))
    }

    /// Returns the route with the longest prefix that begins `path`. A port in `host` is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&*name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Tells whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
