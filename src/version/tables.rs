//! Dense tables derived from a configuration document.
//!
//! The request path reads only these tables. They are built once for each revision, are immutable, and are shared by
//! read-copy-update, so that a request uses the same revision from start to end.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::DataCentreId;
use crate::ids::Digest;
use crate::ids::IndexId;
use crate::ids::Revision;
use crate::ids::SearcherId;
use crate::ids::SearcherIndex;
use crate::ids::ServiceId;
use crate::ids::ShardId;
use crate::version::keys::KeyRange;

/// Configuration of one revision, in the form that the request path reads.
#[derive(Debug, Clone)]
pub struct Tables {
    /// Revision of the document.
    pub revision: Revision,
    /// Digest of the root of the document.
    pub digest: Digest,
    /// Division of connection caps.
    pub claims: Claims,
    /// Indexes by name.
    pub indexes: IndexMap<IndexId, Index>,
    /// Searchers by name. The position in the map is the [`SearcherIndex`].
    pub searchers: IndexMap<SearcherId, Searcher>,
}

/// Division of the connection cap of every searcher. See "Connection cap without shared state" in `docs/design.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claims {
    /// Number of instances of one data centre that can hold a full share at the same time without exceeding the cap.
    pub tolerated_views: u32,
    /// Connections to each searcher that are reserved for leaves in other data centres.
    pub remote_reserve: u32,
}

/// An index: a set of services that share snapshot numbers.
#[derive(Debug, Clone)]
pub struct Index {
    /// Services by name.
    pub services: IndexMap<ServiceId, Service>,
}

/// A service of an acquired firm.
#[derive(Debug, Clone)]
pub struct Service {
    /// Shards in key order. Together they cover the whole key space without overlap.
    pub shards: Vec<Shard>,
    /// Limits and budgets.
    pub policy: Policy,
}

/// A shard of a service.
#[derive(Debug, Clone)]
pub struct Shard {
    /// Name, unique within the index.
    pub id: ShardId,
    /// Key range of the shard.
    pub range: KeyRange,
    /// Searchers that hold a replica. The first one is the designated searcher for non-idempotent requests.
    pub replicas: Vec<SearcherIndex>,
}

/// A backend server that holds a replica of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Searcher {
    /// Name, unique within the document.
    pub id: SearcherId,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Data centre that the searcher runs in.
    pub data_centre: DataCentreId,
    /// Maximum number of requests that the searcher runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the searcher accepts from all instances together.
    pub connections: u32,
    /// Time that it takes to open a connection.
    pub connect_cost: Duration,
    /// Digest of the fields that affect connections: address, slots, connections and connect cost.
    pub transport_digest: Digest,
}

/// Limits and budgets of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Deadline of requests that do not set one.
    pub deadline: Duration,
    /// Longest deadline that a request may set.
    pub max_deadline: Duration,
    /// Coverage below which an answer becomes an error, in `0.0..=1.0`, for requests that do not set one.
    pub min_coverage: f64,
    /// Maximum fraction of extra sub-queries that hedging may add, relative to all sub-queries.
    pub hedge_budget: f64,
    /// Maximum fraction of extra sub-queries that retries may add, relative to all sub-queries.
    pub retry_budget: f64,
    /// Share of dispatches that is guaranteed to routine work while urgent work is waiting, in `0.0..=1.0`.
    pub routine_share: f64,
    /// Whether the service accepts non-idempotent submissions.
    pub submissions: bool,
    /// Service-level objectives.
    pub objectives: Objectives,
}

/// Service-level objectives of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Objectives {
    /// Latency within which the fraction [`Objectives::latency_ratio`] of the answers must complete.
    pub latency: Duration,
    /// Fraction of answers that must complete within [`Objectives::latency`].
    pub latency_ratio: f64,
    /// Fraction of answers that must have complete coverage.
    pub coverage_ratio: f64,
    /// Maximum fraction of extra sub-queries, relative to all sub-queries.
    pub extra_load: f64,
}

impl Tables {
    /// Returns the searcher with the index `ix`, which must belong to this revision.
    ///
    /// # Panics
    ///
    /// Panics if `ix` is out of range, since using an index of another revision is a programming error.
    #[must_use]
    pub fn searcher(&self, ix: SearcherIndex) -> &Searcher {
        &self.searchers[ix as usize]
    }

    /// Returns whether `searcher` is the designated searcher of `shard` and the shard holds `key`.
    ///
    /// Splitting or merging shards can change the result.
    #[must_use]
    pub fn is_designated(&self, searcher: &str, shard: &str, key: u64) -> bool {
        let services = self.indexes.values().flat_map(|index| index.services.values());
        let mut shards = services.flat_map(|service| &service.shards);
        shards.any(|listed| {
            let first = listed.replicas.first().map(|&ix| &*self.searcher(ix).id);
            *listed.id == *shard && listed.range.contains(key) && first == Some(searcher)
        })
    }

    /// Returns the service with the given name and the ID of its index.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<(&IndexId, &Service)> {
        self.indexes
            .iter()
            .find_map(|(id, index)| index.services.get(name).map(|service| (id, service)))
    }
}
