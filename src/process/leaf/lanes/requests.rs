//! Conversion of work to HTTP requests, and of HTTP responses to lane results.

use std::time::Duration;

use http::Method;

use crate::connection::backend::BackendRequest;
use crate::connection::backend::BackendResponse;
use crate::connection::backend::STATUS_CANCELLED;
use crate::connection::lane::work::Refusal;
use crate::connection::lane::work::ReplyResult;
use crate::process::leaf::work::Payload;
use crate::wire::proto::RefusalReason;

pub(super) fn backend_request(payload: &Payload, id: String, remaining: Duration) -> BackendRequest {
    let (path, snapshot, body) = match payload {
        Payload::Search { body, snapshot } => ("/v1/search", Some(*snapshot), body.clone()),
        Payload::Submit { body, .. } => ("/v1/submit", None, body.clone()),
    };
    BackendRequest {
        method: Method::POST,
        path: path.into(),
        id: id.into(),
        remaining,
        snapshot,
        body,
    }
}

/// Converts the status and headers of a response to a result for the lane. An unexpected status counts as an
/// unreachable server.
pub(super) fn reply_result(reply: &BackendResponse, service_time: Duration) -> ReplyResult {
    let reason = match reply.status.as_u16() {
        200..=299 => return ReplyResult::Answered { service_time },
        409 => RefusalReason::SnapshotGone,
        STATUS_CANCELLED => RefusalReason::Cancelled,
        504 => RefusalReason::Expired,
        503 if reply.draining => RefusalReason::Draining,
        503 => RefusalReason::Shedding,
        _ => RefusalReason::Unreachable,
    };
    ReplyResult::Refused {
        reason,
        not_started: reply.not_started,
        retry_after: reply.retry_after.unwrap_or_default(),
    }
}

/// Result of a submission whose dispatch the ticket registry denied, so that nothing was written.
pub(super) const fn not_sent_result() -> ReplyResult {
    ReplyResult::Refused {
        reason: RefusalReason::Cancelled,
        not_started: true,
        retry_after: Duration::ZERO,
    }
}

/// Returns the refusal of work that may have run but whose response is missing.
pub(super) const fn lost_reply_refusal() -> Refusal {
    Refusal {
        reason: RefusalReason::Unreachable,
        retry_after: Duration::ZERO,
        may_have_run: true,
    }
}
