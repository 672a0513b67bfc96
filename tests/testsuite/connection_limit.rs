//! Adaptive concurrency limit against simple simulated servers.

use std::time::Duration;
use std::time::Instant;

use pimentoflow::connection::limit::ConcurrencyLimit;
use pimentoflow::connection::limit::DispatchRecord;

/// Behaviour of a simulated server.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Server {
    /// Refuses requests above its capacity.
    Refuses(u32),
    /// Divides its capacity among all requests, so that every request takes longer above it.
    Shares(u32),
    /// Runs every request slower by a factor, whatever their number.
    Slow(u32),
}

const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Keeps as many requests in flight as the limit allows for `length`, and returns the final limit.
fn saturate(limit: &mut ConcurrencyLimit, server: Server, now: &mut Instant, length: Duration) -> u32 {
    let end = *now + length;
    while *now < end {
        let allowed = limit.current();
        let records: Vec<DispatchRecord> = (1..=allowed).map(|n| limit.on_dispatch(n, true, *now)).collect();
        let service_time = match server {
            Server::Refuses(_) => SERVICE_TIME,
            Server::Shares(capacity) => SERVICE_TIME * allowed.max(capacity) / capacity,
            Server::Slow(factor) => SERVICE_TIME * factor,
        };
        *now += service_time;
        for (position, record) in records.into_iter().enumerate() {
            let refused = matches!(server, Server::Refuses(capacity) if position as u32 >= capacity);
            if refused {
                limit.on_refused(record, allowed, Duration::ZERO, *now);
            } else {
                limit.on_success(record, service_time, *now);
            }
        }
        limit.on_tick(*now);
    }
    limit.current()
}

fn warmed_up_limit(now: &mut Instant) -> ConcurrencyLimit {
    let mut limit = ConcurrencyLimit::new(3, *now);
    assert_eq!(limit.current(), 1, "a cold start begins with one request");
    assert_eq!(saturate(&mut limit, Server::Refuses(3), now, Duration::from_secs(2)), 3);
    limit
}

/// Guards against a limit that stays above the capacity of a server which has lost slots, and against one that does not
/// use the slots when they return.
#[test]
fn limit_follows_refusals() {
    let mut now = Instant::now();
    let mut limit = warmed_up_limit(&mut now);
    let second = Duration::from_secs(1);
    saturate(&mut limit, Server::Refuses(1), &mut now, second);
    let overruns = (0..100).filter(|_| saturate(&mut limit, Server::Refuses(1), &mut now, second / 10) > 1);
    assert!(overruns.count() <= 5, "probes of a higher limit are rare and short");
    assert_eq!(saturate(&mut limit, Server::Refuses(3), &mut now, second * 5), 3);
}

/// Guards against a limit that only lengthens the queue inside a server whose capacity has dropped without refusals.
#[test]
fn limit_follows_service_times() {
    let mut now = Instant::now();
    let mut limit = warmed_up_limit(&mut now);
    let length = Duration::from_secs(5);
    assert_eq!(saturate(&mut limit, Server::Shares(2), &mut now, length), 2);
    assert_eq!(saturate(&mut limit, Server::Shares(3), &mut now, length), 3);
}

/// Guards against a limit that loses throughput because a server became slower for a reason other than concurrency.
#[test]
fn uniformly_slower_server_keeps_the_limit() {
    let mut now = Instant::now();
    let mut limit = warmed_up_limit(&mut now);
    let step = Duration::from_millis(100);
    let lower = (0..100).filter(|_| saturate(&mut limit, Server::Slow(3), &mut now, step) < 3);
    let lower = lower.count();
    assert!(
        (1..=16).contains(&lower),
        "the probe of a lower limit took {lower} steps of 100 ms"
    );
}

/// Guards against a limit outside `1..=slots`, and against a suspension of dispatch that never ends.
#[test]
fn arbitrary_results_keep_the_limit_in_bounds() {
    let steps = bolero::produce::<Vec<(u8, u8)>>().with().len(0..300_usize);
    let check = property_check::check().with_iterations(2_000).with_generator(steps);
    check.for_each(|steps| {
        let mut now = Instant::now();
        let mut limit = ConcurrencyLimit::new(3, now);
        let mut records = Vec::new();
        for (kind, ms) in steps {
            let length = Duration::from_millis(u64::from(*ms));
            now += length;
            match kind % 4 {
                0 | 1 => records.push(limit.on_dispatch(u32::from(kind % 3) + 1, kind & 64 == 0, now)),
                2 => {
                    if let Some(record) = records.pop() {
                        limit.on_success(record, length, now);
                    }
                }
                _ => {
                    if let Some(record) = records.pop() {
                        limit.on_refused(record, u32::from(kind % 3) + 1, length, now);
                    }
                }
            }
            assert!((1..=3).contains(&limit.current()));
            limit.on_tick(now + Duration::from_secs(1));
            assert_eq!(limit.hold_until(), None);
        }
    });
}
