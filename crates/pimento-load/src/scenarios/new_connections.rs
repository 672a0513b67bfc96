//! Requests that wait for a new connection in steady state, while the server closes connections at random.

use std::time::Duration;

use eyre::Result;
use pimentoflow::connection::lane::work::Outcome;
use pimentoflow::connection::share::Role;
use pimentoflow::connection::share::Share;
use pimentoflow::wire::proto::Class;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::experiment::Options;
use crate::report::Latencies;
use crate::report::Report;
use crate::scenarios::lane_fleet::LaneFleet;
use crate::scenarios::lane_fleet::Output;
use crate::scenarios::lane_setup;
use crate::scenarios::lane_setup::SearcherSize;

const NAME: &str = "new-connections";

const RUN_LENGTH: Duration = Duration::from_secs(150);
const WARM_UP: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive,
    Break,
    End,
}

/// Runs the scenario. In the baseline `policy=off` the lane has one connection for each slot and no spare ones.
///
/// # Errors
///
/// Returns an error if a setting is unknown or its value is invalid.
pub fn run(options: &Options) -> Result<Report> {
    options.reject_unknown_settings(&["policy", "deployment", "load", "breaks"])?;
    let size = SearcherSize::from_options(options)?;
    let policy = lane_setup::policy_on(options)?;
    let load: f64 = options.get("load", 0.8)?;
    let breaks: f64 = options.get("breaks", 0.5)?;
    let share = if policy {
        size.share()?
    } else {
        Share {
            holder: size.slots,
            remote: 0,
        }
    };
    let mut fleet = LaneFleet::new(size.server(true, options.seed), size.connect_cost);
    let leaf = lane_setup::add_lane(&mut fleet, size.lane(share), Role::Owner, options.seed);
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let mut latencies = Latencies::new();
    let mut report = Report::new(NAME, options.seed);
    let (mut next_id, mut sent, mut waited_connection) = (0, 0_u64, 0_u64);
    fleet.push(Duration::ZERO, Step::Arrive);
    fleet.push(WARM_UP, Step::Break);
    fleet.push(RUN_LENGTH, Step::End);
    while let Some(output) = fleet.advance() {
        match output {
            Output::Scenario(Step::End) => break,
            Output::Scenario(Step::Break) => {
                fleet.push(lane_setup::next_arrival(breaks, &mut rng), Step::Break);
                if let Some(link) = fleet.server.link_at(rng.random_range(0..1_000)) {
                    fleet.break_link(link);
                }
            }
            Output::Scenario(Step::Arrive) => {
                fleet.push(lane_setup::next_arrival(load * size.capacity(), &mut rng), Step::Arrive);
                fleet.offer(leaf, lane_setup::work(next_id, Class::Routine, fleet.now() + DEADLINE));
                next_id += 1;
            }
            Output::Finished(_, job, outcome) => {
                if fleet.elapsed() < WARM_UP {
                    continue;
                }
                sent += 1;
                waited_connection += u64::from(job.waited_connection);
                match outcome {
                    Outcome::Answered => latencies.record(fleet.now() - job.offered_at),
                    Outcome::Refused(refusal) => report.count_refusal(refusal.reason.as_str_name()),
                }
            }
        }
    }
    report.set_latencies(&latencies);
    let counts = fleet.server.counts;
    report.violations = counts.over_cap + counts.pipelined;
    report.set_figure("waited_for_connection", waited_connection as f64 / sent as f64);
    let counters = fleet.lane(leaf).map(pimentoflow::connection::lane::Lane::counters);
    let counters = counters.unwrap_or_default();
    report.set_figure(
        "lane_waited",
        counters.connection_waits as f64 / counters.dispatched as f64,
    );
    report.set_figure("opened", counts.accepted as f64);
    report.set_figure("peak_links", counts.peak_connections as f64);
    Ok(report)
}
