//! A request that crashes the backend servers that run it, servers that crash without it, and the check that few servers
//! run the request after its first crashes.

use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use platform_standin::Crash;
use platform_standin::values;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::callers;
use crate::callers::Exchange;
use crate::callers::Kind;
use crate::callers::process_prefix;
use crate::check::Findings;
use crate::fleet::Fleet;

/// Probability that servers crash without the request in a step of the run, and the largest number of them.
const CRASH_PROBABILITY: f64 = 0.1;
const MAX_SERVERS: usize = 6;

/// Bounds of the time until a crashed server is back, in milliseconds.
const MIN_RESTART_MS: u64 = 300;
const MAX_RESTART_MS: u64 = 3000;

/// Upper bound of the time from the start of the request to the crash, in milliseconds.
const MAX_RUN_MS: u64 = 60;

/// Number of crashes after which the request must be stopped.
const FIRST_CRASHES: usize = 3;

/// Time after the last of [`FIRST_CRASHES`], or after a disturbance of a process, from which its requests count.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Maximum number of counted requests that servers run.
const MAX_LATER_RUNS: usize = 3;

/// Request that crashes servers.
#[derive(Debug, Clone, Copy)]
pub struct CrashingRequest {
    pub kind: Kind,
}

impl CrashingRequest {
    pub const fn target(self) -> &'static str {
        match self.kind {
            Kind::All => "/all/crash",
            Kind::Safe => "/safe/crash",
            Kind::Unsafe => "/unsafe/crash",
        }
    }
}

/// Makes servers crash at random.
pub struct CrashInjector {
    rng: SmallRng,
    request: CrashingRequest,
}

impl CrashInjector {
    /// Makes a request of a random kind crash the servers that run it.
    pub fn start(fleet: &Fleet, mut rng: SmallRng) -> Self {
        let kind = [Kind::All, Kind::Safe, Kind::Unsafe][rng.random_range(0..3)];
        let request = CrashingRequest { kind };
        for backend in &fleet.backends {
            backend.server.set_crash(Some(Crash {
                target: request.target().into(),
                after: Duration::from_millis(rng.random_range(1..MAX_RUN_MS)),
                restart: Some(random_restart(&mut rng)),
            }));
        }
        Self { rng, request }
    }

    pub const fn request(&self) -> CrashingRequest {
        self.request
    }

    /// Makes some servers crash at once, with the probability [`CRASH_PROBABILITY`].
    pub fn inject_next(&mut self, fleet: &Fleet) {
        if !self.rng.random_bool(CRASH_PROBABILITY) {
            return;
        }
        for _ in 0..self.rng.random_range(1..=MAX_SERVERS) {
            let ix = self.rng.random_range(0..fleet.backends.len());
            let restart = random_restart(&mut self.rng);
            fleet.backends[ix].server.crash(Some(restart));
        }
    }
}

fn random_restart(rng: &mut SmallRng) -> Duration {
    Duration::from_millis(rng.random_range(MIN_RESTART_MS..MAX_RESTART_MS))
}

/// Ends the crashes that the request causes, and returns the time before which it still crashed all servers.
pub fn clear(fleet: &Fleet) -> Instant {
    let before = Instant::now();
    for backend in &fleet.backends {
        backend.server.set_crash(None);
    }
    before
}

/// Checks that few requests were run by servers from [`SETTLE_TIME`] after the first crashes until they were `cleared`, from
/// processes that were not disturbed. `planted_fault` tests this check.
pub fn check(
    exchanges: &[Exchange],
    fleet: &Fleet,
    request: CrashingRequest,
    cleared: Instant,
    planted_fault: Option<&str>,
    findings: &mut Findings,
) {
    let mut crashes: Vec<Instant> = fleet
        .backends
        .iter()
        .flat_map(|backend| backend.server.crashes())
        .collect();
    crashes.sort_unstable();
    let Some(last) = crashes.get(FIRST_CRASHES - 1) else {
        return;
    };
    let target = if planted_fault == Some("crash") {
        request.kind.target()
    } else {
        request.target()
    };
    let by_id = callers::by_id(exchanges);
    let runs = later_runs(fleet, target, *last + SETTLE_TIME..cleared, &by_id);
    findings.add_crashes(crashes.len(), runs.len());
    if runs.len() > MAX_LATER_RUNS {
        let text = format!("{target} was run after its first crashes: {runs:?}");
        findings.add("crash", &text);
    }
}

/// Returns the requests to `target` that servers ran in `period`, from processes that were not disturbed in
/// [`SETTLE_TIME`] before.
fn later_runs<'a>(
    fleet: &Fleet,
    target: &str,
    period: Range<Instant>,
    exchanges: &IndexMap<&'a str, &Exchange>,
) -> IndexSet<&'a str> {
    let mut runs = IndexSet::new();
    for backend in &fleet.backends {
        let executed = backend.server.executed();
        let executed: IndexSet<&str> = executed
            .iter()
            .filter_map(|request| request.header(values::REQUEST_ID))
            .collect();
        for arrival in backend.server.arrivals() {
            let Some((id, exchange)) = exchanges.get_key_value(arrival.id.as_str()) else {
                continue;
            };
            let is_later = period.contains(&arrival.received_at) && executed.contains(id);
            if exchange.target == target && is_later && !is_disturbed(fleet, id, arrival.received_at) {
                runs.insert(*id);
            }
        }
    }
    runs
}

/// Returns whether the process that a request was sent to was disturbed in [`SETTLE_TIME`] before `at`.
fn is_disturbed(fleet: &Fleet, id: &str, at: Instant) -> bool {
    let processes = fleet.processes.iter().enumerate();
    let mut processes = processes.filter(|(ix, _)| id.starts_with(&(process_prefix(*ix) + "c")));
    processes.any(|(_, process)| {
        let mut disturbances = process.disturbances.iter();
        disturbances.any(|disturbed| *disturbed <= at && at < *disturbed + SETTLE_TIME)
    })
}
