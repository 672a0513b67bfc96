//! Requests in flight: replies, lost connections, deadlines and cancellation.

use std::time::Duration;
use std::time::Instant;

use super::Action;
use super::ConnectionId;
use super::ConnectionState;
use super::Lane;
use super::Outcome;
use super::Refusal;
use super::RefusalReason;
use super::Reply;
use super::ReplyResult;
use super::RunningRequest;
use super::WorkId;

/// Time that the server has to answer a cancelled request. Only after it is the server considered hung and the
/// connection closed.
pub const CANCEL_GRACE: Duration = Duration::from_millis(500);

impl RunningRequest {
    pub(super) fn wakeup(&self) -> Option<Instant> {
        let deadline = (!self.finished).then_some(self.work.deadline);
        deadline.into_iter().chain(self.close_at).min()
    }
}

impl Lane {
    /// Cancels an item. A queued item ends at once. One in flight is cancelled at the server: an idempotent item ends
    /// at once, and a non-idempotent item ends with the reply of the server, which shows whether it ran. Unknown and
    /// finished items are ignored.
    pub fn on_cancel(&mut self, id: WorkId, now: Instant, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        let waiting = self.queue.remove(id).or_else(|| self.unslotted.remove(id));
        if let Some(work) = waiting {
            self.finish_refused(work.id, RefusalReason::Cancelled, Duration::ZERO, false, actions);
        } else {
            self.cancel_running(id, actions);
        }
        self.advance(now, actions);
    }

    /// Handles the reply to a dispatched request.
    pub fn on_reply(&mut self, connection: ConnectionId, reply: Reply, now: Instant, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        if let Some(running) = self.running.get(&connection).copied() {
            self.update_limit(running, reply, now);
            self.release(connection);
            if !running.finished {
                self.finish_replied(running, reply, now, actions);
            }
        }
        if reply.draining {
            self.start_draining(actions);
        }
        self.advance(now, actions);
    }

    /// Fails the request on a lost connection. The server may still be running it, so its slot counts as used for one
    /// more service time; otherwise the next request would be refused and the limit lowered unnecessarily.
    pub(super) fn fail_lost_request(
        &mut self,
        connection: ConnectionId,
        written: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.pending_cancels.retain(|pending| *pending != connection);
        let Some(running) = self.running.swap_remove(&connection) else {
            return;
        };
        if written && running.work.slotted {
            self.orphans.push(now + self.limit.service_time());
        }
        if !running.finished {
            let reason = RefusalReason::Unreachable;
            self.finish_refused(running.work.id, reason, Duration::ZERO, written, actions);
        }
    }

    /// Ends items whose deadline has passed, cancels them at the server, and closes connections on which a cancelled
    /// request stays unanswered.
    pub(super) fn expire_running(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due = |running: &RunningRequest| running.wakeup().is_some_and(|at| at <= now);
        let due: Vec<ConnectionId> = self
            .running
            .iter()
            .filter(|(_, running)| due(running))
            .map(|(connection, _)| *connection)
            .collect();
        for connection in due {
            self.expire_one(connection, now, actions);
        }
        self.pool.close_stuck(now, CANCEL_GRACE, actions);
    }

    /// Sends pending cancellations while a connection is idle.
    pub(super) fn send_cancels(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(pending) = self.pending_cancels.front().copied() {
            let Some(running) = self.running.get_mut(&pending) else {
                self.pending_cancels.pop_front();
                continue;
            };
            let Some(connection) = self.pool.acquire(ConnectionState::Control, now) else {
                return;
            };
            self.pending_cancels.pop_front();
            running.close_at = Some(now + CANCEL_GRACE);
            self.counters.cancels += 1;
            let work = running.work.id;
            actions.push(Action::SendCancel { connection, work });
        }
    }

    fn cancel_running(&mut self, id: WorkId, actions: &mut Vec<Action>) {
        let mut entries = self.running.iter_mut();
        let Some((connection, running)) = entries.find(|(_, running)| running.work.id == id) else {
            return;
        };
        if running.finished {
            return;
        }
        let connection = *connection;
        let finishes_now = running.work.idempotent;
        running.finished = finishes_now;
        self.request_cancel(connection);
        if finishes_now {
            self.finish_refused(id, RefusalReason::Cancelled, Duration::ZERO, true, actions);
        }
    }

    fn request_cancel(&mut self, connection: ConnectionId) {
        let sent = self.running.get(&connection).is_some_and(|r| r.close_at.is_some());
        if !sent && !self.pending_cancels.contains(&connection) {
            self.pending_cancels.push_back(connection);
        }
    }

    fn expire_one(&mut self, connection: ConnectionId, now: Instant, actions: &mut Vec<Action>) {
        let Some(running) = self.running.get_mut(&connection) else {
            return;
        };
        if running.close_at.is_some_and(|at| at <= now) {
            running.close_at = None;
            self.pool.close(connection, actions);
        }
        if running.finished || running.work.deadline > now {
            return;
        }
        running.finished = true;
        let id = running.work.id;
        self.request_cancel(connection);
        if let Some(running) = self.running.get_mut(&connection) {
            running.close_at = running.close_at.or(Some(now + CANCEL_GRACE));
        }
        self.finish_refused(id, RefusalReason::Expired, Duration::ZERO, true, actions);
    }

    fn release(&mut self, connection: ConnectionId) {
        self.running.swap_remove(&connection);
        self.pending_cancels.retain(|pending| *pending != connection);
        self.pool.on_reply(connection);
    }

    /// Updates the concurrency limit from a reply.
    fn update_limit(&mut self, running: RunningRequest, reply: Reply, now: Instant) {
        if !running.work.slotted || reply.draining {
            return;
        }
        let in_flight = self.in_flight();
        match reply.result {
            ReplyResult::Answered { service_time } => self.limit.on_success(running.record, service_time, now),
            ReplyResult::Refused {
                reason: RefusalReason::Shedding,
                retry_after,
                ..
            } => self.limit.on_refused(running.record, in_flight, retry_after, now),
            ReplyResult::Refused { .. } => {}
        }
    }

    fn finish_replied(&self, running: RunningRequest, reply: Reply, now: Instant, actions: &mut Vec<Action>) {
        let work = running.work.id;
        let ReplyResult::Refused {
            reason,
            not_started,
            retry_after,
        } = reply.result
        else {
            let outcome = Outcome::Answered;
            actions.push(Action::Finish { work, outcome });
            return;
        };
        let shed = reason == RefusalReason::Shedding;
        let reason = if shed && reply.draining {
            RefusalReason::Draining
        } else {
            reason
        };
        let estimate = shed && retry_after.is_zero();
        let retry_after = if estimate { self.backlog_time(now) } else { retry_after };
        self.finish_refused(work, reason, retry_after, !not_started, actions);
    }

    pub(super) fn finish_refused(
        &self,
        work: WorkId,
        reason: RefusalReason,
        retry_after: Duration,
        may_have_run: bool,
        actions: &mut Vec<Action>,
    ) {
        let outcome = Outcome::Refused(Refusal {
            reason,
            retry_after,
            may_have_run,
        });
        actions.push(Action::Finish { work, outcome });
    }
}
