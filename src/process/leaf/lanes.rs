//! Lane tasks, which drive the [`Lane`] state machine and execute its actions.
//!
//! A leaf runs one task for each searcher that it holds. The task owns the state of the lane; other tasks send it
//! inputs over a bounded channel.

mod requests;
mod task;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::connection::lane::Lane;
use crate::connection::lane::work::LaneConfig;
use crate::connection::lane::work::LaneState;
use crate::connection::lane::work::Refusal;
use crate::connection::lane::work::WorkId;
use crate::connection::pool::ConnectionId;
use crate::connection::share::Role;
use crate::connection::share::Share;
use crate::ids::SearcherId;
use crate::ids::SnapshotId;
use crate::process::leaf::connections::ConnectionEvent;
use crate::process::leaf::lanes::task::LaneTask;
use crate::process::leaf::work::WorkItem;
use crate::process::leaf::work::WorkResult;
use crate::process::metrics::Metrics;
use crate::process::timer::Timer;
use crate::wire::proto::RefusalReason;

/// Capacity of the input channel of a lane. When it is full, offered work is refused immediately as `queue_full`.
const INPUT_CAPACITY: usize = 1024;

/// Retry-after time of work refused because the input channel of a lane is full.
const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Input of a lane task.
#[derive(Debug)]
pub enum LaneInput {
    /// Offers new work.
    Offer(Box<WorkItem>),
    /// Cancels work on behalf of its sender.
    Cancel(WorkId),
    /// The role of this instance for the searcher changed.
    Role {
        /// New role.
        role: Role,
        /// Whether the handover period applies, because the previous owner sent no go-away and may still dispatch.
        handover: bool,
    },
    /// The connection share of this instance or the share of routine work changed.
    Limits {
        /// Connections that this instance may hold, by role.
        share: Share,
        /// Share of the dispatches reserved for routine work, in `0.0..=1.0`.
        routine_share: f64,
    },
    /// The searcher is leaving.
    SearcherLeaving,
    /// The searcher accepts work again after leaving.
    SearcherReturned,
    /// The membership view is current, also after a pause of the process.
    ViewConfirmed,
    /// An event of a connection task.
    Connection {
        /// Connection that the event concerns.
        id: ConnectionId,
        /// The event.
        event: ConnectionEvent,
    },
    /// Closes the lane without waiting for work in flight.
    Close,
}

/// Event that a lane reports to its leaf.
#[derive(Debug)]
pub enum LaneEvent {
    /// The searcher reported a changed set of snapshots.
    SnapshotsChanged(SearcherId, Vec<SnapshotId>),
    /// The searcher replied without the draining flag on a connection whose opening began at this time.
    Usable(SearcherId, Instant),
    /// A reply had the draining flag.
    Leaving(SearcherId),
    /// The lane suspended dispatch after a pause of the process and needs a view that was confirmed after it.
    Suspended,
}

/// Handle through which other tasks use a lane task.
#[derive(Debug, Clone)]
pub struct LaneHandle {
    inputs: mpsc::Sender<LaneInput>,
    state: watch::Receiver<Option<LaneState>>,
}

impl LaneHandle {
    /// Offers work to the lane. If the input channel is full or closed, the work is refused immediately.
    pub fn offer(&self, item: WorkItem) {
        let (refused, reason, retry_after) = match self.inputs.try_send(LaneInput::Offer(Box::new(item))) {
            Ok(()) => return,
            Err(mpsc::error::TrySendError::Full(input)) => (input, RefusalReason::QueueFull, QUEUE_FULL_RETRY_AFTER),
            // Another leaf holds the searcher now. The entry must not treat this refusal as overload.
            Err(mpsc::error::TrySendError::Closed(input)) => (input, RefusalReason::NotOwner, Duration::ZERO),
        };
        let LaneInput::Offer(item) = refused else { return };
        let refusal = Refusal {
            reason,
            retry_after,
            may_have_run: false,
        };
        let state = self.state().unwrap_or_else(|| idle_state(false));
        let result = WorkResult::Refused { refusal, reply: None };
        item.origin.finish(result, state, Vec::new());
    }

    /// Cancels work. If the input channel is full the cancellation is dropped, and the work ends at its deadline.
    pub fn cancel(&self, work: WorkId) {
        let _full_or_closed = self.inputs.try_send(LaneInput::Cancel(work));
    }

    /// Sends an input and waits for room in the channel. Has no effect when the lane has ended.
    pub async fn send(&self, input: LaneInput) {
        let _lane_ended = self.inputs.send(input).await;
    }

    /// Returns the last published state, or `None` before the first one and after the lane ended.
    #[must_use]
    pub fn state(&self) -> Option<LaneState> {
        *self.state.borrow()
    }

    /// Waits until no work is queued or in flight.
    pub async fn wait_idle(&self) {
        let mut state = self.state.clone();
        let is_idle = |state: &Option<LaneState>| state.is_none_or(|state| state.queued == 0 && state.in_flight == 0);
        let _lane_ended = state.wait_for(is_idle).await;
    }
}

/// Configuration and dependencies of a lane task.
#[derive(Debug, Clone)]
pub struct LaneContext {
    /// Name of the searcher.
    pub searcher: SearcherId,
    /// Prefix of the request IDs sent to the backend server. It is unique to each start of a process, so that a
    /// cancellation cannot match a request of another leaf at the same server.
    pub id_prefix: Box<str>,
    /// Address of the searcher.
    pub address: SocketAddr,
    /// Settings of the lane.
    pub config: LaneConfig,
    /// Clock and timers of the process.
    pub timer: Timer,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Channel to the leaf for lane events.
    pub events: mpsc::Sender<LaneEvent>,
    /// Logger of the process.
    pub log: Logger,
}

/// Spawns a lane task. `seed` initialises its random number generator.
#[must_use]
pub fn start(context: LaneContext, seed: u64) -> LaneHandle {
    let (inputs, receiver) = mpsc::channel(INPUT_CAPACITY);
    let (state_sender, state) = watch::channel(None);
    let now = context.timer.now();
    let lane = Lane::new(context.config, SmallRng::seed_from_u64(seed), now);
    let task = LaneTask::new(lane, context, inputs.clone(), state_sender);
    tokio::spawn(task.run(receiver));
    LaneHandle { inputs, state }
}

/// Returns the name of a reason for logs and metric labels.
#[must_use]
pub const fn reason_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Unspecified => "unspecified",
        RefusalReason::NotOwner => "not_owner",
        RefusalReason::QueueFull => "queue_full",
        RefusalReason::Expired => "expired",
        RefusalReason::Shedding => "shedding",
        RefusalReason::Draining => "draining",
        RefusalReason::SnapshotGone => "snapshot_gone",
        RefusalReason::Unreachable => "unreachable",
        RefusalReason::Cancelled => "cancelled",
        RefusalReason::UnknownSearcher => "unknown_searcher",
    }
}

const fn idle_state(draining: bool) -> LaneState {
    LaneState {
        expected_wait: Duration::ZERO,
        service_time: Duration::ZERO,
        queued: 0,
        in_flight: 0,
        limit: 0,
        held: 0,
        open: 0,
        draining,
        warm: false,
    }
}
