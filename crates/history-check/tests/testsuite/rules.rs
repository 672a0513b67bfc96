//! Tests each rule on a history that violates only this rule.

use history_check::check::check;
use history_check::finding::Finding;
use history_check::history::EventKind;
use history_check::history::History;
use history_check::history::Outcome;
use history_check::history::Pause;
use history_check::history::Request;
use pimento_standin::searcher::KeyRange;
use pimentoflow::error::ErrorKind;
use pimentoflow::process::entry::api::SearchAnswer;

use crate::fixtures::COMPLETE;
use crate::fixtures::CUT;
use crate::fixtures::EXECUTED;
use crate::fixtures::LIMIT;
use crate::fixtures::MIDDLE;
use crate::fixtures::PARTIAL;
use crate::fixtures::hits_of;
use crate::fixtures::ms;
use crate::fixtures::not_run;
use crate::fixtures::started;
use crate::fixtures::valid_history;

fn answer_mut(history: &mut History, ix: usize) -> &mut SearchAnswer {
    match &mut history.operations[ix].outcome {
        Outcome::Found(_, answer) => answer,
        other => panic!("not an answer to a search: {other:?}"),
    }
}

fn query_of(history: &History, ix: usize) -> Box<str> {
    match &history.operations[ix].request {
        Request::Search { query, .. } => query.clone(),
        Request::Submission { .. } => panic!("not a search"),
    }
}

/// Modifies the valid history and returns the findings.
fn findings(change: impl FnOnce(&mut History)) -> Vec<Finding> {
    let mut history = valid_history();
    change(&mut history);
    check(&history)
}

/// Asserts that there are findings and that all of them match a pattern.
macro_rules! assert_only {
    ($findings:expr, $kind:pat) => {
        let findings = $findings;
        assert!(!findings.is_empty(), "no finding");
        assert!(findings.iter().all(|finding| matches!(finding, $kind)), "{findings:#?}");
    };
}

/// Guards against rules that report permitted behaviour.
#[test]
fn valid_history_has_no_findings() {
    assert_eq!(check(&valid_history()), Vec::new());
}

/// Guards against undetected hits of another snapshot.
#[test]
fn hits_come_from_the_stated_snapshot() {
    let mixed = findings(|history| {
        let other = hits_of(KeyRange::ALL, 2, &query_of(history, COMPLETE));
        answer_mut(history, COMPLETE).hits[3] = other[3].clone();
    });
    assert!(
        mixed
            .iter()
            .any(|finding| matches!(finding, Finding::OtherSnapshot { found: 2, .. }))
    );
    let unknown = findings(|history| {
        let query = query_of(history, COMPLETE);
        let answer = answer_mut(history, COMPLETE);
        answer.snapshot = 9;
        answer.hits = hits_of(KeyRange::ALL, 9, &query);
    });
    assert_only!(unknown, Finding::UnknownSnapshot { snapshot: 9, .. });
}

/// Guards against undetected partial answers that claim to be complete, and undetected absent hits of covered ranges.
#[test]
fn coverage_matches_the_hits() {
    let total = findings(|history| answer_mut(history, PARTIAL).coverage.total = 1.0);
    assert_only!(total, Finding::FalseCoverage { .. });
    let complete = findings(|history| answer_mut(history, PARTIAL).complete = true);
    assert_only!(complete, Finding::FalseCoverage { .. });
    let status = findings(|history| {
        if let Outcome::Found(status, _) = &mut history.operations[PARTIAL].outcome {
            *status = 200;
        }
    });
    assert_only!(status, Finding::FalseCoverage { .. });
    let outside = findings(|history| answer_mut(history, PARTIAL).coverage.missing[0].service = "other".into());
    assert!(
        outside
            .iter()
            .any(|finding| matches!(finding, Finding::FalseCoverage { .. }))
    );
    let twice = findings(|history| {
        let answer = answer_mut(history, PARTIAL);
        answer.coverage.missing.push(answer.coverage.missing[0].clone());
        answer.coverage.total = 0.0;
    });
    assert_only!(twice, Finding::FalseCoverage { .. });
    let lost = findings(|history| drop(answer_mut(history, COMPLETE).hits.remove(0)));
    assert_only!(lost, Finding::HitLost { .. });
    let hidden = findings(|history| {
        let all = hits_of(KeyRange::ALL, 1, &query_of(history, PARTIAL));
        let hidden = all
            .into_iter()
            .find(|hit| hit.key >= MIDDLE)
            .expect("a hit of the second shard");
        answer_mut(history, PARTIAL).hits.push(hidden);
    });
    assert_only!(hidden, Finding::HitInMissing { .. });
    // An answer may include hits of a truncated reply, but only those of its snapshot.
    let truncated = |snapshot| {
        findings(|history| {
            let hidden = hits_of(
                KeyRange {
                    start: MIDDLE,
                    end: 1 << 32,
                },
                snapshot,
                &query_of(history, PARTIAL),
            );
            let answer = answer_mut(history, PARTIAL);
            answer.coverage.missing[0].reason = "truncated".into();
            answer.hits.push(hidden[0].clone());
            answer.hits.sort_by(|a, b| b.score.total_cmp(&a.score));
            answer.hits.truncate(LIMIT);
        })
    };
    assert_eq!(truncated(1), Vec::new());
    assert!(!truncated(2).is_empty());
    let unlabelled = findings(|history| {
        let answer = answer_mut(history, PARTIAL);
        answer.coverage.missing.clear();
        answer.coverage.total = 1.0;
        answer.complete = true;
        if let Outcome::Found(status, _) = &mut history.operations[PARTIAL].outcome {
            *status = 200;
        }
    });
    assert!(
        unlabelled
            .iter()
            .any(|finding| matches!(finding, Finding::HitLost { .. }))
    );
}

/// Guards against undetected answers to another request, duplicate hits, and hits that no server returned.
#[test]
fn answers_belong_to_their_requests() {
    let foreign = findings(|history| answer_mut(history, COMPLETE).request_id = "r1".into());
    assert_only!(foreign, Finding::ForeignAnswer { .. });
    let swapped = findings(|history| {
        let hits = answer_mut(history, PARTIAL).hits.clone();
        answer_mut(history, COMPLETE).hits[0] = hits[0].clone();
    });
    assert!(
        swapped
            .iter()
            .any(|finding| matches!(finding, Finding::OtherRequest { .. }))
    );
    let invented = findings(|history| answer_mut(history, COMPLETE).hits[0].document = "none".into());
    assert!(
        invented
            .iter()
            .any(|finding| matches!(finding, Finding::InventedHit { .. }))
    );
    let twice = findings(|history| {
        let answer = answer_mut(history, COMPLETE);
        answer.hits.push(answer.hits[0].clone());
    });
    assert_only!(twice, Finding::Disorder { .. });
    let reply = findings(|history| {
        if let Outcome::Executed(answer) = &mut history.operations[EXECUTED].outcome {
            answer.body = r#"{"key": 8}"#.into();
        }
    });
    assert_only!(reply, Finding::ForeignAnswer { .. });
}

/// Guards against undetected searches and submissions that started although the answer was `not_run` or `bad_request`.
#[test]
fn not_run_requests_never_started() {
    let submission = findings(|history| history.servers[1].started.push(started("r3", 62)));
    assert_only!(submission, Finding::FalseNotRun { .. });
    let bad_request = findings(|history| {
        let mut outcome = not_run("r2");
        if let Outcome::Refused(_, error) = &mut outcome {
            error.kind = ErrorKind::BadRequest;
        }
        history.operations[EXECUTED].outcome = outcome;
    });
    assert_only!(bad_request, Finding::FalseBadRequest { .. });
    let search = findings(|history| {
        let query = query_of(history, PARTIAL);
        history.operations[PARTIAL].outcome = not_run("r1");
        let mut start = started("r1", 62);
        start.kind = pimento_standin::searcher::record::RequestKind::Search;
        start.body = query;
        history.servers[0].started.push(start);
    });
    assert_only!(search, Finding::FalseNotRun { .. });
}

/// Guards against undetected submissions that start twice, on one server or on two, that start with another key, or
/// that never start although they were answered as executed.
#[test]
fn submissions_start_at_most_once() {
    let same = findings(|history| history.servers[0].started.push(started("r2", 65)));
    assert_only!(same, Finding::StartedAgain { times: 2, .. });
    let other = findings(|history| history.servers[1].started.push(started("r2", 65)));
    assert_only!(other, Finding::StartedAgain { times: 2, .. });
    let never = findings(|history| history.servers[0].started.clear());
    assert_only!(never, Finding::FalseExecuted { .. });
    let key = findings(|history| history.servers[0].started[0].key = Some(8));
    assert_only!(key, Finding::OtherKey { .. });
}

/// Guards against undetected new work on a server more than 3 s after its first drain signal, and against findings due
/// to a pause of the machine.
#[test]
fn draining_servers_get_no_new_work() {
    let late = |history: &mut History| history.servers[1].drain_refusals.push(ms(3200));
    assert_only!(findings(late), Finding::WorkWhileLeaving { .. });
    let started = findings(|history| history.servers[1].started.push(started("r9", 3200)));
    assert_only!(started, Finding::WorkWhileLeaving { .. });
    let paused = findings(|history| {
        late(history);
        history.pauses.push(Pause {
            start: ms(200),
            length: ms(150),
        });
    });
    assert_eq!(paused, Vec::new());
    let returned = findings(|history| {
        late(history);
        let at = ms(3150);
        let kind = EventKind::Return("b".into());
        history.events.push(history_check::history::Event { at, kind });
    });
    assert_eq!(returned, Vec::new());
}

/// Guards against undetected connections lost without a kill, planned stops that abort work, and failed searches before
/// the first fault.
#[test]
fn planned_stops_lose_no_work() {
    let cut = findings(|history| history.operations[CUT].entry = "e2".into());
    assert_only!(cut, Finding::Cut { .. });
    let early = findings(|history| history.operations[CUT].end = ms(71));
    assert_only!(early, Finding::Cut { .. });
    let hard = findings(|history| history.programs[2].clean_stop = Some(false));
    assert_only!(hard, Finding::StopCutWork { .. });
    let lost = findings(|history| history.events.retain(|event| event.at > ms(70)));
    assert_only!(lost, Finding::LostWithoutFault { .. });
}

/// Guards against undetected revisions that decrease in a program or between answers, or that never take effect.
#[test]
fn revisions_never_decrease() {
    let fell = findings(|history| history.programs[0].revisions.push((ms(60), 1)));
    assert_only!(fell, Finding::RevisionFell { from: 2, to: 1, .. });
    let answers = findings(|history| answer_mut(history, COMPLETE).revision = 3);
    assert_only!(answers, Finding::RevisionFell { from: 3, to: 2, .. });
    let missing = findings(|history| history.programs[1].revisions.truncate(1));
    assert_only!(missing, Finding::RevisionMissing { found: 1, .. });
}

/// Guards against undetected connections above the cap, whether open or refused.
#[test]
fn connections_stay_within_the_cap() {
    let above = findings(|history| history.servers[0].peak_open = 31);
    assert_only!(above, Finding::OverCap { .. });
    let refused = findings(|history| history.servers[0].cap_refusals = 1);
    assert_only!(refused, Finding::OverCap { .. });
}
