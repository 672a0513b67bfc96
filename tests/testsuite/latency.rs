//! Latency distribution of a route.

use std::time::Duration;

use pimentoflow::process::latency::LatencyHistogram;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a hedge delay that is derived from too few values.
#[test]
fn too_few_values_give_no_quantiles() {
    let mut histogram = LatencyHistogram::default();
    for _ in 0..10 {
        histogram.observe(ms(20));
    }
    assert_eq!(histogram.summary(), None);
}

/// Guards against quantiles with an error above the width of a bucket (9%), and against a median that is shifted by a
/// few slow values.
#[test]
fn quantiles_follow_the_values() {
    let mut histogram = LatencyHistogram::default();
    for round in 0..1000 {
        histogram.observe(if round % 20 == 0 { ms(200) } else { ms(20) });
    }
    let summary = histogram.summary().unwrap();
    assert!(summary.median >= ms(20) && summary.median <= ms(22), "{summary:?}");
    assert!(summary.p90 >= ms(20) && summary.p90 <= ms(22), "{summary:?}");
}

/// Guards against a histogram that never decays, so that hedge delays follow the latencies of an older configuration.
#[test]
fn old_values_are_forgotten() {
    let mut histogram = LatencyHistogram::default();
    for _ in 0..4000 {
        histogram.observe(ms(20));
    }
    for _ in 0..6000 {
        histogram.observe(ms(60));
    }
    let summary = histogram.summary().unwrap();
    assert!(summary.median >= ms(60), "{summary:?}");
}
