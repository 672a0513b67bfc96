//! Inputs and outputs of a lane: work items, replies, actions and reports.

use std::time::Duration;
use std::time::Instant;

use crate::connection::pool::ConnectionId;
use crate::connection::share::Share;
use crate::wire::proto::Class;
use crate::wire::proto::RefusalReason;

/// Identifier of a work item, chosen by the leaf and never reused within one lane.
pub type WorkId = u64;

/// One request to the searcher of a lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// Identifier of the item.
    pub id: WorkId,
    /// Scheduling class.
    pub class: Class,
    /// Time after which the caller no longer needs a reply.
    pub deadline: Instant,
    /// Whether the request can run twice without harm.
    pub idempotent: bool,
    /// Whether the request occupies a slot of the searcher. Reads of the server's state do not.
    pub slotted: bool,
    /// Whether the sender could not reach a holder of a better rank. A successor accepts only such work.
    pub fallback: bool,
}

/// Configuration of a lane.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LaneConfig {
    /// Slots of the searcher.
    pub slots: u32,
    /// Connections that this instance may hold, by role.
    pub share: Share,
    /// Maximum number of queued work items.
    pub queue_capacity: usize,
    /// Share of the dispatches that routine work keeps while urgent work waits, in `0.0..=1.0`.
    pub routine_share: f64,
    /// Period after a takeover without a go-away during which only one slot is used.
    pub handover_period: Duration,
}

/// Default maximum number of queued work items for one searcher. With 3 slots and a service time of 20 ms, a full queue
/// is a backlog of 1.7 s. This is longer than the usual deadlines, so that work is refused because of its deadline and
/// not because the queue is full.
pub const QUEUE_CAPACITY: usize = 256;

/// Default period during which a leaf that took over without a go-away uses one slot. It is the assumed bound on the
/// lag of the platform's list.
pub const HANDOVER_PERIOD: Duration = Duration::from_secs(3);

/// Reply of the backend server to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reply {
    /// Result of the request.
    pub result: ReplyResult,
    /// Whether the server announced that it is leaving.
    pub draining: bool,
}

/// Result of one request at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyResult {
    /// The request was executed.
    Answered {
        /// Time from sending the request to the reply.
        service_time: Duration,
    },
    /// The server refused or aborted the request.
    Refused {
        /// `Shedding` for status 503, `SnapshotGone` for 409, `Cancelled` for 499, `Expired` for 504.
        reason: RefusalReason,
        /// Whether the server confirmed that it did not start the work.
        not_started: bool,
        /// Time after which a retry can succeed; zero if the server gave none.
        retry_after: Duration,
    },
}

/// Reason why an attempt to open a connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenFailure {
    /// The address did not respond, or refused the connection.
    Unreachable,
    /// The server accepted the connection and closed it without a reply, which means that its connection cap is
    /// reached.
    CapReached,
}

/// Final result of a work item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request was executed; the reply just received is its result.
    Answered,
    /// The request has no result.
    Refused(Refusal),
}

/// Final refusal of a work item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which a retry can succeed; zero if it can succeed elsewhere at once.
    pub retry_after: Duration,
    /// Whether the backend server may have started the work.
    pub may_have_run: bool,
}

/// Action that the leaf must carry out for a lane. Actions are carried out in the order in which they are appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Open a connection and read the server's state on it. Report `on_opened` after the reply to that read,
    /// `on_open_failed` with `CapReached` if the server closes the connection before it, and with `Unreachable` after
    /// any other failure.
    Open {
        /// Identifier of the new connection.
        connection: ConnectionId,
    },
    /// Close the connection, even while it is being opened, and report `on_closed`.
    Close {
        /// Connection to close.
        connection: ConnectionId,
    },
    /// Send the request of `work`. Report `on_reply` or `on_closed`.
    Dispatch {
        /// Connection to use. It carries no other request until the reply.
        connection: ConnectionId,
        /// Item to send.
        work: WorkId,
        /// Remaining time until the deadline of the item, sent as `x-remaining-ms`.
        remaining: Duration,
    },
    /// Send a cancellation of `work`, which runs on another connection. Report `on_cancel_reply` or `on_closed`.
    SendCancel {
        /// Connection to use.
        connection: ConnectionId,
        /// Item to cancel.
        work: WorkId,
    },
    /// Return the final result of `work` to its sender. Emitted exactly once for each work item.
    Finish {
        /// Item that has finished.
        work: WorkId,
        /// Final result.
        outcome: Outcome,
    },
    /// Close all connections of the lane. No action follows.
    CloseAll,
}

/// State of a lane, reported to entries and exported as metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LaneState {
    /// Expected wait of routine work offered now.
    pub expected_wait: Duration,
    /// Estimated service time; zero while unknown.
    pub service_time: Duration,
    /// Number of queued items.
    pub queued: u32,
    /// Number of requests that the server may be running for this lane.
    pub in_flight: u32,
    /// Maximum number of requests in flight.
    pub limit: u32,
    /// Number of connections, including those being opened or closed.
    pub held: u32,
    /// Number of open connections.
    pub open: u32,
    /// Whether the searcher is leaving.
    pub draining: bool,
    /// Whether enough connections are open to use all slots.
    pub warm: bool,
}

/// Totals of a lane since its creation, exported as metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Requests sent.
    pub dispatched: u64,
    /// Requests sent after waiting for a connection although a slot was free.
    pub connection_waits: u64,
    /// Cancellations sent.
    pub cancels: u64,
    /// Attempts to open a connection.
    pub open_attempts: u64,
    /// Connections that the server refused because its cap was reached.
    pub cap_refusals: u64,
    /// Pauses of the process after which dispatch was suspended until the views were confirmed.
    pub pauses: u64,
}
