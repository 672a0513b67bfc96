//! Types of a configuration document as operators write it: one root, and one part for each index.
//!
//! Every key is required unless its field says otherwise. With built-in defaults, two releases of the program could
//! interpret the same document differently. `docs/configuration.md` describes the keys.

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

/// Version of the document schema that this program supports.
pub const SCHEMA_VERSION: u32 = 1;

/// Name that findings use for the root. It is reserved and not allowed as the name of a part.
pub const ROOT_NAME: &str = "root";

/// Root of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Root {
    /// Version of the file format. It must be [`SCHEMA_VERSION`].
    pub schema: u32,
    /// Revision of the document. A higher revision replaces a lower one.
    pub revision: Revision,
    /// Division of connection caps.
    pub claims: ClaimsSection,
    /// References to the parts of the document.
    pub parts: Vec<PartRef>,
}

impl Root {
    /// Parses the bytes of a root.
    ///
    /// # Errors
    ///
    /// Returns a finding if the bytes cannot be parsed as a root. Values are not validated here; see
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
    /// Number of instances of one data centre that can hold a full share at the same time without exceeding the cap.
    pub tolerated_views: u32,
    /// Connections to each searcher that are reserved for leaves in other data centres.
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

/// A part of a document: the configuration of one index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Name of the index.
    pub index: IndexId,
    /// Policy of the services that do not define their own.
    pub policy: PolicySection,
    /// Services of the index.
    pub services: Vec<ServiceSection>,
}

impl Part {
    /// Parses the bytes of the part `name`.
    ///
    /// # Errors
    ///
    /// Returns a finding if the bytes cannot be parsed as a part. Values are not validated here; see
    /// [`crate::version::validate`].
    pub fn parse(name: &str, bytes: &[u8]) -> Result<Self, Finding> {
        yaml::parse(name, bytes)
    }
}

/// A service of an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSection {
    /// Name, unique within the document.
    pub name: ServiceId,
    /// Policy of the service, which replaces the whole policy of the part. Optional.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<PolicySection>,
    /// Shards in key order. Together they cover the whole key space.
    pub shards: Vec<ShardSection>,
}

/// A shard of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardSection {
    /// Name, unique within the index.
    pub name: ShardId,
    /// Key range of the shard.
    pub range: KeyRange,
    /// Searchers that hold a replica. The first one is the designated searcher for non-idempotent requests.
    pub replicas: Vec<ReplicaSection>,
}

/// A searcher that holds a replica of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSection {
    /// Name, unique within the document.
    pub searcher: SearcherId,
    /// Address of its HTTP interface, unique within the document.
    pub address: Address,
    /// Data centre that the searcher runs in.
    pub data_centre: DataCentreId,
    /// Maximum number of requests that the searcher runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the searcher accepts from all instances together.
    pub connections: u32,
    /// Time that it takes to open a connection.
    pub connect_cost: Period,
}

/// Limits and budgets of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicySection {
    /// Deadline of requests that do not set one.
    pub deadline: Period,
    /// Longest deadline that a request may set.
    pub max_deadline: Period,
    /// Coverage below which an answer becomes an error, for requests that do not set one.
    pub min_coverage: Percentage,
    /// Maximum share of extra sub-queries that hedging may add, relative to all sub-queries.
    pub hedge_budget: Percentage,
    /// Maximum share of extra sub-queries that retries may add, relative to all sub-queries.
    pub retry_budget: Percentage,
    /// Share of dispatches that is guaranteed to routine work while urgent work is waiting.
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
    /// Latency within which the share `latency_ratio` of the answers must complete.
    pub latency: Period,
    /// Share of answers that must complete within `latency`.
    pub latency_ratio: Percentage,
    /// Share of answers that must have complete coverage.
    pub coverage_ratio: Percentage,
    /// Maximum share of extra sub-queries, relative to all sub-queries.
    pub extra_load: Percentage,
}

/// A parsed document: the root, and its parts in the order in which the root lists them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Digest of the bytes of the root.
    pub digest: Digest,
    /// The root.
    pub root: Root,
    /// The parts. Successive documents share the parts that did not change.
    pub parts: Vec<Arc<Part>>,
}

impl Document {
    /// Returns the part whose bytes have the digest `sha256`, if the document has it.
    #[must_use]
    pub fn part(&self, sha256: HexDigest) -> Option<&Arc<Part>> {
        let ix = self.root.parts.iter().position(|part_ref| part_ref.sha256 == sha256)?;
        self.parts.get(ix)
    }
}
