//! Scenario `submissions`: at-most-once execution under faults.

use pimento_load::experiment;
use pimento_load::experiment::Options;
use pimento_load::report::Report;

const SEEDS: [u64; 3] = [1, 2, 3];

fn run(seed: u64, settings: &[&str]) -> Report {
    let settings: Vec<String> = settings.iter().map(|setting| (*setting).to_owned()).collect();
    let options = Options::parse(seed, &settings).expect("the settings have the form key=value");
    experiment::run("submissions", &options).expect("the scenario runs")
}

/// Guards against submissions that are executed twice, or executed after a `not_run` answer, at each fault rate.
#[test]
fn tickets_run_at_most_once() {
    for seed in SEEDS {
        let report = run(seed, &[]);
        assert_eq!(report.violations, 0, "seed {seed}");
        assert!(report.answered > 6_000, "seed {seed}: {}", report.answered);
    }
}

/// Guards against tickets that lead to unnecessary `outcome_unknown` answers.
///
/// Without faults all submissions are executed. At a fault rate of 1%, at most 2.5% of them may end with an unknown
/// outcome (seeds 1 to 5 give 0.6% to 1.9%).
#[test]
fn few_outcomes_are_unknown() {
    for seed in SEEDS {
        let fault_free = run(seed, &["faults=0"]);
        assert_eq!(
            fault_free.figure("executed@0"),
            fault_free.figure("submissions@0"),
            "seed {seed}"
        );
        let faulty = run(seed, &["faults=0.01"]);
        let unknown = faulty.figure("unknown_share@0.01");
        assert!(unknown > 0.0 && unknown <= 0.025, "seed {seed}: {unknown}");
    }
}

/// Guards against faults that are too rare to cause repeated executions without tickets.
#[test]
fn without_tickets_submissions_run_twice() {
    for seed in SEEDS {
        let report = run(seed, &["policy=off", "faults=0.05"]);
        let doubles = report.figure("doubles@0.05");
        assert!(doubles >= 10.0, "seed {seed}: {doubles}");
    }
}

/// Guards against results that depend on anything but the seed.
#[test]
fn same_seed_gives_the_same_line() {
    for settings in [&["seconds=2"][..], &["seconds=2", "policy=off"]] {
        assert_eq!(run(7, settings).to_line(), run(7, settings).to_line());
        assert_ne!(run(7, settings).to_line(), run(8, settings).to_line());
    }
}
