//! Lane of one searcher: invariants under arbitrary inputs, and one example for each rule.

use std::time::Duration;

use pimentoflow::connection::lane::work::Action;
use pimentoflow::connection::lane::work::Outcome;
use pimentoflow::connection::share::Share;
use pimentoflow::wire::proto::Class;
use pimentoflow::wire::proto::RefusalReason;

use crate::lane_model::Model;
use crate::lane_model::Step;

const ANSWER: Step = Step::Reply {
    pick: 0,
    ms: 20,
    kind: 0,
    draining: false,
};

/// Guards against input sequences after which a lane exceeds its share or its limit, loses or repeats a result,
/// dispatches an item twice, or dispatches after expiry, while draining or after a pause.
#[test]
fn arbitrary_inputs_keep_the_invariants() {
    let steps = bolero::produce::<Vec<[u8; 3]>>().with().len(0..600_usize);
    property_check::check()
        .with_iterations(2_000)
        .with_max_len(4_096)
        .with_generator(steps)
        .for_each(|steps| {
            let (slots, cap) = steps.first().map_or((0, 0), |bytes| (bytes[1], bytes[2]));
            let mut model = Model::new(1 + u32::from(slots % 4), 8 + u32::from(cap % 30), 8);
            model.step(Step::Role {
                role: 1,
                handover: false,
            });
            for bytes in steps {
                model.step(Step::decode(*bytes));
            }
            model.end();
        });
}

/// Guards against a lane that stays below its capacity: a warm lane under load must use all slots.
#[test]
fn warm_owner_uses_all_slots() {
    let mut model = Model::warm(3, 64);
    for _ in 0..10 {
        model.offer(Class::Routine, 5_000, true);
    }
    assert_eq!(model.in_flight(), 3);
    model.step(ANSWER);
    assert_eq!(model.in_flight(), 3);
}

/// Guards against work that waits until its deadline although too little time remains to serve it.
#[test]
fn work_without_enough_time_is_refused_at_once() {
    let mut model = Model::warm(3, 64);
    let late = model.offer(Class::Urgent, 10, true);
    let refusal = model.refusal(late).expect("10 ms are below the service time of 20 ms");
    assert_eq!(refusal.reason, RefusalReason::Expired);
    assert!(!refusal.may_have_run);
}

/// Guards against a lane that refuses all work permanently after slow replies: without a new attempt no reply could
/// correct the estimate of the service time.
#[test]
fn stale_estimate_does_not_refuse_all_work() {
    let mut model = Model::warm(3, 64);
    for _ in 0..400 {
        model.offer(Class::Urgent, 5_000, true);
        model.step(Step::Reply {
            pick: 0,
            ms: 250,
            kind: 0,
            draining: false,
        });
    }
    let refused = model.offer(Class::Urgent, 200, true);
    assert!(model.refusal(refused).is_some(), "the estimate is above 200 ms");
    for _ in 0..10 {
        model.step(Step::Advance(200));
    }
    let sent = model.offer(Class::Urgent, 200, true);
    assert!(model.refusal(sent).is_none());
    assert_eq!(model.in_flight(), 1);
}

/// Guards against connections that remain above the share after it was lowered.
#[test]
fn lower_share_closes_connections() {
    let mut model = Model::warm(3, 64);
    let share = Share { holder: 2, remote: 1 };
    model.lane.on_limits(share, 0.1, model.now, &mut model.actions);
    let closed = model
        .actions
        .iter()
        .filter(|action| matches!(action, Action::Close { .. }));
    assert_eq!(closed.count(), 3, "5 connections were held, 2 may stay");
}

/// Guards against a backlog in which work waits until shortly before its deadline and is only then refused.
#[test]
fn backlog_beyond_half_the_deadline_is_refused_when_offered() {
    let mut model = Model::warm(3, 1_000);
    let ids: Vec<u64> = (0..100).map(|_| model.offer(Class::Routine, 400, true)).collect();
    let refused = ids.iter().filter_map(|id| model.refusal(*id));
    let refused: Vec<_> = refused.collect();
    assert!((60..80).contains(&refused.len()), "{} refused", refused.len());
    assert!(
        refused
            .iter()
            .all(|r| r.reason == RefusalReason::QueueFull && r.retry_after > Duration::ZERO)
    );
}

/// Guards against urgent work that is refused or delayed because of routine work.
#[test]
fn urgent_work_displaces_routine_work() {
    let mut model = Model::warm(3, 4);
    let routine: Vec<u64> = (0..7).map(|_| model.offer(Class::Routine, 5_000, true)).collect();
    let urgent = model.offer(Class::Urgent, 5_000, true);
    assert_eq!(model.outcome(urgent), None);
    let shed = model.refusal(routine[6]).expect("the last routine item made room");
    assert_eq!(shed.reason, RefusalReason::QueueFull);
    model.step(ANSWER);
    model.step(ANSWER);
    let before = routine[3..6].iter().all(|id| model.outcome(*id).is_none());
    assert!(before && model.in_flight() == 3);
}

/// Guards against queued work that waits at a searcher that is leaving instead of moving to another replica.
#[test]
fn draining_refuses_waiting_work_at_once() {
    let mut model = Model::warm(3, 64);
    let ids: Vec<u64> = (0..5).map(|_| model.offer(Class::Urgent, 1_000, true)).collect();
    model.step(Step::Draining);
    let refused = ids.iter().filter_map(|id| model.refusal(*id));
    let refused: Vec<_> = refused.collect();
    assert_eq!(refused.len(), 2);
    assert!(
        refused
            .iter()
            .all(|r| r.reason == RefusalReason::Draining && !r.may_have_run)
    );
    let new = model.offer(Class::Urgent, 1_000, true);
    assert_eq!(model.refusal(new).expect("no new work").reason, RefusalReason::Draining);
}

/// Guards against a second run of a non-idempotent request after its connection was lost, and against a refusal that
/// wrongly claims that it did not run.
#[test]
fn lost_connection_reports_whether_the_request_may_have_run() {
    for written in [true, false] {
        let mut model = Model::warm(3, 64);
        let id = model.offer(Class::Urgent, 1_000, false);
        let at = model.busy_position();
        model.step(Step::Closed { pick: at, written });
        let refusal = model.refusal(id).expect("the request is refused");
        assert_eq!(refusal.reason, RefusalReason::Unreachable);
        assert_eq!(refusal.may_have_run, written);
    }
}

/// Guards against a request that is sent, and refused by the server, while the request of a lost connection is still
/// running.
#[test]
fn slot_of_a_lost_connection_stays_in_use() {
    let mut model = Model::warm(3, 64);
    for _ in 0..4 {
        model.offer(Class::Urgent, 1_000, true);
    }
    let pick = model.busy_position();
    model.step(Step::Closed { pick, written: true });
    assert_eq!(model.in_flight(), 2);
    model.step(Step::Advance(40));
    assert_eq!(model.in_flight(), 3);
}

/// Guards against a cancellation that closes a connection or waits for one that carries work.
#[test]
fn cancellation_uses_the_control_connection() {
    let mut model = Model::warm(3, 64);
    let ids: Vec<u64> = (0..3).map(|_| model.offer(Class::Urgent, 1_000, true)).collect();
    let held = model.lane.state(model.now).held;
    model.step(Step::Cancel(ids[0] as u8));
    assert_eq!(
        model.refusal(ids[0]).expect("cancelled").reason,
        RefusalReason::Cancelled
    );
    assert_eq!(model.lane.counters().cancels, 1);
    model.step(Step::CancelReply(0));
    model.step(Step::Reply {
        pick: 0,
        ms: 1,
        kind: 3,
        draining: false,
    });
    assert_eq!(model.lane.state(model.now).held, held);
}

/// Guards against a request that the server keeps running after its deadline, and against a hung request that keeps its
/// connection and slot permanently.
#[test]
fn hung_request_is_cancelled_and_then_closed() {
    let mut model = Model::warm(3, 64);
    let id = model.offer(Class::Urgent, 100, false);
    model.step(Step::Advance(100));
    let refusal = model.refusal(id).expect("the deadline has passed");
    assert_eq!(refusal.reason, RefusalReason::Expired);
    assert!(refusal.may_have_run);
    assert_eq!(model.lane.counters().cancels, 1);
    model.step(Step::CancelReply(0));
    model.step(Step::Advance(250));
    assert_eq!(model.closing(), 0);
    model.step(Step::Advance(250));
    assert_eq!(model.closing(), 1);
}

/// Guards against a successor that accepts work from senders that could reach the owner.
#[test]
fn successor_serves_fallback_work_only() {
    let mut model = Model::new(3, 30, 64);
    model.step(Step::Role {
        role: 2,
        handover: false,
    });
    model.step(Step::Opened(0));
    let id = model.offer(Class::Urgent, 1_000, true);
    assert_eq!(model.refusal(id).expect("refused").reason, RefusalReason::NotOwner);
    model.step(Step::Offer {
        urgent: true,
        ms: 250,
        idempotent: true,
        unslotted: false,
        fallback: true,
    });
    assert_eq!(model.in_flight(), 1);
}

/// Guards against a lane that keeps sending to a server that refuses even a lone request.
#[test]
fn refusal_of_a_lone_request_stops_dispatch() {
    let mut model = Model::warm(3, 64);
    model.offer(Class::Urgent, 1_000, true);
    model.step(Step::Reply {
        pick: 0,
        ms: 100,
        kind: 5,
        draining: false,
    });
    model.offer(Class::Urgent, 1_000, true);
    assert_eq!(model.in_flight(), 0);
    model.step(Step::Advance(100));
    assert_eq!(model.in_flight(), 1);
}

/// Guards against use of all slots at once on a server that has just restarted.
#[test]
fn lost_connections_restart_slow_start() {
    let mut model = Model::warm(3, 64);
    model.close_idle();
    assert_eq!(model.lane.state(model.now).limit, 1);
}

/// Guards against a cancelled submission that is reported as unknown although the reply of the server would settle it.
#[test]
fn cancelled_submission_waits_for_the_reply() {
    let mut model = Model::warm(3, 64);
    let id = model.offer(Class::Urgent, 1_000, false);
    model.step(Step::Cancel(id as u8));
    assert_eq!(model.outcome(id), None);
    model.step(Step::Reply {
        pick: 0,
        ms: 1,
        kind: 7,
        draining: false,
    });
    let refusal = model.refusal(id).expect("the server cancelled it");
    assert!(!refusal.may_have_run);
}

/// Guards against dispatch on an outdated view after a pause, even when a reply arrives before the tick.
#[test]
fn pause_stops_dispatch_until_confirmed() {
    let mut model = Model::warm(3, 64);
    let ids: Vec<u64> = (0..5).map(|_| model.offer(Class::Urgent, 5_000, true)).collect();
    let short = model.offer(Class::Urgent, 500, true);
    model.step(Step::Pause);
    model.step(ANSWER);
    assert_eq!(model.in_flight(), 2);
    assert_eq!(model.refusal(short).expect("expired").reason, RefusalReason::Expired);
    model.step(Step::Confirm);
    assert_eq!(model.in_flight(), 3);
    assert_eq!(model.outcome(ids[0]), Some(Outcome::Answered));
}

/// Guards against a confirmation that was requested before the last pause and resumes dispatch on an outdated view.
#[test]
fn confirmation_from_before_a_pause_is_ignored() {
    let mut model = Model::warm(3, 64);
    model.offer(Class::Urgent, 5_000, true);
    model.step(Step::Pause);
    model.lane.on_views_confirmed(model.now, &mut model.actions);
    model.check();
    assert!(model.lane.is_suspended());
}

/// Guards against parts that wait for an unreachable searcher although another replica could serve them.
#[test]
fn unreachable_searcher_refuses_waiting_work_at_once() {
    let mut model = Model::new(3, 30, 64);
    model.step(Step::Role {
        role: 1,
        handover: false,
    });
    let waiting = model.offer(Class::Urgent, 1_000, true);
    assert_eq!(model.outcome(waiting), None);
    model.step(Step::OpenFailed { pick: 0, cap: false });
    assert_eq!(
        model.refusal(waiting).expect("refused").reason,
        RefusalReason::Unreachable
    );
    let later = model.offer(Class::Urgent, 1_000, true);
    assert_eq!(
        model.refusal(later).expect("refused").reason,
        RefusalReason::Unreachable
    );
}

/// Guards against a leaf that keeps work although the searcher is at its connection cap and other holders could serve
/// it.
#[test]
fn cap_reached_refuses_work_as_not_owner() {
    let mut model = Model::new(3, 30, 64);
    model.step(Step::Role {
        role: 1,
        handover: false,
    });
    model.step(Step::Closed {
        pick: 0,
        written: false,
    });
    let id = model.offer(Class::Urgent, 1_000, true);
    assert_eq!(model.refusal(id).expect("refused").reason, RefusalReason::NotOwner);
    assert_eq!(model.lane.counters().cap_refusals, 1);
}
