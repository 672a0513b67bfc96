//! Connects the ticket registry of a leaf with its sessions and lanes.
//!
//! The registry is a state machine, and this module executes its actions. A lane calls [`Submissions::begin_dispatch`]
//! immediately before it writes a submission, so that a ticket is dispatched at most once however long the work was
//! queued. See `docs/design/at-most-once.md`.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use slog::debug;
use tokio::sync::Notify;

use crate::connection::backend::BackendResponse;
use crate::connection::backend::SubmitBody;
use crate::connection::lane::work::Refusal;
use crate::connection::lane::work::Work as LaneWork;
use crate::connection::lane::work::WorkId as LaneWorkId;
use crate::connection::session::SessionHandle;
use crate::connection::session::SessionId;
use crate::process::leaf::lanes::LaneHandle;
use crate::process::leaf::lanes::reason_name;
use crate::process::leaf::work::Origin;
use crate::process::leaf::work::Payload;
use crate::process::leaf::work::WorkItem;
use crate::process::leaf::work::to_micros;
use crate::process::node::Node;
use crate::process::tickets::Action;
use crate::process::tickets::BackendReply;
use crate::process::tickets::TicketRegistry;
use crate::process::tickets::Work;
use crate::process::tickets::WorkId;
use crate::wire::proto;
use crate::wire::proto::Class;
use crate::wire::proto::RefusalReason;
use crate::wire::proto::Submit;
use crate::wire::proto::frame::Body;
use crate::wire::proto::ticket_reply;

/// Lane of a searcher, or the reason for which the leaf refuses new work for it.
pub type LaneLookup<'a> = Result<&'a LaneHandle, RefusalReason>;

/// Ticket registry of a leaf with the sessions and lanes that it uses.
#[derive(Debug)]
pub struct Submissions {
    /// Reference to this value for work items, which report their results to it.
    weak_self: Weak<Self>,
    node: Arc<Node>,
    state: Mutex<State>,
    wakeup_changed: Notify,
    next_work_id: Arc<AtomicU64>,
}

#[derive(Debug)]
struct State {
    registry: TicketRegistry,
    sessions: HashMap<SessionId, SessionHandle>,
    /// Lane and number of each work item that was admitted and has not finished.
    admitted: HashMap<WorkId, (LaneHandle, LaneWorkId)>,
}

impl Submissions {
    /// Creates the submissions of a leaf. `next_work_id` is the counter that numbers the work items of all lanes.
    #[must_use]
    pub fn new(node: Arc<Node>, registry: TicketRegistry, next_work_id: Arc<AtomicU64>) -> Arc<Self> {
        let state = State {
            registry,
            sessions: HashMap::new(),
            admitted: HashMap::new(),
        };
        Arc::new_cyclic(|weak_self| Self {
            weak_self: Weak::clone(weak_self),
            node,
            state: Mutex::new(state),
            wakeup_changed: Notify::new(),
            next_work_id,
        })
    }

    /// Returns the number of waiting requests or of running submissions, whichever is greater. The two overlap.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let state = self.lock();
        state.registry.waiter_count().max(state.registry.running_count())
    }

    /// Runs the timeouts of the registry until the process ends.
    pub async fn run(self: Arc<Self>) {
        let timer = self.node.timer.clone();
        loop {
            let wakeup = self.lock().registry.next_wakeup();
            tokio::select! {
                () = self.wakeup_changed.notified() => continue,
                () = timer.sleep_until(wakeup) => {}
            }
            let now = timer.now();
            self.update_registry(None, |registry, actions| registry.on_wakeup(now, actions));
        }
    }

    /// Registers an open session, so that replies can be sent on it.
    pub fn on_opened(&self, session: &SessionHandle) {
        self.lock().sessions.insert(session.id(), session.clone());
    }

    /// Removes a closed session and withdraws its queued submissions.
    pub fn on_closed(&self, session: SessionId) {
        self.lock().sessions.remove(&session);
        self.update_registry(None, |registry, actions| registry.on_session_closed(session, actions));
    }

    /// Replies with a new ticket, or with a refusal when the searcher has no lane or the registry is full.
    pub fn on_ticket_request(&self, session: &SessionHandle, request: &proto::TicketRequest, lane: LaneLookup<'_>) {
        let now = self.node.timer.now();
        let issued = match lane {
            Ok(_) => {
                let issued = self.lock().registry.issue(&request.searcher, now, unix_ms());
                issued.map_err(|after| (RefusalReason::QueueFull, after))
            }
            Err(reason) => Err((reason, Duration::ZERO)),
        };
        let outcome = match issued {
            Ok(ticket) => ticket_reply::Outcome::Ticket(ticket),
            Err((reason, after)) => ticket_reply::Outcome::Refusal(proto::Refusal {
                reason: reason.into(),
                retry_after_us: to_micros(after),
                may_have_run: false,
            }),
        };
        let reply = proto::TicketReply {
            correlation: request.correlation,
            outcome: Some(outcome),
        };
        let _closed = session.send(Body::TicketReply(reply));
    }

    /// Handles a submission and offers it to the lane when the registry admits it.
    pub fn on_submit(&self, session: SessionId, submit: &Submit, lane: LaneLookup<'_>) {
        let now = self.node.timer.now();
        let admission = lane.map(|_| ());
        let mut rejected = None;
        self.update_registry(lane.ok(), |registry, actions| {
            rejected = registry.on_submit(session, submit, admission, now, actions).err();
        });
        if let Some(rejection) = rejected {
            debug!(self.node.log, "submission_rejected"; "request" => &submit.request_id, "reason" => ?rejection);
        }
        self.wakeup_changed.notify_one();
    }

    /// Cancels a submission. The correlation of a search is not in the registry and has no effect.
    pub fn on_cancel(&self, session: SessionId, correlation: u64) {
        self.update_registry(None, |registry, actions| {
            registry.on_cancel(session, correlation, actions);
        });
    }

    /// Records the dispatch of a submission. When it returns `false`, the submission must not be written.
    #[must_use]
    pub fn begin_dispatch(&self, id: WorkId, now: Instant) -> bool {
        let mut allowed = false;
        self.update_registry(None, |registry, actions| allowed = registry.dispatch(id, now, actions));
        allowed
    }

    /// Records the end of admitted work. The reply of the backend server takes precedence over the refusal of the lane;
    /// without either the outcome is unknown.
    pub fn finish(&self, id: WorkId, reply: Option<BackendResponse>, refusal: Option<Refusal>) {
        self.lock().admitted.remove(&id);
        self.update_registry(None, |registry, actions| match (reply, refusal) {
            (Some(reply), _) => registry.on_reply(id, backend_reply(reply), actions),
            (None, Some(refusal)) => registry.on_refused(id, refusal.reason, refusal.retry_after, actions),
            (None, None) => registry.on_connection_lost(id, actions),
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the registry and executes the resulting actions. Admitted work goes to `lane`. The lock is released
    /// before the actions are executed, because a lane that refuses work immediately calls [`Submissions::finish`].
    fn update_registry(&self, lane: Option<&LaneHandle>, update: impl FnOnce(&mut TicketRegistry, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        update(&mut self.lock().registry, &mut actions);
        for action in actions {
            match action {
                Action::Enqueue(work) => self.admit(lane, work),
                Action::Withdraw { id, .. } => self.withdraw(id),
                Action::Reply { session, reply } => self.reply(session, reply),
            }
        }
    }

    fn admit(&self, lane: Option<&LaneHandle>, work: Work) {
        let (Some(lane), Some(submissions)) = (lane, self.weak_self.upgrade()) else {
            return;
        };
        let number = self.next_work_id.fetch_add(1, Ordering::Relaxed);
        self.lock().admitted.insert(work.id, (lane.clone(), number));
        lane.offer(work_item(work, number, submissions));
    }

    fn withdraw(&self, id: WorkId) {
        let admitted = self.lock().admitted.remove(&id);
        if let Some((lane, work)) = admitted {
            lane.cancel(work);
        }
    }

    fn reply(&self, session: SessionId, reply: proto::SubmitReply) {
        let label = match reply.outcome() {
            proto::SubmitOutcome::Executed => "executed",
            proto::SubmitOutcome::NotRun => "not_run",
            proto::SubmitOutcome::Unknown => "outcome_unknown",
        };
        debug!(self.node.log, "submission_ended"; "outcome" => label, "reason" => reason_name(reply.reason()));
        let session = self.lock().sessions.get(&session).cloned();
        if let Some(session) = session {
            let _closed = session.send(Body::SubmitReply(reply));
        }
    }
}

/// Builds the work item of a submission. `fallback` is set because only the leaf that issued the ticket may serve it,
/// whatever its rank is.
fn work_item(work: Work, number: LaneWorkId, submissions: Arc<Submissions>) -> WorkItem {
    let body = SubmitBody {
        shard: &work.shard,
        key: work.key,
        body: &String::from_utf8_lossy(&work.body),
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    WorkItem {
        work: LaneWork {
            id: number,
            class: Class::try_from(work.class).unwrap_or_default(),
            deadline: work.deadline,
            idempotent: false,
            slotted: true,
            fallback: true,
        },
        payload: Payload::Submit {
            body: Bytes::from(body),
            attempt: work.dispatch_id,
        },
        origin: Origin::Submission {
            submissions,
            id: work.id,
        },
    }
}

fn backend_reply(reply: BackendResponse) -> BackendReply {
    BackendReply {
        status: reply.status.as_u16(),
        not_started: reply.not_started,
        retry_after: reply.retry_after.unwrap_or_default(),
        body: reply.body,
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
