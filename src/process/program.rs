//! Starts and stops the programs `pimento-entry` and `pimento-leaf` from their settings.
//!
//! The binaries, the quick start and the tests share this code, so that tests of a stop or a crash cover the code that
//! runs in production.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use prometheus_client::registry::Registry;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::Logger;
use slog::info;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::ids::InstanceId;
use crate::process::admin;
use crate::process::drain;
use crate::process::drain::Outcome;
use crate::process::entry::Entry;
use crate::process::entry::fleet_updater;
use crate::process::entry::routes;
use crate::process::http::ConnectionCounts;
use crate::process::http::Handler;
use crate::process::http::HttpLimits;
use crate::process::http::HttpServer;
use crate::process::http::ServePhase;
use crate::process::leaf::Leaf;
use crate::process::leaf::lane_manager::LaneManager;
use crate::process::leaf::lanes::LaneHandle;
use crate::process::membership::Role;
use crate::process::metrics::Metrics;
use crate::process::node::Identity;
use crate::process::node::Node;
use crate::process::node::control;
use crate::process::node::control::ControlContext;
use crate::process::node::control::ControlInput;
use crate::process::node::new_incarnation;
use crate::process::node::platform_reader::PlatformReader;
use crate::process::peers::PeerHandler;
use crate::process::peers::Peers;
use crate::process::platform::PlatformClient;
use crate::process::settings;
use crate::process::settings::Settings;
use crate::process::stop;
use crate::process::stop::Stoppable;
use crate::process::timer::Clock;
use crate::process::timer::Timer;
use crate::wire::proto;
use crate::wire::proto::frame::Body;

/// Capacity of the channel for lane events to the leaf. Further events are dropped, which is safe because a later event
/// repeats the same information.
const LANE_EVENT_CAPACITY: usize = 4096;

/// Number of processes assumed until the list of the platform is known.
const ASSUMED_FLEET_SIZE: usize = 24;

/// Error of [`start`].
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address could not be bound.
    #[error("cannot listen on {address}: {source}; check `listen` and that no other process uses the port")]
    Bind {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The settings of an entry have no address for callers.
    #[error("`listen.callers` is missing; an entry needs it")]
    MissingCallerAddress,
}

/// Start options that are not part of the settings.
#[derive(Debug, Clone)]
pub struct StartOptions {
    /// Logger of the process.
    pub log: Logger,
    /// Seed of the random number generator, which adds jitter to reads and reconnects.
    pub seed: u64,
    /// Notice period of a planned stop, in which new work is still accepted.
    pub notice: Duration,
}

impl StartOptions {
    /// Creates options with a random seed and the default notice period.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            seed: rand::rng().random(),
            notice: drain::Settings::default().notice,
        }
    }
}

/// Handle of a running entry or leaf.
#[derive(Debug)]
pub struct RunningProgram {
    /// Address of the interface for callers. `None` for a leaf.
    pub callers: Option<SocketAddr>,
    /// Address of the interface for peers.
    pub peers: SocketAddr,
    /// Address of the admin interface, which serves `/metrics`, `/live` and `/ready`.
    pub admin: SocketAddr,
    /// State shared by all tasks of the program.
    pub node: Arc<Node>,
    role: RunningRole,
    sessions: Arc<Peers>,
    phase: watch::Sender<ServePhase>,
    counts: ConnectionCounts,
    drain: drain::Settings,
    confirmations: mpsc::UnboundedReceiver<InstanceId>,
    tasks: JoinSet<()>,
}

#[derive(Debug)]
enum RunningRole {
    Entry(Arc<Entry>),
    Leaf(Arc<Leaf>),
}

/// Starts the program for the role in `settings` and returns when it listens on all its addresses.
///
/// # Errors
///
/// Returns an error when an address cannot be bound or an entry has no address for callers. No task is left running.
pub async fn start(settings: &Settings, options: StartOptions) -> Result<RunningProgram, StartError> {
    let peer_listener = bind(settings.listen.peers.0).await?;
    let peer_address = local_address(&peer_listener, settings.listen.peers.0)?;
    let role = match settings.role {
        settings::Role::Entry => Role::Entry,
        settings::Role::Leaf => Role::Leaf,
    };
    let identity = Identity {
        instance: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        role,
        incarnation: new_incarnation(),
        address: peer_address,
    };
    let (metrics, registry) = Metrics::new();
    let (node, inputs) = Node::new(identity, Timer::new(Clock::System), metrics, options.log.clone());
    let mut builder = Builder {
        settings,
        rng: SmallRng::seed_from_u64(options.seed),
        options,
        node,
        tasks: JoinSet::new(),
        phase: watch::Sender::new(ServePhase::Serving),
    };
    let admin = builder.serve_admin(registry).await?;
    let (sender, confirmations) = mpsc::unbounded_channel();
    drop(sender);
    let (role, sessions, callers, counts, confirmations) = match role {
        Role::Entry => {
            let (entry, sessions, callers, counts) = builder.start_entry().await?;
            (
                RunningRole::Entry(entry),
                sessions,
                Some(callers),
                counts,
                confirmations,
            )
        }
        Role::Leaf => {
            let (leaf, sessions, confirmations) = builder.start_leaf();
            (
                RunningRole::Leaf(leaf),
                sessions,
                None,
                ConnectionCounts::default(),
                confirmations,
            )
        }
    };
    builder.start_control(&sessions, peer_listener, inputs);
    info!(builder.node.log, "started"; "peers" => %peer_address, "admin" => %admin,
        "callers" => callers.map(|address| address.to_string()));
    Ok(RunningProgram {
        callers,
        peers: peer_address,
        admin,
        role,
        sessions,
        phase: builder.phase,
        counts,
        drain: drain::Settings {
            notice: builder.options.notice,
            hard_limit: settings.limits.drain_limit(),
            ..drain::Settings::default()
        },
        confirmations,
        tasks: builder.tasks,
        node: builder.node,
    })
}

struct Builder<'a> {
    settings: &'a Settings,
    rng: SmallRng,
    options: StartOptions,
    node: Arc<Node>,
    tasks: JoinSet<()>,
    phase: watch::Sender<ServePhase>,
}

impl Builder<'_> {
    async fn serve_admin(&mut self, registry: Registry) -> Result<SocketAddr, StartError> {
        let address = self.settings.listen.admin.0;
        let routes = admin::routes(registry, self.node.readiness.clone(), None);
        let server = self.bind_http(address, routes).await?;
        let bound = server
            .local_addr()
            .map_err(|source| StartError::Bind { address, source })?;
        // The admin server never leaves the serving phase, so that `/live` and `/metrics` are available during a stop.
        let (sender, phase) = watch::channel(ServePhase::Serving);
        self.tasks.spawn(async move {
            server.serve(phase).await;
            drop(sender);
        });
        Ok(bound)
    }

    async fn bind_http(
        &self,
        address: SocketAddr,
        routes: volo_http::server::route::Router<volo_http::body::Body, std::convert::Infallible>,
    ) -> Result<HttpServer, StartError> {
        let log = self.node.log.clone();
        let bound = HttpServer::bind(address, Handler::Routes(Arc::new(routes)), HttpLimits::default(), log).await;
        bound.map_err(|source| StartError::Bind { address, source })
    }

    async fn start_entry(&mut self) -> Result<(Arc<Entry>, Arc<Peers>, SocketAddr, ConnectionCounts), StartError> {
        let address = self.settings.caller_address().ok_or(StartError::MissingCallerAddress)?;
        let limits = &self.settings.limits;
        let entry = Entry::new(Arc::clone(&self.node), limits.body_bytes(), limits.in_flight);
        let sessions = self.new_sessions(Arc::clone(&entry) as Arc<dyn PeerHandler>);
        entry.set_peers(Arc::clone(&sessions));
        let server = self.bind_http(address, routes::routes(Arc::clone(&entry))).await?;
        let bound = server
            .local_addr()
            .map_err(|source| StartError::Bind { address, source })?;
        let counts = server.counts();
        self.tasks.spawn(server.serve(self.phase.subscribe()));
        self.tasks.spawn(fleet_updater::run(Arc::clone(&entry)));
        Ok((entry, sessions, bound, counts))
    }

    fn start_leaf(&mut self) -> (Arc<Leaf>, Arc<Peers>, mpsc::UnboundedReceiver<InstanceId>) {
        let tickets = self.settings.limits.tickets as usize;
        let (leaf, confirmations) = Leaf::new(Arc::clone(&self.node), tickets);
        let sessions = self.new_sessions(Arc::clone(&leaf) as Arc<dyn PeerHandler>);
        leaf.set_peers(Arc::clone(&sessions));
        let (lane_events, receiver) = mpsc::channel(LANE_EVENT_CAPACITY);
        self.tasks.spawn(Arc::clone(&leaf).run_lane_events(receiver));
        self.tasks.spawn(Arc::clone(leaf.submissions()).run());
        let queue = self.settings.limits.queue as usize;
        let manager = LaneManager::new(Arc::clone(&leaf), lane_events, queue, SmallRng::from_rng(&mut self.rng));
        self.tasks.spawn(manager.run());
        (leaf, sessions, confirmations)
    }

    fn new_sessions(&self, handler: Arc<dyn PeerHandler>) -> Arc<Peers> {
        Peers::new(self.node.identity.hello(0), handler, self.node.log.clone())
    }

    fn start_control(&mut self, sessions: &Arc<Peers>, listener: TcpListener, inputs: mpsc::Receiver<ControlInput>) {
        let platform = PlatformClient::new(self.settings.platform.0);
        let reader = PlatformReader::new(Arc::clone(&self.node), platform, ASSUMED_FLEET_SIZE);
        let seeds = self
            .settings
            .seeds
            .iter()
            .map(|seed| (seed.instance.clone(), seed.address.0));
        let control = ControlContext {
            node: Arc::clone(&self.node),
            peers: Arc::clone(sessions),
            reader: reader.clone(),
            seeds: seeds.collect::<IndexMap<_, _>>(),
            rng: SmallRng::from_rng(&mut self.rng),
        };
        self.tasks.spawn(Arc::clone(sessions).listen(listener));
        self.tasks.spawn(control::run(control, inputs));
        self.tasks.spawn(reader.poll_list(self.rng.random()));
    }
}

impl RunningProgram {
    /// Returns whether a session with `peer` is open.
    #[must_use]
    pub fn has_session(&self, peer: &str) -> bool {
        self.sessions.session(peer).is_some()
    }

    /// Returns whether a leaf has lanes and each of them has an open connection. Always `false` for an entry.
    #[must_use]
    pub fn is_connected_to_searchers(&self) -> bool {
        let RunningRole::Leaf(leaf) = &self.role else {
            return false;
        };
        let lanes = leaf.lanes();
        let states = lanes.values().map(LaneHandle::state);
        !lanes.is_empty()
            && states
                .into_iter()
                .all(|state| state.is_some_and(|state| state.open > 0))
    }

    /// Runs a planned stop, shuts the program down and returns the outcome of the stop.
    pub async fn stop(mut self) -> Outcome {
        let successors = match &self.role {
            RunningRole::Entry(_) => IndexSet::new(),
            RunningRole::Leaf(leaf) => leaf.successors(),
        };
        let mut confirmations = std::mem::replace(&mut self.confirmations, mpsc::unbounded_channel().1);
        let timer = self.node.timer.clone();
        let log = self.node.log.clone();
        let settings = self.drain;
        let outcome = stop::run(&mut self, settings, successors, &mut confirmations, &timer, &log).await;
        self.shut_down().await;
        outcome
    }

    /// Shuts the program down without a planned stop, for tests that simulate a crash.
    pub async fn kill(mut self) {
        self.shut_down().await;
    }

    async fn shut_down(&mut self) {
        self.sessions.close();
        self.tasks.shutdown().await;
        if let RunningRole::Leaf(leaf) = &self.role {
            leaf.close_lanes().await;
        }
    }

    fn send_go_away(&self, drain: Duration) {
        let drain_us = u64::try_from(drain.as_micros()).unwrap_or(u64::MAX);
        for session in self.sessions.sessions().values() {
            let _closed = session.send(Body::GoAway(proto::GoAway { drain_us }));
        }
    }
}

impl Stoppable for RunningProgram {
    fn in_flight(&self) -> usize {
        match &self.role {
            RunningRole::Entry(entry) => entry.in_flight() + self.counts.unsent(),
            RunningRole::Leaf(leaf) => leaf.in_flight(),
        }
    }

    fn connections(&self) -> usize {
        self.counts.open()
    }

    fn apply(&mut self, action: drain::Action) {
        match action {
            drain::Action::SetNotReady => {
                self.node.begin_stop();
                self.phase.send_replace(ServePhase::Notice);
            }
            drain::Action::SendGoAway { drain } => self.send_go_away(drain),
            drain::Action::CloseListener => {
                self.phase.send_replace(ServePhase::Finishing);
                if let RunningRole::Leaf(leaf) = &self.role {
                    leaf.refuse_new_work();
                }
                self.node.leave_placement();
            }
            // The HTTP server closes idle connections itself in its finishing phase.
            drain::Action::CloseIdle | drain::Action::Exit(_) => {}
        }
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartError::Bind { address, source })
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, StartError> {
    listener
        .local_addr()
        .map_err(|source| StartError::Bind { address, source })
}
