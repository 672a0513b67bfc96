//! Runs a complete local deployment with concurrent callers and injects faults in an order given by a seed.
//!
//! The number of completed operations triggers the actions of the schedule, and all waits are for events. The verdict
//! thus does not depend on the speed of the machine. The interleaving of the tasks does.

mod callers;
mod executor;
mod recorder;
mod schedule;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use local_deployment::deployment::Deployment;
use local_deployment::deployment::Options as DeploymentOptions;
use pimento_standin::searcher::KeyRange;
use slog::Logger;

use crate::driver::callers::Callers;
use crate::driver::executor::Executor;
use crate::driver::recorder::Recorder;
use crate::driver::schedule::Schedule;
use crate::history::Corpus;
use crate::history::History;
use crate::history::Server;

/// Maximum wait for the last revision to be in effect in every program. After it, the checker reports the programs that
/// lack the revision.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Directory of the document. It must be `samples/demo`, whose names the split of a shard relies on.
    pub document: PathBuf,
    /// Seed of the schedule and of the callers.
    pub seed: u64,
    /// Number of tasks that search.
    pub search_tasks: usize,
    /// Number of tasks that submit.
    pub submit_tasks: usize,
    /// Number of completed operations between two actions.
    pub spacing: u64,
    /// Logger of all programs.
    pub log: Logger,
}

impl Options {
    /// Returns the options of the runs in CI.
    #[must_use]
    pub fn new(document: PathBuf, seed: u64) -> Self {
        Self {
            document,
            seed,
            search_tasks: 4,
            submit_tasks: 3,
            spacing: 12,
            log: pimentoflow::process::log::discard(),
        }
    }
}

/// Runs the schedule of `options.seed` and returns its history.
///
/// # Errors
///
/// Returns an error if the deployment cannot be started or changed.
pub async fn run(options: &Options) -> Result<History> {
    let deployment_options = DeploymentOptions {
        leaves: 2,
        entries: 1,
        relays: true,
        log: options.log.clone(),
        ..DeploymentOptions::new(options.document.clone())
    };
    let deployment = Deployment::start(deployment_options).await?;
    let corpora = corpora(&deployment);
    let recorder = Arc::new(Recorder::new());
    let _pause_watcher = recorder.watch_pauses();
    let mut executor = Executor::new(deployment, Arc::clone(&recorder), options);
    let callers = Callers::start(&recorder, options);
    Schedule::new(options.seed).run(&mut executor, options.spacing).await?;
    executor.settle(SETTLE_TIMEOUT).await?;
    recorder.wait_for_operations(options.spacing).await;
    callers.finish().await;
    executor.finish().await;
    let mut history = recorder.take();
    history.corpora = corpora;
    history.snapshots = executor.snapshots();
    history.accepted_revision = executor.revision();
    history.servers = servers(&executor.deployment, &recorder);
    Ok(history)
}

fn corpora(deployment: &Deployment) -> Vec<Corpus> {
    let services = deployment.tables.indexes.values().flat_map(|index| &index.services);
    let corpora = services.flat_map(|(name, service)| {
        service.shards.iter().map(|shard| Corpus {
            service: name.clone(),
            name: shard.id.clone(),
            range: KeyRange {
                start: shard.range.start,
                end: shard.range.end,
            },
        })
    });
    corpora.collect()
}

fn servers(deployment: &Deployment, recorder: &Recorder) -> indexmap::IndexMap<Box<str>, Server> {
    let records = deployment.searchers.iter().map(|(name, searcher)| {
        // The servers started before the run, so their records are relative to an earlier origin.
        let offset = recorder.origin().saturating_duration_since(searcher.origin());
        let mut started = searcher.started();
        started
            .iter_mut()
            .for_each(|start| start.at = start.at.saturating_sub(offset));
        let drain_refusals = searcher
            .drain_refusals()
            .into_iter()
            .map(|at| at.saturating_sub(offset));
        let counters = searcher.counters();
        let server = Server {
            started,
            drain_refusals: drain_refusals.collect(),
            cap: deployment.tables.searchers[name].connections,
            peak_open: counters.most_open,
            cap_refusals: counters.over_cap,
        };
        (name.clone(), server)
    });
    records.collect()
}
