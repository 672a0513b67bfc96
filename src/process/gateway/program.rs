//! Runs a gateway from its settings until its planned stop has ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexSet;
use prometheus_client::registry::Registry;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::Logger;
use slog::info;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::process::admin;
use crate::process::catalogue;
use crate::process::catalogue::Catalogue;
use crate::process::catalogue::Decoder;
use crate::process::drain;
use crate::process::drain::Outcome;
use crate::process::gateway::Gateway;
use crate::process::gateway::GatewaySettings;
use crate::process::gateway::HeaderNames;
use crate::process::gateway::neighbours;
use crate::process::http::Handler;
use crate::process::http::HttpLimits;
use crate::process::http::HttpServer;
use crate::process::http::ServePhase;
use crate::process::program::StartError;
use crate::process::stop;
use crate::process::stop::Stoppable;
use crate::process::timer::Clock;
use crate::process::timer::Timer;

/// Time of a planned stop in which new connections still come: the balancer asks once a second and needs two misses.
const NOTICE: Duration = Duration::from_millis(2300);

/// Time before the end by force at which a stop gives up on requests in flight, so that they still get an answer.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Interval at which entries that lapsed are judged.
const JUDGE_INTERVAL: Duration = Duration::from_millis(250);

/// A gateway that runs.
struct Running {
    gateway: Arc<Gateway>,
    phase: watch::Sender<ServePhase>,
    open: Arc<AtomicUsize>,
}

impl Stoppable for Running {
    fn in_flight(&self) -> usize {
        self.gateway.in_flight()
    }

    fn connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    fn apply(&mut self, action: drain::Action) {
        match action {
            drain::Action::SetNotReady => {
                self.gateway.begin_stop();
                self.phase.send_replace(ServePhase::Closing);
            }
            drain::Action::CloseListener => {
                self.phase.send_replace(ServePhase::Ending);
            }
            // The server closes idle connections itself when it is ending, and a gateway has no peers to tell.
            drain::Action::CloseIdle | drain::Action::SendGoAway { .. } | drain::Action::Exit(_) => {}
        }
    }
}

/// Runs a gateway until a signal asks for a planned stop, and returns how the stop ended.
///
/// # Errors
///
/// Fails when an address cannot be bound or a signal cannot be handled.
pub async fn run(
    settings: GatewaySettings,
    names: HeaderNames,
    decoder: Decoder,
    catalogue: impl Catalogue + 'static,
    seed: u64,
    log: Logger,
) -> eyre::Result<Outcome> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let mut rng = SmallRng::seed_from_u64(seed);
    let (gateway, registry) = Gateway::new(settings, names, decoder, log.clone());
    let settings = gateway.settings.clone();
    let mut tasks = JoinSet::new();
    let (phase, _) = watch::channel(ServePhase::Serving);
    let callers = bind(settings.callers, Handler::Gateway(Arc::clone(&gateway)), &log).await?;
    let open = callers.open_connections();
    tasks.spawn(callers.serve(phase.subscribe()));
    serve_admin(&gateway, registry, &mut tasks).await?;
    info!(log, "started"; "callers" => %settings.callers, "readiness" => %settings.readiness,
        "metrics" => %settings.metrics, "data_centre" => &*settings.data_centre);
    let peers = TcpListener::bind(settings.peers)
        .await
        .map_err(|source| StartError::Bind {
            address: settings.peers,
            source,
        })?;
    tasks.spawn(neighbours::answer(Arc::clone(&gateway), peers));
    tasks.spawn(neighbours::ask(Arc::clone(&gateway), SmallRng::from_rng(&mut rng)));
    tasks.spawn(catalogue::run(catalogue, Arc::clone(&gateway), rng));
    tasks.spawn(judge(Arc::clone(&gateway)));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            // Nothing in the settings can change while the process runs; the line shows that the signal was seen.
            _ = reload.recv() => info!(log, "reload"; "changes" => 0),
        }
    }
    let drain = drain::Settings {
        notice: NOTICE.min(settings.grace / 2),
        successor_wait: Duration::ZERO,
        hard_limit: settings.grace.saturating_sub(GRACE_MARGIN),
    };
    let mut running = Running { gateway, phase, open };
    let (_no_peers, mut confirmations) = mpsc::unbounded_channel();
    let timer = Timer::new(Clock::System);
    let successors = IndexSet::new();
    let outcome = stop::run(&mut running, drain, successors, &mut confirmations, &timer, &log).await;
    info!(log, "stopped"; "outcome" => ?outcome);
    Ok(outcome)
}

async fn serve_admin(gateway: &Arc<Gateway>, registry: Registry, tasks: &mut JoinSet<()>) -> eyre::Result<()> {
    let settings = &gateway.settings;
    let routes = admin::routes(registry, gateway.readiness(), Some(&settings.ready_path));
    let handler = Handler::Routes(Arc::new(routes));
    for address in [settings.readiness, settings.metrics] {
        let server = bind(address, handler.clone(), &gateway.log).await?;
        tasks.spawn(async move {
            // The balancer and operators are answered until the process ends.
            let (_serving, never_ends) = watch::channel(ServePhase::Serving);
            server.serve(never_ends).await;
        });
    }
    Ok(())
}

async fn bind(address: SocketAddr, handler: Handler, log: &Logger) -> Result<HttpServer, StartError> {
    let bound = HttpServer::bind(address, handler, HttpLimits::default(), log.clone()).await;
    bound.map_err(|source| StartError::Bind { address, source })
}

async fn judge(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(JUDGE_INTERVAL).await;
        gateway.on_tick();
    }
}
