//! Searches over 390 shards with three replicas each, where 1% of requests are 30 times slower.
//!
//! The tail latency is compared with the median of a second run without stragglers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use eyre::bail;
use pimentoflow::process::fleet::Fleet;
use pimentoflow::version::tables::Tables;
use testkit::ServiceShape;
use testkit::TablesBuilder;

use crate::experiment::Options;
use crate::report::Report;
use crate::scenarios::search::Settings;
use crate::scenarios::search::Simulation;
use crate::scenarios::search::server;
use crate::scenarios::search::server::ServiceTimes;

const KNOWN_SETTINGS: &[&str] = &[
    "policy",
    "queries",
    "stragglers",
    "slower",
    "sigma",
    "deployment",
    "interval_us",
];

/// Number of searches before the measurement, in which the library learns the distribution of latencies.
const WARMUP_SEARCHES: u32 = 40;

/// Number of services and shards that a search queries, and the delay to remote data centres.
#[derive(Debug, Clone, Copy)]
struct Deployment {
    services: u32,
    shards: u32,
    one_way_delay: Duration,
}

/// Runs the scenario. The baseline `policy=off` has no hedges.
///
/// # Errors
///
/// Returns an error if a setting is unknown or its value is invalid.
pub fn run(options: &Options) -> Result<Report> {
    options.reject_unknown_settings(KNOWN_SETTINGS)?;
    let mut report = Report::new("stragglers", options.seed);
    let straggler_share = options.get("stragglers", 0.01)?;
    let clean = measure(options, 0.0)?;
    let simulation = measure(options, straggler_share)?;
    simulation.report(&mut report);
    let mut baseline = Report::new("stragglers", options.seed);
    clean.report(&mut baseline);
    report.violations += baseline.violations;
    report.set_figure("clean_p50_ms", baseline.p50_ms);
    report.set_figure("clean_p99_ms", baseline.p99_ms);
    report.set_figure("clean_extra_load", baseline.extra_load);
    report.set_figure("p99_over_clean_p50", report.p99_ms / baseline.p50_ms);
    Ok(report)
}

fn measure(options: &Options, straggler_share: f64) -> Result<Simulation> {
    let deployment = deployment(&options.get("deployment", "large".to_owned())?)?;
    let policy_on = super::search::policy_on(options)?;
    let tables = tables(deployment, policy_on);
    let times = ServiceTimes {
        median: Duration::from_millis(4),
        sigma: options.get("sigma", 0.5)?,
        straggler_share,
        straggler_factor: options.get("slower", 30.0)?,
    };
    let servers = server::for_tables(&tables, times, &[1]);
    let settings = Settings {
        services: tables.indexes["term"].services.keys().cloned().collect(),
        limit: 10,
        deadline: Duration::from_millis(1000),
        interval: Duration::from_micros(options.get("interval_us", 20_000)?),
        queries: options.get("queries", 440)?,
        warmup: WARMUP_SEARCHES,
        local_delay: Duration::from_micros(250),
        remote_delay: deployment.one_way_delay,
        pin_newest: false,
        no_retries: false,
    };
    let fleet = Fleet::new(tables, "dc-0", Instant::now());
    let mut simulation = Simulation::new(Arc::new(fleet), servers, settings, options.seed);
    simulation.run(|_, _| {});
    Ok(simulation)
}

fn deployment(name: &str) -> Result<Deployment> {
    let (services, shards, one_way_delay) = match name {
        "large" => (1, 390, 1500),
        "fraser" => (10, 1, 1500),
        "abay" => (10, 1, 500),
        other => bail!("unknown deployment `{other}`; use large, fraser or abay"),
    };
    Ok(Deployment {
        services,
        shards,
        one_way_delay: Duration::from_micros(one_way_delay),
    })
}

fn tables(deployment: Deployment, policy_on: bool) -> Arc<Tables> {
    let shapes = (0..deployment.services).map(|number| {
        let centres = ["dc-0", "dc-1", "dc-2"];
        let mut shape = ServiceShape::new(&format!("s{number}"), deployment.shards, &centres);
        if !policy_on {
            shape.policy.hedge_budget = 0.0;
        }
        shape
    });
    let shapes: Vec<ServiceShape> = shapes.collect();
    Arc::new(TablesBuilder::new(1).index("term", &shapes).build())
}
