//! Plan of a search: one part for each shard of the requested services.

use std::sync::Arc;

use crate::error::ErrorKind;
use crate::error::RequestError;
use crate::ids::IndexId;
use crate::ids::Revision;
use crate::ids::SearcherIndex;
use crate::ids::ServiceId;
use crate::version::keys::KeyRange;
use crate::version::tables::Policy;
use crate::version::tables::Service;
use crate::version::tables::Shard;
use crate::version::tables::Tables;

/// Maximum number of hits of a search. Each part returns up to this many hits in one frame of 4 MiB.
pub const MAX_LIMIT: u32 = 1000;

/// Parts of one search. Holds the tables, so that the whole request uses a single revision.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Tables of the revision that the plan was made from.
    pub tables: Arc<Tables>,
    /// Index that all services belong to.
    pub index: IndexId,
    /// Services in request order, without duplicates.
    pub services: Vec<PlannedService>,
    /// Parts. The position of a part is its number on the wire.
    pub parts: Vec<PlannedPart>,
    /// Maximum number of hits in the answer.
    pub limit: u32,
}

/// Service that a plan searches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedService {
    /// Name of the service.
    pub id: ServiceId,
    /// Position of the service among the services of all indexes, in table order. Budgets and observed latencies of
    /// services are indexed by it. [`PlannedPart::service`] is a position in the plan instead.
    pub position: usize,
}

/// Part of a search: one shard of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedPart {
    /// Position of the service in [`Plan::services`], unlike [`PlannedService::position`].
    pub service: u32,
    /// Position of the shard within its service.
    pub shard: u32,
    /// Key range of the shard.
    pub range: KeyRange,
}

impl Plan {
    /// Returns the configuration revision that the plan was made from.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.tables.revision
    }

    /// Returns the shard of a part.
    ///
    /// # Panics
    ///
    /// Panics if `part` is not a part of this plan.
    #[must_use]
    pub fn shard(&self, part: u32) -> &Shard {
        let planned = self.parts[part as usize];
        &self.service(planned.service).shards[planned.shard as usize]
    }

    /// Returns the searchers that hold a replica of the shard of a part.
    ///
    /// # Panics
    ///
    /// Panics if `part` is not a part of this plan.
    #[must_use]
    pub fn replicas(&self, part: u32) -> &[SearcherIndex] {
        &self.shard(part).replicas
    }

    /// Returns the policy of the service at `service` in [`Plan::services`].
    ///
    /// # Panics
    ///
    /// Panics if `service` is not a position of this plan.
    #[must_use]
    pub fn policy(&self, service: u32) -> &Policy {
        &self.service(service).policy
    }

    fn service(&self, service: u32) -> &Service {
        let id = &self.services[service as usize].id;
        &self.tables.indexes[&self.index].services[id]
    }
}

/// Plans a search over `services`, which must all belong to one index. Duplicate names are ignored.
///
/// # Errors
///
/// Returns [`ErrorKind::BadRequest`] if `services` is empty, a service is unknown, the services belong to different
/// indexes, or `limit` is not in `1..=`[`MAX_LIMIT`].
pub fn plan(tables: &Arc<Tables>, services: &[&str], limit: u32) -> Result<Plan, RequestError> {
    check_limit(limit)?;
    let Some(first) = services.first() else {
        return Err(bad_request("no service named; name at least one".to_owned()));
    };
    let (index, _) = lookup(tables, first)?;
    let mut plan = Plan {
        tables: Arc::clone(tables),
        index: index.clone(),
        services: Vec::with_capacity(services.len()),
        parts: Vec::new(),
        limit,
    };
    for name in services {
        add_service(&mut plan, tables, name)?;
    }
    Ok(plan)
}

fn check_limit(limit: u32) -> Result<(), RequestError> {
    if (1..=MAX_LIMIT).contains(&limit) {
        return Ok(());
    }
    Err(bad_request(format!(
        "limit {limit} is out of range; use 1 to {MAX_LIMIT}"
    )))
}

fn add_service(plan: &mut Plan, tables: &Tables, name: &str) -> Result<(), RequestError> {
    let (index, service) = lookup(tables, name)?;
    if *index != plan.index {
        return Err(bad_request(format!(
            "service `{name}` belongs to index `{index}`, not `{}`; search one index at a time",
            plan.index
        )));
    }
    if plan.services.iter().any(|planned| *planned.id == *name) {
        return Ok(());
    }
    let number = plan.services.len() as u32;
    plan.services.push(PlannedService {
        id: name.into(),
        position: position(tables, index, name),
    });
    let parts = service.shards.iter().enumerate().map(|(shard, entry)| PlannedPart {
        service: number,
        shard: shard as u32,
        range: entry.range,
    });
    plan.parts.extend(parts);
    Ok(())
}

fn lookup<'a>(tables: &'a Tables, name: &str) -> Result<(&'a IndexId, &'a Service), RequestError> {
    tables
        .service(name)
        .ok_or_else(|| bad_request(format!("unknown service `{name}`; check the name against the console")))
}

fn position(tables: &Tables, index: &IndexId, name: &str) -> usize {
    let before = tables.indexes.iter().take_while(|(id, _)| *id != index);
    let skipped: usize = before.map(|(_, index)| index.services.len()).sum();
    skipped + tables.indexes[index].services.get_index_of(name).unwrap_or(0)
}

fn bad_request(message: String) -> RequestError {
    RequestError::new(ErrorKind::BadRequest, message)
}
