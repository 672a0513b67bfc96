//! Randomized soak test: runs gateway processes, injects faults from outside, and checks what callers and backend
//! servers recorded. See `docs/design/gateway-soak.md`.

#![forbid(unsafe_code)]

mod callers;
mod check;
mod crashes;
mod faults;
mod fleet;
mod limits;
mod notices;
mod proxy;
mod restores;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use eyre::Result;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::callers::Callers;
use crate::check::Findings;
use crate::crashes::CrashInjector;
use crate::faults::FaultInjector;
use crate::fleet::Fleet;
use crate::fleet::READY_TIMEOUT;
use crate::limits::LimitInjector;
use crate::notices::NoticeInjector;
use crate::restores::RestoreInjector;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs gateway processes under faults and checks what callers and backend servers see.
        cmd gateway-soak {
            /// Gateway program to run (default target/debug/pimento-gateway).
            optional --program file: PathBuf
            /// First seed (default 1).
            optional --seed number: u64
            /// Number of seeds, which run one after the other (default 1).
            optional --seeds count: u64
            /// Duration of the faults for each seed, in seconds (default 12).
            optional --seconds count: u64
            /// Number of gateway processes (default 3).
            optional --gateways count: usize
            /// Directory for the logs; those of failed seeds are kept.
            optional --logs dir: PathBuf
            /// Makes a request crash the servers that run it, and servers crash without it. Their connections have no
            /// faults then.
            optional --crashes
            /// Plants a fault in the recorded data to test the checks: `twice`, `denied`, `mixed`, `target`, `unasked`,
            /// `leaving`, `hold`, `limit` or `crash`.
            optional --plant fault: String
        }
    }
}

/// Time in which the processes must be ready after all of them were killed: the shortest that any site of the platform
/// allows.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

fn main() -> Result<ExitCode> {
    let flags = flags::GatewaySoak::from_env_or_exit();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let program = flags
        .program
        .unwrap_or_else(|| PathBuf::from("target/debug/pimento-gateway"));
    let logs = flags.logs.unwrap_or_else(|| std::env::temp_dir().join("gateway-soak"));
    let first_seed = flags.seed.unwrap_or(1);
    let mut failed = Vec::new();
    for seed in first_seed..first_seed + flags.seeds.unwrap_or(1) {
        let dir = logs.join(seed.to_string());
        let settings = Settings {
            program: program.clone(),
            dir: dir.clone(),
            gateways: flags.gateways.unwrap_or(3),
            fault_duration: Duration::from_secs(flags.seconds.unwrap_or(12)),
            seed,
            crashes: flags.crashes,
            planted_fault: flags.plant.as_deref().map(Into::into),
        };
        let findings = runtime.block_on(run(&settings));
        let findings = findings.unwrap_or_else(|error| Findings::from_error(&error));
        println!("seed {seed}: {}", findings.summary());
        for finding in findings.violations() {
            println!("  {finding}");
        }
        if findings.is_clean() {
            std::fs::remove_dir_all(&dir)?;
        } else {
            println!("  logs of the processes: {}", dir.display());
            failed.push(seed);
        }
    }
    if failed.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    println!("failed seeds: {failed:?}");
    Ok(ExitCode::FAILURE)
}

/// Settings of a run with one seed.
struct Settings {
    program: PathBuf,
    dir: PathBuf,
    gateways: usize,
    fault_duration: Duration,
    seed: u64,
    crashes: bool,
    planted_fault: Option<Box<str>>,
}

async fn run(settings: &Settings) -> Result<Findings> {
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let mut fleet = Fleet::start(settings).await?;
    fleet.wait_ready(READY_TIMEOUT).await?;
    let crash_rng = SmallRng::seed_from_u64(settings.seed.rotate_left(16));
    let mut crash_injector = settings.crashes.then(|| CrashInjector::start(&fleet, crash_rng));
    let crashing = crash_injector.as_ref().map(CrashInjector::request);
    let callers = Callers::start(&fleet, crashing, &mut rng);
    let end = tokio::time::Instant::now() + settings.fault_duration;
    let mut fault_injector = FaultInjector::new(SmallRng::from_rng(&mut rng));
    // With separate generators, notices, limits and restores do not change the other faults of a seed.
    let mut notice_injector = NoticeInjector::new(SmallRng::seed_from_u64(!settings.seed));
    let mut limit_injector = LimitInjector::new(SmallRng::seed_from_u64(settings.seed.rotate_left(32)));
    let restore_rng = SmallRng::seed_from_u64(!settings.seed.rotate_left(32));
    let mut restore_injector = RestoreInjector::new(&fleet, restore_rng);
    while tokio::time::Instant::now() < end {
        fault_injector.inject_next(&mut fleet).await?;
        notice_injector.inject_next(&fleet);
        limit_injector.inject_next(&mut fleet);
        restore_injector.inject_next(&fleet);
        if let Some(injector) = &mut crash_injector {
            injector.inject_next(&fleet);
        }
    }
    let crashing = crashing.map(|request| (request, crashes::clear(&fleet)));
    restore_injector.finish(&mut fleet).await;
    FaultInjector::clear_all(&mut fleet).await?;
    fleet.wait_ready(READY_TIMEOUT).await?;
    let mut exchanges = callers.stop().await;
    let recovered = callers::probe_all(&fleet, "calm").await;
    fleet.restart_all().await?;
    fleet.wait_ready(RECOVERY_TIMEOUT).await?;
    let restarted = callers::probe_all(&fleet, "back").await;
    let stops = callers::stop_each(&mut fleet).await?;
    let mut findings = Findings::default();
    check::check_recovery(&recovered, &fleet, &mut findings);
    check::check_recovery(&restarted, &fleet, &mut findings);
    check::check_planned_stops(&stops, &mut findings);
    exchanges.extend(recovered);
    exchanges.extend(restarted);
    exchanges.extend(stops.into_iter().map(|(exchange, _)| exchange));
    check::plant_fault(settings.planted_fault.as_deref(), &mut exchanges, &fleet);
    check::check_invariants(&exchanges, &fleet, &mut findings);
    notices::check(&exchanges, &fleet, settings.planted_fault.as_deref(), &mut findings);
    if let Some((request, cleared)) = crashing {
        let planted_fault = settings.planted_fault.as_deref();
        crashes::check(&exchanges, &fleet, request, cleared, planted_fault, &mut findings);
    }
    limits::check(&exchanges, &fleet, settings.planted_fault.as_deref(), &mut findings);
    fleet.kill_all().await;
    Ok(findings)
}
