//! All processes start at once, each with only its settings.

use std::time::Duration;

use eyre::Result;
use pimentoflow::process::dissemination::start_delay;

use crate::experiment::Options;
use crate::report::Latencies;
use crate::report::Report;
use crate::scenarios::fleet::Fleet;
use crate::scenarios::fleet::FleetConfig;

/// Name of the scenario.
const NAME: &str = "restart-all";

/// Runs the scenario. The reads of the list of instances are counted as well.
///
/// In the baseline `policy=off` each process assumes a fleet of one: it reads without jitter and does not keep to
/// a share of the read budget.
///
/// # Errors
///
/// Returns an error if a setting is unknown or its value is invalid.
pub fn run(options: &Options) -> Result<Report> {
    options.reject_unknown_settings(&["processes", "centres", "parts", "part_bytes", "outage_ms", "policy"])?;
    let processes = options.get("processes", 2000_usize)?;
    let is_off = options.get::<String>("policy", "on".into())? == "off";
    let outage = Duration::from_millis(options.get("outage_ms", 0)?);
    let config = FleetConfig {
        processes,
        data_centres: options.get("centres", 15)?,
        parts: options.get("parts", 10)?,
        part_bytes: options.get("part_bytes", 500)?,
        edit_bytes: 100,
        assumed_fleet_size: if is_off { 1 } else { processes },
    };
    let latency = (Duration::from_millis(5), Duration::from_millis(50));
    let mut fleet = Fleet::new(config, latency, options.seed);
    fleet.publish(true, false);
    fleet.platform.down = !outage.is_zero();
    for node in 0..processes {
        let list_delay = start_delay(config.assumed_fleet_size, &mut fleet.rng);
        fleet.start_reading_list(node, list_delay);
    }
    fleet.run_until(outage);
    fleet.platform.down = false;
    let window = Duration::from_secs_f64(processes as f64 / 500.0);
    fleet.run_until(outage + window + Duration::from_secs(10));
    let mut report = Report::new(NAME, options.seed);
    let mut ready_times = Latencies::new();
    for node in fleet.live_nodes() {
        if let Some(waited) = fleet.ready_after[node] {
            ready_times.record(waited);
        }
    }
    report.set_latencies(&ready_times);
    report.violations = fleet.checker.violation_count();
    report.set_figure("ready", ready_times.count() as f64 / processes as f64);
    report.set_figure("max_ms", ready_times.quantile_ms(1.0));
    report.set_figure("reads", fleet.platform.reads as f64);
    report.set_figure("reads_peak", fleet.platform.peak_rate as f64);
    report.set_figure("reads_refused", fleet.platform.refused as f64);
    report.set_figure("messages_peak", fleet.network.peak_rate as f64 / processes as f64);
    Ok(report)
}
