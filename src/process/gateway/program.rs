//! Runs a gateway process from its start to the end of its planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use prometheus_client::registry::Registry;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::process::admin;
use crate::process::discovery;
use crate::process::discovery::Decoder;
use crate::process::discovery::PlatformClient;
use crate::process::drain;
use crate::process::drain::Outcome;
use crate::process::gateway::Gateway;
use crate::process::gateway::GatewaySettings;
use crate::process::gateway::HeaderNames;
use crate::process::gateway::followers::FollowingClient;
use crate::process::gateway::rate_limits;
use crate::process::gateway::reachability;
use crate::process::gateway::roster_exchange;
use crate::process::gateway::suspects;
use crate::process::gossip::InstanceCount;
use crate::process::http::ConnectionCounts;
use crate::process::http::Handler;
use crate::process::http::HttpLimits;
use crate::process::http::HttpServer;
use crate::process::http::ServePhase;
use crate::process::program::StartError;
use crate::process::stop;
use crate::process::stop::Stoppable;
use crate::process::timer::Clock;
use crate::process::timer::Timer;

/// Time after the start of a planned stop during which new connections are still accepted: the load balancer checks
/// readiness once a second and needs two failed checks.
const NOTICE_TIME: Duration = Duration::from_millis(2300);

/// Time before the process is killed at which a stop gives up on requests in progress, so that they still get an
/// answer.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Interval at which the settings are reloaded. No setting has to take effect sooner.
pub const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Running gateway. Dropping it ends it at once, as if its process were killed.
#[derive(Debug)]
pub struct Running {
    /// Address for callers, with the port that was bound.
    pub callers: SocketAddr,
    /// Address for readiness checks, with the port that was bound.
    pub readiness: SocketAddr,
    /// Address for other instances, with the port that was bound.
    pub peers: SocketAddr,
    gateway: Arc<Gateway>,
    phase: watch::Sender<ServePhase>,
    counts: ConnectionCounts,
    tasks: JoinSet<()>,
}

impl Stoppable for Running {
    fn in_flight(&self) -> usize {
        self.gateway.in_flight() + self.counts.unsent()
    }

    fn connections(&self) -> usize {
        self.counts.open()
    }

    fn apply(&mut self, action: drain::Action) {
        match action {
            drain::Action::SetNotReady => {
                self.gateway.begin_stop();
                self.phase.send_replace(ServePhase::Notice);
            }
            drain::Action::CloseListener => {
                self.phase.send_replace(ServePhase::Finishing);
            }
            drain::Action::SendGoAway { drain } => self.gateway.set_stop_time(drain),
            // An ending HTTP server closes idle connections itself.
            drain::Action::CloseIdle | drain::Action::Exit(_) => {}
        }
    }
}

/// Runs a gateway until a signal requests a planned stop, and returns the outcome of the stop. `reload` reads the
/// settings again. It is called after SIGHUP and every [`RELOAD_INTERVAL`], since settings may also change without a
/// signal.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a signal handler cannot be installed.
pub async fn run(
    settings: GatewaySettings,
    header_names: HeaderNames,
    decoder: Decoder,
    client: impl PlatformClient + 'static,
    reload: impl Fn() -> eyre::Result<GatewaySettings>,
    log: Logger,
) -> eyre::Result<Outcome> {
    // The handlers are installed before the first request, so that no signal kills the process without a planned stop.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut current = settings.clone();
    let seed = rand::rng().random();
    let running = start(settings, header_names, decoder, client, seed, log.clone()).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => info!(log, "reload_asked"),
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
        }
        match reload() {
            Ok(settings) if settings != current => {
                running.reload(&settings);
                current = settings;
            }
            Ok(_unchanged) => {}
            Err(error) => warn!(log, "settings_refused"; "error" => format!("{error:#}")),
        }
    }
    Ok(running.stop().await)
}

/// Starts a gateway, and returns once it listens on all its addresses. `seed` seeds the random choices of its
/// background tasks.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn start(
    settings: GatewaySettings,
    header_names: HeaderNames,
    decoder: Decoder,
    client: impl PlatformClient + 'static,
    seed: u64,
    log: Logger,
) -> eyre::Result<Running> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let peers = bind_peers(settings.peers).await?;
    let peers_address = peers.local_addr()?;
    let settings = GatewaySettings {
        peers: peers_address,
        ..settings
    };
    let (gateway, registry) = Gateway::new(settings, header_names, decoder, log.clone());
    let settings = &gateway.settings;
    let mut tasks = JoinSet::new();
    let phase = watch::Sender::new(ServePhase::Serving);
    let server = bind(settings.callers, Handler::Gateway(Arc::clone(&gateway)), &log).await?;
    let callers = server.local_addr()?;
    let counts = server.counts();
    tasks.spawn(server.serve(phase.subscribe()));
    let readiness = serve_admin(&gateway, registry, &mut tasks).await?;
    info!(log, "started"; "callers" => %callers, "readiness" => %readiness, "peers" => %peers_address,
        "metrics" => %settings.metrics, "data_centre" => &*settings.data_centre);
    tasks.spawn(roster_exchange::serve(Arc::clone(&gateway), peers));
    tasks.spawn(roster_exchange::run_exchanges(
        Arc::clone(&gateway),
        SmallRng::from_rng(&mut rng),
    ));
    tasks.spawn(reachability::watch(Arc::clone(&gateway)));
    tasks.spawn(suspects::send_news(Arc::clone(&gateway)));
    tasks.spawn(rate_limits::report(Arc::clone(&gateway)));
    let client = FollowingClient::new(client, Arc::clone(&gateway));
    tasks.spawn(discovery::run(client, Arc::clone(&gateway), rng));
    Ok(Running {
        callers,
        readiness,
        peers: peers_address,
        gateway,
        phase,
        counts,
        tasks,
    })
}

impl Running {
    /// Returns the number of instances known to this one.
    #[must_use]
    pub fn instances(&self) -> InstanceCount {
        self.gateway.instances()
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.gateway.in_flight()
    }

    /// Returns whether the last read of the platform failed, or no state was received from it yet.
    #[must_use]
    pub fn is_platform_unreachable(&self) -> bool {
        self.gateway.is_platform_unreachable()
    }

    /// Applies reloaded settings.
    pub fn reload(&self, settings: &GatewaySettings) {
        self.gateway.apply_settings(settings);
    }

    /// Runs a planned stop and returns its outcome.
    pub async fn stop(mut self) -> Outcome {
        let grace = self.gateway.settings.grace;
        let log = self.gateway.log.clone();
        let drain = drain::Settings {
            notice: NOTICE_TIME.min(grace / 2),
            successor_wait: Duration::ZERO,
            hard_limit: grace.saturating_sub(GRACE_MARGIN),
        };
        let (_no_peers, mut confirmations) = mpsc::unbounded_channel();
        let timer = Timer::new(Clock::System);
        let outcome = stop::run(&mut self, drain, IndexSet::new(), &mut confirmations, &timer, &log).await;
        self.tasks.shutdown().await;
        info!(log, "stopped"; "outcome" => ?outcome);
        outcome
    }
}

async fn bind_peers(address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartError::Bind { address, source })
}

/// Serves readiness and metrics, and returns the address for readiness.
async fn serve_admin(gateway: &Arc<Gateway>, registry: Registry, tasks: &mut JoinSet<()>) -> eyre::Result<SocketAddr> {
    let settings = &gateway.settings;
    let routes = admin::routes(registry, gateway.readiness(), Some(&settings.ready_path));
    let handler = Handler::Routes(Arc::new(routes));
    let readiness = bind(settings.readiness, handler.clone(), &gateway.log).await?;
    let address = readiness.local_addr()?;
    tasks.spawn(serve_forever(readiness));
    // Requests are served even if the metrics address cannot be bound.
    match bind(settings.metrics, handler, &gateway.log).await {
        Ok(metrics) => {
            tasks.spawn(serve_forever(metrics));
        }
        Err(error) => warn!(gateway.log, "metrics_unavailable"; "error" => %error),
    }
    Ok(address)
}

/// Serves HTTP until the process ends.
async fn serve_forever(server: HttpServer) {
    let (_serving, phase) = watch::channel(ServePhase::Serving);
    server.serve(phase).await;
}

async fn bind(address: SocketAddr, handler: Handler, log: &Logger) -> Result<HttpServer, StartError> {
    let bound = HttpServer::bind(address, handler, HttpLimits::default(), log.clone()).await;
    bound.map_err(|source| StartError::Bind { address, source })
}
