//! State machine of a non-idempotent request at the entry.
//!
//! Without a ticket it obtains one, with which the caller repeats the request. With a ticket it sends the request to the
//! leaf that the ticket names and to no other, and classifies the end. `not_run` is given only on the word of that leaf.
//! See `docs/design/at-most-once.md`.

mod answer;

use std::cmp::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

pub use crate::request::submission::answer::Answer;
pub use crate::request::submission::answer::UnknownReason;

use crate::ids::CorrelationId;
use crate::ids::Incarnation;
use crate::ids::InstanceId;
use crate::ids::RequestId;
use crate::ids::SearcherId;
use crate::ids::ShardId;
use crate::request::ticket;
use crate::wire::proto::Cancel;
use crate::wire::proto::Class;
use crate::wire::proto::Refusal;
use crate::wire::proto::RefusalReason;
use crate::wire::proto::Submit;
use crate::wire::proto::SubmitOutcome;
use crate::wire::proto::SubmitReply;
use crate::wire::proto::Ticket;
use crate::wire::proto::TicketReply;
use crate::wire::proto::TicketRequest;
use crate::wire::proto::ticket_reply;

/// Time before the deadline at which a request is cancelled at its leaf. It leaves room for the round trip to another
/// data centre (3 ms) and for the leaf's work, so that a request that is still queued ends as `not_run`.
pub const CANCEL_MARGIN: Duration = Duration::from_millis(20);

/// Time before the deadline at which the caller is answered, for the way back to the caller.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(5);

/// Share of the remaining time after which the next leaf is asked for a ticket, as a divisor. A paused owner then costs
/// a third of the time, and two more leaves can be asked.
const TICKET_WAIT_DIVISOR: u32 = 3;

/// Session with a leaf, as far as its identity matters here.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Name of the leaf's instance.
    pub instance: InstanceId,
    /// Start of the leaf's process.
    pub incarnation: Incarnation,
}

/// A non-idempotent request of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identifier of the request.
    pub request: RequestId,
    /// Class of the request.
    pub class: Class,
    /// Designated searcher of the shard, for which a ticket is asked.
    pub searcher: SearcherId,
    /// Shard that holds the key.
    pub shard: ShardId,
    /// Key that the request writes.
    pub key: u64,
    /// Body for the backend server.
    pub body: Bytes,
    /// Ticket that the caller sent, decoded by [`ticket::decode`].
    pub ticket: Option<Ticket>,
}

/// What the entry has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ask a leaf for a ticket.
    RequestTicket {
        /// Leaf to ask.
        leaf: Peer,
        /// The message.
        request: TicketRequest,
    },
    /// Send the request to the leaf that its ticket names.
    Send {
        /// That leaf.
        leaf: Peer,
        /// The message.
        submit: Submit,
    },
    /// Cancel the request at its leaf.
    Cancel {
        /// The leaf.
        leaf: Peer,
        /// The message.
        cancel: Cancel,
    },
    /// Answer the caller. Nothing follows.
    Finish(Answer),
}

/// Progress of a submission.
#[derive(Debug)]
enum State {
    /// Not started.
    New,
    /// Asks for a ticket. `rest` are the leaves not asked yet, in reverse order of rank.
    RequestingTicket {
        pending: Vec<Peer>,
        untried: Vec<Peer>,
        fallback: bool,
        next_at: Instant,
        last_refusal: Option<Refusal>,
    },
    /// Sent to the leaf of the ticket.
    Sent { leaf: Peer, cancelled: bool },
    /// The caller was answered.
    Finished,
}

/// One non-idempotent request at an entry.
#[derive(Debug)]
pub struct Submission {
    request: Request,
    correlation: CorrelationId,
    cancel_at: Instant,
    answer_at: Instant,
    state: State,
}

impl Submission {
    /// Makes a submission that must be answered by `deadline`. `correlation` must be unique among the requests that this
    /// process sends on one session.
    #[must_use]
    pub fn new(request: Request, correlation: CorrelationId, deadline: Instant, now: Instant) -> Self {
        let remaining = deadline.saturating_duration_since(now);
        Self {
            request,
            correlation,
            cancel_at: deadline - CANCEL_MARGIN.min(remaining / 2),
            answer_at: deadline - ANSWER_MARGIN.min(remaining / 4),
            state: State::New,
        }
    }

    /// Starts. `leaves` are the leaves with an open session. For a request without a ticket they are those that may own
    /// the searcher, the owner first; for one with a ticket the leaf that it names must be among them if there is a
    /// session with it.
    pub fn start(&mut self, leaves: &[Peer], now: Instant, actions: &mut Vec<Action>) {
        match self.request.ticket.take() {
            Some(ticket) => self.send(ticket, leaves, now, actions),
            None => {
                self.state = State::RequestingTicket {
                    pending: Vec::new(),
                    untried: leaves.iter().rev().cloned().collect(),
                    fallback: false,
                    next_at: now,
                    last_refusal: None,
                };
                self.request_next_ticket(now, actions);
            }
        }
    }

    /// Returns the correlation number that its messages carry.
    #[must_use]
    pub const fn correlation(&self) -> CorrelationId {
        self.correlation
    }

    /// Tells whether the caller was answered.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        matches!(self.state, State::Finished)
    }

    /// Returns the time of the next call of [`Submission::on_wakeup`].
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        match &self.state {
            State::New | State::Finished => None,
            State::RequestingTicket { next_at, .. } => Some(self.answer_at.min(*next_at)),
            State::Sent { cancelled: false, .. } => Some(self.cancel_at),
            State::Sent { cancelled: true, .. } => Some(self.answer_at),
        }
    }

    fn send(&mut self, ticket: Ticket, leaves: &[Peer], now: Instant, actions: &mut Vec<Action>) {
        let session = leaves.iter().find(|peer| *peer.instance == *ticket.instance);
        let Some(leaf) = session.cloned() else {
            return self.finish(Answer::OutcomeUnknown(UnknownReason::Unreachable), actions);
        };
        match leaf.incarnation.cmp(&ticket.incarnation) {
            Ordering::Equal => {}
            Ordering::Greater => return self.finish(Answer::OutcomeUnknown(UnknownReason::Restarted), actions),
            // The session is one with an earlier start, whose end this entry has not noticed yet.
            Ordering::Less => return self.finish(Answer::OutcomeUnknown(UnknownReason::Unreachable), actions),
        }
        let remaining = self.cancel_at.saturating_duration_since(now);
        let submit = Submit {
            correlation: self.correlation,
            ticket: Some(ticket),
            request_id: self.request.request.to_string(),
            class: self.request.class.into(),
            remaining_us: u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX),
            shard: self.request.shard.to_string(),
            key: self.request.key,
            body: self.request.body.clone(),
        };
        actions.push(Action::Send {
            leaf: leaf.clone(),
            submit,
        });
        self.state = State::Sent { leaf, cancelled: false };
    }

    /// Asks the next leaf for a ticket. Asking several is harmless, since unused tickets are forgotten.
    fn request_next_ticket(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let State::RequestingTicket {
            pending,
            untried,
            fallback,
            next_at,
            ..
        } = &mut self.state
        else {
            return;
        };
        let Some(leaf) = untried.pop() else {
            *next_at = self.answer_at;
            return self.finish_if_none_pending(actions);
        };
        let remaining = self.answer_at.saturating_duration_since(now);
        *next_at = now + remaining / TICKET_WAIT_DIVISOR;
        let request = TicketRequest {
            correlation: self.correlation,
            searcher: self.request.searcher.to_string(),
            fallback: *fallback,
        };
        *fallback = true;
        pending.push(leaf.clone());
        actions.push(Action::RequestTicket { leaf, request });
    }

    /// Answers the caller when all leaves asked have refused.
    fn finish_if_none_pending(&mut self, actions: &mut Vec<Action>) {
        let State::RequestingTicket {
            pending, last_refusal, ..
        } = &self.state
        else {
            return;
        };
        if pending.is_empty() {
            let answer = not_run_answer(last_refusal.as_ref());
            self.finish(answer, actions);
        }
    }

    /// Takes the reply of a leaf that was asked for a ticket.
    pub fn on_ticket_reply(&mut self, from: &Peer, reply: TicketReply, now: Instant, actions: &mut Vec<Action>) {
        let State::RequestingTicket {
            pending, last_refusal, ..
        } = &mut self.state
        else {
            return;
        };
        let Some(ix) = pending.iter().position(|peer| peer == from) else {
            return;
        };
        match reply.outcome {
            Some(ticket_reply::Outcome::Ticket(issued)) if is_issued_by(&issued, from, &self.request.searcher) => {
                let ticket = ticket::encode(&issued).into();
                self.finish(Answer::TicketNeeded { ticket }, actions);
            }
            Some(ticket_reply::Outcome::Refusal(refusal)) if is_final(&refusal) => {
                let answer = not_run_answer(Some(&refusal));
                self.finish(answer, actions);
            }
            Some(ticket_reply::Outcome::Refusal(refusal)) => {
                pending.remove(ix);
                *last_refusal = Some(refusal);
                self.request_next_ticket(now, actions);
            }
            Some(ticket_reply::Outcome::Ticket(_)) | None => {
                pending.remove(ix);
                self.request_next_ticket(now, actions);
            }
        }
    }

    /// Takes the reply of the leaf to which the request was sent. Replies of any other leaf or incarnation are ignored,
    /// since they cannot know what became of the ticket.
    pub fn on_submit_reply(&mut self, from: &Peer, reply: SubmitReply, actions: &mut Vec<Action>) {
        let State::Sent { leaf, .. } = &self.state else {
            return;
        };
        if leaf != from {
            return;
        }
        let reason = reply.reason();
        let retry_after = Duration::from_micros(reply.retry_after_us);
        let answer = match reply.outcome() {
            SubmitOutcome::Executed => Answer::Executed {
                status: u16::try_from(reply.status).unwrap_or(200),
                body: reply.body,
                replayed: reply.replayed,
            },
            SubmitOutcome::NotRun => Answer::NotRun { reason, retry_after },
            SubmitOutcome::Unknown => Answer::OutcomeUnknown(UnknownReason::Leaf { reason, retry_after }),
        };
        self.finish(answer, actions);
    }

    /// Takes the loss of a session with a leaf. If the request was sent on it, nothing more can be learnt.
    pub fn on_session_lost(&mut self, lost: &Peer, now: Instant, actions: &mut Vec<Action>) {
        match &mut self.state {
            State::Sent { leaf, .. } if leaf == lost => {
                self.finish(Answer::OutcomeUnknown(UnknownReason::SessionLost), actions);
            }
            State::RequestingTicket { pending, untried, .. } => {
                untried.retain(|peer| peer != lost);
                if let Some(ix) = pending.iter().position(|peer| peer == lost) {
                    pending.remove(ix);
                    self.request_next_ticket(now, actions);
                }
            }
            State::New | State::Sent { .. } | State::Finished => {}
        }
    }

    /// Acts on the time: asks a further leaf, cancels before the deadline, or answers at the deadline. After a pause the
    /// cancellation is sent as well, since it ends work that is still queued.
    pub fn on_wakeup(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let late = now >= self.answer_at;
        match &mut self.state {
            State::RequestingTicket { last_refusal, .. } if late => {
                let answer = not_run_answer(last_refusal.as_ref());
                self.finish(answer, actions);
            }
            State::RequestingTicket { next_at, .. } if now >= *next_at => self.request_next_ticket(now, actions),
            State::Sent { leaf, cancelled } => {
                if now >= self.cancel_at && !*cancelled {
                    *cancelled = true;
                    let cancel = Cancel {
                        correlation: self.correlation,
                        parts: Vec::new(),
                    };
                    let leaf = leaf.clone();
                    actions.push(Action::Cancel { leaf, cancel });
                }
                if late {
                    self.finish(Answer::OutcomeUnknown(UnknownReason::Deadline), actions);
                }
            }
            State::New | State::RequestingTicket { .. } | State::Finished => {}
        }
    }

    fn finish(&mut self, answer: Answer, actions: &mut Vec<Action>) {
        self.state = State::Finished;
        actions.push(Action::Finish(answer));
    }
}

fn is_issued_by(ticket: &Ticket, leaf: &Peer, searcher: &str) -> bool {
    *ticket.instance == *leaf.instance && ticket.incarnation == leaf.incarnation && ticket.searcher == searcher
}

/// Tells whether a refused request for a ticket must not be tried at the next leaf. An overloaded owner still owns the
/// searcher, and a second leaf beside it would add to the load.
fn is_final(refusal: &Refusal) -> bool {
    matches!(refusal.reason(), RefusalReason::QueueFull | RefusalReason::Shedding)
}

/// Answer to a request for which no ticket was had. It was sent to no backend server, so it did not run.
fn not_run_answer(last_refusal: Option<&Refusal>) -> Answer {
    let reason = last_refusal.map_or(RefusalReason::Unreachable, Refusal::reason);
    let retry_after = last_refusal.map_or(Duration::ZERO, |refusal| Duration::from_micros(refusal.retry_after_us));
    Answer::NotRun { reason, retry_after }
}
