//! Backend servers that announce a rate limit for all processes together, and the check that the processes keep it.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use platform_standin::Arrival;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::callers;
use crate::callers::Exchange;
use crate::callers::process_prefix;
use crate::check::Findings;
use crate::check::is_answered_by;
use crate::fleet::Backend;
use crate::fleet::Fleet;
use crate::fleet::Process;
use crate::notices::is_link_clear;

/// Probability that a server announces a limit in a step of the run, and that a limit ends.
const ANNOUNCE_PROBABILITY: f64 = 0.15;
const END_PROBABILITY: f64 = 0.03;

/// Number of servers that announce a limit from the start of the run.
const FIRST_LIMITS: usize = 6;

/// Length of the span over which requests are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Requests in a [`SPAN`] that a server may get beyond one and a half times its limit.
const ALLOWANCE: f64 = 5.0;

/// Grace period after a server announced a limit, and after a process relayed it.
const ANNOUNCED_GRACE: Duration = Duration::from_secs(1);
const RELAYED_GRACE: Duration = Duration::from_millis(500);

/// Makes random backend servers announce limits.
pub struct LimitInjector {
    rng: SmallRng,
    is_started: bool,
}

impl LimitInjector {
    pub const fn new(rng: SmallRng) -> Self {
        Self { rng, is_started: false }
    }

    /// Makes random servers announce limits at the start of the run, and one now and then later. A limit does not
    /// change while it lasts, so that the check knows what applies.
    pub fn inject_next(&mut self, fleet: &mut Fleet) {
        let named = if self.is_started {
            usize::from(self.rng.random_bool(ANNOUNCE_PROBABILITY))
        } else {
            FIRST_LIMITS
        };
        self.is_started = true;
        for _ in 0..named {
            let ix = self.rng.random_range(0..fleet.backends.len());
            let rate = f64::from(self.rng.random_range(0..80_u32)) / 4.0;
            if fleet.backends[ix].server.rate_limit().is_none() {
                fleet.backends[ix].set_rate_limit(Some(rate));
            }
        }
        if self.rng.random_bool(END_PROBABILITY) {
            let ix = self.rng.random_range(0..fleet.backends.len());
            fleet.backends[ix].set_rate_limit(None);
        }
    }
}

/// Span of time in which a server announced one limit.
struct Period {
    rate: f64,
    from: Instant,
    to: Option<Instant>,
}

/// Checks that the processes which relayed a limit keep it together. `planted_fault` tests this check.
pub fn check(exchanges: &[Exchange], fleet: &Fleet, planted_fault: Option<&str>, findings: &mut Findings) {
    let by_id = callers::by_id(exchanges);
    for backend in &fleet.backends {
        let arrivals = backend.server.arrivals();
        for period in periods(backend) {
            let counted = counted_arrivals(backend, &arrivals, &period, fleet, &by_id);
            let (allowance, factor) = if planted_fault == Some("limit") {
                (0.0, 0.1)
            } else {
                (ALLOWANCE, 1.5)
            };
            let allowed = (period.rate * SPAN.as_secs_f64()).mul_add(factor, allowance);
            for start in &counted {
                let end = *start + SPAN;
                let received = counted.iter().filter(|at| (*start..end).contains(*at)).count();
                if received as f64 > allowed && is_link_clear(backend, *start, end) {
                    let name = &backend.server.id;
                    findings.add(
                        "limit",
                        &format!("{received} requests reached {name} in {SPAN:?}, limit {}", period.rate),
                    );
                    break;
                }
            }
        }
    }
}

fn periods(backend: &Backend) -> Vec<Period> {
    let changes = &backend.limit_changes;
    let named = changes.iter().enumerate().filter_map(|(ix, (from, rate))| {
        Some(Period {
            rate: (*rate)?,
            from: *from,
            to: changes.get(ix + 1).map(|(to, _)| *to),
        })
    });
    named.collect()
}

/// Returns the times of the arrivals in a period that come from processes which have relayed the limit since their last
/// disturbance.
fn counted_arrivals(
    backend: &Backend,
    arrivals: &[Arrival],
    period: &Period,
    fleet: &Fleet,
    exchanges: &IndexMap<&str, &Exchange>,
) -> Vec<Instant> {
    let mut counted = Vec::new();
    for (number, process) in fleet.processes.iter().enumerate() {
        let prefix = process_prefix(number) + "c";
        let of_process = arrivals.iter().filter(|arrival| arrival.id.starts_with(&prefix));
        let in_period = of_process.filter(|arrival| {
            let is_over = period.to.is_some_and(|to| arrival.received_at >= to);
            arrival.received_at >= period.from && !is_over
        });
        let in_period: Vec<&Arrival> = in_period.collect();
        let naming = in_period
            .iter()
            .filter(|arrival| arrival.rate_limit == Some(period.rate));
        let relayed: Vec<Instant> = naming
            .filter_map(|arrival| exchanges.get(arrival.id.as_str()))
            .filter(|exchange| is_answered_by(exchange, backend))
            .map(|exchange| exchange.ended)
            .collect();
        let must_obey = |at: Instant| {
            let from = last_disturbance(process, at).map_or(period.from, |disturbed| disturbed.max(period.from));
            let heard = relayed.iter().filter(|relayed| **relayed > from).min();
            at >= period.from + ANNOUNCED_GRACE && heard.is_some_and(|heard| at >= *heard + RELAYED_GRACE)
        };
        let times = in_period.iter().map(|arrival| arrival.received_at);
        counted.extend(times.filter(|at| must_obey(*at)));
    }
    counted.sort_unstable();
    counted
}

fn last_disturbance(process: &Process, at: Instant) -> Option<Instant> {
    process
        .disturbances
        .iter()
        .rfind(|disturbed| **disturbed <= at)
        .copied()
}
