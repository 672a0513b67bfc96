//! State machine of a planned stop.
//!
//! The process reports that it is not ready and sends a go-away to its peers. During the notice period it still accepts
//! work, while successors open their connections. Then it refuses new work, finishes the requests in flight and exits.
//! A hard limit bounds the whole stop and has its own outcome. See "Stopping" in `docs/operations/membership.md`.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;

use crate::ids::InstanceId;

/// Time after the last request in which open connections may end, so that the last replies reach their callers.
pub const CONNECTION_LINGER: Duration = Duration::from_millis(500);

/// Durations of the steps of a planned stop.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Minimum time after the start of the stop in which new work is accepted. At an entry it covers the time in which
    /// the platform's load balancer detects that `/ready` fails. At a leaf it may be zero, because peers receive a
    /// go-away.
    pub notice: Duration,
    /// Maximum time to wait until all successors have confirmed that they are ready.
    pub successor_wait: Duration,
    /// Time after which the process exits even if requests are in flight.
    pub hard_limit: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            notice: Duration::from_secs(3),
            successor_wait: Duration::from_secs(1),
            hard_limit: Duration::from_secs(30),
        }
    }
}

/// Phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No stop has been requested.
    Running,
    /// The stop is announced, but new work is still accepted.
    Notice,
    /// New work is refused, and requests in flight finish.
    Finishing,
    /// The stop has ended and the process exits.
    Ended(Outcome),
}

/// Result of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// All requests finished. The exit code is 0.
    Clean,
    /// The hard limit expired. This has its own log line and exit code.
    HardLimit {
        /// Number of requests that were still in flight.
        cut: usize,
    },
}

/// How to handle a new request in the current phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPolicy {
    /// Serve the request.
    Serve,
    /// Serve the request and close the connection after the reply (`connection: close`), so that the caller connects to
    /// another instance.
    ServeAndClose,
    /// Refuse the request as `not_run` (at a leaf: `draining`) and close the connection.
    Refuse,
}

/// Action that the owner of [`Drain`] must perform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Answer `/ready` with 503.
    SetNotReady,
    /// Send a go-away to all peers, and end requests before the hard limit.
    SendGoAway {
        /// Time until the hard limit expires.
        drain: Duration,
    },
    /// Accept the connections in the backlog of the listener, then close it. Requests on these connections are refused
    /// rather than reset.
    CloseListener,
    /// Close all connections without a request in flight. The others close after their reply.
    CloseIdle,
    /// Exit the process.
    Exit(Outcome),
}

/// State machine that decides the steps of a planned stop.
#[derive(Debug)]
pub struct Drain {
    settings: Settings,
    phase: Phase,
    stop_time: Option<Instant>,
    pending_successors: IndexSet<InstanceId>,
    in_flight: usize,
    connections: usize,
    idle_since: Option<Instant>,
}

impl Drain {
    /// Creates a state machine in [`Phase::Running`].
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            phase: Phase::Running,
            stop_time: None,
            pending_successors: IndexSet::new(),
            in_flight: 0,
            connections: 0,
            idle_since: None,
        }
    }

    /// Returns the current phase.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the number of requests in flight, including queued ones.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns how to handle a new request, also on a connection that was idle or that was opened during the stop.
    #[must_use]
    pub const fn request_policy(&self) -> RequestPolicy {
        match self.phase {
            Phase::Running => RequestPolicy::Serve,
            Phase::Notice => RequestPolicy::ServeAndClose,
            Phase::Finishing | Phase::Ended(_) => RequestPolicy::Refuse,
        }
    }

    /// Starts the planned stop. `successors` are the leaves that take over from this one, if any. Later calls have no
    /// effect.
    pub fn on_stop(&mut self, successors: IndexSet<InstanceId>, now: Instant, actions: &mut Vec<Action>) {
        if self.phase != Phase::Running {
            return;
        }
        self.phase = Phase::Notice;
        self.stop_time = Some(now);
        self.pending_successors = successors;
        let drain = self.settings.hard_limit;
        actions.push(Action::SetNotReady);
        actions.push(Action::SendGoAway { drain });
        self.update(now, actions);
    }

    /// Records that a successor has opened its connections.
    pub fn on_successor_ready(&mut self, id: &str, now: Instant, actions: &mut Vec<Action>) {
        self.pending_successors.shift_remove(id);
        self.update(now, actions);
    }

    /// Records that a successor is gone and will not confirm.
    pub fn on_successor_gone(&mut self, id: &str, now: Instant, actions: &mut Vec<Action>) {
        self.on_successor_ready(id, now, actions);
    }

    /// Records that a request was accepted.
    pub const fn on_work_started(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a request was answered completely.
    pub fn on_work_finished(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.update(now, actions);
    }

    /// Records that a caller opened a connection.
    pub const fn on_connection_opened(&mut self) {
        self.connections += 1;
    }

    /// Records that a caller's connection was closed.
    pub fn on_connection_closed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.connections = self.connections.saturating_sub(1);
        self.update(now, actions);
    }

    /// Performs the transitions that are due at `now`.
    pub fn on_tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.update(now, actions);
    }

    /// Returns the time at which [`Drain::on_tick`] must be called next, or `None` when no timer is pending.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let stop_time = self.stop_time?;
        let deadline = stop_time + self.settings.hard_limit;
        match self.phase {
            Phase::Running | Phase::Ended(_) => None,
            Phase::Notice => Some(self.notice_end(stop_time).min(deadline)),
            Phase::Finishing => Some(
                self.idle_since
                    .map_or(deadline, |idle_since| deadline.min(idle_since + CONNECTION_LINGER)),
            ),
        }
    }

    fn update(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(stop_time) = self.stop_time else { return };
        if self.phase == Phase::Notice && now >= self.notice_end(stop_time) {
            self.phase = Phase::Finishing;
            actions.push(Action::CloseListener);
            actions.push(Action::CloseIdle);
        }
        if self.phase == Phase::Finishing {
            self.exit_if_idle(now, actions);
        }
        let is_over_limit = now >= stop_time + self.settings.hard_limit;
        if is_over_limit && matches!(self.phase, Phase::Notice | Phase::Finishing) {
            let cut = self.in_flight;
            self.exit(Outcome::HardLimit { cut }, actions);
        }
    }

    /// Exits when no request is in flight and all connections are closed or [`CONNECTION_LINGER`] has passed.
    fn exit_if_idle(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.in_flight > 0 {
            self.idle_since = None;
            return;
        }
        let idle_since = *self.idle_since.get_or_insert(now);
        if self.connections == 0 || now >= idle_since + CONNECTION_LINGER {
            self.exit(Outcome::Clean, actions);
        }
    }

    fn exit(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
        self.phase = Phase::Ended(outcome);
        actions.push(Action::Exit(outcome));
    }

    /// Returns the end of the notice period: `notice` after the start of the stop, or `successor_wait` if that is later
    /// and a successor has not confirmed.
    fn notice_end(&self, stop_time: Instant) -> Instant {
        let notice = stop_time + self.settings.notice;
        if self.pending_successors.is_empty() {
            notice
        } else {
            notice.max(stop_time + self.settings.successor_wait)
        }
    }
}
