//! Validation of documents: each rule is checked and reports the path of the field that violates it.

use crate::document::PART;
use crate::document::bundle;
use crate::document::findings;
use crate::document::replace;
use crate::document::root_text;

/// Guards against a rule on parts that is no longer checked or reports the wrong field.
#[test]
fn every_rule_on_a_part_is_checked() {
    let long_name = format!("name: {}", "x".repeat(65));
    let many = PART
        .lines()
        .find(|line| line.contains("p2-a"))
        .map(|line| {
            let copies = (0..17).map(|ix| {
                line.replace("p2-a", &format!("q{ix}"))
                    .replace("7003", &format!("{}", 8000 + ix))
            });
            copies.collect::<Vec<_>>().join("\n")
        })
        .expect("the part lists p2-a");
    let p2 = PART.lines().find(|line| line.contains("p2-a")).expect("listed");
    let cases = [
        ("index: plan", "index: other", "plan.index"),
        ("name: plan-1", "name: Plan_1", "plan.services[0].name"),
        ("name: plan-1", "name: -plan", "plan.services[0].name"),
        ("name: plan-1", "name: ''", "plan.services[0].name"),
        ("name: plan-1", &long_name, "plan.services[0].name"),
        ("name: plan-2", "name: plan-1", "plan.services[1].name"),
        ("name: s1", "name: S1", "plan.services[0].shards[0].name"),
        ("name: s3", "name: s1", "plan.services[1].shards[0].name"),
        (
            "searcher: p1-a",
            "searcher: p1.a",
            "plan.services[0].shards[0].replicas[0].searcher",
        ),
        (
            "searcher: p3-a",
            "searcher: p1-a",
            "plan.services[1].shards[0].replicas[0].searcher",
        ),
        (
            "data_centre: dc-b",
            "data_centre: DC",
            "plan.services[0].shards[0].replicas[1].data_centre",
        ),
        (
            "127.0.0.1:7001",
            "127.0.0.1:0",
            "plan.services[0].shards[0].replicas[0].address",
        ),
        (
            "127.0.0.1:7001",
            "0.0.0.0:7001",
            "plan.services[0].shards[0].replicas[0].address",
        ),
        (
            "127.0.0.1:7004",
            "127.0.0.1:7001",
            "plan.services[1].shards[0].replicas[0].address",
        ),
        ("slots: 3", "slots: 0", "plan.services[0].shards[0].replicas[0].slots"),
        (
            "slots: 3",
            "slots: 1025",
            "plan.services[0].shards[0].replicas[0].slots",
        ),
        (
            "connections: 30",
            "connections: 0",
            "plan.services[0].shards[0].replicas[0].connections",
        ),
        (
            "connections: 30",
            "connections: 65536",
            "plan.services[0].shards[0].replicas[0].connections",
        ),
        (
            "connections: 30",
            "connections: 15",
            "plan.services[0].shards[0].replicas[0].connections",
        ),
        (
            "connect_cost: 6ms",
            "connect_cost: 11s",
            "plan.services[0].shards[0].replicas[0].connect_cost",
        ),
        (
            "start: 0, end: 1000}",
            "start: 5, end: 1000}",
            "plan.services[0].shards[0].range",
        ),
        (
            "start: 0, end: 1000}",
            "start: 0, end: 0}",
            "plan.services[0].shards[0].range",
        ),
        (
            "start: 0, end: 1000}",
            "start: 9, end: 2}",
            "plan.services[0].shards[0].range",
        ),
        (
            "start: 0, end: 1000}",
            "start: 0, end: 999}",
            "plan.services[0].shards[1].range",
        ),
        (
            "start: 0, end: 1000}",
            "start: 0, end: 1001}",
            "plan.services[0].shards[1].range",
        ),
        (
            "end: 4294967296}",
            "end: 4294967295}",
            "plan.services[0].shards[1].range",
        ),
        (
            "end: 4294967296}",
            "end: 4294967297}",
            "plan.services[0].shards[1].range",
        ),
        (p2, &many, "plan.services[0].shards[1].replicas"),
        (
            &format!("replicas:\n{p2}"),
            "replicas: []",
            "plan.services[0].shards[1].replicas",
        ),
        ("submissions: false", "submissions: 3", "plan"),
        ("deadline: 150ms", "deadline: 3s", "plan.policy.deadline"),
        ("deadline: 150ms", "deadline: 999us", "plan.policy.deadline"),
        ("max_deadline: 2s", "max_deadline: 61s", "plan.policy.max_deadline"),
        ("hedge_budget: 2%", "hedge_budget: 50.0001%", "plan.policy.hedge_budget"),
        ("retry_budget: 3%", "retry_budget: 51%", "plan.policy.retry_budget"),
        ("routine_share: 10%", "routine_share: 0.9%", "plan.policy.routine_share"),
        ("routine_share: 10%", "routine_share: 51%", "plan.policy.routine_share"),
        ("latency: 100ms", "latency: 0s", "plan.policy.objectives.latency"),
        ("latency: 100ms", "latency: 3s", "plan.policy.objectives.latency"),
        (
            "latency_ratio: 99%",
            "latency_ratio: 0%",
            "plan.policy.objectives.latency_ratio",
        ),
        (
            "latency_ratio: 99%",
            "latency_ratio: 100%",
            "plan.policy.objectives.latency_ratio",
        ),
        (
            "coverage_ratio: 99.9%",
            "coverage_ratio: 100%",
            "plan.policy.objectives.coverage_ratio",
        ),
        (
            "extra_load: 5%",
            "extra_load: 4.9%",
            "plan.policy.objectives.extra_load",
        ),
    ];
    // The policy of the second service is an alias of the part's policy, so each finding would be reported twice.
    // Without the alias, each case has exactly one finding.
    let single = replace(PART, "    policy: *policy\n", "");
    for (from, to, path) in cases {
        let mut part = replace(&single, from, to);
        if path.ends_with("_budget") {
            part = replace(&part, "extra_load: 5%", "extra_load: 100%");
        }
        let found = findings(&bundle(&root_text(&part), &part));
        let paths: Vec<&str> = found.iter().map(|finding| &*finding.path).collect();
        assert_eq!(paths, [path], "{from} -> {to}: {found:?}");
        assert!(found.iter().all(|finding| !finding.remedy.is_empty()));
    }
}

/// Guards against skipping the checks of a service's own policy, and of empty lists of services or shards.
#[test]
fn empty_lists_and_service_policies_are_checked() {
    let service_policy = replace(
        PART,
        "policy: *policy",
        "policy: {deadline: 0s, max_deadline: 2s, min_coverage: 90%, hedge_budget: 2%, retry_budget: 3%, routine_share: 10%, submissions: true, objectives: {latency: 100ms, latency_ratio: 99%, coverage_ratio: 99.9%, extra_load: 5%}}",
    );
    let (policy, _) = PART.split_once("services:").expect("the part has services");
    let cases = [
        (service_policy, "plan.services[1].policy.deadline"),
        (format!("{policy}services: []\n"), "plan.services"),
        (
            format!("{policy}services: [{{name: plan-1, shards: []}}]\n"),
            "plan.services[0].shards",
        ),
    ];
    for (part, path) in cases {
        let found = findings(&bundle(&root_text(&part), &part));
        assert_eq!(found.len(), 1, "{found:?}");
        assert_eq!(&*found[0].path, path);
    }
}

/// Guards against a rule on the root that is no longer checked or reports the wrong field.
#[test]
fn every_rule_on_the_root_is_checked() {
    let root = root_text(PART);
    let entry = root.lines().last().expect("the root lists the part");
    let entries: Vec<String> = (0..4097).map(|ix| entry.replace("plan", &format!("p{ix}"))).collect();
    let cases = [
        ("schema: 1", "schema: 2", "root.schema"),
        ("revision: 7", "revision: 0", "root.revision"),
        (
            "tolerated_views: 4",
            "tolerated_views: 0",
            "root.claims.tolerated_views",
        ),
        (
            "tolerated_views: 4",
            "tolerated_views: 17",
            "root.claims.tolerated_views",
        ),
        ("remote_reserve: 4", "remote_reserve: 65", "root.claims.remote_reserve"),
        ("remote_reserve: 4", "remote_reserve: 1", "root.claims.remote_reserve"),
        ("name: plan", "name: Plan", "root.parts[0].name"),
        ("name: plan", "name: root", "root.parts[0].name"),
        (entry, &format!("{entry}\n{entry}"), "root.parts[1].name"),
        (&format!("parts:\n{entry}"), "parts: []", "root.parts"),
        (entry, &entries.join("\n"), "root.parts"),
        ("sha256: ", "sha256: 00", "root"),
        ("revision: 7", "revision: 7\nrevison: 8", "root"),
    ];
    for (from, to, path) in cases {
        let found = findings(&bundle(&replace(&root, from, to), PART));
        let first = found.iter().find(|finding| &*finding.path == path);
        assert!(first.is_some(), "{from} -> {to}: {found:?}");
    }
}
