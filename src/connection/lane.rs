//! State machine of the lane from one leaf to one searcher.
//!
//! A lane combines the connections ([`super::pool`]), the queue ([`super::queue`]) and the concurrency limit
//! ([`super::limit`]) of one searcher. It decides which work is dispatched, cancelled or refused. It does no I/O: each
//! input is a method that takes the current time and appends [`Action`]s, which the leaf carries out in order.
//!
//! Each work item ends with exactly one [`Action::Finish`] and is dispatched at most once, so a non-idempotent request
//! cannot run twice through one lane. The leaf must call [`Lane::on_tick`] no later than [`Lane::next_wakeup`]; a
//! longer gap is taken as a pause of the process. See `docs/design/connections-and-slots.md` and
//! `docs/design/overload.md`.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::rngs::SmallRng;

use crate::connection::limit::ConcurrencyLimit;
use crate::connection::limit::DispatchRecord;
use crate::connection::pool::ConnectionId;
use crate::connection::pool::ConnectionState;
use crate::connection::pool::Pool;
use crate::connection::queue::OfferResult;
use crate::connection::queue::Queue;
use crate::connection::share::Role;
use crate::connection::share::Share;
use crate::process::timer::PAUSE_THRESHOLD;
use crate::wire::proto::Class;
use crate::wire::proto::RefusalReason;

use self::running::CANCEL_GRACE;
use self::work::Action;
use self::work::Counters;
use self::work::LaneConfig;
use self::work::LaneState;
use self::work::OpenFailure;
use self::work::Outcome;
use self::work::Refusal;
use self::work::Reply;
use self::work::ReplyResult;
use self::work::Work;
use self::work::WorkId;

mod dispatch;
mod running;
pub mod work;

/// Maximum number of queued items that need no slot. Only reads of the server's state are of this kind.
const UNSLOTTED_CAPACITY: usize = 16;

/// Longest interval between ticks that a lane requests. It is well below [`PAUSE_THRESHOLD`], so that a gap of that
/// length indicates a pause of the process.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Dispatched request that still occupies its connection.
#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    work: Work,
    record: DispatchRecord,
    /// Whether the item already has its final result.
    finished: bool,
    /// Time at which the connection is closed if the cancelled request is still unanswered.
    close_at: Option<Instant>,
}

/// Lane of one searcher. See the module documentation.
#[derive(Debug)]
pub struct Lane {
    config: LaneConfig,
    role: Role,
    pool: Pool,
    queue: Queue,
    unslotted: Queue,
    limit: ConcurrencyLimit,
    running: IndexMap<ConnectionId, RunningRequest>,
    pending_cancels: VecDeque<ConnectionId>,
    /// Times until which requests on lost connections are assumed to occupy a slot of the server.
    orphans: Vec<Instant>,
    draining: bool,
    views_confirmed: bool,
    closed: bool,
    awaiting_connection: bool,
    /// Moving average of the fraction of urgent work among the dispatches, in `0.0..=1.0`.
    urgent_fraction: f64,
    handover_until: Option<Instant>,
    last_tick: Instant,
    counters: Counters,
}

impl Lane {
    /// Creates a lane without a role. `rng` supplies the jitter of reconnects.
    #[must_use]
    pub fn new(config: LaneConfig, rng: SmallRng, now: Instant) -> Self {
        Self {
            config,
            role: Role::None,
            pool: Pool::new(rng, now),
            queue: Queue::new(config.queue_capacity, config.routine_share),
            unslotted: Queue::new(UNSLOTTED_CAPACITY, config.routine_share),
            limit: ConcurrencyLimit::new(config.slots, now),
            running: IndexMap::new(),
            pending_cancels: VecDeque::new(),
            orphans: Vec::new(),
            draining: false,
            views_confirmed: true,
            closed: false,
            awaiting_connection: false,
            urgent_fraction: 0.0,
            handover_until: None,
            last_tick: now,
            counters: Counters::default(),
        }
    }

    /// Returns the current role for the searcher.
    #[must_use]
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Returns whether no item is queued or in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.unslotted.is_empty() && self.running.is_empty()
    }

    /// Returns the state for reports and metrics.
    #[must_use]
    pub fn state(&self, now: Instant) -> LaneState {
        let limit = self.allowed_in_flight(now);
        let needed = self.config.slots.min(self.config.share.connections(self.role));
        LaneState {
            expected_wait: self.expected_wait(self.queue.len(), now),
            service_time: self.limit.service_time(),
            queued: self.queue.len() as u32,
            in_flight: self.in_flight(),
            limit,
            held: self.pool.held_count(),
            open: self.pool.open_count(),
            draining: self.draining,
            warm: self.role != Role::None && self.pool.open_count() >= needed,
        }
    }

    /// Returns the totals for metrics.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        let mut counters = self.counters;
        counters.open_attempts = self.pool.open_attempts();
        counters.cap_refusals = self.pool.cap_refusals();
        counters
    }

    /// Changes the role. `handover` is set if the previous owner sent no go-away and may therefore still use its slots;
    /// it starts or restarts the handover period. Unless the new role is [`Role::Owner`], a change refuses queued work
    /// as `not_owner`. Requests in flight finish.
    pub fn on_role(&mut self, role: Role, handover: bool, now: Instant, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        if self.closed {
            return;
        }
        if role != self.role && role != Role::Owner {
            self.refuse_waiting(RefusalReason::NotOwner, Duration::ZERO, actions);
        }
        if role == Role::Owner && handover {
            self.handover_until = Some(now + self.config.handover_period);
        }
        if self.role == Role::None && role != Role::None {
            self.limit.restart(now);
        }
        self.role = role;
        self.advance(now, actions);
    }

    /// Changes the division of the connection cap and the share of routine work. Neither is part of the transport
    /// digest, so the lane is kept; connections above a lower share are closed once they are idle.
    pub fn on_limits(&mut self, share: Share, routine_share: f64, now: Instant, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        self.config.share = share;
        self.config.routine_share = routine_share;
        self.queue.set_routine_share(routine_share);
        self.advance(now, actions);
    }

    /// Handles a notice from a peer, the platform's list or a reply that the searcher is leaving.
    pub fn on_draining(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        self.start_draining(actions);
        self.advance(now, actions);
    }

    /// Handles a notice that the searcher has returned. The lane restarts slow start, because the searcher may have a
    /// cold start.
    pub fn on_returned(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        if self.draining {
            self.draining = false;
            self.limit.restart(now);
        }
        self.advance(now, actions);
    }

    /// Handles a tick. `paused` is the length of the gap before the tick if the gap indicates a pause of the process.
    pub fn on_tick(&mut self, paused: Option<Duration>, now: Instant, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        if paused.is_some() && self.views_confirmed {
            self.suspend();
        }
        self.last_tick = now;
        self.advance(now, actions);
    }

    /// Resumes dispatch after the views of membership and configuration were refreshed following a pause. Role changes
    /// from that refresh must be applied first. Ignored if another pause has occurred since the last tick, because the
    /// refresh may predate that pause; see [`Lane::is_suspended`].
    pub fn on_views_confirmed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        if now.saturating_duration_since(self.last_tick) < PAUSE_THRESHOLD {
            self.views_confirmed = true;
        }
        self.advance(now, actions);
    }

    /// Returns whether dispatch is suspended after a pause until the views are confirmed.
    #[must_use]
    pub const fn is_suspended(&self) -> bool {
        !self.views_confirmed
    }

    /// Shuts down the lane immediately: refuses queued work as `draining`, fails requests in flight and closes all
    /// connections.
    pub fn on_close(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        if self.closed {
            return;
        }
        self.closed = true;
        self.role = Role::None;
        self.refuse_waiting(RefusalReason::Draining, Duration::ZERO, actions);
        let running: Vec<ConnectionId> = self.running.keys().copied().collect();
        for connection in running {
            self.fail_lost_request(connection, true, now, actions);
        }
        self.pending_cancels.clear();
        self.pool.clear();
        actions.push(Action::CloseAll);
    }

    /// Handles a connection that is open and on which the server has replied.
    pub fn on_opened(&mut self, connection: ConnectionId, now: Instant, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        self.pool.on_opened(connection);
        self.advance(now, actions);
    }

    /// Handles a failed attempt to open a connection.
    pub fn on_open_failed(
        &mut self,
        connection: ConnectionId,
        failure: OpenFailure,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.detect_pause(now);
        self.pool.on_open_failed(connection, failure, now);
        self.advance(now, actions);
    }

    /// Handles a connection closed by either side. `written` is set if any byte of an unanswered request was written to
    /// it, in which case the request may have run.
    pub fn on_closed(&mut self, connection: ConnectionId, written: bool, now: Instant, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        self.pool.on_closed(connection, now);
        self.fail_lost_request(connection, written, now, actions);
        if self.pool.open_count() == 0 {
            self.limit.restart(now);
        }
        self.advance(now, actions);
    }

    /// Handles the reply to a cancellation.
    pub fn on_cancel_reply(&mut self, connection: ConnectionId, now: Instant, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        self.pool.on_reply(connection);
        self.advance(now, actions);
    }

    /// Returns the time by which [`Lane::on_tick`] must be called, or `None` once the lane is closed.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        if self.closed {
            return None;
        }
        let service_time = self.limit.service_time();
        let waiting = self
            .queue
            .earliest_deadline()
            .map(|at| at.checked_sub(service_time).unwrap_or(at));
        let expiry = waiting.into_iter().chain(self.unslotted.earliest_deadline()).min();
        let running = self.running.values().filter_map(RunningRequest::wakeup).min();
        let orphan = self.orphans.iter().min().copied();
        let times = [
            expiry,
            running,
            orphan,
            self.pool.next_wakeup(CANCEL_GRACE),
            self.limit.hold_until(),
            self.handover_until,
            Some(self.last_tick + MAX_TICK_INTERVAL),
        ];
        times.into_iter().flatten().min()
    }

    /// Suspends dispatch after a pause even before the tick that reports it, because other inputs may arrive first.
    fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        if gap >= PAUSE_THRESHOLD && self.views_confirmed {
            self.suspend();
        }
    }

    fn suspend(&mut self) {
        self.views_confirmed = false;
        self.counters.pauses += 1;
    }

    fn start_draining(&mut self, actions: &mut Vec<Action>) {
        self.draining = true;
        self.refuse_waiting(RefusalReason::Draining, Duration::ZERO, actions);
    }
}
