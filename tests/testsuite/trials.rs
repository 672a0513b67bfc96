//! Choice of the servers that a request which may crash them is tried with.

use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::backends::BackendEntry;
use pimentoflow::process::backends::Directory;
use pimentoflow::process::backends::View;
use pimentoflow::process::backends::selection;
use pimentoflow::process::gossip::InstanceCount;
use pimentoflow::process::quarantine::DOWN_TIME;
use pimentoflow::process::quarantine::TrialLimits;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Time without a heartbeat after which the platform removes an entry.
const ENTRY_TTL: Duration = Duration::from_millis(3600);

/// Returns a view with two services of `replicas` servers each.
fn two_services(replicas: usize, now: Instant) -> View {
    let mut directory = Directory::new("here".into(), ENTRY_TTL);
    for service in ["a", "b"] {
        for replica in 0..replicas {
            let entry = BackendEntry {
                id: format!("{service}-{replica}").into(),
                service: service.into(),
                address: ([10, 0, 0, 1], 80).into(),
                data_centre: "here".into(),
                slots: 3,
                leaving: false,
                warmup: Duration::ZERO,
                started_ms: 1,
            };
            directory.on_entry(entry, now);
        }
    }
    directory.view(None, InstanceCount { all: 1, local: 1 })
}

/// Returns the parts that are chosen in 50 draws: 0 for service `a`, and 1 for `b`.
fn chosen_parts(view: &View, limits: &TrialLimits, now: Instant) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(1);
    let parts = ["a", "b"].map(|service| view.servers(service));
    let draws = (0..50).filter_map(|_| selection::trial_part(parts.into_iter(), limits, now, &mut rng));
    let mut chosen: Vec<usize> = draws.collect();
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}

/// Guards against a trial at the last server of a service, which would cost all other requests their answers.
#[test]
fn a_trial_needs_a_service_with_a_server_to_spare() {
    let now = Instant::now();
    let mut limits = TrialLimits {
        crashed: Vec::new(),
        min_available: 2,
    };
    let view = two_services(2, now);
    assert_eq!(chosen_parts(&view, &limits, now), [0, 1]);
    limits.crashed.push(view.servers("a")[0].entry.key());
    assert_eq!(chosen_parts(&view, &limits, now), [1], "a server of `a` crashed");
    view.servers("b")[1].state().on_failure(now);
    assert!(chosen_parts(&view, &limits, now).is_empty(), "a server of `b` failed");
    limits.min_available = 1;
    assert_eq!(chosen_parts(&view, &limits, now), [0, 1], "the trial has waited");
    limits.crashed.clear();
    assert_eq!(
        chosen_parts(&view, &limits, now),
        [0],
        "both servers of `a` are available"
    );
}

/// Guards against a server that failed and is never tried again, and against a trial at one that leaves or asked for a
/// pause.
#[test]
fn servers_that_are_not_available_are_not_spare() {
    let now = Instant::now();
    let limits = TrialLimits {
        crashed: Vec::new(),
        min_available: 2,
    };
    let view = two_services(2, now);
    view.servers("a")[0].state().on_failure(now);
    view.servers("b")[0]
        .state()
        .on_retry_after(Duration::from_secs(60), now);
    assert!(chosen_parts(&view, &limits, now).is_empty());
    assert_eq!(
        chosen_parts(&view, &limits, now + DOWN_TIME),
        [0],
        "the failure is long ago"
    );
    view.servers("a")[1].state().on_leaving();
    assert!(chosen_parts(&view, &limits, now + DOWN_TIME).is_empty());
}

/// Guards against a request that is never tried again because its service has a single server, and against a trial while
/// that one is down.
#[test]
fn the_only_server_is_tried_unless_it_is_down() {
    let now = Instant::now();
    let mut limits = TrialLimits {
        crashed: Vec::new(),
        min_available: 2,
    };
    let view = two_services(1, now);
    assert_eq!(chosen_parts(&view, &limits, now), [0, 1]);
    limits.crashed = vec![view.servers("a")[0].entry.key(), view.servers("b")[0].entry.key()];
    limits.min_available = 0;
    assert!(chosen_parts(&view, &limits, now).is_empty());
}
