//! Work items of a leaf, and the delivery of their results to the sender.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;

use crate::connection::backend::BackendResponse;
use crate::connection::backend::SearchResponse;
use crate::connection::lane::work::LaneState;
use crate::connection::lane::work::Refusal;
use crate::connection::lane::work::Work;
use crate::connection::lane::work::WorkId;
use crate::connection::session::SessionHandle;
use crate::ids::SnapshotId;
use crate::process::leaf::lanes::LaneHandle;
use crate::process::leaf::submissions::Submissions;
use crate::process::tickets::WorkId as TicketWorkId;
use crate::wire::proto;
use crate::wire::proto::frame::Body;
use crate::wire::proto::part_result;

/// Request for a searcher, with its payload and the recipient of its result.
#[derive(Debug)]
pub struct WorkItem {
    /// Scheduling attributes used by the lane.
    pub work: Work,
    /// Request body for the backend server.
    pub payload: Payload,
    /// Recipient of the result.
    pub origin: Origin,
}

/// Request body for the backend server.
#[derive(Debug, Clone)]
pub enum Payload {
    /// One part of a search.
    Search {
        /// JSON body.
        body: Bytes,
        /// Snapshot on which the backend server must run the search.
        snapshot: SnapshotId,
    },
    /// A submission.
    Submit {
        /// JSON body.
        body: Bytes,
        /// Request ID sent to the backend server. It identifies the ticket.
        attempt: Box<str>,
    },
}

/// Sender of a work item, which receives its result.
#[derive(Debug, Clone)]
pub enum Origin {
    /// A part of a batch that an entry sent.
    Part {
        /// Pending parts of the session with the entry.
        pending: Arc<PendingParts>,
        /// Key of the part on that session.
        key: PartKey,
    },
    /// A submission. The ticket registry records its outcome.
    Submission {
        /// Submissions of the leaf.
        submissions: Arc<Submissions>,
        /// Identifier of the work in the ticket registry.
        id: TicketWorkId,
    },
}

/// Key of one attempt at a part, unique on its session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PartKey {
    /// Correlation ID of the batch.
    pub correlation: u64,
    /// Number of the part in its query.
    pub part: u32,
    /// Number of the attempt at the part.
    pub attempt: u32,
}

/// Parts received on one session that have not finished.
#[derive(Debug)]
pub struct PendingParts {
    session: SessionHandle,
    parts: Mutex<HashMap<PartKey, (LaneHandle, WorkId)>>,
}

impl PendingParts {
    /// Creates an empty set for a session.
    #[must_use]
    pub fn new(session: SessionHandle) -> Arc<Self> {
        Arc::new(Self {
            session,
            parts: Mutex::default(),
        })
    }

    /// Returns the session.
    #[must_use]
    pub const fn session(&self) -> &SessionHandle {
        &self.session
    }

    /// Returns the number of parts that have not finished.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether all parts have finished.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a part with the lane and work item that a cancellation must reach.
    pub fn insert(&self, key: PartKey, lane: LaneHandle, work: WorkId) {
        self.lock().insert(key, (lane, work));
    }

    /// Removes a part and returns its lane and work item.
    pub fn remove(&self, key: PartKey) -> Option<(LaneHandle, WorkId)> {
        self.lock().remove(&key)
    }

    /// Cancels the given parts of a batch, or the whole batch when `parts` is empty.
    pub fn cancel(&self, correlation: u64, parts: &[proto::PartKey]) {
        let mut cancelled = Vec::new();
        {
            let pending = self.lock();
            if parts.is_empty() {
                let of_batch = pending.iter().filter(|(key, _)| key.correlation == correlation);
                cancelled.extend(of_batch.map(|(_, work)| work.clone()));
            }
            for part in parts {
                let key = PartKey {
                    correlation,
                    part: part.part,
                    attempt: part.attempt,
                };
                cancelled.extend(pending.get(&key).cloned());
            }
        }
        for (lane, work) in cancelled {
            lane.cancel(work);
        }
    }

    /// Cancels all parts. Called when the session has closed.
    pub fn cancel_all(&self) {
        let pending = std::mem::take(&mut *self.lock());
        for (lane, work) in pending.into_values() {
            lane.cancel(work);
        }
    }

    /// Removes a part and sends its result. The result is dropped when the session has closed.
    pub fn send(
        &self,
        key: PartKey,
        outcome: part_result::Outcome,
        lane_state: Option<LaneState>,
        held: Vec<SnapshotId>,
    ) {
        self.remove(key);
        let result = proto::PartResult {
            correlation: key.correlation,
            part: key.part,
            attempt: key.attempt,
            report: lane_state.map(lane_report),
            held,
            outcome: Some(outcome),
        };
        let _sender_gone = self.session.send(Body::PartResult(result));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<PartKey, (LaneHandle, WorkId)>> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Final result of a work item.
#[derive(Debug)]
pub enum WorkResult {
    /// The backend server executed the request.
    Answered(BackendResponse),
    /// The lane or the backend server refused the request, or the connection failed.
    Refused {
        /// Reason of the refusal.
        refusal: Refusal,
        /// Response of the backend server if it was the one that refused.
        reply: Option<BackendResponse>,
    },
}

impl Origin {
    /// Delivers the final result to the sender.
    pub fn finish(&self, result: WorkResult, lane_state: LaneState, held: Vec<SnapshotId>) {
        match self {
            Self::Part { pending, key } => pending.send(*key, part_outcome(result), Some(lane_state), held),
            Self::Submission { submissions, id } => match result {
                WorkResult::Answered(reply) => submissions.finish(*id, Some(reply), None),
                WorkResult::Refused { refusal, reply } => submissions.finish(*id, reply, Some(refusal)),
            },
        }
    }
}

/// Converts the result of a part to its outcome on the wire. A response that cannot be parsed counts as a refusal of
/// work that may have run.
fn part_outcome(result: WorkResult) -> part_result::Outcome {
    match result {
        WorkResult::Answered(reply) => match serde_json::from_slice::<SearchResponse>(&reply.body) {
            Ok(reply) => part_result::Outcome::Hits(wire_hits(reply)),
            Err(_malformed) => refusal_outcome(proto::RefusalReason::Unreachable, Duration::ZERO, true),
        },
        WorkResult::Refused { refusal, .. } => {
            refusal_outcome(refusal.reason, refusal.retry_after, refusal.may_have_run)
        }
    }
}

/// Builds the outcome of a refused part.
#[must_use]
pub fn refusal_outcome(
    reason: proto::RefusalReason,
    retry_after: Duration,
    may_have_run: bool,
) -> part_result::Outcome {
    part_result::Outcome::Refusal(proto::Refusal {
        reason: reason.into(),
        retry_after_us: to_micros(retry_after),
        may_have_run,
    })
}

fn wire_hits(reply: SearchResponse) -> proto::Hits {
    let range = proto::KeyRange {
        start: reply.start,
        end: reply.end,
    };
    let hits = reply.hits.into_iter().map(|hit| proto::Hit {
        key: hit.key,
        document: hit.document,
        score: hit.score,
    });
    proto::Hits {
        snapshot: reply.snapshot,
        range: Some(range),
        truncated: reply.truncated,
        hits: hits.collect(),
    }
}

fn lane_report(state: LaneState) -> proto::LaneReport {
    proto::LaneReport {
        queue_us: to_micros(state.expected_wait),
        service_us: to_micros(state.service_time),
        queued: state.queued,
        in_flight: state.in_flight,
        limit: state.limit,
        draining: state.draining,
    }
}

/// Converts a duration to whole microseconds, saturating at `u64::MAX`.
#[must_use]
pub fn to_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
