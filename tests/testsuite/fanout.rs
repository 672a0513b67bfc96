//! Tests of the state machine of a forwarded request.

use std::time::Duration;
use std::time::Instant;

use pimentoflow::request::fanout::AttemptOutcome;
use pimentoflow::request::fanout::Cause;
use pimentoflow::request::fanout::Decision;
use pimentoflow::request::fanout::Fanout;
use pimentoflow::request::fanout::Limits;
use pimentoflow::request::fanout::PartFailure;
use pimentoflow::request::fanout::PartSend;
use pimentoflow::request::fanout::ServerChoice;

const HEDGE_AFTER: Duration = Duration::from_millis(30);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Limits of a search over ten shards, as in the requirements of the first users.
fn search() -> Limits {
    Limits {
        parts: 10,
        min_parts: 9,
        max_attempts: 2,
        repeatable: true,
        objective: ms(150),
        time_limit: ms(800),
        trial: None,
    }
}

/// Limits of a search that is tried with one part first.
fn trial_search(part: usize) -> Limits {
    Limits {
        trial: Some(part),
        ..search()
    }
}

/// Limits of a request that is forwarded to one service.
fn single(repeatable: bool) -> Limits {
    Limits {
        parts: 1,
        min_parts: 1,
        max_attempts: 2,
        repeatable,
        objective: ms(600),
        time_limit: ms(4000),
        trial: None,
    }
}

/// Selects the first of three servers that was not tried yet.
fn first_untried(_part: usize, _cause: Cause, tried: &[usize]) -> ServerChoice {
    match tried.len() {
        3.. => ServerChoice::NoServer,
        next => ServerChoice::Send(next, HEDGE_AFTER),
    }
}

/// Reports that the attempts for `parts` were answered.
fn answer(fanout: &mut Fanout, parts: impl IntoIterator<Item = usize>, now: Instant) {
    for part in parts {
        assert!(fanout.on_attempt_end(part, AttemptOutcome::Answered, now));
    }
}

/// Guards against an answer that is delayed although all parts have arrived.
#[test]
fn answers_when_last_part_arrives() {
    let now = Instant::now();
    let mut fanout = Fanout::new(search(), now);
    assert_eq!(fanout.advance(now, first_untried).len(), 10);
    answer(&mut fanout, 0..9, now + ms(20));
    assert!(matches!(fanout.decision(now + ms(20)), Decision::Wait(_)));
    answer(&mut fanout, [9], now + ms(25));
    assert_eq!(fanout.decision(now + ms(25)), Decision::Answer);
    assert_eq!(fanout.missing(), 0);
}

/// Simulates one paused server. Guards against a part that is not hedged or is hedged twice, and an answer that waits
/// for the paused server beyond the objective.
#[test]
fn slow_part_is_hedged_once_and_omitted_after_objective() {
    let now = Instant::now();
    let mut fanout = Fanout::new(search(), now);
    fanout.advance(now, first_untried);
    answer(&mut fanout, 0..9, now + ms(20));
    assert!(fanout.advance(now + ms(29), first_untried).is_empty());
    let hedge = PartSend {
        part: 9,
        server: 1,
        cause: Cause::Hedge,
    };
    assert_eq!(fanout.advance(now + ms(30), first_untried), [hedge]);
    assert!(fanout.advance(now + ms(100), first_untried).is_empty());
    assert!(matches!(fanout.decision(now + ms(120)), Decision::Wait(_)));
    assert_eq!(fanout.decision(now + ms(145)), Decision::Answer);
    assert_eq!(fanout.missing(), 1);
}

/// Guards against an answer with fewer than the minimum number of parts, and a request that waits for its deadline when
/// the minimum is no longer attainable.
#[test]
fn fails_at_once_below_min_parts() {
    let now = Instant::now();
    let mut fanout = Fanout::new(search(), now);
    fanout.advance(now, first_untried);
    answer(&mut fanout, 0..8, now + ms(20));
    assert!(matches!(fanout.decision(now + ms(200)), Decision::Wait(_)));
    for part in [8, 9] {
        fanout.on_attempt_end(part, AttemptOutcome::Failed, now + ms(200));
    }
    let retries = fanout.advance(now + ms(200), first_untried);
    assert!(retries.iter().all(|send| send.cause == Cause::Retry) && retries.len() == 2);
    for part in [8, 9] {
        fanout.on_attempt_end(part, AttemptOutcome::Failed, now + ms(210));
    }
    fanout.advance(now + ms(210), first_untried);
    assert_eq!(fanout.decision(now + ms(210)), Decision::Fail(PartFailure::Failed));
}

/// Simulates a shard without a server. Guards against a request that is refused although the other parts suffice, or
/// that waits for the shard.
#[test]
fn shard_without_server_is_omitted_at_once() {
    let now = Instant::now();
    let mut fanout = Fanout::new(search(), now);
    let sends = fanout.advance(now, |part, cause, tried| match part {
        4 => ServerChoice::NoServer,
        _ => first_untried(part, cause, tried),
    });
    assert_eq!(sends.len(), 9);
    answer(&mut fanout, (0..10).filter(|part| *part != 4), now + ms(20));
    assert_eq!(fanout.decision(now + ms(20)), Decision::Answer);
}

/// Simulates two shards without a server. Guards against load on the other shards from a request that cannot be
/// answered, and against a late refusal.
#[test]
fn unanswerable_request_is_refused_before_sending() {
    let now = Instant::now();
    let mut fanout = Fanout::new(search(), now);
    let sends = fanout.advance(now, |part, cause, tried| match part {
        4 | 5 => ServerChoice::NoServer,
        _ => first_untried(part, cause, tried),
    });
    assert!(sends.is_empty());
    assert_eq!(fanout.decision(now), Decision::Refuse(PartFailure::NoServer));
}

/// Simulates two shards whose servers are all at capacity. Guards against load on the other shards while these wait,
/// and against a wait of more than a quarter of the objective.
#[test]
fn request_without_capacity_is_held_then_refused() {
    let start = Instant::now();
    let mut fanout = Fanout::new(search(), start);
    let at_capacity = |part: usize, cause: Cause, tried: &[usize]| match part {
        4 | 5 => ServerChoice::Defer,
        _ => first_untried(part, cause, tried),
    };
    let mut now = start;
    while let Decision::Wait(until) = fanout.decision(now) {
        assert!(fanout.advance(now, at_capacity).is_empty());
        assert!(now <= start + ms(150) / 4, "still waiting after {:?}", now - start);
        now = until.max(now + ms(1));
        fanout.advance(now, at_capacity);
    }
    assert_eq!(fanout.decision(now), Decision::Refuse(PartFailure::NoRoom));
}

/// Guards against a held request that is not sent once servers have capacity again.
#[test]
fn held_request_is_sent_once_capacity_is_free() {
    let now = Instant::now();
    let mut fanout = Fanout::new(search(), now);
    let sends = fanout.advance(now, |part, cause, tried| match part {
        4 | 5 => ServerChoice::Defer,
        _ => first_untried(part, cause, tried),
    });
    assert!(sends.is_empty());
    let sends = fanout.advance(now + ms(10), first_untried);
    assert_eq!(sends.len(), 10);
    assert!(sends.iter().all(|send| send.cause == Cause::First && send.server == 0));
}

/// Guards against a double execution: a request that is not repeatable may be sent again only if the server confirmed
/// that it has not run.
#[test]
fn non_repeatable_request_is_retried_only_if_not_run() {
    let now = Instant::now();
    let mut fanout = Fanout::new(single(false), now);
    assert_eq!(fanout.advance(now, first_untried).len(), 1);
    assert!(fanout.advance(now + ms(500), first_untried).is_empty());
    fanout.on_attempt_end(0, AttemptOutcome::NotRun, now + ms(500));
    assert_eq!(fanout.advance(now + ms(500), first_untried).len(), 1);
    fanout.on_attempt_end(0, AttemptOutcome::Failed, now + ms(600));
    assert!(fanout.advance(now + ms(600), first_untried).is_empty());
    assert_eq!(fanout.decision(now + ms(600)), Decision::Fail(PartFailure::Failed));
}

/// Guards against a refusal of a request that may have run, and against endless retries of refused attempts.
#[test]
fn refuses_only_if_no_attempt_may_have_run() {
    let now = Instant::now();
    for (last, expected) in [
        (AttemptOutcome::NotRun, Decision::Refuse(PartFailure::Failed)),
        (AttemptOutcome::Failed, Decision::Fail(PartFailure::Failed)),
    ] {
        let mut fanout = Fanout::new(single(false), now);
        let mut sent = 0;
        while !fanout
            .advance(now, |_, _, _| ServerChoice::Send(sent, HEDGE_AFTER))
            .is_empty()
        {
            sent += 1;
            assert!(sent <= 8, "a refused request is retried endlessly");
            let outcome = if sent == 2 { last } else { AttemptOutcome::NotRun };
            fanout.on_attempt_end(0, outcome, now);
        }
        assert_eq!(fanout.decision(now), expected);
    }
}

/// Guards against a final answer after the caller's deadline.
#[test]
fn times_out_before_deadline() {
    let now = Instant::now();
    let mut fanout = Fanout::new(single(true), now);
    fanout.advance(now, first_untried);
    let Decision::Wait(until) = fanout.decision(now) else {
        panic!("the request ended at once")
    };
    assert!(until < now + ms(4000));
    assert!(fanout.end() < now + ms(4000));
    assert_eq!(fanout.decision(fanout.end()), Decision::TimeOut);
}

/// Guards against reporting an unknown outcome for a request that was never sent.
#[test]
fn unsent_request_is_refused_at_deadline() {
    let now = Instant::now();
    let limits = Limits {
        time_limit: ms(20),
        trial: None,
        ..search()
    };
    let mut fanout = Fanout::new(limits, now);
    fanout.advance(now, |_, _, _| ServerChoice::Defer);
    let end = fanout.end();
    fanout.advance(end, |_, _, _| ServerChoice::Defer);
    assert_eq!(fanout.decision(end), Decision::Refuse(PartFailure::NoRoom));
}

/// Simulates recent failures of the servers of two shards of ten, when at most one shard may be missing. Guards against
/// load on the other shards, and a wait until the deadline, while it is unknown whether an answer is possible.
#[test]
fn probes_are_sent_before_dependent_parts() {
    let now = Instant::now();
    let choose = |part, cause, tried: &[usize]| match first_untried(part, cause, tried) {
        ServerChoice::Send(server, check) if part < 2 => ServerChoice::Probe(server, check),
        choice => choice,
    };
    let begin = || {
        let mut fanout = Fanout::new(search(), now);
        let probes: Vec<usize> = fanout.advance(now, choose).iter().map(|send| send.part).collect();
        assert_eq!(probes, [0, 1]);
        fanout
    };
    let mut recovered = begin();
    answer(&mut recovered, [0], now + ms(10));
    assert!(recovered.advance(now + ms(10), choose).is_empty());
    answer(&mut recovered, [1], now + ms(20));
    assert_eq!(recovered.advance(now + ms(20), choose).len(), 8);

    let mut silent = begin();
    let Decision::Wait(until) = silent.decision(now) else {
        panic!("the request ended before its probes")
    };
    assert!(until <= now + search().objective / 4);
    let probe_end = now + search().objective / 4;
    assert!(silent.advance(probe_end, choose).is_empty());
    assert_eq!(silent.decision(probe_end), Decision::Fail(PartFailure::Failed));
}

/// Simulates a server that alternates between up and down, and refuses connections while down. Guards against charging
/// the budget for extra attempts that repeat ones no server received, and against not charging it for those that repeat
/// one a server did receive.
#[test]
fn unsent_attempt_is_resent_without_budget() {
    let now = Instant::now();
    let mut fanout = Fanout::new(single(true), now);
    fanout.advance(now, first_untried);
    for (outcome, cause) in [
        (AttemptOutcome::Unsent, Cause::Resend),
        (AttemptOutcome::NotRun, Cause::Retry),
        (AttemptOutcome::Unsent, Cause::Retry),
    ] {
        fanout.on_attempt_end(0, outcome, now);
        let sends = fanout.advance(now, |_, _, tried| ServerChoice::Send(tried.len(), HEDGE_AFTER));
        assert_eq!(sends.iter().map(|send| send.cause).collect::<Vec<Cause>>(), [cause]);
    }
}

/// Guards against more attempts that may have run than the route allows, and against wrong counters, under any order of
/// events.
#[test]
fn attempts_never_exceed_limit() {
    property_check::check()
        .with_iterations(3_000)
        .with_type::<(bool, Vec<(u8, u8, u8)>)>()
        .for_each(|(repeatable, steps)| {
            let limits = Limits {
                parts: 4,
                min_parts: 3,
                repeatable: *repeatable,
                ..search()
            };
            let start = Instant::now();
            let mut now = start;
            let mut fanout = Fanout::new(limits, now);
            let mut in_flight: Vec<usize> = Vec::new();
            let mut possible_runs = [0_u32; 4];
            for (gap, pick, outcome) in steps {
                now += ms(u64::from(*gap % 32));
                let sends = fanout.advance(now, |part, _, tried| match pick % 5 {
                    0 => ServerChoice::Defer,
                    1 if tried.len() > 1 => ServerChoice::NoServer,
                    2 if part % 2 == 0 => ServerChoice::Probe(tried.len(), HEDGE_AFTER),
                    _ => ServerChoice::Send(tried.len(), HEDGE_AFTER),
                });
                in_flight.extend(sends.iter().map(|send| send.part));
                for (part, runs) in possible_runs.iter().enumerate() {
                    let used = runs + in_flight.iter().filter(|other| **other == part).count() as u32;
                    let allowed = if *repeatable { limits.max_attempts } else { 1 };
                    assert!(used <= allowed, "part {part}: {used} attempts");
                }
                if !in_flight.is_empty() {
                    let part = in_flight.swap_remove(usize::from(*pick) % in_flight.len());
                    let outcome = match outcome % 4 {
                        0 => AttemptOutcome::Answered,
                        1 => AttemptOutcome::NotRun,
                        2 => AttemptOutcome::Unsent,
                        _ => AttemptOutcome::Failed,
                    };
                    possible_runs[part] +=
                        u32::from(matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Failed));
                    fanout.on_attempt_end(part, outcome, now);
                }
                if let Decision::Refuse(_) = fanout.decision(now) {
                    assert!(
                        in_flight.is_empty() && possible_runs.iter().all(|runs| *runs == 0),
                        "refused although it may have run"
                    );
                }
            }
        });
}

/// Guards against hedges of all parts at once while none is answered, and against one before the first crash is noticed. If
/// the request itself crashes servers, each hedge crashes a second one of its shard.
#[test]
fn parts_are_hedged_one_at_a_time_until_one_is_answered() {
    let now = Instant::now();
    let mut fanout = Fanout::new(search(), now);
    assert_eq!(fanout.advance(now, first_untried).len(), 10);
    assert!(fanout.advance(now + 3 * HEDGE_AFTER - ms(1), first_untried).is_empty());
    let first = now + 3 * HEDGE_AFTER + ms(4);
    let hedges = fanout.advance(first, first_untried);
    assert_eq!(hedges.len(), 1);
    assert!(fanout.advance(first + ms(10), first_untried).is_empty());
    assert_eq!(fanout.advance(first + ms(31), first_untried).len(), 1);
    // An answer shows that the servers are to blame, so all other parts are hedged.
    answer(&mut fanout, [hedges[0].part], first + ms(32));
    assert_eq!(fanout.advance(first + ms(36), first_untried).len(), 8);
}

/// Guards against a request to a single server that waits for its first hedge as long as a search of which no shard
/// answers.
#[test]
fn a_request_to_one_server_is_hedged_at_once_when_it_is_slow() {
    let now = Instant::now();
    let mut fanout = Fanout::new(single(true), now);
    assert_eq!(fanout.advance(now, first_untried).len(), 1);
    assert_eq!(fanout.advance(now + HEDGE_AFTER, first_untried).len(), 1);
}

/// Guards against a trial that is sent to more than one server, and against parts that stay unsent after it is answered.
#[test]
fn other_parts_wait_for_the_answer_of_a_trial() {
    let now = Instant::now();
    let mut fanout = Fanout::new(trial_search(3), now);
    let trial = PartSend {
        part: 3,
        server: 0,
        cause: Cause::First,
    };
    assert_eq!(fanout.advance(now, first_untried), [trial]);
    assert!(fanout.advance(now + ms(40), first_untried).is_empty());
    answer(&mut fanout, [3], now + ms(50));
    assert_eq!(fanout.advance(now + ms(50), first_untried).len(), 9);
    answer(&mut fanout, (0..10).filter(|part| *part != 3), now + ms(70));
    assert_eq!(fanout.decision(now + ms(70)), Decision::Answer);
}

/// Guards against a trial that goes on after its server crashed, and against a trial that counts as run although no
/// server received it.
#[test]
fn a_trial_ends_with_its_server() {
    let now = Instant::now();
    let mut fanout = Fanout::new(trial_search(0), now);
    fanout.advance(now, first_untried);
    fanout.on_attempt_end(0, AttemptOutcome::Unsent, now + ms(1));
    let resend = fanout.advance(now + ms(1), first_untried);
    assert!(matches!(
        resend[..],
        [PartSend {
            part: 0,
            cause: Cause::Resend,
            ..
        }]
    ));
    fanout.on_attempt_end(0, AttemptOutcome::Crashed, now + ms(20));
    assert!(fanout.advance(now + ms(20), first_untried).is_empty());
    assert_eq!(fanout.decision(now + ms(20)), Decision::Fail(PartFailure::Failed));
    let mut unsent = Fanout::new(trial_search(0), now);
    assert!(unsent.advance(now, |_, _, _| ServerChoice::NoServer).is_empty());
    assert!(matches!(unsent.decision(now), Decision::Refuse(_)));
}

/// Guards against a request that crashed servers and is still sent to others after it was aborted.
#[test]
fn an_aborted_request_sends_nothing_more_and_has_run() {
    let now = Instant::now();
    let mut fanout = Fanout::new(search(), now);
    fanout.advance(now, first_untried);
    for part in 0..2 {
        fanout.on_attempt_end(part, AttemptOutcome::Crashed, now + ms(10));
    }
    fanout.abort();
    assert!(fanout.advance(now + ms(10), first_untried).is_empty());
    assert_eq!(fanout.decision(now + ms(10)), Decision::Fail(PartFailure::Failed));
}

/// Guards against a part that is given up for lack of capacity while it only has to wait for the answer of another part.
#[test]
fn a_held_part_is_sent_again_once_it_may_be() {
    let now = Instant::now();
    let mut fanout = Fanout::new(search(), now);
    fanout.advance(now, first_untried);
    fanout.on_attempt_end(0, AttemptOutcome::Crashed, now + ms(50));
    assert!(fanout.awaits_answer() && !fanout.has_answer());
    let held = fanout.advance(now + ms(50), |_, _, _| ServerChoice::Hold);
    assert!(held.is_empty());
    answer(&mut fanout, 1..10, now + ms(60));
    let retries = fanout.advance(now + ms(60), first_untried);
    assert!(matches!(
        retries[..],
        [PartSend {
            part: 0,
            cause: Cause::Retry,
            ..
        }]
    ));
}
