//! Processes start during an outage of the platform that lasts one minute. Afterwards the platform gives stale answers.

use std::time::Duration;

use eyre::Result;

use crate::experiment::Options;
use crate::report::Latencies;
use crate::report::Report;
use crate::scenarios::fleet::Fleet;
use crate::scenarios::fleet::FleetConfig;

/// Name of the scenario.
const NAME: &str = "platform-down";

/// Time before the outage, in which the survivors get their first document.
const BEFORE_OUTAGE: Duration = Duration::from_secs(10);

/// Duration of the outage.
const OUTAGE: Duration = Duration::from_secs(60);

/// Interval between two revisions after the outage.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(10);

/// Number of revisions published after the outage.
const CHANGES: u32 = 5;

/// Runs the scenario. The first `survivors` processes start before the outage, the others during it.
///
/// The baseline `policy=off` disables messages between processes.
///
/// # Errors
///
/// Returns an error if a setting is unknown or its value is invalid.
pub fn run(options: &Options) -> Result<Report> {
    options.reject_unknown_settings(&["processes", "centres", "survivors", "stale", "policy"])?;
    let processes = options.get("processes", 24_usize)?;
    let survivors = options.get("survivors", 12_usize)?;
    let config = FleetConfig {
        processes,
        data_centres: options.get("centres", 3)?,
        parts: 10,
        part_bytes: 2000,
        edit_bytes: 100,
        assumed_fleet_size: processes,
    };
    let latency = (Duration::from_millis(5), Duration::from_millis(50));
    let mut fleet = Fleet::new(config, latency, options.seed);
    fleet.network.disabled = options.get::<String>("policy", "on".into())? == "off";
    for _ in 0..3 {
        fleet.publish(true, false);
    }
    for node in 0..survivors {
        fleet.start(node, Duration::ZERO, Duration::from_millis(100));
    }
    fleet.run_until(BEFORE_OUTAGE);
    fleet.platform.down = true;
    for node in survivors..processes {
        let start_after = Duration::from_millis(500) * u32::try_from(node - survivors)?;
        fleet.start(node, start_after, Duration::from_millis(100));
    }
    fleet.run_until(BEFORE_OUTAGE + OUTAGE);
    let peak_reads_down = fleet.platform.peak_rate;
    fleet.platform.down = false;
    fleet.platform.peak_rate = 0;
    fleet.platform.stale_rate = options.get("stale", 0.5)?;
    for _ in 0..CHANGES {
        fleet.publish(true, false);
        fleet.run_until(fleet.events.elapsed() + PUBLISH_INTERVAL);
    }
    // Checks that a document that validation rejects is never put in effect.
    fleet.publish(false, false);
    fleet.run_until(fleet.events.elapsed() + PUBLISH_INTERVAL * 3);
    Ok(report(&fleet, options.seed, survivors, peak_reads_down))
}

fn report(fleet: &Fleet, seed: u64, survivors: usize, peak_reads_down: u64) -> Report {
    let mut report = Report::new(NAME, seed);
    let mut latencies = Latencies::new();
    let mut start_times = Latencies::new();
    for node in fleet.live_nodes() {
        for delay in fleet.checker.delays(node).skip(3).flatten() {
            latencies.record(delay);
        }
        if let Some(ready) = fleet.ready_after[node]
            && node >= survivors
        {
            start_times.record(ready);
        }
    }
    report.set_latencies(&latencies);
    report.violations = fleet.checker.violation_count();
    report.set_figure("converged", fleet.fraction_with(fleet.checker.highest_valid()));
    report.set_figure("started", start_times.count() as f64);
    report.set_figure("start_max_ms", start_times.quantile_ms(1.0));
    report.set_figure("max_ms", latencies.quantile_ms(1.0));
    report.set_figure("reads_peak_down", peak_reads_down as f64);
    report.set_figure("reads_peak_up", fleet.platform.peak_rate as f64);
    for (kind, count) in &fleet.checker.reports {
        report.set_figure(&format!("report_{kind}"), *count as f64);
    }
    report
}
