//! The entry program: faces callers, plans searches, fans out to leaves and merges.
//!
//! One task serves one request. It reads the configuration, the placement of searchers and what is known of them by
//! read-copy-update, and gets the results of its parts through a queue of its own.

pub mod api;
pub mod fleet_manager;
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
use crate::process::entry::pending::Pending;
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

/// State that the requests of an entry share.
#[derive(Debug)]
pub struct Entry {
    node: Arc<Node>,
    peers: OnceLock<Arc<Peers>>,
    fleet: ArcSwapOption<Fleet>,
    routing: ArcSwap<Routing>,
    holdings: Mutex<IndexMap<SearcherId, Vec<SnapshotId>>>,
    pending: Pending,
    admission: Admission,
    correlation: AtomicU64,
    in_flight: AtomicUsize,
    max_body: usize,
}

impl Entry {
    /// Makes an entry. `max_body` bounds the body of a request in bytes, and `in_flight` the requests in progress.
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
            pending: Pending::default(),
            admission,
            correlation: AtomicU64::new(1),
            in_flight: AtomicUsize::new(0),
            max_body,
        })
    }

    /// Gives the entry its sessions, which need the entry as their handler and so are made after it.
    pub fn attach(&self, peers: Arc<Peers>) {
        let _attached_once = self.peers.set(peers);
    }

    /// Returns the shared state of the process.
    #[must_use]
    pub const fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns the number of requests of callers in progress.
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

    /// Returns the sessions with the leaves that may hold a searcher, the best-ranked first.
    fn holders(&self, searcher: SearcherIndex) -> Vec<SessionHandle> {
        let Some(peers) = self.peers.get() else {
            return Vec::new();
        };
        let routing = self.routing.load();
        let candidates = routing.placement.candidates(searcher);
        candidates
            .filter_map(|candidate| peers.session(candidate.leaf))
            .collect()
    }

    /// Returns the session with an instance.
    fn session(&self, instance: &str) -> Option<SessionHandle> {
        self.peers.get()?.session(instance)
    }

    /// Returns the session on which work for a searcher is sent: the best-ranked leaf with an open session, other than
    /// `except`, which refused the work or was lost.
    fn route(&self, searcher: SearcherIndex, data_centre: &str, except: Option<&str>) -> Option<Route> {
        let peers = self.peers.get()?;
        let routing = self.routing.load();
        let unsettled = routing.unsettled.contains(data_centre);
        let mut candidates = routing.placement.candidates(searcher);
        candidates.find_map(|candidate| {
            if except == Some(&**candidate.leaf) {
                return None;
            }
            let session = peers.session(candidate.leaf)?;
            let fallback = unsettled || except.is_some() || !candidate.first;
            Some(Route { session, fallback })
        })
    }
}

/// Where work for the searchers of one revision is sent.
#[derive(Debug, Default)]
struct Routing {
    placement: Placement,
    /// Data centres in which a leaf is leaving. Its successor may learn of that later than this entry, so it is told with
    /// the flag `fallback` to serve all the same.
    unsettled: IndexSet<DataCentreId>,
}

/// Session for one attempt.
#[derive(Debug)]
struct Route {
    session: SessionHandle,
    /// Whether the leaf must serve although it may not be the owner by its own view.
    fallback: bool,
}

/// Admitted request. Dropping it gives the place back.
#[derive(Debug)]
struct Admitted {
    entry: Arc<Entry>,
    class: Class,
    overloaded: bool,
}

impl Drop for Admitted {
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
                    .on_event(result.correlation, RequestEvent::Result(session.id(), result));
            }
            Body::TicketReply(reply) => {
                self.pending
                    .on_event(reply.correlation, RequestEvent::Ticket(session.id(), reply));
            }
            Body::SubmitReply(reply) => {
                self.pending
                    .on_event(reply.correlation, RequestEvent::Submit(session.id(), reply));
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
