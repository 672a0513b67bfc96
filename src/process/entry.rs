//! The entry program: accepts requests from callers, plans searches, fans them out to leaves and merges the results.
//!
//! One task serves one request. It reads the configuration, the placement of searchers and their state through
//! read-copy-update, and receives the results of its parts through its own queue.

pub mod api;
pub mod fleet_updater;
pub mod pending;
pub mod reply;
pub mod routes;
pub mod search;
pub mod submit;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::connection::session::SessionHandle;
use crate::ids::CorrelationId;
use crate::ids::DataCentreId;
use crate::ids::SearcherId;
use crate::ids::SearcherIndex;
use crate::ids::SnapshotId;
use crate::process::admission::Admission;
use crate::process::admission::AdmissionConfig;
use crate::process::entry::pending::PendingRequests;
use crate::process::entry::pending::RequestEvent;
use crate::process::fleet::Fleet;
use crate::process::node::Node;
use crate::process::node::control::ControlInput;
use crate::process::ownership::placement::Placement;
use crate::process::peers::PeerHandler;
use crate::process::peers::Peers;
use crate::wire::proto;
use crate::wire::proto::Class;
use crate::wire::proto::frame::Body;

/// State shared by all requests of an entry.
#[derive(Debug)]
pub struct Entry {
    node: Arc<Node>,
    peers: OnceLock<Arc<Peers>>,
    fleet: ArcSwapOption<Fleet>,
    routing: ArcSwap<Routing>,
    holdings: Mutex<IndexMap<SearcherId, Vec<SnapshotId>>>,
    pending: PendingRequests,
    admission: Admission,
    correlation: AtomicU64,
    in_flight: AtomicUsize,
    max_body: usize,
}

impl Entry {
    /// Creates an entry. `max_body` is the maximum size of a request body in bytes. `in_flight` is the maximum number
    /// of urgent requests in progress; that of routine requests is half of it.
    #[must_use]
    pub fn new(node: Arc<Node>, max_body: usize, in_flight: u32) -> Arc<Self> {
        let config = AdmissionConfig {
            urgent: in_flight,
            routine: in_flight / 2,
            total: in_flight,
        };
        let admission = Admission::new(config, node.timer.now());
        Arc::new(Self {
            node,
            peers: OnceLock::new(),
            fleet: ArcSwapOption::empty(),
            routing: ArcSwap::default(),
            holdings: Mutex::default(),
            pending: PendingRequests::default(),
            admission,
            correlation: AtomicU64::new(1),
            in_flight: AtomicUsize::new(0),
            max_body,
        })
    }

    /// Sets the sessions with peers. They are created after the entry because it is their handler. Later calls have
    /// no effect.
    pub fn set_peers(&self, peers: Arc<Peers>) {
        let _already_set = self.peers.set(peers);
    }

    /// Returns the shared state of the process.
    #[must_use]
    pub const fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns the number of caller requests in progress.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    fn next_correlation(&self) -> CorrelationId {
        self.correlation.fetch_add(1, Ordering::Relaxed)
    }

    fn on_holdings(&self, message: &proto::Holdings) {
        let now = self.node.timer.now();
        let fleet = self.fleet.load();
        let mut holdings = self.holdings.lock().unwrap_or_else(PoisonError::into_inner);
        for item in &message.searchers {
            let id: SearcherId = item.searcher.as_str().into();
            if let Some(fleet) = fleet.as_ref()
                && let Some(ix) = fleet.tables.searchers.get_index_of(&id)
            {
                fleet.holdings.on_reply(ix as u32, &item.snapshots, now);
            }
            holdings.insert(id, item.snapshots.clone());
        }
    }

    /// Returns the open sessions with the candidate leaves of a searcher, in order of rank.
    fn candidate_sessions(&self, searcher: SearcherIndex) -> Vec<SessionHandle> {
        let Some(peers) = self.peers.get() else {
            return Vec::new();
        };
        let routing = self.routing.load();
        let candidates = routing.placement.candidates(searcher);
        candidates
            .filter_map(|candidate| peers.session(candidate.leaf))
            .collect()
    }

    /// Returns the open session with an instance.
    fn session(&self, instance: &str) -> Option<SessionHandle> {
        self.peers.get()?.session(instance)
    }

    /// Selects the session for an attempt at a searcher: the one with the best-ranked leaf that has an open session.
    /// `excluded_leaf` is skipped because it refused the work or its session was lost.
    fn route(&self, searcher: SearcherIndex, data_centre: &str, excluded_leaf: Option<&str>) -> Option<Route> {
        let peers = self.peers.get()?;
        let routing = self.routing.load();
        let in_handover = routing.handover_centres.contains(data_centre);
        let mut candidates = routing.placement.candidates(searcher);
        candidates.find_map(|candidate| {
            if excluded_leaf == Some(&**candidate.leaf) {
                return None;
            }
            let session = peers.session(candidate.leaf)?;
            let fallback = in_handover || excluded_leaf.is_some() || !candidate.first;
            Some(Route { session, fallback })
        })
    }
}

/// Routing table for the searchers of one revision.
#[derive(Debug, Default)]
struct Routing {
    placement: Placement,
    /// Data centres in which a leaf is leaving. Its successor may learn this later than the entry does, so the entry
    /// sets the `fallback` flag on requests to these data centres.
    handover_centres: IndexSet<DataCentreId>,
}

/// Session selected for one attempt.
#[derive(Debug)]
struct Route {
    session: SessionHandle,
    /// Whether the leaf must serve the attempt even if it does not consider itself the owner.
    fallback: bool,
}

/// Permit of an admitted request. Dropping it returns the permit to the admission control.
#[derive(Debug)]
struct AdmissionPermit {
    entry: Arc<Entry>,
    class: Class,
    overloaded: bool,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let now = self.entry.node.timer.now();
        self.entry.admission.on_done(self.class, self.overloaded, now);
        self.entry.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl PeerHandler for Entry {
    fn on_opened(&self, session: &SessionHandle) {
        self.node.on_session_opened(session);
    }

    fn on_frame(&self, session: &SessionHandle, body: Body) {
        let Some(body) = self.node.on_shared_frame(session, body) else {
            return;
        };
        match body {
            Body::PartResult(result) => {
                self.pending
                    .deliver(result.correlation, RequestEvent::PartResult(session.id(), result));
            }
            Body::TicketReply(reply) => {
                self.pending
                    .deliver(reply.correlation, RequestEvent::TicketReply(session.id(), reply));
            }
            Body::SubmitReply(reply) => {
                self.pending
                    .deliver(reply.correlation, RequestEvent::SubmitReply(session.id(), reply));
            }
            Body::Holdings(message) => self.on_holdings(&message),
            _ => {}
        }
    }

    fn on_closed(&self, session: &SessionHandle) {
        if let Some(peers) = self.peers.get() {
            self.node.on_session_closed(session, peers);
        }
        self.pending.on_session_lost(session.id());
    }

    fn on_unreachable(&self, peer: &str) {
        self.node.try_notify(ControlInput::PeerUnreachable(peer.into()));
    }
}
