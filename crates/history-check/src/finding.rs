//! Violations of the invariants, as reported by the rules.

use std::time::Duration;

/// A violation of an invariant. Each variant belongs to one rule and names the operation, server or program concerned.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Finding {
    /// A hit comes from another snapshot than the answer states.
    #[error("{request}: hit {key} comes from snapshot {found}, but the answer states {stated}")]
    OtherSnapshot {
        /// Request id.
        request: Box<str>,
        /// Key of the hit.
        key: u64,
        /// Snapshot that contains the hit.
        found: u64,
        /// Snapshot that the answer states.
        stated: u64,
    },
    /// A hit matches the query of another request.
    #[error("{request}: hit {key} belongs to request {other}")]
    OtherRequest {
        /// Request id.
        request: Box<str>,
        /// Key of the hit.
        key: u64,
        /// Request id of the request that the hit matches.
        other: Box<str>,
    },
    /// An answer has another request id, kind or key than its request.
    #[error("{request}: the answer belongs to {answered}")]
    ForeignAnswer {
        /// Request id.
        request: Box<str>,
        /// Request id in the answer, or the response body if it has another key or none.
        answered: Box<str>,
    },
    /// A hit matches no request of the run in any snapshot.
    #[error("{request}: no server returns hit {key}")]
    InventedHit {
        /// Request id.
        request: Box<str>,
        /// Key of the hit.
        key: u64,
    },
    /// A hit lies in a missing range or in a service that was not requested.
    #[error("{request}: hit {key} lies in a range that is missing or was not requested")]
    HitInMissing {
        /// Request id.
        request: Box<str>,
        /// Key of the hit.
        key: u64,
    },
    /// A hit of a covered range is absent from the answer.
    #[error("{request}: hit {key} of a covered range is absent from the answer")]
    HitLost {
        /// Request id.
        request: Box<str>,
        /// Key of the hit.
        key: u64,
    },
    /// The hits are not sorted, or one occurs twice.
    #[error("{request}: the hits are not sorted or contain a duplicate")]
    Disorder {
        /// Request id.
        request: Box<str>,
    },
    /// The fraction covered, the list of missing ranges, `complete` and the status contradict each other.
    #[error("{request}: inconsistent coverage: {reason}")]
    FalseCoverage {
        /// Request id.
        request: Box<str>,
        /// Description of the contradiction.
        reason: Box<str>,
    },
    /// An answer states a snapshot that no server ever held.
    #[error("{request}: no server ever held snapshot {snapshot}")]
    UnknownSnapshot {
        /// Request id.
        request: Box<str>,
        /// Snapshot that the answer states.
        snapshot: u64,
    },
    /// A request was answered with `not_run` although a server started it.
    #[error("{request}: answered not_run, but {server} started it")]
    FalseNotRun {
        /// Request id.
        request: Box<str>,
        /// Name of the server.
        server: Box<str>,
    },
    /// A request was answered with `bad_request` although a server started it. After `bad_request` a caller may send a
    /// submission again.
    #[error("{request}: answered bad_request, but {server} started it")]
    FalseBadRequest {
        /// Request id.
        request: Box<str>,
        /// Name of the server.
        server: Box<str>,
    },
    /// A submission was started more than once.
    #[error("{body}: started {times} times")]
    StartedAgain {
        /// Body, which identifies the submission.
        body: Box<str>,
        /// Number of starts on all servers.
        times: usize,
    },
    /// A submission was answered with `executed` although no server started it.
    #[error("{request}: answered executed, but no server started it")]
    FalseExecuted {
        /// Request id.
        request: Box<str>,
    },
    /// A submission ran with another key than the caller sent.
    #[error("{body}: ran with key {ran} instead of {requested}")]
    OtherKey {
        /// Body, which identifies the submission.
        body: Box<str>,
        /// Key that the server recorded.
        ran: u64,
        /// Key that the caller sent.
        requested: u64,
    },
    /// A draining server got new work after the time allowed.
    #[error("{server}: new work {after:?} after the first drain signal, not counting pauses")]
    WorkWhileLeaving {
        /// Name of the server.
        server: Box<str>,
        /// Time since the first drain signal, without pauses of the machine.
        after: Duration,
    },
    /// A request got no valid answer although its entry was not killed.
    #[error("{request}: no valid answer from {entry}: {cause}")]
    Cut {
        /// Request id.
        request: Box<str>,
        /// Entry that the request was sent to.
        entry: Box<str>,
        /// Error that the caller saw.
        cause: Box<str>,
    },
    /// A planned stop reached its hard limit.
    #[error("{program}: the planned stop reached its hard limit")]
    StopCutWork {
        /// Name of the program.
        program: Box<str>,
    },
    /// A search that ended before the first fault got no complete answer.
    #[error("{request}: no complete answer before the first fault")]
    LostWithoutFault {
        /// Request id.
        request: Box<str>,
    },
    /// A program or the answers of an entry went back to a lower revision.
    #[error("{program}: revision decreased from {from} to {to}")]
    RevisionFell {
        /// Name of the program.
        program: Box<str>,
        /// Earlier, higher revision.
        from: u64,
        /// Later, lower revision.
        to: u64,
    },
    /// A program did not have the last published revision in effect at the end of the run.
    #[error("{program}: revision {found} in effect at the end, expected {accepted}")]
    RevisionMissing {
        /// Name of the program.
        program: Box<str>,
        /// Revision in effect at the end of the run.
        found: u64,
        /// Highest published revision.
        accepted: u64,
    },
    /// A server had more connections than its cap, or refused connections because of it.
    #[error("{server}: {peak} open connections and {refused} refused with a cap of {cap}")]
    OverCap {
        /// Name of the server.
        server: Box<str>,
        /// Highest number of connections open at the same time.
        peak: u32,
        /// Number of connections refused because of the cap.
        refused: u64,
        /// Maximum number of connections that the server accepts.
        cap: u32,
    },
}
