//! Rate limit for log lines about requests.

use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::gateway::log_quota::LogQuota;
use pimentoflow::process::gateway::log_quota::LogTopic;

/// Guards against a log that grows with the load, against lines about failed requests being displaced by those about
/// successful ones, and against suppressed lines that are not counted.
#[test]
fn log_lines_are_bounded_per_topic() {
    let start = Instant::now();
    let quota = LogQuota::new(start);
    let success = (0..10_000).filter(|_| quota.take(LogTopic::Success, start).0).count();
    assert_eq!(success, 250);
    let failure = (0..10_000).filter(|_| quota.take(LogTopic::Failure, start).0).count();
    assert_eq!(failure, 250);
    let (allowed, suppressed) = quota.take(LogTopic::Success, start + Duration::from_secs(1));
    assert!(allowed);
    assert_eq!(suppressed, 20_000 - 500);
    assert_eq!(quota.take(LogTopic::Success, start + Duration::from_secs(2)).1, 0);
}
