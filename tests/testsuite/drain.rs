//! Planned stop: requests in flight are not aborted before the hard limit, and the process always exits.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use pimentoflow::process::drain::Action;
use pimentoflow::process::drain::Drain;
use pimentoflow::process::drain::Outcome;
use pimentoflow::process::drain::Phase;
use pimentoflow::process::drain::RequestPolicy;
use pimentoflow::process::drain::Settings;

fn settings() -> Settings {
    Settings {
        notice: Duration::from_secs(2),
        successor_wait: Duration::from_secs(4),
        hard_limit: Duration::from_secs(20),
    }
}

fn exit_outcome(actions: &[Action]) -> Option<Outcome> {
    actions.iter().find_map(|action| match action {
        Action::Exit(outcome) => Some(*outcome),
        _ => None,
    })
}

/// Guards against an exit that aborts requests before the hard limit, a stop that never ends, a second exit, and a
/// missing or repeated go-away, for arbitrary orders of events.
#[test]
fn stop_ends_without_cutting_requests_early() {
    property_check::check()
        .with_iterations(5_000)
        .with_type::<Vec<(u8, u16)>>()
        .for_each(|steps| {
            let start = Instant::now();
            let mut now = start;
            let mut drain = Drain::new(settings());
            let mut actions = Vec::new();
            let mut in_flight = 0_usize;
            let mut connections = 0_usize;
            for _ in 0..3 {
                drain.on_work_started();
                in_flight += 1;
            }
            drain.on_stop(IndexSet::from(["b".into()]), now, &mut actions);
            for (event, gap) in steps {
                now += Duration::from_millis(u64::from(gap % 1500));
                match event % 6 {
                    0 if drain.request_policy() != RequestPolicy::Refuse => {
                        drain.on_work_started();
                        in_flight += 1;
                    }
                    1 if in_flight > 0 => {
                        in_flight -= 1;
                        drain.on_work_finished(now, &mut actions);
                    }
                    2 => {
                        drain.on_connection_opened();
                        connections += 1;
                    }
                    3 if connections > 0 => {
                        connections -= 1;
                        drain.on_connection_closed(now, &mut actions);
                    }
                    4 => drain.on_successor_ready("b", now, &mut actions),
                    5 => drain.on_stop(IndexSet::new(), now, &mut actions),
                    _ => drain.on_tick(now, &mut actions),
                }
                match exit_outcome(&actions) {
                    Some(Outcome::Clean) => assert_eq!(in_flight, 0, "a clean exit aborted requests"),
                    Some(Outcome::HardLimit { cut }) => {
                        assert!(
                            now >= start + settings().hard_limit,
                            "requests were aborted before the hard limit"
                        );
                        assert_eq!(cut, in_flight);
                    }
                    None => {}
                }
                if exit_outcome(&actions).is_some() {
                    break;
                }
            }
            while let Some(at) = drain.next_wakeup() {
                assert!(
                    at <= start + settings().hard_limit,
                    "the next wakeup is after the hard limit"
                );
                now = now.max(at);
                drain.on_tick(now, &mut actions);
            }
            let exits = actions.iter().filter(|action| matches!(action, Action::Exit(_)));
            assert_eq!(exits.count(), 1);
            let go_aways = actions
                .iter()
                .filter(|action| matches!(action, Action::SendGoAway { .. }));
            assert_eq!(go_aways.count(), 1);
            assert!(matches!(drain.phase(), Phase::Ended(_)));
        });
}

/// Guards against a leaf that refuses work before its successor has opened its connections, and against one that waits
/// indefinitely for a successor that never confirms.
#[test]
fn new_work_ends_after_successor_is_ready() {
    let now = Instant::now();
    let mut actions = Vec::new();
    let mut drain = Drain::new(settings());
    drain.on_stop(IndexSet::from(["b".into()]), now, &mut actions);
    assert_eq!(actions[0], Action::SetNotReady);
    assert_eq!(drain.request_policy(), RequestPolicy::ServeAndClose);
    drain.on_tick(now + Duration::from_millis(2500), &mut actions);
    assert_eq!(
        drain.request_policy(),
        RequestPolicy::ServeAndClose,
        "the successor has not confirmed yet"
    );
    let mut unconfirmed = Drain::new(settings());
    unconfirmed.on_stop(IndexSet::from(["b".into()]), now, &mut Vec::new());
    unconfirmed.on_tick(now + Duration::from_secs(4), &mut Vec::new());
    assert_eq!(
        unconfirmed.request_policy(),
        RequestPolicy::Refuse,
        "the wait is bounded"
    );
    drain.on_successor_ready("b", now + Duration::from_millis(2600), &mut actions);
    assert_eq!(drain.request_policy(), RequestPolicy::Refuse);
}

/// Guards against idle keep-alive connections that delay the exit until the hard limit, and against a connection that
/// is opened during the stop and reset instead of served.
#[test]
fn open_connections_do_not_delay_exit() {
    let now = Instant::now();
    let mut actions = Vec::new();
    let mut drain = Drain::new(settings());
    drain.on_connection_opened();
    drain.on_work_started();
    drain.on_stop(IndexSet::new(), now, &mut actions);
    drain.on_connection_opened();
    assert_eq!(
        drain.request_policy(),
        RequestPolicy::ServeAndClose,
        "a late connection is still served"
    );
    drain.on_tick(now + Duration::from_secs(2), &mut actions);
    assert!(actions.contains(&Action::CloseIdle) && actions.contains(&Action::CloseListener));
    let last_reply = now + Duration::from_secs(5);
    drain.on_work_finished(last_reply, &mut actions);
    assert_eq!(exit_outcome(&actions), None, "the last reply may still be in transit");
    let wakeup = drain.next_wakeup().expect("the process waits for its open connections");
    drain.on_tick(wakeup, &mut actions);
    assert_eq!(exit_outcome(&actions), Some(Outcome::Clean));
    assert!(wakeup < last_reply + Duration::from_secs(1));
}
