//! Notices from backend servers (leaving, Retry-After) and their effect on decisions.

use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::backends::BackendEntry;
use pimentoflow::process::backends::Directory;
use pimentoflow::process::backends::retry_after::RETRY_AFTER_MAX;
use pimentoflow::process::backends::retry_after::parse_retry_after;
use pimentoflow::process::backends::selection;
use pimentoflow::process::gossip::InstanceCount;
use pimentoflow::request::fanout::Decision;
use pimentoflow::request::fanout::Fanout;
use pimentoflow::request::fanout::Limits;
use pimentoflow::request::fanout::PartFailure;
use pimentoflow::request::fanout::ServerChoice;

const ONE_INSTANCE: InstanceCount = InstanceCount { all: 1, local: 1 };

fn entry(started_ms: u64) -> BackendEntry {
    BackendEntry {
        id: "a".into(),
        service: "shard".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "here".into(),
        slots: 3,
        leaving: false,
        warmup: Duration::ZERO,
        started_ms,
    }
}

/// Guards against a Retry-After value that keeps a server out of use for good or crashes the process.
#[test]
fn invalid_retry_after_values_are_ignored_or_capped() {
    let ms = Duration::from_millis;
    for (text, time) in [
        ("2", Some(ms(2000))),
        (" 1.25 ", Some(ms(1250))),
        ("0.001", Some(ms(1))),
        ("31536000", Some(RETRY_AFTER_MAX)),
        ("99999999999999999999999999999999999999999999", Some(RETRY_AFTER_MAX)),
        ("0", None),
        ("0.0000000000001", None),
        ("-1", None),
        ("+1", None),
        ("1e3", None),
        ("nan", None),
        ("inf", None),
        ("1.2.3", None),
        (".", None),
        ("", None),
        ("2 s", None),
        ("Wed, 21 Oct 2026 07:28:00 GMT", None),
    ] {
        assert_eq!(parse_retry_after(text), time, "{text:?}");
    }
    let digits = "9".repeat(400);
    assert_eq!(parse_retry_after(&digits), Some(RETRY_AFTER_MAX));
}

/// Guards against notices that are lost when the entry of a server goes and comes back, and against notices that
/// outlive their incarnation.
#[test]
fn leaving_and_retry_after_last_as_long_as_the_incarnation() {
    let now = Instant::now();
    let mut directory = Directory::new("here".into(), Duration::ZERO);
    directory.on_entry(entry(1), now);
    let backend = directory.backend("a").unwrap();
    assert!(backend.state().on_leaving());
    assert!(!backend.state().on_leaving(), "leaving announced twice");
    backend.state().on_retry_after(Duration::from_secs(9), now);
    assert!(directory.view(None, ONE_INSTANCE).servers("shard").is_empty());
    directory.on_missing("a", now);
    directory.on_entry(entry(1), now);
    let returned = directory.backend("a").unwrap();
    assert!(returned.state().is_leaving() && returned.state().is_backing_off(now));
    directory.on_entry(entry(2), now);
    let restarted = directory.backend("a").unwrap();
    assert!(!restarted.state().is_leaving() && !restarted.state().is_backing_off(now));
    assert_eq!(directory.view(None, ONE_INSTANCE).servers("shard").len(), 1);
}

/// Guards against a Retry-After time that shortens a longer one from another answer of the same server.
#[test]
fn the_longest_retry_after_counts() {
    let now = Instant::now();
    let mut directory = Directory::new("here".into(), Duration::ZERO);
    directory.on_entry(entry(1), now);
    let backend = directory.backend("a").unwrap();
    backend.state().on_retry_after(Duration::from_secs(4), now);
    backend.state().on_retry_after(Duration::from_secs(1), now);
    let until = now + Duration::from_secs(4);
    assert!(backend.state().is_backing_off(until - Duration::from_millis(1)));
    assert!(!backend.state().is_backing_off(until));
    assert_eq!(selection::available_at(&[backend]), Some(until));
}

/// Guards against a retry time at which too few shards have servers again, and against one that waits for all shards
/// although the coverage allows an answer without some of them.
#[test]
fn retry_time_depends_on_the_shards_missing_from_coverage() {
    let now = Instant::now();
    let limits = Limits {
        parts: 10,
        min_parts: 9,
        max_attempts: 2,
        repeatable: true,
        objective: Duration::from_millis(100),
        time_limit: Duration::from_secs(1),
        trial: None,
    };
    let mut fanout = Fanout::new(limits, now);
    fanout.advance(now, |part, _, _| {
        if part < 3 {
            ServerChoice::NoServer
        } else {
            ServerChoice::Send(0, Duration::from_millis(20))
        }
    });
    assert_eq!(fanout.decision(now), Decision::Refuse(PartFailure::NoServer));
    assert_eq!(fanout.given_up().count(), 3);
    assert_eq!(fanout.shortfall(), 2);
}
