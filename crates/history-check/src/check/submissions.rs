//! Rules for submissions: each runs at most once, and the outcomes `not_run` and `executed` match the requests that the
//! backend servers started. The rule for `not_run` also covers searches.

use indexmap::IndexMap;
use pimento_standin::searcher::record::RequestKind;
use pimento_standin::searcher::record::StartedRequest;
use pimentoflow::error::ErrorKind;

use crate::finding::Finding;
use crate::history::History;
use crate::history::Operation;
use crate::history::Outcome;
use crate::history::Request;

/// Start of a request on a backend server.
struct Start<'a> {
    server: &'a str,
    started: &'a StartedRequest,
}

/// Starts of requests by query or body. Each search has a unique query and each ticket a unique body.
struct Starts<'a> {
    searches: IndexMap<&'a str, Vec<Start<'a>>>,
    submissions: IndexMap<&'a str, Vec<Start<'a>>>,
}

pub(super) fn check(history: &History, findings: &mut Vec<Finding>) {
    let starts = Starts::of(history);
    for (body, starts) in &starts.submissions {
        if starts.len() > 1 {
            findings.push(Finding::StartedAgain {
                body: (*body).into(),
                times: starts.len(),
            });
        }
    }
    for operation in &history.operations {
        check_operation(operation, &starts, findings);
    }
}

impl<'a> Starts<'a> {
    fn of(history: &'a History) -> Self {
        let mut starts = Self {
            searches: IndexMap::new(),
            submissions: IndexMap::new(),
        };
        for (server, record) in &history.servers {
            for started in &record.started {
                let kind = match started.kind {
                    RequestKind::Search => &mut starts.searches,
                    RequestKind::Submit => &mut starts.submissions,
                };
                kind.entry(&*started.body).or_default().push(Start { server, started });
            }
        }
        starts
    }

    fn find(&self, request: &Request) -> &[Start<'a>] {
        let found = match request {
            Request::Search { query, .. } => self.searches.get(&**query),
            Request::Submission { body, .. } => self.submissions.get(&**body),
        };
        found.map_or(&[], Vec::as_slice)
    }
}

fn check_operation(operation: &Operation, starts: &Starts<'_>, findings: &mut Vec<Finding>) {
    let started = starts.find(&operation.request);
    let request_id = || operation.request_id.clone();
    for start in started {
        let server = start.server.into();
        let request = request_id();
        match refusal_kind(&operation.outcome) {
            Some(ErrorKind::NotRun) => findings.push(Finding::FalseNotRun { request, server }),
            Some(ErrorKind::BadRequest) => findings.push(Finding::FalseBadRequest { request, server }),
            _ => {}
        }
    }
    let Request::Submission { key, body, .. } = &operation.request else {
        return;
    };
    if matches!(operation.outcome, Outcome::Executed(_)) && started.is_empty() {
        findings.push(Finding::FalseExecuted { request: request_id() });
    }
    let keys = started.iter().filter_map(|start| start.started.key);
    findings.extend(keys.filter(|ran| ran != key).map(|ran| Finding::OtherKey {
        body: body.clone(),
        ran,
        requested: *key,
    }));
    if let Outcome::Executed(answer) = &operation.outcome {
        check_response(operation, *key, &answer.body, findings);
    }
}

/// Checks that the response belongs to the submission. The stand-in includes the key in its response.
fn check_response(operation: &Operation, key: u64, response: &str, findings: &mut Vec<Finding>) {
    let stated = serde_json::from_str::<serde_json::Value>(response).ok();
    let stated = stated.and_then(|value| value["key"].as_u64());
    // A replayed response has no body if the leaf no longer stores it, which `docs/design/at-most-once.md` allows.
    if stated.is_some_and(|stated| stated != key) || (stated.is_none() && !response.is_empty()) {
        findings.push(Finding::ForeignAnswer {
            request: operation.request_id.clone(),
            answered: response.into(),
        });
    }
}

fn refusal_kind(outcome: &Outcome) -> Option<ErrorKind> {
    match outcome {
        Outcome::Refused(_, error) => Some(error.kind),
        _ => None,
    }
}
