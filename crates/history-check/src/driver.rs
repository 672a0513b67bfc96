//! Runs of a whole local deployment with concurrent callers and faults injected by seed.
//!
//! Steps of the schedule are triggered by the number of operations done. Everything waits on events, so the verdict does
//! not depend on the speed of the machine; the interleaving of the tasks does.

mod callers;
mod recorder;
mod schedule;
mod steps;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use local_deployment::deployment::Deployment;
use local_deployment::deployment::Options as DeploymentOptions;
use pimento_standin::searcher::KeyRange;
use slog::Logger;

use crate::driver::callers::Callers;
use crate::driver::recorder::Recorder;
use crate::driver::schedule::Schedule;
use crate::driver::steps::Steps;
use crate::history::Corpus;
use crate::history::History;
use crate::history::Server;

/// Time in which the last revision must be in effect. It only ends the wait of a run whose history then shows that the
/// revision is missing.
const SETTLE_LIMIT: Duration = Duration::from_secs(30);

/// Shape of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Directory of the document, which must be `samples/demo`: the split of a shard knows its names.
    pub document: PathBuf,
    /// Seed of the schedule and the callers.
    pub seed: u64,
    /// Tasks that search.
    pub searching: usize,
    /// Tasks that submit.
    pub submitting: usize,
    /// Operations between two steps.
    pub spacing: u64,
    /// Logger of all programs.
    pub log: Logger,
}

impl Options {
    /// Makes the shape of the runs in CI.
    #[must_use]
    pub fn new(document: PathBuf, seed: u64) -> Self {
        Self {
            document,
            seed,
            searching: 4,
            submitting: 3,
            spacing: 12,
            log: pimentoflow::process::log::discard(),
        }
    }
}

/// Runs one schedule and returns its history.
///
/// # Errors
///
/// Fails when the deployment cannot be started or changed.
pub async fn run(options: &Options) -> Result<History> {
    let shape = DeploymentOptions {
        leaves: 2,
        entries: 1,
        relays: true,
        log: options.log.clone(),
        ..DeploymentOptions::new(options.document.clone())
    };
    let deployment = Deployment::start(shape).await?;
    let corpora = corpora(&deployment);
    let recorder = Arc::new(Recorder::new());
    let _watcher = recorder.watch_pauses();
    let mut steps = Steps::new(deployment, Arc::clone(&recorder), options);
    let callers = Callers::start(&recorder, options);
    Schedule::new(options.seed).run(&mut steps, options.spacing).await?;
    steps.settle(SETTLE_LIMIT).await?;
    recorder.wait_for_operations(options.spacing).await;
    callers.finish().await;
    steps.finish().await;
    let mut history = recorder.take();
    history.corpora = corpora;
    history.snapshots = steps.snapshots();
    history.accepted = steps.revision();
    history.servers = servers(&steps.deployment, &recorder);
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
        // The servers started before the run, so the times of their records count from an earlier moment.
        let lead = recorder.origin().saturating_duration_since(searcher.origin());
        let mut started = searcher.started();
        started
            .iter_mut()
            .for_each(|start| start.at = start.at.saturating_sub(lead));
        let turned_away = searcher.drain_refusals().into_iter().map(|at| at.saturating_sub(lead));
        let counters = searcher.counters();
        let server = Server {
            started,
            turned_away: turned_away.collect(),
            cap: deployment.tables.searchers[name].connections,
            most_open: counters.most_open,
            over_cap: counters.over_cap,
        };
        (name.clone(), server)
    });
    records.collect()
}
