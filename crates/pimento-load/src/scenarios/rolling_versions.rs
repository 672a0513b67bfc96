//! Servers adopt new snapshots at different times, roll back and drop old ones during searches.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use pimentoflow::process::fleet::Fleet;
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

const KNOWN_SETTINGS: &[&str] = &["policy", "queries", "kept"];

const SHARDS: u32 = 40;

/// Interval between two publications of a snapshot.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(1000);

/// Greatest delay until a server adopts a snapshot.
const MAX_ADOPTION_DELAY: Duration = Duration::from_millis(800);

/// Fraction of servers that roll back after each publication.
const ROLLBACK_SHARE: f64 = 0.05;

/// Change at the servers. The number of an [`Event::Change`] encodes the kind and the searcher.
#[derive(Debug, Clone, Copy)]
enum Change {
    Publish,
    Adopt(usize),
    RollBack(usize),
}

impl Change {
    fn event(self) -> Event {
        Event::Change(match self {
            Self::Publish => 0,
            Self::Adopt(searcher) => 1 + 2 * searcher as u32,
            Self::RollBack(searcher) => 2 + 2 * searcher as u32,
        })
    }

    const fn parse(number: u32) -> Self {
        let searcher = (number as usize).saturating_sub(1) / 2;
        match (number, number % 2) {
            (0, _) => Self::Publish,
            (_, 1) => Self::Adopt(searcher),
            _ => Self::RollBack(searcher),
        }
    }
}

/// Runs the scenario. In the baseline `policy=off` searches pin the newest snapshot that any server holds.
///
/// # Errors
///
/// Returns an error if a setting is unknown or its value is invalid.
pub fn run(options: &Options) -> Result<Report> {
    options.reject_unknown_settings(KNOWN_SETTINGS)?;
    let kept: usize = options.get("kept", 2)?;
    let shape = ServiceShape::new("heatsheet", SHARDS, &["dc-0", "dc-1", "dc-2"]);
    let tables = Arc::new(TablesBuilder::new(1).index("gala", &[shape]).build());
    let times = ServiceTimes {
        median: Duration::from_millis(4),
        sigma: 0.5,
        straggler_share: 0.0,
        straggler_factor: 1.0,
    };
    let servers = server::for_tables(&tables, times, &[1]);
    let fleet = Fleet::new(tables, "dc-0", Instant::now());
    let settings = Settings {
        services: vec!["heatsheet".into()],
        limit: 20,
        deadline: Duration::from_millis(500),
        interval: Duration::from_millis(10),
        queries: options.get("queries", 800)?,
        warmup: 0,
        local_delay: Duration::from_micros(250),
        remote_delay: Duration::from_micros(500),
        pin_newest: !policy_on(options)?,
        no_retries: false,
    };
    let mut simulation = Simulation::new(Arc::new(fleet), servers, settings, options.seed);
    simulation
        .events
        .push(Duration::from_millis(100), Change::Publish.event());
    let mut latest = 1;
    simulation.run(|simulation, number| match Change::parse(number) {
        Change::Publish => {
            latest += 1;
            publish(simulation);
        }
        Change::Adopt(searcher) => adopt(&mut simulation.servers[searcher].snapshots, latest, kept),
        Change::RollBack(searcher) => roll_back(&mut simulation.servers[searcher].snapshots),
    });
    let mut report = Report::new("rolling-versions", options.seed);
    simulation.report(&mut report);
    report.set_figure("snapshots", latest as f64);
    Ok(report)
}

fn publish(simulation: &mut Simulation) {
    for searcher in 0..simulation.servers.len() {
        let wait = MAX_ADOPTION_DELAY.mul_f64(simulation.rng.random());
        simulation.events.push(wait, Change::Adopt(searcher).event());
        if simulation.rng.random_bool(ROLLBACK_SHARE) {
            let wait = PUBLISH_INTERVAL.mul_f64(simulation.rng.random());
            simulation.events.push(wait, Change::RollBack(searcher).event());
        }
    }
    simulation.events.push(PUBLISH_INTERVAL, Change::Publish.event());
}

fn adopt(held: &mut Vec<u64>, snapshot: u64, kept: usize) {
    if !held.contains(&snapshot) {
        held.push(snapshot);
    }
    held.drain(..held.len().saturating_sub(kept));
}

fn roll_back(held: &mut Vec<u64>) {
    if held.len() > 1 {
        held.pop();
    }
}
