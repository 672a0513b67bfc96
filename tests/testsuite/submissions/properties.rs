//! Property test with arbitrary interleavings of messages, faults and time.

use std::time::Duration;

use pimentoflow::process::tickets;

use crate::submissions::simulation::Message;
use crate::submissions::simulation::Simulation;

/// Number of leaves, each of which considers itself owner of the searcher.
const LEAVES: usize = 2;

/// Minimum number of steps. Shorter interleavings rarely get past the first dispatch.
const MIN_STEPS: usize = 20;

/// Upper bound on the number of steps, exclusive.
const MAX_STEPS: usize = 300;

/// Performs the step that `kind` and `choice` encode.
fn step(sim: &mut Simulation, kind: u8, choice: u8) {
    let choice = usize::from(choice);
    let leaf = choice % LEAVES;
    let session = (choice % 3) as u64;
    match kind % 20 {
        0 => drop(sim.obtain_ticket(leaf)),
        1 | 2 => {
            if let Some(operation) = pick(sim.tickets.len(), choice) {
                sim.submit(operation, session);
            }
        }
        3..=6 => {
            if let Some(ix) = pick(sim.network.len(), choice) {
                let message = sim.network.remove(ix);
                sim.receive(message);
            }
        }
        7 => {
            if let Some(ix) = pick(sim.network.len(), choice) {
                sim.network.remove(ix);
            }
        }
        8 => duplicate(sim, choice),
        9..=11 => {
            if let Some(position) = pick(sim.leaves[leaf].lane.len(), choice / LEAVES) {
                sim.dispatch(leaf, position);
            }
        }
        12 => {
            if let Some(position) = pick(sim.leaves[leaf].lane.len(), choice / LEAVES) {
                sim.refuse(leaf, position);
            }
        }
        13 => fail_connection(sim, choice),
        14 => refuse_at_backend(sim, choice),
        15 => sim.now += Duration::from_millis(choice as u64),
        16 => {
            sim.now += tickets::LIFETIME / 3;
            sim.wake_leaf(leaf);
        }
        17 => {
            if let Some(attempt) = pick(sim.attempts.len(), choice) {
                sim.wake_attempt(attempt);
            }
        }
        18 => cancel(sim, choice),
        _ if choice < 40 => sim.restart(leaf),
        _ => sim.close_session(session),
    }
}

fn pick(len: usize, choice: usize) -> Option<usize> {
    (len > 0).then(|| choice % len)
}

/// Duplicates a message between entry and leaf. Messages to a backend server are not duplicated.
fn duplicate(sim: &mut Simulation, choice: usize) {
    if let Some(ix) = pick(sim.network.len(), choice)
        && let message @ (Message::Submit { .. } | Message::Cancel { .. } | Message::Reply { .. }) = &sim.network[ix]
    {
        let copy = message.clone();
        sim.network.push(copy);
    }
}

/// Fails the connection of dispatched work, or reports a refusal by the lane after the dispatch. The backend server may
/// still read the request.
fn fail_connection(sim: &mut Simulation, choice: usize) {
    if let Some((from, work, started)) = sim.take_dispatched() {
        if choice.is_multiple_of(3) {
            sim.refuse_work(&from, &work);
        } else {
            sim.fail_connection(&from, &work);
        }
        if !started && choice.is_multiple_of(2) {
            sim.network.push(Message::Write { from, work });
        }
    }
}

/// Refuses dispatched work at the backend server, which reports correctly whether the work had started.
fn refuse_at_backend(sim: &mut Simulation, choice: usize) {
    if let Some((from, work, started)) = sim.take_dispatched() {
        let status = if choice.is_multiple_of(2) { 503 } else { 499 };
        sim.complete_work(&from, &work, status, !started);
    }
}

fn cancel(sim: &mut Simulation, choice: usize) {
    if let Some(attempt) = pick(sim.attempts.len(), choice) {
        let session = sim.attempts[attempt].session;
        let correlation = attempt as u64;
        for leaf in 0..LEAVES {
            sim.receive(Message::Cancel {
                leaf,
                session,
                correlation,
            });
        }
    }
}

/// Guards against any order of duplicates, losses, pauses, restarts and cancellations in which a ticket runs twice,
/// runs although `not_run` was reported, or makes a registry exceed its limits.
#[test]
fn no_interleaving_runs_a_ticket_twice() {
    let steps = bolero::produce::<Vec<(u8, u8)>>().with().len(MIN_STEPS..MAX_STEPS);
    property_check::check()
        .with_iterations(2_000)
        .with_max_len(8 * MAX_STEPS)
        .with_generator(steps)
        .for_each(|steps| {
            let mut sim = Simulation::new(LEAVES);
            for (kind, choice) in steps {
                step(&mut sim, *kind, *choice);
                sim.check_invariants();
            }
        });
}
