//! Admission, shedding and dispatch of queued work.

use std::time::Duration;
use std::time::Instant;

use super::Action;
use super::Class;
use super::ConnectionId;
use super::ConnectionState;
use super::Lane;
use super::OfferResult;
use super::OpenFailure;
use super::RefusalReason;
use super::Role;
use super::RunningRequest;
use super::Work;
use super::WorkId;

/// Queued work is refused if its expected wait exceeds its remaining time divided by this. The rest is left for the
/// service itself, the network delay of the reply and another attempt elsewhere. Such work is refused when it is
/// offered rather than shortly before its deadline.
const WAIT_DIVISOR: u32 = 2;

/// Weight of one dispatch in the moving average of urgent work.
const URGENT_FRACTION_WEIGHT: f64 = 0.02;

/// Minimum fraction of dispatches assumed for routine work, which keeps the expected wait finite.
const MIN_ROUTINE_FRACTION: f64 = 0.01;

impl Lane {
    /// Handles offered work. Work that is already queued or in flight is ignored.
    pub fn on_work(&mut self, work: Work, now: Instant, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        if self.has_work(work.id) {
            return;
        }
        if self.in_flight() == 0 {
            self.limit.discard_stale_estimate(now);
        }
        match self.admission_refusal(&work, now) {
            Some((reason, retry_after)) => self.finish_refused(work.id, reason, retry_after, false, actions),
            None => self.enqueue(work, now, actions),
        }
        self.advance(now, actions);
    }

    /// Refuses all queued work.
    pub(super) fn refuse_waiting(&mut self, reason: RefusalReason, retry_after: Duration, actions: &mut Vec<Action>) {
        while let Some(work) = self.queue.pop_any().or_else(|| self.unslotted.pop_any()) {
            self.finish_refused(work.id, reason, retry_after, false, actions);
        }
    }

    /// Updates the lane and appends all actions that its state requires. Called after each input.
    pub(super) fn advance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.closed {
            return;
        }
        self.end_handover(now);
        self.limit.on_tick(now);
        self.orphans.retain(|until| now < *until);
        self.expire_waiting(now, actions);
        self.expire_running(now, actions);
        self.shed_excessive_waits(now, actions);
        self.pool.set_target(self.target_connections());
        self.refuse_unreachable(now, actions);
        self.send_cancels(now, actions);
        self.dispatch(now, actions);
        self.pool.poll(now, actions);
    }

    /// Ends the handover period with slow start, so that the last requests of the previous owner can finish before all
    /// slots are used.
    fn end_handover(&mut self, now: Instant) {
        if self.handover_until.is_some_and(|until| now >= until) {
            self.handover_until = None;
            self.limit.restart(now);
        }
    }

    /// Returns the maximum number of requests in flight.
    pub(super) fn allowed_in_flight(&self, now: Instant) -> u32 {
        let handover = self.handover_until.is_some_and(|until| now < until);
        match self.role {
            Role::None => 0,
            Role::Owner if handover => 1,
            Role::Owner => self.limit.current(),
            Role::Successor | Role::Remote => 1,
        }
    }

    pub(super) fn in_flight(&self) -> u32 {
        let running = self.running.values().filter(|running| running.work.slotted);
        (running.count() + self.orphans.len()) as u32
    }

    /// Returns the expected wait of an item with `ahead` items queued before it.
    pub(super) fn expected_wait(&self, ahead: usize, now: Instant) -> Duration {
        let allowed = self.allowed_in_flight(now).max(1);
        let before = (ahead as u32).saturating_add(self.in_flight() + 1);
        let rounds = before.saturating_sub(allowed);
        let hold = self
            .limit
            .hold_until()
            .map(|until| until.saturating_duration_since(now));
        self.limit.service_time().saturating_mul(rounds) / allowed + hold.unwrap_or_default()
    }

    /// Returns the expected time to serve the current backlog, used as the retry-after time of a refusal.
    pub(super) fn backlog_time(&self, now: Instant) -> Duration {
        self.expected_wait(self.queue.len(), now).max(self.limit.service_time())
    }

    fn has_work(&self, id: WorkId) -> bool {
        let running = self.running.values().any(|running| running.work.id == id);
        running || self.queue.contains(id) || self.unslotted.contains(id)
    }

    /// Returns the reason and the retry-after time if work offered now must be refused at once.
    fn admission_refusal(&self, work: &Work, now: Instant) -> Option<(RefusalReason, Duration)> {
        if self.closed || self.draining {
            return Some((RefusalReason::Draining, Duration::ZERO));
        }
        let owner_reachable = self.role == Role::Successor && !work.fallback;
        if owner_reachable || self.config.share.connections(self.role) == 0 {
            return Some((RefusalReason::NotOwner, Duration::ZERO));
        }
        if work.deadline <= now + self.limit.service_time() {
            return Some((RefusalReason::Expired, Duration::ZERO));
        }
        self.unreachable_refusal(now)
    }

    /// Returns the reason and the retry-after time for refusing work while no connection is open and the last attempt
    /// to open one failed.
    fn unreachable_refusal(&self, now: Instant) -> Option<(RefusalReason, Duration)> {
        if self.pool.open_count() > 0 {
            return None;
        }
        let reason = match self.pool.last_failure()? {
            OpenFailure::Unreachable => RefusalReason::Unreachable,
            OpenFailure::CapReached => RefusalReason::NotOwner,
        };
        Some((reason, self.pool.retry_after(now)))
    }

    fn refuse_unreachable(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some((reason, retry_after)) = self.unreachable_refusal(now) {
            self.refuse_waiting(reason, retry_after, actions);
        }
    }

    fn enqueue(&mut self, work: Work, now: Instant, actions: &mut Vec<Action>) {
        let queue = if work.slotted {
            &mut self.queue
        } else {
            &mut self.unslotted
        };
        let refused = match queue.offer(work) {
            OfferResult::Accepted => return,
            OfferResult::Displaced(shed) => shed.id,
            OfferResult::Full => work.id,
        };
        let retry_after = self.backlog_time(now);
        self.finish_refused(refused, RefusalReason::QueueFull, retry_after, false, actions);
    }

    /// Refuses queued work that can no longer finish before its deadline.
    fn expire_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let service_time = self.limit.service_time();
        loop {
            let queued = self.queue.pop_expired(now, service_time);
            let Some(work) = queued.or_else(|| self.unslotted.pop_expired(now, Duration::ZERO)) else {
                return;
            };
            self.finish_refused(work.id, RefusalReason::Expired, Duration::ZERO, false, actions);
        }
    }

    /// Refuses the last items of each class while their expected wait is too long.
    fn shed_excessive_waits(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for class in [Class::Routine, Class::Urgent] {
            while let Some(wait) = self.excessive_wait(class, now) {
                let Some(work) = self.queue.pop_latest(class) else {
                    break;
                };
                self.finish_refused(work.id, RefusalReason::QueueFull, wait, false, actions);
            }
        }
    }

    /// Returns the expected wait of the last item of `class` if it is too long. Urgent work that arrives later is also
    /// dispatched before routine work, so the estimate for routine work assumes only the fraction of dispatches that
    /// recent urgent work has left.
    fn excessive_wait(&self, class: Class, now: Instant) -> Option<Duration> {
        let last = self.queue.latest(class)?;
        let wait = match class {
            Class::Urgent => self.expected_wait(self.queue.class_len(Class::Urgent) - 1, now),
            Class::Routine => {
                let left = (1.0 - self.urgent_fraction)
                    .max(self.config.routine_share)
                    .max(MIN_ROUTINE_FRACTION);
                self.expected_wait(self.queue.len() - 1, now).div_f64(left)
            }
        };
        let remaining = last.deadline.saturating_duration_since(now);
        (wait > remaining / WAIT_DIVISOR).then_some(wait)
    }

    /// Returns the number of connections to hold. Without a role, and while the searcher is leaving, only the requests
    /// in flight and their cancellations need connections. On an outdated view no connection is opened.
    fn target_connections(&self) -> u32 {
        let share = self.config.share.connections(self.role);
        let share = if self.views_confirmed {
            share
        } else {
            share.min(self.pool.held_count())
        };
        if share > 0 && !self.draining {
            return share;
        }
        let running = self.running.len() as u32;
        if running == 0 {
            return 0;
        }
        (running + 1).min(self.pool.held_count())
    }

    fn can_dispatch(&self) -> bool {
        self.views_confirmed && !self.draining && self.limit.hold_until().is_none()
    }

    fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.can_dispatch() {
            return;
        }
        self.dispatch_unslotted(now, actions);
        while self.in_flight() < self.allowed_in_flight(now) && self.pool.has_work_connection() {
            let Some(work) = self.queue.pop() else {
                break;
            };
            let Some(connection) = self.pool.acquire(ConnectionState::Work(work.id), now) else {
                break;
            };
            self.counters.connection_waits += u64::from(self.awaiting_connection);
            self.send(work, connection, now, actions);
        }
        self.awaiting_connection = !self.queue.is_empty() && self.in_flight() < self.allowed_in_flight(now);
    }

    fn dispatch_unslotted(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while self.pool.has_idle() {
            let Some(work) = self.unslotted.pop() else {
                return;
            };
            if let Some(connection) = self.pool.acquire(ConnectionState::Work(work.id), now) {
                self.send(work, connection, now, actions);
            }
        }
    }

    fn send(&mut self, work: Work, connection: ConnectionId, now: Instant, actions: &mut Vec<Action>) {
        let in_flight = self.in_flight() + u32::from(work.slotted);
        let running = RunningRequest {
            work,
            record: self.limit.on_dispatch(in_flight, work.slotted, now),
            finished: false,
            close_at: None,
        };
        self.running.insert(connection, running);
        self.counters.dispatched += 1;
        let urgent = f64::from(u8::from(work.class == Class::Urgent));
        self.urgent_fraction += (urgent - self.urgent_fraction) * URGENT_FRACTION_WEIGHT;
        actions.push(Action::Dispatch {
            connection,
            work: work.id,
            remaining: work.deadline.saturating_duration_since(now),
        });
    }
}
