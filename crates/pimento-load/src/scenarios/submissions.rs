//! Non-idempotent requests under faults.
//!
//! Callers submit through four entries to one searcher that two leaves may own. Messages are dropped, duplicated and
//! reordered, leaves pause and restart, and ownership moves while processes adopt the change at different times. The
//! backend server logs each start; doubles and false `not_run` are counted from that log alone.
//!
//! `policy=off` replaces tickets by ids that whichever leaf owns the searcher remembers.

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

/// Fault rates that one run compares, as the probability of each fault of a message.
const FAULT_RATES: [f64; 4] = [0.0, 0.001, 0.01, 0.05];

/// Settings of one run.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    /// Whether tickets are used.
    pub tickets: bool,
    /// Seed of the random source.
    pub seed: u64,
    /// Submissions a second.
    pub rate: f64,
    /// Time in which submissions arrive.
    pub duration: Duration,
    /// Probability of each fault of a message. Pauses, restarts and changes of the owner scale with it.
    pub faults: f64,
}

/// Counts of one run at one fault rate.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counts {
    /// Submissions by their final answer.
    pub executed: u64,
    /// As above.
    pub not_run: u64,
    /// As above.
    pub unknown: u64,
    /// Attempts with a ticket.
    pub attempts: u64,
    /// Attempts that were answered `outcome_unknown`.
    pub attempts_unknown: u64,
    /// Submissions that started more than once.
    pub duplicates: u64,
    /// Tickets that started although a leaf or entry said that they did not.
    pub false_not_run: u64,
    /// Submissions called executed that never started.
    pub false_executed: u64,
    /// Attempts answered after their deadline, or never.
    pub late: u64,
}

impl Counts {
    fn violations(&self) -> u64 {
        self.duplicates + self.false_not_run + self.false_executed + self.late
    }
}

/// Runs the scenario at each of the fault rates, or at the one given by `faults`.
///
/// # Errors
///
/// Fails when a setting is unknown or does not parse.
pub fn run(options: &Options) -> Result<Report> {
    options.check_known(&["policy", "rate", "seconds", "faults"])?;
    let policy: String = options.get("policy", "on".to_owned())?;
    let tickets = match policy.as_str() {
        "on" => true,
        "off" => false,
        other => bail!("policy `{other}` is unknown; write policy=on or policy=off"),
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
