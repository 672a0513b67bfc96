//! Submissions in the leaf: connects the register of tickets with sessions and lanes.
//!
//! The register decides; this module carries its actions out. The register is asked for leave immediately before the bytes
//! of a submission are written, so that a ticket is dispatched at most once whatever the queues in between do. See
//! `docs/design/at-most-once.md`.

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

use crate::connection::backend::HttpReply;
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
use crate::process::leaf::work::micros;
use crate::process::node::Node;
use crate::process::tickets::Action;
use crate::process::tickets::BackendReply;
use crate::process::tickets::Register;
use crate::process::tickets::Work;
use crate::process::tickets::WorkId;
use crate::wire::proto;
use crate::wire::proto::Class;
use crate::wire::proto::RefusalReason;
use crate::wire::proto::Submit;
use crate::wire::proto::frame::Body;
use crate::wire::proto::ticket_reply;

/// Lane of a searcher, or why the leaf takes no new work for it.
pub type LaneFor<'a> = Result<&'a LaneHandle, RefusalReason>;

/// Submissions of a leaf.
#[derive(Debug)]
pub struct Submissions {
    /// Handle of this value, for work items that report back to it.
    own: Weak<Self>,
    node: Arc<Node>,
    state: Mutex<State>,
    changed: Notify,
    next_work: Arc<AtomicU64>,
}

#[derive(Debug)]
struct State {
    register: Register,
    sessions: HashMap<SessionId, SessionHandle>,
    /// Lanes that hold admitted work.
    queued: HashMap<WorkId, (LaneHandle, LaneWorkId)>,
}

impl Submissions {
    /// Makes the submissions of a leaf. `next_work` numbers the work items of all lanes.
    #[must_use]
    pub fn new(node: Arc<Node>, register: Register, next_work: Arc<AtomicU64>) -> Arc<Self> {
        let state = State {
            register,
            sessions: HashMap::new(),
            queued: HashMap::new(),
        };
        Arc::new_cyclic(|own| Self {
            own: Weak::clone(own),
            node,
            state: Mutex::new(state),
            changed: Notify::new(),
            next_work,
        })
    }

    /// Returns the submissions that wait for an outcome or are running.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let state = self.lock();
        state.register.waiting().max(state.register.running())
    }

    /// Wakes the register at its times until the process ends.
    pub async fn run(self: Arc<Self>) {
        let timer = self.node.timer.clone();
        loop {
            let wakeup = self.lock().register.next_wakeup();
            tokio::select! {
                () = self.changed.notified() => continue,
                () = timer.sleep_until(wakeup) => {}
            }
            let now = timer.now();
            self.decide(None, |register, actions| register.on_wakeup(now, actions));
        }
    }

    /// Notes a session on which submissions may come.
    pub fn on_opened(&self, session: &SessionHandle) {
        self.lock().sessions.insert(session.id(), session.clone());
    }

    /// Withdraws the queued submissions of a session that ended.
    pub fn on_closed(&self, session: SessionId) {
        self.lock().sessions.remove(&session);
        self.decide(None, |register, actions| register.on_session_closed(session, actions));
    }

    /// Issues a ticket.
    pub fn on_ticket_request(&self, session: &SessionHandle, request: &proto::TicketRequest, lane: LaneFor<'_>) {
        let now = self.node.timer.now();
        let issued = match lane {
            Ok(_) => {
                let issued = self.lock().register.issue(&request.searcher, now, unix_ms());
                issued.map_err(|after| (RefusalReason::QueueFull, after))
            }
            Err(reason) => Err((reason, Duration::ZERO)),
        };
        let outcome = match issued {
            Ok(ticket) => ticket_reply::Outcome::Ticket(ticket),
            Err((reason, after)) => ticket_reply::Outcome::Refusal(proto::Refusal {
                reason: reason.into(),
                retry_after_us: micros(after),
                may_have_run: false,
            }),
        };
        let reply = proto::TicketReply {
            correlation: request.correlation,
            outcome: Some(outcome),
        };
        let _closed = session.send(Body::TicketReply(reply));
    }

    /// Takes a submission.
    pub fn on_submit(&self, session: SessionId, submit: &Submit, lane: LaneFor<'_>) {
        let now = self.node.timer.now();
        let ready = lane.map(|_| ());
        let mut rejected = None;
        self.decide(lane.ok(), |register, actions| {
            rejected = register.on_submit(session, submit, ready, now, actions).err();
        });
        if let Some(rejection) = rejected {
            debug!(self.node.log, "submission_rejected"; "request" => &submit.request_id, "reason" => ?rejection);
        }
        self.changed.notify_one();
    }

    /// Takes the cancellation of a submission. Cancellations of searches have no effect here.
    pub fn on_cancel(&self, session: SessionId, correlation: u64) {
        self.decide(None, |register, actions| {
            register.on_cancel(session, correlation, actions);
        });
    }

    /// Asks for leave to write the bytes of a submission now. `false` means that nothing may be written.
    #[must_use]
    pub fn begin(&self, id: WorkId, now: Instant) -> bool {
        let mut allowed = false;
        self.decide(None, |register, actions| allowed = register.begin(id, now, actions));
        allowed
    }

    /// Records the end of admitted work: the reply of the backend server where there was one, else the lane's refusal.
    pub fn finish(&self, id: WorkId, reply: Option<HttpReply>, refusal: Option<Refusal>) {
        self.lock().queued.remove(&id);
        self.decide(None, |register, actions| match (reply, refusal) {
            (Some(reply), _) => register.on_reply(id, backend_reply(reply), actions),
            (None, Some(refusal)) => register.on_refused(id, refusal.reason, refusal.retry_after, actions),
            (None, None) => register.on_lost(id, actions),
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the register decide and carries its actions out. `lane` is the one for admitted work. The lock is not held
    /// while a lane is called, since a lane that refuses at once calls back.
    fn decide(&self, lane: Option<&LaneHandle>, decision: impl FnOnce(&mut Register, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        decision(&mut self.lock().register, &mut actions);
        for action in actions {
            match action {
                Action::Admit(work) => self.admit(lane, work),
                Action::Withdraw { id, .. } => self.withdraw(id),
                Action::Reply { session, reply } => self.reply(session, reply),
            }
        }
    }

    fn admit(&self, lane: Option<&LaneHandle>, work: Work) {
        let (Some(lane), Some(submissions)) = (lane, self.own.upgrade()) else {
            return;
        };
        let number = self.next_work.fetch_add(1, Ordering::Relaxed);
        self.lock().queued.insert(work.id, (lane.clone(), number));
        lane.offer(work_item(work, number, submissions));
    }

    fn withdraw(&self, id: WorkId) {
        let queued = self.lock().queued.remove(&id);
        if let Some((lane, work)) = queued {
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

/// Makes the lane's item. The leaf that a ticket names serves it whatever its rank is, since no other leaf may.
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
            attempt: work.backend,
        },
        origin: Origin::Submission {
            submissions,
            id: work.id,
        },
    }
}

fn backend_reply(reply: HttpReply) -> BackendReply {
    BackendReply {
        status: reply.status.as_u16(),
        unstarted: reply.not_started,
        after: reply.retry_after.unwrap_or_default(),
        body: reply.body,
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
