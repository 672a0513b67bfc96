//! Registry of the tickets that a leaf issued. It ensures that a non-idempotent request runs at most once.
//!
//! Only the leaf that issued a ticket dispatches its request, so leaves need not agree on the owner of a searcher. The
//! registry stores the state of each ticket until the ticket is evicted, and never dispatches a ticket without a stored
//! state. This rule covers restarts, expiry and duplicates. See `docs/design/at-most-once.md`.

mod lifecycle;
mod record;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use crate::ids::CorrelationId;
use crate::ids::Digest;
use crate::ids::Incarnation;
use crate::ids::InstanceId;
use crate::ids::RequestId;
use crate::ids::SearcherId;
use crate::ids::ShardId;
use crate::process::tickets::record::Outcome;
use crate::process::tickets::record::Record;
use crate::process::tickets::record::State;
use crate::wire::proto::RefusalReason;
use crate::wire::proto::SubmitReply;
use crate::wire::proto::Ticket;

/// Default maximum number of tickets in the registry of a leaf.
///
/// They take 10 MB (303 bytes each) without stored bodies. With [`RETENTION`] the limit allows 546 tickets a second.
/// Above that rate, ticket requests are refused with a retry-after time.
pub const CAPACITY: usize = 32_768;

/// Default time after the issue during which a ticket can be used. Callers normally use a ticket in their next request.
pub const LIFETIME: Duration = Duration::from_secs(20);

/// Default time after the issue for which a ticket is retained. It exceeds [`LIFETIME`] so that a caller can still ask
/// for the outcome of a request that was sent shortly before the ticket expired.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Default maximum size in bytes of the reply bodies stored for retries of all tickets. A reply whose body does not fit
/// is stored with its status only.
pub const STORED_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of requests that wait for the outcome of one ticket. More than a few indicate a caller that retries
/// without waiting.
pub const MAX_WAITERS: usize = 8;

/// Number that the leaf assigns to a session with an entry. A process never reuses one.
pub type SessionId = u64;

/// Settings of a registry.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Instance name of the leaf.
    pub instance: InstanceId,
    /// Incarnation of the process. A restarted process has no stored tickets and must reject those issued before.
    pub incarnation: Incarnation,
    /// Maximum number of tickets in the registry.
    pub capacity: usize,
    /// Time after the issue during which a ticket can be used.
    pub lifetime: Duration,
    /// Time after the issue for which a ticket is retained, at least `lifetime`.
    pub retention: Duration,
    /// Maximum size of all stored reply bodies, in bytes.
    pub body_bytes: usize,
}

impl Settings {
    /// Creates settings with the default limits.
    #[must_use]
    pub fn new(instance: &str, incarnation: Incarnation) -> Self {
        Self {
            instance: instance.into(),
            incarnation,
            capacity: CAPACITY,
            lifetime: LIFETIME,
            retention: RETENTION,
            body_bytes: STORED_BODY_BYTES,
        }
    }
}

/// Identifier of work that the registry enqueued in a lane. An attempt after a withdrawal gets a new identifier, so
/// that a late report about the withdrawn work has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkId {
    /// Sequence number of the ticket.
    pub sequence: u64,
    /// Number of times that the request of the ticket was enqueued, including this one.
    pub attempt: u32,
}

/// Request to enqueue for a searcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// Identifier for later calls to the registry.
    pub id: WorkId,
    /// Value of the `x-request-id` header in the request to the backend server. It identifies the ticket and is unique
    /// across all leaves.
    pub dispatch_id: Box<str>,
    /// ID of the caller's request, for log lines.
    pub request_id: RequestId,
    /// Searcher that executes the request.
    pub searcher: SearcherId,
    /// Scheduling class as encoded in the protocol.
    pub class: i32,
    /// Time from which the request must not be dispatched.
    pub deadline: Instant,
    /// Shard that holds the key.
    pub shard: ShardId,
    /// Key that the request writes.
    pub key: u64,
    /// Body of the request.
    pub body: Bytes,
}

/// Reply of a backend server to dispatched work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendReply {
    /// HTTP status.
    pub status: u16,
    /// Whether the reply has the header `x-not-started: true`.
    pub not_started: bool,
    /// Value of the `retry-after-ms` header, zero if absent.
    pub retry_after: Duration,
    /// Body of the reply.
    pub body: Bytes,
}

/// Action that the leaf must perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Enqueue the work in the lane of its searcher. If the lane refuses it, call [`TicketRegistry::on_refused`].
    Enqueue(Work),
    /// Remove queued work from its lane. The registry needs no confirmation.
    Withdraw {
        /// Identifier of the work.
        id: WorkId,
        /// Searcher whose lane holds the work.
        searcher: SearcherId,
    },
    /// Send a reply to an entry.
    Reply {
        /// Session on which the request arrived.
        session: SessionId,
        /// Reply to send.
        reply: SubmitReply,
    },
}

/// Reason why a submission was rejected without a lookup of its outcome. Printed in a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rejection {
    /// The ticket was issued by another instance or incarnation, or for another searcher.
    Foreign,
    /// The ticket is not in the registry: it was never issued or has been evicted.
    Forgotten,
    /// The ticket was used for a request with another key or body, or its correlation ID is in use for another ticket.
    Conflict,
    /// [`MAX_WAITERS`] requests already wait for the outcome of the ticket.
    Crowded,
}

/// Request that waits for the outcome of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Waiter {
    session: SessionId,
    correlation: CorrelationId,
}

/// Tickets of one incarnation of a leaf.
#[derive(Debug)]
pub struct TicketRegistry {
    settings: Settings,
    /// Sequence number of the next ticket.
    next_sequence: u64,
    /// Retained tickets by sequence number, which is also the order of their eviction times.
    records: BTreeMap<u64, Record>,
    /// Sequence number of the ticket that each request waits for.
    waiting: HashMap<Waiter, u64>,
    /// Deadlines and sequence numbers of queued work.
    deadlines: BTreeSet<(Instant, u64)>,
    /// Total size of stored reply bodies.
    stored_bytes: usize,
    running: usize,
}

impl TicketRegistry {
    /// Creates an empty registry.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            next_sequence: 1,
            records: BTreeMap::new(),
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
            stored_bytes: 0,
            running: 0,
        }
    }

    /// Issues a ticket for a request to `searcher`. `unix_ms` is the current wall-clock time in milliseconds since the
    /// Unix epoch. The expiry time in the ticket derives from it and is only a hint for callers.
    ///
    /// # Errors
    ///
    /// If the registry holds [`Settings::capacity`] tickets, returns the time after which to retry.
    pub fn issue(&mut self, searcher: &str, now: Instant, unix_ms: u64) -> Result<Ticket, Duration> {
        self.evict(now);
        if self.records.len() >= self.settings.capacity {
            return Err(self.time_until_free(now));
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let record = Record::new(searcher, now, &self.settings);
        self.records.insert(sequence, record);
        let lifetime = u64::try_from(self.settings.lifetime.as_millis()).unwrap_or(u64::MAX);
        Ok(Ticket {
            instance: self.settings.instance.to_string(),
            incarnation: self.settings.incarnation,
            sequence,
            searcher: searcher.to_owned(),
            expires_unix_ms: unix_ms.saturating_add(lifetime),
        })
    }

    /// Returns the time until the oldest ticket without running work can be evicted.
    fn time_until_free(&self, now: Instant) -> Duration {
        let oldest = self.records.values().find(|record| !record.is_running());
        oldest.map_or(self.settings.retention, |record| {
            record.evict_at.saturating_duration_since(now)
        })
    }

    /// Returns the time at which [`TicketRegistry::on_wakeup`] must be called next.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let queued = self.deadlines.first().map(|(deadline, _)| *deadline);
        let oldest = self.records.values().find(|record| !record.is_running());
        let evict = oldest.map(|record| record.evict_at);
        queued.into_iter().chain(evict).min()
    }

    /// Refuses queued work whose deadline has passed and evicts old tickets.
    pub fn on_wakeup(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some((deadline, sequence)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.refuse_queued(sequence, RefusalReason::Expired, Duration::ZERO, actions);
        }
        self.evict(now);
    }

    /// Removes the tickets whose retention time is over. A ticket with running work is retained until the outcome is
    /// known. The number of such tickets is bounded by the slots instead.
    fn evict(&mut self, now: Instant) {
        let expired = self.records.iter().take_while(|(_, record)| record.evict_at <= now);
        let expired: Vec<u64> = expired
            .filter(|(_, record)| record.is_settled())
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in expired {
            if let Some(record) = self.records.remove(&sequence) {
                self.stored_bytes -= record.stored_bytes();
            }
        }
    }

    /// Returns the number of retained tickets, at most [`Settings::capacity`].
    #[must_use]
    pub fn ticket_count(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of dispatched requests whose outcome is pending.
    #[must_use]
    pub const fn running_count(&self) -> usize {
        self.running
    }

    /// Returns the number of requests that wait for an outcome, at most [`MAX_WAITERS`] for each ticket.
    #[must_use]
    pub fn waiter_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the total size of stored reply bodies in bytes, at most [`Settings::body_bytes`].
    #[must_use]
    pub const fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Records the outcome of a ticket and replies to all requests that wait for it.
    fn finish(&mut self, sequence: u64, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(record) = self.records.get_mut(&sequence) else {
            return;
        };
        match &record.state {
            State::Queued { deadline, .. } => {
                self.deadlines.remove(&(*deadline, sequence));
            }
            State::Running { .. } => self.running -= 1,
            State::Idle | State::Done(_) => {}
        }
        for waiter in record.take_waiters() {
            self.waiting.remove(&waiter);
            actions.push(reply_action(waiter, outcome.reply(waiter.correlation, false)));
        }
        let outcome = outcome.limit_body(self.settings.body_bytes - self.stored_bytes);
        record.state = State::Done(outcome);
        self.stored_bytes += record.stored_bytes();
    }

    /// Withdraws queued work from its lane and records that it did not run.
    fn refuse_queued(
        &mut self,
        sequence: u64,
        reason: RefusalReason,
        retry_after: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get(&sequence) else {
            return;
        };
        actions.push(Action::Withdraw {
            id: WorkId {
                sequence,
                attempt: record.attempt,
            },
            searcher: record.searcher.clone(),
        });
        self.finish(sequence, Outcome::NotRun { reason, retry_after }, actions);
    }
}

fn reply_action(waiter: Waiter, reply: SubmitReply) -> Action {
    Action::Reply {
        session: waiter.session,
        reply,
    }
}

/// Returns the digest of the request content that a ticket is bound to at its first use.
///
/// The shard is not included because a split between two attempts changes the shard of a key. The searcher is part of
/// the ticket itself.
fn content_digest(key: u64, body: &[u8]) -> Digest {
    use sha2::Digest as _;
    let mut hasher = sha2::Sha256::new();
    hasher.update(key.to_be_bytes());
    hasher.update(body);
    hasher.finalize().into()
}
