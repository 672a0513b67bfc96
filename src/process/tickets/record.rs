//! Stored state of one ticket.

use std::mem;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use crate::ids::CorrelationId;
use crate::ids::Digest;
use crate::ids::SearcherId;
use crate::process::tickets::Settings;
use crate::process::tickets::Waiter;
use crate::wire::proto::RefusalReason;
use crate::wire::proto::SubmitOutcome;
use crate::wire::proto::SubmitReply;

/// Ticket in the registry.
#[derive(Debug)]
pub(crate) struct Record {
    pub searcher: SearcherId,
    pub usable_until: Instant,
    pub evict_at: Instant,
    /// Digest of the first request that used the ticket.
    pub digest: Option<Digest>,
    /// Number of times that the request was enqueued.
    pub attempt: u32,
    pub state: State,
}

/// Progress of the request of a ticket.
#[derive(Debug)]
pub(crate) enum State {
    /// Not enqueued: the ticket was not used, or all sessions that waited for it closed before the dispatch.
    Idle,
    /// Enqueued in a lane and not dispatched.
    Queued { deadline: Instant, waiters: Vec<Waiter> },
    /// Dispatched, or its bytes are about to be written.
    Running { waiters: Vec<Waiter> },
    /// Finished. This state is final.
    Done(Outcome),
}

/// Outcome of the request of a ticket, as known to this leaf.
#[derive(Debug, Clone)]
pub(crate) enum Outcome {
    Executed {
        status: u16,
        body: Bytes,
    },
    NotRun {
        reason: RefusalReason,
        retry_after: Duration,
    },
    Unknown {
        reason: RefusalReason,
        retry_after: Duration,
    },
}

impl Record {
    pub fn new(searcher: &str, now: Instant, settings: &Settings) -> Self {
        Self {
            searcher: searcher.into(),
            usable_until: now + settings.lifetime,
            evict_at: now + settings.retention,
            digest: None,
            attempt: 0,
            state: State::Idle,
        }
    }

    pub const fn is_running(&self) -> bool {
        matches!(self.state, State::Running { .. })
    }

    /// Returns whether the request is neither queued nor running.
    pub const fn is_settled(&self) -> bool {
        matches!(self.state, State::Idle | State::Done(_))
    }

    pub const fn stored_bytes(&self) -> usize {
        match &self.state {
            State::Done(Outcome::Executed { body, .. }) => body.len(),
            _ => 0,
        }
    }

    pub fn waiters_mut(&mut self) -> Option<&mut Vec<Waiter>> {
        match &mut self.state {
            State::Queued { waiters, .. } | State::Running { waiters } => Some(waiters),
            State::Idle | State::Done(_) => None,
        }
    }

    pub fn take_waiters(&mut self) -> Vec<Waiter> {
        self.waiters_mut().map(mem::take).unwrap_or_default()
    }
}

impl Outcome {
    /// Creates the reply that reports this outcome.
    pub fn reply(&self, correlation: CorrelationId, replayed: bool) -> SubmitReply {
        let mut reply = SubmitReply {
            correlation,
            replayed,
            ..SubmitReply::default()
        };
        match self {
            Self::Executed { status, body } => {
                reply.set_outcome(SubmitOutcome::Executed);
                reply.status = u32::from(*status);
                reply.body = body.clone();
            }
            Self::NotRun { reason, retry_after } => {
                reply.set_outcome(SubmitOutcome::NotRun);
                reply.set_reason(*reason);
                reply.retry_after_us = to_micros(*retry_after);
            }
            Self::Unknown { reason, retry_after } => {
                reply.set_outcome(SubmitOutcome::Unknown);
                reply.set_reason(*reason);
                reply.retry_after_us = to_micros(*retry_after);
            }
        }
        reply
    }

    /// Drops a body larger than `max_bytes`. A retry then receives the status with an empty body.
    pub fn limit_body(self, max_bytes: usize) -> Self {
        match self {
            Self::Executed { status, body } if body.len() > max_bytes => Self::Executed {
                status,
                body: Bytes::new(),
            },
            // Copy the body because it may be a slice that keeps a larger buffer alive.
            Self::Executed { status, body } => Self::Executed {
                status,
                body: Bytes::copy_from_slice(&body),
            },
            other => other,
        }
    }
}

fn to_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
