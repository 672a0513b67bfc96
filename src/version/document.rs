//! Types of a configuration document as operators write it: one root, and one part for each index.
//!
//! Every key is required, except where a field says otherwise. A default inside the program would let two versions of
//! it read one document differently. `docs/configuration.md` describes the keys.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentreId;
use crate::ids::Digest;
use crate::ids::IndexId;
use crate::ids::Revision;
use crate::ids::SearcherId;
use crate::ids::ServiceId;
use crate::ids::ShardId;
use crate::version::digest::HexDigest;
use crate::version::finding::Finding;
use crate::version::keys::KeyRange;
use crate::version::units::Address;
use crate::version::units::Percentage;
use crate::version::units::Period;
use crate::version::yaml;

/// Schema that this program reads.
pub const SCHEMA_VERSION: u32 = 1;

/// Name under which findings refer to the root. No part may have it.
pub const ROOT_NAME: &str = "root";

/// Root of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Root {
    /// Version of the file format; [`SCHEMA_VERSION`].
    pub schema: u32,
    /// Number of the document. A greater one replaces a smaller one.
    pub revision: Revision,
    /// Division of connection caps.
    pub claims: ClaimsSection,
    /// Parts of the document.
    pub parts: Vec<PartRef>,
}

impl Root {
    /// Parses the bytes of a root.
    ///
    /// # Errors
    ///
    /// Returns one finding when the bytes are not a root. The values are not validated; see
    /// [`crate::version::validate`].
    pub fn parse(bytes: &[u8]) -> Result<Self, Finding> {
        yaml::parse(ROOT_NAME, bytes)
    }

    /// Returns the digests of the parts in order.
    pub fn part_digests(&self) -> impl Iterator<Item = Digest> + '_ {
        self.parts.iter().map(|part| part.sha256.0)
    }
}

/// Division of the connection cap of every searcher. See "Connection cap without shared state" in `docs/design.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimsSection {
    /// Number of instances of one data centre that may hold a full share at once without exceeding the cap.
    pub tolerated_views: u32,
    /// Connections of each searcher that are set aside for leaves of other data centres.
    pub remote_reserve: u32,
}

/// Reference from the root to a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartRef {
    /// Name of the index that the part describes.
    pub name: IndexId,
    /// Digest of the bytes of the part.
    pub sha256: HexDigest,
}

/// One part: everything about one index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Name of the index.
    pub index: IndexId,
    /// Policy of the services that have none of their own.
    pub policy: PolicySection,
    /// Services of the index.
    pub services: Vec<ServiceSection>,
}

impl Part {
    /// Parses the bytes of the part `name`.
    ///
    /// # Errors
    ///
    /// Returns one finding when the bytes are not a part. The values are not validated.
    pub fn parse(name: &str, bytes: &[u8]) -> Result<Self, Finding> {
        yaml::parse(name, bytes)
    }
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSection {
    /// Name, unique within the document.
    pub name: ServiceId,
    /// Policy that replaces the one of the part as a whole. Optional.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<PolicySection>,
    /// Shards in key order, which together cover the whole key space.
    pub shards: Vec<ShardSection>,
}

/// One shard of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardSection {
    /// Name, unique within the index.
    pub name: ShardId,
    /// Keys that the shard holds.
    pub range: KeyRange,
    /// Searchers that hold a replica. The first is the designated searcher of non-idempotent requests.
    pub replicas: Vec<ReplicaSection>,
}

/// One searcher.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSection {
    /// Name, unique within the document.
    pub searcher: SearcherId,
    /// Address of its HTTP interface, unique within the document.
    pub address: Address,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Requests that it runs at one time.
    pub slots: u32,
    /// Connections that it accepts from all our instances together.
    pub connections: u32,
    /// Time that opening a connection costs.
    pub connect_cost: Period,
}

/// Limits and budgets of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicySection {
    /// Deadline of a request that names none.
    pub deadline: Period,
    /// Greatest deadline that a request may name.
    pub max_deadline: Period,
    /// Coverage below which an answer becomes an error when the caller names none.
    pub min_coverage: Percentage,
    /// Extra sub-queries that hedging may add, as a share of all sub-queries.
    pub hedge_budget: Percentage,
    /// Extra sub-queries that retries may add, as a share of all sub-queries.
    pub retry_budget: Percentage,
    /// Share of dispatches that routine work keeps while urgent work waits.
    pub routine_share: Percentage,
    /// Whether the service accepts non-idempotent submissions.
    pub submissions: bool,
    /// Service-level objectives.
    pub objectives: ObjectivesSection,
}

/// Service-level objectives of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectivesSection {
    /// Latency that the share `latency_ratio` of the answers must meet.
    pub latency: Period,
    /// Share of answers within `latency`.
    pub latency_ratio: Percentage,
    /// Share of answers with complete coverage.
    pub coverage_ratio: Percentage,
    /// Extra sub-queries as a share of all sub-queries, at most.
    pub extra_load: Percentage,
}

/// A root with its parts in the order of the root.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Digest of the bytes of the root.
    pub digest: Digest,
    /// The root.
    pub root: Root,
    /// The parts. They are shared with the next document that names them too.
    pub parts: Vec<Arc<Part>>,
}

impl Document {
    /// Returns the part whose bytes have the digest `sha256`.
    #[must_use]
    pub fn part(&self, sha256: HexDigest) -> Option<&Arc<Part>> {
        let ix = self.root.parts.iter().position(|part_ref| part_ref.sha256 == sha256)?;
        self.parts.get(ix)
    }
}
