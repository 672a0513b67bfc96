//! Routing of forwarded requests.

use std::time::Duration;

use indexmap::IndexMap;
use pimentoflow::version::routing::CallerLimits;
use pimentoflow::version::routing::Route;
use pimentoflow::version::routing::Routing;
use pimentoflow::version::routing::ShardSet;
use pimentoflow::version::routing::Split;
use pimentoflow::version::routing::Target;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        prefix: prefix.into(),
        idempotent: true,
        max_attempts: 2,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(150),
        rank: 1,
        target: Target::Single("service".into()),
    }
}

fn routing() -> Routing {
    let routes = vec![
        ("One.example".into(), route("short", "/a/")),
        ("one.example".into(), route("long", "/a/b/")),
        ("two.example".into(), route("root", "/")),
    ];
    Routing::new(3, CallerLimits::default(), IndexMap::new(), routes)
}

/// Guards against matching a shorter prefix or a route of another host, and against comparing hosts by case or port.
#[test]
fn the_longest_prefix_of_the_host_matches() {
    let routing = routing();
    let name = |host: &str, path: &str| routing.find(host, path).map(|route| route.name.to_string());
    assert_eq!(name("one.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("ONE.example:8080", "/a/bc").as_deref(), Some("short"));
    assert_eq!(name("one.example", "/a"), None);
    assert_eq!(name("three.example", "/a/b/"), None);
    assert_eq!(name("two.example", "/a/b/").as_deref(), Some("root"));
}

/// Guards against outranking the most urgent route to a service, and against comparing ranks across services: a route
/// is outranked only by a more urgent route to the same service.
#[test]
fn a_route_is_outranked_only_at_a_shared_service() {
    let ranked = |name: &str, rank: u32, service: &str| Route {
        rank,
        target: Target::Single(service.into()),
        ..route(name, &format!("/{name}/"))
    };
    let routes = [
        ranked("urgent", 0, "a"),
        ranked("routine", 2, "a"),
        ranked("alone", 2, "b"),
    ];
    let routes = routes.into_iter().map(|route| ("h".into(), route)).collect();
    let routing = Routing::new(1, CallerLimits::default(), IndexMap::new(), routes);
    let outranked = |path: &str, service: &str| routing.is_outranked(routing.find("h", path).unwrap(), service);
    assert!(!outranked("/urgent/", "a"));
    assert!(outranked("/routine/", "a"));
    assert!(!outranked("/alone/", "b"));
}

/// Guards against shares that differ from the weights by 1% or more after 300 requests, and against requests to a
/// service with weight 0.
#[test]
fn splits_meet_their_weights() {
    let weights = vec![
        ("a".into(), 70.0),
        ("none".into(), 0.0),
        ("b".into(), 25.0),
        ("c".into(), 5.0),
    ];
    let split = Split::with_start(weights, 0);
    let mut counts: IndexMap<Box<str>, u32> = IndexMap::new();
    for _ in 0..300 {
        *counts.entry(split.next_service().unwrap().clone()).or_default() += 1;
    }
    for (service, weight) in [("a", 0.70), ("b", 0.25), ("c", 0.05)] {
        let share = f64::from(counts[service]) / 300.0;
        assert!((share - weight).abs() < 0.01, "{service}: {share}");
    }
    assert!(!counts.contains_key("none"));
}

fn weights_of_70_and_30() -> Vec<(Box<str>, f64)> {
    vec![("a".into(), 70.0), ("b".into(), 30.0)]
}

fn count_first_service(split: &Split, requests: usize) -> usize {
    (0..requests)
        .filter(|_| split.next_service().is_some_and(|service| &**service == "a"))
        .count()
}

/// Guards against instances that all send their first requests to the same service. The shares of 118 instances with
/// three requests each must together be within 0.1 of the weights, which is the tolerance of the largest deployment.
#[test]
fn many_instances_that_deal_few_requests_meet_the_weights() {
    let mut rng = SmallRng::seed_from_u64(1);
    for round in 0..20 {
        let splits = std::iter::repeat_with(|| Split::with_start(weights_of_70_and_30(), rng.random()));
        let first: usize = splits.take(118).map(|split| count_first_service(&split, 3)).sum();
        let share = first as f64 / (118.0 * 3.0);
        assert!((share - 0.7).abs() < 0.1, "round {round}: {share}");
    }
    let first: usize = (0..256)
        .map(|_| count_first_service(&Split::new(weights_of_70_and_30()), 1))
        .sum();
    assert!((1..256).contains(&first), "all instances start with the same service");
}

/// Guards against rounding errors that allow an answer below the minimum coverage, or require more shards than needed.
#[test]
fn the_least_number_of_parts_covers_the_share() {
    let least = |shards: usize, min_coverage: f64| {
        let shards = (0..shards).map(|shard| shard.to_string().into()).collect();
        ShardSet {
            shards,
            top_k: 5,
            min_coverage,
        }
        .min_parts()
    };
    assert_eq!(least(10, 0.89), 9);
    assert_eq!(least(8, 0.75), 6);
    assert_eq!(least(36, 0.95), 35);
    assert_eq!(least(54, 0.85), 46);
    assert_eq!(least(10, 0.0), 1);
    assert_eq!(least(10, 1.0), 10);
}
