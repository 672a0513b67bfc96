//! Limit on extra attempts: it holds in every interval of the window's length, for all instances together.

use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::extra::ExtraBudget;
use pimentoflow::process::extra::ExtraLimits;

const LIMITS: ExtraLimits = ExtraLimits {
    ratio: 0.2,
    allowance: 54.0,
    window: Duration::from_secs(10),
};

/// Guards against a burst of extra attempts that exceeds the limit in some sliding window, with several instances that
/// do not know each other's counts. The limit is `ratio` times the requests plus the allowance, where the requests may
/// be those of the window, of the one before, or of the one half a window earlier.
#[test]
fn no_sliding_window_exceeds_the_bound() {
    property_check::check()
        .with_iterations(300)
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|steps| {
            const INSTANCES: usize = 4;
            let limits = LIMITS.per_instance(INSTANCES as u32);
            let start = Instant::now();
            let mut now = start;
            let mut budgets: Vec<ExtraBudget> = (0..INSTANCES).map(|_| ExtraBudget::new(start)).collect();
            let mut requests: Vec<Duration> = Vec::new();
            let mut extras: Vec<Duration> = Vec::new();
            for (gap, count, attempts) in steps {
                now += Duration::from_millis(u64::from(*gap) * 10);
                for round in 0..usize::from(*count % 64) {
                    budgets[round % INSTANCES].on_request(&limits, now);
                    requests.push(now - start);
                }
                for round in 0..usize::from(*attempts) {
                    if budgets[round % INSTANCES].take(&limits, now) {
                        extras.push(now - start);
                    }
                }
            }
            let within = |times: &[Duration], from: Duration, to: Duration| {
                times.iter().filter(|at| **at > from && **at <= to).count() as f64
            };
            let window = LIMITS.window;
            for end in &extras {
                let from = |back: f64| end.saturating_sub(window.mul_f64(back));
                let made = extras.iter().filter(|at| **at <= *end && *end - **at < window).count() as f64;
                let here = requests
                    .iter()
                    .filter(|at| **at <= *end && *end - **at < window)
                    .count() as f64;
                let half = within(&requests, from(1.5), from(0.5));
                let before = within(&requests, from(2.0), from(1.0));
                let bound = LIMITS.ratio * here.max(half).max(before) + LIMITS.allowance;
                assert!(made <= bound, "{made} extra attempts at {end:?}, bound {bound}");
            }
        });
}

/// Guards against a budget that denies everything: extra attempts for a tenth of the requests are always allowed.
#[test]
fn budget_allows_a_tenth_of_requests() {
    let limits = LIMITS.per_instance(4);
    let mut now = Instant::now();
    let mut budget = ExtraBudget::new(now);
    for round in 0..5_000 {
        now += Duration::from_millis(7);
        budget.on_request(&limits, now);
        if round % 10 == 9 {
            assert!(budget.take(&limits, now), "denied at request {round}");
        }
    }
}

/// Guards against attempts that were never sent still counting against the limit.
#[test]
fn refunded_attempts_can_be_taken_again() {
    let limits = LIMITS.per_instance(4);
    let now = Instant::now();
    let mut budget = ExtraBudget::new(now);
    let mut taken = 0;
    while budget.take(&limits, now) {
        taken += 1;
    }
    assert!(taken > 0);
    budget.refund(&limits, now);
    assert!(budget.take(&limits, now));
    assert!(!budget.take(&limits, now));
}
