//! Builds [`Tables`] for tests and benchmarks without a configuration document.

#![forbid(unsafe_code)]

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use pimentoflow::ids::SearcherIndex;
use pimentoflow::version::keys::KEY_SPACE;
use pimentoflow::version::keys::KeyRange;
use pimentoflow::version::tables::Claims;
use pimentoflow::version::tables::Index;
use pimentoflow::version::tables::Objectives;
use pimentoflow::version::tables::Policy;
use pimentoflow::version::tables::Searcher;
use pimentoflow::version::tables::Service;
use pimentoflow::version::tables::Shard;
use pimentoflow::version::tables::Tables;

/// Port of the first searcher. The addresses are placeholders to which nothing connects.
const FIRST_PORT: u16 = 10_000;

/// Description of a service whose shards are equal parts of the key space.
#[derive(Debug, Clone)]
pub struct ServiceShape {
    /// Name of the service.
    pub name: Box<str>,
    /// Number of shards.
    pub shards: u32,
    /// Data centre of each replica of a shard, in order.
    pub replicas: Vec<Box<str>>,
    /// Number of slots of each searcher.
    pub slots: u32,
    /// Policy of the service.
    pub policy: Policy,
}

impl ServiceShape {
    /// Creates a shape with [`policy`], three slots per searcher and one replica of each shard per data centre.
    #[must_use]
    pub fn new(name: &str, shards: u32, data_centres: &[&str]) -> Self {
        Self {
            name: name.into(),
            shards,
            replicas: data_centres.iter().map(|name| Box::from(*name)).collect(),
            slots: 3,
            policy: policy(),
        }
    }
}

/// Returns a policy with a deadline of 500 ms and budgets of 2%.
#[must_use]
pub fn policy() -> Policy {
    Policy {
        deadline: Duration::from_millis(500),
        max_deadline: Duration::from_secs(5),
        min_coverage: 0.0,
        hedge_budget: 0.02,
        retry_budget: 0.02,
        routine_share: 0.1,
        submissions: false,
        objectives: Objectives {
            latency: Duration::from_millis(150),
            latency_ratio: 0.99,
            coverage_ratio: 0.99,
            extra_load: 0.02,
        },
    }
}

/// Builder of [`Tables`] that adds one index at a time.
#[derive(Debug)]
pub struct TablesBuilder {
    tables: Tables,
}

impl TablesBuilder {
    /// Creates a builder without indexes.
    #[must_use]
    pub fn new(revision: u64) -> Self {
        Self {
            tables: Tables {
                revision,
                digest: [0; 32],
                claims: Claims {
                    tolerated_views: 4,
                    remote_reserve: 4,
                },
                indexes: IndexMap::new(),
                searchers: IndexMap::new(),
            },
        }
    }

    /// Adds an index with the given services. Its searchers are named `SERVICE-SHARD-REPLICA`.
    #[must_use]
    pub fn index(mut self, name: &str, shapes: &[ServiceShape]) -> Self {
        let services = shapes.iter().map(|shape| (shape.name.clone(), self.service(shape)));
        let services = services.collect();
        self.tables.indexes.insert(name.into(), Index { services });
        self
    }

    /// Returns the tables built.
    #[must_use]
    pub fn build(self) -> Tables {
        self.tables
    }

    fn service(&mut self, shape: &ServiceShape) -> Service {
        let shards = (0..shape.shards).map(|number| Shard {
            id: format!("{}-{number}", shape.name).into(),
            range: equal_range(number, shape.shards),
            replicas: self.searchers(shape, number),
        });
        Service {
            shards: shards.collect(),
            policy: shape.policy.clone(),
        }
    }

    fn searchers(&mut self, shape: &ServiceShape, shard: u32) -> Vec<SearcherIndex> {
        let replicas = shape.replicas.iter().enumerate().map(|(replica, data_centre)| {
            let id: Box<str> = format!("{}-{shard}-{replica}", shape.name).into();
            let port = FIRST_PORT.wrapping_add(self.tables.searchers.len() as u16);
            let searcher = Searcher {
                id: id.clone(),
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
                data_centre: data_centre.clone(),
                slots: shape.slots,
                connections: 30,
                connect_cost: Duration::from_millis(6),
                transport_digest: [0; 32],
            };
            self.tables.searchers.insert_full(id, searcher).0 as SearcherIndex
        });
        replicas.collect()
    }
}

/// Returns part `number`, counted from 0, of the key space divided into `count` equal parts.
#[must_use]
pub fn equal_range(number: u32, count: u32) -> KeyRange {
    let bound = |at: u32| KEY_SPACE * u64::from(at) / u64::from(count);
    KeyRange {
        start: bound(number),
        end: bound(number + 1),
    }
}
