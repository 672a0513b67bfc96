//! Planned stop of a process.
//!
//! The order is: not ready, go-away to peers, a notice period in which work still comes and successors open their
//! connections, no new work, finish what is in flight, exit. A hard limit bounds the whole and has its own outcome. See
//! "Stopping" in `docs/operations/membership.md`.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;

use crate::ids::InstanceId;

/// Wait after the last work for open connections to end, so that the last replies reach their callers.
pub const CONNECTION_LINGER: Duration = Duration::from_millis(500);

/// Times of a stop.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Time after the announcement in which new work is still accepted. At an entry it covers the time that the
    /// platform's load balancer takes to notice; at a leaf it may be zero, because peers get a go-away.
    pub notice: Duration,
    /// Longest wait for the confirmations of successors.
    pub successor_wait: Duration,
    /// Time after which the process exits even with work in flight.
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

/// Phase of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No stop was requested.
    Running,
    /// The stop is announced and work still comes.
    Notice,
    /// No new work; work in flight finishes.
    Finishing,
    /// The process exits.
    Ended(Outcome),
}

/// How a stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// All work finished. Exit code 0.
    Clean,
    /// The hard limit passed. It has its own log line and exit code.
    HardLimit {
        /// Requests that were cut.
        cut: usize,
    },
}

/// What to do with a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPolicy {
    /// Serve it.
    Serve,
    /// Serve it and close the connection after the reply (`connection: close`), so that the caller moves elsewhere.
    ServeAndClose,
    /// Refuse it as `not_run` (a leaf: `draining`) and close the connection.
    Refuse,
}

/// Output of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Answer `/ready` with 503.
    SetNotReady,
    /// Send a go-away to all peers, with the time until the hard limit.
    SendGoAway {
        /// Time until the hard limit.
        drain: Duration,
    },
    /// Accept what waits in the backlog of the listener, then close the listener. Connections accepted in this way get
    /// an answer: their requests are refused.
    CloseListener,
    /// Close the connections on which no request is being served. A connection with a request in flight closes after its
    /// reply.
    CloseIdle,
    /// Exit.
    Exit(Outcome),
}

/// Decides the steps of a planned stop.
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
    /// Makes the state machine of a running process.
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

    /// Returns the phase.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the amount of work in flight, including work that waits in queues.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Decides about a request that arrives now, also on a connection that was idle or that was opened during the stop.
    #[must_use]
    pub const fn request_policy(&self) -> RequestPolicy {
        match self.phase {
            Phase::Running => RequestPolicy::Serve,
            Phase::Notice => RequestPolicy::ServeAndClose,
            Phase::Finishing | Phase::Ended(_) => RequestPolicy::Refuse,
        }
    }

    /// Begins a planned stop. `successors` are the leaves that take over from this one; the list is empty where there is
    /// none. A second request for a stop changes nothing.
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

    /// Notes that a successor has its connections open.
    pub fn on_successor_ready(&mut self, id: &str, now: Instant, actions: &mut Vec<Action>) {
        self.pending_successors.shift_remove(id);
        self.update(now, actions);
    }

    /// Notes that a successor is gone and will not confirm.
    pub fn on_successor_gone(&mut self, id: &str, now: Instant, actions: &mut Vec<Action>) {
        self.on_successor_ready(id, now, actions);
    }

    /// Notes that a request was accepted.
    pub const fn on_work_started(&mut self) {
        self.in_flight += 1;
    }

    /// Notes that a request was answered completely.
    pub fn on_work_finished(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.update(now, actions);
    }

    /// Notes a new connection of a caller.
    pub const fn on_connection_opened(&mut self) {
        self.connections += 1;
    }

    /// Notes that a connection of a caller ended.
    pub fn on_connection_closed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.connections = self.connections.saturating_sub(1);
        self.update(now, actions);
    }

    /// Advances time.
    pub fn on_tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.update(now, actions);
    }

    /// Returns the time at which [`Drain::on_tick`] has something to do.
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

    /// Exits once no work is in flight and the connections ended or had [`CONNECTION_LINGER`] to do so.
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

    /// Returns when new work ends: after the notice, and not before the successors confirmed or had their time.
    fn notice_end(&self, stop_time: Instant) -> Instant {
        let notice = stop_time + self.settings.notice;
        if self.pending_successors.is_empty() {
            notice
        } else {
            notice.max(stop_time + self.settings.successor_wait)
        }
    }
}
