//! The leaf program: faces backend servers, owns connections and slots.
//!
//! Sessions of entries bring batches; each part goes to the lane of its searcher, and its result back on the session it
//! came from. A manager task starts and ends lanes as the roles of this instance change.

pub mod connections;
pub mod lanes;
pub mod roles;
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
use crate::process::leaf::lanes::LaneHandle;
use crate::process::leaf::lanes::LaneInput;
use crate::process::leaf::lanes::LaneNews;
use crate::process::leaf::submissions::Submissions;
use crate::process::leaf::work::Origin;
use crate::process::leaf::work::PartKey;
use crate::process::leaf::work::Payload;
use crate::process::leaf::work::SessionWorks;
use crate::process::leaf::work::WorkItem;
use crate::process::leaf::work::refusal_outcome;
use crate::process::membership::State;
use crate::process::node::Node;
use crate::process::node::control::ControlInput;
use crate::process::peers::PeerHandler;
use crate::process::peers::Peers;
use crate::process::tickets;
use crate::process::tickets::Register;
use crate::wire::proto;
use crate::wire::proto::Batch;
use crate::wire::proto::Part;
use crate::wire::proto::RefusalReason;
use crate::wire::proto::Submit;
use crate::wire::proto::frame::Body;

/// Longest remaining time that an entry may name. It bounds how long a part can stay queued.
const MAX_REMAINING: Duration = Duration::from_secs(60);

/// Lanes of this leaf by searcher.
pub type LaneMap = IndexMap<SearcherId, LaneHandle>;

/// State that the sessions and the manager of a leaf share.
#[derive(Debug)]
pub struct Leaf {
    node: Arc<Node>,
    peers: OnceLock<Arc<Peers>>,
    lanes: Arc<ArcSwap<LaneMap>>,
    works: ArcSwap<HashMap<SessionId, Arc<SessionWorks>>>,
    holdings: Mutex<IndexMap<SearcherId, Vec<SnapshotId>>>,
    next_work: Arc<AtomicU64>,
    submissions: Arc<Submissions>,
    refusing: AtomicBool,
    /// Leaves that take over when this one stops.
    successors: ArcSwap<IndexSet<InstanceId>>,
    /// Successors that confirmed that their connections are open.
    warm: mpsc::UnboundedSender<InstanceId>,
}

impl Leaf {
    /// Makes a leaf without lanes that remembers up to `tickets` tickets, and the queue of confirmations that its successors give during a stop.
    #[must_use]
    pub fn new(node: Arc<Node>, tickets: usize) -> (Arc<Self>, mpsc::UnboundedReceiver<InstanceId>) {
        let (warm, confirmations) = mpsc::unbounded_channel();
        let next_work = Arc::new(AtomicU64::new(1));
        let identity = &node.identity;
        let mut settings = tickets::Settings::new(&identity.instance, identity.incarnation);
        settings.capacity = tickets;
        let register = Register::new(settings);
        let submissions = Submissions::new(Arc::clone(&node), register, Arc::clone(&next_work));
        let leaf = Self {
            node,
            peers: OnceLock::new(),
            lanes: Arc::default(),
            works: ArcSwap::default(),
            holdings: Mutex::default(),
            next_work,
            submissions,
            refusing: AtomicBool::new(false),
            successors: ArcSwap::default(),
            warm,
        };
        (Arc::new(leaf), confirmations)
    }

    /// Returns the leaves that take over when this one stops.
    #[must_use]
    pub fn successors(&self) -> IndexSet<InstanceId> {
        IndexSet::clone(&self.successors.load())
    }

    /// Gives the leaf its sessions, which need the leaf as their handler and so are made after it.
    pub fn attach(&self, peers: Arc<Peers>) {
        let _attached_once = self.peers.set(peers);
    }

    /// Returns the shared state of the process.
    #[must_use]
    pub const fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns the lanes.
    #[must_use]
    pub fn lanes(&self) -> Arc<LaneMap> {
        self.lanes.load_full()
    }

    /// Refuses all further work as `draining`. Work that is queued or running goes on.
    pub fn refuse_new_work(&self) {
        self.refusing.store(true, Ordering::Release);
    }

    /// Returns the submissions.
    #[must_use]
    pub const fn submissions(&self) -> &Arc<Submissions> {
        &self.submissions
    }

    /// Ends all lanes at once.
    pub async fn close_lanes(&self) {
        for lane in self.lanes().values() {
            lane.send(LaneInput::Close).await;
        }
    }

    /// Tells whether all further work is refused.
    #[must_use]
    pub fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Acquire)
    }

    /// Returns the work that is queued or running.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let parts: usize = self.works.load().values().map(|works| works.len()).sum();
        parts + self.submissions.in_flight()
    }

    /// Handles the news of lanes until the process ends.
    pub async fn run_news(self: Arc<Self>, mut news: mpsc::Receiver<LaneNews>) {
        while let Some(item) = news.recv().await {
            match item {
                LaneNews::Held(searcher, snapshots) => self.on_held(searcher, snapshots),
                LaneNews::Usable(searcher, began) => {
                    self.node.observe(ControlInput::SearcherUsable(searcher, began));
                }
                LaneNews::Leaving(searcher) => self.node.searcher_leaving(&searcher),
                LaneNews::Suspended => self.node.observe(ControlInput::Confirm),
            }
        }
    }

    fn on_held(&self, searcher: SearcherId, snapshots: Vec<SnapshotId>) {
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

    fn forget_holdings(&self, searcher: &str) {
        self.holdings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .shift_remove(searcher);
    }

    fn on_batch(&self, works: &Arc<SessionWorks>, batch: &Batch) {
        let now = self.node.timer.now();
        let Ok(query) = std::str::from_utf8(&batch.query) else {
            warn!(self.node.log, "malformed_batch"; "request" => &batch.request_id);
            works.session().close();
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
                    works.insert(key, lane.clone(), work.id);
                    let works = Arc::clone(works);
                    let origin = Origin::Part { works, key };
                    lane.offer(WorkItem { work, payload, origin });
                }
                Err(reason) => works.send(key, refusal_outcome(reason, Duration::ZERO, false), None, Vec::new()),
            }
        }
    }

    fn part_work(&self, batch: &Batch, part: &Part, deadline: Instant) -> Work {
        Work {
            id: self.next_work.fetch_add(1, Ordering::Relaxed),
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
            let version = self.node.version();
            let is_known = version.is_some_and(|version| version.tables.searchers.contains_key(searcher));
            if is_known {
                RefusalReason::NotOwner
            } else {
                RefusalReason::UnknownSearcher
            }
        })
    }

    /// Refuses a ticket for a searcher that no longer takes the submissions of its key. The register applies this only to
    /// tickets that were not used yet; a repeat gets its recorded outcome whatever the configuration is by now.
    fn check_designated(&self, submit: &Submit, searcher: &str) -> Result<(), RefusalReason> {
        let version = self.node.version();
        let designated =
            version.is_some_and(|version| version.tables.is_designated(searcher, &submit.shard, submit.key));
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
    // A body of text and numbers always has a JSON form.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    Payload::Search {
        body: Bytes::from(body),
        snapshot: batch.snapshot,
    }
}

/// Longest time that a leaf that takes over waits for its connections before it confirms the go-away of another.
const WARM_LIMIT: Duration = Duration::from_secs(1);

/// Interval at which a leaf that takes over looks at its connections.
const WARM_POLL: Duration = Duration::from_millis(10);

/// Confirms a go-away once this leaf knows of it and its connections for the searchers that it owns are open.
async fn confirm_go_away(node: Arc<Node>, lanes: impl Fn() -> Arc<LaneMap>, session: SessionHandle) {
    let mut views = node.views();
    let peer = session.peer().instance.clone();
    let known = async { views.wait_for(|view| view.state(&peer) == State::Leaving).await.is_ok() };
    let _limit_passed = tokio::time::timeout(WARM_LIMIT, known).await;
    let limit = node.timer.now() + WARM_LIMIT;
    let is_warm = || {
        lanes()
            .values()
            .filter_map(LaneHandle::state)
            .all(|state| state.warm || state.draining)
    };
    while !is_warm() && node.timer.now() < limit {
        node.timer.sleep_until(Some(node.timer.now() + WARM_POLL)).await;
    }
    let reply = proto::GoAwayReply { warm: is_warm() };
    let _closed = session.send(Body::GoAwayReply(reply));
}

impl PeerHandler for Leaf {
    fn on_opened(&self, session: &SessionHandle) {
        self.works.rcu(|works| {
            let mut next = HashMap::clone(works);
            next.insert(session.id(), SessionWorks::new(session.clone()));
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
            let _not_stopping = self.warm.send(session.peer().instance.as_str().into());
            return;
        }
        let works = self.works.load().get(&session.id()).cloned();
        let Some(works) = works else { return };
        match body {
            Body::Batch(batch) => self.on_batch(&works, &batch),
            Body::Cancel(cancel) => {
                if cancel.parts.is_empty() {
                    self.submissions.on_cancel(session.id(), cancel.correlation);
                }
                works.cancel(cancel.correlation, &cancel.parts);
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
        self.works.rcu(|works| {
            let mut next = HashMap::clone(works);
            closed = next.remove(&session.id());
            next
        });
        if let Some(works) = closed {
            works.cancel_all();
        }
        self.submissions.on_closed(session.id());
        if let Some(peers) = self.peers.get() {
            self.node.on_session_closed(session, peers);
        }
    }

    fn on_unreachable(&self, peer: &str) {
        self.node.observe(ControlInput::Unreachable(peer.into()));
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
