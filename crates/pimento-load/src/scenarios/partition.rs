//! Network partition between data centres, and from the platform, while revisions are published.

use std::time::Duration;

use eyre::Result;

use crate::experiment::Options;
use crate::report::Report;
use crate::scenarios::fleet::Fleet;
use crate::scenarios::fleet::FleetConfig;

/// Name of the scenario.
const NAME: &str = "partition";

/// Time before the partition, and of each step during it.
const STEP: Duration = Duration::from_secs(30);

/// Resolution of the measured time to convergence.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time to wait for convergence.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(60);

/// Runs the scenario. Data centre 0 reads one document of the last revision, data centre 1 a conflicting one, and the
/// others neither.
///
/// The baseline `policy=off` disables messages between processes when the partition ends.
///
/// # Errors
///
/// Returns an error if a setting is unknown or its value is invalid.
pub fn run(options: &Options) -> Result<Report> {
    options.reject_unknown_settings(&["processes", "centres", "policy"])?;
    let processes = options.get("processes", 24_usize)?;
    let data_centres = options.get("centres", 3_usize)?;
    let config = FleetConfig {
        processes,
        data_centres,
        parts: 10,
        part_bytes: 2000,
        edit_bytes: 100,
        assumed_fleet_size: processes,
    };
    let latency = (Duration::from_millis(5), Duration::from_millis(50));
    let mut fleet = Fleet::new(config, latency, options.seed);
    fleet.publish(true, false);
    for node in 0..processes {
        fleet.start(node, Duration::ZERO, Duration::from_millis(100));
    }
    fleet.run_until(STEP);
    let quiet = message_rate(&mut fleet, STEP);
    fleet.network.isolated = (0..data_centres).collect();
    fleet.platform.isolated = (1..data_centres).collect();
    fleet.publish(true, false);
    fleet.run_until(fleet.events.elapsed() + STEP);
    fleet.publish(true, false);
    fleet.run_until(fleet.events.elapsed() + STEP);
    fleet.platform.isolated = (0..data_centres).filter(|centre| *centre != 1).collect();
    fleet.publish(true, true);
    fleet.run_until(fleet.events.elapsed() + STEP);
    let during_partition = fleet.fraction_with(fleet.checker.highest_valid());
    fleet.network.isolated.clear();
    fleet.network.disabled = options.get::<String>("policy", "on".into())? == "off";
    fleet.platform.isolated.clear();
    fleet.network.reset_peak();
    fleet.platform.peak_rate = 0;
    let healed = fleet.events.elapsed();
    let converged = wait_for_highest(&mut fleet, healed);
    let after = message_rate(&mut fleet, CONVERGENCE_LIMIT);
    let mut report = Report::new(NAME, options.seed);
    report.violations = fleet.checker.violation_count();
    report.set_figure("highest_before_heal", during_partition);
    report.set_figure("converged", fleet.fraction_with(fleet.checker.highest_valid()));
    report.set_figure("converged_ms", converged.as_secs_f64() * 1000.0);
    report.set_figure("quiet_messages_per_s", quiet / processes as f64);
    report.set_figure("healed_messages_per_s", after / processes as f64);
    report.set_figure("peak_messages_per_s", fleet.network.peak_rate as f64 / processes as f64);
    report.set_figure("reads_peak", fleet.platform.peak_rate as f64);
    for (kind, count) in &fleet.checker.reports {
        report.set_figure(&format!("report_{kind}"), *count as f64);
    }
    Ok(report)
}

/// Runs for a time and returns the rate of messages from all processes, per second.
fn message_rate(fleet: &mut Fleet, time: Duration) -> f64 {
    let before = fleet.network.messages;
    fleet.run_until(fleet.events.elapsed() + time);
    (fleet.network.messages - before) as f64 / time.as_secs_f64()
}

fn wait_for_highest(fleet: &mut Fleet, healed: Duration) -> Duration {
    while fleet.events.elapsed() < healed + CONVERGENCE_LIMIT {
        fleet.run_until(fleet.events.elapsed() + SAMPLE_INTERVAL);
        if fleet.fraction_with(fleet.checker.highest_valid()) >= 1.0 {
            break;
        }
    }
    fleet.events.elapsed() - healed
}
