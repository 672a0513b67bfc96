//! The directory of backend servers, and what this instance has observed of each.
//!
//! [`Directory`] decides from the platform's entries which servers may receive requests. See "Backend servers" in
//! `docs/design/platform.md`.

pub mod choice;
mod directory;
pub mod rate_limit;
mod restoration;
pub mod retry_after;
pub mod selection;
pub mod server_state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use indexmap::IndexMap;

pub use self::directory::Directory;
pub use self::directory::EntryChange;
pub use self::directory::LAPSE_GRACE;

use crate::connection::upstream::UpstreamPool;
use crate::ids::DataCentreId;
use crate::ids::SearcherId;
use crate::ids::ServiceId;
use crate::process::backends::server_state::ServerState;
use crate::process::ownership::rank;
use crate::process::ownership::rank::NameHash;
use crate::process::quarantine::ServerKey;

/// Entry of a backend server on the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendEntry {
    /// Name of the server. A restarted server may reuse it.
    pub id: SearcherId,
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Address of the server's HTTP interface.
    pub address: SocketAddr,
    /// Data centre in which the server runs.
    pub data_centre: DataCentreId,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is leaving and accepts no new requests.
    pub leaving: bool,
    /// Remaining time during which the server is still slow after its start.
    pub warmup: Duration,
    /// Start time in Unix milliseconds. It distinguishes incarnations with the same name.
    pub started_ms: u64,
}

impl BackendEntry {
    /// Returns the key of this incarnation of the server, which is the same at all instances.
    #[must_use]
    pub fn key(&self) -> ServerKey {
        rank::mix(NameHash::of(&self.id).0 ^ rank::mix(self.started_ms))
    }

    /// Returns whether both entries belong to the same incarnation of a server.
    fn is_same_incarnation(&self, other: &Self) -> bool {
        self.started_ms == other.started_ms && self.address == other.address && self.service == other.service
    }
}

/// A backend server in use. Requests in flight hold a reference to it, also after it was removed from the directory.
#[derive(Debug)]
pub struct Backend {
    /// Entry as of the time the server was added. Only fields that are constant within an incarnation may be read.
    pub entry: BackendEntry,
    /// Whether the server runs in the data centre of this instance.
    pub is_local: bool,
    /// Connection pool to the server.
    pub pool: UpstreamPool,
    state: Mutex<ServerState>,
}

impl Backend {
    /// Locks and returns the observed state.
    pub fn state(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Usable servers by service.
#[derive(Debug, Default)]
pub struct View {
    services: IndexMap<ServiceId, Vec<Arc<Backend>>>,
}

impl View {
    /// Returns the services that have at least one usable server.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.services.keys()
    }

    /// Returns the usable servers of a service; empty if the service is unknown.
    #[must_use]
    pub fn servers(&self, service: &str) -> &[Arc<Backend>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}

/// Parses an unsigned decimal number with or without a fraction. Returns `None` for other notations, such as signs,
/// exponents, `inf` or a date.
fn parse_decimal(text: &str) -> Option<f64> {
    let text = text.trim();
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|_| is_decimal)
}
