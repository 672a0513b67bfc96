//! Baseline client without the policies of a lane: one FIFO queue, a fixed concurrency limit, and no refusal until the
//! queue is full.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use pimentoflow::connection::lane::work::Action;
use pimentoflow::connection::lane::work::Outcome;
use pimentoflow::connection::lane::work::QUEUE_CAPACITY;
use pimentoflow::connection::lane::work::Refusal;
use pimentoflow::connection::lane::work::Reply;
use pimentoflow::connection::lane::work::ReplyResult;
use pimentoflow::connection::lane::work::Work;
use pimentoflow::connection::lane::work::WorkId;
use pimentoflow::connection::pool::ConnectionId;
use pimentoflow::wire::proto::RefusalReason;

/// Baseline client. See the module documentation.
#[derive(Debug)]
pub struct FifoClient {
    slots: usize,
    next: ConnectionId,
    idle: VecDeque<ConnectionId>,
    queue: VecDeque<Work>,
    running: IndexMap<ConnectionId, WorkId>,
}

impl FifoClient {
    /// Creates a client that keeps `connections` connections open and sends at most `slots` requests at once.
    #[must_use]
    pub fn new(slots: u32, connections: u32, actions: &mut Vec<Action>) -> Self {
        let opens = (0..u64::from(connections)).map(|connection| Action::Open { connection });
        actions.extend(opens);
        Self {
            slots: slots as usize,
            next: u64::from(connections),
            idle: VecDeque::new(),
            queue: VecDeque::new(),
            running: IndexMap::new(),
        }
    }

    /// Queues a work item, or refuses it if the queue is full.
    pub fn on_work(&mut self, work: Work, now: Instant, actions: &mut Vec<Action>) {
        if self.queue.len() >= QUEUE_CAPACITY {
            refuse(work.id, RefusalReason::QueueFull, actions);
            return;
        }
        self.queue.push_back(work);
        self.dispatch(now, actions);
    }

    /// Handles an opened connection.
    pub fn on_opened(&mut self, connection: ConnectionId, now: Instant, actions: &mut Vec<Action>) {
        self.idle.push_back(connection);
        self.dispatch(now, actions);
    }

    /// Handles a closed connection: refuses its request and opens another connection at once.
    pub fn on_closed(&mut self, connection: ConnectionId, actions: &mut Vec<Action>) {
        self.idle.retain(|idle| *idle != connection);
        if let Some(work) = self.running.swap_remove(&connection) {
            refuse(work, RefusalReason::Unreachable, actions);
        }
        let connection = self.next;
        self.next += 1;
        actions.push(Action::Open { connection });
    }

    /// Handles a reply.
    pub fn on_reply(&mut self, connection: ConnectionId, reply: Reply, now: Instant, actions: &mut Vec<Action>) {
        if let Some(work) = self.running.swap_remove(&connection) {
            match reply.result {
                ReplyResult::Answered { .. } => {
                    let outcome = Outcome::Answered;
                    actions.push(Action::Finish { work, outcome });
                }
                ReplyResult::Refused { reason, .. } => refuse(work, reason, actions),
            }
            self.idle.push_back(connection);
        }
        self.dispatch(now, actions);
    }

    fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while self.running.len() < self.slots && !self.queue.is_empty() {
            let Some(connection) = self.idle.pop_front() else {
                return;
            };
            let Some(work) = self.queue.pop_front() else {
                return;
            };
            self.running.insert(connection, work.id);
            let remaining = work.deadline.saturating_duration_since(now);
            let work = work.id;
            actions.push(Action::Dispatch {
                connection,
                work,
                remaining,
            });
        }
    }
}

fn refuse(work: WorkId, reason: RefusalReason, actions: &mut Vec<Action>) {
    let outcome = Outcome::Refused(Refusal {
        reason,
        retry_after: Duration::ZERO,
        may_have_run: false,
    });
    actions.push(Action::Finish { work, outcome });
}
