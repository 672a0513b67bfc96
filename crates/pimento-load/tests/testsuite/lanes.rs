//! Lane scenarios: targets of the design page, and baselines without the policy.

use pimento_load::experiment;
use pimento_load::experiment::Options;
use pimento_load::report::Report;

const SEEDS: [u64; 3] = [1, 2, 3];

fn run(name: &str, seed: u64, settings: &[&str]) -> Report {
    let settings: Vec<String> = settings.iter().map(|setting| (*setting).to_owned()).collect();
    let options = Options::parse(seed, &settings).expect("the settings have the form key=value");
    let report = experiment::run(name, &options).expect("the scenario and its settings are known");
    assert!(report.answered > 0, "{}", report.to_line());
    report
}

/// Guards against results that depend on anything but the seed.
#[test]
fn same_seed_gives_the_same_line() {
    for name in ["owner-change", "capacity-halves"] {
        assert_eq!(run(name, 7, &[]).to_line(), run(name, 7, &[]).to_line());
        assert_ne!(run(name, 7, &[]).to_line(), run(name, 8, &[]).to_line());
    }
}

/// Guards against urgent requests that are delayed or refused because of a routine load of twice the capacity, and
/// against refusals close to the deadline.
#[test]
fn urgent_work_has_precedence() {
    for deployment in ["deployment=fraser", "deployment=abay"] {
        for seed in SEEDS {
            let report = run("overload-precedence", seed, &[deployment]);
            let line = report.to_line();
            assert!(report.p99_ms <= report.figure("urgent_p99_bound_ms"), "{line}");
            assert_eq!(report.refusals["urgent"], 0, "{line}");
            assert!(report.figure("utilisation") >= 0.95, "{line}");
            assert!(report.figure("late") <= 0.001, "{line}");
            assert!(report.figure("refused_latest") <= 0.6, "{line}");
            assert_eq!(report.violations, 0, "{line}");
        }
    }
}

/// Guards against a scenario that meets the bound without the policy as well.
#[test]
fn without_precedence_urgent_work_exceeds_the_bound() {
    let report = run("overload-precedence", 1, &["policy=off"]);
    let line = report.to_line();
    assert!(report.p99_ms > 2.0 * report.figure("urgent_p99_bound_ms"), "{line}");
    assert!(report.figure("late") > 0.5, "{line}");
}

/// Guards against a loss of goodput under overload, and against limits that do not adapt to reduced or recovered
/// capacity.
#[test]
fn goodput_follows_the_capacity() {
    for server in ["server=refuses", "server=slows"] {
        for seed in SEEDS {
            let report = run("capacity-halves", seed, &[server]);
            let line = report.to_line();
            assert!(report.figure("kept_full") >= 0.9, "{line}");
            assert!(report.figure("kept_halved") >= 0.9, "{line}");
            assert!(report.figure("recovery_s") <= 5.0, "{line}");
            assert!(report.figure("refused_by_server") <= 0.05, "{line}");
        }
        let report = run("capacity-halves", 1, &[server, "stragglers=0.01"]);
        let line = report.to_line();
        assert!(report.figure("kept_full") >= 0.9, "{line}");
        assert!(report.figure("kept_halved") >= 0.9, "{line}");
    }
}

/// Guards against a scenario that keeps its goodput without the policy as well.
#[test]
fn without_shedding_the_goodput_collapses() {
    let report = run("capacity-halves", 1, &["policy=off", "server=slows"]);
    assert!(report.figure("kept_halved") < 0.5, "{}", report.to_line());
}

/// Guards against a single owner without benefit: it must have fewer refusals and shorter waits than instances that do
/// not coordinate.
#[test]
fn one_owner_waits_least_and_is_not_refused() {
    for seed in SEEDS {
        let report = run("owner-compare", seed, &[]);
        let line = report.to_line();
        for percent in [70, 90] {
            let figure = |way: &str, name: &str| report.figure(&format!("{way}_{percent}_{name}"));
            assert!(figure("owner", "refused") <= 0.000_1, "{line}");
            assert!(figure("all", "refused") > 0.01, "{line}");
            assert!(figure("owner", "opened") < figure("all", "opened"), "{line}");
            assert!(figure("owner", "wait_p99_ms") < figure("all", "wait_p99_ms"), "{line}");
            assert!(
                figure("owner", "wait_p99_ms") < figure("subset", "wait_p99_ms"),
                "{line}"
            );
        }
        assert_eq!(report.violations, 0, "{line}");
    }
}

/// Guards against connections above the cap, requests above the bound on slots, repeated submissions, and requests sent
/// with an outdated view, while owners change.
#[test]
fn owner_change_keeps_the_bounds() {
    for deployment in ["deployment=fraser", "deployment=abay"] {
        for seed in SEEDS {
            for believers in ["believers=2", "believers=4"] {
                let report = run("owner-change", seed, &[deployment, believers]);
                assert_eq!(report.violations, 0, "{}", report.to_line());
            }
        }
    }
}

/// Guards against a scenario that keeps the bounds without the policy as well.
#[test]
fn owner_change_without_the_policy_exceeds_the_bounds() {
    let report = run("owner-change", 1, &["policy=off"]);
    let line = report.to_line();
    assert!(report.figure("over_cap") > 0.0, "{line}");
    assert!(report.figure("stale_requests") > 0.0, "{line}");
    let report = run("owner-change", 1, &["handover=off", "believers=4"]);
    let line = report.to_line();
    assert!(report.figure("peak_running") > report.figure("slots_bound"), "{line}");
}

/// Guards against requests that wait for a new connection in steady state, and against closed connections that reduce
/// the concurrency limit for long.
#[test]
fn requests_do_not_wait_for_connections() {
    for deployment in ["deployment=fraser", "deployment=abay"] {
        for seed in SEEDS {
            let report = run("new-connections", seed, &[deployment]);
            let line = report.to_line();
            assert!(report.figure("waited_for_connection") < 0.001, "{line}");
            assert!(report.figure("lane_waited") < 0.001, "{line}");
            assert!(report.figure("opened") > 50.0, "{line}");
            assert_eq!(report.violations, 0, "{line}");
            let unbroken = run("new-connections", seed, &[deployment, "breaks=0.000001"]);
            assert!(report.p99_ms <= 1.2 * unbroken.p99_ms, "{line}");
        }
    }
    let report = run("new-connections", 1, &["policy=off"]);
    assert!(report.figure("lane_waited") > 0.001, "{}", report.to_line());
}
