//! Tests of single search scenarios at the entry: plan, snapshot, coverage, retries and hedges.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use pimentoflow::error::ErrorKind;
use pimentoflow::request::coverage::MissingReason;
use pimentoflow::request::plan::plan;
use pimentoflow::request::query::Cause;
use pimentoflow::request::query::EndReason;
use pimentoflow::request::query::SendAttempt;
use pimentoflow::version::keys::KeyRange;
use pimentoflow::wire::proto::RefusalReason;
use pimentoflow::wire::proto::part_result::Outcome;
use testkit::ServiceShape;
use testkit::TablesBuilder;

use crate::harness::DEADLINE;
use crate::harness::Harness;
use crate::harness::fleet;
use crate::harness::hit;
use crate::harness::hits;

/// Guards against an answer that mixes snapshots because its services belong to different indexes.
#[test]
fn services_of_different_indexes_are_refused() {
    let school = [ServiceShape::new("gym", 2, &["a"])];
    let archive = [ServiceShape::new("records", 2, &["a"])];
    let tables = TablesBuilder::new(1)
        .index("school", &school)
        .index("archive", &archive);
    let tables = Arc::new(tables.build());
    for names in [&["gym", "records"][..], &["gym", "nothing"], &[]] {
        let error = plan(&tables, names, 10).expect_err("the search is refused");
        assert_eq!(error.kind, ErrorKind::BadRequest);
    }
    let planned = plan(&tables, &["gym", "gym"], 10).expect("a repeated name is fine");
    assert_eq!(planned.parts.len(), 2);
}

/// Guards against a search that is held, rather than refused with a retry-after time, while no snapshot is known.
#[test]
fn unknown_holdings_are_refused_with_retry_after() {
    let now = Instant::now();
    let fleet = fleet(2, &[], now);
    let plan = plan(&fleet.tables, &["gym"], 10).expect("the service exists");
    let error = fleet.pin(&plan, &[], now).expect_err("nothing is held");
    assert_eq!(error.kind, ErrorKind::NoSnapshot);
    assert!(error.retry_after.is_some());
}

/// Guards against a complete query that waits for its deadline, and a complete answer with wrong metadata.
#[test]
fn complete_query_finishes_at_once() {
    let mut harness = Harness::start(4, &[41], 0.0);
    for send in harness.sent.clone() {
        assert_eq!(send.cause, Cause::First);
        assert!(harness.fleet.replicas.is_local(send.searcher));
        harness.answer_fully(send);
    }
    let answer = harness.final_answer();
    assert!(answer.coverage.is_complete());
    assert_eq!(answer.hits.len(), 4);
    assert_eq!((answer.snapshot, answer.revision), (41, 3));
    assert_eq!(answer.end_reason, EndReason::Settled);
    assert_eq!(harness.fleet.replicas.in_flight(0), 0);
}

/// Guards against hits of another snapshot in an answer when a server ignores the requested snapshot.
#[test]
fn hits_of_another_snapshot_are_not_merged() {
    let mut harness = Harness::start(1, &[41], 0.0);
    let first = harness.sent[0];
    let stale = hits(40, first.range, vec![hit(1, "stale", 9.0)]);
    harness.deliver(first, Outcome::Hits(stale), &[40]);
    assert!(harness.answer.is_none());
    let second = harness.sent[1];
    assert_ne!(second.searcher, first.searcher);
    harness.answer_fully(second);
    let answer = harness.final_answer();
    assert!(answer.coverage.is_complete());
    assert!(answer.hits.iter().all(|merged| merged.hit.document != "stale"));
}

/// Guards against a mixed or missing answer when all replicas drop the pinned snapshot during a query.
#[test]
fn snapshot_gone_everywhere_restarts_the_whole_query() {
    let mut harness = Harness::start(2, &[40, 41], 0.0);
    let first = harness.sent.clone();
    assert!(first.iter().all(|send| send.snapshot == 41));
    harness.answer_fully(first[0]);
    for searcher in 0..6 {
        harness.fleet.holdings.on_reply(searcher, &[40], harness.now);
    }
    harness.refuse(first[1], RefusalReason::SnapshotGone);
    for at in [2, 3] {
        assert_eq!(harness.sent[at].cause, Cause::Redirect, "every replica is asked first");
        harness.refuse(harness.sent[at], RefusalReason::SnapshotGone);
    }
    let again: Vec<SendAttempt> = harness.sent[4..].to_vec();
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|send| send.snapshot == 40));
    let late = hits(41, first[1].range, vec![hit(first[1].range.start, "late", 9.0)]);
    harness.deliver(first[1], Outcome::Hits(late), &[]);
    for send in again {
        harness.answer_fully(send);
    }
    let answer = harness.final_answer();
    assert_eq!(answer.snapshot, 40);
    assert_eq!(answer.hits.len(), 2);
    assert!(answer.coverage.is_complete());
    assert_eq!((answer.extra.restarts, answer.extra.restarted), (1, 2));
}

/// Guards against endless restarts when snapshots are dropped faster than a query can finish.
#[test]
fn restarts_are_bounded() {
    let mut harness = Harness::start(1, &[1, 2, 3, 4, 5, 6], 0.0);
    for _ in 0..20 {
        if harness.answer.is_some() {
            break;
        }
        let last = *harness.sent.last().expect("an attempt was sent");
        harness.refuse(last, RefusalReason::SnapshotGone);
    }
    let answer = harness.final_answer();
    assert_eq!(answer.extra.restarts, 2);
    let missing = &answer.coverage.services[0].missing;
    assert_eq!(missing[0].reason, MissingReason::SnapshotGone);
}

/// Guards against keys that are lost or counted twice when a shard is split during the query.
#[test]
fn split_shard_is_completed_by_another_replica() {
    let mut harness = Harness::start(1, &[41], 0.0);
    let first = harness.sent[0];
    let half = KeyRange { start: 0, end: 1000 };
    let inside = hit(1, "inside", 0.1);
    let outside = hit(2000, "outside", 0.9);
    harness.deliver(first, Outcome::Hits(hits(41, half, vec![inside, outside])), &[]);
    let second = harness.sent[1];
    assert_eq!(second.cause, Cause::Completion);
    assert_eq!(second.range.start, 1000);
    let wide = vec![hit(1, "inside", 0.1), hit(2000, "new", 0.8)];
    harness.deliver(second, Outcome::Hits(hits(41, KeyRange::ALL, wide)), &[]);
    let answer = harness.final_answer();
    let documents: Vec<&str> = answer.hits.iter().map(|merged| &*merged.hit.document).collect();
    assert_eq!(documents, ["new", "inside"]);
    assert!(answer.coverage.is_complete());
}

/// Guards against truncated results that are reported as complete.
#[test]
fn truncated_result_counts_as_partial() {
    let mut harness = Harness::start(1, &[41], 0.0);
    for at in 0..2 {
        let send = harness.sent[at];
        let mut partial = hits(41, send.range, vec![hit(1, "kept", 0.5)]);
        partial.truncated = true;
        harness.deliver(send, Outcome::Hits(partial), &[]);
    }
    let answer = harness.final_answer();
    assert_eq!(answer.hits.len(), 1);
    assert!(answer.coverage.fraction() < 1.0);
    assert_eq!(answer.coverage.services[0].missing[0].reason, MissingReason::Truncated);
}

/// Guards against hits of a truncated reply in a range that is reported as unreachable because a later attempt was
/// refused.
#[test]
fn refusal_after_truncated_result_keeps_truncated_reason() {
    let mut harness = Harness::start(1, &[41], 0.0);
    let first = harness.sent[0];
    let mut partial = hits(41, first.range, vec![hit(1, "kept", 0.5)]);
    partial.truncated = true;
    harness.deliver(first, Outcome::Hits(partial), &[]);
    let mut at = 1;
    while at < harness.sent.len() {
        harness.refuse(harness.sent[at], RefusalReason::Unreachable);
        at += 1;
    }
    assert!(at > 1, "no further attempt was sent");
    let answer = harness.final_answer();
    assert_eq!(answer.hits.len(), 1);
    assert_eq!(answer.coverage.services[0].missing[0].reason, MissingReason::Truncated);
}

/// Guards against a part counted twice when the original answers after its hedge, and a hedge that is never sent.
#[test]
fn hedge_and_original_count_once() {
    let mut harness = Harness::start(1, &[41], 0.0);
    let first = harness.sent[0];
    harness.tick(DEADLINE / 2);
    let second = harness.sent[1];
    assert_eq!(second.cause, Cause::Hedge);
    harness.answer_fully(second);
    assert_eq!(harness.cancelled, 1);
    let before = harness.final_answer().clone();
    harness.answer_fully(first);
    assert_eq!(harness.final_answer(), &before);
    assert_eq!(before.hits.len(), 1);
    assert_eq!(before.extra.hedges, 1);
}

/// Guards against hedges on a server that is shedding load or leaving.
#[test]
fn hedges_avoid_servers_under_load() {
    let mut harness = Harness::start(1, &[41], 0.0);
    let now = harness.now;
    let wait = Duration::from_secs(1);
    let replicas = &harness.fleet.replicas;
    replicas.on_refusal(1, RefusalReason::Shedding, Some(wait), now);
    replicas.set_leaving(2, true, now);
    harness.tick(DEADLINE / 2);
    assert_eq!(harness.sent.len(), 1);
}

/// Guards against a part that is given up with its leaf although the successor or another replica can serve it.
#[test]
fn lost_leaf_falls_back_to_successor_then_other_replica() {
    let mut harness = Harness::start(1, &[41], 0.0);
    let first = harness.sent[0];
    harness.refuse(first, RefusalReason::NotOwner);
    let second = harness.sent[1];
    assert!(second.fallback);
    assert_eq!(second.searcher, first.searcher);
    harness.call(|query, now, out| query.on_session_lost(second.part, second.attempt, now, out));
    let third = harness.sent[2];
    assert!(!third.fallback);
    assert_ne!(third.searcher, first.searcher);
    harness.answer_fully(third);
    assert_eq!(harness.final_answer().extra.redirects, 2);
}

/// Guards against an answer that is delayed until the deadline although its last part was given up.
#[test]
fn given_up_part_ends_the_query_at_once() {
    let mut harness = Harness::start(1, &[41], 0.0);
    let mut at = 0;
    while at < harness.sent.len() {
        harness.refuse(harness.sent[at], RefusalReason::Unreachable);
        at += 1;
    }
    assert_eq!(at, 6, "three replicas, each through owner and successor");
    let answer = harness.final_answer();
    assert_eq!(
        answer.coverage.services[0].missing[0].reason,
        MissingReason::Unreachable
    );
    assert_eq!(answer.timings.total, Duration::ZERO);
}

/// Guards against waiting for parts when the minimum coverage of the caller is no longer attainable.
#[test]
fn unattainable_coverage_ends_the_query_at_once() {
    let mut harness = Harness::start(2, &[41], 1.0);
    let first = harness.sent[0];
    for reason in [RefusalReason::Shedding, RefusalReason::Shedding] {
        let last = harness.sent.iter().rfind(|send| send.part == first.part).copied();
        harness.refuse(last.expect("the part was sent"), reason);
    }
    let answer = harness.final_answer();
    assert_eq!(answer.end_reason, EndReason::Unattainable);
    assert_eq!(harness.cancelled, 1);
    let error = answer.check(1.0).expect_err("the coverage is too small");
    assert_eq!(error.kind, ErrorKind::Overloaded);
}

/// Guards against an answer after the caller's deadline, or one without the parts received in time.
#[test]
fn partial_answer_is_sent_before_deadline() {
    let mut harness = Harness::start(2, &[41], 0.0);
    harness.answer_fully(harness.sent[0]);
    while harness.answer.is_none() {
        let at = harness.query.next_wakeup().expect("the query waits");
        harness.tick(at - harness.now);
    }
    let answer = harness.final_answer();
    assert!(answer.timings.total < DEADLINE);
    assert_eq!(answer.end_reason, EndReason::Deadline);
    assert_eq!(answer.coverage.services[0].missing[0].reason, MissingReason::Deadline);
    assert!((answer.coverage.fraction() - 0.5).abs() < 1e-9);
}
