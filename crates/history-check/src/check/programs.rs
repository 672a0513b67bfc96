//! Rules for programs: planned stops lose no work, and revisions never decrease and reach every program.

use indexmap::IndexMap;

use crate::finding::Finding;
use crate::history::EventKind;
use crate::history::History;
use crate::history::Operation;
use crate::history::Outcome;
use crate::history::Request;

pub(super) fn check(history: &History, findings: &mut Vec<Finding>) {
    check_lost_connections(history, findings);
    check_fault_free_searches(history, findings);
    check_answer_revisions(history, findings);
    for (name, program) in &history.programs {
        if program.clean_stop == Some(false) {
            findings.push(Finding::StopCutWork { program: name.clone() });
        }
        for pair in program.revisions.windows(2) {
            check_revision_order(name, pair[0].1, pair[1].1, findings);
        }
        let found = program.revisions.last().map_or(0, |&(_, revision)| revision);
        if program.alive && found != history.accepted_revision {
            findings.push(Finding::RevisionMissing {
                program: name.clone(),
                found,
                accepted: history.accepted_revision,
            });
        }
    }
}

fn check_revision_order(program: &str, from: u64, to: u64, findings: &mut Vec<Finding>) {
    if to < from {
        findings.push(Finding::RevisionFell {
            program: program.into(),
            from,
            to,
        });
    }
}

/// Checks that a connection is lost only when its entry is killed.
fn check_lost_connections(history: &History, findings: &mut Vec<Finding>) {
    for operation in &history.operations {
        let Outcome::Cut(cause) = &operation.outcome else {
            continue;
        };
        let killed = history.events.iter().any(|event| {
            let is_kill = matches!(&event.kind, EventKind::Kill(name) if *name == operation.entry);
            is_kill && event.at <= operation.end
        });
        if !killed {
            findings.push(Finding::Cut {
                request: operation.request_id.clone(),
                entry: operation.entry.clone(),
                cause: cause.clone(),
            });
        }
    }
}

/// Checks that every search that ends before the first fault gets a complete answer. Until then there are only planned
/// stops and changes.
fn check_fault_free_searches(history: &History, findings: &mut Vec<Finding>) {
    let mut events = history.events.iter();
    let first = events.find(|event| event.kind.is_disruptive());
    let fault_free = |operation: &&Operation| first.is_none_or(|event| operation.end < event.at);
    for operation in history.operations.iter().filter(fault_free) {
        let is_search = matches!(operation.request, Request::Search { .. });
        let complete = matches!(&operation.outcome, Outcome::Found(_, answer) if answer.complete);
        if is_search && !complete {
            let request = operation.request_id.clone();
            findings.push(Finding::LostWithoutFault { request });
        }
    }
}

/// Checks that no answer uses a lower revision than an answer that the same entry gave before the request was sent.
fn check_answer_revisions(history: &History, findings: &mut Vec<Finding>) {
    let mut by_entry: IndexMap<&str, Vec<(&Operation, u64)>> = IndexMap::new();
    for operation in &history.operations {
        if let Outcome::Found(_, answer) = &operation.outcome {
            let answers = by_entry.entry(&operation.entry).or_default();
            answers.push((operation, answer.revision));
        }
    }
    for (entry, mut answers) in by_entry {
        answers.sort_by_key(|(operation, _)| operation.start);
        let mut ended: Vec<(std::time::Duration, u64)> = answers
            .iter()
            .map(|(operation, revision)| (operation.end, *revision))
            .collect();
        ended.sort_unstable();
        let mut ended = ended.into_iter().peekable();
        let mut highest = 0;
        for (operation, revision) in answers {
            while let Some((_, earlier)) = ended.next_if(|(end, _)| *end < operation.start) {
                highest = highest.max(earlier);
            }
            check_revision_order(entry, highest, revision, findings);
        }
    }
}
