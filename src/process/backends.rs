//! Backend servers that are known, with what was observed of each.
//!
//! [`Directory`] decides from the entries of the platform which servers may be asked. A server whose entry vanished
//! while the platform was in trouble stays usable until the platform has been back for [`LAPSE_GRACE`], because entries
//! also lapse when their owner lives. See "Backend servers" in `docs/design/platform.md`.

pub mod choice;
pub mod retry_after;
pub mod selection;
pub mod server_state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::connection::upstream::UpstreamPool;
use crate::ids::DataCentreId;
use crate::ids::SearcherId;
use crate::ids::ServiceId;
use crate::process::backends::server_state::ServerState;
use crate::process::gossip::InstanceCount;
use crate::version::routing::Routing;

/// Time after the return of the platform within which entries that lapsed during its absence are back. An entry that is
/// missing after it belongs to a server that is gone.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Connections to one server when its service names no limit.
const DEFAULT_CONNECTIONS: u32 = 16;

/// Least number of connections of this instance to one server.
const MIN_CONNECTIONS: u32 = 1;

/// Servers that left the directory and are remembered, in case that their entry comes back.
const DEPARTED_MAX: usize = 4096;

/// What the platform says of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendEntry {
    /// Name of the server; a restarted server may keep it.
    pub id: SearcherId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Requests that it works on at one time.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// Time for which it is still slow after its start.
    pub warmup: Duration,
    /// Time of its start in Unix milliseconds, which tells incarnations with the same name apart.
    pub started_ms: u64,
}

impl BackendEntry {
    /// Tells whether two entries are of the same start of a server.
    fn is_same_incarnation(&self, other: &Self) -> bool {
        self.started_ms == other.started_ms && self.address == other.address && self.service == other.service
    }
}

/// A backend server in use. Requests that hold it keep it after it left the directory.
#[derive(Debug)]
pub struct Backend {
    /// Entry as it was when the server became known. Only parts that cannot change within an incarnation are read.
    pub entry: BackendEntry,
    /// Whether it runs in the data centre of this instance.
    pub is_local: bool,
    /// Connections to it.
    pub pool: UpstreamPool,
    state: Mutex<ServerState>,
}

impl Backend {
    /// Returns the observations.
    pub fn state(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Servers by service, as requests use them.
#[derive(Debug, Default)]
pub struct View {
    services: IndexMap<ServiceId, Vec<Arc<Backend>>>,
}

impl View {
    /// Returns the services that have servers.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.services.keys()
    }

    /// Returns the servers of a service that may be asked.
    #[must_use]
    pub fn servers(&self, service: &str) -> &[Arc<Backend>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}

/// A change of what is known, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChange {
    /// Nothing that requests see changed.
    Unchanged,
    /// A server can be asked from now on.
    Joined,
    /// The same name has a new incarnation.
    Restarted,
    /// A server takes no new requests.
    Leaving,
    /// The entry vanished while the platform was in trouble; the server stays in use for now.
    Lapsed,
    /// The server is gone.
    Removed,
}

#[derive(Debug)]
struct ServerRecord {
    backend: Arc<Backend>,
    leaving: bool,
    /// Whether the entry vanished and the server is kept on trust.
    lapsed: bool,
}

impl ServerRecord {
    fn is_usable(&self) -> bool {
        !self.leaving && !self.backend.state().is_leaving()
    }
}

/// Decides which servers may be asked.
#[derive(Debug)]
pub struct Directory {
    data_centre: DataCentreId,
    servers: IndexMap<SearcherId, ServerRecord>,
    /// Servers whose entries are gone. What an incarnation said of itself holds to its end, also when its entry comes back.
    departed: IndexMap<SearcherId, Arc<Backend>>,
    /// Time until which a missing entry may still come back; `None` when all that lapsed were judged.
    grace_until: Option<Instant>,
    /// Whether the platform cannot be read now.
    is_disconnected: bool,
}

impl Directory {
    /// Makes an empty directory of an instance in `data_centre`.
    #[must_use]
    pub fn new(data_centre: DataCentreId) -> Self {
        Self {
            data_centre,
            servers: IndexMap::new(),
            departed: IndexMap::new(),
            grace_until: None,
            is_disconnected: false,
        }
    }

    /// Tells whether the platform cannot be read now.
    #[must_use]
    pub const fn is_disconnected(&self) -> bool {
        self.is_disconnected
    }

    /// Tells whether entries that are missing now may still come back.
    #[must_use]
    pub const fn tolerates_missing(&self) -> bool {
        self.is_disconnected || self.grace_until.is_some()
    }

    /// Takes that a read of the platform failed.
    pub fn on_platform_lost(&mut self) {
        self.is_disconnected = true;
    }

    /// Takes that a read of the platform succeeded. After a loss, missing entries count as lapsed until
    /// [`Directory::remove_lapsed`] judges them.
    pub fn on_platform_read(&mut self, now: Instant) {
        if self.is_disconnected {
            self.is_disconnected = false;
            self.grace_until = Some(now + LAPSE_GRACE);
        }
    }

    /// Takes the entry of a server.
    pub fn on_entry(&mut self, entry: BackendEntry, now: Instant) -> EntryChange {
        if let Some(record) = self.servers.get_mut(&entry.id)
            && record.backend.entry.is_same_incarnation(&entry)
        {
            record.lapsed = false;
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
        let returned = departed.filter(|departed| departed.entry.is_same_incarnation(&entry));
        let record = ServerRecord {
            backend: returned.unwrap_or_else(|| Arc::new(self.new_backend(entry, now))),
            leaving,
            lapsed: false,
        };
        match (self.servers.insert(id, record), leaving) {
            (_, true) => EntryChange::Leaving,
            (Some(_), false) => EntryChange::Restarted,
            (None, false) => EntryChange::Joined,
        }
    }

    /// Takes that the entry of a server is missing.
    pub fn on_missing(&mut self, id: &str) -> EntryChange {
        let tolerated = self.tolerates_missing();
        let Some(record) = self.servers.get_mut(id) else {
            return EntryChange::Unchanged;
        };
        if tolerated && !record.leaving {
            record.lapsed = true;
            return EntryChange::Lapsed;
        }
        self.remove(id);
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

    /// Removes a server, and remembers it. Tells whether it was known.
    fn remove(&mut self, id: &str) -> bool {
        let Some(record) = self.servers.shift_remove(id) else {
            return false;
        };
        record.backend.pool.close_idle();
        self.departed.insert(id.into(), record.backend);
        if self.departed.len() > DEPARTED_MAX {
            self.departed.shift_remove_index(0);
        }
        true
    }

    /// Takes that the name holds nothing that can be read. It names no server to use.
    pub fn on_unreadable(&mut self, id: &str) -> EntryChange {
        if self.remove(id) {
            EntryChange::Removed
        } else {
            EntryChange::Unchanged
        }
    }

    /// Returns a server that is known.
    #[must_use]
    pub fn backend(&self, id: &str) -> Option<Arc<Backend>> {
        self.servers.get(id).map(|record| Arc::clone(&record.backend))
    }

    /// Returns the names of the servers that are known.
    pub fn ids(&self) -> impl Iterator<Item = &SearcherId> {
        self.servers.keys()
    }

    /// Returns the time until which entries that lapsed may still come back; `None` while none is in doubt.
    #[must_use]
    pub const fn grace_until(&self) -> Option<Instant> {
        if self.is_disconnected { None } else { self.grace_until }
    }

    /// Takes that everything is known that the platform held at the time `as_of`. Removes the servers whose entries did
    /// not come back in time, and returns them. A view from before the end of that time says nothing of them.
    pub fn remove_lapsed(&mut self, as_of: Instant) -> Vec<Arc<Backend>> {
        if self.is_disconnected || self.grace_until.is_none_or(|until| as_of < until) {
            return Vec::new();
        }
        self.grace_until = None;
        let lapsed = self.servers.iter().filter(|(_, record)| record.lapsed);
        let gone: Vec<Arc<Backend>> = lapsed.map(|(_, record)| Arc::clone(&record.backend)).collect();
        for backend in &gone {
            self.remove(&backend.entry.id);
        }
        gone
    }

    /// Returns the servers that may be asked. `instances` share their connections.
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

/// Returns the share of this instance of the connections of a server. The instances of the server's data centre send it
/// most of their requests, so half of the connections is theirs, and the other half is for all others.
fn connection_share(all: u32, instances: InstanceCount, is_local: bool) -> u32 {
    let others = instances.all.saturating_sub(instances.local);
    let share = match (is_local, others) {
        (true, 0) => all / instances.local.max(1),
        (true, _) => all / 2 / instances.local.max(1),
        (false, others) => all / 2 / others.max(1),
    };
    share.max(MIN_CONNECTIONS)
}
