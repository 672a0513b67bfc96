//! Runs a planned stop: feeds [`Drain`] with what is in flight and carries out its steps.

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

/// Interval at which the amount of work in flight is read during a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What a program does during its stop.
pub trait Stoppable: Send {
    /// Returns the requests that are queued or running.
    fn in_flight(&self) -> usize;

    /// Returns the connections of callers that are open.
    fn connections(&self) -> usize;

    /// Carries out a step other than [`Action::Exit`].
    fn apply(&mut self, action: Action);
}

/// Runs the stop to its end and returns how it ended. `warm` brings the successors that confirmed.
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
