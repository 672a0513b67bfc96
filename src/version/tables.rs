//! Dense tables derived from one configuration document.
//!
//! The request path reads only these. They are built once for each revision, are immutable, and are shared by
//! read-copy-update, so one request uses one revision from start to end.

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

/// Everything that one revision says, in the form that the request path reads.
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
    /// Searchers by name; the position is the [`SearcherIndex`].
    pub searchers: IndexMap<SearcherId, Searcher>,
}

/// Division of the connection cap of every searcher. See "Connection cap without shared state" in `docs/design.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claims {
    /// Number of instances of one data centre that may hold a full share at once without exceeding the cap.
    pub tolerated_views: u32,
    /// Connections of each searcher that are set aside for leaves of other data centres.
    pub remote_reserve: u32,
}

/// Services that share snapshot numbering.
#[derive(Debug, Clone)]
pub struct Index {
    /// Services by name.
    pub services: IndexMap<ServiceId, Service>,
}

/// One service of an acquired firm.
#[derive(Debug, Clone)]
pub struct Service {
    /// Shards in key order. Together they cover the whole key space without overlap.
    pub shards: Vec<Shard>,
    /// Limits and budgets.
    pub policy: Policy,
}

/// One shard of a service.
#[derive(Debug, Clone)]
pub struct Shard {
    /// Name, unique within the index.
    pub id: ShardId,
    /// Keys that the shard holds.
    pub range: KeyRange,
    /// Searchers that hold a replica. The first is the designated searcher of non-idempotent requests.
    pub replicas: Vec<SearcherIndex>,
}

/// One backend server that holds a replica of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Searcher {
    /// Name, unique within the document.
    pub id: SearcherId,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Requests that it runs at one time.
    pub slots: u32,
    /// Connections that it accepts from all our instances together.
    pub connections: u32,
    /// Time that opening a connection costs.
    pub connect_cost: Duration,
    /// Digest over only what matters to connections: address, slots, connections, connect cost.
    pub transport_digest: Digest,
}

/// Limits and budgets of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Deadline of a request that names none.
    pub deadline: Duration,
    /// Greatest deadline that a request may name.
    pub max_deadline: Duration,
    /// Coverage below which an answer becomes an error when the caller names none, in `0.0..=1.0`.
    pub min_coverage: f64,
    /// Extra sub-queries that hedging may add, as a fraction of all sub-queries.
    pub hedge_budget: f64,
    /// Extra sub-queries that retries may add, as a fraction of all sub-queries.
    pub retry_budget: f64,
    /// Share of dispatches that routine work keeps while urgent work waits, in `0.0..=1.0`.
    pub routine_share: f64,
    /// Whether the service accepts non-idempotent submissions.
    pub submissions: bool,
    /// Service-level objectives.
    pub objectives: Objectives,
}

/// Service-level objectives of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Objectives {
    /// Latency that [`Objectives::latency_ratio`] of the answers must meet.
    pub latency: Duration,
    /// Fraction of answers within [`Objectives::latency`].
    pub latency_ratio: f64,
    /// Fraction of answers with complete coverage.
    pub coverage_ratio: f64,
    /// Extra sub-queries as a fraction of all sub-queries, at most.
    pub extra_load: f64,
}

impl Tables {
    /// Returns the searcher at `ix`, which must come from this revision.
    ///
    /// # Panics
    ///
    /// Panics when `ix` is out of range, since an index of another revision is a programming error.
    #[must_use]
    pub fn searcher(&self, ix: SearcherIndex) -> &Searcher {
        &self.searchers[ix as usize]
    }

    /// Tells whether a searcher is the designated one of the shard that holds a key. A split or a merge can change that.
    #[must_use]
    pub fn is_designated(&self, searcher: &str, shard: &str, key: u64) -> bool {
        let services = self.indexes.values().flat_map(|index| index.services.values());
        let mut shards = services.flat_map(|service| &service.shards);
        shards.any(|listed| {
            let first = listed.replicas.first().map(|&ix| &*self.searcher(ix).id);
            *listed.id == *shard && listed.range.contains(key) && first == Some(searcher)
        })
    }

    /// Finds the index that holds the service, and the service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<(&IndexId, &Service)> {
        self.indexes
            .iter()
            .find_map(|(id, index)| index.services.get(name).map(|service| (id, service)))
    }
}
