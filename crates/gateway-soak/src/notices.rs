//! Servers that say that they are leaving, or that they want no requests for a time, and the check that they get none.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use platform_standin::Arrival;
use platform_standin::Behaviour;
use platform_standin::ServerNotice;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::callers::Record;
use crate::callers::process_prefix;
use crate::check::Findings;
use crate::check::part_names;
use crate::fleet::Backend;
use crate::fleet::Fleet;
use crate::fleet::Process;

/// Share of the steps of a run in which a server says something of itself.
const SHARE: f64 = 0.3;

/// Time after a caller got an answer that tells of a leaving server, from which no new request may go there.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Time after a server said that it wants no requests, from which they count.
const HOLD_SLACK: Duration = Duration::from_millis(500);

/// Requests that may reach it after that.
const HOLD_ALLOWED: usize = 2;

pub struct Notices {
    rng: SmallRng,
}

impl Notices {
    pub const fn new(rng: SmallRng) -> Self {
        Self { rng }
    }

    /// Lets a server say something of itself, at times.
    pub fn next(&mut self, fleet: &Fleet) {
        if !self.rng.random_bool(SHARE) {
            return;
        }
        let backend = &fleet.backends[self.rng.random_range(0..fleet.backends.len())];
        if self.rng.random_bool(0.3) {
            backend.server.set_leaving(true);
        } else {
            let time = self.rng.random_range(0.6..2.5);
            backend.server.enqueue([Behaviour::RetryAfter(format!("{time:.2}"))]);
        }
    }
}

/// Ends what a server said of itself: a new incarnation takes the place of one that was leaving. Faults that are still to come
/// end too, since a server that got no requests has not met them.
pub fn end(fleet: &mut Fleet, ix: usize) {
    let backend = &mut fleet.backends[ix];
    backend.server.clear_queued();
    if backend.server.is_leaving() {
        backend.server.set_leaving(false);
        backend.restarts += 1;
    }
}

/// Checks that servers get no requests from a process that heard their word. `plant` damages what is checked.
pub fn check(records: &[Record], fleet: &Fleet, plant: Option<&str>, findings: &mut Findings) {
    let by_id: IndexMap<&str, &Record> = records.iter().map(|record| (record.id.as_str(), record)).collect();
    for backend in &fleet.backends {
        let visits = backend.server.arrivals();
        for (number, process) in fleet.processes.iter().enumerate() {
            let prefix = process_prefix(number) + "c";
            let own: Vec<&Arrival> = visits.iter().filter(|visit| visit.id.starts_with(&prefix)).collect();
            check_leaving(backend, process, &own, &by_id, plant == Some("leaving"), findings);
            check_hold(backend, process, &own, plant == Some("hold"), findings);
        }
    }
}

fn check_leaving(
    backend: &Backend,
    process: &Process,
    visits: &[&Arrival],
    records: &IndexMap<&str, &Record>,
    is_planted: bool,
    findings: &mut Findings,
) {
    let names = |record: &Record| {
        let answer = record.answer.as_ref().filter(|answer| answer.status == 200);
        answer.is_some_and(|answer| {
            let signature = backend.server.signature(&record.id);
            let single = answer.headers.get(platform_standin::values::SIGNATURE);
            single.is_some_and(|single| single == signature.as_str()) || part_names(answer).contains(&signature)
        })
    };
    let told = visits.iter().filter(|visit| visit.notice == ServerNotice::Leaving);
    let told = told.filter_map(|visit| records.get(visit.id.as_str()).copied());
    let Some(told) = told.filter(|record| names(record)).map(|record| record.ended).min() else {
        return;
    };
    let told = if is_planted { told - DRAIN_TIME * 2 } else { told };
    for visit in visits {
        let sent = records
            .get(visit.id.as_str())
            .map_or(visit.received_at, |record| record.sent);
        let is_excused = !is_planted && is_disturbed(process, told, visit.received_at);
        if sent > told + DRAIN_TIME && !is_excused {
            let late = sent - told;
            let name = &backend.server.id;
            findings.add("leaving", &format!("{} reached {name} after {late:?}", visit.id));
        }
    }
}

fn check_hold(backend: &Backend, process: &Process, visits: &[&Arrival], is_planted: bool, findings: &mut Findings) {
    for told in visits {
        let ServerNotice::RetryAfter(time) = told.notice else {
            continue;
        };
        let end = told.received_at + time;
        let is_clear = is_way_clear(backend, told.received_at, end) && !is_disturbed(process, told.received_at, end);
        let from = if is_planted {
            told.received_at - time
        } else {
            told.received_at + HOLD_SLACK
        };
        let allowed = if is_planted { 0 } else { HOLD_ALLOWED };
        let reached = visits
            .iter()
            .filter(|visit| from < visit.received_at && visit.received_at < end)
            .count();
        if is_clear && reached > allowed {
            let name = &process.name;
            findings.add(
                "hold",
                &format!("{reached} requests of {name} reached {} in {time:?}", backend.server.id),
            );
        }
    }
}

/// Tells whether a process was signalled or started again in a span. A pause counts with what comes after its end.
fn is_disturbed(process: &Process, from: Instant, to: Instant) -> bool {
    let before = process.disturbed.iter().rfind(|at| **at <= from);
    let is_near = before.is_some_and(|at| from - *at < Duration::from_secs(1));
    is_near || process.disturbed.iter().any(|at| from < *at && *at < to)
}

/// Tells whether the way between a server and all processes was clear in a span.
fn is_way_clear(backend: &Backend, from: Instant, to: Instant) -> bool {
    let before = backend.ways.iter().rfind(|(at, _)| *at <= from);
    let is_quiet = !backend.ways.iter().any(|(at, _)| from < *at && *at < to);
    before.is_none_or(|(_, is_clear)| *is_clear) && is_quiet
}
