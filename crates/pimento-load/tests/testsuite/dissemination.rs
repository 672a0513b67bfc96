//! Dissemination of the configuration and of leaving searchers: targets of `docs/design.md`.

use pimento_load::experiment;
use pimento_load::experiment::Options;
use pimento_load::report::Report;

const SEEDS: [u64; 3] = [1, 2, 3];

fn run(name: &str, seed: u64, settings: &[&str]) -> Report {
    let settings: Vec<String> = settings.iter().map(|setting| (*setting).to_owned()).collect();
    let options = Options::parse(seed, &settings).expect("the settings parse");
    experiment::run(name, &options).expect("the scenario runs")
}

/// Guards against revisions that take longer than 4 s at the current fleet size, with one process in ten dead and a
/// slow platform, and against a scenario that meets this target without the policy as well.
#[test]
fn changes_are_in_effect_within_4_s() {
    for seed in SEEDS {
        let report = run("config-churn", seed, &[]);
        assert_eq!(report.violations, 0);
        assert!(report.figure("within_4s") >= 0.999, "{}", report.to_line());
        assert!(report.figure("reads_peak") < 100.0, "{}", report.to_line());
        assert!(report.figure("quiet_bytes_per_s") < 100.0, "{}", report.to_line());
        let off = run("config-churn", seed, &["policy=off"]);
        assert!(off.figure("within_4s") < 0.9, "{}", off.to_line());
        assert_eq!(off.violations, 0);
    }
}

/// Guards against traffic per process that grows with the number of processes.
#[test]
fn traffic_per_process_does_not_grow_with_the_fleet() {
    let small = run("config-churn", 1, &["changes=5"]);
    let large = run("config-churn", 1, &["changes=5", "processes=240"]);
    assert!(large.figure("within_4s") >= 0.999, "{}", large.to_line());
    assert!(large.figure("bytes_per_change") < 1.5 * small.figure("bytes_per_change"));
    assert!(large.figure("quiet_bytes_per_s") < 1.1 * small.figure("quiet_bytes_per_s"));
}

/// Guards against processes that cannot start during an outage of the platform, or that revert to an earlier document
/// on its stale answers.
#[test]
fn processes_start_without_the_platform() {
    for seed in SEEDS {
        let report = run("platform-down", seed, &[]);
        assert_eq!(report.violations, 0);
        assert_eq!(report.figure("started"), 12.0);
        assert!(report.figure("start_max_ms") < 2000.0, "{}", report.to_line());
        assert!(report.figure("max_ms") < 4000.0, "{}", report.to_line());
        assert_eq!(report.figure("converged"), 1.0);
        assert!(
            report.figure("report_rejected") > 0.0,
            "the invalid document is reported"
        );
        let none = run("platform-down", seed, &["survivors=0"]);
        assert_eq!((none.violations, none.figure("converged")), (0, 1.0));
        let off = run("platform-down", seed, &["policy=off"]);
        assert!(off.figure("start_max_ms") > 60_000.0, "{}", off.to_line());
    }
}

/// Guards against more than 2,000 reads per second when thousands of processes start at once, or wait for the platform
/// at the end of an outage.
#[test]
fn restart_of_all_processes_stays_within_the_read_limit() {
    let on = run("restart-all", 1, &[]);
    assert_eq!(on.violations, 0);
    assert_eq!(on.figure("ready"), 1.0);
    assert!(on.figure("reads_peak") < 2000.0, "{}", on.to_line());
    let outage = run("restart-all", 2, &["outage_ms=20000", "processes=1000", "centres=8"]);
    assert_eq!((outage.violations, outage.figure("ready")), (0, 1.0));
    assert!(outage.figure("reads_peak") < 2000.0, "{}", outage.to_line());
    let off = run("restart-all", 1, &["policy=off"]);
    assert!(off.figure("reads_peak") > 2000.0, "{}", off.to_line());
}

/// Guards against data centres that do not converge after a partition, conflicts that are not reported, and a burst of
/// messages when the partition ends.
#[test]
fn partition_converges_to_the_highest_revision() {
    let mut unconverged = 0;
    for seed in SEEDS {
        let report = run("partition", seed, &[]);
        assert_eq!(report.violations, 0);
        assert_eq!(report.figure("converged"), 1.0);
        assert!(report.figure("highest_before_heal") < 0.5, "{}", report.to_line());
        assert!(report.figure("converged_ms") < 4000.0, "{}", report.to_line());
        assert!(report.figure("report_conflict") > 0.0);
        assert!(report.figure("peak_messages_per_s") < 30.0, "{}", report.to_line());
        let quiet = report.figure("quiet_messages_per_s");
        assert!(
            report.figure("healed_messages_per_s") < 1.3 * quiet,
            "{}",
            report.to_line()
        );
        let off = run("partition", seed, &["policy=off"]);
        unconverged += u32::from(off.figure("converged") < 1.0);
    }
    // Without messages the processes converge only if the platform happens to hold the winning document.
    assert!(unconverged > 0, "the baseline without messages does not converge");
}

/// Guards against new work for a leaving searcher later than 3 s after the first signal, when lists are outdated,
/// messages are lost and an instance was paused, and against a searcher that is not used again after its return.
#[test]
fn leaving_searcher_gets_no_work_after_3_s() {
    let mut dispatched_late = 0;
    for seed in SEEDS {
        let report = run("leaving-server", seed, &[]);
        assert_eq!(report.violations, 0, "{}", report.to_line());
        assert_eq!(report.figure("usable_again"), 1.0);
        dispatched_late += run("leaving-server", seed, &["policy=off"]).violations;
    }
    assert!(dispatched_late > 0, "without signals, some work is sent too late");
}

/// Guards against results that depend on anything but the seed.
#[test]
fn same_seed_gives_the_same_line() {
    for name in ["config-churn", "platform-down", "partition", "leaving-server"] {
        assert_eq!(run(name, 5, &[]).to_line(), run(name, 5, &[]).to_line());
    }
}
