//! Bound on the log lines about requests.

use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::gateway::lines::Lines;
use pimentoflow::process::gateway::lines::Topic;

/// Guards against a log that grows with the load, against a failed request whose lines are left out because others went
/// well, and against lines that are left out without a word.
#[test]
fn lines_are_bounded_and_trouble_keeps_its_own() {
    let start = Instant::now();
    let lines = Lines::new(start);
    let usual = (0..10_000).filter(|_| lines.take(Topic::Usual, start).0).count();
    assert_eq!(usual, 250);
    let trouble = (0..10_000).filter(|_| lines.take(Topic::Trouble, start).0).count();
    assert_eq!(trouble, 250);
    let (allowed, left_out) = lines.take(Topic::Usual, start + Duration::from_secs(1));
    assert!(allowed);
    assert_eq!(left_out, 20_000 - 500);
    assert_eq!(lines.take(Topic::Usual, start + Duration::from_secs(2)).1, 0);
}
