//! Inputs and outputs of the dissemination.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;

use crate::ids::DataCentreId;
use crate::ids::Digest;
use crate::ids::InstanceId;
use crate::ids::Revision;
use crate::wire::proto::frame::Body;

/// Order of documents: the greater revision wins, and among documents of one revision the greater root digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DocumentKey {
    /// Revision of the document.
    pub revision: Revision,
    /// SHA-256 of the root.
    pub root: Digest,
}

/// A complete document as bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Revision and digest.
    pub key: DocumentKey,
    /// Bytes of the root.
    pub root: Bytes,
    /// Bytes of the parts by their SHA-256, in the order in which the root lists them.
    pub parts: IndexMap<Digest, Bytes>,
}

/// What the caller reads out of a root.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outline {
    /// Revision that the root states.
    pub revision: Revision,
    /// SHA-256 of each part.
    pub parts: Vec<Digest>,
}

/// Outcome of a read or watch of the root on the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformReply {
    /// The platform gave a value.
    Value {
        /// The platform's version of the value.
        version: u64,
        /// Bytes of the root.
        body: Bytes,
    },
    /// Nothing new came while the watch waited (status 304).
    Unchanged,
    /// The platform did not answer, refused, or does not have the value.
    Failed {
        /// Time after which the platform wants to be asked again.
        retry_after: Option<Duration>,
    },
}

/// Output of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to a peer. It is dropped when there is no session to it.
    Send {
        /// Peer that gets it.
        to: InstanceId,
        /// `Digest`, `Fetch` or `Parts`.
        body: Body,
    },
    /// Read the root on the platform and report by `on_platform_root`. One is outstanding at a time.
    ReadRoot {
        /// Wait until the version is greater than this. Without it, answer at once.
        after: Option<u64>,
        /// Longest wait.
        wait: Duration,
    },
    /// Read a part on the platform and report by `on_platform_part`.
    ReadPart {
        /// SHA-256 of the part.
        digest: Digest,
    },
    /// Read the outline of a root and report by `on_outline`.
    Parse {
        /// SHA-256 of the root.
        root: Digest,
        /// Bytes of the root.
        body: Bytes,
    },
    /// Validate a document, build its tables, and report by `on_validated`.
    Validate(Arc<Document>),
    /// Put a document in effect. Its key is greater than that of any document put in effect before.
    PutInEffect(Arc<Document>),
    /// Whether the process knows that its configuration is current. It serves only while this is true.
    SetCurrent(bool),
    /// Write a log line and count it.
    Report(Report),
}

/// Something that operators must know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Report {
    /// A document failed validation, or its root is malformed. It is never in effect.
    Rejected {
        /// Digest of its root.
        root: Digest,
        /// What is wrong.
        reason: Box<str>,
    },
    /// Two documents have the same revision. The greater root digest wins.
    Conflict {
        /// The revision.
        revision: Revision,
        /// The greater root digest, which wins.
        winner: Digest,
        /// The other root digest.
        loser: Digest,
    },
    /// The platform gave a document lower than the one in effect. It is ignored.
    LowerRevision {
        /// Revision that the platform gave.
        received: Revision,
        /// Revision in effect.
        in_effect: Revision,
    },
    /// A document could not be fetched completely from any source. It is fetched again when it is announced again.
    Incomplete {
        /// The revision.
        revision: Revision,
    },
}

/// Who this process is.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Number of processes assumed until the platform's list is known. It spreads the first reads.
    pub fleet_size: usize,
}
