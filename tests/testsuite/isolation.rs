//! Detection of an isolated data centre, and the redirection of its callers.

use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::isolation::Isolation;
use pimentoflow::process::isolation::RedirectChange;

/// Time after the start of the isolation from which answers are rated.
const AFTER_SETTLING: Duration = Duration::from_millis(1500);

fn is_suspected(isolation: &mut Isolation, now: Instant) -> bool {
    (0..10).any(|_| isolation.on_remote_failure(now))
}

/// Guards against isolation being suspected at the first failures of servers elsewhere, and against a probe for every
/// failure.
#[test]
fn isolation_is_suspected_after_several_unanswered_failures() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    for _ in 0..50 {
        assert!(!isolation.on_remote_failure(now));
        isolation.on_remote_response();
    }
    assert!(is_suspected(&mut isolation, now));
    assert!(!is_suspected(&mut isolation, now + Duration::from_secs(1)));
    assert!(is_suspected(&mut isolation, now + Duration::from_secs(3)));
    assert!(!isolation.is_redirecting());
}

/// Guards against callers that stay at a data centre which cannot answer their requests, and against redirection that
/// starts and stops repeatedly while the isolation lasts.
#[test]
fn callers_are_redirected_while_local_servers_are_insufficient() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    assert_eq!(isolation.on_isolated(false, now), RedirectChange::Started);
    assert!(isolation.is_redirecting());
    for round in 0..100 {
        let at = now + Duration::from_millis(20 * round);
        assert_eq!(isolation.on_quality(1.0, at), RedirectChange::Unchanged);
        assert_eq!(isolation.on_isolated(true, at), RedirectChange::Unchanged);
    }
    assert_eq!(isolation.on_reachable(), RedirectChange::Ended);
    assert!(!isolation.is_redirecting());
    assert_eq!(isolation.on_reachable(), RedirectChange::Unchanged);
    assert_eq!(
        isolation.on_quality(0.0, now + AFTER_SETTLING),
        RedirectChange::Unchanged
    );
}

/// Guards against redirecting callers because the first answers after the start of the isolation fail, and against
/// keeping callers though the answers do not improve.
#[test]
fn callers_are_redirected_when_quality_stays_low() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    assert_eq!(isolation.on_isolated(true, now), RedirectChange::Unchanged);
    for round in 0..40 {
        let at = now + Duration::from_millis(20 * round);
        assert_eq!(isolation.on_quality(0.0, at), RedirectChange::Unchanged);
    }
    for _ in 0..100 {
        assert_eq!(
            isolation.on_quality(0.9, now + AFTER_SETTLING),
            RedirectChange::Unchanged
        );
    }
    let changes: Vec<RedirectChange> = (0..20)
        .map(|_| isolation.on_quality(0.2, now + AFTER_SETTLING))
        .collect();
    assert_eq!(
        changes
            .iter()
            .filter(|change| **change == RedirectChange::Started)
            .count(),
        1
    );
    assert!(isolation.is_redirecting());
}
