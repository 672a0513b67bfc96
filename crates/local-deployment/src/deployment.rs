//! Start and control of a local deployment.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use eyre::Context;
use eyre::Result;
use eyre::eyre;
use http::StatusCode;
use indexmap::IndexMap;
use pimento_standin::platform::Instance;
use pimento_standin::platform::InstanceState;
use pimento_standin::platform::Platform;
use pimento_standin::platform::Role as InstanceRole;
use pimento_standin::searcher::KeyRange;
use pimento_standin::searcher::Searcher;
use pimento_standin::searcher::Settings as SearcherSettings;
use pimentoflow::process::program;
use pimentoflow::process::program::RunningProgram;
use pimentoflow::process::program::StartOptions;
use pimentoflow::process::settings::Limits;
use pimentoflow::process::settings::Listen;
use pimentoflow::process::settings::LogLevel;
use pimentoflow::process::settings::Role;
use pimentoflow::process::settings::Seed;
use pimentoflow::process::settings::Settings;
use pimentoflow::version::tables::Tables;
use pimentoflow::version::units::Address;
use slog::Logger;

use crate::client;
use crate::client::Answer;
use crate::document::LocalDocument;
use crate::relay::Relay;

/// Loopback address with a port that the system chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Time in which a deployment must become ready. It is generous, so only a start that hangs exceeds it.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which readiness is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Size and settings of a deployment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Directory that contains the document.
    pub document: PathBuf,
    /// Leaves in each data centre of the document.
    pub leaves: usize,
    /// Entries in each data centre of the document.
    pub entries: usize,
    /// Time that a backend server takes to run a request.
    pub service_time: Duration,
    /// Logger of all programs.
    pub log: Logger,
    /// Time after the start of a planned stop during which new work is still accepted.
    pub notice: Duration,
    /// Largest number of caller requests in flight at an entry.
    pub in_flight: u32,
    /// Whether leaves are reached through relays, which can delay, hold and close connections.
    pub relays: bool,
}

impl Options {
    /// Creates options for one leaf and one entry in each data centre, without logs.
    #[must_use]
    pub fn new(document: PathBuf) -> Self {
        Self {
            document,
            leaves: 1,
            entries: 1,
            service_time: Duration::from_millis(2),
            log: pimentoflow::process::log::discard(),
            notice: Duration::from_millis(200),
            in_flight: Limits::default().in_flight,
            relays: false,
        }
    }
}

/// Leaf or entry of a deployment.
#[derive(Debug)]
pub struct Member {
    /// Data centre in which the program runs.
    pub data_centre: Box<str>,
    /// Handle of the program.
    pub running: RunningProgram,
    /// Relay through which peers reach the program, if [`Options::relays`] is set and it is a leaf.
    pub relay: Option<Relay>,
}

impl Member {
    /// Returns the address at which peers reach the program: that of the relay, if there is one.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.relay.as_ref().map_or(self.running.peers, Relay::address)
    }
}

/// Running local deployment. Dropping it stops all its programs and stand-ins.
#[derive(Debug)]
pub struct Deployment {
    /// Options with which the deployment was started.
    pub options: Options,
    /// Stand-in for the platform.
    pub platform: Platform,
    /// Backend servers by name.
    pub searchers: IndexMap<Box<str>, Searcher>,
    /// Leaves by name.
    pub leaves: IndexMap<Box<str>, Member>,
    /// Entries by name.
    pub entries: IndexMap<Box<str>, Member>,
    /// Document that [`Deployment::publish`] publishes.
    pub document: LocalDocument,
    /// Tables of the document with which the deployment was started.
    pub tables: Tables,
    /// Number of programs started so far, for their names and seeds.
    started_programs: u64,
}

impl Deployment {
    /// Starts a deployment and waits until every entry is ready and has a session with every leaf.
    ///
    /// # Errors
    ///
    /// Fails if the document is not valid, a port cannot be bound, or the programs are not ready in time.
    pub async fn start(options: Options) -> Result<Self> {
        let original = LocalDocument::load(&options.document)?;
        let (searchers, new_addresses) = start_searchers(&original.tables()?, options.service_time).await?;
        let document = original.relocate(&new_addresses, 1)?;
        let tables = document.tables()?;
        let platform = Platform::start(ANY_PORT).await.context("cannot start the platform")?;
        let mut deployment = Self {
            options,
            platform,
            searchers,
            leaves: IndexMap::new(),
            entries: IndexMap::new(),
            document,
            tables,
            started_programs: 0,
        };
        deployment.publish();
        for data_centre in deployment.data_centres() {
            for _ in 0..deployment.options.leaves {
                deployment.start_leaf(&data_centre).await?;
            }
            for _ in 0..deployment.options.entries {
                deployment.start_entry(&data_centre).await?;
            }
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Returns the data centres of the document.
    #[must_use]
    pub fn data_centres(&self) -> Vec<Box<str>> {
        let mut names: Vec<Box<str>> = self
            .tables
            .searchers
            .values()
            .map(|item| item.data_centre.clone())
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Publishes the document to the platform.
    pub fn publish(&self) {
        for (name, bytes) in self.document.values() {
            self.platform.publish(&name, bytes);
        }
    }

    /// Publishes the list of the leaves, entries and backend servers of the deployment to the platform.
    pub fn publish_instances(&self) {
        let leaves = self
            .leaves
            .iter()
            .map(|(id, member)| to_instance(id, InstanceRole::Leaf, member));
        let entries = self
            .entries
            .iter()
            .map(|(id, member)| to_instance(id, InstanceRole::Entry, member));
        let searchers = self.searchers.iter().map(|(id, searcher)| Instance {
            id: id.clone(),
            role: InstanceRole::Searcher,
            data_centre: self.tables.searchers[id].data_centre.clone(),
            address: searcher.address(),
            state: InstanceState::Live,
        });
        let all: Vec<Instance> = leaves.chain(entries).chain(searchers).collect();
        self.platform.set_instances(&all);
    }

    /// Starts a leaf and returns its name.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be bound.
    pub async fn start_leaf(&mut self, data_centre: &str) -> Result<Box<str>> {
        let (id, member) = self.start_program(Role::Leaf, data_centre).await?;
        self.leaves.insert(id.clone(), member);
        self.publish_instances();
        Ok(id)
    }

    /// Starts an entry and returns its name.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be bound.
    pub async fn start_entry(&mut self, data_centre: &str) -> Result<Box<str>> {
        let (id, member) = self.start_program(Role::Entry, data_centre).await?;
        self.entries.insert(id.clone(), member);
        self.publish_instances();
        Ok(id)
    }

    /// Starts an entry that is not in the platform's list of instances, and returns it with its name.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be bound.
    pub async fn start_unlisted_entry(&mut self, data_centre: &str) -> Result<(Box<str>, Member)> {
        self.start_program(Role::Entry, data_centre).await
    }

    async fn start_program(&mut self, role: Role, data_centre: &str) -> Result<(Box<str>, Member)> {
        self.started_programs += 1;
        let kind = match role {
            Role::Entry => "entry",
            Role::Leaf => "leaf",
        };
        let id: Box<str> = format!("{kind}-{data_centre}-{}", self.started_programs).into();
        let seeds = self.leaves.iter().map(|(id, member)| Seed {
            instance: id.clone(),
            address: Address(member.peer_address()),
        });
        let settings = Settings {
            role,
            instance: id.clone(),
            data_centre: data_centre.into(),
            listen: Listen {
                callers: (role == Role::Entry).then_some(Address(ANY_PORT)),
                peers: Address(ANY_PORT),
                admin: Address(ANY_PORT),
            },
            platform: Address(self.platform.address()),
            seeds: seeds.collect(),
            log_level: LogLevel::Info,
            limits: Limits {
                in_flight: self.options.in_flight,
                ..Limits::default()
            },
        };
        let options = StartOptions {
            log: self.options.log.clone(),
            seed: self.started_programs,
            notice: self.options.notice,
        };
        let running = program::start(&settings, options).await?;
        let relay = if self.options.relays && role == Role::Leaf {
            Some(Relay::start(running.peers).await?)
        } else {
            None
        };
        let member = Member {
            data_centre: data_centre.into(),
            running,
            relay,
        };
        Ok((id, member))
    }

    /// Waits until every entry is connected and answers a search of each index completely.
    ///
    /// # Errors
    ///
    /// Fails if the deployment is not ready within 60 s.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let mut last_answer = String::new();
        let polled = tokio::time::timeout(START_TIMEOUT, self.poll_until_ready(&mut last_answer)).await;
        polled.map_err(|_elapsed| {
            eyre!(
                "not ready within {} s; last answer: {last_answer}",
                START_TIMEOUT.as_secs()
            )
        })?
    }

    async fn poll_until_ready(&self, last_answer: &mut String) -> Result<()> {
        while !self.is_connected() {
            "not connected".clone_into(last_answer);
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        for member in self.entries.values() {
            for index in self.tables.indexes.keys() {
                let body = serde_json::json!({"index": index, "query": "ready", "min_coverage": 1.0});
                loop {
                    let answer = client::post(caller_address(member)?, "/v1/search", &body).await?;
                    if answer.status == StatusCode::OK {
                        break;
                    }
                    *last_answer = String::from_utf8_lossy(&answer.body).into_owned();
                    tokio::time::sleep(READY_POLL_INTERVAL).await;
                }
            }
        }
        Ok(())
    }

    /// Returns whether every entry has a session with every leaf, and every leaf is connected to the searchers it
    /// holds.
    fn is_connected(&self) -> bool {
        let entries = self.entries.values();
        let mut sessions = entries.flat_map(|entry| self.leaves.keys().map(|leaf| entry.running.has_session(leaf)));
        sessions.all(|open| open)
            && self
                .leaves
                .values()
                .all(|leaf| leaf.running.is_connected_to_searchers())
    }

    /// Returns the caller address of the entry at position `ix` in [`Deployment::entries`].
    ///
    /// # Errors
    ///
    /// Fails if there is no such entry.
    pub fn caller_address(&self, ix: usize) -> Result<SocketAddr> {
        let (_, member) = self
            .entries
            .get_index(ix)
            .ok_or_else(|| eyre!("no entry at position {ix}"))?;
        caller_address(member)
    }

    /// Sends a search to the entry at position `entry`.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached or the connection ends before the answer is complete.
    pub async fn search(&self, entry: usize, body: &serde_json::Value) -> Result<Answer> {
        client::post(self.caller_address(entry)?, "/v1/search", body).await
    }
}

fn caller_address(member: &Member) -> Result<SocketAddr> {
    member
        .running
        .callers
        .ok_or_else(|| eyre!("the program has no caller address"))
}

fn to_instance(id: &str, role: InstanceRole, member: &Member) -> Instance {
    Instance {
        id: id.into(),
        role,
        data_centre: member.data_centre.clone(),
        address: member.peer_address(),
        state: InstanceState::Live,
    }
}

/// Starts a stand-in for each replica of the document.
///
/// Returns the stand-ins by name, and their addresses by the addresses that the document names.
async fn start_searchers(
    tables: &Tables,
    service_time: Duration,
) -> Result<(IndexMap<Box<str>, Searcher>, IndexMap<SocketAddr, SocketAddr>)> {
    let mut searchers = IndexMap::new();
    let mut new_addresses = IndexMap::new();
    let services = tables.indexes.values().flat_map(|index| index.services.values());
    for shard in services.flat_map(|service| &service.shards) {
        for &replica in &shard.replicas {
            let searcher_item = tables.searcher(replica);
            let range = KeyRange {
                start: shard.range.start,
                end: shard.range.end,
            };
            let settings = SearcherSettings {
                slots: searcher_item.slots,
                connections: searcher_item.connections,
                connect_cost: searcher_item.connect_cost,
                service_time,
                ..SearcherSettings::new(&searcher_item.id, &shard.id, range)
            };
            let searcher = Searcher::start(ANY_PORT, settings)
                .await
                .context("cannot start a backend server")?;
            new_addresses.insert(searcher_item.address, searcher.address());
            searchers.insert(searcher_item.id.clone(), searcher);
        }
    }
    Ok((searchers, new_addresses))
}
