//! Latencies of a route.

use std::time::Duration;

use pimentoflow::process::pace::Pace;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a second attempt that is timed by a few values only.
#[test]
fn few_values_say_nothing() {
    let mut pace = Pace::default();
    for _ in 0..10 {
        pace.observe(ms(20));
    }
    assert_eq!(pace.summary(), None);
}

/// Guards against quantiles that are off by more than the width of a bucket (9%), and against a slow tenth that moves the
/// median.
#[test]
fn quantiles_follow_the_values() {
    let mut pace = Pace::default();
    for round in 0..1000 {
        pace.observe(if round % 20 == 0 { ms(200) } else { ms(20) });
    }
    let summary = pace.summary().unwrap();
    assert!(summary.median >= ms(20) && summary.median <= ms(22), "{summary:?}");
    assert!(summary.upper >= ms(20) && summary.upper <= ms(22), "{summary:?}");
}

/// Guards against a distribution that never forgets, which would time second attempts by the work of an older
/// configuration.
#[test]
fn old_values_are_forgotten() {
    let mut pace = Pace::default();
    for _ in 0..4000 {
        pace.observe(ms(20));
    }
    for _ in 0..6000 {
        pace.observe(ms(60));
    }
    let summary = pace.summary().unwrap();
    assert!(summary.median >= ms(60), "{summary:?}");
}
