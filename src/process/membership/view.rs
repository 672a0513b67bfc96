//! The platform's list and the view that is derived from it.
//!
//! Leaves that are up or suspect are ranked for each searcher; the ranks determine which of them connect to it. See
//! [`ownership`](crate::process::ownership).

use std::net::SocketAddr;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::ids::DataCentreId;
use crate::ids::Incarnation;
use crate::ids::InstanceId;
use crate::ids::SearcherId;

/// Latest list of instances and searchers read from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformList {
    /// Version of the list. A list with a lower version than an earlier one is ignored.
    pub version: u64,
    /// Entries of the list.
    pub entries: Vec<ListItem>,
}

/// One entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListItem {
    /// Name of the instance or searcher.
    pub id: Box<str>,
    /// Kind of the item.
    pub kind: ItemKind,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Address of the peer interface of an instance, or of the HTTP interface of a searcher.
    pub address: SocketAddr,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// Kind of an item in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ItemKind {
    /// Instance of pimentoflow.
    Instance(Role),
    /// A backend server.
    Searcher,
}

/// Program that an instance runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Accepts requests of callers.
    Entry,
    /// Holds the connections to backend servers.
    Leaf,
}

/// State of an instance as this process sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// Usable.
    Up,
    /// A session was lost or silent, or a connection attempt failed. A suspect leaf keeps its ranks, but requests go to
    /// the candidates that are up first.
    Suspect,
    /// It announced a planned stop. It finishes its outstanding work and gets no new work.
    Leaving,
    /// Not usable.
    Down,
}

impl State {
    /// Returns whether an instance in this state counts as live: only live leaves are ranked, and only live instances
    /// are chosen as random peers.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Up | Self::Suspect)
    }

    /// Returns the name used in logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Down => "down",
        }
    }
}

/// One instance of a view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Program that it runs.
    pub role: Role,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Address of its peer interface, or `None` if the instance is known only from an incoming session.
    pub address: Option<SocketAddr>,
    /// State as this process sees it.
    pub state: State,
    /// Incarnation of its last session, or 0 if there was none.
    pub incarnation: Incarnation,
}

/// Immutable snapshot of the known instances and leaving searchers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// Instances by name. They are sorted, so that equal views compare as equal.
    pub instances: IndexMap<InstanceId, Instance>,
    /// Leaving searchers, which get no new work.
    pub leaving: IndexSet<SearcherId>,
    /// Number of instances in the platform's list, or known from sessions if no list was read. Read budgets are divided
    /// by it, so it includes instances that are down.
    pub fleet_size: usize,
    /// Version of the platform's list, or 0 if none was read.
    pub version: u64,
    /// Whether a peer has confirmed the view since the start or the last pause, or the wait for one is over. No new
    /// work is dispatched while it is false.
    pub current: bool,
}

impl View {
    /// Returns whether a searcher is leaving.
    #[must_use]
    pub fn is_leaving(&self, searcher: &str) -> bool {
        self.leaving.contains(searcher)
    }

    /// Returns the state of an instance, which is [`State::Down`] if it is unknown.
    #[must_use]
    pub fn state(&self, instance: &str) -> State {
        self.instances
            .get(instance)
            .map_or(State::Down, |instance| instance.state)
    }

    /// Returns the live instances with their names.
    pub fn live(&self) -> impl Iterator<Item = (&InstanceId, &Instance)> {
        self.instances.iter().filter(|(_, instance)| instance.state.is_live())
    }
}
