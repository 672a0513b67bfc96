//! The platform's list and the view that is derived from it.

use std::net::SocketAddr;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::ids::DataCentreId;
use crate::ids::Incarnation;
use crate::ids::InstanceId;
use crate::ids::SearcherId;

/// The platform's list of instances, as last read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformList {
    /// Version of the list. Lists of a lower version than one seen before are ignored.
    pub version: u64,
    /// Entries of the list.
    pub entries: Vec<ListItem>,
}

/// One entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListItem {
    /// Name of the instance or searcher.
    pub id: Box<str>,
    /// What it is.
    pub kind: ItemKind,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Address of the interface for peers, or of the HTTP interface of a searcher.
    pub address: SocketAddr,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

/// What an entry of the platform's list describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ItemKind {
    /// An instance of ours.
    Instance(Role),
    /// A backend server.
    Searcher,
}

/// Program that an instance runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Faces callers.
    Entry,
    /// Faces backend servers.
    Leaf,
}

/// State of an instance as this process sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// Usable.
    Up,
    /// An own observation failed. The instance keeps its ranks, and others are tried first.
    Suspect,
    /// It announced its stop. It finishes what it has and gets no new work.
    Leaving,
    /// Not usable.
    Down,
}

impl State {
    /// Tells whether an instance in this state takes part in ranks.
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
    /// Address of its interface for peers; unknown when only an incoming session showed the instance.
    pub address: Option<SocketAddr>,
    /// State as this process sees it.
    pub state: State,
    /// Incarnation of its last session, or 0 when there was none.
    pub incarnation: Incarnation,
}

/// Immutable view of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// Instances of ours by name, sorted by name so that equal views are equal values.
    pub instances: IndexMap<InstanceId, Instance>,
    /// Searchers that get no new work.
    pub leaving: IndexSet<SearcherId>,
    /// Number of instances of ours in the platform's list, or known by sessions when there is none. Read budgets are
    /// divided by it, so it also counts instances that are down.
    pub fleet_size: usize,
    /// Version of the platform's list, or 0 when none was read.
    pub version: u64,
    /// Whether peers confirmed the view since the start or the last pause. No new work is dispatched while it is false.
    pub current: bool,
}

impl View {
    /// Tells whether a searcher gets no new work.
    #[must_use]
    pub fn is_leaving(&self, searcher: &str) -> bool {
        self.leaving.contains(searcher)
    }

    /// Returns the state of an instance; an unknown one is down.
    #[must_use]
    pub fn state(&self, instance: &str) -> State {
        self.instances
            .get(instance)
            .map_or(State::Down, |instance| instance.state)
    }

    /// Returns the instances that take part in ranks, with their names.
    pub fn live(&self) -> impl Iterator<Item = (&InstanceId, &Instance)> {
        self.instances.iter().filter(|(_, instance)| instance.state.is_live())
    }
}
