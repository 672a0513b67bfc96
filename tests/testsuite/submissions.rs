//! Non-idempotent requests: the state machines of entry and leaf together, checked against the log of a simulated
//! backend server.

mod properties;
mod simulation;
mod ticket_requests;

use std::time::Duration;

use bytes::Bytes;
use pimentoflow::process::tickets;
use pimentoflow::process::tickets::Settings;
use pimentoflow::process::tickets::TicketRegistry;
use pimentoflow::request::submission::Answer;
use pimentoflow::request::submission::UnknownReason;
use pimentoflow::request::ticket;
use pimentoflow::wire::proto::RefusalReason;
use pimentoflow::wire::proto::SubmitOutcome;
use pimentoflow::wire::proto::SubmitReply;
use pimentoflow::wire::proto::Ticket;

use crate::submissions::simulation::CAPACITY;
use crate::submissions::simulation::DEADLINE;
use crate::submissions::simulation::Simulation;

/// Session of the entry that receives the first attempt of a caller.
const FIRST_ENTRY: u64 = 1;

/// Session of the entry that receives a retry.
const SECOND_ENTRY: u64 = 2;

fn is_executed(answer: &Answer, expect_replay: bool) -> bool {
    matches!(answer, Answer::Executed { status: 200, replayed, body } if *replayed == expect_replay && body == "done!")
}

fn is_not_run(answer: &Answer, expected: RefusalReason) -> bool {
    matches!(answer, Answer::NotRun { reason, .. } if *reason == expected)
}

/// Creates a simulation with one queued submission and returns it with the operation and the attempt.
fn sim_with_queued_work(leaves: usize) -> (Simulation, usize, usize) {
    let mut sim = Simulation::new(leaves);
    let operation = sim.obtain_ticket(0).expect("the registry has room");
    let attempt = sim.submit(operation, FIRST_ENTRY);
    sim.deliver_all();
    (sim, operation, attempt)
}

/// Guards against dispatching queued work past its deadline after a pause of the leaf, and against a retry that
/// enqueues it again.
#[test]
fn paused_leaf_drops_queued_work() {
    let (mut sim, operation, attempt) = sim_with_queued_work(1);
    sim.now += DEADLINE;
    sim.wake_attempt(attempt);
    assert_eq!(*sim.answer(attempt), Answer::OutcomeUnknown(UnknownReason::Deadline));
    assert!(!sim.dispatch(0, 0), "the deadline passed during the pause");
    let retry = sim.submit(operation, SECOND_ENTRY);
    sim.deliver_all();
    assert!(is_not_run(sim.answer(retry), RefusalReason::Expired));
    assert!(sim.leaves[0].lane.is_empty());
    sim.check_invariants();
}

/// Guards against a dispatch or a retry of cancelled work, and against a caller that waits until its deadline although
/// its request was withdrawn.
#[test]
fn cancelled_ticket_is_never_dispatched() {
    let (mut sim, operation, attempt) = sim_with_queued_work(1);
    sim.now = sim.attempts[attempt]
        .submission
        .next_wakeup()
        .expect("a cancellation is scheduled");
    sim.wake_attempt(attempt);
    sim.deliver_all();
    assert!(is_not_run(sim.answer(attempt), RefusalReason::Cancelled));
    assert!(!sim.dispatch(0, 0));
    let retry = sim.submit(operation, SECOND_ENTRY);
    sim.deliver_all();
    assert!(is_not_run(sim.answer(retry), RefusalReason::Cancelled));
    sim.check_invariants();
}

/// Guards against reporting `not_run` for a request that was written before the connection was lost.
#[test]
fn lost_connection_is_unknown() {
    let (mut sim, operation, attempt) = sim_with_queued_work(1);
    assert!(sim.dispatch(0, 0));
    sim.deliver();
    let (from, work, _) = sim.take_dispatched().expect("it was written");
    sim.fail_connection(&from, &work);
    sim.deliver_all();
    let reason = RefusalReason::Unreachable;
    let retry_after = Duration::ZERO;
    assert_eq!(
        *sim.answer(attempt),
        Answer::OutcomeUnknown(UnknownReason::Leaf { reason, retry_after })
    );
    assert_eq!(sim.start_count(operation), 1);
    let retry = sim.submit(operation, SECOND_ENTRY);
    sim.deliver_all();
    assert_eq!(
        *sim.answer(retry),
        Answer::OutcomeUnknown(UnknownReason::Leaf { reason, retry_after })
    );
    assert!(sim.leaves[0].lane.is_empty());
    sim.check_invariants();
}

/// Guards against losing a refusal that arrives after the deadline of the caller, and against reporting `not_run` for a
/// refusal without `not_started`.
#[test]
fn late_refusal_answers_retry() {
    for (status, not_started) in [(503, true), (503, false), (504, false), (409, false)] {
        let (mut sim, operation, attempt) = sim_with_queued_work(1);
        assert!(sim.dispatch(0, 0));
        let (from, work, _) = sim.take_dispatched().expect("it was written");
        sim.now += DEADLINE;
        sim.wake_attempt(attempt);
        assert_eq!(*sim.answer(attempt), Answer::OutcomeUnknown(UnknownReason::Deadline));
        sim.complete_work(&from, &work, status, not_started);
        let retry = sim.submit(operation, SECOND_ENTRY);
        sim.deliver_all();
        match sim.answer(retry) {
            Answer::NotRun { reason, .. } => assert_eq!((*reason, not_started), (RefusalReason::Shedding, true)),
            Answer::OutcomeUnknown(UnknownReason::Leaf { .. }) => assert!(!not_started),
            other => panic!("unexpected answer {other:?}"),
        }
        sim.check_invariants();
    }
}

/// Guards against a second run if the owner changes between request and reply, and against an entry that sends a ticket
/// of the old owner to the new one.
#[test]
fn owner_change_keeps_ticket_with_issuer() {
    let (mut sim, operation, attempt) = sim_with_queued_work(2);
    assert!(sim.dispatch(0, 0));
    let other = sim.obtain_ticket(1).expect("the new owner issues its own tickets");
    let retry = sim.submit(operation, SECOND_ENTRY);
    sim.deliver_all();
    assert!(sim.leaves[1].lane.is_empty());
    sim.deliver();
    sim.deliver_all();
    assert!(is_executed(sim.answer(attempt), false));
    assert!(
        is_executed(sim.answer(retry), false),
        "the retry waited for the first attempt"
    );
    let next = sim.submit(other, FIRST_ENTRY);
    sim.deliver_all();
    sim.refuse(1, 0);
    sim.deliver_all();
    assert!(is_not_run(sim.answer(next), RefusalReason::NotOwner));
    sim.check_invariants();
}

/// Guards against losing the outcome if the entry crashes after the dispatch.
#[test]
fn entry_crash_keeps_outcome() {
    let (mut sim, operation, _) = sim_with_queued_work(1);
    assert!(sim.dispatch(0, 0));
    sim.close_session(FIRST_ENTRY);
    sim.deliver();
    sim.deliver();
    let retry = sim.submit(operation, SECOND_ENTRY);
    sim.deliver_all();
    assert!(is_executed(sim.answer(retry), true));
    assert_eq!(sim.start_count(operation), 1);
    sim.check_invariants();
}

/// Guards against a ticket that can no longer be used after its entry crashed before the dispatch, and against two runs
/// if the withdrawn work is still in the lane.
#[test]
fn entry_crash_frees_queued_ticket() {
    let (mut sim, operation, _) = sim_with_queued_work(1);
    sim.close_session(FIRST_ENTRY);
    let retry = sim.submit(operation, SECOND_ENTRY);
    sim.deliver_all();
    assert_eq!(sim.leaves[0].lane.len(), 2);
    let stale = sim.leaves[0].lane[0].clone();
    assert!(!sim.dispatch(0, 0), "the first admission was withdrawn");
    let peer = sim.leaves[0].peer.clone();
    sim.refuse_work(&peer, &stale);
    sim.run_next(0);
    assert!(is_executed(sim.answer(retry), false));
    sim.check_invariants();
}

/// Guards against two runs if two leaves consider themselves owner of the searcher and a ticket arrives from two
/// entries.
#[test]
fn two_owners_run_a_ticket_once() {
    let mut sim = Simulation::new(2);
    let first = sim.obtain_ticket(0).expect("the registry has room");
    let second = sim.obtain_ticket(1).expect("the registry has room");
    let attempts: Vec<usize> = [
        (first, FIRST_ENTRY),
        (first, SECOND_ENTRY),
        (second, FIRST_ENTRY),
        (first, SECOND_ENTRY),
    ]
    .map(|(operation, session)| sim.submit(operation, session))
    .into();
    sim.deliver_all();
    assert_eq!((sim.leaves[0].lane.len(), sim.leaves[1].lane.len()), (1, 1));
    assert!(sim.dispatch(0, 0) && sim.dispatch(1, 0));
    for _ in 0..4 {
        sim.deliver();
    }
    sim.deliver_all();
    for attempt in attempts {
        assert!(is_executed(sim.answer(attempt), false));
    }
    assert_eq!((sim.start_count(first), sim.start_count(second)), (1, 1));
    sim.check_invariants();
}

/// Guards against a restarted leaf that accepts the tickets of its previous incarnation.
#[test]
fn restarted_leaf_refuses_old_tickets() {
    let (mut sim, operation, attempt) = sim_with_queued_work(1);
    assert!(sim.dispatch(0, 0));
    sim.restart(0);
    assert_eq!(*sim.answer(attempt), Answer::OutcomeUnknown(UnknownReason::SessionLost));
    let retry = sim.submit(operation, SECOND_ENTRY);
    assert_eq!(*sim.answer(retry), Answer::OutcomeUnknown(UnknownReason::Restarted));
    // The old ticket must be rejected although the new incarnation issued the same sequence number.
    let fresh = sim.obtain_ticket(0).expect("the registry has room");
    assert_eq!(sim.tickets[fresh].sequence, sim.tickets[operation].sequence);
    sim.leaves[0].peer.incarnation -= 1;
    let misdirected = sim.submit(operation, SECOND_ENTRY);
    sim.deliver_all();
    assert!(matches!(
        sim.answer(misdirected),
        Answer::OutcomeUnknown(UnknownReason::Leaf { .. })
    ));
    assert!(sim.leaves[0].lane.is_empty());
    sim.check_invariants();
}

/// Guards against a final answer for a ticket that was issued after a restart of the leaf that the entry has not
/// noticed yet. A retry must remain possible.
#[test]
fn outdated_session_answer_can_improve() {
    let mut sim = Simulation::new(1);
    sim.restart(0);
    let operation = sim.obtain_ticket(0).expect("the registry has room");
    sim.leaves[0].peer.incarnation -= 1;
    let attempt = sim.submit(operation, FIRST_ENTRY);
    assert_eq!(*sim.answer(attempt), Answer::OutcomeUnknown(UnknownReason::Unreachable));
    assert!(UnknownReason::Unreachable.is_retryable() && !UnknownReason::Restarted.is_retryable());
    assert!(sim.network.is_empty());
}

/// Guards against dispatching an expired or evicted ticket, and against a registry that does not evict its tickets.
#[test]
fn registry_is_bounded_and_evicts() {
    let (mut sim, used, _) = sim_with_queued_work(1);
    sim.run_next(0);
    let unused: Vec<usize> = (1..CAPACITY).filter_map(|_| sim.obtain_ticket(0)).collect();
    let refused = sim.leaves[0].registry.issue("a1", sim.now, 0);
    assert_eq!(refused, Err(tickets::RETENTION));
    sim.now += tickets::LIFETIME;
    let late = sim.submit(unused[0], FIRST_ENTRY);
    sim.deliver_all();
    assert!(is_not_run(sim.answer(late), RefusalReason::Expired));
    let replay = sim.submit(used, SECOND_ENTRY);
    sim.deliver_all();
    assert!(is_executed(sim.answer(replay), true));
    sim.now += tickets::RETENTION - tickets::LIFETIME;
    assert!(sim.leaves[0].registry.next_wakeup().expect("tickets are evicted later") <= sim.now);
    sim.wake_leaf(0);
    assert_eq!(
        (
            sim.leaves[0].registry.ticket_count(),
            sim.leaves[0].registry.stored_bytes()
        ),
        (0, 0)
    );
    for operation in [used, unused[1]] {
        let forgotten = sim.submit(operation, FIRST_ENTRY);
        sim.deliver_all();
        assert!(matches!(
            sim.answer(forgotten),
            Answer::OutcomeUnknown(UnknownReason::Leaf { .. })
        ));
    }
    assert!(sim.leaves[0].lane.is_empty());
    sim.check_invariants();
}

/// Guards against unbounded stored bodies and waiting requests, and against eviction of a running request before its
/// outcome is known.
#[test]
fn bodies_and_waiters_are_bounded() {
    let mut sim = Simulation::new(1);
    let mut operations = Vec::new();
    for _ in 0..3 {
        let operation = sim.obtain_ticket(0).expect("the registry has room");
        sim.submit(operation, FIRST_ENTRY);
        sim.deliver_all();
        sim.run_next(0);
        operations.push(operation);
    }
    sim.check_invariants();
    let replay = sim.submit(operations[2], SECOND_ENTRY);
    sim.deliver_all();
    let expected = Answer::Executed {
        status: 200,
        body: Bytes::new(),
        replayed: true,
    };
    assert_eq!(*sim.answer(replay), expected, "there was no room for its body");
    let running = sim.obtain_ticket(0).expect("the registry has room");
    let attempts: Vec<usize> = (0..=tickets::MAX_WAITERS as u64)
        .map(|entry| sim.submit(running, entry))
        .collect();
    sim.deliver_all();
    let reason = RefusalReason::QueueFull;
    let last = attempts.last().expect("there are attempts");
    let answer = sim.answer(*last);
    assert!(
        matches!(answer, Answer::OutcomeUnknown(unknown @ UnknownReason::Leaf { reason: found, .. })
        if *found == reason && unknown.is_retryable())
    );
    assert!(sim.dispatch(0, 0));
    sim.now += tickets::RETENTION;
    sim.wake_leaf(0);
    assert_eq!(
        (
            sim.leaves[0].registry.ticket_count(),
            sim.leaves[0].registry.running_count()
        ),
        (1, 1)
    );
    sim.deliver();
    sim.deliver();
    sim.deliver_all();
    assert!(is_executed(sim.answer(attempts[0]), false));
    sim.check_invariants();
}

/// Guards against accepting a `not_run` reply from a leaf other than the issuer of the ticket.
#[test]
fn other_leaf_cannot_answer() {
    let (mut sim, _, attempt) = sim_with_queued_work(2);
    let mut reply = SubmitReply::default();
    reply.set_outcome(SubmitOutcome::NotRun);
    let mut stale = sim.leaves[0].peer.clone();
    stale.incarnation += 1;
    for from in [sim.leaves[1].peer.clone(), stale] {
        sim.receive(simulation::Message::Reply {
            from,
            reply: reply.clone(),
        });
    }
    assert_eq!(sim.attempts[attempt].answer, None);
}

/// Guards against accepting a ticket for a request with other content or another searcher.
#[test]
fn ticket_is_bound_to_its_request() {
    let (mut sim, operation, _) = sim_with_queued_work(1);
    let mut other = sim.tickets[operation].clone();
    sim.tickets.push(other.clone());
    let conflict = sim.submit(operation + 1, SECOND_ENTRY);
    other.searcher = "a2".into();
    sim.tickets.push(other);
    let foreign = sim.submit(operation + 2, SECOND_ENTRY);
    sim.deliver_all();
    for attempt in [conflict, foreign] {
        assert!(matches!(
            sim.answer(attempt),
            Answer::OutcomeUnknown(UnknownReason::Leaf { .. })
        ));
    }
    assert_eq!(sim.leaves[0].lane.len(), 1);
}

/// Guards against enqueuing an unused ticket while the leaf accepts no new work.
#[test]
fn unready_leaf_refuses_permanently() {
    let mut sim = Simulation::new(1);
    let operation = sim.obtain_ticket(0).expect("the registry has room");
    sim.submit(operation, FIRST_ENTRY);
    let Some(simulation::Message::Submit { submit, .. }) = sim.network.pop() else {
        panic!("expected a submission");
    };
    let mut actions = Vec::new();
    let registry = &mut sim.leaves[0].registry;
    let ready = Err(RefusalReason::Draining);
    let taken = registry.on_submit(FIRST_ENTRY, &submit, ready, sim.now, &mut actions);
    assert_eq!(taken, Ok(()));
    let retry = sim.submit(operation, SECOND_ENTRY);
    sim.deliver_all();
    assert!(is_not_run(sim.answer(retry), RefusalReason::Draining));
    assert!(sim.leaves[0].lane.is_empty());
}

/// Guards against decoding a mistyped or truncated ticket, and against a panic on malformed text.
#[test]
fn malformed_tickets_are_refused() {
    let mut registry = TicketRegistry::new(Settings::new("leaf0", 7));
    let now = std::time::Instant::now();
    let issued = registry.issue("a1", now, 5).expect("the registry has room");
    let text = ticket::encode(&issued);
    assert_eq!(ticket::decode(&text), Ok(issued));
    for ix in 0..text.len() {
        let mut wrong = text.clone().into_bytes();
        wrong[ix] = if wrong[ix] == b'7' { b'8' } else { b'7' };
        let wrong = String::from_utf8(wrong).expect("digits are ASCII");
        assert!(ticket::decode(&wrong).is_err(), "position {ix}");
        assert!(ticket::decode(&text[..ix]).is_err(), "length {ix}");
    }
    assert!(ticket::decode(&ticket::encode(&Ticket::default())).is_err());
    property_check::check()
        .with_iterations(5_000)
        .for_each(|input: &Vec<u8>| {
            let text = format!("pt1-{}", String::from_utf8_lossy(input));
            assert!(ticket::decode(&text).is_err());
        });
}
