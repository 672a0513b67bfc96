//! Gateway processes with the store, backend servers and proxies that they use.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::Range;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use eyre::bail;
use eyre::ensure;
use platform_standin::Server;
use platform_standin::Store;
use platform_standin::values;
use platform_standin::values::Addresses;
use platform_standin::values::ConfigParams;
use rand::Rng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::process::Command;

use crate::Settings;
use crate::proxy::Mode;
use crate::proxy::Proxy;

/// Shards in each of the two sets. Versions of the configuration alternate between the sets.
pub const SHARDS: usize = 4;

/// Replicas of each shard.
const REPLICAS: usize = 3;

/// Servers of the service `one`, which serves the requests that go to a single server.
const SINGLE_SERVERS: usize = 4;

/// Records in an answer that is merged from all shards.
pub const TOP_K: usize = 5;

/// Smallest number of shards whose parts make up a valid answer.
pub const MIN_PARTS: usize = 3;

/// Listening addresses of one process: peers, callers, readiness and metrics.
const ADDRESSES_PER_PROCESS: usize = 4;

/// Ports for the processes. They are below the range of ephemeral ports, so no outgoing connection takes the port of a
/// process that is down.
const PORT_RANGE: Range<u16> = 12_000..32_000;

/// Attempts to bind a random port before the search for free ports fails.
const MAX_BIND_ATTEMPTS: usize = 1_000;

/// Time in which all processes must become ready. It is generous, so only a failure exceeds it.
pub const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Gateway process with its addresses.
pub struct Process {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    /// Proxy through which the process reaches the store.
    pub store: Proxy,
    pub child: Child,
    pub is_paused: bool,
    /// Times at which the process was signalled or restarted.
    pub disturbances: Vec<Instant>,
    settings: PathBuf,
}

/// Backend server behind a proxy.
pub struct Backend {
    pub server: Server,
    pub proxy: Proxy,
    pub service: String,
    /// Number of earlier incarnations.
    pub restarts: u64,
    /// Times at which the mode of the proxy changed, and whether the proxy forwarded without a fault from then on.
    pub link_changes: Vec<(Instant, bool)>,
    /// Times at which the rate limit of the server was set, with the limit in requests per second.
    pub limit_changes: Vec<(Instant, Option<f64>)>,
}

impl Backend {
    /// Sets the mode of the proxy and records the time of a change.
    pub fn set_link_mode(&mut self, mode: Mode) {
        let is_clear = matches!(mode, Mode::Forward);
        let was_clear = self.link_changes.last().is_none_or(|(_, was_clear)| *was_clear);
        if !(is_clear && was_clear) {
            self.link_changes.push((Instant::now(), is_clear));
        }
        self.proxy.set_mode(mode);
    }

    /// Sets the rate limit that the server announces and records the time.
    pub fn set_rate_limit(&mut self, rate: Option<f64>) {
        if self.server.rate_limit() != rate {
            self.limit_changes.push((Instant::now(), rate));
            self.server.set_rate_limit(rate);
        }
    }
}

/// Gateway processes and everything around them.
pub struct Fleet {
    pub store: Store,
    pub backends: Vec<Backend>,
    pub processes: Vec<Process>,
    pub version: u64,
    program: PathBuf,
    dir: PathBuf,
    /// Whether the processes reach the backend servers without proxies. A proxy accepts connections to a server that has
    /// crashed.
    is_direct: bool,
}

impl Fleet {
    /// Starts the store, the backend servers and the gateway processes.
    pub async fn start(settings: &Settings) -> Result<Self> {
        fs::create_dir_all(&settings.dir)?;
        let store = Store::start().await;
        let mut fleet = Self {
            store,
            backends: Vec::new(),
            processes: Vec::new(),
            version: 0,
            program: settings.program.clone(),
            dir: settings.dir.clone(),
            is_direct: settings.crashes,
        };
        for set in ["a", "b"] {
            for shard in 0..SHARDS {
                for replica in 0..REPLICAS {
                    fleet
                        .add_backend(&format!("{set}{shard}"), &format!("i-{set}{shard}r{replica}"))
                        .await?;
                }
            }
        }
        for single in 0..SINGLE_SERVERS {
            fleet.add_backend("one", &format!("i-one{single}")).await?;
        }
        fleet.publish_next_version();
        let addresses = free_addresses(settings.gateways * ADDRESSES_PER_PROCESS)?;
        let seeds: Vec<SocketAddr> = addresses
            .iter()
            .copied()
            .step_by(ADDRESSES_PER_PROCESS)
            .take(3)
            .collect();
        for (number, process_addresses) in addresses.chunks_exact(ADDRESSES_PER_PROCESS).enumerate() {
            fleet.add_process(number, process_addresses, &seeds).await?;
        }
        Ok(fleet)
    }

    async fn add_backend(&mut self, service: &str, id: &str) -> Result<()> {
        let records = (0..6_u32).flat_map(|number| record(id, number));
        let server = Server::start(id, &records.collect::<Vec<u8>>()).await;
        let proxy = Proxy::start(server.address).await?;
        self.backends.push(Backend {
            server,
            proxy,
            service: service.into(),
            restarts: 0,
            link_changes: Vec::new(),
            limit_changes: Vec::new(),
        });
        self.write_entry(self.backends.len() - 1, "ready");
        Ok(())
    }

    /// Writes the entry of a backend server to the store.
    pub fn write_entry(&self, ix: usize, state: &str) {
        let backend = &self.backends[ix];
        let address = if self.is_direct {
            backend.server.address
        } else {
            backend.proxy.address
        };
        let mut entry = values::server_entry(&backend.service, address, state);
        if let Some(born) = entry["born"].as_u64() {
            entry["born"] = (born + backend.restarts).into();
        }
        self.store.put(&values::server_key(&backend.server.id), &entry);
    }

    /// Publishes the next version of the configuration, which uses the other set of shards.
    pub fn publish_next_version(&mut self) {
        self.version += 3;
        let set = if self.version % 2 == 1 { "a" } else { "b" };
        let shards: Vec<String> = (0..SHARDS).map(|shard| format!("{set}{shard}")).collect();
        let config = values::config(&ConfigParams {
            version: self.version,
            shards,
            min_coverage: MIN_PARTS as f64 / SHARDS as f64,
            top_k: TOP_K,
            timeout_ms: 8000,
            target_latency_ms: 300,
            max_connections: 31,
            max_body_bytes: 4096,
        });
        self.store.put(values::CONFIG_KEY, &config);
    }

    /// Starts a process that listens on `addresses`: peers, callers, readiness and metrics, in this order.
    async fn add_process(&mut self, number: usize, addresses: &[SocketAddr], seeds: &[SocketAddr]) -> Result<()> {
        let name = format!("gateway-{number}");
        let store = Proxy::start(self.store.address).await?;
        let [peers, callers, readiness, metrics] = *addresses else {
            bail!(
                "{} addresses for a process that needs {ADDRESSES_PER_PROCESS}",
                addresses.len()
            );
        };
        let addresses = Addresses {
            callers,
            readiness,
            peers,
            metrics,
            store: store.address,
        };
        let content = values::settings(&name, &addresses, seeds);
        let settings = self.dir.join(format!("{name}.json"));
        fs::write(&settings, content.to_string())?;
        let child = self.spawn(&name, &settings)?;
        self.processes.push(Process {
            name,
            callers,
            readiness,
            store,
            child,
            is_paused: false,
            disturbances: Vec::new(),
            settings,
        });
        Ok(())
    }

    fn spawn(&self, name: &str, settings: &PathBuf) -> Result<Child> {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.log")))?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()?;
        Ok(child)
    }

    /// Kills a process if it still runs, and starts it again.
    pub async fn restart(&mut self, ix: usize) -> Result<()> {
        let process = &mut self.processes[ix];
        process.child.kill().await?;
        process.is_paused = false;
        process.disturbances.push(Instant::now());
        let (name, settings) = (process.name.clone(), process.settings.clone());
        self.processes[ix].child = self.spawn(&name, &settings)?;
        Ok(())
    }

    /// Kills all processes before it restarts the first one, so that none can get its state from a peer.
    pub async fn restart_all(&mut self) -> Result<()> {
        for process in &mut self.processes {
            process.child.kill().await?;
        }
        for ix in 0..self.processes.len() {
            self.restart(ix).await?;
        }
        Ok(())
    }

    /// Sends a signal to a process; a process that has exited is ignored.
    pub async fn signal(&mut self, ix: usize, signal: &str) -> Result<()> {
        let process = &mut self.processes[ix];
        process.disturbances.push(Instant::now());
        let Some(id) = process.child.id() else { return Ok(()) };
        // The standard library has no call for signals other than SIGKILL.
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(id.to_string())
            .status()
            .await?;
        ensure!(status.success(), "cannot send {signal} to process {id}");
        process.is_paused = signal == "STOP" || (process.is_paused && signal != "CONT");
        Ok(())
    }

    /// Waits until every process reports that it is ready, for at most `limit`.
    pub async fn wait_ready(&self, limit: Duration) -> Result<()> {
        let all = async {
            for process in &self.processes {
                while !is_ready(process.readiness).await {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        };
        let ready = tokio::time::timeout(limit, all).await;
        ensure!(
            ready.is_ok(),
            "not ready within {limit:?}; logs in {}",
            self.dir.display()
        );
        Ok(())
    }

    /// Kills all processes.
    pub async fn kill_all(mut self) {
        for process in &mut self.processes {
            // The call fails for a process that has already exited.
            let _ended = process.child.kill().await;
        }
    }
}

/// Returns a record of a server. It starts with a hash, so that records of different servers interleave when sorted.
fn record(id: &str, number: u32) -> [u8; 16] {
    let mut record = [0; 16];
    let hash = id.bytes().fold(number.wrapping_mul(0x9E37_79B9), |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    });
    record[..4].copy_from_slice(&hash.to_be_bytes());
    for (to, from) in record[4..].iter_mut().zip(id.bytes()) {
        *to = from;
    }
    record
}

/// Returns `count` free addresses. All listeners stay open until the last port is found, so no port is returned twice.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let mut rng = rand::rng();
    let mut listeners = Vec::new();
    for _ in 0..MAX_BIND_ATTEMPTS {
        if listeners.len() == count {
            break;
        }
        // Skips ports that are in use.
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", rng.random_range(PORT_RANGE))) {
            listeners.push(listener);
        }
    }
    ensure!(listeners.len() == count, "no {count} free ports in {PORT_RANGE:?}");
    let addresses = listeners.iter().map(TcpListener::local_addr);
    Ok(addresses.collect::<Result<_, _>>()?)
}

async fn is_ready(address: SocketAddr) -> bool {
    let probe = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let head = b"GET /-/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        stream.write_all(head).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        Some(answer.starts_with("HTTP/1.1 200"))
    };
    let answer = tokio::time::timeout(Duration::from_secs(1), probe).await;
    answer.ok().flatten().unwrap_or(false)
}
