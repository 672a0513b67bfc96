//! Input and output types of the dissemination.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;

use crate::ids::DataCentreId;
use crate::ids::Digest;
use crate::ids::InstanceId;
use crate::ids::Revision;
use crate::wire::proto::frame::Body;

/// Identifies a document and orders all documents: by revision, then by root digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DocumentKey {
    /// Revision of the document.
    pub revision: Revision,
    /// SHA-256 of the root.
    pub root: Digest,
}

/// A complete document in encoded form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Revision and root digest.
    pub key: DocumentKey,
    /// Bytes of the root.
    pub root: Bytes,
    /// Encoded parts by their SHA-256, in the order in which the root lists them.
    pub parts: IndexMap<Digest, Bytes>,
}

/// Contents of a root that the dissemination needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outline {
    /// Revision stated in the root.
    pub revision: Revision,
    /// SHA-256 of each part.
    pub parts: Vec<Digest>,
}

/// Result of a read or watch of the root on the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformResponse {
    /// The platform returned a value.
    Value {
        /// Version of the value on the platform.
        version: u64,
        /// Bytes of the root.
        body: Bytes,
    },
    /// The value did not change during the watch (status 304).
    Unchanged,
    /// The platform did not respond, refused the request, or does not have the value.
    Failed {
        /// Delay before the next request, if the platform asked for one.
        retry_after: Option<Duration>,
    },
}

/// Action for the caller to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to a peer. The message is dropped if there is no session with it.
    Send {
        /// Receiving peer.
        to: InstanceId,
        /// Message body: `Digest`, `Fetch` or `Parts`.
        body: Body,
    },
    /// Read the root on the platform and report the result with `on_platform_root`. At most one such read is
    /// outstanding.
    ReadRoot {
        /// If set, the read is a watch that waits for a greater version than this.
        after: Option<u64>,
        /// Maximum duration of the watch.
        wait: Duration,
    },
    /// Read a part on the platform and report the result with `on_platform_part`.
    ReadPart {
        /// SHA-256 of the part.
        digest: Digest,
    },
    /// Parse the outline of a root and report the result with `on_outline`.
    Parse {
        /// SHA-256 of the root.
        root: Digest,
        /// Bytes of the root.
        body: Bytes,
    },
    /// Validate a document, build its tables, and report the result with `on_validated`.
    Validate(Arc<Document>),
    /// Put a document in effect. Its key is greater than that of any earlier one.
    PutInEffect(Arc<Document>),
    /// Set whether the configuration is known to be current. The process serves requests only while it is.
    SetCurrent(bool),
    /// Log an event and count it.
    Report(Report),
}

/// Event for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Report {
    /// A document failed validation or its root is malformed. It is never put in effect.
    Rejected {
        /// Digest of its root.
        root: Digest,
        /// Reason for the rejection.
        reason: Box<str>,
    },
    /// Two documents have the same revision but different content. The one with the greater root digest wins.
    Conflict {
        /// Revision of the document.
        revision: Revision,
        /// Greater root digest.
        winner: Digest,
        /// Lesser root digest.
        loser: Digest,
    },
    /// The platform returned a document with a lower key than the one in effect. It is ignored.
    LowerRevision {
        /// Revision returned by the platform.
        received: Revision,
        /// Revision in effect.
        in_effect: Revision,
    },
    /// No source has the complete document. It is fetched again the next time it is announced.
    Incomplete {
        /// Revision of the document.
        revision: Revision,
    },
}

/// Identity of this process and its environment.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the local instance.
    pub instance: InstanceId,
    /// Data centre of the local instance.
    pub data_centre: DataCentreId,
    /// Assumed number of processes until the platform's list is known. The first reads are spread over it.
    pub fleet_size: usize,
}
