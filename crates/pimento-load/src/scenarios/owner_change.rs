//! The owner of a searcher is replaced, paused and killed, while more than one instance assumes that it is the owner.

use std::time::Duration;

use eyre::Result;
use pimentoflow::connection::lane::Lane;
use pimentoflow::connection::lane::work::HANDOVER_PERIOD;
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
use crate::scenarios::lane_setup::CLAIMS;
use crate::scenarios::lane_setup::SearcherSize;

const NAME: &str = "owner-change";

const INSTANCES: usize = 4;
const RUN_LENGTH: Duration = Duration::from_secs(30);
const DEADLINE: Duration = Duration::from_millis(500);

/// Greatest delay until the views of all instances show a change.
const VIEW_LAG: Duration = Duration::from_secs(3);

/// Times at which the owner is replaced, paused, resumed and killed.
const REPLACED_AT: Duration = Duration::from_secs(5);
const PAUSED_AT: Duration = Duration::from_secs(12);
const RESUMED_AT: Duration = Duration::from_secs(17);
const KILLED_AT: Duration = Duration::from_secs(22);

/// Time until a resumed instance has refreshed its views.
const VIEW_REFRESH: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive,
    Role(usize, Role, bool),
    Pause(usize),
    Resume(usize),
    Confirm(usize, Role),
    Kill(usize),
    End,
}

/// Runs the scenario. With `handover=off` a new owner uses all slots at once.
///
/// In the baseline `policy=off`, moreover, each holder opens up to half of the capped connections, and a resumed
/// instance continues before it has refreshed its views.
///
/// # Errors
///
/// Returns an error if a setting is unknown or its value is invalid.
pub fn run(options: &Options) -> Result<Report> {
    options.reject_unknown_settings(&["policy", "deployment", "load", "believers", "handover"])?;
    let size = SearcherSize::from_options(options)?;
    let policy = lane_setup::policy_on(options)?;
    let load: f64 = options.get("load", 1.2)?;
    let assumed_owners: usize = options.get("believers", 2)?;
    let half_cap = Share {
        holder: size.cap / 2,
        remote: 1,
    };
    let share = if policy { size.share()? } else { half_cap };
    let mut config = size.lane(share);
    let handover: String = options.get("handover", "on".to_owned())?;
    if !policy || handover == "off" {
        config.handover_period = Duration::ZERO;
    }
    // The server does not refuse requests above its slots, so that the peak shows by how many they were exceeded.
    let mut fleet = LaneFleet::new(size.server(false, options.seed), size.connect_cost);
    for (leaf, role) in [Role::Owner, Role::Successor, Role::None, Role::None]
        .into_iter()
        .enumerate()
    {
        lane_setup::add_lane(&mut fleet, config, role, options.seed * 31 + leaf as u64);
    }
    for (at, step) in timeline(assumed_owners) {
        fleet.push(at, step);
    }
    fleet.push(Duration::ZERO, Step::Arrive);
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let mut run = Run::new(options.seed);
    while let Some(output) = fleet.advance() {
        match output {
            Output::Scenario(Step::End) => break,
            Output::Scenario(Step::Arrive) => {
                fleet.push(lane_setup::next_arrival(load * size.capacity(), &mut rng), Step::Arrive);
                run.offer(&mut fleet, &mut rng);
            }
            Output::Scenario(step) => run.apply(&mut fleet, step, policy),
            Output::Finished(_, job, Outcome::Answered) => run.latencies.record(fleet.now() - job.offered_at),
            Output::Finished(_, _, Outcome::Refused(refusal)) => {
                run.report.count_refusal(refusal.reason.as_str_name());
            }
        }
    }
    Ok(run.finish(&fleet, size))
}

/// Returns the changes of the owner and their times.
///
/// Instance 1 replaces instance 0. Until the views agree, instance 0 also acts as the owner, and so do up to two others
/// that assume they are the new one. Then instance 1 is paused, instance 2 takes over, and instance 1 resumes. Finally
/// instance 2 is killed and instance 1 takes over again.
fn timeline(assumed_owners: usize) -> Vec<(Duration, Step)> {
    let third = if assumed_owners > 2 {
        Role::Owner
    } else {
        Role::Successor
    };
    let fourth = if assumed_owners > 3 { Role::Owner } else { Role::None };
    vec![
        (REPLACED_AT, Step::Role(1, Role::Owner, true)),
        (REPLACED_AT, Step::Role(2, third, true)),
        (REPLACED_AT, Step::Role(3, fourth, true)),
        (REPLACED_AT + VIEW_LAG, Step::Role(0, Role::None, false)),
        (REPLACED_AT + VIEW_LAG, Step::Role(2, Role::Successor, false)),
        (REPLACED_AT + VIEW_LAG, Step::Role(3, Role::None, false)),
        (PAUSED_AT, Step::Pause(1)),
        (PAUSED_AT + VIEW_LAG / 2, Step::Role(2, Role::Owner, true)),
        (PAUSED_AT + VIEW_LAG / 2, Step::Role(3, Role::Successor, false)),
        (RESUMED_AT, Step::Resume(1)),
        (RESUMED_AT + VIEW_REFRESH, Step::Confirm(1, Role::None)),
        (RESUMED_AT + VIEW_LAG, Step::Role(1, Role::Successor, false)),
        (RESUMED_AT + VIEW_LAG, Step::Role(3, Role::None, false)),
        (KILLED_AT, Step::Kill(2)),
        (KILLED_AT + VIEW_LAG, Step::Role(1, Role::Owner, true)),
        (KILLED_AT + VIEW_LAG, Step::Role(3, Role::Successor, false)),
        (RUN_LENGTH, Step::End),
    ]
}

#[derive(Debug)]
struct Run {
    report: Report,
    latencies: Latencies,
    next_id: u64,
    roles: [Role; INSTANCES],
    /// Number of requests that a resumed instance sent before it had refreshed its views.
    stale_requests: u64,
    sent_before: Option<u64>,
}

impl Run {
    fn new(seed: u64) -> Self {
        Self {
            report: Report::new(NAME, seed),
            latencies: Latencies::new(),
            next_id: 0,
            roles: [Role::Owner, Role::Successor, Role::None, Role::None],
            stale_requests: 0,
            sent_before: None,
        }
    }

    /// Offers a work item to a random instance among those that act as the owner, since entries have different views.
    fn offer(&mut self, fleet: &mut LaneFleet<Step>, rng: &mut SmallRng) {
        let owners: Vec<usize> = (0..INSTANCES).filter(|leaf| self.roles[*leaf] == Role::Owner).collect();
        let Some(leaf) = owners.get(rng.random_range(0..owners.len().max(1))) else {
            return;
        };
        let class = if rng.random_bool(0.2) {
            Class::Urgent
        } else {
            Class::Routine
        };
        let mut work = lane_setup::work(self.next_id, class, fleet.now() + DEADLINE);
        work.idempotent = rng.random_bool(0.8);
        self.next_id += 1;
        fleet.offer(*leaf, work);
    }

    fn apply(&mut self, fleet: &mut LaneFleet<Step>, step: Step, policy: bool) {
        match step {
            Step::Role(leaf, role, handover) => {
                self.roles[leaf] = role;
                let handover = handover && policy;
                fleet.with_lane(leaf, |lane, now, actions| lane.on_role(role, handover, now, actions));
            }
            Step::Pause(leaf) => fleet.pause(leaf),
            Step::Resume(leaf) => {
                self.sent_before = Some(fleet.requests_from(leaf));
                fleet.resume(leaf);
                if !policy {
                    fleet.with_lane(leaf, Lane::on_views_confirmed);
                }
            }
            Step::Confirm(leaf, role) => {
                self.stale_requests += fleet.requests_from(leaf) - self.sent_before.unwrap_or_default();
                self.roles[leaf] = role;
                fleet.with_lane(leaf, |lane, now, actions| {
                    lane.on_role(role, false, now, actions);
                    lane.on_views_confirmed(now, actions);
                });
            }
            Step::Kill(leaf) => {
                self.roles[leaf] = Role::None;
                fleet.kill(leaf);
            }
            Step::Arrive | Step::End => {}
        }
    }

    fn finish(mut self, fleet: &LaneFleet<Step>, size: SearcherSize) -> Report {
        let counts = fleet.server.counts;
        let bound = size.slots + CLAIMS.tolerated_views - 1;
        let slots_exceeded = u64::from(counts.peak_running > bound as usize);
        self.report.set_latencies(&self.latencies);
        self.report.violations =
            counts.over_cap + counts.repeated + counts.pipelined + slots_exceeded + self.stale_requests;
        self.report.set_figure("peak_links", counts.peak_connections as f64);
        self.report.set_figure("cap", f64::from(size.cap));
        self.report.set_figure("peak_running", counts.peak_running as f64);
        self.report.set_figure("slots_bound", f64::from(bound));
        self.report.set_figure("over_cap", counts.over_cap as f64);
        self.report.set_figure("repeated", counts.repeated as f64);
        self.report.set_figure("stale_requests", self.stale_requests as f64);
        self.report.set_figure("handover_s", HANDOVER_PERIOD.as_secs_f64());
        self.report
    }
}
