//! Non-idempotent requests: the state machines of entry and leaf together, against the log of a fake backend server.

mod asking;
mod properties;
mod world;

use std::time::Duration;

use bytes::Bytes;
use pimentoflow::process::tickets;
use pimentoflow::process::tickets::Register;
use pimentoflow::process::tickets::Settings;
use pimentoflow::request::submission::Answer;
use pimentoflow::request::submission::UnknownReason;
use pimentoflow::request::ticket;
use pimentoflow::wire::proto::RefusalReason;
use pimentoflow::wire::proto::SubmitOutcome;
use pimentoflow::wire::proto::SubmitReply;
use pimentoflow::wire::proto::Ticket;

use crate::submissions::world::CAPACITY;
use crate::submissions::world::DEADLINE;
use crate::submissions::world::World;

/// Entry through which the first attempt of a caller goes.
const FIRST: u64 = 1;

/// Entry through which a repeat goes.
const SECOND: u64 = 2;

fn is_executed(answer: &Answer, expect_replay: bool) -> bool {
    matches!(answer, Answer::Executed { status: 200, replayed, body } if *replayed == expect_replay && body == "done!")
}

fn is_not_run(answer: &Answer, expected: RefusalReason) -> bool {
    matches!(answer, Answer::NotRun { reason, .. } if *reason == expected)
}

/// Makes a world with one queued submission and returns its intent and flow.
fn queued(leaves: usize) -> (World, usize, usize) {
    let mut world = World::new(leaves);
    let intent = world.obtain(0).expect("the register has room");
    let flow = world.submit(intent, FIRST);
    world.deliver_all();
    (world, intent, flow)
}

/// Guards against work that a paused leaf dispatches after its entry gave up, and against a repeat that revives it.
#[test]
fn paused_leaf_drops_queued_work() {
    let (mut world, intent, flow) = queued(1);
    world.now += DEADLINE;
    world.wake_flow(flow);
    assert_eq!(*world.answer(flow), Answer::OutcomeUnknown(UnknownReason::Deadline));
    assert!(!world.dispatch(0, 0), "the deadline passed during the pause");
    let repeat = world.submit(intent, SECOND);
    world.deliver_all();
    assert!(is_not_run(world.answer(repeat), RefusalReason::Expired));
    assert!(world.leaves[0].lane.is_empty());
    world.check();
}

/// Guards against a cancellation before dispatch that is not final, and against a caller that waits for its deadline
/// although its request was withdrawn.
#[test]
fn cancelled_ticket_is_never_dispatched() {
    let (mut world, intent, flow) = queued(1);
    world.now = world.flows[flow].submission.next_wakeup().expect("it cancels later");
    world.wake_flow(flow);
    world.deliver_all();
    assert!(is_not_run(world.answer(flow), RefusalReason::Cancelled));
    assert!(!world.dispatch(0, 0));
    let repeat = world.submit(intent, SECOND);
    world.deliver_all();
    assert!(is_not_run(world.answer(repeat), RefusalReason::Cancelled));
    world.check();
}

/// Guards against `not_run` for a request whose frame was written before the connection died.
#[test]
fn lost_connection_is_unknown() {
    let (mut world, intent, flow) = queued(1);
    assert!(world.dispatch(0, 0));
    world.deliver();
    let (from, work, _) = world.take_dispatched().expect("it was written");
    world.lose_connection(&from, &work);
    world.deliver_all();
    let reason = RefusalReason::Unreachable;
    let retry_after = Duration::ZERO;
    assert_eq!(
        *world.answer(flow),
        Answer::OutcomeUnknown(UnknownReason::Leaf { reason, retry_after })
    );
    assert_eq!(world.starts_of(intent), 1);
    let repeat = world.submit(intent, SECOND);
    world.deliver_all();
    assert_eq!(
        *world.answer(repeat),
        Answer::OutcomeUnknown(UnknownReason::Leaf { reason, retry_after })
    );
    assert!(world.leaves[0].lane.is_empty());
    world.check();
}

/// Guards against a backend server's late refusal that is lost, and against a refusal without its word that counts as
/// proof.
#[test]
fn late_refusal_answers_repeat() {
    for (status, unstarted) in [(503, true), (503, false), (504, false), (409, false)] {
        let (mut world, intent, flow) = queued(1);
        assert!(world.dispatch(0, 0));
        let (from, work, _) = world.take_dispatched().expect("it was written");
        world.now += DEADLINE;
        world.wake_flow(flow);
        assert_eq!(*world.answer(flow), Answer::OutcomeUnknown(UnknownReason::Deadline));
        world.end_work(&from, &work, status, unstarted);
        let repeat = world.submit(intent, SECOND);
        world.deliver_all();
        match world.answer(repeat) {
            Answer::NotRun { reason, .. } => assert_eq!((*reason, unstarted), (RefusalReason::Shedding, true)),
            Answer::OutcomeUnknown(UnknownReason::Leaf { .. }) => assert!(!unstarted),
            other => panic!("unexpected answer {other:?}"),
        }
        world.check();
    }
}

/// Guards against a second run when the owner changes between the send and the reply, and against an entry that asks the
/// new owner about a ticket of the old one.
#[test]
fn owner_change_keeps_ticket_with_issuer() {
    let (mut world, intent, flow) = queued(2);
    assert!(world.dispatch(0, 0));
    let other = world.obtain(1).expect("the new owner issues its own tickets");
    let repeat = world.submit(intent, SECOND);
    world.deliver_all();
    assert!(world.leaves[1].lane.is_empty());
    world.deliver();
    world.deliver_all();
    assert!(is_executed(world.answer(flow), false));
    assert!(
        is_executed(world.answer(repeat), false),
        "it waited for the first attempt"
    );
    let next = world.submit(other, FIRST);
    world.deliver_all();
    world.refuse(1, 0);
    world.deliver_all();
    assert!(is_not_run(world.answer(next), RefusalReason::NotOwner));
    world.check();
}

/// Guards against a lost outcome when the entry dies after its leaf dispatched.
#[test]
fn entry_death_keeps_outcome() {
    let (mut world, intent, _) = queued(1);
    assert!(world.dispatch(0, 0));
    world.close_session(FIRST);
    world.deliver();
    world.deliver();
    let repeat = world.submit(intent, SECOND);
    world.deliver_all();
    assert!(is_executed(world.answer(repeat), true));
    assert_eq!(world.starts_of(intent), 1);
    world.check();
}

/// Guards against a ticket that becomes useless when its entry dies before the dispatch, and against two runs when the
/// abandoned work is still in the lane.
#[test]
fn entry_death_frees_queued_ticket() {
    let (mut world, intent, _) = queued(1);
    world.close_session(FIRST);
    let repeat = world.submit(intent, SECOND);
    world.deliver_all();
    assert_eq!(world.leaves[0].lane.len(), 2);
    let stale = world.leaves[0].lane[0].clone();
    assert!(!world.dispatch(0, 0), "the first admission was withdrawn");
    let peer = world.leaves[0].peer.clone();
    world.refuse_work(&peer, &stale);
    world.run_next(0);
    assert!(is_executed(world.answer(repeat), false));
    world.check();
}

/// Guards against two runs when two leaves believe that they own the searcher and a ticket comes through two entries.
#[test]
fn two_owners_run_a_ticket_once() {
    let mut world = World::new(2);
    let first = world.obtain(0).expect("the register has room");
    let second = world.obtain(1).expect("the register has room");
    let flows: Vec<usize> = [(first, FIRST), (first, SECOND), (second, FIRST), (first, SECOND)]
        .map(|(intent, session)| world.submit(intent, session))
        .into();
    world.deliver_all();
    assert_eq!((world.leaves[0].lane.len(), world.leaves[1].lane.len()), (1, 1));
    assert!(world.dispatch(0, 0) && world.dispatch(1, 0));
    for _ in 0..4 {
        world.deliver();
    }
    world.deliver_all();
    for flow in flows {
        assert!(is_executed(world.answer(flow), false));
    }
    assert_eq!((world.starts_of(first), world.starts_of(second)), (1, 1));
    world.check();
}

/// Guards against a restarted leaf that takes the tickets of its earlier start for its own.
#[test]
fn restarted_leaf_refuses_old_tickets() {
    let (mut world, intent, flow) = queued(1);
    assert!(world.dispatch(0, 0));
    world.restart(0);
    assert_eq!(*world.answer(flow), Answer::OutcomeUnknown(UnknownReason::SessionLost));
    let repeat = world.submit(intent, SECOND);
    assert_eq!(*world.answer(repeat), Answer::OutcomeUnknown(UnknownReason::Restarted));
    // The same sequence number under the new start must not open the way for the old ticket.
    let fresh = world.obtain(0).expect("the register has room");
    assert_eq!(world.tickets[fresh].sequence, world.tickets[intent].sequence);
    world.leaves[0].peer.incarnation -= 1;
    let confused = world.submit(intent, SECOND);
    world.deliver_all();
    assert!(matches!(
        world.answer(confused),
        Answer::OutcomeUnknown(UnknownReason::Leaf { .. })
    ));
    assert!(world.leaves[0].lane.is_empty());
    world.check();
}

/// Guards against a caller that is told to give up on a ticket because its entry has not noticed the restart of the leaf
/// that issued it.
#[test]
fn stale_session_can_improve() {
    let mut world = World::new(1);
    world.restart(0);
    let intent = world.obtain(0).expect("the register has room");
    world.leaves[0].peer.incarnation -= 1;
    let flow = world.submit(intent, FIRST);
    assert_eq!(*world.answer(flow), Answer::OutcomeUnknown(UnknownReason::Unreachable));
    assert!(UnknownReason::Unreachable.is_retryable() && !UnknownReason::Restarted.is_retryable());
    assert!(world.network.is_empty());
}

/// Guards against a ticket that is dispatched after it expired or was forgotten, and against a register that never
/// frees its places.
#[test]
fn register_is_bounded_and_forgets() {
    let (mut world, used, _) = queued(1);
    world.run_next(0);
    let unused: Vec<usize> = (1..CAPACITY).filter_map(|_| world.obtain(0)).collect();
    let refused = world.leaves[0].register.issue("a1", world.now, 0);
    assert_eq!(refused, Err(tickets::MEMORY));
    world.now += tickets::LIFETIME;
    let late = world.submit(unused[0], FIRST);
    world.deliver_all();
    assert!(is_not_run(world.answer(late), RefusalReason::Expired));
    let replay = world.submit(used, SECOND);
    world.deliver_all();
    assert!(is_executed(world.answer(replay), true));
    world.now += tickets::MEMORY - tickets::LIFETIME;
    assert!(
        world.leaves[0]
            .register
            .next_wakeup()
            .expect("tickets are forgotten later")
            <= world.now
    );
    world.wake_leaf(0);
    assert_eq!(
        (world.leaves[0].register.open(), world.leaves[0].register.stored_bytes()),
        (0, 0)
    );
    for intent in [used, unused[1]] {
        let forgotten = world.submit(intent, FIRST);
        world.deliver_all();
        assert!(matches!(
            world.answer(forgotten),
            Answer::OutcomeUnknown(UnknownReason::Leaf { .. })
        ));
    }
    assert!(world.leaves[0].lane.is_empty());
    world.check();
}

/// Guards against bodies and waiting requests that grow without bound, and against a running request that is forgotten
/// before its outcome is known.
#[test]
fn bodies_and_waiters_are_bounded() {
    let mut world = World::new(1);
    let mut intents = Vec::new();
    for _ in 0..3 {
        let intent = world.obtain(0).expect("the register has room");
        world.submit(intent, FIRST);
        world.deliver_all();
        world.run_next(0);
        intents.push(intent);
    }
    world.check();
    let replay = world.submit(intents[2], SECOND);
    world.deliver_all();
    let expected = Answer::Executed {
        status: 200,
        body: Bytes::new(),
        replayed: true,
    };
    assert_eq!(*world.answer(replay), expected, "there was no room for its body");
    let running = world.obtain(0).expect("the register has room");
    let flows: Vec<usize> = (0..=tickets::MAX_WAITERS as u64)
        .map(|entry| world.submit(running, entry))
        .collect();
    world.deliver_all();
    let reason = RefusalReason::QueueFull;
    let last = flows.last().expect("there are flows");
    let answer = world.answer(*last);
    assert!(
        matches!(answer, Answer::OutcomeUnknown(unknown @ UnknownReason::Leaf { reason: found, .. })
        if *found == reason && unknown.is_retryable())
    );
    assert!(world.dispatch(0, 0));
    world.now += tickets::MEMORY;
    world.wake_leaf(0);
    assert_eq!(
        (world.leaves[0].register.open(), world.leaves[0].register.running()),
        (1, 1)
    );
    world.deliver();
    world.deliver();
    world.deliver_all();
    assert!(is_executed(world.answer(flows[0]), false));
    world.check();
}

/// Guards against `not_run` on the word of a leaf that the ticket does not name.
#[test]
fn other_leaf_cannot_answer() {
    let (mut world, _, flow) = queued(2);
    let mut reply = SubmitReply::default();
    reply.set_outcome(SubmitOutcome::NotRun);
    let mut stale = world.leaves[0].peer.clone();
    stale.incarnation += 1;
    for from in [world.leaves[1].peer.clone(), stale] {
        world.receive(world::Message::Reply {
            from,
            reply: reply.clone(),
        });
    }
    assert_eq!(world.flows[flow].answer, None);
}

/// Guards against a ticket that vouches for another request than the one that it ran.
#[test]
fn ticket_is_bound_to_its_request() {
    let (mut world, intent, _) = queued(1);
    let mut other = world.tickets[intent].clone();
    world.tickets.push(other.clone());
    let conflict = world.submit(intent + 1, SECOND);
    other.searcher = "a2".into();
    world.tickets.push(other);
    let foreign = world.submit(intent + 2, SECOND);
    world.deliver_all();
    for flow in [conflict, foreign] {
        assert!(matches!(
            world.answer(flow),
            Answer::OutcomeUnknown(UnknownReason::Leaf { .. })
        ));
    }
    assert_eq!(world.leaves[0].lane.len(), 1);
}

/// Guards against an unused ticket that is dispatched although the leaf may not take new work.
#[test]
fn leaf_that_is_not_ready_refuses_for_good() {
    let mut world = World::new(1);
    let intent = world.obtain(0).expect("the register has room");
    world.submit(intent, FIRST);
    let Some(world::Message::Submit { submit, .. }) = world.network.pop() else {
        panic!("expected a submission");
    };
    let mut actions = Vec::new();
    let register = &mut world.leaves[0].register;
    let ready = Err(RefusalReason::Draining);
    let taken = register.on_submit(FIRST, &submit, ready, world.now, &mut actions);
    assert_eq!(taken, Ok(()));
    let repeat = world.submit(intent, SECOND);
    world.deliver_all();
    assert!(is_not_run(world.answer(repeat), RefusalReason::Draining));
    assert!(world.leaves[0].lane.is_empty());
}

/// Guards against a mistyped or truncated ticket that reaches a leaf, and against malformed text that panics.
#[test]
fn malformed_tickets_are_refused() {
    let mut register = Register::new(Settings::new("leaf0", 7));
    let now = std::time::Instant::now();
    let issued = register.issue("a1", now, 5).expect("the register has room");
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
