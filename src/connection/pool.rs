//! Connections of this instance to one searcher.
//!
//! The pool opens connections before they are needed and sends one request at a time on each. It never holds more than
//! its target, which includes connections that are being opened or closed. Reconnects use jittered backoff and a rate
//! limit, so that many instances do not reconnect at once when a network partition heals. See
//! `docs/design/connections-and-slots.md`.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::connection::lane::work::Action;
use crate::connection::lane::work::OpenFailure;
use crate::connection::lane::work::WorkId;

/// Identifier of a connection, never reused within one pool.
pub type ConnectionId = u64;

/// Connections that a pool opens concurrently. Two allow it to replace a broken connection while another is being
/// opened, and limit the load of accepting connections on a small server. After a failure it opens one at a time.
pub const MAX_CONCURRENT_OPENS: usize = 2;

/// Time after which an attempt to open a connection is abandoned. It is far above the usual cost of a connection (6 ms
/// and a round trip of 3 ms) and below the usual deadlines.
pub const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Average interval between attempts to open a connection once the burst is used up.
pub const OPEN_INTERVAL: Duration = Duration::from_millis(100);

/// Attempts in a burst beyond one for each connection of the target.
const SPARE_BURST_ATTEMPTS: u32 = 2;

/// Backoff after a failure to reach the server.
const UNREACHABLE_BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(50),
    max: Duration::from_secs(2),
};

/// Backoff after the server refused a connection at its cap. It is longer, because a retry succeeds only after another
/// holder has closed a connection.
const CAP_BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(500),
    max: Duration::from_secs(4),
};

#[derive(Debug, Clone, Copy)]
struct Backoff {
    first: Duration,
    max: Duration,
}

impl Backoff {
    /// Returns a random delay between half and all of the exponential backoff after `failures` consecutive failures.
    fn delay(self, failures: u32, rng: &mut SmallRng) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let full = self.first.saturating_mul(1 << doublings).min(self.max);
        full.mul_f64(rng.random_range(0.5..=1.0))
    }
}

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// Being opened.
    Opening,
    /// Open and without a request.
    Idle,
    /// Carries the request of a work item.
    Work(WorkId),
    /// Carries a cancellation.
    Control,
    /// Being closed. The connection counts as held until the close is reported, because the server may still count it
    /// against its cap.
    Closing,
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    state: ConnectionState,
    since: Instant,
}

/// Connection pool of one searcher. See the module documentation.
#[derive(Debug)]
pub struct Pool {
    target: u32,
    rng: SmallRng,
    next_id: ConnectionId,
    connections: IndexMap<ConnectionId, Connection>,
    idle: VecDeque<ConnectionId>,
    /// Time of the next attempt at the average rate. An attempt may be made up to [`Pool::burst`] earlier.
    theoretical_open: Instant,
    consecutive_failures: u32,
    last_failure: Option<OpenFailure>,
    retry_at: Instant,
    open_attempts: u64,
    cap_refusals: u64,
}

impl Pool {
    /// Creates an empty pool with a target of 0. `rng` supplies the jitter of the backoff.
    #[must_use]
    pub fn new(rng: SmallRng, now: Instant) -> Self {
        Self {
            target: 0,
            rng,
            next_id: 0,
            connections: IndexMap::new(),
            idle: VecDeque::new(),
            theoretical_open: now,
            consecutive_failures: 0,
            last_failure: None,
            retry_at: now,
            open_attempts: 0,
            cap_refusals: 0,
        }
    }

    /// Sets the number of connections to hold.
    pub const fn set_target(&mut self, target: u32) {
        self.target = target;
    }

    /// Returns the number of connections held, including those being opened or closed.
    #[must_use]
    pub fn held_count(&self) -> u32 {
        self.connections.len() as u32
    }

    /// Returns the number of open connections, idle or busy.
    #[must_use]
    pub fn open_count(&self) -> u32 {
        let open = |c: &&Connection| !matches!(c.state, ConnectionState::Opening | ConnectionState::Closing);
        self.connections.values().filter(open).count() as u32
    }

    /// Returns the total number of attempts to open a connection.
    #[must_use]
    pub const fn open_attempts(&self) -> u64 {
        self.open_attempts
    }

    /// Returns the total number of connections that the server refused at its cap.
    #[must_use]
    pub const fn cap_refusals(&self) -> u64 {
        self.cap_refusals
    }

    /// Returns why the last attempt failed, or `None` if an attempt has succeeded since.
    #[must_use]
    pub const fn last_failure(&self) -> Option<OpenFailure> {
        self.last_failure
    }

    /// Returns the remaining backoff before the next attempt; zero if there is none.
    #[must_use]
    pub fn retry_after(&self, now: Instant) -> Duration {
        self.retry_at.saturating_duration_since(now)
    }

    /// Returns whether an idle connection can be used for work that needs a slot. One open connection is reserved for
    /// cancellations, unless it is the only one or the target is 1.
    #[must_use]
    pub fn has_work_connection(&self) -> bool {
        let control = self.connections.values().any(|c| c.state == ConnectionState::Control);
        let reserved = self.target >= 2 && self.open_count() >= 2 && !control;
        self.idle.len() > usize::from(reserved)
    }

    /// Returns whether any connection is idle.
    #[must_use]
    pub fn has_idle(&self) -> bool {
        !self.idle.is_empty()
    }

    /// Takes the connection that has been idle longest, so that all connections are used regularly, and puts it into
    /// `state`. Returns `None` if no connection is idle.
    pub fn acquire(&mut self, state: ConnectionState, now: Instant) -> Option<ConnectionId> {
        let id = self.idle.pop_front()?;
        let connection = self.connections.get_mut(&id)?;
        connection.state = state;
        connection.since = now;
        Some(id)
    }

    /// Marks a connection as idle after a reply and returns its previous state. Returns `None` for a connection without
    /// a request.
    pub fn on_reply(&mut self, id: ConnectionId) -> Option<ConnectionState> {
        let connection = self.connections.get_mut(&id)?;
        let state = connection.state;
        if !matches!(state, ConnectionState::Work(_) | ConnectionState::Control) {
            return None;
        }
        connection.state = ConnectionState::Idle;
        self.idle.push_back(id);
        Some(state)
    }

    /// Handles a connection that was opened. One that was abandoned in the meantime stays in the closing state.
    pub fn on_opened(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.state != ConnectionState::Opening {
            return;
        }
        connection.state = ConnectionState::Idle;
        self.idle.push_back(id);
        self.consecutive_failures = 0;
        self.last_failure = None;
    }

    /// Handles a failed attempt to open a connection.
    pub fn on_open_failed(&mut self, id: ConnectionId, failure: OpenFailure, now: Instant) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let is_opening = connection.state == ConnectionState::Opening;
        if !is_opening && connection.state != ConnectionState::Closing {
            return;
        }
        self.connections.swap_remove(&id);
        if is_opening {
            self.record_failure(failure, now);
        }
    }

    /// Handles a closed connection and returns its last state. A server that closes a connection before the first reply
    /// is taken to have reached its cap.
    pub fn on_closed(&mut self, id: ConnectionId, now: Instant) -> Option<ConnectionState> {
        let connection = self.connections.swap_remove(&id)?;
        self.idle.retain(|idle| *idle != id);
        if connection.state == ConnectionState::Opening {
            self.record_failure(OpenFailure::CapReached, now);
        }
        Some(connection.state)
    }

    /// Marks a connection as closing and appends the action that closes it.
    pub fn close(&mut self, id: ConnectionId, actions: &mut Vec<Action>) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.state == ConnectionState::Closing {
            return;
        }
        connection.state = ConnectionState::Closing;
        self.idle.retain(|idle| *idle != id);
        actions.push(Action::Close { connection: id });
    }

    /// Closes connections on which a cancellation has been unanswered for `grace`.
    pub fn close_stuck(&mut self, now: Instant, grace: Duration, actions: &mut Vec<Action>) {
        let stuck = |c: &Connection| c.state == ConnectionState::Control && now >= c.since + grace;
        for id in self.ids_where(stuck) {
            self.close(id, actions);
        }
    }

    /// Abandons attempts that have timed out, closes connections above the target, and opens missing ones.
    pub fn poll(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.abandon_late_opens(now, actions);
        self.close_excess(actions);
        while self.can_open(now) {
            self.open_one(now, actions);
        }
    }

    /// Returns when [`Pool::poll`], or [`Pool::close_stuck`] with `grace`, must be called next.
    #[must_use]
    pub fn next_wakeup(&self, grace: Duration) -> Option<Instant> {
        let late = self.connections.values().filter_map(|c| match c.state {
            ConnectionState::Opening => Some(c.since + OPEN_TIMEOUT),
            ConnectionState::Control => Some(c.since + grace),
            _ => None,
        });
        let allowed_at = self
            .theoretical_open
            .checked_sub(self.burst())
            .unwrap_or(self.theoretical_open);
        let open = self.needs_open().then(|| self.retry_at.max(allowed_at));
        late.chain(open).min()
    }

    /// Drops the state of all connections and sets the target to 0.
    pub fn clear(&mut self) {
        self.target = 0;
        self.connections.clear();
        self.idle.clear();
    }

    /// Returns how far attempts may run ahead of the average rate: one attempt for each connection of the target and
    /// [`SPARE_BURST_ATTEMPTS`] more.
    fn burst(&self) -> Duration {
        OPEN_INTERVAL.saturating_mul(self.target.saturating_add(SPARE_BURST_ATTEMPTS))
    }

    fn opening(&self) -> usize {
        self.connections
            .values()
            .filter(|c| c.state == ConnectionState::Opening)
            .count()
    }

    /// Returns whether another connection should be opened once the rate limit and the backoff allow it.
    fn needs_open(&self) -> bool {
        let max_opening = if self.consecutive_failures > 0 {
            1
        } else {
            MAX_CONCURRENT_OPENS
        };
        self.held_count() < self.target && self.opening() < max_opening
    }

    fn can_open(&self, now: Instant) -> bool {
        self.needs_open() && now >= self.retry_at && self.theoretical_open <= now + self.burst()
    }

    fn open_one(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let connection = self.next_id;
        self.next_id += 1;
        self.theoretical_open = self.theoretical_open.max(now) + OPEN_INTERVAL;
        self.open_attempts += 1;
        let state = Connection {
            state: ConnectionState::Opening,
            since: now,
        };
        self.connections.insert(connection, state);
        actions.push(Action::Open { connection });
    }

    fn abandon_late_opens(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let late = |c: &Connection| c.state == ConnectionState::Opening && now >= c.since + OPEN_TIMEOUT;
        let ids: Vec<ConnectionId> = self.ids_where(late);
        for id in ids {
            self.record_failure(OpenFailure::Unreachable, now);
            self.close(id, actions);
        }
    }

    /// Closes pending attempts and idle connections above the target. Busy connections are closed after their reply.
    fn close_excess(&mut self, actions: &mut Vec<Action>) {
        let closing = self.ids_where(|c| c.state == ConnectionState::Closing).len();
        let mut kept = self.connections.len() - closing;
        let mut candidates = self.ids_where(|c| c.state == ConnectionState::Opening);
        candidates.extend(self.idle.iter());
        for id in candidates {
            if kept <= self.target as usize {
                return;
            }
            self.close(id, actions);
            kept -= 1;
        }
    }

    fn ids_where(&self, predicate: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        let matching = self.connections.iter().filter(|(_, c)| predicate(c));
        matching.map(|(id, _)| *id).collect()
    }

    fn record_failure(&mut self, failure: OpenFailure, now: Instant) {
        self.consecutive_failures += 1;
        self.last_failure = Some(failure);
        let backoff = match failure {
            OpenFailure::Unreachable => UNREACHABLE_BACKOFF,
            OpenFailure::CapReached => {
                self.cap_refusals += 1;
                CAP_BACKOFF
            }
        };
        let delay = backoff.delay(self.consecutive_failures, &mut self.rng);
        self.retry_at = self.retry_at.max(now + delay);
    }
}
