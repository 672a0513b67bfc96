//! Work items of a leaf and the way of their results back to the sender.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;

use crate::connection::backend::HttpReply;
use crate::connection::backend::SearchReply;
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

/// Request for a searcher with everything needed to send it and to answer its sender.
#[derive(Debug)]
pub struct WorkItem {
    /// What the lane decides on.
    pub work: Work,
    /// What is sent to the backend server.
    pub payload: Payload,
    /// Who gets the result.
    pub origin: Origin,
}

/// What is sent to the backend server.
#[derive(Debug, Clone)]
pub enum Payload {
    /// Part of a search.
    Search {
        /// JSON body.
        body: Bytes,
        /// Snapshot that the reply must reflect.
        snapshot: SnapshotId,
    },
    /// Submission.
    Submit {
        /// JSON body.
        body: Bytes,
        /// Identity of the attempt at the backend server, which names the ticket.
        attempt: Box<str>,
    },
}

/// Who gets the result of a work item.
#[derive(Debug, Clone)]
pub enum Origin {
    /// A part of a batch of an entry.
    Part {
        /// Works of the entry's session.
        pending: Arc<PendingParts>,
        /// Identity of the part on that session.
        key: PartKey,
    },
    /// A submission, whose outcome the register records.
    Submission {
        /// Submissions of the leaf.
        submissions: Arc<Submissions>,
        /// Identity of the work in the register.
        id: TicketWorkId,
    },
}

/// Identity of a part on one session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PartKey {
    /// Correlation of the batch.
    pub correlation: u64,
    /// Number of the part.
    pub part: u32,
    /// Number of the attempt.
    pub attempt: u32,
}

/// Works that came in on one session and are not finished.
#[derive(Debug)]
pub struct PendingParts {
    session: SessionHandle,
    parts: Mutex<HashMap<PartKey, (LaneHandle, WorkId)>>,
}

impl PendingParts {
    /// Makes an empty set for a session.
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

    /// Returns the number of works that are not finished.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Tells whether all works are finished.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Remembers a work, so that a cancellation finds it.
    pub fn insert(&self, key: PartKey, lane: LaneHandle, work: WorkId) {
        self.lock().insert(key, (lane, work));
    }

    /// Forgets a work.
    pub fn remove(&self, key: PartKey) -> Option<(LaneHandle, WorkId)> {
        self.lock().remove(&key)
    }

    /// Cancels the works of some parts, or of a whole batch when `parts` is empty.
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

    /// Cancels everything, because the sender is gone.
    pub fn cancel_all(&self) {
        let pending = std::mem::take(&mut *self.lock());
        for (lane, work) in pending.into_values() {
            lane.cancel(work);
        }
    }

    /// Sends the result of a part. A closed session needs no result.
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
    /// The backend server answered.
    Answered(HttpReply),
    /// There is no answer.
    Refused {
        /// Why.
        refusal: Refusal,
        /// Reply of the backend server, when it refused the work itself.
        reply: Option<HttpReply>,
    },
}

impl Origin {
    /// Gives the final result to the sender.
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

fn part_outcome(result: WorkResult) -> part_result::Outcome {
    match result {
        WorkResult::Answered(reply) => match serde_json::from_slice::<SearchReply>(&reply.body) {
            Ok(reply) => part_result::Outcome::Hits(wire_hits(reply)),
            Err(_malformed) => refusal_outcome(proto::RefusalReason::Unreachable, Duration::ZERO, true),
        },
        WorkResult::Refused { refusal, .. } => {
            refusal_outcome(refusal.reason, refusal.retry_after, refusal.may_have_run)
        }
    }
}

/// Makes the outcome of a refused part.
#[must_use]
pub fn refusal_outcome(
    reason: proto::RefusalReason,
    retry_after: Duration,
    may_have_run: bool,
) -> part_result::Outcome {
    part_result::Outcome::Refusal(proto::Refusal {
        reason: reason.into(),
        retry_after_us: micros(retry_after),
        may_have_run,
    })
}

fn wire_hits(reply: SearchReply) -> proto::Hits {
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
        queue_us: micros(state.expected_wait),
        service_us: micros(state.service_time),
        queued: state.queued,
        in_flight: state.in_flight,
        limit: state.limit,
        draining: state.draining,
    }
}

/// Converts a duration to whole microseconds.
#[must_use]
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
