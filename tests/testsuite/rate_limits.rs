//! Rate limits that backend servers announce: the shares of the instances, and how each keeps its share.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use pimentoflow::process::backends::rate_limit;
use pimentoflow::process::backends::rate_limit::LimitNotice;
use pimentoflow::process::backends::rate_limit::RateLimit;
use pimentoflow::process::backends::rate_limit::RequestRate;
use pimentoflow::process::backends::rate_limit::Sender;
use pimentoflow::process::backends::server_state::ServerState;
use pimentoflow::process::ownership::rank::NameHash;
use pimentoflow::request::fanout::Cause;

/// Length of the span over which requests are counted, in steps.
const SPAN_STEPS: usize = 400;

/// Length of a step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Numbers of instances, and how many data centres they are spread over.
const FLEETS: [(usize, usize); 6] = [(1, 1), (4, 3), (7, 3), (33, 4), (118, 5), (5_500, 5)];

/// Limits in requests per second.
const RATES: [RequestRate; 6] = [0.0, 0.4, 1.0, 3.3, 16.0, 240.0];

/// Returns the names of the instances, each with whether it runs in the data centre of the server.
fn fleet(instances: usize, data_centres: usize) -> Vec<(String, bool)> {
    let located = (0..instances).map(|number| (format!("front-{number}"), number % data_centres == 0));
    located.collect()
}

/// Returns the instances that share a limit, each with its share.
fn senders(rate: RequestRate, server: &str, fleet: &[(String, bool)]) -> IndexMap<String, RequestRate> {
    let senders = fleet.iter().map(|(instance, is_local)| Sender {
        instance,
        hash: NameHash::of(instance),
        is_local: *is_local,
    });
    let shares = rate_limit::shares(rate, server, senders);
    shares
        .into_iter()
        .map(|(sender, share)| (sender.instance.to_owned(), share))
        .collect()
}

fn shares(rate: RequestRate, fleet: &[(String, bool)]) -> Vec<RequestRate> {
    senders(rate, "i-server", fleet).into_values().collect()
}

/// Returns the maximum number of requests within [`SPAN_STEPS`] that a server with this limit may get.
fn max_requests(rate: RequestRate) -> f64 {
    (SPAN_STEPS as f64 * STEP.as_secs_f64() * rate).mul_add(1.5, 5.0)
}

fn limited(rate: RequestRate, share: RequestRate, now: Instant) -> RateLimit {
    let mut limit = RateLimit::new(rate, now);
    limit.set_share(share, now);
    limit
}

/// Returns the greatest number of requests within [`SPAN_STEPS`] if each instance sends whenever its share admits it,
/// except in the steps for which `is_idle` returns true.
fn max_sent(rate: RequestRate, shares: &[RequestRate], is_idle: fn(usize) -> bool) -> usize {
    let start = Instant::now();
    let mut limits: Vec<RateLimit> = shares.iter().map(|share| limited(rate, *share, start)).collect();
    let mut sent = Vec::new();
    for step in 0..3 * SPAN_STEPS {
        let now = start + STEP * step as u32;
        let mut count = 0;
        for limit in limits.iter_mut().filter(|_| !is_idle(step)) {
            while limit.available_at(0.0).is_some_and(|at| at <= now) {
                limit.on_send(now);
                count += 1;
            }
        }
        sent.push(count);
    }
    sent.windows(SPAN_STEPS)
        .map(|span| span.iter().sum())
        .max()
        .unwrap_or_default()
}

/// Guards against shares that add up to more than the limit, or to less, which would leave requests unserved.
#[test]
fn the_shares_of_all_instances_add_up_to_the_limit() {
    for (instances, data_centres) in FLEETS {
        let fleet = fleet(instances, data_centres);
        for rate in RATES.into_iter().filter(|rate| *rate >= 1.0) {
            let total: f64 = shares(rate, &fleet).iter().sum();
            assert!(
                (total - rate).abs() < 1e-6,
                "{instances} instances, limit {rate}: {total}"
            );
        }
    }
}

/// Guards against many instances that each have one request left and send it within the same seconds: after all of them
/// were idle, and while they send without a pause.
#[test]
fn instances_that_send_at_the_same_time_keep_the_limit() {
    for (instances, data_centres) in FLEETS {
        let fleet = fleet(instances, data_centres);
        for rate in RATES {
            let shares = shares(rate, &fleet);
            let is_idle: [fn(usize) -> bool; 2] = [|_| false, |step| step < SPAN_STEPS];
            for is_idle in is_idle {
                let sent = max_sent(rate, &shares, is_idle);
                let allowed = max_requests(rate);
                assert!(sent as f64 <= allowed, "{instances} instances, limit {rate}: {sent}");
                assert!(sent as f64 >= rate, "{instances} instances, limit {rate}: {sent}");
            }
        }
    }
}

/// Guards against a limit that is shared by so many instances that all of them together exceed it when they send at the
/// same time, and against an instance that joins and changes who shares all the limits.
#[test]
fn few_instances_of_a_large_fleet_share_a_limit() {
    let rate = 16.0;
    let before = fleet(5_500, 5);
    let mut after = before.clone();
    after.push(("front-new".into(), true));
    for server in ["i-1", "i-2", "i-3"] {
        let (before, after) = (senders(rate, server, &before), senders(rate, server, &after));
        assert_eq!((before.len(), after.len()), (33, 33));
        let replaced = before.keys().filter(|instance| !after.contains_key(*instance)).count();
        assert!(replaced <= 1, "{replaced} instances replaced");
    }
}

/// Guards against a server whose limit is so low that nobody asks it any more, so that nobody hears when it ends.
#[test]
fn a_limit_of_zero_leaves_a_few_requests() {
    let fleet = fleet(33, 4);
    let shares = shares(0.0, &fleet);
    let sent = max_sent(0.0, &shares, |_| false);
    assert!((1..=5).contains(&sent), "{sent} requests");
}

/// Guards against a response that was sent before the server announced a limit and ends it, and against a limit that
/// stays after a later response without it.
#[test]
fn only_a_later_response_ends_a_limit() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut state = ServerState::new(3, Duration::ZERO, start);
    assert_eq!(state.on_limit_notice(LimitNotice::Unlimited, at(0), at(1)), None);
    assert!(state.rate_limit().is_none());
    let before = state.on_limit_notice(LimitNotice::Limited(4.0), at(10), at(20));
    assert_eq!(before, Some(LimitNotice::Unlimited));
    state.set_limit_share(4.0, at(20));
    assert_eq!(state.on_limit_notice(LimitNotice::Unlimited, at(15), at(30)), None);
    assert!(
        state
            .limit_admits_at(0.0, at(30))
            .is_some_and(|admits_at| admits_at > at(30))
    );
    let before = state.on_limit_notice(LimitNotice::Unlimited, at(25), at(40));
    assert_eq!(before, Some(LimitNotice::Limited(4.0)));
    assert!(
        state
            .limit_admits_at(0.0, at(40))
            .is_some_and(|admits_at| admits_at <= at(40))
    );
}

/// Guards against a raised limit that is followed at once, while the server still counts on the lower one.
#[test]
fn a_limit_falls_at_once_and_rises_after_a_delay() {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let mut limit = RateLimit::new(10.0, start);
    let mut rate_after = |rate: RequestRate, seconds: u64| {
        limit.on_notice(LimitNotice::Limited(rate), at(seconds));
        limit.rate()
    };
    assert_eq!(rate_after(5.0, 1), Some(5.0));
    assert_eq!(rate_after(20.0, 2), Some(5.0));
    assert_eq!(rate_after(20.0, 30), Some(5.0));
    assert_eq!(rate_after(20.0, 31), Some(20.0));
    limit.on_notice(LimitNotice::Unlimited, at(32));
    assert_eq!(limit.rate(), None);
    limit.on_notice(LimitNotice::Limited(30.0), at(33));
    assert_eq!(limit.rate(), Some(30.0));
}

/// Guards against outdated notices of other instances that bring back a limit that has ended, or end a newer one.
#[test]
fn older_notices_of_other_instances_are_ignored() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut state = ServerState::new(3, Duration::ZERO, start);
    let limited = LimitNotice::Limited(4.0);
    assert_eq!(state.on_peer_limit_notice(LimitNotice::Unlimited, at(5)), None);
    assert_eq!(
        state.on_peer_limit_notice(limited, at(10)),
        Some(LimitNotice::Unlimited)
    );
    assert_eq!(state.on_peer_limit_notice(LimitNotice::Unlimited, at(5)), None);
    assert_eq!(
        state.on_peer_limit_notice(LimitNotice::Unlimited, at(20)),
        Some(limited)
    );
    assert_eq!(state.on_peer_limit_notice(limited, at(15)), None);
    assert_eq!(state.rate_limit().and_then(RateLimit::rate), None);
}

/// Guards against attempts beyond the first that do not count against the limit.
#[test]
fn attempts_of_every_cause_count_against_the_limit() {
    for cause in [Cause::First, Cause::Hedge, Cause::Retry, Cause::Resend] {
        let start = Instant::now();
        let now = start + Duration::from_secs(10);
        let mut state = ServerState::new(3, Duration::ZERO, start);
        state.on_limit_notice(LimitNotice::Limited(1.0), start, start);
        state.set_limit_share(1.0, start);
        assert!(state.limit_admits_at(0.0, now).is_some_and(|at| at <= now));
        state.begin(cause, Duration::from_millis(20), now);
        assert!(state.limit_admits_at(0.0, now).is_some_and(|at| at > now), "{cause:?}");
    }
}

/// Guards against routine requests that use up a limit that more urgent requests share.
#[test]
fn routine_requests_leave_a_part_of_the_limit() {
    let start = Instant::now();
    let now = start + Duration::from_secs(10);
    let mut limit = limited(8.0, 8.0, start);
    let mut routine = 0;
    while limit.available_at(0.25).is_some_and(|at| at <= now) {
        limit.on_send(now);
        routine += 1;
    }
    assert!((4..8).contains(&routine), "{routine} requests");
    assert!(limit.available_at(0.0).is_some_and(|at| at <= now));
}

/// Guards against a malformed limit that is applied, or that is taken for the end of a limit.
#[test]
fn malformed_limits_are_ignored() {
    for text in ["", "-1", "NaN", "inf", "1e3", "+2", "2,5", "0x10", "two", ".", "1.2.3"] {
        assert_eq!(rate_limit::parse_rate(text), None, "{text:?}");
    }
    for (text, rate) in [("29", 29.0), ("35.6", 35.6), (" 0.5 ", 0.5), ("0", 0.0)] {
        assert_eq!(rate_limit::parse_rate(text), Some(rate), "{text:?}");
    }
}
