//! Shards split and merge on the servers during searches, and the configuration follows later.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use pimentoflow::process::fleet::Fleet;
use pimentoflow::version::keys::KeyRange;
use pimentoflow::version::tables::Shard;
use pimentoflow::version::tables::Tables;
use rand::Rng;
use testkit::ServiceShape;
use testkit::TablesBuilder;

use crate::experiment::Options;
use crate::report::Report;
use crate::scenarios::search::Event;
use crate::scenarios::search::Settings;
use crate::scenarios::search::Simulation;
use crate::scenarios::search::policy_on;
use crate::scenarios::search::server;
use crate::scenarios::search::server::ServiceTimes;

const KNOWN_SETTINGS: &[&str] = &["policy", "queries"];

const SHARDS: u32 = 16;

/// Number of replicas of each shard. After a split the first one keeps the lower half of the keys, the second one the
/// upper half, and the third one all keys.
const REPLICAS: u32 = 3;

/// Number of the change that installs tables with split shards.
const INSTALL_SPLIT: u32 = 1_000;

/// Number of the change that installs tables with whole shards again.
const INSTALL_WHOLE: u32 = 1_001;

/// Offset of the changes after which a searcher holds its whole shard again. Without the offset, the number of a
/// searcher is the change that splits its shard.
const MERGE_OFFSET: u32 = 2_000;

/// Runs the scenario. In the baseline `policy=off` keys missing from a reply are not requested from another server.
///
/// # Errors
///
/// Returns an error if a setting is unknown or its value is invalid.
pub fn run(options: &Options) -> Result<Report> {
    options.reject_unknown_settings(KNOWN_SETTINGS)?;
    let shape = ServiceShape::new("heatsheet", SHARDS, &["dc-0", "dc-1", "dc-2"]);
    let whole = Arc::new(TablesBuilder::new(1).index("gala", &[shape]).build());
    let times = ServiceTimes {
        median: Duration::from_millis(4),
        sigma: 0.5,
        straggler_share: 0.0,
        straggler_factor: 1.0,
    };
    let servers = server::for_tables(&whole, times, &[1]);
    let fleet = Fleet::new(Arc::clone(&whole), "dc-0", Instant::now());
    let settings = Settings {
        services: vec!["heatsheet".into()],
        limit: 100,
        deadline: Duration::from_millis(500),
        interval: Duration::from_millis(10),
        queries: options.get("queries", 800)?,
        warmup: 0,
        local_delay: Duration::from_micros(250),
        remote_delay: Duration::from_micros(500),
        pin_newest: false,
        no_retries: !policy_on(options)?,
    };
    let mut simulation = Simulation::new(Arc::new(fleet), servers, settings, options.seed);
    schedule(&mut simulation);
    simulation.run(|simulation, change| apply(simulation, change, &whole));
    let mut report = Report::new("repartition", options.seed);
    simulation.report(&mut report);
    Ok(report)
}

fn schedule(simulation: &mut Simulation) {
    for searcher in 0..SHARDS * REPLICAS {
        let split_after = Duration::from_millis(simulation.rng.random_range(500..2500));
        simulation.events.push(split_after, Event::Change(searcher));
        let merge_after = Duration::from_millis(simulation.rng.random_range(4000..6000));
        simulation
            .events
            .push(merge_after, Event::Change(MERGE_OFFSET + searcher));
    }
    simulation
        .events
        .push(Duration::from_millis(3000), Event::Change(INSTALL_SPLIT));
    simulation
        .events
        .push(Duration::from_millis(6500), Event::Change(INSTALL_WHOLE));
}

fn apply(simulation: &mut Simulation, change: u32, whole: &Arc<Tables>) {
    match change {
        INSTALL_SPLIT => install(simulation, split_tables(whole)),
        INSTALL_WHOLE => install(
            simulation,
            Tables {
                revision: 3,
                ..Tables::clone(whole)
            },
        ),
        searcher if searcher >= MERGE_OFFSET => {
            let searcher = searcher - MERGE_OFFSET;
            let server = &mut simulation.servers[searcher as usize];
            server.key_range = shard_range(whole, searcher);
            server.ignores_range = searcher.is_multiple_of(2);
        }
        searcher => {
            let key_range = kept_range(shard_range(whole, searcher), searcher % REPLICAS);
            let server = &mut simulation.servers[searcher as usize];
            server.key_range = key_range;
            server.ignores_range = true;
        }
    }
}

fn install(simulation: &mut Simulation, tables: Tables) {
    let now = simulation.events.now();
    simulation.fleet = Arc::new(simulation.fleet.next_revision(Arc::new(tables), now));
}

fn shard_range(whole: &Tables, searcher: u32) -> KeyRange {
    let shards = &whole.indexes["gala"].services["heatsheet"].shards;
    shards[(searcher / REPLICAS) as usize].range
}

/// Returns the keys that a replica keeps after the split of its shard.
fn kept_range(range: KeyRange, replica: u32) -> KeyRange {
    let middle = u64::midpoint(range.start, range.end);
    match replica {
        0 => KeyRange { end: middle, ..range },
        1 => KeyRange { start: middle, ..range },
        _ => range,
    }
}

/// Returns tables in which each shard is split in two.
fn split_tables(whole: &Tables) -> Tables {
    let mut tables = whole.clone();
    tables.revision = 2;
    let shards = &mut tables.indexes["gala"].services["heatsheet"].shards;
    let halves = shards.iter().flat_map(|shard| {
        [0, 1].map(|half: u32| Shard {
            id: format!("{}-{half}", shard.id).into(),
            range: kept_range(shard.range, half),
            replicas: vec![shard.replicas[half as usize], shard.replicas[2]],
        })
    });
    *shards = halves.collect();
    tables
}
