//! Requests without a ticket: the entry requests one from the leaves that may own the searcher.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use pimentoflow::error::ErrorKind;
use pimentoflow::request::submission::Action;
use pimentoflow::request::submission::Answer;
use pimentoflow::request::submission::Peer;
use pimentoflow::request::submission::Request;
use pimentoflow::request::submission::Submission;
use pimentoflow::wire::proto::Class;
use pimentoflow::wire::proto::Refusal;
use pimentoflow::wire::proto::RefusalReason;
use pimentoflow::wire::proto::Ticket;
use pimentoflow::wire::proto::TicketReply;
use pimentoflow::wire::proto::ticket_reply::Outcome;

struct Harness {
    now: Instant,
    peers: Vec<Peer>,
    submission: Submission,
    actions: Vec<Action>,
}

impl Harness {
    fn start(leaves: usize) -> Self {
        let now = Instant::now();
        let request = Request {
            request: "r1".into(),
            class: Class::Routine,
            searcher: "a1".into(),
            shard: "s1".into(),
            key: 17,
            body: Bytes::new(),
            ticket: None,
        };
        let peer = |number| Peer {
            instance: format!("leaf{number}").into(),
            incarnation: 7,
        };
        let mut harness = Self {
            now,
            peers: (0..leaves).map(peer).collect(),
            submission: Submission::new(request, 1, now + Duration::from_millis(300), now),
            actions: Vec::new(),
        };
        harness.submission.start(&harness.peers, now, &mut harness.actions);
        harness
    }

    fn reply(&mut self, leaf: usize, outcome: Outcome) {
        let reply = TicketReply {
            correlation: 1,
            outcome: Some(outcome),
        };
        let from = self.peers[leaf].clone();
        self.submission
            .on_ticket_reply(&from, reply, self.now, &mut self.actions);
    }

    /// Asserts that the only new action is a ticket request to `leaf`.
    fn assert_requested(&mut self, leaf: usize, expect_fallback: bool) {
        match self.actions.drain(..).as_slice() {
            [
                Action::RequestTicket {
                    leaf: receiver,
                    request,
                },
            ] => {
                assert_eq!((receiver, request.fallback), (&self.peers[leaf], expect_fallback));
            }
            other => panic!("unexpected actions {other:?}"),
        }
    }

    fn answer(&mut self) -> Answer {
        assert!(self.submission.is_finished());
        match self.actions.drain(..).as_slice() {
            [Action::Finish(answer)] => answer.clone(),
            other => panic!("unexpected actions {other:?}"),
        }
    }
}

fn refusal(reason: RefusalReason, retry_after_us: u64) -> Outcome {
    let mut refusal = Refusal {
        retry_after_us,
        ..Refusal::default()
    };
    refusal.set_reason(reason);
    Outcome::Refusal(refusal)
}

fn issued(instance: &str, incarnation: u64) -> Outcome {
    Outcome::Ticket(Ticket {
        instance: instance.into(),
        incarnation,
        sequence: 1,
        searcher: "a1".into(),
        expires_unix_ms: 0,
    })
}

/// Guards against a caller that gets no ticket because the owner refuses, is lost or is paused, although a successor is
/// available.
#[test]
fn next_leaf_is_asked() {
    let mut harness = Harness::start(4);
    harness.assert_requested(0, false);
    harness.reply(0, refusal(RefusalReason::NotOwner, 0));
    harness.assert_requested(1, true);
    let lost = harness.peers[1].clone();
    harness
        .submission
        .on_session_lost(&lost, harness.now, &mut harness.actions);
    harness.assert_requested(2, true);
    harness.now = harness.submission.next_wakeup().expect("the request has a timeout");
    harness.submission.on_wakeup(harness.now, &mut harness.actions);
    harness.assert_requested(3, true);
    harness.reply(2, issued("leaf2", 7));
    let answer = harness.answer();
    assert_eq!(answer.status(), 428);
    assert_eq!(answer.error().map(|error| error.kind), Some(ErrorKind::NotRun));
}

/// Guards against passing on a ticket of another leaf or incarnation, which the leaf that sent it would not accept. The
/// ticket is discarded, and the caller is told that the submission did not run.
#[test]
fn ticket_of_other_issuer_is_discarded() {
    for outcome in [issued("leaf1", 7), issued("leaf0", 8)] {
        let mut harness = Harness::start(1);
        harness.assert_requested(0, false);
        harness.reply(0, outcome);
        assert!(matches!(harness.answer(), Answer::NotRun { .. }));
    }
}

/// Guards against a caller that waits until its deadline although no leaf can issue a ticket, and against a request to
/// the next leaf if the queue of the owner is full.
#[test]
fn refusal_is_answered_at_once() {
    let none = Harness::start(0).answer();
    let reason = RefusalReason::Unreachable;
    assert_eq!(
        none,
        Answer::NotRun {
            reason,
            retry_after: Duration::ZERO
        }
    );
    assert!(none.error().is_some_and(|error| error.retry_after.is_some()));
    let mut full = Harness::start(2);
    full.assert_requested(0, false);
    full.reply(0, refusal(RefusalReason::QueueFull, 5_000));
    let reason = RefusalReason::QueueFull;
    assert_eq!(
        full.answer(),
        Answer::NotRun {
            reason,
            retry_after: Duration::from_millis(5)
        }
    );
}

/// Guards against a caller that gets no answer if all leaves are paused.
#[test]
fn unanswered_request_ends_before_deadline() {
    let mut harness = Harness::start(2);
    let mut wakeups = 0;
    while let Some(at) = harness.submission.next_wakeup() {
        harness.now = at;
        harness.submission.on_wakeup(at, &mut harness.actions);
        wakeups += 1;
        assert!(wakeups < 10);
    }
    let last = harness.actions.pop();
    assert!(matches!(last, Some(Action::Finish(Answer::NotRun { .. }))));
    assert_eq!(harness.actions.len(), 2);
}
