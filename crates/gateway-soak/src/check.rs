//! Checks of the promises, from what callers and backend servers saw.

use indexmap::IndexMap;
use indexmap::IndexSet;
use platform_standin::ReceivedRequest;
use platform_standin::values;

use crate::callers::Answer;
use crate::callers::Kind;
use crate::callers::Record;
use crate::fleet::BEST;
use crate::fleet::Backend;
use crate::fleet::Fleet;
use crate::fleet::LEAST;
use crate::fleet::SHARDS;

/// Broken promises, and the numbers of a run.
#[derive(Debug, Default)]
pub struct Findings {
    broken: Vec<String>,
    requests: usize,
    served: usize,
    ran: usize,
}

impl Findings {
    /// Returns the findings of a run that did not come to its checks.
    pub fn of_error(error: &eyre::Report) -> Self {
        let mut findings = Self::default();
        findings.add("run", &format!("{error:#}"));
        findings
    }

    pub fn all(&self) -> &[String] {
        &self.broken
    }

    pub const fn is_clean(&self) -> bool {
        self.broken.is_empty()
    }

    pub fn summary(&self) -> String {
        let verdict = if self.is_clean() { "ok" } else { "FAILED" };
        format!(
            "{verdict}; {} requests, {} served, {} runs at servers",
            self.requests, self.served, self.ran
        )
    }

    pub fn add(&mut self, promise: &str, text: &str) {
        self.broken.push(format!("{promise}: {text}"));
    }
}

/// Runs at backend servers by the identity of the request.
fn runs(fleet: &Fleet) -> IndexMap<String, Vec<ReceivedRequest>> {
    let mut runs: IndexMap<String, Vec<ReceivedRequest>> = IndexMap::new();
    for seen in fleet.backends.iter().flat_map(|backend| backend.server.executed()) {
        let id = seen.header(values::REQUEST_ID).unwrap_or_default().to_owned();
        runs.entry(id).or_default().push(seen);
    }
    runs
}

/// Checks what holds at all times.
pub fn promises(records: &[Record], fleet: &Fleet, findings: &mut Findings) {
    let runs = runs(fleet);
    findings.requests += records.len();
    findings.ran = runs.values().map(Vec::len).sum();
    for record in records {
        let ran = runs.get(&record.id).map_or(&[][..], Vec::as_slice);
        if record.kind == Kind::Unsafe && ran.len() > 1 {
            findings.add("twice", &format!("{} ran {} times", record.id, ran.len()));
        }
        for seen in ran.iter().filter(|seen| seen.target != record.kind.path()) {
            findings.add("unasked", &format!("{} ran as {}", record.id, seen.target));
        }
        let Some(answer) = &record.answer else { continue };
        let refused = matches!(answer.status, 408 | 421 | 429 | 503);
        if refused && record.kind == Kind::Unsafe && !ran.is_empty() {
            findings.add("denied", &format!("{} got {} and ran", record.id, answer.status));
        }
        if answer.status == 404 {
            findings.add("no route", &format!("{} got 404", record.id));
        }
        if (200..300).contains(&answer.status) {
            findings.served += 1;
            let fault = match record.kind {
                Kind::All => shards_fault(&record.id, answer, fleet),
                Kind::Safe | Kind::Unsafe => single_fault(&record.id, answer, fleet),
            };
            if let Some(fault) = fault {
                findings.add("mixed", &format!("{}: {fault}", record.id));
            }
        }
    }
    let asked: IndexSet<&str> = records.iter().map(|record| record.id.as_str()).collect();
    for id in runs.keys().filter(|id| !asked.contains(id.as_str())) {
        findings.add("unasked", &format!("{id:?} was never asked"));
    }
}

/// Checks that everything is served after the faults have ended.
pub fn calm(records: &[Record], fleet: &Fleet, findings: &mut Findings) {
    let set = if fleet.version % 2 == 1 { "i-a" } else { "i-b" };
    for record in records {
        match &record.answer {
            Some(answer) if answer.status == 200 => {
                let parts = part_names(answer);
                if record.kind == Kind::All && !parts.iter().all(|part| part.starts_with(set)) {
                    findings.add("old version", &format!("{} after the faults: {parts:?}", record.id));
                }
            }
            other => {
                let status = other.as_ref().map(|answer| answer.status);
                findings.add("not recovered", &format!("{} after the faults: {status:?}", record.id));
            }
        }
    }
}

/// Checks that planned stops answer what was in flight and end cleanly.
pub fn stops(stops: &[(Record, Option<i32>)], findings: &mut Findings) {
    for (record, code) in stops {
        if record.answer.as_ref().is_none_or(|answer| answer.status != 200) {
            findings.add("lost", &format!("{} was in flight at a planned stop", record.id));
        }
        if *code != Some(0) {
            findings.add("stop", &format!("{} ended its process with {code:?}", record.id));
        }
    }
}

fn backend<'a>(fleet: &'a Fleet, signature: &str, id: &str) -> Option<&'a Backend> {
    let (server, request) = signature.split_once('.')?;
    let named = fleet.backends.iter().find(|backend| backend.server.id == server);
    named.filter(|_| request == id)
}

fn single_fault(id: &str, answer: &Answer, fleet: &Fleet) -> Option<String> {
    let signature = answer.headers.get(values::SIGNATURE);
    let signature = signature.and_then(|value| value.to_str().ok());
    let Some(backend) = signature.and_then(|signature| backend(fleet, signature, id)) else {
        return Some(format!("signature {signature:?}"));
    };
    let whole = answer.body[..] == backend.server.body[..];
    (!whole).then(|| format!("{} bytes of {}", answer.body.len(), backend.server.body.len()))
}

pub fn part_names(answer: &Answer) -> Vec<String> {
    let header = answer.headers.get(values::PART_SIGNATURES);
    let text = header.and_then(|value| value.to_str().ok()).unwrap_or_default();
    text.split(',').map(|part| part.trim().to_owned()).collect()
}

fn shards_fault(id: &str, answer: &Answer, fleet: &Fleet) -> Option<String> {
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
    if services.len() != parts.len() || sets.len() != 1 || parts.len() + missing != SHARDS || parts.len() < LEAST {
        return Some(format!("parts {parts:?}, {missing} missing"));
    }
    records.sort_unstable();
    records.reverse();
    records.truncate(BEST);
    (answer.body[..] != records.concat()[..]).then(|| "records are not the greatest".into())
}

/// Damages the records on purpose, to show that the check of a promise finds it.
pub fn plant(fault: Option<&str>, records: &mut [Record], fleet: &Fleet) {
    let runs = runs(fleet);
    let Some(fault) = fault else { return };
    for record in records.iter_mut() {
        let ran = runs.get(&record.id).map_or(0, Vec::len);
        let served = record.answer.as_mut().filter(|answer| answer.status == 200);
        match (fault, record.kind, served) {
            ("twice", Kind::All, _) if ran > 1 => record.kind = Kind::Unsafe,
            ("denied", Kind::Unsafe, Some(answer)) => answer.status = 503,
            ("mixed", Kind::All, Some(answer)) => answer.body = answer.body.slice(1..),
            ("target", Kind::Safe, Some(_)) => record.kind = Kind::Unsafe,
            ("unasked", _, Some(_)) => record.id = format!("x{}", record.id),
            _ => continue,
        }
        return;
    }
}
