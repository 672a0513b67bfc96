//! Inputs and outputs of a lane.

use std::time::Duration;
use std::time::Instant;

use crate::connection::pool::ConnectionId;
use crate::connection::share::Share;
use crate::wire::proto::Class;
use crate::wire::proto::RefusalReason;

/// Number of a work item, chosen by the leaf and never used twice by one lane.
pub type WorkId = u64;

/// One request for the searcher of a lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// Number of the item.
    pub id: WorkId,
    /// Scheduling class.
    pub class: Class,
    /// Time after which the answer is of no use.
    pub deadline: Instant,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether it occupies a slot of the searcher. Reads of the server's state do not.
    pub slotted: bool,
    /// Whether the sender could not reach a holder of a better rank. A successor serves only such work.
    pub fallback: bool,
}

/// Settings of a lane.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LaneConfig {
    /// Slots of the searcher.
    pub slots: u32,
    /// Connections that this instance may hold, by role.
    pub share: Share,
    /// Work items that may wait.
    pub queue_capacity: usize,
    /// Share of the dispatches that routine work keeps while urgent work waits, in `0.0..=1.0`.
    pub routine_share: f64,
    /// Period after taking over without a go-away in which one slot is used.
    pub handover_period: Duration,
}

/// Work items that may wait for one searcher, by default. With 3 slots and a service time of 20 ms this is a backlog of
/// 1.7 s, longer than any deadline of today's services, so that deadlines and not this bound decide.
pub const QUEUE_CAPACITY: usize = 256;

/// Default period in which a leaf that took over without a go-away uses one slot: the bound assumed for the lag of the
/// platform's list.
pub const HANDOVER_PERIOD: Duration = Duration::from_secs(3);

/// Answer of the backend server to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reply {
    /// What the server did with the request.
    pub result: ReplyResult,
    /// Whether the server said that it is leaving.
    pub draining: bool,
}

/// What the backend server did with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyResult {
    /// The request ran.
    Answered {
        /// Time from sending the request to the reply.
        service_time: Duration,
    },
    /// The server refused or gave up the request.
    Refused {
        /// `Shedding` for status 503, `SnapshotGone` for 409, `Cancelled` for 499, `Expired` for 504.
        reason: RefusalReason,
        /// Whether the server stated that it did not start the work.
        not_started: bool,
        /// Time after which a repeat can succeed; zero when the server gave none.
        retry_after: Duration,
    },
}

/// Why an attempt to open a connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenFailure {
    /// The address did not answer, or refused.
    Unreachable,
    /// The server accepted the connection and closed it without a reply, so its connection cap is reached.
    CapReached,
}

/// Final result of a work item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The reply just received is the answer.
    Answered,
    /// There is no answer.
    Refused(Refusal),
}

/// Final refusal of a work item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Time after which a repeat can succeed; zero when it can at once elsewhere.
    pub retry_after: Duration,
    /// Whether the backend server may have begun the work.
    pub may_have_run: bool,
}

/// What the leaf must do for a lane, in the given order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Open a connection and read the server's state on it. Report `on_opened` after that reply, `on_open_failed` with
    /// `CapReached` when the server closes it before, and with `Unreachable` after any other failure.
    Open {
        /// Number of the new connection.
        connection: ConnectionId,
    },
    /// Close the connection, also while it is being opened, and report `on_closed`.
    Close {
        /// Connection to close.
        connection: ConnectionId,
    },
    /// Send the request of `work`. Report `on_reply` or `on_closed`.
    Dispatch {
        /// Connection to use. It carries nothing else until the reply.
        connection: ConnectionId,
        /// Item to send.
        work: WorkId,
        /// Time until the item's deadline, for `x-remaining-ms`.
        remaining: Duration,
    },
    /// Send the cancellation of `work`, which runs on another connection. Report `on_cancel_reply` or `on_closed`.
    SendCancel {
        /// Connection to use.
        connection: ConnectionId,
        /// Item to cancel.
        work: WorkId,
    },
    /// Give the final result of `work` to its sender. Emitted exactly once for each item offered.
    Finish {
        /// Item that ends.
        work: WorkId,
        /// Its result.
        outcome: Outcome,
    },
    /// Close all connections of the lane. The lane is at its end.
    CloseAll,
}

/// State of a lane for reports to entries and for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LaneState {
    /// Expected wait of routine work offered now.
    pub expected_wait: Duration,
    /// Expected service time; zero while unknown.
    pub service_time: Duration,
    /// Items that wait.
    pub queued: u32,
    /// Requests that the server may be running for this lane.
    pub in_flight: u32,
    /// Requests that may be in flight.
    pub limit: u32,
    /// Connections held, open or not.
    pub held: u32,
    /// Connections open.
    pub open: u32,
    /// Whether the searcher is leaving.
    pub draining: bool,
    /// Whether enough connections are open to use all slots.
    pub warm: bool,
}

/// Totals of a lane since it was made, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Requests sent.
    pub dispatched: u64,
    /// Requests sent that had waited for a connection although a slot was free.
    pub connection_waits: u64,
    /// Cancellations sent.
    pub cancels: u64,
    /// Attempts to open a connection.
    pub open_attempts: u64,
    /// Connections that the server refused at its cap.
    pub cap_refusals: u64,
    /// Pauses after which dispatch stopped until the views were confirmed.
    pub pauses: u64,
}
