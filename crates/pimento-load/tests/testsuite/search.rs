//! Search scenarios: stragglers, a slow server, rolling versions and repartitioning.

use pimento_load::experiment::Options;
use pimento_load::experiment::run;
use pimento_load::report::Report;

fn measure(name: &str, seed: u64, settings: &[&str]) -> Report {
    let settings: Vec<String> = settings.iter().map(|setting| (*setting).to_owned()).collect();
    let options = Options::parse(seed, &settings).expect("the settings parse");
    let report = run(name, &options).expect("the scenario runs");
    assert_eq!(report.violations, 0, "{name} with seed {seed}");
    report
}

fn check_stragglers(seed: u64) {
    let report = measure("stragglers", seed, &[]);
    let ratio = report.figure("p99_over_clean_p50");
    assert!(ratio <= 2.0, "p99 is {ratio} times the median without stragglers");
    assert!(report.extra_load <= 0.02, "extra load {}", report.extra_load);
    assert!(report.coverage >= 1.0, "coverage {}", report.coverage);
}

/// Guards against stragglers that determine the tail latency of searches over many shards, and against hedges above 2%
/// extra load.
#[test]
fn stragglers_are_hedged_within_the_budget() {
    check_stragglers(1);
}

/// Guards against bounds that hold at one seed only.
#[test]
fn stragglers_are_hedged_at_another_seed() {
    check_stragglers(2);
}

/// Guards against a scenario in which stragglers do not raise the latency without hedging.
#[test]
fn stragglers_raise_the_latency_without_hedging() {
    let report = measure("stragglers", 1, &["policy=off", "queries=140"]);
    assert!(report.figure("p99_over_clean_p50") > 5.0);
}

/// Guards against hedges above the budget when it does not cover all slow requests.
#[test]
fn budget_holds_when_stragglers_exceed_it() {
    let report = measure("stragglers", 1, &["stragglers=0.05", "queries=140"]);
    assert!(
        report.extra_load <= 0.02 + 64.0 / (100.0 * 390.0),
        "extra load {}",
        report.extra_load
    );
}

/// Guards against a lack of hedges in deployments of the current sizes, which have one part for each service.
#[test]
fn small_deployments_stay_within_the_budget() {
    for deployment in ["deployment=fraser", "deployment=abay"] {
        let on = measure("stragglers", 1, &[deployment, "queries=640"]);
        let off = measure("stragglers", 1, &[deployment, "queries=640", "policy=off"]);
        assert!(on.extra_load <= 0.02, "extra load {}", on.extra_load);
        assert!(
            on.p99_ms < 0.75 * off.p99_ms,
            "p99 {} against {}",
            on.p99_ms,
            off.p99_ms
        );
    }
}

/// Guards against traffic to a slow replica that another replica can serve.
#[test]
fn slow_replica_gets_less_traffic() {
    for seed in 1..=3 {
        let on = measure("hot-server", seed, &[]);
        let off = measure("hot-server", seed, &["policy=off"]);
        assert!(
            on.p99_ms <= 0.5 * off.p99_ms,
            "p99 {} against {}",
            on.p99_ms,
            off.p99_ms
        );
        assert!(on.figure("hot_requests") <= 0.5 * off.figure("hot_requests"));
        assert!(on.extra_load <= 0.02, "extra load {}", on.extra_load);
    }
}

/// Guards against mixed snapshots while servers adopt, roll back and drop snapshots, and against a choice of the
/// snapshot that reduces coverage or causes many restarts.
#[test]
fn rolling_versions_keep_one_snapshot() {
    for seed in 1..=3 {
        let on = measure("rolling-versions", seed, &[]);
        let off = measure("rolling-versions", seed, &["policy=off"]);
        assert!(on.coverage >= 0.995, "coverage {}", on.coverage);
        assert!(on.extra_load <= 0.05, "extra load {}", on.extra_load);
        assert!(on.figure("restarts") <= 0.05 * off.figure("restarts"));
    }
}

/// Guards against keys that are lost or counted twice while shards split and merge before the configuration changes.
#[test]
fn repartition_loses_no_keys() {
    for seed in 1..=3 {
        let on = measure("repartition", seed, &[]);
        let off = measure("repartition", seed, &["policy=off"]);
        assert!(on.coverage >= 0.999, "coverage {}", on.coverage);
        assert!(off.coverage < 0.95, "coverage {}", off.coverage);
    }
}

/// Guards against results that depend on anything but the seed.
#[test]
fn same_seed_gives_the_same_line() {
    for name in ["hot-server", "rolling-versions", "repartition"] {
        let line = || measure(name, 5, &["queries=200"]).to_line();
        assert_eq!(line(), line());
    }
}
