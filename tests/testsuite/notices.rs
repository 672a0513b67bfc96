//! What backend servers say of themselves, and what holds of it for a decision.

use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::backends::BackendEntry;
use pimentoflow::process::backends::Directory;
use pimentoflow::process::backends::notice::HOLD_MAX;
use pimentoflow::process::backends::notice::hold_time;
use pimentoflow::process::backends::place;
use pimentoflow::process::census::Count;
use pimentoflow::request::fanout::Decision;
use pimentoflow::request::fanout::Fanout;
use pimentoflow::request::fanout::Limits;
use pimentoflow::request::fanout::PartFailure;
use pimentoflow::request::fanout::ServerChoice;

const ALONE: Count = Count { all: 1, local: 1 };

fn entry(born: u64) -> BackendEntry {
    BackendEntry {
        id: "a".into(),
        service: "shard".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "here".into(),
        slots: 3,
        leaving: false,
        warmup: Duration::ZERO,
        born,
    }
}

/// Guards against a value that locks a server out for good, or ends the process.
#[test]
fn times_that_make_no_sense_have_a_defined_meaning() {
    let ms = Duration::from_millis;
    for (text, time) in [
        ("2", Some(ms(2000))),
        (" 1.25 ", Some(ms(1250))),
        ("0.001", Some(ms(1))),
        ("31536000", Some(HOLD_MAX)),
        ("99999999999999999999999999999999999999999999", Some(HOLD_MAX)),
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
        assert_eq!(hold_time(text), time, "{text:?}");
    }
    let digits = "9".repeat(400);
    assert_eq!(hold_time(&digits), Some(HOLD_MAX));
}

/// Guards against a server whose word is forgotten when its entry goes and comes back, and against one that keeps the word
/// of the incarnation before it.
#[test]
fn the_word_of_an_incarnation_holds_to_its_end() {
    let now = Instant::now();
    let mut directory = Directory::new("here".into());
    directory.on_entry(entry(1), now);
    let backend = directory.backend("a").unwrap();
    assert!(backend.standing().on_leaving());
    assert!(!backend.standing().on_leaving(), "said twice");
    backend.standing().on_hold(Duration::from_secs(9), now);
    assert!(directory.view(None, ALONE).servers("shard").is_empty());
    directory.on_missing("a");
    directory.on_entry(entry(1), now);
    let returned = directory.backend("a").unwrap();
    assert!(returned.standing().is_leaving() && returned.standing().is_held(now));
    directory.on_entry(entry(2), now);
    let restarted = directory.backend("a").unwrap();
    assert!(!restarted.standing().is_leaving() && !restarted.standing().is_held(now));
    assert_eq!(directory.view(None, ALONE).servers("shard").len(), 1);
}

/// Guards against a shorter time that undoes a longer one which the server stated for another request.
#[test]
fn the_longest_stated_time_counts() {
    let now = Instant::now();
    let mut directory = Directory::new("here".into());
    directory.on_entry(entry(1), now);
    let backend = directory.backend("a").unwrap();
    backend.standing().on_hold(Duration::from_secs(4), now);
    backend.standing().on_hold(Duration::from_secs(1), now);
    let until = now + Duration::from_secs(4);
    assert!(backend.standing().is_held(until - Duration::from_millis(1)));
    assert!(!backend.standing().is_held(until));
    assert_eq!(place::free_at(&[backend]), Some(until));
}

/// Guards against callers that are sent back when the first shard has a server again though two are needed, or as late as
/// the last one though an answer may lack a shard.
#[test]
fn an_answer_needs_as_many_shards_back_as_its_coverage_lacks() {
    let now = Instant::now();
    let limits = Limits {
        parts: 10,
        min_parts: 9,
        max_attempts: 2,
        repeatable: true,
        objective: Duration::from_millis(100),
        time_limit: Duration::from_secs(1),
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
