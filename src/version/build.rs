//! Builds the tables of a valid document.

use indexmap::IndexMap;

use crate::ids::SearcherId;
use crate::version::digest;
use crate::version::document::ClaimsSection;
use crate::version::document::Document;
use crate::version::document::ObjectivesSection;
use crate::version::document::Part;
use crate::version::document::PolicySection;
use crate::version::document::ReplicaSection;
use crate::version::document::ServiceSection;
use crate::version::document::ShardSection;
use crate::version::tables::Claims;
use crate::version::tables::Index;
use crate::version::tables::Objectives;
use crate::version::tables::Policy;
use crate::version::tables::Searcher;
use crate::version::tables::Service;
use crate::version::tables::Shard;
use crate::version::tables::Tables;

/// Builds the tables of a document.
///
/// The document must be valid (see [`crate::version::validate::validate`]): if two searchers had the same name, only
/// one would be kept.
#[must_use]
pub fn tables(document: &Document) -> Tables {
    let mut searchers = IndexMap::new();
    let indexes = document
        .parts
        .iter()
        .map(|part| (part.index.clone(), index(part, &mut searchers)))
        .collect();
    Tables {
        revision: document.root.revision,
        digest: document.digest,
        claims: claims(document.root.claims),
        indexes,
        searchers,
    }
}

const fn claims(section: ClaimsSection) -> Claims {
    Claims {
        tolerated_views: section.tolerated_views,
        remote_reserve: section.remote_reserve,
    }
}

fn index(part: &Part, searchers: &mut IndexMap<SearcherId, Searcher>) -> Index {
    let services = part
        .services
        .iter()
        .map(|section| (section.name.clone(), service(part, section, searchers)))
        .collect();
    Index { services }
}

fn service(part: &Part, section: &ServiceSection, searchers: &mut IndexMap<SearcherId, Searcher>) -> Service {
    let shards = section.shards.iter().map(|section| shard(section, searchers)).collect();
    Service {
        shards,
        policy: policy(section.policy.as_ref().unwrap_or(&part.policy)),
    }
}

fn shard(section: &ShardSection, searchers: &mut IndexMap<SearcherId, Searcher>) -> Shard {
    let mut replicas = Vec::with_capacity(section.replicas.len());
    for replica in &section.replicas {
        let (position, _) = searchers.insert_full(replica.searcher.clone(), searcher(replica));
        replicas.push(u32::try_from(position).unwrap_or(u32::MAX));
    }
    Shard {
        id: section.name.clone(),
        range: section.range,
        replicas,
    }
}

/// Builds the table entry of a searcher, including its transport digest.
#[must_use]
pub fn searcher(section: &ReplicaSection) -> Searcher {
    let address = section.address.0;
    let connect_cost = section.connect_cost.0;
    Searcher {
        id: section.searcher.clone(),
        address,
        data_centre: section.data_centre.clone(),
        slots: section.slots,
        connections: section.connections,
        connect_cost,
        transport_digest: digest::transport(address, section.slots, section.connections, connect_cost),
    }
}

fn policy(section: &PolicySection) -> Policy {
    Policy {
        deadline: section.deadline.0,
        max_deadline: section.max_deadline.0,
        min_coverage: section.min_coverage.fraction(),
        hedge_budget: section.hedge_budget.fraction(),
        retry_budget: section.retry_budget.fraction(),
        routine_share: section.routine_share.fraction(),
        submissions: section.submissions,
        objectives: objectives(&section.objectives),
    }
}

fn objectives(section: &ObjectivesSection) -> Objectives {
    Objectives {
        latency: section.latency.0,
        latency_ratio: section.latency_ratio.fraction(),
        coverage_ratio: section.coverage_ratio.fraction(),
        extra_load: section.extra_load.fraction(),
    }
}
