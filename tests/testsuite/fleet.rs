//! State of an entry about searchers: health, holdings and budgets, also across revisions; range sets and merging of
//! hits.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::budget::CAPACITY_TOKENS;
use pimentoflow::process::budget::INITIAL_TOKENS;
use pimentoflow::process::budget::TokenBucket;
use pimentoflow::process::fleet::Fleet;
use pimentoflow::process::holdings::MISSING_TTL;
use pimentoflow::process::replicas::Availability;
use pimentoflow::process::replicas::RAMP;
use pimentoflow::request::coverage::RangeSet;
use pimentoflow::request::merge::HitMerger;
use pimentoflow::request::plan::plan;
use pimentoflow::version::keys::KeyRange;
use pimentoflow::version::tables::Tables;
use pimentoflow::wire::proto::Hit;
use pimentoflow::wire::proto::RefusalReason;
use testkit::ServiceShape;
use testkit::TablesBuilder;

use crate::harness::Harness;

fn tables(shards: u32) -> Tables {
    let shape = ServiceShape::new("gym", shards, &["a", "b", "c"]);
    TablesBuilder::new(1).index("school", &[shape]).build()
}

fn fleet(shards: u32, now: Instant) -> Fleet {
    Fleet::new(Arc::new(tables(shards)), "a", now)
}

fn eject(fleet: &Fleet, searcher: u32, now: Instant) {
    for _ in 0..3 {
        fleet
            .replicas
            .on_refusal(searcher, RefusalReason::Unreachable, None, now);
    }
}

/// Guards against a search that fails because all replicas of its shard are ejected.
#[test]
fn search_runs_when_all_replicas_are_ejected() {
    let now = Instant::now();
    let fleet = fleet(1, now);
    for searcher in 0..3 {
        fleet.holdings.on_reply(searcher, &[41], now);
        eject(&fleet, searcher, now);
        assert!(matches!(
            fleet.replicas.availability(searcher, 0.0, now),
            Availability::Ejected(_)
        ));
    }
    let harness = Harness::with_fleet(Arc::new(fleet), 0.0, now);
    assert_eq!(harness.sent.len(), 1);
}

/// Guards against ejections that leave too few replicas for hedges, and against hedges to an ejected replica while
/// enough other replicas are available.
#[test]
fn hedges_use_ejected_replicas_when_too_few_are_left() {
    for (ejected, hedged) in [(&[1, 2][..], 1), (&[0, 1], 2)] {
        let now = Instant::now();
        let fleet = fleet(1, now);
        for searcher in 0..3 {
            fleet.holdings.on_reply(searcher, &[41], now);
        }
        for searcher in ejected {
            eject(&fleet, *searcher, now);
        }
        let mut harness = Harness::with_fleet(Arc::new(fleet), 0.0, now);
        harness.tick(Duration::from_millis(250));
        let first = harness.sent[0].searcher;
        assert_eq!(first, 0, "the replica whose ejection ends first counts as usable");
        let hedges: Vec<u32> = harness.sent[1..].iter().map(|send| send.searcher).collect();
        assert_eq!(hedges, [hedged]);
    }
}

/// Guards against a replica that is skipped because of an outdated list of snapshots.
#[test]
fn missing_snapshot_expires() {
    let now = Instant::now();
    let fleet = fleet(1, now);
    fleet.holdings.on_reply(0, &[41], now);
    assert_eq!(fleet.holdings.holds(0, 42, now), Some(false));
    assert_eq!(fleet.holdings.holds(0, 42, now + MISSING_TTL), None);
    assert_eq!(fleet.holdings.holds(0, 41, now + MISSING_TTL), Some(true));
    assert_eq!(fleet.holdings.age(0, now + MISSING_TTL), Some(MISSING_TTL));
}

/// Guards against a searcher that receives its full traffic immediately after an ejection, and against one that never
/// receives it again.
#[test]
fn returned_searcher_ramps_up() {
    let now = Instant::now();
    let fleet = fleet(1, now);
    eject(&fleet, 0, now);
    let returned = now + Duration::from_millis(1001);
    assert_eq!(fleet.replicas.availability(0, 0.05, returned), Availability::Ready);
    assert_eq!(fleet.replicas.availability(0, 0.5, returned), Availability::Busy);
    assert_eq!(
        fleet.replicas.availability(0, 0.99, returned + RAMP),
        Availability::Ready
    );
}

/// Guards against a slow replica that is not ejected, and against a fast one that is.
#[test]
fn slow_replica_is_ejected() {
    let now = Instant::now();
    let fleet = fleet(1, now);
    for _ in 0..40 {
        fleet.replicas.on_reply(0, 1, &[0, 1, 2], Duration::from_millis(5), now);
    }
    for _ in 0..40 {
        fleet
            .replicas
            .on_reply(0, 0, &[0, 1, 2], Duration::from_millis(80), now);
    }
    assert!(matches!(
        fleet.replicas.availability(0, 0.0, now),
        Availability::Ejected(_)
    ));
    assert_eq!(fleet.replicas.availability(1, 0.0, now), Availability::Ready);
}

/// Guards against an entry that overloads another data centre because its own replica is busy.
#[test]
fn remote_traffic_is_capped() {
    let now = Instant::now();
    let fleet = Arc::new(fleet(1, now));
    let retry_after = Some(Duration::from_secs(5));
    let mut remote = 0;
    for searcher in 0..3 {
        fleet.holdings.on_reply(searcher, &[41], now);
    }
    for _ in 0..100 {
        fleet.replicas.on_refusal(0, RefusalReason::Shedding, retry_after, now);
        let harness = Harness::with_snapshot(Arc::clone(&fleet), 41, now);
        remote += u32::from(harness.sent[0].searcher != 0);
    }
    assert!(
        (20..=26).contains(&remote),
        "{remote} of 100 went to another data centre"
    );
}

/// Guards against a configuration change that discards observations, or keeps them for a searcher whose server has
/// changed.
#[test]
fn observations_survive_configuration_change() {
    let now = Instant::now();
    let before = fleet(2, now);
    before.holdings.on_reply(0, &[41], now);
    before.holdings.on_reply(1, &[41], now);
    let mut next = tables(3);
    next.searchers[1].transport_digest = [1; 32];
    let after = before.next_revision(Arc::new(next), now);
    assert_eq!(after.holdings.holds(0, 41, now), Some(true));
    assert_eq!(after.holdings.holds(1, 41, now), None);
    assert_eq!(after.replicas.availability(0, 0.5, now), Availability::Ready);
    assert_eq!(after.replicas.availability(1, 0.5, now), Availability::Busy);
}

/// Guards against pinning a snapshot that only unusable replicas or few shards hold.
#[test]
fn pin_prefers_key_space_over_age() {
    let now = Instant::now();
    let fleet = fleet(2, now);
    let planned = plan(&fleet.tables, &["gym"], 10).expect("the service exists");
    fleet.holdings.on_reply(0, &[41, 42], now);
    fleet.holdings.on_reply(3, &[41], now);
    assert_eq!(fleet.pin(&planned, &[], now).map(|pin| pin.snapshot), Ok(41));
    fleet.holdings.on_reply(4, &[42], now);
    assert_eq!(fleet.pin(&planned, &[], now).map(|pin| pin.snapshot), Ok(42));
    fleet.replicas.set_leaving(4, true, now);
    assert_eq!(fleet.pin(&planned, &[], now).map(|pin| pin.snapshot), Ok(41));
    assert!(fleet.pin(&planned, &[41, 42], now).is_err());
}

/// Guards against a token bucket that grants more tokens than it has received, or that accumulates them without bound.
#[test]
fn bucket_is_bounded() {
    let bucket = TokenBucket::new(0.02);
    bucket.on_planned(1000);
    let taken = (0..1000).filter(|_| bucket.take()).count();
    assert_eq!(taken, INITIAL_TOKENS as usize + 20);
    bucket.on_planned(1_000_000);
    assert_eq!(bucket.tokens(), CAPACITY_TOKENS);
    assert!(!TokenBucket::new(0.0).take());
}

/// Guards against a range set that loses keys or contains them twice.
#[test]
fn range_set_agrees_with_a_set_of_keys() {
    property_check::check()
        .with_iterations(3_000)
        .with_type::<Vec<(bool, u8, u8)>>()
        .for_each(|steps| {
            let mut set = RangeSet::default();
            let mut keys = std::collections::BTreeSet::new();
            for (insert, start, length) in steps {
                let start = u64::from(*start % 64);
                let range = KeyRange {
                    start,
                    end: start + u64::from(*length % 16),
                };
                if *insert {
                    set.insert(range);
                    keys.extend(range.start..range.end);
                } else {
                    let taken = set.remove(range);
                    let held = (range.start..range.end).filter(|key| keys.remove(key));
                    assert_eq!(taken.len(), held.count() as u64);
                }
                assert_eq!(set.len(), keys.len() as u64);
                assert!((0..80).all(|key| set.contains(key) == keys.contains(&key)));
                assert!(set.ranges().windows(2).all(|pair| pair[0].end < pair[1].start));
            }
        });
}

/// Guards against a merge whose result depends on the order of replies, or that loses or duplicates documents.
#[test]
fn merge_agrees_with_sorting() {
    property_check::check()
        .with_iterations(2_000)
        .with_type::<(u8, Vec<(u8, u8)>)>()
        .for_each(|(limit, entries)| {
            let limit = usize::from(*limit % 8) + 1;
            let mut merge = HitMerger::new(limit);
            let mut best = std::collections::BTreeMap::new();
            // Repeats the entries so that longer inputs fill the buffer of the merger, which is compacted at 1024 hits.
            for _ in 0..20 {
                for (key, score) in entries {
                    merge.push(0, hit(*key, *score));
                    let kept = best.entry(*key).or_insert(*score);
                    *kept = (*kept).max(*score);
                }
            }
            let mut expected: Vec<(u8, u8)> = best.into_iter().collect();
            expected.sort_by_key(|(key, score)| (u8::MAX - score, *key));
            expected.truncate(limit);
            let merged = merge.finish();
            let expected = expected.into_iter().map(|(key, score)| hit(key, score));
            assert!(merged.into_iter().map(|merged| merged.hit).eq(expected));
        });
}

fn hit(key: u8, score: u8) -> Hit {
    Hit {
        key: u64::from(key),
        document: "d".to_owned(),
        score: f64::from(score),
    }
}
