//! Connection pool of one searcher: rate limit, backoff and the connection reserved for cancellation.

use std::time::Duration;
use std::time::Instant;

use pimentoflow::connection::lane::work::Action;
use pimentoflow::connection::lane::work::OpenFailure;
use pimentoflow::connection::pool::ConnectionState;
use pimentoflow::connection::pool::OPEN_INTERVAL;
use pimentoflow::connection::pool::OPEN_TIMEOUT;
use pimentoflow::connection::pool::Pool;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const GRACE: Duration = Duration::from_millis(500);

fn pool(seed: u64, now: Instant) -> Pool {
    let mut pool = Pool::new(SmallRng::seed_from_u64(seed), now);
    pool.set_target(5);
    pool
}

fn opened_ids(actions: &[Action]) -> Vec<u64> {
    let open = |action: &Action| match action {
        Action::Open { connection } => Some(*connection),
        _ => None,
    };
    actions.iter().filter_map(open).collect()
}

/// Runs a pool against a server on which every attempt fails, and returns the times of the attempts.
fn attempt_times(seed: u64, failure: OpenFailure, length: Duration) -> Vec<Duration> {
    let start = Instant::now();
    let mut now = start;
    let mut pool = pool(seed, now);
    let mut times = Vec::new();
    while now < start + length {
        let mut actions = Vec::new();
        pool.poll(now, &mut actions);
        for id in opened_ids(&actions) {
            times.push(now - start);
            pool.on_open_failed(id, failure, now);
        }
        now = pool.next_wakeup(GRACE).expect("connections are missing");
    }
    times
}

/// Guards against reconnects without backoff while a server is down, and against instances that reconnect in lockstep.
#[test]
fn reconnects_use_jittered_backoff() {
    let length = Duration::from_secs(60);
    let times = attempt_times(1, OpenFailure::Unreachable, length);
    assert!((30..60).contains(&times.len()), "{} attempts in 60 s", times.len());
    let gaps: Vec<Duration> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.iter().all(|gap| *gap <= Duration::from_secs(2)));
    assert_ne!(times, attempt_times(2, OpenFailure::Unreachable, length));
    assert_eq!(times, attempt_times(1, OpenFailure::Unreachable, length));
    let refused = attempt_times(1, OpenFailure::CapReached, length);
    assert!(
        refused.len() < 30,
        "{} attempts against a server at its cap",
        refused.len()
    );
}

/// Guards against a reconnect storm to a server that accepts connections and then drops them.
#[test]
fn flapping_connections_respect_the_open_rate() {
    let start = Instant::now();
    let mut now = start;
    let mut pool = pool(1, now);
    let mut open_attempts = 0;
    while now < start + Duration::from_secs(10) && open_attempts < 1_000 {
        let mut actions = Vec::new();
        pool.poll(now, &mut actions);
        for id in opened_ids(&actions) {
            open_attempts += 1;
            pool.on_opened(id);
            pool.on_closed(id, now);
        }
        now = pool.next_wakeup(GRACE).expect("connections are missing");
    }
    let max_opens = 10_000 / OPEN_INTERVAL.as_millis() as u64;
    assert!(open_attempts <= max_opens + 8, "{open_attempts} connections in 10 s");
}

/// Guards against an unanswered attempt that blocks the pool, and against holding more than the target while it is
/// being closed.
#[test]
fn unanswered_attempt_times_out() {
    let now = Instant::now();
    let mut pool = pool(1, now);
    let mut actions = Vec::new();
    pool.poll(now, &mut actions);
    assert_eq!(opened_ids(&actions), [0, 1]);
    let late = now + OPEN_TIMEOUT;
    actions.clear();
    pool.poll(late, &mut actions);
    assert_eq!(
        actions,
        [Action::Close { connection: 0 }, Action::Close { connection: 1 }]
    );
    assert_eq!(pool.held_count(), 2);
    pool.on_opened(0);
    assert_eq!(pool.open_count(), 0, "a connection that is being closed is not used");
    pool.on_closed(0, late);
    assert_eq!(pool.held_count(), 1);
}

/// Guards against work that takes the last idle connection, so that a cancellation has to wait.
#[test]
fn one_connection_is_kept_for_cancellation() {
    let now = Instant::now();
    let mut pool = pool(1, now);
    let mut actions = Vec::new();
    pool.poll(now, &mut actions);
    pool.on_opened(0);
    assert!(pool.has_work_connection(), "a lone connection serves work");
    pool.on_opened(1);
    assert_eq!(pool.acquire(ConnectionState::Work(1), now), Some(0));
    assert!(!pool.has_work_connection());
    assert_eq!(pool.acquire(ConnectionState::Control, now), Some(1));
    assert_eq!(pool.on_reply(1), Some(ConnectionState::Control));
    assert_eq!(pool.on_reply(0), Some(ConnectionState::Work(1)));
    assert!(pool.has_work_connection());
}
