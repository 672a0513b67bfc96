//! Decides from the platform's entries which servers may receive requests.
//!
//! Entries can expire while their owner is still running, and a platform that returned from a copy of its state lacks
//! entries or has outdated ones. A missing entry is tolerated for [`LAPSE_GRACE`] after such an event, and an outdated
//! one is deferred. See "Backend servers" in `docs/design/platform.md`.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::connection::upstream::UpstreamPool;
use crate::ids::DataCentreId;
use crate::ids::SearcherId;
use crate::ids::ServiceId;
use crate::process::backends::Backend;
use crate::process::backends::BackendEntry;
use crate::process::backends::View;
use crate::process::backends::restoration::Restoration;
use crate::process::backends::server_state::ServerState;
use crate::process::gossip::InstanceCount;
use crate::version::routing::Routing;

/// Grace period after the end of a platform outage, or after the platform returned from a copy. Entries that lapsed or
/// were lost are renewed within it; a server whose entry is still missing afterwards is gone.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Maximum number of connections to one server if its service sets no limit.
const DEFAULT_CONNECTIONS: u32 = 16;

/// Minimum number of connections from this instance to one server.
const MIN_CONNECTIONS: u32 = 1;

/// Maximum number of removed servers whose state is kept in case their entry is registered again.
const DEPARTED_MAX: usize = 4096;

/// Change of a server by an update of its entry, for logging.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChange {
    /// No change that is visible to requests.
    Unchanged,
    /// The server is usable from now on.
    Joined,
    /// A new incarnation replaced the one with the same name.
    Restarted,
    /// The server is leaving and gets no new requests.
    Leaving,
    /// The entry is missing, but may be renewed. The server stays in use for now.
    Lapsed,
    /// The server was removed.
    Removed,
    /// The entry is older than the known state of the server, so it has no effect for now.
    Deferred,
}

/// A removed server.
#[derive(Debug)]
struct Departed {
    backend: Arc<Backend>,
    removed_at: Instant,
}

#[derive(Debug)]
struct ServerRecord {
    backend: Arc<Backend>,
    leaving: bool,
    /// Whether the entry is missing and the server is kept until the grace period ends.
    lapsed: bool,
    /// Whether a change wrote the entry since the platform last returned from a copy.
    is_confirmed: bool,
}

impl ServerRecord {
    fn is_usable(&self) -> bool {
        !self.leaving && !self.backend.state().is_leaving()
    }
}

/// Tracks the entries of backend servers and decides which servers are usable.
#[derive(Debug)]
pub struct Directory {
    data_centre: DataCentreId,
    servers: IndexMap<SearcherId, ServerRecord>,
    /// Servers whose entries are gone. Their state is restored if the entry of the same incarnation comes back,
    /// because a notice from the server is valid for the rest of its incarnation.
    departed: IndexMap<SearcherId, Departed>,
    /// End of the grace period for lapsed entries; `None` once the lapsed servers have been removed or renewed.
    grace_until: Option<Instant>,
    /// Whether the last read of the platform failed.
    is_platform_lost: bool,
    /// Time without a heartbeat after which the platform removes an entry.
    entry_ttl: Duration,
    /// Set from the platform's return from a copy until the deferred entries are applied.
    restoration: Option<Restoration>,
}

impl Directory {
    /// Creates an empty directory for an instance in `data_centre`. `entry_ttl` is the time without a heartbeat after
    /// which the platform removes an entry.
    #[must_use]
    pub fn new(data_centre: DataCentreId, entry_ttl: Duration) -> Self {
        Self {
            data_centre,
            servers: IndexMap::new(),
            departed: IndexMap::new(),
            grace_until: None,
            is_platform_lost: false,
            entry_ttl,
            restoration: None,
        }
    }

    /// Returns whether the last read of the platform failed.
    #[must_use]
    pub const fn is_platform_lost(&self) -> bool {
        self.is_platform_lost
    }

    /// Returns whether a missing entry may still be renewed, that is, during an outage or a grace period.
    #[must_use]
    pub const fn tolerates_missing(&self) -> bool {
        self.is_platform_lost || self.grace_until.is_some()
    }

    /// Records that a read of the platform failed.
    pub fn on_platform_lost(&mut self) {
        self.is_platform_lost = true;
    }

    /// Records that a read of the platform succeeded. After an outage this starts the grace period, during which
    /// missing entries count as lapsed until [`Directory::remove_lapsed`] removes their servers.
    pub fn on_platform_read(&mut self, now: Instant) {
        if self.is_platform_lost {
            self.is_platform_lost = false;
            self.grace_until = Some(now + LAPSE_GRACE);
        }
    }

    /// Records that the platform has returned from a copy of its state. Entries written after the copy was made are
    /// missing until their servers register again, so this starts the grace period, even if no outage was noticed.
    /// Older entries that the copy has are handled by [`Directory::on_listed`].
    pub fn on_restored(&mut self, now: Instant) {
        self.grace_until = Some(now + LAPSE_GRACE);
        self.restoration = Some(self.new_restoration(now));
        for record in self.servers.values_mut() {
            record.is_confirmed = false;
        }
    }

    /// Creates a period after which an entry that is still listed belongs to a running server: servers renew their
    /// entries within [`LAPSE_GRACE`], and the platform removes the entries of the others.
    fn new_restoration(&self, now: Instant) -> Restoration {
        Restoration::new(now, LAPSE_GRACE + self.entry_ttl)
    }

    /// Returns whether the platform may still list outdated entries after it returned from a copy.
    #[must_use]
    pub const fn is_restoring(&self) -> bool {
        self.restoration.is_some()
    }

    /// Returns the servers whose listed entries are outdated, with the start times in these entries.
    pub fn outdated_entries(&self) -> impl Iterator<Item = (&SearcherId, u64)> {
        self.restoration.iter().flat_map(Restoration::deferred)
    }

    /// Handles the notice of another instance that the listed entry of a server is outdated. The entry is deferred
    /// unless a change wrote it since the platform returned from the copy: the other instance may not have read that
    /// change.
    pub fn on_peer_outdated(&mut self, id: &str, started_ms: u64, now: Instant) -> EntryChange {
        let is_meant = |record: &&ServerRecord| {
            record.backend.entry.started_ms == started_ms && !record.leaving && !record.is_confirmed
        };
        let Some(record) = self.servers.get(id).filter(is_meant) else {
            return EntryChange::Unchanged;
        };
        let entry = record.backend.entry.clone();
        let mut restoration = self.restoration.take().unwrap_or_else(|| self.new_restoration(now));
        self.remove(id, restoration.began());
        restoration.defer(entry);
        self.restoration = Some(restoration);
        EntryChange::Deferred
    }

    /// Records that a listing of all entries begins. It replaces the entries deferred from an earlier one.
    pub fn on_listing(&mut self) {
        if let Some(restoration) = &mut self.restoration {
            restoration.clear_deferred();
        }
    }

    /// Adds a server or updates its entry from a listing of all entries. Unlike a change, a listed entry may have been
    /// written before the platform returned from a copy, so it is deferred if it would undo a later state of its
    /// server.
    pub fn on_listed(&mut self, entry: BackendEntry, now: Instant) -> EntryChange {
        let is_over = |restoration: &Restoration| restoration.is_over(now) && !self.is_platform_lost;
        if self.restoration.as_ref().is_none_or(is_over) || !self.is_outdated(&entry) {
            return self.apply_entry(entry, false, now);
        }
        if let Some(record) = self.servers.get_mut(&entry.id)
            && !record.backend.entry.is_same_incarnation(&entry)
        {
            record.lapsed = true;
        }
        if let Some(restoration) = &mut self.restoration {
            restoration.defer(entry);
        }
        EntryChange::Deferred
    }

    /// Returns whether a listed entry is older than what was known of its server when the platform returned from a
    /// copy: the server was leaving, removed, or restarted by then.
    fn is_outdated(&self, entry: &BackendEntry) -> bool {
        if let Some(record) = self.servers.get(&entry.id) {
            let known = &record.backend.entry;
            return if known.is_same_incarnation(entry) {
                record.leaving && !entry.leaving
            } else {
                entry.started_ms <= known.started_ms
            };
        }
        let Some(departed) = self.departed.get(&entry.id) else {
            return false;
        };
        let was_removed = |restoration: &Restoration| departed.removed_at <= restoration.began();
        self.restoration.as_ref().is_some_and(was_removed) && entry.started_ms <= departed.backend.entry.started_ms
    }

    /// Applies the deferred entries that are still listed if the directory reflects the state of the platform at
    /// `as_of` and `as_of` is past the end of the restoration. Returns these entries with their changes.
    pub fn apply_deferred(&mut self, as_of: Instant, now: Instant) -> Vec<(BackendEntry, EntryChange)> {
        let is_platform_lost = self.is_platform_lost;
        let is_over = |restoration: &mut Restoration| restoration.is_over(as_of) && !is_platform_lost;
        let Some(restoration) = self.restoration.take_if(is_over) else {
            return Vec::new();
        };
        let entries = restoration.into_deferred();
        entries
            .map(|entry| (entry.clone(), self.apply_entry(entry, false, now)))
            .collect()
    }

    /// Returns whether the listed entry of a server is deferred.
    #[must_use]
    pub fn is_deferred(&self, id: &str) -> bool {
        let restoration = self.restoration.as_ref();
        restoration.is_some_and(|restoration| restoration.is_deferred(id))
    }

    /// Drops the deferred entry of a server, because a later change replaces it.
    fn drop_deferred(&mut self, id: &str) {
        if let Some(restoration) = &mut self.restoration {
            restoration.drop_deferred(id);
        }
    }

    /// Adds a server or updates its entry after a change of the entry.
    pub fn on_entry(&mut self, entry: BackendEntry, now: Instant) -> EntryChange {
        self.drop_deferred(&entry.id);
        self.apply_entry(entry, true, now)
    }

    /// Adds a server or updates its entry. `is_change` states whether a change was read, and not a listing.
    fn apply_entry(&mut self, entry: BackendEntry, is_change: bool, now: Instant) -> EntryChange {
        if let Some(record) = self.servers.get_mut(&entry.id)
            && record.backend.entry.is_same_incarnation(&entry)
        {
            record.lapsed = false;
            record.is_confirmed |= is_change;
            let change = match (record.leaving, entry.leaving) {
                (false, true) => EntryChange::Leaving,
                (true, false) => EntryChange::Joined,
                _ => EntryChange::Unchanged,
            };
            record.leaving = entry.leaving;
            return change;
        }
        let leaving = entry.leaving;
        let id = entry.id.clone();
        let departed = self.departed.shift_remove(&id);
        let returned = departed.map(|departed| departed.backend);
        let returned = returned.filter(|backend| backend.entry.is_same_incarnation(&entry));
        let record = ServerRecord {
            backend: returned.unwrap_or_else(|| Arc::new(self.new_backend(entry, now))),
            leaving,
            lapsed: false,
            is_confirmed: is_change,
        };
        match (self.servers.insert(id, record), leaving) {
            (_, true) => EntryChange::Leaving,
            (Some(_), false) => EntryChange::Restarted,
            (None, false) => EntryChange::Joined,
        }
    }

    /// Handles a missing entry. While missing entries are tolerated, a server that is not leaving is kept as lapsed;
    /// otherwise the server is removed.
    pub fn on_missing(&mut self, id: &str, now: Instant) -> EntryChange {
        self.drop_deferred(id);
        let tolerated = self.tolerates_missing();
        let Some(record) = self.servers.get_mut(id) else {
            return EntryChange::Unchanged;
        };
        if tolerated && !record.leaving {
            record.lapsed = true;
            return EntryChange::Lapsed;
        }
        self.remove(id, now);
        EntryChange::Removed
    }

    fn new_backend(&self, entry: BackendEntry, now: Instant) -> Backend {
        Backend {
            is_local: entry.data_centre == self.data_centre,
            pool: UpstreamPool::new(entry.address),
            state: Mutex::new(ServerState::new(entry.slots, entry.warmup, now)),
            entry,
        }
    }

    /// Removes a server and keeps its state in `departed`. Returns whether the server was known.
    fn remove(&mut self, id: &str, now: Instant) -> bool {
        let Some(record) = self.servers.shift_remove(id) else {
            return false;
        };
        record.backend.pool.close_idle();
        let departed = Departed {
            backend: record.backend,
            removed_at: now,
        };
        self.departed.insert(id.into(), departed);
        if self.departed.len() > DEPARTED_MAX {
            self.departed.shift_remove_index(0);
        }
        true
    }

    /// Handles an entry that cannot be decoded: removes the server of this name, if there is one.
    pub fn on_unreadable(&mut self, id: &str, now: Instant) -> EntryChange {
        self.drop_deferred(id);
        if self.remove(id, now) {
            EntryChange::Removed
        } else {
            EntryChange::Unchanged
        }
    }

    /// Returns the server with this name.
    #[must_use]
    pub fn backend(&self, id: &str) -> Option<Arc<Backend>> {
        self.servers.get(id).map(|record| Arc::clone(&record.backend))
    }

    /// Returns the names of all known servers.
    pub fn ids(&self) -> impl Iterator<Item = &SearcherId> {
        self.servers.keys()
    }

    /// Returns the server with this name if it is still the same incarnation.
    #[must_use]
    pub fn incarnation(&self, id: &str, started_ms: u64) -> Option<&Arc<Backend>> {
        let backend = self.servers.get(id).map(|record| &record.backend)?;
        (backend.entry.started_ms == started_ms).then_some(backend)
    }

    /// Returns the known servers that have, or had, a rate limit.
    pub fn limited(&self) -> impl Iterator<Item = &Arc<Backend>> {
        let backends = self.servers.values().map(|record| &record.backend);
        backends.filter(|backend| backend.state().rate_limit().is_some())
    }

    /// Returns the end of the grace period; `None` during an outage or when no entry is pending.
    #[must_use]
    pub const fn grace_until(&self) -> Option<Instant> {
        if self.is_platform_lost { None } else { self.grace_until }
    }

    /// Ends the grace period if the directory reflects the state of the platform at `as_of` and `as_of` is past the
    /// end of the period. Removes and returns the servers whose entries did not come back. A read from before the end
    /// of the period removes nothing.
    pub fn remove_lapsed(&mut self, as_of: Instant, now: Instant) -> Vec<Arc<Backend>> {
        if self.is_platform_lost || self.grace_until.is_none_or(|until| as_of < until) {
            return Vec::new();
        }
        self.grace_until = None;
        let lapsed = self.servers.iter().filter(|(_, record)| record.lapsed);
        let removed: Vec<Arc<Backend>> = lapsed.map(|(_, record)| Arc::clone(&record.backend)).collect();
        for backend in &removed {
            self.remove(&backend.entry.id, now);
        }
        removed
    }

    /// Returns the usable servers, and sets the connection limit of each from the number of instances that share it.
    #[must_use]
    pub fn view(&self, routing: Option<&Routing>, instances: InstanceCount) -> View {
        let mut services: IndexMap<ServiceId, Vec<Arc<Backend>>> = IndexMap::new();
        for record in self.servers.values().filter(|record| record.is_usable()) {
            let backend = &record.backend;
            let limits = routing.and_then(|routing| routing.services.get(&backend.entry.service));
            let all = limits.map_or(DEFAULT_CONNECTIONS, |limits| limits.connections);
            let share = connection_share(all, instances, backend.is_local);
            backend.pool.set_limit(share);
            let servers = services.entry(backend.entry.service.clone()).or_default();
            servers.push(Arc::clone(backend));
        }
        View { services }
    }
}

/// Returns this instance's share of a server's connections. Most requests to a server come from the instances of its
/// own data centre, so they share one half of the connections, and all other instances share the other half.
fn connection_share(all: u32, instances: InstanceCount, is_local: bool) -> u32 {
    let others = instances.all.saturating_sub(instances.local);
    let share = match (is_local, others) {
        (true, 0) => all / instances.local.max(1),
        (true, _) => all / 2 / instances.local.max(1),
        (false, others) => all / 2 / others.max(1),
    };
    share.max(MIN_CONNECTIONS)
}
