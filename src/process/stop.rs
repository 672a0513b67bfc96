//! Runs a planned stop: reports requests and connections to [`Drain`] and performs its actions.

use std::time::Duration;

use indexmap::IndexSet;
use slog::Logger;
use slog::error;
use slog::info;
use tokio::sync::mpsc;

use crate::ids::InstanceId;
use crate::process::drain::Action;
use crate::process::drain::Drain;
use crate::process::drain::Outcome;
use crate::process::drain::Settings;
use crate::process::timer::Timer;

/// Interval at which the number of requests in flight and connections is polled during a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Program that supports a planned stop.
pub trait Stoppable: Send {
    /// Returns the number of requests that are queued or running, and of answers that callers have not taken yet.
    fn in_flight(&self) -> usize;

    /// Returns the number of open connections of callers.
    fn connections(&self) -> usize;

    /// Performs `action`, which is never [`Action::Exit`].
    fn apply(&mut self, action: Action);
}

/// Runs a planned stop until it ends and returns its outcome. `confirmations` receives the successors that have opened
/// their connections.
pub async fn run(
    program: &mut impl Stoppable,
    settings: Settings,
    successors: IndexSet<InstanceId>,
    confirmations: &mut mpsc::UnboundedReceiver<InstanceId>,
    timer: &Timer,
    log: &Logger,
) -> Outcome {
    let mut drain = Drain::new(settings);
    let mut actions = Vec::new();
    info!(log, "stop_begins"; "in_flight" => program.in_flight(), "successors" => successors.len());
    drain.on_stop(successors, timer.now(), &mut actions);
    let mut connections = 0;
    loop {
        for action in std::mem::take(&mut actions) {
            if let Action::Exit(outcome) = action {
                log_outcome(outcome, log);
                return outcome;
            }
            program.apply(action);
        }
        tokio::select! {
            Some(leaf) = confirmations.recv() => drain.on_successor_ready(&leaf, timer.now(), &mut actions),
            () = timer.sleep_until(Some(timer.now() + POLL_INTERVAL)) => {}
        }
        let now = timer.now();
        while drain.in_flight() < program.in_flight() {
            drain.on_work_started();
        }
        while connections < program.connections() {
            connections += 1;
            drain.on_connection_opened();
        }
        while connections > program.connections() {
            connections -= 1;
            drain.on_connection_closed(now, &mut actions);
        }
        while drain.in_flight() > program.in_flight() {
            drain.on_work_finished(now, &mut actions);
        }
        drain.on_tick(now, &mut actions);
    }
}

fn log_outcome(outcome: Outcome, log: &Logger) {
    match outcome {
        Outcome::Clean => info!(log, "stop_ended"; "outcome" => "clean"),
        Outcome::HardLimit { cut } => error!(log, "stop_hard_limit"; "cut" => cut),
    }
}
