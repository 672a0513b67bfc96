//! Requests that wait for a new connection in steady state, while the server breaks connections at random.

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
use crate::scenarios::lane_fleet::Fleet;
use crate::scenarios::lane_fleet::Happened;
use crate::scenarios::lane_setup;
use crate::scenarios::lane_setup::Size;

const NAME: &str = "new-connections";

const LENGTH: Duration = Duration::from_secs(150);
const WARM_UP: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive,
    Break,
    End,
}

/// Runs the scenario. Without the policy the lane has no connection beside one for each slot.
///
/// # Errors
///
/// Fails when a setting is unknown or does not parse.
pub fn run(options: &Options) -> Result<Report> {
    options.check_known(&["policy", "deployment", "load", "breaks"])?;
    let size = Size::from_options(options)?;
    let policy = lane_setup::policy(options)?;
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
    let mut fleet = Fleet::new(size.server(true, options.seed), size.connect);
    let leaf = lane_setup::add_lane(&mut fleet, size.lane(share), Role::Owner, options.seed);
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let mut latencies = Latencies::new();
    let mut report = Report::new(NAME, options.seed);
    let (mut next, mut sent, mut fresh) = (0, 0_u64, 0_u64);
    fleet.push(Duration::ZERO, Step::Arrive);
    fleet.push(WARM_UP, Step::Break);
    fleet.push(LENGTH, Step::End);
    while let Some(happened) = fleet.advance() {
        match happened {
            Happened::Scenario(Step::End) => break,
            Happened::Scenario(Step::Break) => {
                fleet.push(lane_setup::next_arrival(breaks, &mut rng), Step::Break);
                if let Some(link) = fleet.server.link_at(rng.random_range(0..1_000)) {
                    fleet.break_link(link);
                }
            }
            Happened::Scenario(Step::Arrive) => {
                fleet.push(lane_setup::next_arrival(load * size.capacity(), &mut rng), Step::Arrive);
                fleet.offer(leaf, lane_setup::work(next, Class::Routine, fleet.now() + DEADLINE));
                next += 1;
            }
            Happened::Finished(_, job, outcome) => {
                if fleet.elapsed() < WARM_UP {
                    continue;
                }
                sent += 1;
                fresh += u64::from(job.fresh);
                match outcome {
                    Outcome::Answered => latencies.record(fleet.now() - job.offered),
                    Outcome::Refused(refusal) => report.count_refusal(refusal.reason.as_str_name()),
                }
            }
        }
    }
    report.set_latencies(&latencies);
    let tally = fleet.server.tally;
    report.violations = tally.over_cap + tally.pipelined;
    report.set_figure("waited_for_connection", fresh as f64 / sent as f64);
    let counters = fleet.lane(leaf).map(pimentoflow::connection::lane::Lane::counters);
    let counters = counters.unwrap_or_default();
    report.set_figure(
        "lane_waited",
        counters.connection_waits as f64 / counters.dispatched as f64,
    );
    report.set_figure("opened", tally.accepted as f64);
    report.set_figure("peak_links", tally.peak_links as f64);
    Ok(report)
}
