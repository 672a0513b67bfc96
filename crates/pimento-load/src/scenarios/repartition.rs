//! Repartition: shards split and merge on the servers while searches run, and the configuration follows later.

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
use crate::scenarios::search::World;
use crate::scenarios::search::policy_on;
use crate::scenarios::search::server;
use crate::scenarios::search::server::Times;

const KNOWN: &[&str] = &["policy", "queries"];

const SHARDS: u32 = 16;

/// Replicas of each shard: the first keeps the lower half after a split, the second the upper, the third all.
const REPLICAS: u32 = 3;

/// Change of the configuration to split shards.
const SPLIT_TABLES: u32 = 1_000;

/// Change of the configuration back to whole shards.
const WHOLE_TABLES: u32 = 1_001;

/// Offset of the change in which a searcher holds its whole shard again.
const MERGE: u32 = 2_000;

/// Runs the scenario. With `policy=off` the keys that a reply left out are not asked for elsewhere.
///
/// # Errors
///
/// Fails when a setting is unknown or does not parse.
pub fn run(options: &Options) -> Result<Report> {
    options.check_known(KNOWN)?;
    let shape = ServiceShape::new("heatsheet", SHARDS, &["dc-0", "dc-1", "dc-2"]);
    let whole = Arc::new(TablesBuilder::new(1).index("gala", &[shape]).build());
    let times = Times {
        median: Duration::from_millis(4),
        sigma: 0.5,
        stragglers: 0.0,
        slower: 1.0,
    };
    let servers = server::all(&whole, times, &[1]);
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
        newest: false,
        first_only: !policy_on(options)?,
    };
    let mut world = World::new(Arc::new(fleet), servers, settings, options.seed);
    schedule(&mut world);
    world.run(|world, change| apply(world, change, &whole));
    let mut report = Report::new("repartition", options.seed);
    world.report(&mut report);
    Ok(report)
}

fn schedule(world: &mut World) {
    for searcher in 0..SHARDS * REPLICAS {
        let split = Duration::from_millis(world.rng.random_range(500..2500));
        world.events.push(split, Event::Change(searcher));
        let merge = Duration::from_millis(world.rng.random_range(4000..6000));
        world.events.push(merge, Event::Change(MERGE + searcher));
    }
    world
        .events
        .push(Duration::from_millis(3000), Event::Change(SPLIT_TABLES));
    world
        .events
        .push(Duration::from_millis(6500), Event::Change(WHOLE_TABLES));
}

fn apply(world: &mut World, change: u32, whole: &Arc<Tables>) {
    match change {
        SPLIT_TABLES => install(world, split(whole)),
        WHOLE_TABLES => install(
            world,
            Tables {
                revision: 3,
                ..Tables::clone(whole)
            },
        ),
        searcher if searcher >= MERGE => {
            let searcher = searcher - MERGE;
            let server = &mut world.servers[searcher as usize];
            server.owned = range(whole, searcher);
            server.ignores_range = searcher.is_multiple_of(2);
        }
        searcher => {
            let owned = kept(range(whole, searcher), searcher % REPLICAS);
            let server = &mut world.servers[searcher as usize];
            server.owned = owned;
            server.ignores_range = true;
        }
    }
}

fn install(world: &mut World, tables: Tables) {
    let now = world.events.now();
    world.fleet = Arc::new(world.fleet.next_revision(Arc::new(tables), now));
}

fn range(whole: &Tables, searcher: u32) -> KeyRange {
    let shards = &whole.indexes["gala"].services["heatsheet"].shards;
    shards[(searcher / REPLICAS) as usize].range
}

/// Returns the keys that a replica keeps after the split of its shard.
fn kept(range: KeyRange, replica: u32) -> KeyRange {
    let middle = u64::midpoint(range.start, range.end);
    match replica {
        0 => KeyRange { end: middle, ..range },
        1 => KeyRange { start: middle, ..range },
        _ => range,
    }
}

/// Returns the tables in which each shard is split in two.
fn split(whole: &Tables) -> Tables {
    let mut tables = whole.clone();
    tables.revision = 2;
    let shards = &mut tables.indexes["gala"].services["heatsheet"].shards;
    let halves = shards.iter().flat_map(|shard| {
        [0, 1].map(|half: u32| Shard {
            id: format!("{}-{half}", shard.id).into(),
            range: kept(shard.range, half),
            replicas: vec![shard.replicas[half as usize], shard.replicas[2]],
        })
    });
    *shards = halves.collect();
    tables
}
