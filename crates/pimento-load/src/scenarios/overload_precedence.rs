//! Urgent requests under a routine load of twice the capacity.

use std::time::Duration;

use eyre::Result;
use pimentoflow::connection::lane::work::Outcome;
use pimentoflow::process::admission::Admission;
use pimentoflow::process::admission::AdmissionConfig;
use pimentoflow::wire::proto::Class;
use pimentoflow::wire::proto::RefusalReason;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::experiment::Options;
use crate::report::Latencies;
use crate::report::Report;
use crate::scenarios::lane_fleet::LaneFleet;
use crate::scenarios::lane_fleet::Output;
use crate::scenarios::lane_server::SERVICE_MEAN;
use crate::scenarios::lane_setup;
use crate::scenarios::lane_setup::SearcherSize;

const NAME: &str = "overload-precedence";

const RUN_LENGTH: Duration = Duration::from_secs(60);

/// Start of a run that is not measured, because of connection setup and slow start.
const WARM_UP: Duration = Duration::from_secs(2);

const URGENT_DEADLINE: Duration = Duration::from_millis(500);
const ROUTINE_DEADLINE: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive(Class),
    End,
}

/// Results of one run.
#[derive(Debug, Default)]
struct Run {
    urgent: Latencies,
    routine: Latencies,
    urgent_refused: u64,
    routine_refused: u64,
    /// Number of requests refused by the admission control of the entry.
    entry_refusals: u64,
    /// Number of answers after the deadline.
    late: u64,
    /// Greatest fraction of its deadline after which a request was refused.
    latest_refusal: f64,
    pipelined: u64,
}

/// Runs the scenario. The baseline `policy=off` uses a FIFO client and no admission control.
///
/// # Errors
///
/// Returns an error if a setting is unknown or its value is invalid.
pub fn run(options: &Options) -> Result<Report> {
    options.reject_unknown_settings(&["policy", "deployment", "urgent", "routine"])?;
    let size = SearcherSize::from_options(options)?;
    let policy = lane_setup::policy_on(options)?;
    let urgent: f64 = options.get("urgent", 0.3)?;
    let routine: f64 = options.get("routine", 2.0)?;
    let urgent_only = simulate(size, policy, urgent, 0.0, options.seed)?;
    let loaded = simulate(size, policy, urgent, routine, options.seed)?;
    let mut report = Report::new(NAME, options.seed);
    report.set_latencies(&loaded.urgent);
    report.violations = loaded.pipelined;
    report.refusals.insert("urgent".into(), loaded.urgent_refused);
    report.refusals.insert("routine".into(), loaded.routine_refused);
    let unloaded_p99 = urgent_only.urgent.quantile_ms(0.99);
    let slot_ms = SERVICE_MEAN.as_secs_f64() * 1_000.0;
    report.set_figure("urgent_unloaded_p99_ms", unloaded_p99);
    report.set_figure("urgent_p99_bound_ms", 1.2 * unloaded_p99 + slot_ms);
    report.set_figure("routine_answered", loaded.routine.count() as f64);
    report.set_figure("routine_p99_ms", loaded.routine.quantile_ms(0.99));
    report.set_figure("refused_latest", loaded.latest_refusal);
    let measured = (RUN_LENGTH - WARM_UP).as_secs_f64();
    let served = (loaded.urgent.count() + loaded.routine.count()) as f64;
    report.set_figure("late", loaded.late as f64 / served);
    report.set_figure("refused_at_entry", loaded.entry_refusals as f64);
    report.set_figure("utilisation", served / measured / size.capacity());
    Ok(report)
}

fn simulate(size: SearcherSize, policy: bool, urgent: f64, routine: f64, seed: u64) -> Result<Run> {
    let share = size.share()?;
    let mut fleet = LaneFleet::new(size.server(true, seed), size.connect_cost);
    let leaf = if policy {
        lane_setup::add_lane(
            &mut fleet,
            size.lane(share),
            pimentoflow::connection::share::Role::Owner,
            seed,
        )
    } else {
        lane_setup::add_fifo(&mut fleet, size, share)
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let admission = Admission::new(AdmissionConfig::default(), fleet.now());
    let mut run = Run::default();
    let mut next_id = 0;
    for class in [Class::Urgent, Class::Routine] {
        fleet.push(Duration::ZERO, Step::Arrive(class));
    }
    fleet.push(RUN_LENGTH, Step::End);
    while let Some(output) = fleet.advance() {
        match output {
            Output::Scenario(Step::End) => break,
            Output::Scenario(Step::Arrive(class)) => {
                let load = if class == Class::Urgent { urgent } else { routine };
                if load <= 0.0 {
                    continue;
                }
                let wait = lane_setup::next_arrival(load * size.capacity(), &mut rng);
                fleet.push(wait, Step::Arrive(class));
                if policy && admission.on_request(class, fleet.now()).is_err() {
                    run.refuse(class, fleet.elapsed());
                    run.entry_refusals += u64::from(fleet.elapsed() >= WARM_UP);
                    continue;
                }
                let length = deadline(class);
                fleet.offer(leaf, lane_setup::work(next_id, class, fleet.now() + length));
                next_id += 1;
            }
            Output::Finished(_, job, outcome) => {
                let class = job.work.class;
                admission.on_done(class, is_overload_refusal(outcome), fleet.now());
                let latency = fleet.now() - job.offered_at;
                if fleet.elapsed() < WARM_UP {
                    continue;
                }
                match outcome {
                    Outcome::Answered => {
                        run.late += u64::from(latency > deadline(class));
                        run.answer(class, latency);
                    }
                    Outcome::Refused(_) => {
                        let used_fraction = latency.as_secs_f64() / deadline(class).as_secs_f64();
                        run.latest_refusal = run.latest_refusal.max(used_fraction);
                        run.refuse(class, fleet.elapsed());
                    }
                }
            }
        }
    }
    run.pipelined = fleet.server.counts.pipelined;
    Ok(run)
}

const fn deadline(class: Class) -> Duration {
    match class {
        Class::Urgent => URGENT_DEADLINE,
        Class::Routine => ROUTINE_DEADLINE,
    }
}

fn is_overload_refusal(outcome: Outcome) -> bool {
    let reasons = [
        RefusalReason::QueueFull,
        RefusalReason::Shedding,
        RefusalReason::Expired,
    ];
    matches!(outcome, Outcome::Refused(refusal) if reasons.contains(&refusal.reason))
}

impl Run {
    fn answer(&mut self, class: Class, latency: Duration) {
        match class {
            Class::Urgent => self.urgent.record(latency),
            Class::Routine => self.routine.record(latency),
        }
    }

    fn refuse(&mut self, class: Class, elapsed: Duration) {
        if elapsed < WARM_UP {
            return;
        }
        match class {
            Class::Urgent => self.urgent_refused += 1,
            Class::Routine => self.routine_refused += 1,
        }
    }
}
