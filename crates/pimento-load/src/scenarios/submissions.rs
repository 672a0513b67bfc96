//! Non-idempotent requests under faults.
//!
//! Callers submit through four entries to one searcher that two leaves may own. Messages are dropped, duplicated and
//! reordered, leaves pause and restart, and processes adopt a change of the owner at different times. The backend
//! server logs each start, and repeated executions and false `not_run` answers are counted from that log alone.
//!
//! In the baseline `policy=off` callers send ids instead of tickets, and only the leaf that owns the searcher remembers
//! them.

mod caller;
mod deduplicator;
mod faults;
mod leaf;
mod simulation;

use std::time::Duration;

use eyre::Result;
use eyre::bail;

use crate::experiment::Options;
use crate::report::Latencies;
use crate::report::Report;
use crate::scenarios::submissions::simulation::Simulation;

/// Default fault rates: the probability of each kind of fault of a message.
const FAULT_RATES: [f64; 4] = [0.0, 0.001, 0.01, 0.05];

/// Settings of one simulation.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    /// Whether tickets are used, instead of the ids of the baseline.
    pub tickets: bool,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Submissions per second.
    pub rate: f64,
    /// Time during which submissions arrive.
    pub duration: Duration,
    /// Probability of each kind of fault of a message. The rate of pauses, restarts and owner changes is proportional.
    pub faults: f64,
}

/// Counters of one simulation.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counts {
    /// Number of submissions with the final answer `executed`.
    pub executed: u64,
    /// Number of submissions with the final answer `not_run`.
    pub not_run: u64,
    /// Number of submissions with the final answer `outcome_unknown`.
    pub unknown: u64,
    /// Number of attempts with a ticket.
    pub attempts: u64,
    /// Number of attempts with the answer `outcome_unknown`.
    pub attempts_unknown: u64,
    /// Number of submissions that were started more than once.
    pub duplicates: u64,
    /// Number of tickets that were started although a leaf or entry reported `not_run`.
    pub false_not_run: u64,
    /// Number of tickets that were never started although a leaf or entry reported `executed`.
    pub false_executed: u64,
    /// Number of attempts answered after their deadline or not at all.
    pub late: u64,
}

impl Counts {
    fn violations(&self) -> u64 {
        self.duplicates + self.false_not_run + self.false_executed + self.late
    }
}

/// Runs the scenario at each default fault rate, or only at the rate of the setting `faults`.
///
/// # Errors
///
/// Returns an error if a setting is unknown or its value is invalid.
pub fn run(options: &Options) -> Result<Report> {
    options.reject_unknown_settings(&["policy", "rate", "seconds", "faults"])?;
    let policy: String = options.get("policy", "on".to_owned())?;
    let tickets = match policy.as_str() {
        "on" => true,
        "off" => false,
        other => bail!("unknown policy `{other}`; use on or off"),
    };
    let one: f64 = options.get("faults", f64::NAN)?;
    let rates = if one.is_nan() { FAULT_RATES.to_vec() } else { vec![one] };
    let mut report = Report::new("submissions", options.seed);
    let mut latencies = Latencies::new();
    for faults in rates {
        let settings = Settings {
            tickets,
            seed: options.seed,
            rate: options.get("rate", 200.0)?,
            duration: Duration::from_secs(options.get("seconds", 10)?),
            faults,
        };
        let counts = Simulation::run(&settings, &mut latencies);
        add_figures(&mut report, faults, &counts);
    }
    report.set_latencies(&latencies);
    Ok(report)
}

fn add_figures(report: &mut Report, faults: f64, counts: &Counts) {
    report.violations += counts.violations();
    for (kind, count) in [("not_run", counts.not_run), ("outcome_unknown", counts.unknown)] {
        *report.refusals.entry(kind.into()).or_default() += count;
    }
    let total = counts.executed + counts.not_run + counts.unknown;
    let figures = [
        ("submissions", total as f64),
        ("executed", counts.executed as f64),
        ("not_run", counts.not_run as f64),
        ("unknown", counts.unknown as f64),
        ("unknown_share", share(counts.unknown, total)),
        ("attempt_unknown_share", share(counts.attempts_unknown, counts.attempts)),
        ("doubles", counts.duplicates as f64),
        ("false_not_run", counts.false_not_run as f64),
        ("false_executed", counts.false_executed as f64),
        ("late", counts.late as f64),
    ];
    for (name, value) in figures {
        report.set_figure(&format!("{name}@{faults}"), value);
    }
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}
