//! Scenario `config-redial`: connections replaced on configuration changes.

use pimento_load::experiment;
use pimento_load::experiment::Options;
use pimento_load::report::Report;

const SEEDS: [u64; 3] = [1, 2, 3];

fn run(seed: u64, policy: &str) -> Report {
    let settings = [format!("policy={policy}"), "changes=60".to_owned()];
    let options = Options::parse(seed, &settings).expect("the settings have the form key=value");
    experiment::run("config-redial", &options).expect("the settings are known")
}

/// Guards against policy changes and new firms that replace connections, and against address changes that replace
/// more connections than those of the changed searcher, or none.
#[test]
fn only_connections_of_a_changed_searcher_are_replaced() {
    for seed in SEEDS {
        let report = run(seed, "transport");
        assert_eq!(report.violations, 0, "{}", report.to_line());
        assert_eq!(report.figure("redialled_per_policy"), 0.0);
        assert_eq!(report.figure("redialled_per_firm"), 0.0);
        // Two holders with 3 slots and 2 spare connections each.
        assert_eq!(report.figure("redialled_per_address"), 10.0);
        assert!(report.figure("policy_changes") > 0.0 && report.figure("firm_changes") > 0.0);
    }
}

/// Guards against a transport digest without benefit: full digests must replace at least 20 times as many connections.
#[test]
fn comparing_full_digests_replaces_far_more_connections() {
    for seed in SEEDS {
        let transport = run(seed, "transport").figure("redialled_per_change");
        for policy in ["searcher", "off"] {
            let full = run(seed, policy).figure("redialled_per_change");
            assert!(
                full >= 20.0 * transport,
                "seed {seed}: {policy} {full}, transport {transport}"
            );
        }
    }
}

/// Guards against results that depend on anything but the seed.
#[test]
fn same_seed_gives_the_same_line() {
    assert_eq!(run(7, "transport").to_line(), run(7, "transport").to_line());
    assert_ne!(run(7, "transport").to_line(), run(8, "transport").to_line());
}
