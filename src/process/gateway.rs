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
pub mod lines;
mod measures;
mod neighbours;
mod program;
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
use bytes::Bytes;
use indexmap::IndexMap;
use indexmap::IndexSet;
use slog::Logger;
use slog::info;
use slog::warn;
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
use crate::process::backends::BackendEntry;
use crate::process::backends::Directory;
use crate::process::backends::Effect;
use crate::process::backends::View;
use crate::process::catalogue;
use crate::process::catalogue::Change;
use crate::process::catalogue::Changes;
use crate::process::catalogue::Decoder;
use crate::process::catalogue::Extent;
use crate::process::catalogue::History;
use crate::process::catalogue::Item;
use crate::process::catalogue::Origin;
use crate::process::catalogue::Position;
use crate::process::census::Census;
use crate::process::census::Count;
use crate::process::census::Source;
use crate::process::extra::ExtraBudget;
use crate::process::extra::ExtraLimits;
use crate::process::gateway::lines::Lines;
use crate::process::gateway::measures::Measures;
use crate::process::http::HttpLimits;
use crate::process::pace::Pace;
use crate::process::pressure::Pressure;
use crate::version::routing::CallerLimits;
use crate::version::routing::Routing;
use crate::wire::proto;

/// Time that a caller that is refused waits before it comes back while this instance knows no configuration. Reading
/// everything takes a few round trips to the platform.
const STARTING_RETRY: Duration = Duration::from_millis(300);

/// Time in which a caller must take some bytes of an answer; one that does not read would hold its answer in memory.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Age of the last complete read from which an instance does not tell others what it knows. A wait, a pause and an answer
/// of a slow platform fit into it.
const STALE_AGE: Duration = Duration::from_secs(4);

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
    pub(crate) instances: Count,
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
    census: Mutex<Census>,
    decoder: Decoder,
    paces: Mutex<IndexMap<Box<str>, Arc<Mutex<Pace>>>>,
    pressures: Mutex<IndexMap<Box<str>, Pressure>>,
    budgets: Mutex<IndexMap<ServiceId, ExtraBudget>>,
    in_flight: AtomicUsize,
    /// Memory for the bodies of all answers of backend servers.
    pub(crate) bodies: BodyMemory,
    lines: Lines,
    /// Time of the last successful read of the platform.
    read_at: Mutex<Option<Instant>>,
    /// Signals the end of a read of the platform to the instances that follow this one.
    pub(crate) reads: watch::Sender<()>,
}

/// What is known from the platform.
#[derive(Debug)]
struct Known {
    directory: Directory,
    /// Values as they were read, for instances that cannot read them.
    values: IndexMap<Box<str>, Bytes>,
    position: Option<Position>,
    /// Whether the last read was one of another instance.
    is_follower: bool,
    /// Changes for instances that follow this one.
    history: History,
    /// Time as of which everything is known that the platform held.
    complete_at: Option<Instant>,
    /// Time at which another instance told its state last.
    relayed_at: Option<Instant>,
    routing: Option<Arc<Routing>>,
    /// Bound on extra attempts of all instances.
    extra: ExtraLimits,
    is_listed: bool,
    is_stopping: bool,
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
        let census = Census::new(
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
    pub fn instances(&self) -> Count {
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

    /// Takes what a read of the platform that began at `begun` brought. An answer that is older than what another instance
    /// has told meanwhile is dropped: it would undo changes that are not read again.
    pub fn on_platform_read(&self, read: Changes, extent: Extent, begun: Instant) {
        let now = Instant::now();
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.directory.on_platform_read(now);
        *self.read_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
        if known.position.is_some_and(|own| read.position < own) {
            info!(self.log, "platform_read_outdated"; "position" => read.position, "known" => known.position);
            if known.relayed_at.is_none_or(|at| at < begun) {
                // The platform does not know the position that was told, so everything is read again.
                known.position = None;
            }
            return;
        }
        known.is_follower = read.origin != Origin::Platform;
        let mut changed = self.apply(&mut known, read.changes, read.position, extent, now);
        let as_of = match read.origin {
            Origin::Platform => Some(begun),
            Origin::Instance { age } => begun.checked_sub(age),
        };
        if let Some(as_of) = as_of.filter(|_| read.is_complete) {
            known.complete_at = Some(as_of);
            for gone in known.directory.on_caught_up(as_of) {
                changed |= self.note(&gone.entry, Effect::Gone);
            }
        }
        if changed {
            self.put_in_effect(&known);
        }
        drop(known);
        self.reads.send_replace(());
    }

    /// Takes what another instance has read up to `position`, which is all there is. It counts while this instance cannot
    /// read the platform itself.
    pub(crate) fn on_relayed(&self, changes: Vec<Change>, position: Position) {
        let now = Instant::now();
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let is_behind = known.position.is_none_or(|own| own < position);
        if !is_behind || !(known.directory.is_cut() || known.position.is_none()) {
            return;
        }
        known.relayed_at = Some(now);
        info!(self.log, "platform_relayed"; "position" => position, "before" => known.position, "values" => changes.len());
        if self.apply(&mut known, changes, position, Extent::Whole, now) {
            self.put_in_effect(&known);
        }
    }

    /// Takes values up to `position`, and tells whether requests see a change.
    fn apply(&self, known: &mut Known, changes: Vec<Change>, position: Position, extent: Extent, now: Instant) -> bool {
        let items: Vec<Item> = changes.iter().filter_map(self.decoder).collect();
        let mut changed = false;
        if extent == Extent::Whole {
            changed = !known.is_listed;
            known.is_listed = true;
            known.values.clear();
            for id in catalogue::missing(known.directory.ids(), &items) {
                changed |= self.on_missing(known, &id);
            }
        }
        known.history.on_read(&changes, position, extent);
        for change in changes {
            match change.value {
                Some(value) => {
                    known.values.insert(change.key, value);
                }
                None => {
                    known.values.swap_remove(&change.key);
                }
            }
        }
        known.position = known.position.max(Some(position));
        for item in items {
            changed |= self.on_item(known, item, now);
        }
        changed
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
    fn is_cut(&self) -> bool {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.directory.is_cut() || known.position.is_none()
    }

    /// Takes that a read of the platform failed.
    pub fn on_platform_lost(&self) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.directory.on_platform_lost();
        drop(known);
        self.reads.send_replace(());
    }

    /// Returns where this instance learns of changes.
    pub(crate) fn source(&self) -> Source {
        self.census.lock().unwrap_or_else(PoisonError::into_inner).source()
    }

    /// Tells whether other instances follow this one.
    pub(crate) fn is_reader(&self) -> bool {
        self.census.lock().unwrap_or_else(PoisonError::into_inner).is_reader()
    }

    /// Bounds a wait or a pause of a read of the platform for the sake of followers.
    pub(crate) fn bound(&self, time: Duration) -> Duration {
        if self.is_reader() {
            time.min(self.settings.freshness.reader_time())
        } else {
            time
        }
    }

    /// Returns what an instance at `position` learns from this one.
    fn followed(&self, position: Position) -> proto::Followed {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let age = known.complete_at.map(|at| at.elapsed());
        // An instance that is behind the asking one may reach it while that one waits.
        let is_behind = known.position.is_some_and(|own| own < position);
        let changes = if is_behind {
            Some(Vec::new())
        } else {
            known.history.since(position)
        };
        let is_stale = known.is_follower || known.directory.is_cut() || age.is_none_or(|age| age > STALE_AGE);
        let stored = changes.as_ref().filter(|_| !is_stale).into_iter().flatten();
        proto::Followed {
            position: known.position.unwrap_or_default(),
            complete: self.measures.platform_lag.get() == 0.0,
            stale: is_stale || changes.is_none(),
            age_us: u64::try_from(age.unwrap_or_default().as_micros()).unwrap_or(u64::MAX),
            changes: stored
                .map(|change| proto::StoredChange {
                    key: change.key.to_string(),
                    value: change.value.clone(),
                })
                .collect(),
        }
    }

    /// Returns the time until which entries that lapsed may still come back.
    pub(crate) fn doubtful_until(&self) -> Option<Instant> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.directory.doubtful_until()
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

    fn on_item(&self, known: &mut Known, item: Item, now: Instant) -> bool {
        match item {
            Item::Routing(routing) => {
                let current = known.routing.as_ref().map(|current| current.revision);
                if !catalogue::replaces(routing.revision, current) {
                    return false;
                }
                info!(self.log, "configuration_in_effect"; "revision" => routing.revision, "before" => current,
                    "routes" => routing.len(), "services" => routing.services.len());
                self.forget_unused(&routing);
                known.routing = Some(Arc::from(routing));
                true
            }
            Item::Server(entry) => {
                let effect = known.directory.on_entry(entry.clone(), now);
                self.note(&entry, effect)
            }
            Item::ServerMissing(id) => self.on_missing(known, &id),
            Item::Unreadable { key, server, reason } => {
                warn!(self.log, "platform_value_unreadable"; "key" => &*key, "reason" => &*reason);
                let backend = server.and_then(|id| known.directory.backend(&id));
                backend.is_some_and(|backend| {
                    let effect = known.directory.on_unreadable(&backend.entry.id);
                    self.note(&backend.entry, effect)
                })
            }
        }
    }

    fn on_missing(&self, known: &mut Known, id: &str) -> bool {
        known.directory.backend(id).is_some_and(|backend| {
            let effect = known.directory.on_missing(id);
            self.note(&backend.entry, effect)
        })
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

    /// Logs what changed for a server, and tells whether requests see it.
    fn note(&self, server: &BackendEntry, effect: Effect) -> bool {
        let event = match effect {
            Effect::Unchanged => return false,
            Effect::Joined => "server_joined",
            Effect::Restarted => "server_restarted",
            Effect::Leaving => "server_leaving",
            Effect::Lapsed => "server_lapsed",
            Effect::Gone => "server_gone",
        };
        info!(self.log, "server_changed"; "server" => &*server.id, "change" => event, "service" => &*server.service,
            "data_centre" => &*server.data_centre);
        effect != Effect::Lapsed
    }

    /// Logs which services lost their last server that can be asked, and which have one again.
    fn note_services(&self, before: &View, view: &View) {
        for service in before.services().filter(|service| view.servers(service).is_empty()) {
            warn!(self.log, "service_changed"; "service" => &**service, "change" => "no_server_left");
        }
        for service in view.services().filter(|service| before.servers(service).is_empty()) {
            info!(self.log, "service_changed"; "service" => &**service, "change" => "has_a_server");
        }
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
        if known.is_listed && !known.is_stopping && !self.readiness.get() {
            info!(self.log, "ready"; "revision" => routing.revision);
            self.readiness.set(true);
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
