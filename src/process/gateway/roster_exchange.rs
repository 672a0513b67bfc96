//! Exchanges rosters with other instances: sends one to a partner in every interval, and serves the exchanges that
//! others start.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_util::SinkExt;
use futures_util::StreamExt;
use rand::Rng;
use rand::rngs::SmallRng;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::process::discovery::Change;
use crate::process::discovery::Position;
use crate::process::gateway::Gateway;
use crate::process::gateway::followers;
use crate::process::gateway::rate_limits;
use crate::process::gateway::relay;
use crate::process::gossip::InstanceCount;
use crate::wire::codec::CodecError;
use crate::wire::codec::FrameCodec;
use crate::wire::proto;
use crate::wire::proto::frame::Body;

/// Timeout of one exchange. It covers many round trips, and an unresponsive partner costs only one round.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after the start in which an instance waits for the answer of another one before it is ready. When all instances
/// start at once, the first exchanges may fail.
const PEERS_WAIT: Duration = Duration::from_secs(1);

/// Time for which a connection waits for the next request of the instance that opened it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay after a failed accept. Without it, a lack of file descriptors would cause a busy loop.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Error of an exchange with another instance.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    #[error("{0}")]
    Frame(#[from] CodecError),
    #[error("connection closed by the other instance")]
    Closed,
}

impl Gateway {
    /// Returns the roster to send to another instance. `requester` is the roster received from it. Platform values are
    /// included only if it cannot read the platform and its position is older.
    fn roster(&self, requester: Option<&proto::Roster>) -> proto::Roster {
        let now = Instant::now();
        let members = self.gossip.lock().unwrap_or_else(PoisonError::into_inner).members(now);
        let platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
        let position = platform.position.unwrap_or_default();
        let sends_values = requester.is_some_and(|requester| requester.cut && roster_position(requester) < position);
        let revision = platform.routing.as_ref().map_or(0, |routing| routing.revision);
        let requested = requester.and_then(|requester| requester.revision);
        let needs_configuration = requested.is_some_and(|requested| requested < revision && !sends_values);
        let outdated = requested.map(|_revision| relay::outdated_entries(&platform.directory));
        proto::Roster {
            members,
            era: position.era,
            position: position.revision,
            cut: platform.directory.is_platform_lost() || platform.position.is_none(),
            values: if sends_values {
                platform.relayed_values()
            } else {
                Vec::new()
            },
            limits: rate_limits::recent_notices(&platform.directory, now),
            revision: self.may_lack_state(&platform.directory).then_some(revision),
            configuration: needs_configuration.then(|| platform.relayed_configuration()).flatten(),
            outdated: outdated.unwrap_or_default(),
            suspects: self.suspect_reports(now),
        }
    }

    /// Applies a roster received from another instance.
    fn on_roster(&self, roster: proto::Roster) {
        let now = Instant::now();
        let mut gossip = self.gossip.lock().unwrap_or_else(PoisonError::into_inner);
        let before = gossip.count();
        gossip.on_members(&roster.members, now);
        let count = gossip.count();
        drop(gossip);
        if count != before {
            self.on_instances(before, count);
        }
        self.on_peer_limits(&roster.limits, now);
        self.on_peer_suspects(&roster.suspects, now);
        self.on_peers_asked();
        let position = roster_position(&roster);
        if let Some(stored) = roster.configuration {
            self.on_relayed_configuration(stored.into());
        }
        self.on_peer_outdated(&roster.outdated, now);
        if roster.values.is_empty() {
            return;
        }
        let changes = roster.values.into_iter().map(Change::from);
        self.on_relayed(changes.collect(), position);
    }

    /// Removes expired instances, and returns the partner of the next exchange and the time until the one after.
    fn next_exchange(&self, rng: &mut SmallRng) -> (Option<SocketAddr>, Duration) {
        let is_unreachable = self.is_platform_unreachable();
        let is_restoring = self.is_restoring();
        let mut gossip = self.gossip.lock().unwrap_or_else(PoisonError::into_inner);
        let before = gossip.count();
        gossip.on_tick(Instant::now());
        let count = gossip.count();
        let next = (gossip.next_peer(rng), gossip.interval(is_unreachable || is_restoring));
        drop(gossip);
        if count != before {
            self.on_instances(before, count);
        }
        self.update_limit_shares();
        self.expire_suspects(Instant::now());
        next
    }

    /// Records that another instance has told what it knows, or that none could be asked.
    fn on_peers_asked(&self) {
        if !self.has_asked_peers.swap(true, Ordering::Relaxed) {
            let platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
            self.update_readiness(&platform);
        }
    }

    fn on_instances(&self, before: InstanceCount, count: InstanceCount) {
        info!(self.log, "instances"; "before" => before.all, "all" => count.all, "local" => count.local);
        let platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
        self.put_in_effect(&platform);
    }
}

/// Returns the position up to which the sender of a roster has read the platform.
const fn roster_position(roster: &proto::Roster) -> Position {
    Position {
        era: roster.era,
        revision: roster.position,
    }
}

/// Exchanges rosters with other instances until the process ends.
pub(super) async fn run_exchanges(gateway: Arc<Gateway>, mut rng: SmallRng) {
    loop {
        let (partner, interval) = gateway.next_exchange(&mut rng);
        if let Some(partner) = partner {
            let exchange = tokio::time::timeout(EXCHANGE_TIMEOUT, exchange(&gateway, partner)).await;
            let error = match exchange {
                Ok(Ok(())) => None,
                Ok(Err(error)) => Some(error.to_string()),
                Err(_elapsed) => Some("timed out".into()),
            };
            if let Some(error) = error {
                info!(gateway.log, "exchange_failed"; "partner" => %partner, "error" => error);
            }
        }
        if partner.is_none() || gateway.started_at.elapsed() >= PEERS_WAIT {
            gateway.on_peers_asked();
        }
        tokio::time::sleep(interval.mul_f64(rng.random_range(0.8..1.2))).await;
    }
}

async fn exchange(gateway: &Gateway, partner: SocketAddr) -> Result<(), ExchangeError> {
    let stream = TcpStream::connect(partner).await?;
    let mut framed = Framed::new(stream, FrameCodec::new());
    framed.send(Body::Roster(Box::new(gateway.roster(None)))).await?;
    match framed.next().await {
        Some(Ok(Body::Roster(roster))) => gateway.on_roster(*roster),
        Some(Err(error)) => return Err(error.into()),
        Some(Ok(_)) | None => return Err(ExchangeError::Closed),
    }
    Ok(())
}

/// Accepts connections of other instances until the process ends.
pub(super) async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let gateway = Arc::clone(&gateway);
                tokio::spawn(async move {
                    // The instance that opened the connection logs the failure.
                    let _logged_there = reply(&gateway, stream).await;
                });
            }
            Err(error) => {
                warn!(gateway.log, "accept_failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

/// Serves a single roster exchange, takes news about requests, or serves all requests of an instance that follows this one.
async fn reply(gateway: &Gateway, stream: TcpStream) -> Result<(), ExchangeError> {
    let mut framed = Framed::new(stream, FrameCodec::new());
    loop {
        let request = tokio::time::timeout(REQUEST_TIMEOUT, framed.next()).await;
        let Ok(Some(request)) = request else {
            return Err(ExchangeError::Closed);
        };
        let (reply, is_last) = match request? {
            Body::Roster(request) => {
                let roster = gateway.roster(Some(&request));
                gateway.on_roster(*request);
                (Body::Roster(Box::new(roster)), true)
            }
            Body::Suspects(suspects) => {
                gateway.on_peer_suspects(&suspects.requests, Instant::now());
                return Ok(());
            }
            Body::Follow(request) => (Body::Followed(followers::serve(gateway, request).await), false),
            _ => return Err(ExchangeError::Closed),
        };
        let sent = tokio::time::timeout(EXCHANGE_TIMEOUT, framed.send(reply)).await;
        sent.map_err(|_elapsed| ExchangeError::Closed)??;
        if is_last {
            return Ok(());
        }
    }
}
