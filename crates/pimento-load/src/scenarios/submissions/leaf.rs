//! Simulated leaf with one lane of three slots to the backend server.

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

use crate::scenarios::submissions::deduplicator::Deduplicator;

/// Number of slots of the searcher.
const SLOTS: usize = 3;

/// Message to a leaf.
#[derive(Debug, Clone)]
pub(crate) enum ToLeaf {
    RequestTicket(TicketRequest),
    Submit(Submit),
    Cancel(u64),
    Reply(Work, BackendReply),
    ConnectionLost(Work),
    Wakeup,
}

/// Message from a leaf.
#[derive(Debug)]
pub(crate) enum FromLeaf {
    Ticket(TicketReply),
    Reply(SubmitReply),
    Write(Work),
}

/// Simulated leaf.
#[derive(Debug)]
pub(crate) struct Leaf {
    pub peer: Peer,
    /// Whether the leaf assumes that it owns the searcher.
    pub is_owner: bool,
    /// End of the last pause.
    pub paused_until: Instant,
    /// Time of the scheduled wakeup.
    pub wake_at: Option<Instant>,
    deduplicator: Deduplicator,
    lane: VecDeque<Work>,
    running: usize,
}

impl Leaf {
    pub fn new(tickets: bool, peer: Peer, is_owner: bool, now: Instant) -> Self {
        Self {
            deduplicator: Deduplicator::new(tickets, &peer),
            peer,
            is_owner,
            paused_until: now,
            wake_at: None,
            lane: VecDeque::new(),
            running: 0,
        }
    }

    pub fn next_wakeup(&self) -> Option<Instant> {
        self.deduplicator.next_wakeup()
    }

    /// Handles a message, dispatches queued work to free slots and returns the messages to send.
    pub fn receive(&mut self, session: SessionId, message: ToLeaf, now: Instant) -> Vec<FromLeaf> {
        let mut actions = Vec::new();
        let mut messages = Vec::new();
        match message {
            ToLeaf::RequestTicket(request) => messages.push(FromLeaf::Ticket(self.issue_ticket(&request, now))),
            ToLeaf::Submit(submit) => {
                self.deduplicator
                    .on_submit(session, &submit, self.is_owner, now, &mut actions);
            }
            ToLeaf::Cancel(correlation) => self.deduplicator.on_cancel(session, correlation, &mut actions),
            ToLeaf::Reply(work, reply) => {
                self.running -= 1;
                self.deduplicator.on_reply(work.id, reply, &mut actions);
            }
            ToLeaf::ConnectionLost(work) => {
                self.running -= 1;
                self.deduplicator.on_connection_lost(work.id, &mut actions);
            }
            ToLeaf::Wakeup => {
                self.wake_at = None;
                self.deduplicator.on_wakeup(now, &mut actions);
            }
        }
        self.apply(actions, &mut messages);
        self.dispatch(now, &mut messages);
        messages
    }

    /// Issues a ticket, or refuses if the leaf is not the owner, has no room for more tickets or runs the baseline.
    fn issue_ticket(&mut self, request: &TicketRequest, now: Instant) -> TicketReply {
        let mut refusal = Refusal::default();
        refusal.set_reason(RefusalReason::NotOwner);
        let outcome = match &mut self.deduplicator {
            Deduplicator::Tickets(registry) if self.is_owner || request.fallback => {
                match registry.issue(&request.searcher, now, 0) {
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

    fn apply(&mut self, actions: Vec<Action>, messages: &mut Vec<FromLeaf>) {
        for action in actions {
            match action {
                Action::Enqueue(work) => self.lane.push_back(work),
                Action::Withdraw { id, .. } => self.lane.retain(|work| work.id != id),
                Action::Reply { reply, .. } => messages.push(FromLeaf::Reply(reply)),
            }
        }
    }

    fn dispatch(&mut self, now: Instant, messages: &mut Vec<FromLeaf>) {
        while self.running < SLOTS {
            let Some(work) = self.lane.pop_front() else {
                return;
            };
            let mut actions = Vec::new();
            if self.deduplicator.try_dispatch(work.id, now, &mut actions) {
                self.running += 1;
                messages.push(FromLeaf::Write(work));
            }
            self.apply(actions, messages);
        }
    }
}

pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
