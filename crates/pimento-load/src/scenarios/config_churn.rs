//! Configuration changes while one process in ten is dead and the platform is slow.

use std::time::Duration;

use eyre::Result;
use rand::Rng;

use crate::experiment::Options;
use crate::report::Latencies;
use crate::report::Report;
use crate::scenarios::fleet::Fleet;
use crate::scenarios::fleet::FleetConfig;

/// Name of the scenario.
const NAME: &str = "config-churn";

/// Time within which a process should have a new revision in effect.
const EFFECT_TARGET: Duration = Duration::from_secs(4);

/// Time for all processes to start and reach a steady state.
const WARM_UP: Duration = Duration::from_secs(40);

/// Time without changes, for the measurement of the background traffic.
const QUIET_PERIOD: Duration = Duration::from_secs(20);

/// Run time after the last change.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// Delay recorded if a process never had the revision in effect.
const NEVER_DELAY: Duration = Duration::from_secs(600);

/// Values of the counters at one time.
#[derive(Debug, Clone, Copy)]
struct Counters {
    at: Duration,
    messages: u64,
    bytes: u64,
    reads: u64,
}

impl Counters {
    fn of(fleet: &Fleet) -> Self {
        Self {
            at: fleet.events.elapsed(),
            messages: fleet.network.messages,
            bytes: fleet.network.bytes,
            reads: fleet.platform.reads,
        }
    }
}

/// Runs the scenario. The baseline `policy=off` disables messages between processes.
///
/// # Errors
///
/// Returns an error if a setting is unknown or its value is invalid.
pub fn run(options: &Options) -> Result<Report> {
    let known = [
        "processes",
        "centres",
        "changes",
        "interval_ms",
        "parts",
        "part_bytes",
        "edit_bytes",
        "lost",
        "drop",
        "slow_ms",
        "policy",
    ];
    options.reject_unknown_settings(&known)?;
    let processes = options.get("processes", 24_usize)?;
    let changes = options.get("changes", 20_u64)?;
    let interval = Duration::from_millis(options.get("interval_ms", 2000)?);
    let config = FleetConfig {
        processes,
        data_centres: options.get("centres", 3)?,
        parts: options.get("parts", 10)?,
        part_bytes: options.get("part_bytes", 2000)?,
        edit_bytes: options.get("edit_bytes", 100)?,
        assumed_fleet_size: processes,
    };
    let slow = Duration::from_millis(options.get("slow_ms", 800)?);
    let mut fleet = Fleet::new(config, (slow / 4, slow), options.seed);
    fleet.network.loss_rate = options.get("drop", 0.0)?;
    fleet.publish(true, false);
    for node in 0..processes {
        fleet.start(node, Duration::ZERO, Duration::from_millis(100));
    }
    fleet.run_until(WARM_UP);
    fleet.network.disabled = options.get::<String>("policy", "on".into())? == "off";
    stop_nodes(&mut fleet, options.get("lost", 0.1)?);
    let before = Counters::of(&fleet);
    fleet.run_until(WARM_UP + QUIET_PERIOD);
    let quiet = Counters::of(&fleet);
    fleet.platform.peak_rate = 0;
    for change in 0..changes {
        fleet.publish(true, false);
        let next = WARM_UP + QUIET_PERIOD + interval * u32::try_from(change + 1)?;
        fleet.run_until(next);
    }
    fleet.run_until(fleet.events.elapsed() + SETTLE_TIME);
    Ok(report(&fleet, options.seed, changes, before, quiet))
}

fn stop_nodes(fleet: &mut Fleet, fraction: f64) {
    let total = fleet.network.dead.len();
    let mut left = (total as f64 * fraction).round() as usize;
    while left > 0 {
        let node = fleet.rng.random_range(0..total);
        left -= usize::from(!fleet.network.dead[node]);
        fleet.network.dead[node] = true;
    }
}

fn report(fleet: &Fleet, seed: u64, changes: u64, before: Counters, quiet: Counters) -> Report {
    let mut report = Report::new(NAME, seed);
    let mut latencies = Latencies::new();
    let mut within_target = 0_u64;
    for node in fleet.live_nodes() {
        for delay in fleet.checker.delays(node).skip(1) {
            within_target += u64::from(delay.is_some_and(|delay| delay <= EFFECT_TARGET));
            latencies.record(delay.unwrap_or(NEVER_DELAY));
        }
    }
    report.set_latencies(&latencies);
    report.violations = fleet.checker.violation_count();
    let live = fleet.live_nodes().count() as f64;
    let end = Counters::of(fleet);
    let quiet_time = (quiet.at - before.at).as_secs_f64();
    let busy_time = (end.at - quiet.at).as_secs_f64();
    let quiet_messages = (quiet.messages - before.messages) as f64 / quiet_time / live;
    let quiet_bytes = (quiet.bytes - before.bytes) as f64 / quiet_time / live;
    let busy_messages = (end.messages - quiet.messages) as f64 / live;
    let busy_bytes = (end.bytes - quiet.bytes) as f64 / live;
    let per_change = |busy: f64, idle: f64| idle.mul_add(-busy_time, busy) / changes.max(1) as f64;
    report.set_figure("within_4s", within_target as f64 / latencies.count().max(1) as f64);
    report.set_figure("max_ms", latencies.quantile_ms(1.0));
    report.set_figure("messages_per_s", busy_messages / busy_time);
    report.set_figure("bytes_per_s", busy_bytes / busy_time);
    report.set_figure("quiet_messages_per_s", quiet_messages);
    report.set_figure("quiet_bytes_per_s", quiet_bytes);
    report.set_figure("messages_per_change", per_change(busy_messages, quiet_messages));
    report.set_figure("bytes_per_change", per_change(busy_bytes, quiet_bytes));
    report.set_figure("quiet_reads_per_s", (quiet.reads - before.reads) as f64 / quiet_time);
    report.set_figure("reads_per_s", (end.reads - quiet.reads) as f64 / busy_time);
    report.set_figure("reads_peak", fleet.platform.peak_rate as f64);
    for (kind, count) in &fleet.checker.reports {
        report.set_figure(&format!("report_{kind}"), *count as f64);
    }
    report
}
