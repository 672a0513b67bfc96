//! Task of one lane: carries out what [`Lane`] decides.
//!
//! Each searcher that this leaf holds has one task, which alone owns the lane's state. Other tasks reach it through a
//! bounded queue of inputs.

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

/// Inputs that wait for one lane. Beyond it offers are refused as `queue_full` at once.
const INPUT_CAPACITY: usize = 1024;

/// Retry-after time when the inputs of a lane are full.
const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Input of a lane task.
#[derive(Debug)]
pub enum LaneInput {
    /// New work.
    Offer(Box<WorkItem>),
    /// The sender of a work withdraws it.
    Cancel(WorkId),
    /// The part of this instance changed.
    Role {
        /// New part.
        role: Role,
        /// Whether the previous owner left without a go-away.
        handover: bool,
    },
    /// The division of the cap or the share of routine work changed.
    Limits {
        /// Connections that this instance may hold, by role.
        share: Share,
        /// Share of the dispatches that routine work keeps.
        routine_share: f64,
    },
    /// The searcher is leaving.
    SearcherLeaving,
    /// The searcher is back.
    SearcherReturned,
    /// The views were refreshed after a pause.
    ViewConfirmed,
    /// A connection task reports.
    Connection {
        /// Connection.
        id: ConnectionId,
        /// What happened.
        event: ConnectionEvent,
    },
    /// End the lane at once.
    Close,
}

/// What lanes tell the leaf.
#[derive(Debug)]
pub enum LaneEvent {
    /// The searcher reported another set of snapshots than before.
    SnapshotsChanged(SearcherId, Vec<SnapshotId>),
    /// A new connection, opened at this time, was answered without the draining flag.
    Usable(SearcherId, Instant),
    /// A reply said that the searcher is leaving.
    Leaving(SearcherId),
    /// The lane stopped after a pause and needs refreshed views.
    Suspended,
}

/// Sending side of a lane task.
#[derive(Debug, Clone)]
pub struct LaneHandle {
    inputs: mpsc::Sender<LaneInput>,
    state: watch::Receiver<Option<LaneState>>,
}

impl LaneHandle {
    /// Offers work. Work that finds the inputs full is refused at once.
    pub fn offer(&self, item: WorkItem) {
        let (refused, reason, retry_after) = match self.inputs.try_send(LaneInput::Offer(Box::new(item))) {
            Ok(()) => return,
            Err(mpsc::error::TrySendError::Full(input)) => (input, RefusalReason::QueueFull, QUEUE_FULL_RETRY_AFTER),
            // The lane ended because another leaf holds the searcher now. This must not look like overload.
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

    /// Withdraws a work. Without room in the queue the cancellation is dropped, and the deadline ends the work.
    pub fn cancel(&self, work: WorkId) {
        let _full_or_closed = self.inputs.try_send(LaneInput::Cancel(work));
    }

    /// Sends an input that must not be lost.
    pub async fn send(&self, input: LaneInput) {
        let _lane_ended = self.inputs.send(input).await;
    }

    /// Returns the last published state.
    #[must_use]
    pub fn state(&self) -> Option<LaneState> {
        *self.state.borrow()
    }

    /// Waits until the lane has neither waiting nor running work.
    pub async fn wait_idle(&self) {
        let mut state = self.state.clone();
        let is_idle = |state: &Option<LaneState>| state.is_none_or(|state| state.queued == 0 && state.in_flight == 0);
        let _lane_ended = state.wait_for(is_idle).await;
    }
}

/// Everything a lane task needs besides its inputs.
#[derive(Debug, Clone)]
pub struct LaneContext {
    /// Name of the searcher.
    pub searcher: SearcherId,
    /// Prefix of the identities of attempts, unique for each start of a process, so that a cancellation never meets a
    /// request of another leaf at the same server.
    pub id_prefix: Box<str>,
    /// Address of the searcher.
    pub address: SocketAddr,
    /// Settings of the lane.
    pub config: LaneConfig,
    /// Timer service.
    pub timer: Timer,
    /// Metrics.
    pub metrics: Metrics,
    /// Receiver of news.
    pub events: mpsc::Sender<LaneEvent>,
    /// Logger.
    pub log: Logger,
}

/// Starts a lane task.
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
