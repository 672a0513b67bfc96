//! Gateway: accepts HTTP requests of callers and forwards each to one backend server, or to one server of every shard.
//!
//! The gateway owns the state that all requests share: the routing and the servers in effect, the latencies of routes,
//! the budgets for extra attempts, and readiness. [`crate::request::fanout`] makes the decisions about a single
//! request. See `docs/design/platform.md`.

mod answer;
mod attempt;
mod followers;
mod forwarding;
mod head;
pub mod log_quota;
mod metrics;
mod platform_state;
mod program;
mod rate_limits;
mod reachability;
mod relay;
mod request;
mod roster_exchange;
mod settings;
mod suspects;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use slog::Logger;
use slog::info;
use tokio::sync::Notify;
use tokio::sync::watch;

pub use head::HeaderNames;
pub use program::RELOAD_INTERVAL;
pub use program::Running;
pub use program::run;
pub use program::start;
pub(crate) use request::serve;
pub use settings::GatewaySettings;

use crate::connection::body::BodyMemory;
use crate::ids::ServiceId;
use crate::process::admin::Readiness;
use crate::process::backends::Directory;
use crate::process::backends::View;
use crate::process::discovery::Decoder;
use crate::process::discovery::History;
use crate::process::discovery::Position;
use crate::process::extra::ExtraBudget;
use crate::process::extra::ExtraLimits;
use crate::process::gateway::log_quota::LogQuota;
use crate::process::gateway::metrics::GatewayMetrics;
use crate::process::gateway::platform_state::PlatformState;
use crate::process::gossip::Gossip;
use crate::process::gossip::InstanceCount;
use crate::process::http::HttpLimits;
use crate::process::isolation::Isolation;
use crate::process::latency::LatencyHistogram;
use crate::process::quarantine::Quarantine;
use crate::process::throttle::Throttle;
use crate::version::routing::CallerLimits;
use crate::version::routing::Routing;

/// `Retry-After` time of refusals while this instance has no configuration. The first full read takes a few round trips
/// to the platform.
const STARTING_RETRY: Duration = Duration::from_millis(300);

/// Time within which a caller must accept some bytes of an answer. An answer stays in memory until it is read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time before the end of a planned stop at which the last requests are answered, so that callers receive the answers.
const STOP_MARGIN: Duration = Duration::from_millis(100);

/// Maximum number of open caller connections. Each takes a file descriptor and about 20 KB of buffers.
const MAX_CALLER_CONNECTIONS: usize = 4096;

/// Snapshot of the state that a new request is served with.
#[derive(Debug)]
pub(crate) struct EffectiveState {
    pub(crate) routing: Arc<Routing>,
    pub(crate) view: Arc<View>,
    /// Limits on the extra attempts of this instance.
    pub(crate) extra: ExtraLimits,
    /// Number of known instances.
    pub(crate) instances: InstanceCount,
}

/// State shared by all requests of an instance.
#[derive(Debug)]
pub struct Gateway {
    /// Logger for events of this gateway.
    pub log: Logger,
    pub(crate) header_names: HeaderNames,
    pub(crate) settings: GatewaySettings,
    pub(crate) metrics: GatewayMetrics,
    readiness: Readiness,
    /// Time by which requests must be answered because the process stops; `None` while no stop is planned.
    pub(crate) stop_time: watch::Sender<Option<Instant>>,
    effective: ArcSwapOption<EffectiveState>,
    platform_state: Mutex<PlatformState>,
    gossip: Mutex<Gossip>,
    decoder: Decoder,
    route_latencies: Mutex<IndexMap<Box<str>, Arc<Mutex<LatencyHistogram>>>>,
    throttles: Mutex<IndexMap<Box<str>, Throttle>>,
    budgets: Mutex<IndexMap<ServiceId, ExtraBudget>>,
    in_flight: AtomicUsize,
    /// Memory budget for the response bodies of all backend servers.
    pub(crate) body_memory: BodyMemory,
    log_quota: LogQuota,
    quarantine: Mutex<Quarantine>,
    /// Wakes the task that sends news about requests that crash servers.
    quarantine_changed: Notify,
    isolation: Mutex<Isolation>,
    /// Wakes the task that checks whether the data centre is isolated.
    isolation_suspected: Notify,
    /// Interrupts a waiting read of the platform, so that a new read shows at once whether the platform is reachable.
    pub(crate) read_request: Notify,
    started_at: Instant,
    /// Whether another instance has told what it knows, or none could be asked. Until then, a request that crashes servers
    /// would run again.
    has_asked_peers: AtomicBool,
    /// Time of the last successful read of the platform.
    read_at: Mutex<Option<Instant>>,
    /// Notifies the instances that follow this one when a read of the platform ends.
    pub(crate) read_ended: watch::Sender<()>,
}

impl Gateway {
    /// Creates a gateway without any platform state, and its metrics registry.
    #[must_use]
    pub fn new(
        settings: GatewaySettings,
        header_names: HeaderNames,
        decoder: Decoder,
        log: Logger,
    ) -> (Arc<Self>, prometheus_client::registry::Registry) {
        let (metrics, registry) = GatewayMetrics::new();
        let platform = PlatformState {
            directory: Directory::new(settings.data_centre.clone(), settings.entry_ttl),
            entries: IndexMap::new(),
            configuration: None,
            position: None,
            is_follower: false,
            history: History::default(),
            complete_at: None,
            relayed_at: None,
            routing: None,
            extra: settings.extra,
            has_full_read: false,
            is_stopping: false,
        };
        let gossip = Gossip::new(
            settings.instance.clone(),
            settings.data_centre.clone(),
            settings.peers,
            &settings.seeds,
            settings.assumed_instances,
        );
        let gateway = Self {
            gossip: Mutex::new(gossip),
            decoder,
            log,
            header_names,
            settings,
            metrics,
            readiness: Readiness::default(),
            stop_time: watch::Sender::new(None),
            effective: ArcSwapOption::empty(),
            platform_state: Mutex::new(platform),
            route_latencies: Mutex::default(),
            throttles: Mutex::default(),
            budgets: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            body_memory: BodyMemory::default(),
            log_quota: LogQuota::new(Instant::now()),
            quarantine: Mutex::new(Quarantine::new(rand::rng().random())),
            quarantine_changed: Notify::new(),
            isolation: Mutex::default(),
            isolation_suspected: Notify::new(),
            read_request: Notify::new(),
            started_at: Instant::now(),
            has_asked_peers: AtomicBool::new(false),
            read_at: Mutex::new(None),
            read_ended: watch::Sender::new(()),
        };
        (Arc::new(gateway), registry)
    }

    /// Returns the readiness flag, which the load balancer polls.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        self.readiness.clone()
    }

    /// Returns the number of known instances.
    #[must_use]
    pub fn instances(&self) -> InstanceCount {
        self.gossip.lock().unwrap_or_else(PoisonError::into_inner).count()
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the limits for caller connections under the configuration in effect.
    #[must_use]
    pub fn http_limits(&self) -> HttpLimits {
        let effective = self.effective.load();
        let limits = effective
            .as_ref()
            .map_or_else(CallerLimits::default, |now| now.routing.limits);
        HttpLimits {
            connections: MAX_CALLER_CONNECTIONS,
            buffer_bytes: limits.header_bytes,
            head_timeout: limits.idle_timeout,
            write_timeout: WRITE_TIMEOUT,
        }
    }

    /// Returns the position up to which the platform state is known, either from a read by this instance or from
    /// another instance.
    #[must_use]
    pub fn position(&self) -> Option<Position> {
        self.platform_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .position
    }

    /// Returns the time since the last successful read of the platform in milliseconds, for the log.
    fn read_age_ms(&self) -> Option<u64> {
        let read_at = *self.read_at.lock().unwrap_or_else(PoisonError::into_inner);
        read_at.map(|at| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns whether the last read of the platform failed, or no state was received from it yet.
    pub(crate) fn is_platform_unreachable(&self) -> bool {
        let platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
        platform.directory.is_platform_lost() || platform.position.is_none()
    }

    /// Applies reloaded settings. Only the seeds and the limits on extra attempts take effect while the process runs.
    pub fn apply_settings(&self, settings: &GatewaySettings) {
        let mut gossip = self.gossip.lock().unwrap_or_else(PoisonError::into_inner);
        gossip.set_seeds(&settings.seeds);
        drop(gossip);
        let mut platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
        platform.extra = settings.extra;
        self.put_in_effect(&platform);
        let fixed = &self.settings;
        let needs_restart = (fixed.callers, fixed.readiness, &fixed.instance, &fixed.data_centre)
            != (
                settings.callers,
                settings.readiness,
                &settings.instance,
                &settings.data_centre,
            );
        info!(self.log, "settings_in_effect"; "seeds" => settings.seeds.len(), "restart_needed" => needs_restart);
    }

    /// Begins a planned stop: clears readiness, so that the load balancer sends no new connections.
    pub fn begin_stop(&self) {
        let mut platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
        platform.is_stopping = true;
        self.readiness.set(false);
    }

    /// Announces that the process ends after `time`, so that requests end with an answer before it does.
    pub fn set_stop_time(&self, time: Duration) {
        let answer_by = Instant::now() + time.saturating_sub(STOP_MARGIN);
        self.stop_time.send_replace(Some(answer_by));
    }

    /// Waits until requests must be answered because the process stops.
    pub(crate) async fn stop_reached(&self) {
        let mut stop_time = self.stop_time.subscribe();
        // The gateway holds the sender, so the channel stays open.
        if let Ok(stop_time) = stop_time.wait_for(Option::is_some).await.map(|time| *time)
            && let Some(stop_time) = stop_time
        {
            tokio::time::sleep_until(stop_time.into()).await;
        }
    }

    /// Removes the latencies and throttles of routes that the new configuration does not contain, so that memory stays
    /// bounded. Budgets of services are kept, since their windows span changes of the configuration.
    fn remove_unused(&self, routing: &Routing) {
        let names: IndexSet<&str> = routing.routes().map(|route| &*route.name).collect();
        let mut route_latencies = self.route_latencies.lock().unwrap_or_else(PoisonError::into_inner);
        route_latencies.retain(|name, _| names.contains(&**name));
        drop(route_latencies);
        let mut throttles = self.throttles.lock().unwrap_or_else(PoisonError::into_inner);
        throttles.retain(|name, _| names.contains(&**name));
    }

    fn put_in_effect(&self, platform: &PlatformState) {
        let Some(routing) = &platform.routing else { return };
        let instances = self.instances();
        let view = platform.directory.view(Some(routing), instances);
        let extra = platform.extra.per_instance(instances.all);
        if let Some(before) = &*self.effective.load() {
            self.log_service_changes(&before.view, &view);
        }
        self.effective.store(Some(Arc::new(EffectiveState {
            routing: Arc::clone(routing),
            view: Arc::new(view),
            extra,
            instances,
        })));
        self.metrics
            .revision
            .set(i64::try_from(routing.revision).unwrap_or(i64::MAX));
        self.update_readiness(platform);
    }

    /// Updates the readiness flag for the load balancer.
    fn update_readiness(&self, platform: &PlatformState) {
        let Some(routing) = &platform.routing else { return };
        let is_informed = platform.has_full_read && self.has_asked_peers.load(Ordering::Relaxed);
        let is_ready = is_informed && !platform.is_stopping && !self.redirects_callers();
        if is_ready != self.readiness.get() {
            info!(self.log, "ready"; "is_ready" => is_ready, "revision" => routing.revision);
            self.readiness.set(is_ready);
        }
    }

    /// Returns the latencies of a route. They are kept by route name when the configuration changes.
    fn latencies(&self, route: &str) -> Arc<Mutex<LatencyHistogram>> {
        let mut route_latencies = self.route_latencies.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(latencies) = route_latencies.get(route) {
            return Arc::clone(latencies);
        }
        let latencies: Arc<Mutex<LatencyHistogram>> = Arc::default();
        route_latencies.insert(route.into(), Arc::clone(&latencies));
        latencies
    }

    /// Calls `f` with the throttle of a route.
    fn with_throttle<T>(&self, route: &str, f: impl FnOnce(&mut Throttle) -> T) -> T {
        let mut throttles = self.throttles.lock().unwrap_or_else(PoisonError::into_inner);
        match throttles.get_mut(route) {
            Some(throttle) => f(throttle),
            None => f(throttles.entry(route.into()).or_default()),
        }
    }

    /// Calls `f` with the budget for extra attempts of a service.
    fn with_budget<T>(&self, service: &str, now: Instant, f: impl FnOnce(&mut ExtraBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        match budgets.get_mut(service) {
            Some(budget) => f(budget),
            None => f(budgets.entry(service.into()).or_insert_with(|| ExtraBudget::new(now))),
        }
    }
}
