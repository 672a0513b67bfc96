//! State machine of a non-idempotent request at the entry.
//!
//! A request without a ticket is answered with one, and the caller repeats the request with it. A request with a ticket
//! is sent only to the leaf that the ticket names, and its outcome is classified. After it was sent, `not_run` is
//! reported only if that leaf confirms it. See `docs/design/at-most-once.md`.

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

/// Time before the deadline at which a request is cancelled at its leaf. It covers the round trip to another data
/// centre (3 ms) and the work of the leaf, so that a request that is still queued ends as `not_run`.
pub const CANCEL_MARGIN: Duration = Duration::from_millis(20);

/// Time before the deadline at which the caller is answered, to cover the network delay to the caller.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(5);

/// Divisor of the remaining time after which the next leaf is asked for a ticket. With 3, a paused owner costs a third
/// of the time, and two more leaves can be asked.
const TICKET_WAIT_DIVISOR: u32 = 3;

/// Identity of a leaf process that the entry has a session with.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Instance of the leaf.
    pub instance: InstanceId,
    /// Incarnation of the leaf process; greater after each restart.
    pub incarnation: Incarnation,
}

/// Non-idempotent request of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identifier of the request, for logs and the leaf.
    pub request: RequestId,
    /// Class with which the leaf queues the request.
    pub class: Class,
    /// Designated searcher of the shard, which the ticket is requested for.
    pub searcher: SearcherId,
    /// Shard that holds the key.
    pub shard: ShardId,
    /// Key that the request writes.
    pub key: u64,
    /// Request body for the backend server.
    pub body: Bytes,
    /// Ticket sent by the caller, decoded by [`ticket::decode`].
    pub ticket: Option<Ticket>,
}

/// Action that the entry must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Request a ticket from a leaf.
    RequestTicket {
        /// Leaf to send the message to.
        leaf: Peer,
        /// Message to send.
        request: TicketRequest,
    },
    /// Send the request to the leaf that its ticket names.
    Send {
        /// Leaf that the ticket names.
        leaf: Peer,
        /// Message to send.
        submit: Submit,
    },
    /// Cancel the request at its leaf.
    Cancel {
        /// Leaf that the request was sent to.
        leaf: Peer,
        /// Message to send.
        cancel: Cancel,
    },
    /// Answer the caller. This is the last action.
    Finish(Answer),
}

/// Progress of a submission.
#[derive(Debug)]
enum State {
    /// Not started yet.
    New,
    /// Requesting a ticket. `pending` are leaves without a reply yet; `untried` is in reverse order of rank.
    RequestingTicket {
        pending: Vec<Peer>,
        untried: Vec<Peer>,
        fallback: bool,
        next_at: Instant,
        last_refusal: Option<Refusal>,
    },
    /// Sent to the leaf that the ticket names.
    Sent { leaf: Peer, cancelled: bool },
    /// The caller was answered.
    Finished,
}

/// State machine of one non-idempotent request.
#[derive(Debug)]
pub struct Submission {
    request: Request,
    correlation: CorrelationId,
    cancel_at: Instant,
    answer_at: Instant,
    state: State,
}

impl Submission {
    /// Creates a submission that must be answered by `deadline`.
    ///
    /// `correlation` must be unique among the requests that this process sends on a session.
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

    /// Starts the submission.
    ///
    /// `leaves` are leaves with an open session. For a request without a ticket they are those that may own the
    /// searcher, the owner first. For a request with a ticket they include the leaf that it names, if there is a
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

    /// Returns the correlation number of the messages of this submission.
    #[must_use]
    pub const fn correlation(&self) -> CorrelationId {
        self.correlation
    }

    /// Returns whether the caller was answered.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        matches!(self.state, State::Finished)
    }

    /// Returns the time of the next call of [`Submission::on_wakeup`], or `None` before the start and after the answer.
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
            // The session is with an earlier incarnation, whose end this entry has not detected yet.
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

    /// Requests a ticket from the next leaf. Several requests do no harm, since leaves discard unused tickets.
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

    /// Answers the caller if no ticket request is pending.
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

    /// Handles the reply of a leaf to a ticket request. Tickets that the leaf did not issue itself are ignored.
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

    /// Handles the reply of the leaf that the request was sent to. Replies from any other leaf or incarnation are
    /// ignored, since these have no record of the ticket.
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

    /// Handles the loss of the session with a leaf. If the request was sent on it, the outcome stays unknown.
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

    /// Handles timers: requests a ticket from another leaf, cancels before the deadline, or answers at the deadline.
    ///
    /// If the process was paused beyond the deadline, the cancellation is still sent, since it ends queued work.
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

/// Returns whether no other leaf may be asked after this refusal. An overloaded owner still owns the searcher, and a
/// second leaf would only add to the load.
fn is_final(refusal: &Refusal) -> bool {
    matches!(refusal.reason(), RefusalReason::QueueFull | RefusalReason::Shedding)
}

/// Returns the answer for a request without a ticket. It was sent to no backend server, so it did not run.
fn not_run_answer(last_refusal: Option<&Refusal>) -> Answer {
    let reason = last_refusal.map_or(RefusalReason::Unreachable, Refusal::reason);
    let retry_after = last_refusal.map_or(Duration::ZERO, |refusal| Duration::from_micros(refusal.retry_after_us));
    Answer::NotRun { reason, retry_after }
}
