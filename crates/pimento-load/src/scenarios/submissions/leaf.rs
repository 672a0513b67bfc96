//! A leaf with one lane of three slots, and what is written to and read from the backend server.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::tickets::Action;
use pimentoflow::process::tickets::BackendReply;
use pimentoflow::process::tickets::SessionId;
use pimentoflow::process::tickets::Work;
use pimentoflow::request::submission::Peer;
use pimentoflow::wire::proto::Refusal;
use pimentoflow::wire::proto::RefusalReason;
use pimentoflow::wire::proto::Submit;
use pimentoflow::wire::proto::SubmitReply;
use pimentoflow::wire::proto::TicketReply;
use pimentoflow::wire::proto::TicketRequest;
use pimentoflow::wire::proto::ticket_reply;

use crate::scenarios::submissions::guard::Guard;

/// Slots of the searcher.
const SLOTS: usize = 3;

/// Message to a leaf.
#[derive(Debug, Clone)]
pub(crate) enum ToLeaf {
    Ask(TicketRequest),
    Submit(Submit),
    Cancel(u64),
    Reply(Work, BackendReply),
    Lost(Work),
    Wakeup,
}

/// Message from a leaf.
#[derive(Debug)]
pub(crate) enum FromLeaf {
    Ticket(TicketReply),
    Reply(SubmitReply),
    Write(Work),
}

/// One leaf.
#[derive(Debug)]
pub(crate) struct Leaf {
    pub peer: Peer,
    /// Whether it believes that it owns the searcher.
    pub owns: bool,
    /// End of a pause.
    pub paused: Instant,
    /// Time of the wakeup that is scheduled.
    pub wake_at: Option<Instant>,
    guard: Guard,
    lane: VecDeque<Work>,
    running: usize,
}

impl Leaf {
    pub fn new(tickets: bool, peer: Peer, owns: bool, now: Instant) -> Self {
        Self {
            guard: Guard::new(tickets, &peer),
            peer,
            owns,
            paused: now,
            wake_at: None,
            lane: VecDeque::new(),
            running: 0,
        }
    }

    pub fn next_wakeup(&self) -> Option<Instant> {
        self.guard.next_wakeup()
    }

    pub fn receive(&mut self, session: SessionId, message: ToLeaf, now: Instant) -> Vec<FromLeaf> {
        let mut actions = Vec::new();
        let mut out = Vec::new();
        match message {
            ToLeaf::Ask(request) => out.push(FromLeaf::Ticket(self.issue(&request, now))),
            ToLeaf::Submit(submit) => {
                self.guard.on_submit(session, &submit, self.owns, now, &mut actions);
            }
            ToLeaf::Cancel(correlation) => self.guard.on_cancel(session, correlation, &mut actions),
            ToLeaf::Reply(work, reply) => {
                self.running -= 1;
                self.guard.on_reply(work.id, reply, &mut actions);
            }
            ToLeaf::Lost(work) => {
                self.running -= 1;
                self.guard.on_lost(work.id, &mut actions);
            }
            ToLeaf::Wakeup => {
                self.wake_at = None;
                self.guard.on_wakeup(now, &mut actions);
            }
        }
        self.apply(actions, &mut out);
        self.dispatch(now, &mut out);
        out
    }

    fn issue(&mut self, request: &TicketRequest, now: Instant) -> TicketReply {
        let mut refusal = Refusal::default();
        refusal.set_reason(RefusalReason::NotOwner);
        let outcome = match &mut self.guard {
            Guard::Tickets(register) if self.owns || request.fallback => {
                match register.issue(&request.searcher, now, 0) {
                    Ok(ticket) => ticket_reply::Outcome::Ticket(ticket),
                    Err(after) => {
                        refusal.set_reason(RefusalReason::QueueFull);
                        refusal.retry_after_us = micros(after);
                        ticket_reply::Outcome::Refusal(refusal)
                    }
                }
            }
            _ => ticket_reply::Outcome::Refusal(refusal),
        };
        TicketReply {
            correlation: request.correlation,
            outcome: Some(outcome),
        }
    }

    fn apply(&mut self, actions: Vec<Action>, out: &mut Vec<FromLeaf>) {
        for action in actions {
            match action {
                Action::Enqueue(work) => self.lane.push_back(work),
                Action::Withdraw { id, .. } => self.lane.retain(|work| work.id != id),
                Action::Reply { reply, .. } => out.push(FromLeaf::Reply(reply)),
            }
        }
    }

    fn dispatch(&mut self, now: Instant, out: &mut Vec<FromLeaf>) {
        while self.running < SLOTS {
            let Some(work) = self.lane.pop_front() else {
                return;
            };
            let mut actions = Vec::new();
            if self.guard.begin(work.id, now, &mut actions) {
                self.running += 1;
                out.push(FromLeaf::Write(work));
            }
            self.apply(actions, out);
        }
    }
}

pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
