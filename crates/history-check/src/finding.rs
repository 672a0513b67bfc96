//! Violations of the invariants.

use std::time::Duration;

/// One violation. Each variant belongs to one rule, and names the record that proves it.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Finding {
    /// A hit is what another snapshot gives.
    #[error("{request}: hit {key} comes from snapshot {found}, the answer states {stated}")]
    OtherSnapshot {
        /// Request.
        request: Box<str>,
        /// Key of the hit.
        key: u64,
        /// Snapshot that gives the hit.
        found: u64,
        /// Snapshot of the answer.
        stated: u64,
    },
    /// A hit is what the query of another request gives.
    #[error("{request}: hit {key} belongs to {other}")]
    OtherRequest {
        /// Request.
        request: Box<str>,
        /// Key of the hit.
        key: u64,
        /// Request that the hit answers.
        other: Box<str>,
    },
    /// An answer carries another request id, or is of another kind than its request.
    #[error("{request}: the answer belongs to {answered}")]
    ForeignAnswer {
        /// Request.
        request: Box<str>,
        /// Identity in the answer.
        answered: Box<str>,
    },
    /// A hit is what no snapshot and no request gives.
    #[error("{request}: hit {key} exists on no server")]
    InventedHit {
        /// Request.
        request: Box<str>,
        /// Key of the hit.
        key: u64,
    },
    /// A hit lies in a range that is labelled missing or was not asked for.
    #[error("{request}: hit {key} lies in a range that is labelled missing")]
    HitInMissing {
        /// Request.
        request: Box<str>,
        /// Key of the hit.
        key: u64,
    },
    /// A hit of a covered range is not in the answer.
    #[error("{request}: hit {key} of a covered range is not in the answer")]
    HitLost {
        /// Request.
        request: Box<str>,
        /// Key of the hit.
        key: u64,
    },
    /// The hits are not in order, or one occurs twice.
    #[error("{request}: the hits are not in order, or one occurs twice")]
    Disorder {
        /// Request.
        request: Box<str>,
    },
    /// The fraction covered, the list of missing ranges, `complete` and the status contradict each other.
    #[error("{request}: the coverage contradicts itself: {reason}")]
    FalseCoverage {
        /// Request.
        request: Box<str>,
        /// Contradiction.
        reason: Box<str>,
    },
    /// An answer states a snapshot that no server ever held.
    #[error("{request}: no server ever held snapshot {snapshot}")]
    UnknownSnapshot {
        /// Request.
        request: Box<str>,
        /// Snapshot.
        snapshot: u64,
    },
    /// A request was answered `not_run` and a server started it.
    #[error("{request}: answered not_run, and {server} started it")]
    FalseNotRun {
        /// Request.
        request: Box<str>,
        /// Server.
        server: Box<str>,
    },
    /// A submission was answered `bad_request`, which invites the caller to send it anew, and a server started it.
    #[error("{request}: answered bad_request, and {server} started it")]
    FalseBadRequest {
        /// Request.
        request: Box<str>,
        /// Server.
        server: Box<str>,
    },
    /// A non-idempotent request started more than once.
    #[error("{body}: started {times} times")]
    StartedAgain {
        /// Body of the submission.
        body: Box<str>,
        /// Starts over all servers.
        times: usize,
    },
    /// A submission was answered as executed and no server started it.
    #[error("{request}: answered executed, and no server started it")]
    FalseExecuted {
        /// Request.
        request: Box<str>,
    },
    /// A submission ran with another key than that asked for.
    #[error("{body}: ran with key {ran}, asked for {asked}")]
    OtherKey {
        /// Body of the submission.
        body: Box<str>,
        /// Key that the server recorded.
        ran: u64,
        /// Key of the caller.
        asked: u64,
    },
    /// A leaving server got new work too late.
    #[error("{server}: new work {after:?} after the first signal, pauses subtracted")]
    WorkWhileLeaving {
        /// Server.
        server: Box<str>,
        /// Time after the first signal without pauses of the machine.
        after: Duration,
    },
    /// A request lost its connection although its entry was not killed.
    #[error("{request}: cut at {entry}: {cause}")]
    Cut {
        /// Request.
        request: Box<str>,
        /// Entry asked.
        entry: Box<str>,
        /// What the caller saw.
        cause: Box<str>,
    },
    /// A planned stop reached its hard limit.
    #[error("{program}: the planned stop cut work")]
    StopCutWork {
        /// Program.
        program: Box<str>,
    },
    /// A search before the first fault was not answered completely, although only planned actions had happened.
    #[error("{request}: no complete answer although nothing had failed")]
    LostWithoutFault {
        /// Request.
        request: Box<str>,
    },
    /// A program, or an entry's answers, fell back to a lower revision.
    #[error("{program}: revision fell from {from} to {to}")]
    RevisionFell {
        /// Program.
        program: Box<str>,
        /// Higher revision.
        from: u64,
        /// Lower revision after it.
        to: u64,
    },
    /// A program did not have the accepted revision in effect at the end.
    #[error("{program}: revision {found} at the end, accepted is {accepted}")]
    RevisionMissing {
        /// Program.
        program: Box<str>,
        /// Revision at the end.
        found: u64,
        /// Highest accepted revision.
        accepted: u64,
    },
    /// A server had more connections than its cap, or refused some because of it.
    #[error("{server}: {peak} connections and {refused} refused, cap {cap}")]
    OverCap {
        /// Server.
        server: Box<str>,
        /// Greatest number of open connections.
        peak: u32,
        /// Connections that it refused.
        refused: u64,
        /// Cap.
        cap: u32,
    },
}
