//! The capacity of a server halves and recovers, under a load of 1.5 times the full capacity.

use std::time::Duration;

use eyre::Result;
use eyre::bail;
use pimentoflow::connection::lane::work::Outcome;
use pimentoflow::connection::share::Role;
use pimentoflow::wire::proto::Class;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::experiment::Options;
use crate::report::Latencies;
use crate::report::Report;
use crate::scenarios::lane_fleet::LaneFleet;
use crate::scenarios::lane_fleet::Output;
use crate::scenarios::lane_setup;
use crate::scenarios::lane_setup::SearcherSize;

const NAME: &str = "capacity-halves";

/// Length of each of the three phases: full, halved, full.
const PHASE_LENGTH: Duration = Duration::from_secs(20);

/// Start of a phase that is not measured, while the limits adapt.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Resolution of the measured goodput.
const BUCKET: Duration = Duration::from_millis(250);

/// Number of consecutive buckets that must reach the goodput for a recovery.
const RECOVERY_BUCKETS: usize = 4;

const DEADLINE: Duration = Duration::from_millis(500);

/// Loads at which the peak goodput is measured, as fractions of the capacity.
const PEAK_LOADS: [f64; 4] = [0.8, 0.9, 1.0, 1.1];

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive,
    Capacity(f64),
    End,
}

/// Load and capacity of one run.
#[derive(Debug, Clone, Copy)]
struct Plan {
    load: f64,
    straggler_share: f64,
    /// Capacity of the second phase, in slots.
    reduced_capacity: f64,
    phases: u32,
}

impl Plan {
    /// Returns a plan with one phase at full capacity.
    fn full(load: f64, straggler_share: f64, size: SearcherSize) -> Self {
        Self {
            load,
            straggler_share,
            reduced_capacity: f64::from(size.slots),
            phases: 1,
        }
    }
}

#[derive(Debug)]
struct Run {
    /// Number of answers within the deadline, by bucket.
    in_time: Vec<u64>,
    latencies: Latencies,
    refused: u64,
    refused_by_server: u64,
    received: u64,
}

/// Runs the scenario. The baseline `policy=off` uses a FIFO client in place of a lane.
///
/// # Errors
///
/// Returns an error if a setting is unknown or its value is invalid.
pub fn run(options: &Options) -> Result<Report> {
    options.reject_unknown_settings(&["policy", "deployment", "load", "server", "stragglers"])?;
    let size = SearcherSize::from_options(options)?;
    let policy = lane_setup::policy_on(options)?;
    let load: f64 = options.get("load", 1.5)?;
    let straggler_share: f64 = options.get("stragglers", 0.0)?;
    let server: String = options.get("server", "refuses".to_owned())?;
    let refuses = match server.as_str() {
        "refuses" => true,
        "slows" => false,
        other => bail!("unknown server `{other}`; use refuses or slows"),
    };
    let half_capacity = f64::from(size.slots) / 2.0;
    let reduced_capacity = if refuses { half_capacity.ceil() } else { half_capacity };
    let mut peak = 0.0_f64;
    for load in PEAK_LOADS {
        let run = simulate(
            size,
            policy,
            refuses,
            Plan::full(load, straggler_share, size),
            options.seed,
        )?;
        peak = peak.max(run.goodput(0));
    }
    let plan = Plan {
        reduced_capacity,
        phases: 3,
        ..Plan::full(load, straggler_share, size)
    };
    let run = simulate(size, policy, refuses, plan, options.seed)?;
    let mut report = Report::new(NAME, options.seed);
    report.set_latencies(&run.latencies);
    report.refusals.insert("lane".into(), run.refused);
    report.refusals.insert("server".into(), run.refused_by_server);
    report.set_figure("goodput_peak", peak);
    report.set_figure("goodput_full", run.goodput(0));
    report.set_figure("goodput_halved", run.goodput(1));
    report.set_figure("goodput_returned", run.goodput(2));
    let capacity = size.capacity();
    report.set_figure("kept_full", run.goodput(0) / peak);
    let remaining_fraction = reduced_capacity / f64::from(size.slots);
    report.set_figure("kept_halved", run.goodput(1) / (peak * remaining_fraction));
    report.set_figure("capacity", capacity);
    report.set_figure("recovery_s", run.recovery_s(peak));
    report.set_figure("refused_by_server", run.refused_by_server as f64 / run.received as f64);
    Ok(report)
}

fn simulate(size: SearcherSize, policy: bool, refuses: bool, plan: Plan, seed: u64) -> Result<Run> {
    let share = size.share()?;
    let mut fleet = LaneFleet::new(size.server(refuses, seed), size.connect_cost);
    fleet.server.config.straggler_share = plan.straggler_share;
    let leaf = if policy {
        lane_setup::add_lane(&mut fleet, size.lane(share), Role::Owner, seed)
    } else {
        lane_setup::add_fifo(&mut fleet, size, share)
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let buckets = (PHASE_LENGTH * 3).as_millis() / BUCKET.as_millis();
    let mut run = Run {
        in_time: vec![0; buckets as usize + 1],
        latencies: Latencies::new(),
        refused: 0,
        refused_by_server: 0,
        received: 0,
    };
    let mut next_id = 0;
    fleet.push(Duration::ZERO, Step::Arrive);
    fleet.push(PHASE_LENGTH, Step::Capacity(plan.reduced_capacity));
    fleet.push(PHASE_LENGTH * 2, Step::Capacity(f64::from(size.slots)));
    fleet.push(PHASE_LENGTH * plan.phases, Step::End);
    while let Some(output) = fleet.advance() {
        match output {
            Output::Scenario(Step::End) => break,
            Output::Scenario(Step::Capacity(capacity)) => fleet.server.config.capacity = capacity,
            Output::Scenario(Step::Arrive) => {
                fleet.push(
                    lane_setup::next_arrival(plan.load * size.capacity(), &mut rng),
                    Step::Arrive,
                );
                fleet.offer(leaf, lane_setup::work(next_id, Class::Routine, fleet.now() + DEADLINE));
                next_id += 1;
            }
            Output::Finished(_, job, Outcome::Answered) => {
                let latency = fleet.now() - job.offered_at;
                run.latencies.record(latency);
                if latency <= DEADLINE {
                    let bucket = fleet.elapsed().as_millis() / BUCKET.as_millis();
                    run.in_time[bucket as usize] += 1;
                }
            }
            Output::Finished(..) => run.refused += 1,
        }
    }
    run.refused_by_server = fleet.server.counts.refused;
    run.received = fleet.server.counts.received;
    Ok(run)
}

impl Run {
    /// Returns the goodput of a phase: answers within the deadline, per second.
    fn goodput(&self, phase: usize) -> f64 {
        let length = (PHASE_LENGTH.as_millis() / BUCKET.as_millis()) as usize;
        let settle = (SETTLE_TIME.as_millis() / BUCKET.as_millis()) as usize;
        let buckets = &self.in_time[phase * length + settle..(phase + 1) * length];
        let total: u64 = buckets.iter().sum();
        total as f64 / (buckets.len() as f64 * BUCKET.as_secs_f64())
    }

    /// Returns the time from the recovery of the capacity to the first second with 90% of the peak goodput, in seconds.
    ///
    /// Returns the length of the phase if the goodput did not recover.
    fn recovery_s(&self, peak: f64) -> f64 {
        let length = (PHASE_LENGTH.as_millis() / BUCKET.as_millis()) as usize;
        let window = BUCKET.as_secs_f64() * RECOVERY_BUCKETS as f64;
        let has_recovered = |sum: u64| sum as f64 / window >= 0.9 * peak;
        let mut windows = self.in_time[2 * length..].windows(RECOVERY_BUCKETS);
        let first = windows.position(|window| has_recovered(window.iter().sum()));
        first.map_or(PHASE_LENGTH.as_secs_f64(), |first| first as f64 * BUCKET.as_secs_f64())
    }
}
