//! Gateway: takes whole HTTP requests of callers and forwards each to one backend server, or to one of every shard.
//!
//! The gateway owns the state that all requests share: the routing and the servers in effect, the latencies of routes, the
//! budgets of extra attempts, and readiness. The decisions of one request are in [`crate::request::fanout`]. See
//! `docs/design/platform.md`.

mod answer;
mod attempt;
mod followers;
mod forwarding;
mod head;
mod known;
pub mod lines;
mod measures;
mod neighbours;
mod program;
mod reach;
mod request;
mod settings;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use indexmap::IndexMap;
use indexmap::IndexSet;
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
use crate::process::gateway::known::Known;
use crate::process::gateway::lines::Lines;
use crate::process::gateway::measures::Measures;
use crate::process::gossip::Gossip;
use crate::process::gossip::InstanceCount;
use crate::process::http::HttpLimits;
use crate::process::isolation::Isolation;
use crate::process::pace::Pace;
use crate::process::pressure::Pressure;
use crate::version::routing::CallerLimits;
use crate::version::routing::Routing;

/// Time that a caller that is refused waits before it comes back while this instance knows no configuration. Reading
/// everything takes a few round trips to the platform.
const STARTING_RETRY: Duration = Duration::from_millis(300);

/// Time in which a caller must take some bytes of an answer; one that does not read would hold its answer in memory.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Connections of callers that are open at one time. Each takes a descriptor and some 20 KB of buffers.
const CALLER_CONNECTIONS: usize = 4096;

/// What is in effect for a request that arrives now.
#[derive(Debug)]
pub(crate) struct Effective {
    pub(crate) routing: Arc<Routing>,
    pub(crate) view: Arc<View>,
    /// Bound on the extra attempts of this instance.
    pub(crate) extra: ExtraLimits,
    /// Number of instances.
    pub(crate) instances: InstanceCount,
}

/// State shared by all requests of an instance.
#[derive(Debug)]
pub struct Gateway {
    /// Logger.
    pub log: Logger,
    pub(crate) names: HeaderNames,
    pub(crate) settings: GatewaySettings,
    pub(crate) measures: Measures,
    readiness: Readiness,
    effective: ArcSwapOption<Effective>,
    known: Mutex<Known>,
    census: Mutex<Gossip>,
    decoder: Decoder,
    paces: Mutex<IndexMap<Box<str>, Arc<Mutex<Pace>>>>,
    pressures: Mutex<IndexMap<Box<str>, Pressure>>,
    budgets: Mutex<IndexMap<ServiceId, ExtraBudget>>,
    in_flight: AtomicUsize,
    /// Memory for the bodies of all answers of backend servers.
    pub(crate) bodies: BodyMemory,
    lines: Lines,
    isolation: Mutex<Isolation>,
    /// Wakes the task that looks whether the data centre is cut off.
    suspicions: Notify,
    /// Ends a read of the platform that waits, so that it is known at once whether the platform can be read.
    pub(crate) rereads: Notify,
    /// Time of the last successful read of the platform.
    read_at: Mutex<Option<Instant>>,
    /// Signals the end of a read of the platform to the instances that follow this one.
    pub(crate) reads: watch::Sender<()>,
}

impl Gateway {
    /// Makes a gateway that knows nothing of the platform yet.
    #[must_use]
    pub fn new(
        settings: GatewaySettings,
        names: HeaderNames,
        decoder: Decoder,
        log: Logger,
    ) -> (Arc<Self>, prometheus_client::registry::Registry) {
        let (measures, registry) = Measures::new();
        let known = Known {
            directory: Directory::new(settings.data_centre.clone()),
            values: IndexMap::new(),
            position: None,
            is_follower: false,
            history: History::default(),
            complete_at: None,
            relayed_at: None,
            routing: None,
            extra: settings.extra,
            is_listed: false,
            is_stopping: false,
        };
        let census = Gossip::new(
            settings.instance.clone(),
            settings.data_centre.clone(),
            settings.peers,
            &settings.seeds,
            settings.assumed_instances,
        );
        let gateway = Self {
            census: Mutex::new(census),
            decoder,
            log,
            names,
            settings,
            measures,
            readiness: Readiness::default(),
            effective: ArcSwapOption::empty(),
            known: Mutex::new(known),
            paces: Mutex::default(),
            pressures: Mutex::default(),
            budgets: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            bodies: BodyMemory::default(),
            lines: Lines::new(Instant::now()),
            isolation: Mutex::default(),
            suspicions: Notify::new(),
            rereads: Notify::new(),
            read_at: Mutex::new(None),
            reads: watch::Sender::new(()),
        };
        (Arc::new(gateway), registry)
    }

    /// Returns the flag that the balancer reads.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        self.readiness.clone()
    }

    /// Returns the number of instances that are known.
    #[must_use]
    pub fn instances(&self) -> InstanceCount {
        self.census.lock().unwrap_or_else(PoisonError::into_inner).count()
    }

    /// Returns the number of requests that are being served.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the limits of connections of callers under the configuration in effect.
    #[must_use]
    pub fn http_limits(&self) -> HttpLimits {
        let effective = self.effective.load();
        let limits = effective
            .as_ref()
            .map_or_else(CallerLimits::default, |now| now.routing.limits);
        HttpLimits {
            connections: CALLER_CONNECTIONS,
            buffer_bytes: limits.header_bytes,
            head_timeout: limits.idle,
            write_timeout: WRITE_TIMEOUT,
        }
    }

    /// Returns the position up to which the platform was read, by this instance or one that told it.
    #[must_use]
    pub fn position(&self) -> Option<Position> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner).position
    }

    /// Returns the time since the last successful read of the platform, in milliseconds, for the log.
    fn read_age_ms(&self) -> Option<u64> {
        let read_at = *self.read_at.lock().unwrap_or_else(PoisonError::into_inner);
        read_at.map(|at| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Tells whether this instance cannot read the platform now, or has not read it yet.
    pub(crate) fn is_cut(&self) -> bool {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.directory.is_disconnected() || known.position.is_none()
    }

    /// Takes settings that were read again. Seeds and the bound on extra attempts take effect; the rest cannot change
    /// while the process runs.
    pub fn on_settings(&self, settings: &GatewaySettings) {
        let mut census = self.census.lock().unwrap_or_else(PoisonError::into_inner);
        census.set_seeds(&settings.seeds);
        drop(census);
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.extra = settings.extra;
        self.put_in_effect(&known);
        let fixed = &self.settings;
        let is_moved = (fixed.callers, fixed.readiness, &fixed.instance, &fixed.data_centre)
            != (
                settings.callers,
                settings.readiness,
                &settings.instance,
                &settings.data_centre,
            );
        info!(self.log, "settings_in_effect"; "seeds" => settings.seeds.len(), "restart_needed" => is_moved);
    }

    /// Takes the beginning of a planned stop: the balancer is told to send no new connections.
    pub fn begin_stop(&self) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.is_stopping = true;
        self.readiness.set(false);
    }

    /// Forgets the latencies of routes that the new version does not name, so that versions in series do not fill the
    /// memory. Budgets of services stay, since their windows go on.
    fn forget_unused(&self, routing: &Routing) {
        let names: IndexSet<&str> = routing.routes().map(|route| &*route.name).collect();
        let mut paces = self.paces.lock().unwrap_or_else(PoisonError::into_inner);
        paces.retain(|name, _| names.contains(&**name));
        drop(paces);
        let mut pressures = self.pressures.lock().unwrap_or_else(PoisonError::into_inner);
        pressures.retain(|name, _| names.contains(&**name));
    }

    fn put_in_effect(&self, known: &Known) {
        let Some(routing) = &known.routing else { return };
        let instances = self.instances();
        let view = known.directory.view(Some(routing), instances);
        let extra = known.extra.share(instances.all);
        if let Some(before) = &*self.effective.load() {
            self.note_services(&before.view, &view);
        }
        self.effective.store(Some(Arc::new(Effective {
            routing: Arc::clone(routing),
            view: Arc::new(view),
            extra,
            instances,
        })));
        self.measures
            .revision
            .set(i64::try_from(routing.revision).unwrap_or(i64::MAX));
        self.update_readiness(known);
    }

    /// Tells the balancer whether this instance takes new connections.
    fn update_readiness(&self, known: &Known) {
        let Some(routing) = &known.routing else { return };
        let is_ready = known.is_listed && !known.is_stopping && !self.sends_callers_away();
        if is_ready != self.readiness.get() {
            info!(self.log, "ready"; "is_ready" => is_ready, "revision" => routing.revision);
            self.readiness.set(is_ready);
        }
    }

    /// Returns the latencies of a route. Routes keep them across versions by their names.
    fn pace(&self, route: &str) -> Arc<Mutex<Pace>> {
        let mut paces = self.paces.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pace) = paces.get(route) {
            return Arc::clone(pace);
        }
        let pace: Arc<Mutex<Pace>> = Arc::default();
        paces.insert(route.into(), Arc::clone(&pace));
        pace
    }

    /// Calls `act` with the load of the servers of a route.
    fn with_pressure<T>(&self, route: &str, act: impl FnOnce(&mut Pressure) -> T) -> T {
        let mut pressures = self.pressures.lock().unwrap_or_else(PoisonError::into_inner);
        match pressures.get_mut(route) {
            Some(pressure) => act(pressure),
            None => act(pressures.entry(route.into()).or_default()),
        }
    }

    /// Calls `act` with the budget of extra attempts of a service.
    fn with_budget<T>(&self, service: &str, now: Instant, act: impl FnOnce(&mut ExtraBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        match budgets.get_mut(service) {
            Some(budget) => act(budget),
            None => act(budgets.entry(service.into()).or_insert_with(|| ExtraBudget::new(now))),
        }
    }
}
