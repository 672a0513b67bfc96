//! Register of the tickets that a leaf issued, which makes a non-idempotent request run at most once.
//!
//! The leaf that issues a ticket is the only one that ever dispatches its request, so no agreement on ownership is
//! needed. The register remembers what became of each ticket. A ticket that it does not remember is never dispatched,
//! which covers restarts, expiry and duplicates without further rules. See `docs/design/at-most-once.md`.

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

/// Tickets that a leaf remembers at one time. They take 10 MB (measured, 303 bytes each), without stored bodies. With
/// [`RETENTION`] the bound allows 546 tickets a second; beyond that, requests are refused with a retry-after time.
pub const CAPACITY: usize = 32_768;

/// Time in which a ticket can be used. A caller uses it in its next request.
pub const LIFETIME: Duration = Duration::from_secs(20);

/// Time for which a ticket is remembered after its issue. It is longer than [`LIFETIME`], so that a caller can still ask
/// for the outcome of a request that was sent at the last moment.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Bytes of reply bodies that are stored for repeats, over all tickets. Beyond it only statuses are stored.
pub const STORED_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Requests that wait for the outcome of one ticket at one time. More than a few mean that a caller repeats without
/// waiting.
pub const MAX_WAITERS: usize = 8;

/// Number that the leaf gives to a session with an entry; never used twice by one process.
pub type SessionId = u64;

/// Fixed properties of a register.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the leaf's instance.
    pub instance: InstanceId,
    /// Start of the process. A new start remembers nothing and must not accept the tickets of an earlier one.
    pub incarnation: Incarnation,
    /// Bound on the tickets remembered.
    pub capacity: usize,
    /// Time in which a ticket can be used.
    pub lifetime: Duration,
    /// Time for which a ticket is remembered, at least `lifetime`.
    pub retention: Duration,
    /// Bound on the bytes of stored reply bodies.
    pub body_bytes: usize,
}

impl Settings {
    /// Makes settings with the default bounds.
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

/// Identity of work that the register gave to a lane. A new attempt after a withdrawal has a new identity, so that a
/// late report about the withdrawn work has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkId {
    /// Sequence number of the ticket.
    pub sequence: u64,
    /// Number of the admission of this ticket.
    pub attempt: u32,
}

/// Request to be queued for a searcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// Identity in later calls of the register.
    pub id: WorkId,
    /// Value of `x-request-id` towards the backend server. It names the ticket, so it is unique over all leaves.
    pub dispatch_id: Box<str>,
    /// Identifier of the caller's request, for log lines.
    pub request_id: RequestId,
    /// Searcher that runs it.
    pub searcher: SearcherId,
    /// Class of the request, as on the wire.
    pub class: i32,
    /// Time after which it must not be dispatched.
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
    /// Whether `x-not-started: true` was among the headers.
    pub not_started: bool,
    /// Value of `retry-after-ms`.
    pub retry_after: Duration,
    /// Body of the reply.
    pub body: Bytes,
}

/// What the leaf has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Queue the work in the lane of its searcher. A lane that refuses it calls [`TicketRegistry::on_refused`].
    Enqueue(Work),
    /// Remove queued work from its lane. No report about it is needed.
    Withdraw {
        /// Identity of the work.
        id: WorkId,
        /// Searcher whose lane holds it.
        searcher: SearcherId,
    },
    /// Send a reply to an entry.
    Reply {
        /// Session on which the request came.
        session: SessionId,
        /// The reply.
        reply: SubmitReply,
    },
}

/// Why a submission was answered without a look at its outcome. For log lines and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rejection {
    /// The ticket names another instance, an earlier start of this one, or another searcher than it was issued for.
    Foreign,
    /// The ticket was never issued, or is forgotten.
    Forgotten,
    /// The ticket was used before for a request with another shard, key or body.
    Conflict,
    /// Too many requests wait for the outcome of this ticket.
    Crowded,
}

/// Request that waits for an outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Waiter {
    session: SessionId,
    correlation: CorrelationId,
}

/// Register of one incarnation of a leaf.
#[derive(Debug)]
pub struct TicketRegistry {
    settings: Settings,
    /// Sequence number of the next ticket.
    next_sequence: u64,
    /// Tickets remembered, by sequence number, which is also the order in which they are forgotten.
    records: BTreeMap<u64, Record>,
    /// Ticket that each waiting request asked for.
    waiting: HashMap<Waiter, u64>,
    /// Deadlines of queued work.
    deadlines: BTreeSet<(Instant, u64)>,
    /// Bytes of stored reply bodies.
    stored_bytes: usize,
    running: usize,
}

impl TicketRegistry {
    /// Makes an empty register.
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

    /// Issues a ticket for a request to `searcher`. `unix_ms` is the wall-clock time, from which the ticket carries its
    /// expiry as a hint for callers.
    ///
    /// # Errors
    ///
    /// Returns the time after which a ticket can be had when [`Settings::capacity`] tickets are remembered.
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

    /// Returns the time until the oldest ticket is forgotten.
    fn time_until_free(&self, now: Instant) -> Duration {
        let oldest = self.records.values().find(|record| !record.is_running());
        oldest.map_or(self.settings.retention, |record| {
            record.evict_at.saturating_duration_since(now)
        })
    }

    /// Returns the time of the next call of [`TicketRegistry::on_wakeup`].
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let queued = self.deadlines.first().map(|(deadline, _)| *deadline);
        let oldest = self.records.values().find(|record| !record.is_running());
        let evict = oldest.map(|record| record.evict_at);
        queued.into_iter().chain(evict).min()
    }

    /// Refuses queued work whose deadline has passed and forgets old tickets.
    pub fn on_wakeup(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some((deadline, sequence)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.refuse_queued(sequence, RefusalReason::Expired, Duration::ZERO, actions);
        }
        self.evict(now);
    }

    /// Removes the tickets whose time of memory is over. Running ones stay until their outcome is known, so that their
    /// number is bounded by the slots and not by time.
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

    /// Returns the number of tickets remembered, at most [`Settings::capacity`].
    #[must_use]
    pub fn ticket_count(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of requests dispatched and not ended.
    #[must_use]
    pub const fn running_count(&self) -> usize {
        self.running
    }

    /// Returns the number of requests that wait for an outcome, at most [`MAX_WAITERS`] for each ticket.
    #[must_use]
    pub fn waiter_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the bytes of stored reply bodies, at most [`Settings::body_bytes`].
    #[must_use]
    pub const fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Ends a ticket: records the outcome and answers everyone who waits for it.
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

    /// Ends queued work that was not dispatched and takes it out of its lane.
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

/// Digest over what a ticket may be used for once. The shard is not part of it, since a split renames the shard of a key
/// between two attempts; the ticket itself is bound to its searcher.
fn content_digest(key: u64, body: &[u8]) -> Digest {
    use sha2::Digest as _;
    let mut hasher = sha2::Sha256::new();
    hasher.update(key.to_be_bytes());
    hasher.update(body);
    hasher.finalize().into()
}
