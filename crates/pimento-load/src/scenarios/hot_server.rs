//! One of the local replicas of a shard becomes much slower during a run.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use pimentoflow::process::fleet::Fleet;
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

const KNOWN_SETTINGS: &[&str] = &["policy", "queries", "slower", "layout"];

const SHARDS: u32 = 20;

/// Time after which the first searcher becomes slow.
const SLOW_AFTER: Duration = Duration::from_secs(2);

/// Runs the scenario. The baseline `policy=off` has neither hedges nor adaptive selection of replicas.
///
/// # Errors
///
/// Returns an error if a setting is unknown or its value is invalid.
pub fn run(options: &Options) -> Result<Report> {
    options.reject_unknown_settings(KNOWN_SETTINGS)?;
    let policy_on = policy_on(options)?;
    let slowdown: f64 = options.get("slower", 10.0)?;
    let layout = options.get("layout", "local".to_owned())?;
    let centres = if layout == "spread" {
        ["dc-0", "dc-1", "dc-2"]
    } else {
        ["dc-0", "dc-0", "dc-1"]
    };
    let mut shape = ServiceShape::new("archivedesk", SHARDS, &centres);
    if !policy_on {
        shape.policy.hedge_budget = 0.0;
    }
    let tables = Arc::new(TablesBuilder::new(1).index("term", &[shape]).build());
    let times = ServiceTimes {
        median: Duration::from_millis(4),
        sigma: 0.5,
        straggler_share: 0.0,
        straggler_factor: 1.0,
    };
    let servers = server::for_tables(&tables, times, &[1]);
    let mut fleet = Fleet::new(tables, "dc-0", Instant::now());
    if !policy_on {
        fleet.replicas = fleet.replicas.without_adaptation();
    }
    let settings = Settings {
        services: vec!["archivedesk".into()],
        limit: 10,
        deadline: Duration::from_secs(1),
        interval: Duration::from_millis(10),
        queries: options.get("queries", 1000)?,
        warmup: 0,
        local_delay: Duration::from_micros(250),
        remote_delay: Duration::from_micros(1500),
        pin_newest: false,
        no_retries: false,
    };
    let mut simulation = Simulation::new(Arc::new(fleet), servers, settings, options.seed);
    simulation.events.push(SLOW_AFTER, Event::Change(0));
    let mut received_before = 0;
    simulation.run(|simulation, _| {
        let times = &mut simulation.servers[0].times;
        times.median = times.median.mul_f64(slowdown);
        received_before = simulation.received[0];
    });
    let mut report = Report::new("hot-server", options.seed);
    simulation.report(&mut report);
    report.set_figure("hot_requests", (simulation.received[0] - received_before) as f64);
    Ok(report)
}
