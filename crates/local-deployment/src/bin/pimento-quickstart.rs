//! Quick start: runs a whole deployment in one process and searches it with all replicas, without one replica, and
//! without a whole shard.

#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use local_deployment::deployment::Deployment;
use local_deployment::deployment::Options;
use pimentoflow::process::entry::api::SearchAnswer;
use serde_json::json;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Starts a platform, backend servers, leaves and entries in one process and runs searches.
        cmd pimento-quickstart {
            /// Directory that contains the document (default samples/demo).
            optional --document dir: PathBuf
            /// Keeps running after the searches until SIGINT, for searches with curl.
            optional --serve
            /// Writes the logs of all programs to standard error.
            optional --logs
        }
    }
}

/// Searches in each step, whose median and maximum latency are printed.
const SEARCHES: usize = 200;

fn main() -> ExitCode {
    let flags = flags::PimentoQuickstart::from_env_or_exit();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = runtime
        .map_err(eyre::Report::from)
        .and_then(|runtime| runtime.block_on(run(flags)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            eprintln!("hint: run the program in the root of the repository, or pass a document with --document DIR");
            ExitCode::FAILURE
        }
    }
}

async fn run(flags: flags::PimentoQuickstart) -> Result<()> {
    let document = flags.document.unwrap_or_else(|| PathBuf::from("samples/demo"));
    let mut options = Options::new(document);
    let _guard = flags.logs.then(|| {
        let (log, guard) = pimentoflow::process::log::init(slog::Level::Info, "quickstart", "all");
        options.log = log;
        guard
    });
    let deployment = Deployment::start(options).await?;
    println!(
        "running: {} backend servers, {} leaves, {} entries in {} data centres",
        deployment.searchers.len(),
        deployment.leaves.len(),
        deployment.entries.len(),
        deployment.data_centres().len()
    );
    let index = deployment.tables.indexes.keys().next().cloned().unwrap_or_default();
    run_searches(&deployment, &index, "all well").await?;
    let (shard, replicas) = first_shard(&deployment);
    deployment.searchers[&replicas[0]].kill();
    run_searches(
        &deployment,
        &index,
        &format!("replica {} of shard {shard} lost", replicas[0]),
    )
    .await?;
    for replica in &replicas[1..] {
        deployment.searchers[replica].kill();
    }
    run_searches(&deployment, &index, &format!("all replicas of shard {shard} lost")).await?;
    if flags.serve {
        for replica in &replicas {
            deployment.searchers[replica].restart().await?;
        }
        for (id, member) in &deployment.entries {
            if let Some(address) = member.running.callers {
                println!(
                    "{id}: http://{address}/v1/search   admin: http://{}/metrics",
                    member.running.admin
                );
            }
        }
        println!("all replicas are back; stop with Ctrl-C");
        tokio::signal::ctrl_c().await?;
    }
    Ok(())
}

/// Returns the name of the first shard and the names of its replicas.
fn first_shard(deployment: &Deployment) -> (Box<str>, Vec<Box<str>>) {
    let services = deployment
        .tables
        .indexes
        .values()
        .flat_map(|index| index.services.values());
    let shard = services.flat_map(|service| &service.shards).next();
    let Some(shard) = shard else {
        return (Box::default(), Vec::new());
    };
    let names = shard
        .replicas
        .iter()
        .map(|&ix| deployment.tables.searcher(ix).id.clone());
    (shard.id.clone(), names.collect())
}

/// Runs [`SEARCHES`] searches and prints the last answer and the latencies.
async fn run_searches(deployment: &Deployment, index: &str, title: &str) -> Result<()> {
    let body = json!({"index": index, "query": "gym", "limit": 5, "min_coverage": 0.0});
    let mut latencies = Vec::new();
    let mut last = None;
    for _ in 0..SEARCHES {
        let start = Instant::now();
        last = Some(deployment.search(0, &body).await?);
        latencies.push(start.elapsed());
    }
    latencies.sort_unstable();
    let Some(answer) = last else { return Ok(()) };
    let search_answer: SearchAnswer = answer.json()?;
    println!("\n{title}");
    println!(
        "  status {}  complete {}  snapshot {}",
        answer.status.as_u16(),
        search_answer.complete,
        search_answer.snapshot
    );
    println!(
        "  coverage {:.4}  revision {}",
        search_answer.coverage.total, search_answer.revision
    );
    for missing in &search_answer.coverage.missing {
        println!(
            "  missing {} keys {}..{}: {}",
            missing.shard, missing.start, missing.end, missing.reason
        );
    }
    for hit in search_answer.hits.iter().take(3) {
        println!("  {:.3} {} (key {}, {})", hit.score, hit.document, hit.key, hit.service);
    }
    let median = latencies[latencies.len() / 2];
    let max = latencies.last().copied().unwrap_or(Duration::ZERO);
    println!("  latency of {SEARCHES} searches: median {median:.1?}, greatest {max:.1?}");
    Ok(())
}
