//! One instance of a data centre reads the platform, and the others follow it.
//!
//! If a hundred instances each waited for the same changes, every change would cost the platform a hundred calls. In
//! each data centre one instance, the reader, chosen from the known members without coordination messages
//! ([`Gossip::source`]), reads the platform, and the others wait for changes at that instance. A follower reads the
//! platform itself as soon as its reader does not respond, cannot read, does not know the position or is a follower
//! itself. See "Readers" in `docs/design/large-fleets.md`.
//!
//! [`Gossip::source`]: crate::process::gossip::Gossip::source

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::SinkExt;
use futures_util::StreamExt;
use slog::info;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::process::discovery;
use crate::process::discovery::Change;
use crate::process::discovery::Changes;
use crate::process::discovery::Origin;
use crate::process::discovery::PlatformClient;
use crate::process::discovery::Position;
use crate::process::discovery::ReadError;
use crate::process::gateway::Gateway;
use crate::process::gateway::roster_exchange::ExchangeError;
use crate::process::gossip::Source;
use crate::wire::codec::FrameCodec;
use crate::wire::proto;
use crate::wire::proto::frame::Body;

/// Time for which a follower waits for changes at its reader. It bounds the time until an unresponsive reader is
/// detected.
const FOLLOW_WAIT: Duration = Duration::from_secs(1);

/// Time on top of [`FOLLOW_WAIT`] in which the reply must arrive. Both instances are in one data centre.
const REPLY_MARGIN: Duration = Duration::from_millis(400);

/// Time for which an instance reads the platform itself after its reader failed.
const FALLBACK_TIME: Duration = Duration::from_secs(5);

/// Connection to the instance that reads the platform.
type ReaderConnection = Framed<TcpStream, FrameCodec>;

/// Platform client that follows another instance, or reads the platform directly.
#[derive(Debug)]
pub(super) struct FollowingClient<C> {
    platform: C,
    gateway: Arc<Gateway>,
    reader: Option<(SocketAddr, ReaderConnection)>,
    fallback_until: Option<Instant>,
}

/// Reason why a reader cannot be followed.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error("{0}")]
    Exchange(#[from] ExchangeError),
    #[error("timed out")]
    TimedOut,
    #[error("the reader has no current data or does not know the position")]
    Stale,
}

impl<C: PlatformClient> FollowingClient<C> {
    /// Creates a client that reads from `platform` directly whenever no other instance can be followed.
    pub(super) const fn new(platform: C, gateway: Arc<Gateway>) -> Self {
        Self {
            platform,
            gateway,
            reader: None,
            fallback_until: None,
        }
    }

    /// Returns the instance to follow, or `None` to read the platform directly. During the grace period for lapsed
    /// entries no instance is followed: the state of another instance is older than a read of the platform, so removed
    /// servers would receive requests for longer.
    fn source(&self, now: Instant) -> Option<SocketAddr> {
        let is_fallback = self.fallback_until.is_some_and(|until| now < until);
        if is_fallback || self.gateway.grace_until().is_some() || self.gateway.needs_platform_check() {
            return None;
        }
        match self.gateway.source() {
            Source::Platform => None,
            Source::Instance(address) => Some(address),
        }
    }

    async fn follow(&mut self, address: SocketAddr, position: Position) -> Result<Changes, FollowError> {
        let time = FOLLOW_WAIT + REPLY_MARGIN;
        let exchange = async {
            let mut reader = match self.reader.take() {
                Some((connected, reader)) if connected == address => reader,
                _ => Framed::new(TcpStream::connect(address).await?, FrameCodec::new()),
            };
            let wait_ms = u64::try_from(FOLLOW_WAIT.as_millis()).unwrap_or(u64::MAX);
            let request = proto::Follow {
                position: position.revision,
                wait_ms,
                era: position.era,
            };
            reader.send(Body::Follow(request)).await?;
            match reader.next().await {
                Some(Ok(Body::Followed(followed))) => Ok((reader, followed)),
                Some(Err(error)) => Err(error.into()),
                Some(Ok(_)) | None => Err(ExchangeError::Closed),
            }
        };
        let result = tokio::time::timeout(time, exchange).await;
        let (reader, followed) = result.map_err(|_elapsed| FollowError::TimedOut)??;
        let reached = Position {
            era: followed.era,
            revision: followed.position,
        };
        if followed.stale || reached.era != position.era || reached < position {
            return Err(FollowError::Stale);
        }
        self.reader = Some((address, reader));
        let changes = followed.changes.into_iter().map(|change| Change {
            key: change.key.into(),
            value: change.value,
        });
        Ok(Changes {
            changes: changes.collect(),
            position: reached,
            is_complete: followed.complete,
            origin: Origin::Instance {
                age: Duration::from_micros(followed.age_us),
            },
        })
    }
}

impl<C: PlatformClient> PlatformClient for FollowingClient<C> {
    async fn read_all(&mut self) -> Result<Changes, ReadError> {
        self.platform.read_all().await
    }

    async fn read_changes(&mut self, position: Position, wait: Duration) -> Result<Changes, ReadError> {
        let now = Instant::now();
        if let Some(address) = self.source(now) {
            match self.follow(address, position).await {
                Ok(changes) => return Ok(changes),
                Err(error) => {
                    let log = &self.gateway.log;
                    info!(log, "reader_left"; "reader" => %address, "error" => %error, "position" => position);
                    self.reader = None;
                    self.fallback_until = Some(Instant::now() + FALLBACK_TIME);
                    // The reader may have left because the platform was restored, which a waiting read shows only when
                    // its wait ends.
                    return self.platform.read_changes(position, discovery::MIN_WAIT).await;
                }
            }
        }
        self.platform.read_changes(position, wait).await
    }
}

/// Serves a request of a follower. Returns the changes after its position as soon as there are any, or an empty reply
/// when the wait time is over.
pub(super) async fn serve(gateway: &Gateway, request: proto::Follow) -> proto::Followed {
    let position = Position {
        era: request.era,
        revision: request.position,
    };
    let mut read_ended = gateway.read_ended.subscribe();
    let end = tokio::time::Instant::now() + Duration::from_millis(request.wait_ms).min(FOLLOW_WAIT);
    loop {
        let followed = gateway.changes_since(position);
        let has_changes = followed.stale || !followed.changes.is_empty();
        if has_changes || tokio::time::timeout_at(end, read_ended.changed()).await.is_err() {
            return followed;
        }
    }
}
