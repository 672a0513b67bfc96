//! Comparison of ways to divide the connections to a searcher among four instances: equal shares for all, equal shares
//! for a subset, or a single owner.

use std::time::Duration;

use eyre::Result;
use pimentoflow::connection::lane::work::Outcome;
use pimentoflow::connection::lane::work::Work;
use pimentoflow::connection::share::Role;
use pimentoflow::connection::share::Share;
use pimentoflow::wire::proto::Class;
use pimentoflow::wire::proto::RefusalReason;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::experiment::Options;
use crate::report::Latencies;
use crate::report::Report;
use crate::scenarios::lane_fleet::LaneFleet;
use crate::scenarios::lane_fleet::ONE_WAY_DELAY;
use crate::scenarios::lane_fleet::Output;
use crate::scenarios::lane_setup;
use crate::scenarios::lane_setup::SearcherSize;

const NAME: &str = "owner-compare";

const INSTANCES: usize = 4;

/// Number of instances that connect to one searcher with random subsets.
const SUBSET_SIZE: usize = 2;

const RUN_LENGTH: Duration = Duration::from_secs(60);
const WARM_UP: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(1);

/// Delay before a refused request is offered again to one of the connected instances.
const RETRY_DELAY: Duration = Duration::from_millis(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    All,
    Subset,
    Owner,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive,
    Retry(Work),
    End,
}

#[derive(Debug, Default)]
struct Run {
    queue_waits: Latencies,
    latencies: Latencies,
    offered: u64,
    failed: u64,
    refused: u64,
    opened: u64,
    over_cap: u64,
    peak_connections: usize,
}

/// Runs the scenario: each strategy at a load of 70% and of 90% of the slots.
///
/// # Errors
///
/// Returns an error if a setting is unknown or its value is invalid.
pub fn run(options: &Options) -> Result<Report> {
    options.reject_unknown_settings(&["deployment"])?;
    let size = SearcherSize::from_options(options)?;
    let mut report = Report::new(NAME, options.seed);
    for (strategy, name) in [
        (Strategy::All, "all"),
        (Strategy::Subset, "subset"),
        (Strategy::Owner, "owner"),
    ] {
        for percent in [70, 90] {
            let run = simulate(size, strategy, f64::from(percent) / 100.0, options.seed)?;
            let prefix = format!("{name}_{percent}");
            report.set_figure(&format!("{prefix}_wait_p50_ms"), run.queue_waits.quantile_ms(0.5));
            report.set_figure(&format!("{prefix}_wait_p99_ms"), run.queue_waits.quantile_ms(0.99));
            report.set_figure(&format!("{prefix}_refused"), run.refused as f64 / run.offered as f64);
            report.set_figure(&format!("{prefix}_failed"), run.failed as f64 / run.offered as f64);
            report.set_figure(&format!("{prefix}_opened"), run.opened as f64);
            report.set_figure(&format!("{prefix}_peak_links"), run.peak_connections as f64);
            report.violations += run.over_cap;
            if strategy == Strategy::Owner {
                report.set_latencies(&run.latencies);
            }
        }
    }
    Ok(report)
}

fn simulate(size: SearcherSize, strategy: Strategy, load: f64, seed: u64) -> Result<Run> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = LaneFleet::new(size.server(true, seed), size.connect_cost);
    let share = size.share()?;
    let equal_share = Share {
        holder: size.cap / INSTANCES as u32,
        remote: 0,
    };
    let connected = match strategy {
        Strategy::All => INSTANCES,
        Strategy::Subset => SUBSET_SIZE,
        Strategy::Owner => 1,
    };
    for leaf in 0..INSTANCES {
        let (role, share) = match strategy {
            Strategy::Owner if leaf == 0 => (Role::Owner, share),
            Strategy::Owner if leaf == 1 => (Role::Successor, share),
            _ if leaf < connected => (Role::Owner, equal_share),
            _ => (Role::None, share),
        };
        lane_setup::add_lane(&mut fleet, size.lane(share), role, seed * 31 + leaf as u64);
    }
    let mut run = Run::default();
    let mut next_id = 0;
    fleet.push(Duration::ZERO, Step::Arrive);
    fleet.push(RUN_LENGTH, Step::End);
    while let Some(output) = fleet.advance() {
        match output {
            Output::Scenario(Step::End) => break,
            Output::Scenario(Step::Arrive) => {
                fleet.push(lane_setup::next_arrival(load * size.capacity(), &mut rng), Step::Arrive);
                run.offered += 1;
                let work = lane_setup::work(next_id, Class::Routine, fleet.now() + DEADLINE);
                next_id += 1;
                fleet.offer(rng.random_range(0..connected), work);
            }
            Output::Scenario(Step::Retry(work)) => fleet.offer(rng.random_range(0..connected), work),
            Output::Finished(_, job, outcome) => {
                let arrived = job.work.deadline - DEADLINE;
                let latency = fleet.now() - arrived;
                match outcome {
                    Outcome::Answered if fleet.elapsed() >= WARM_UP => {
                        run.latencies.record(latency);
                        run.queue_waits
                            .record(latency.saturating_sub(job.service + ONE_WAY_DELAY * 2));
                    }
                    Outcome::Answered => {}
                    Outcome::Refused(refusal) if refusal.reason == RefusalReason::Shedding => {
                        fleet.push(RETRY_DELAY, Step::Retry(job.work));
                    }
                    Outcome::Refused(_) => run.failed += 1,
                }
            }
        }
    }
    let counts = fleet.server.counts;
    run.refused = counts.refused;
    run.opened = counts.accepted;
    run.over_cap = counts.over_cap;
    run.peak_connections = counts.peak_connections;
    Ok(run)
}
