//! The leaf program: owns the connections to backend servers and their slots.
//!
//! Entries send batches over sessions. Each part is queued in the lane of its searcher, and its result is sent on the
//! session that the batch arrived on. The [`LaneManager`](lane_manager::LaneManager) starts and ends lanes as the roles
//! of this instance change.

pub mod connections;
pub mod lane_manager;
pub mod lanes;
pub mod submissions;
pub mod work;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use bytes::Bytes;
use indexmap::IndexMap;
use indexmap::IndexSet;
use slog::warn;
use tokio::sync::mpsc;

use crate::connection::backend::SearchBody;
use crate::connection::lane::work::Work;
use crate::connection::session::SessionHandle;
use crate::connection::session::SessionId;
use crate::ids::InstanceId;
use crate::ids::SearcherId;
use crate::ids::SnapshotId;
use crate::process::leaf::lanes::LaneEvent;
use crate::process::leaf::lanes::LaneHandle;
use crate::process::leaf::lanes::LaneInput;
use crate::process::leaf::submissions::Submissions;
use crate::process::leaf::work::Origin;
use crate::process::leaf::work::PartKey;
use crate::process::leaf::work::Payload;
use crate::process::leaf::work::PendingParts;
use crate::process::leaf::work::WorkItem;
use crate::process::leaf::work::refusal_outcome;
use crate::process::membership::State;
use crate::process::node::Node;
use crate::process::node::control::ControlInput;
use crate::process::peers::PeerHandler;
use crate::process::peers::Peers;
use crate::process::tickets;
use crate::process::tickets::TicketRegistry;
use crate::wire::proto;
use crate::wire::proto::Batch;
use crate::wire::proto::Part;
use crate::wire::proto::RefusalReason;
use crate::wire::proto::Submit;
use crate::wire::proto::frame::Body;

/// Upper bound on the remaining time of a batch, and so on the time that a part can stay queued.
const MAX_REMAINING: Duration = Duration::from_secs(60);

/// Lanes of a leaf by searcher.
pub type LaneMap = IndexMap<SearcherId, LaneHandle>;

/// State shared by the sessions and the lane manager of a leaf.
#[derive(Debug)]
pub struct Leaf {
    node: Arc<Node>,
    peers: OnceLock<Arc<Peers>>,
    lanes: Arc<ArcSwap<LaneMap>>,
    pending: ArcSwap<HashMap<SessionId, Arc<PendingParts>>>,
    holdings: Mutex<IndexMap<SearcherId, Vec<SnapshotId>>>,
    next_work_id: Arc<AtomicU64>,
    submissions: Arc<Submissions>,
    refusing: AtomicBool,
    /// Leaves that take over the searchers of this leaf when it stops.
    successors: ArcSwap<IndexSet<InstanceId>>,
    /// Receives the name of each successor that confirmed the go-away of this leaf.
    confirmations: mpsc::UnboundedSender<InstanceId>,
}

impl Leaf {
    /// Creates a leaf without lanes that keeps at most `tickets` tickets. The receiver yields the successors that
    /// confirm the go-away of this leaf during a planned stop.
    #[must_use]
    pub fn new(node: Arc<Node>, tickets: usize) -> (Arc<Self>, mpsc::UnboundedReceiver<InstanceId>) {
        let (confirmations, receiver) = mpsc::unbounded_channel();
        let next_work_id = Arc::new(AtomicU64::new(1));
        let identity = &node.identity;
        let mut settings = tickets::Settings::new(&identity.instance, identity.incarnation);
        settings.capacity = tickets;
        let registry = TicketRegistry::new(settings);
        let submissions = Submissions::new(Arc::clone(&node), registry, Arc::clone(&next_work_id));
        let leaf = Self {
            node,
            peers: OnceLock::new(),
            lanes: Arc::default(),
            pending: ArcSwap::default(),
            holdings: Mutex::default(),
            next_work_id,
            submissions,
            refusing: AtomicBool::new(false),
            successors: ArcSwap::default(),
            confirmations,
        };
        (Arc::new(leaf), receiver)
    }

    /// Returns the leaves that take over the searchers of this leaf when it stops.
    #[must_use]
    pub fn successors(&self) -> IndexSet<InstanceId> {
        IndexSet::clone(&self.successors.load())
    }

    /// Sets the sessions with peers. They are created after the leaf because it is their handler.
    pub fn set_peers(&self, peers: Arc<Peers>) {
        let _already_set = self.peers.set(peers);
    }

    /// Returns the shared state of the process.
    #[must_use]
    pub const fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns a snapshot of the lanes by searcher.
    #[must_use]
    pub fn lanes(&self) -> Arc<LaneMap> {
        self.lanes.load_full()
    }

    /// Refuses all new work as `not_owner`. Work that is queued or running continues.
    pub fn refuse_new_work(&self) {
        self.refusing.store(true, Ordering::Release);
    }

    /// Returns the submissions of this leaf.
    #[must_use]
    pub const fn submissions(&self) -> &Arc<Submissions> {
        &self.submissions
    }

    /// Closes all lanes without waiting for work in flight.
    pub async fn close_lanes(&self) {
        for lane in self.lanes().values() {
            lane.send(LaneInput::Close).await;
        }
    }

    /// Returns whether all new work is refused.
    #[must_use]
    pub fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Acquire)
    }

    /// Returns the number of parts and submissions that are queued or running.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let parts: usize = self.pending.load().values().map(|pending| pending.len()).sum();
        parts + self.submissions.in_flight()
    }

    /// Handles the events of all lanes until the process ends.
    pub async fn run_lane_events(self: Arc<Self>, mut events: mpsc::Receiver<LaneEvent>) {
        while let Some(event) = events.recv().await {
            match event {
                LaneEvent::SnapshotsChanged(searcher, snapshots) => self.on_snapshots_changed(searcher, snapshots),
                LaneEvent::Usable(searcher, started) => {
                    self.node.try_notify(ControlInput::SearcherUsable(searcher, started));
                }
                LaneEvent::Leaving(searcher) => self.node.report_searcher_leaving(&searcher),
                LaneEvent::Suspended => self.node.try_notify(ControlInput::ConfirmView),
            }
        }
    }

    fn on_snapshots_changed(&self, searcher: SearcherId, snapshots: Vec<SnapshotId>) {
        let message = Body::Holdings(holdings_message([(&searcher, &snapshots)].into_iter()));
        self.holdings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(searcher, snapshots);
        let Some(peers) = self.peers.get() else { return };
        for session in peers.sessions().values() {
            if session.peer().role() == proto::Role::Entry {
                let _closed = session.send(message.clone());
            }
        }
    }

    fn send_holdings(&self, session: &SessionHandle) {
        let message = {
            let holdings = self.holdings.lock().unwrap_or_else(PoisonError::into_inner);
            holdings_message(holdings.iter())
        };
        if !message.searchers.is_empty() {
            let _closed = session.send(Body::Holdings(message));
        }
    }

    fn remove_holdings(&self, searcher: &str) {
        self.holdings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .shift_remove(searcher);
    }

    fn on_batch(&self, pending: &Arc<PendingParts>, batch: &Batch) {
        let now = self.node.timer.now();
        let Ok(query) = std::str::from_utf8(&batch.query) else {
            warn!(self.node.log, "malformed_batch"; "request" => &batch.request_id);
            pending.session().close();
            return;
        };
        let deadline = now + Duration::from_micros(batch.remaining_us).min(MAX_REMAINING);
        let lanes = self.lanes.load();
        for part in &batch.parts {
            let key = PartKey {
                correlation: batch.correlation,
                part: part.part,
                attempt: part.attempt,
            };
            match self.lane_for(&lanes, &part.searcher) {
                Ok(lane) => {
                    let work = self.part_work(batch, part, deadline);
                    let payload = part_payload(batch, part, query);
                    pending.insert(key, lane.clone(), work.id);
                    let pending = Arc::clone(pending);
                    let origin = Origin::Part { pending, key };
                    lane.offer(WorkItem { work, payload, origin });
                }
                Err(reason) => pending.send(key, refusal_outcome(reason, Duration::ZERO, false), None, Vec::new()),
            }
        }
    }

    fn part_work(&self, batch: &Batch, part: &Part, deadline: Instant) -> Work {
        Work {
            id: self.next_work_id.fetch_add(1, Ordering::Relaxed),
            class: batch.class(),
            deadline,
            idempotent: true,
            slotted: true,
            fallback: part.fallback,
        }
    }

    fn lane_for<'a>(&self, lanes: &'a LaneMap, searcher: &str) -> Result<&'a LaneHandle, RefusalReason> {
        if self.is_refusing() {
            return Err(RefusalReason::NotOwner);
        }
        lanes.get(searcher).ok_or_else(|| {
            let config = self.node.config();
            let is_known = config.is_some_and(|config| config.tables.searchers.contains_key(searcher));
            if is_known {
                RefusalReason::NotOwner
            } else {
                RefusalReason::UnknownSearcher
            }
        })
    }

    /// Refuses a ticket when the configuration in effect no longer designates its searcher for the submitted key. The
    /// registry applies the refusal to unused tickets only; a repeated submission gets its recorded outcome.
    fn check_designated(&self, submit: &Submit, searcher: &str) -> Result<(), RefusalReason> {
        let config = self.node.config();
        let designated = config.is_some_and(|config| config.tables.is_designated(searcher, &submit.shard, submit.key));
        designated.then_some(()).ok_or(RefusalReason::UnknownSearcher)
    }
}

fn part_payload(batch: &Batch, part: &Part, query: &str) -> Payload {
    let range = part.range.unwrap_or_default();
    let body = SearchBody {
        shard: &part.shard,
        start: range.start,
        end: range.end,
        query,
        limit: batch.limit,
    };
    // Serialising strings and numbers to JSON cannot fail.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    Payload::Search {
        body: Bytes::from(body),
        snapshot: batch.snapshot,
    }
}

/// Longest wait of a successor for its view, and then for its connections, before it confirms a go-away.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a successor checks whether its connections are open.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Replies to the go-away of another leaf once the view shows that leaf as leaving and the connections of every lane
/// that does not drain are open. If they are still not open after the timeout, the reply says so.
async fn confirm_go_away(node: Arc<Node>, lanes: impl Fn() -> Arc<LaneMap>, session: SessionHandle) {
    let mut views = node.watch_view();
    let peer = session.peer().instance.clone();
    let peer_leaving = async { views.wait_for(|view| view.state(&peer) == State::Leaving).await.is_ok() };
    let _timed_out = tokio::time::timeout(CONFIRM_TIMEOUT, peer_leaving).await;
    let deadline = node.timer.now() + CONFIRM_TIMEOUT;
    let is_warm = || {
        lanes()
            .values()
            .filter_map(LaneHandle::state)
            .all(|state| state.warm || state.draining)
    };
    while !is_warm() && node.timer.now() < deadline {
        node.timer
            .sleep_until(Some(node.timer.now() + CONFIRM_POLL_INTERVAL))
            .await;
    }
    let reply = proto::GoAwayReply { warm: is_warm() };
    let _closed = session.send(Body::GoAwayReply(reply));
}

impl PeerHandler for Leaf {
    fn on_opened(&self, session: &SessionHandle) {
        self.pending.rcu(|pending| {
            let mut next = HashMap::clone(pending);
            next.insert(session.id(), PendingParts::new(session.clone()));
            next
        });
        self.submissions.on_opened(session);
        if session.peer().role() == proto::Role::Entry {
            self.send_holdings(session);
        }
        self.node.on_session_opened(session);
    }

    fn on_frame(&self, session: &SessionHandle, body: Body) {
        if matches!(body, Body::GoAway(_)) && session.peer().role() == proto::Role::Leaf {
            let lanes = Arc::clone(&self.lanes);
            let confirm = confirm_go_away(Arc::clone(&self.node), move || lanes.load_full(), session.clone());
            tokio::spawn(confirm);
        }
        let Some(body) = self.node.on_shared_frame(session, body) else {
            return;
        };
        if matches!(body, Body::GoAwayReply(_)) {
            let _not_stopping = self.confirmations.send(session.peer().instance.as_str().into());
            return;
        }
        let pending = self.pending.load().get(&session.id()).cloned();
        let Some(pending) = pending else { return };
        match body {
            Body::Batch(batch) => self.on_batch(&pending, &batch),
            Body::Cancel(cancel) => {
                if cancel.parts.is_empty() {
                    self.submissions.on_cancel(session.id(), cancel.correlation);
                }
                pending.cancel(cancel.correlation, &cancel.parts);
            }
            Body::TicketRequest(request) => {
                let lanes = self.lanes.load();
                let lane = self.lane_for(&lanes, &request.searcher);
                self.submissions.on_ticket_request(session, &request, lane);
            }
            Body::Submit(submit) => {
                let lanes = self.lanes.load();
                let searcher = submit.ticket.as_ref().map_or("", |ticket| &ticket.searcher);
                let lane = self.lane_for(&lanes, searcher);
                let lane = lane.and_then(|lane| self.check_designated(&submit, searcher).map(|()| lane));
                self.submissions.on_submit(session.id(), &submit, lane);
            }
            _ => {}
        }
    }

    fn on_closed(&self, session: &SessionHandle) {
        let mut closed = None;
        self.pending.rcu(|pending| {
            let mut next = HashMap::clone(pending);
            closed = next.remove(&session.id());
            next
        });
        if let Some(pending) = closed {
            pending.cancel_all();
        }
        self.submissions.on_closed(session.id());
        if let Some(peers) = self.peers.get() {
            self.node.on_session_closed(session, peers);
        }
    }

    fn on_unreachable(&self, peer: &str) {
        self.node.try_notify(ControlInput::PeerUnreachable(peer.into()));
    }
}

fn holdings_message<'a>(holdings: impl Iterator<Item = (&'a SearcherId, &'a Vec<SnapshotId>)>) -> proto::Holdings {
    let searchers = holdings.map(|(searcher, snapshots)| proto::SearcherHoldings {
        searcher: searcher.to_string(),
        snapshots: snapshots.clone(),
    });
    proto::Holdings {
        searchers: searchers.collect(),
    }
}
