//! Whether callers of a data centre that is cut off are sent to another one.

use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::isolation::Isolation;
use pimentoflow::process::isolation::Turn;

/// Time after the beginning of a cut after which poor answers count.
const LATER: Duration = Duration::from_millis(1500);

fn suspect(isolation: &mut Isolation, now: Instant) -> bool {
    (0..10).any(|_| isolation.on_remote_failure(now))
}

/// Guards against callers that are sent away at the first failures of servers elsewhere, and against a look for each one.
#[test]
fn a_cut_is_suspected_after_several_failures_without_an_answer() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    for _ in 0..50 {
        assert!(!isolation.on_remote_failure(now));
        isolation.on_remote_answer();
    }
    assert!(suspect(&mut isolation, now));
    assert!(!suspect(&mut isolation, now + Duration::from_secs(1)));
    assert!(suspect(&mut isolation, now + Duration::from_secs(3)));
    assert!(!isolation.is_closed());
}

/// Guards against callers that stay where requests cannot be answered, and against an instance that goes back and forth.
#[test]
fn callers_leave_where_servers_do_not_suffice_until_the_cut_ends() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    assert_eq!(isolation.on_cut_off(false, now), Turn::Away);
    assert!(isolation.is_closed());
    for round in 0..100 {
        let at = now + Duration::from_millis(20 * round);
        assert_eq!(isolation.on_value(1.0, at), Turn::Unchanged);
        assert_eq!(isolation.on_cut_off(true, at), Turn::Unchanged);
    }
    assert_eq!(isolation.on_reached(), Turn::Back);
    assert!(!isolation.is_closed());
    assert_eq!(isolation.on_reached(), Turn::Unchanged);
    assert_eq!(isolation.on_value(0.0, now + LATER), Turn::Unchanged);
}

/// Guards against callers that leave a data centre which serves them, since the first answers after a cut are poor, and
/// against callers that stay though its answers do not get better.
#[test]
fn callers_leave_where_answers_stay_poor() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    assert_eq!(isolation.on_cut_off(true, now), Turn::Unchanged);
    for round in 0..40 {
        let at = now + Duration::from_millis(20 * round);
        assert_eq!(isolation.on_value(0.0, at), Turn::Unchanged);
    }
    for _ in 0..100 {
        assert_eq!(isolation.on_value(0.9, now + LATER), Turn::Unchanged);
    }
    let turns: Vec<Turn> = (0..20).map(|_| isolation.on_value(0.2, now + LATER)).collect();
    assert_eq!(turns.iter().filter(|turn| **turn == Turn::Away).count(), 1);
    assert!(isolation.is_closed());
}
