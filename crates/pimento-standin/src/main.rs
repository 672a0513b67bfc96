//! Command line of `pimento-standin`.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use eyre::Context;
use eyre::Result;
use eyre::eyre;
use pimento_standin::platform::Instances;
use pimento_standin::platform::Platform;
use pimento_standin::searcher::Searcher;
use pimento_standin::searcher::Settings;
use pimento_standin::searcher_list;

mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs a minimal platform or backend servers for tests of pimentoflow, on loopback addresses only.
        cmd pimento-standin {
            /// Runs the platform.
            cmd platform {
                /// Address to listen on.
                required --listen address: SocketAddr
                /// Directory with one file per value, named after the value; read again when a file changes.
                required --values dir: PathBuf
                /// JSON file with the list of instances; read again when it changes.
                required --instances file: PathBuf
                /// Additional listener for one data centre, as NAME=ADDRESS; may be repeated.
                repeated --centre centre: String
            }
            /// Runs one backend server.
            cmd searcher {
                /// Address to listen on.
                required --listen address: SocketAddr
                /// Name of the searcher (default searcher).
                optional --name name: String
                /// Name of the shard, from which hits are generated (default shard).
                optional --shard shard: String
                /// Range of keys as START-END (default all keys).
                optional --range range: String
                /// Requests that run concurrently (default 3).
                optional --slots slots: u32
                /// Largest number of open connections (default 30).
                optional --connections connections: u32
                /// Time to open a connection, in milliseconds (default 6).
                optional --connect-cost-ms cost: u64
                /// Time that a request takes, in milliseconds (default 2).
                optional --service-ms service: u64
                /// Snapshots held at the start, separated by commas (default 1).
                optional --snapshots snapshots: String
                /// Seed that selects the requests with faults (default 1).
                optional --seed seed: u64
            }
            /// Runs all backend servers of a list file in one process.
            cmd searchers {
                /// List file with NAME ADDRESS SHARD START-END SLOTS CONNECTIONS COST_MS on each line.
                required --list file: PathBuf
                /// Time that a request takes, in milliseconds (default 2).
                optional --service-ms service: u64
                /// Snapshots held at the start, separated by commas (default 1).
                optional --snapshots snapshots: String
                /// Seed that selects the requests with faults (default 1).
                optional --seed seed: u64
            }
        }
    }
}

/// Interval at which the platform checks the files for changes.
const FILE_POLL_INTERVAL: Duration = Duration::from_millis(200);

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::PimentoStandin::from_env_or_exit();
    let result = match flags.subcommand {
        flags::PimentoStandinCmd::Platform(command) => run_platform(command).await,
        flags::PimentoStandinCmd::Searcher(command) => run_searcher(command).await,
        flags::PimentoStandinCmd::Searchers(command) => run_searchers(command).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run_platform(command: flags::Platform) -> Result<()> {
    check_loopback(command.listen)?;
    let platform = Platform::start(command.listen)
        .await
        .context("cannot listen on the address")?;
    println!("platform address={}", platform.address());
    for centre in &command.centre {
        let (name, address) = centre
            .split_once('=')
            .ok_or_else(|| eyre!("invalid --centre `{centre}`; expected NAME=ADDRESS"))?;
        let address = address.parse().context("address of the data centre is not IP:PORT")?;
        check_loopback(address)?;
        let address = platform
            .listen_for_centre(name, address)
            .await
            .context("cannot listen on the address")?;
        println!("platform data_centre={name} address={address}");
    }
    let mut published = BTreeMap::new();
    let mut poll = tokio::time::interval(FILE_POLL_INTERVAL);
    loop {
        tokio::select! {
            received = tokio::signal::ctrl_c() => return received.context("cannot wait for a signal"),
            _ = poll.tick() => publish_changes(&platform, &command.values, &command.instances, &mut published)?,
        }
    }
}

/// Publishes the files whose content changed since the previous call.
fn publish_changes(
    platform: &Platform,
    values: &Path,
    instances: &Path,
    published: &mut BTreeMap<PathBuf, Vec<u8>>,
) -> Result<()> {
    for entry in fs::read_dir(values).with_context(|| format!("cannot list {}", values.display()))? {
        let path = entry?.path();
        let Some(name) = path.file_name().and_then(|name| name.to_str()) else {
            continue;
        };
        if !path.is_file() || name.starts_with('.') {
            continue;
        }
        let bytes = fs::read(&path).with_context(|| format!("cannot read {}", path.display()))?;
        if published.get(&path) != Some(&bytes) {
            platform.publish(name, bytes.clone());
            published.insert(path, bytes);
        }
    }
    let bytes = fs::read(instances).with_context(|| format!("cannot read {}", instances.display()))?;
    if published.get(instances) == Some(&bytes) {
        return Ok(());
    }
    // A file that is still being written may be incomplete; the next poll reads it again.
    if let Ok(list) = serde_json::from_slice::<Instances>(&bytes) {
        platform.set_instances(&list.instances);
        published.insert(instances.to_owned(), bytes);
    }
    Ok(())
}

async fn run_searcher(command: flags::Searcher) -> Result<()> {
    let name = command.name.as_deref().unwrap_or("searcher");
    let shard = command.shard.as_deref().unwrap_or("shard");
    let range = match &command.range {
        Some(range) => searcher_list::parse_range(range)?,
        None => pimento_standin::searcher::KeyRange::ALL,
    };
    let mut settings = Settings::new(name, shard, range);
    settings.slots = command.slots.unwrap_or(settings.slots);
    settings.connections = command.connections.unwrap_or(settings.connections);
    settings.connect_cost = command
        .connect_cost_ms
        .map_or(settings.connect_cost, Duration::from_millis);
    let shared = SharedSettings {
        service_ms: command.service_ms,
        snapshots: command.snapshots,
        seed: command.seed,
    };
    let listed = searcher_list::ListedSearcher {
        address: command.listen,
        settings,
    };
    run_all(vec![listed], &shared).await
}

async fn run_searchers(command: flags::Searchers) -> Result<()> {
    let text = fs::read_to_string(&command.list).with_context(|| format!("cannot read {}", command.list.display()))?;
    let shared = SharedSettings {
        service_ms: command.service_ms,
        snapshots: command.snapshots,
        seed: command.seed,
    };
    run_all(searcher_list::parse(&text)?, &shared).await
}

/// Settings that apply to all searchers of a process.
struct SharedSettings {
    service_ms: Option<u64>,
    snapshots: Option<String>,
    seed: Option<u64>,
}

async fn run_all(listed: Vec<searcher_list::ListedSearcher>, shared: &SharedSettings) -> Result<()> {
    let mut searchers = Vec::new();
    for item in listed {
        check_loopback(item.address)?;
        let settings = with_shared(item.settings, shared)?;
        let searcher = Searcher::start(item.address, settings)
            .await
            .with_context(|| format!("cannot listen on {}", item.address))?;
        println!("searcher name={} address={}", searcher.name(), searcher.address());
        searchers.push(searcher);
    }
    tokio::signal::ctrl_c().await.context("cannot wait for a signal")
}

fn with_shared(mut settings: Settings, shared: &SharedSettings) -> Result<Settings> {
    settings.service_time = shared.service_ms.map_or(settings.service_time, Duration::from_millis);
    settings.seed = shared.seed.unwrap_or(settings.seed);
    if let Some(snapshots) = &shared.snapshots {
        let parsed: Result<Vec<u64>, _> = snapshots.split(',').map(str::parse).collect();
        settings.snapshots = parsed.context("snapshots are not valid numbers separated by commas")?;
    }
    Ok(settings)
}

fn check_loopback(address: SocketAddr) -> Result<()> {
    if address.ip().is_loopback() {
        return Ok(());
    }
    Err(eyre!(
        "{address} is not a loopback address; this program is for tests only"
    ))
}
