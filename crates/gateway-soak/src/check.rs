//! Checks of the invariants against what callers and backend servers recorded.

use indexmap::IndexMap;
use indexmap::IndexSet;
use platform_standin::ReceivedRequest;
use platform_standin::values;

use crate::callers::Answer;
use crate::callers::Exchange;
use crate::callers::Kind;
use crate::fleet::Backend;
use crate::fleet::Fleet;
use crate::fleet::MIN_PARTS;
use crate::fleet::SHARDS;
use crate::fleet::TOP_K;

/// Violated invariants and counts of a run.
#[derive(Debug, Default)]
pub struct Findings {
    violations: Vec<String>,
    requests: usize,
    /// Requests with a successful answer.
    served: usize,
    /// Requests that backend servers ran.
    executions: usize,
    /// Crashes that a request caused, and its runs after them that were counted.
    crashes: Option<(usize, usize)>,
}

impl Findings {
    /// Returns the findings of a run that failed before its checks.
    pub fn from_error(error: &eyre::Report) -> Self {
        let mut findings = Self::default();
        findings.add("run", &format!("{error:#}"));
        findings
    }

    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    pub const fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    pub fn summary(&self) -> String {
        let verdict = if self.is_clean() { "ok" } else { "FAILED" };
        let crashes = self
            .crashes
            .map(|(crashes, runs)| format!(", {crashes} crashes and {runs} runs after them"));
        format!(
            "{verdict}; {} requests, {} served, {} runs at servers{}",
            self.requests,
            self.served,
            self.executions,
            crashes.unwrap_or_default()
        )
    }

    /// Adds the counts of the crashes that a request caused.
    pub const fn add_crashes(&mut self, crashes: usize, runs: usize) {
        self.crashes = Some((crashes, runs));
    }

    /// Adds a violation of `check` with its description.
    pub fn add(&mut self, check: &str, text: &str) {
        self.violations.push(format!("{check}: {text}"));
    }
}

/// Returns all executions at backend servers by request id.
fn executions_by_id(fleet: &Fleet) -> IndexMap<String, Vec<ReceivedRequest>> {
    let mut executions_by_id: IndexMap<String, Vec<ReceivedRequest>> = IndexMap::new();
    for request in fleet.backends.iter().flat_map(|backend| backend.server.executed()) {
        let id = request.header(values::REQUEST_ID).unwrap_or_default().to_owned();
        executions_by_id.entry(id).or_default().push(request);
    }
    executions_by_id
}

/// Checks the invariants that hold at all times, also during faults.
pub fn check_invariants(exchanges: &[Exchange], fleet: &Fleet, findings: &mut Findings) {
    let executions_by_id = executions_by_id(fleet);
    findings.requests += exchanges.len();
    findings.executions = executions_by_id.values().map(Vec::len).sum();
    for exchange in exchanges {
        let executions = executions_by_id.get(&exchange.id).map_or(&[][..], Vec::as_slice);
        if exchange.kind == Kind::Unsafe && executions.len() > 1 {
            findings.add("twice", &format!("{} ran {} times", exchange.id, executions.len()));
        }
        for request in executions.iter().filter(|request| request.target != exchange.target) {
            findings.add("unasked", &format!("{} ran as {}", exchange.id, request.target));
        }
        let Some(answer) = &exchange.answer else { continue };
        let refused = matches!(answer.status, 408 | 421 | 429 | 503);
        if refused && exchange.kind == Kind::Unsafe && !executions.is_empty() {
            findings.add("denied", &format!("{} got {} and ran", exchange.id, answer.status));
        }
        if answer.status == 404 {
            findings.add("no route", &format!("{} got 404", exchange.id));
        }
        if (200..300).contains(&answer.status) {
            findings.served += 1;
            let fault = match exchange.kind {
                Kind::All => shards_violation(&exchange.id, answer, fleet),
                Kind::Safe | Kind::Unsafe => single_violation(&exchange.id, answer, fleet),
            };
            if let Some(fault) = fault {
                findings.add("mixed", &format!("{}: {fault}", exchange.id));
            }
        }
    }
    let sent_ids: IndexSet<&str> = exchanges.iter().map(|exchange| exchange.id.as_str()).collect();
    for id in executions_by_id.keys().filter(|id| !sent_ids.contains(id.as_str())) {
        findings.add("unasked", &format!("{id:?} was never sent by a caller"));
    }
}

/// Checks that every request is served, from the latest version of the configuration, after the faults have ended.
pub fn check_recovery(exchanges: &[Exchange], fleet: &Fleet, findings: &mut Findings) {
    let set = if fleet.version % 2 == 1 { "i-a" } else { "i-b" };
    for exchange in exchanges {
        match &exchange.answer {
            Some(answer) if answer.status == 200 => {
                let parts = part_names(answer);
                if exchange.kind == Kind::All && !parts.iter().all(|part| part.starts_with(set)) {
                    findings.add("old version", &format!("{} after the faults: {parts:?}", exchange.id));
                }
            }
            other => {
                let status = other.as_ref().map(|answer| answer.status);
                findings.add(
                    "not recovered",
                    &format!("{} after the faults: {status:?}", exchange.id),
                );
            }
        }
    }
}

/// Checks that planned stops answer the requests in flight and exit with code 0.
pub fn check_planned_stops(planned_stops: &[(Exchange, Option<i32>)], findings: &mut Findings) {
    for (exchange, code) in planned_stops {
        if exchange.answer.as_ref().is_none_or(|answer| answer.status != 200) {
            findings.add("lost", &format!("{} was in flight at a planned stop", exchange.id));
        }
        if *code != Some(0) {
            findings.add("stop", &format!("{} ended its process with {code:?}", exchange.id));
        }
    }
}

/// Returns the backend server of a signature `SERVER.REQUEST`, if the signature is for the request `id`.
fn backend<'a>(fleet: &'a Fleet, signature: &str, id: &str) -> Option<&'a Backend> {
    let (server, request) = signature.split_once('.')?;
    let named = fleet.backends.iter().find(|backend| backend.server.id == server);
    named.filter(|_| request == id)
}

/// Returns a description of the error in an answer of a single server.
fn single_violation(id: &str, answer: &Answer, fleet: &Fleet) -> Option<String> {
    let signature = answer.headers.get(values::SIGNATURE);
    let signature = signature.and_then(|value| value.to_str().ok());
    let Some(backend) = signature.and_then(|signature| backend(fleet, signature, id)) else {
        return Some(format!("signature {signature:?}"));
    };
    let is_complete = answer.body[..] == backend.server.body[..];
    (!is_complete).then(|| format!("{} bytes of {}", answer.body.len(), backend.server.body.len()))
}

/// Returns the signatures of the servers whose answers were merged.
pub fn part_names(answer: &Answer) -> Vec<String> {
    let header = answer.headers.get(values::PART_SIGNATURES);
    let text = header.and_then(|value| value.to_str().ok()).unwrap_or_default();
    text.split(',').map(|part| part.trim().to_owned()).collect()
}

/// Returns whether a success was answered by the server, alone or with one of the parts.
pub fn is_answered_by(exchange: &Exchange, backend: &Backend) -> bool {
    let answer = exchange.answer.as_ref().filter(|answer| answer.status == 200);
    answer.is_some_and(|answer| {
        let signature = backend.server.signature(&exchange.id);
        let single = answer.headers.get(values::SIGNATURE);
        single.is_some_and(|single| single == signature.as_str()) || part_names(answer).contains(&signature)
    })
}

/// Returns a description of the error in an answer merged from all shards.
fn shards_violation(id: &str, answer: &Answer, fleet: &Fleet) -> Option<String> {
    let parts = part_names(answer);
    let mut services = IndexSet::new();
    let mut records: Vec<&[u8]> = Vec::new();
    for part in &parts {
        let Some(backend) = backend(fleet, part, id) else {
            return Some(format!("part {part}"));
        };
        services.insert(backend.service.as_str());
        records.extend(backend.server.body.chunks_exact(16));
    }
    let sets: IndexSet<char> = services.iter().filter_map(|service| service.chars().next()).collect();
    let missing = answer.headers.get(values::MISSING_PARTS);
    let missing: usize = missing
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    if services.len() != parts.len() || sets.len() != 1 || parts.len() + missing != SHARDS || parts.len() < MIN_PARTS {
        return Some(format!("parts {parts:?}, {missing} missing"));
    }
    records.sort_unstable();
    records.reverse();
    records.truncate(TOP_K);
    (answer.body[..] != records.concat()[..]).then(|| "records are not the greatest ones of the parts".into())
}

/// Falsifies one recorded request to prove that the check of an invariant detects the fault.
pub fn plant_fault(planted_fault: Option<&str>, exchanges: &mut [Exchange], fleet: &Fleet) {
    let executions_by_id = executions_by_id(fleet);
    let Some(fault) = planted_fault else { return };
    for exchange in exchanges.iter_mut() {
        let executions = executions_by_id.get(&exchange.id).map_or(0, Vec::len);
        let served = exchange.answer.as_mut().filter(|answer| answer.status == 200);
        match (fault, exchange.kind, served) {
            ("twice", Kind::All, _) if executions > 1 => exchange.kind = Kind::Unsafe,
            ("denied", Kind::Unsafe, Some(answer)) => answer.status = 503,
            ("mixed", Kind::All, Some(answer)) => answer.body = answer.body.slice(1..),
            ("target", Kind::Safe, Some(_)) => exchange.target = Kind::Unsafe.target(),
            ("unasked", _, Some(_)) => exchange.id = format!("x{}", exchange.id),
            _ => continue,
        }
        return;
    }
}
