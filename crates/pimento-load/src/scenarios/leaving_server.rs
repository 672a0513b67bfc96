//! A searcher leaves and returns while some instances have outdated lists and one is paused.

mod driver;

use std::time::Duration;

use eyre::Result;

use crate::experiment::Options;
use crate::report::Latencies;
use crate::report::Report;
use crate::scenarios::leaving_server::driver::Simulation;
use crate::scenarios::leaving_server::driver::SimulationConfig;

/// Name of the scenario.
const NAME: &str = "leaving-server";

/// Time at which the searcher begins to leave.
const LEAVE_AT: Duration = Duration::from_secs(20);

/// Time from the start of leaving until the return.
const ABSENCE: Duration = Duration::from_secs(40);

/// Run time after the return.
const AFTER_RETURN: Duration = Duration::from_secs(30);

/// Runs the scenario. The baseline `policy=off` disables signals between instances.
///
/// # Errors
///
/// Returns an error if a setting is unknown or its value is invalid.
pub fn run(options: &Options) -> Result<Report> {
    options.reject_unknown_settings(&["processes", "centres", "lost", "drop", "paused_ms", "policy"])?;
    let config = SimulationConfig {
        instances: options.get("processes", 24)?,
        data_centres: options.get("centres", 3)?,
        dead_share: options.get("lost", 0.1)?,
        loss_rate: options.get("drop", 0.1)?,
        disabled: options.get::<String>("policy", "on".into())? == "off",
    };
    let pause = Duration::from_millis(options.get("paused_ms", 8000)?);
    let mut simulation = Simulation::new(config, options.seed);
    simulation.run_until(LEAVE_AT);
    let baseline_bytes = simulation.bytes_per_instance();
    simulation.pause_instance(pause);
    simulation.leave();
    simulation.run_until(LEAVE_AT + ABSENCE);
    let delays = simulation.learning_delays();
    simulation.return_searcher();
    simulation.run_until(LEAVE_AT + ABSENCE + AFTER_RETURN);
    let mut report = Report::new(NAME, options.seed);
    let mut latencies = Latencies::new();
    for delay in &delays {
        latencies.record(*delay);
    }
    report.set_latencies(&latencies);
    report.violations = simulation.violations;
    report.set_figure("max_ms", latencies.quantile_ms(1.0));
    report.set_figure("dispatched_late", simulation.violations as f64);
    report.set_figure("usable_again", simulation.usable_fraction());
    report.set_figure("quiet_bytes_per_s", baseline_bytes / LEAVE_AT.as_secs_f64());
    report.set_figure("bytes_per_cycle", simulation.bytes_per_instance() - baseline_bytes);
    report.set_figure("held_after_pause", simulation.withheld as f64);
    Ok(report)
}
