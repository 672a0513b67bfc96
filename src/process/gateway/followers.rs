//! One instance of a data centre reads the platform, and the others follow it.
//!
//! Load pattern: a hundred instances that each wait for the same changes cost a hundred calls for each change. In each data
//! centre one instance, chosen from the known members without messages ([`Gossip::source`]), reads the platform; the others
//! wait for changes there. A follower reads the platform itself as soon as its reader is silent, cannot read, does
//! not know the position or follows somebody itself. See "Readers" in `docs/design/large-fleets.md`.
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

/// Time for which a follower waits at its reader, so that one that fell silent is noticed.
const FOLLOW_WAIT: Duration = Duration::from_secs(1);

/// Time beyond it in which the answer must come. The two are in one data centre.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);

/// Time for which an instance reads the platform itself after its reader failed.
const FALLBACK_TIME: Duration = Duration::from_secs(5);

/// Connection to the reader.
type ReaderConnection = Framed<TcpStream, FrameCodec>;

/// Reads the platform, or follows another instance that does.
#[derive(Debug)]
pub(super) struct FollowingCatalogue<C> {
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
    #[error("no answer in time")]
    TimedOut,
    #[error("it does not read the platform now, or does not know the position")]
    Stale,
}

impl<C: PlatformClient> FollowingCatalogue<C> {
    /// Reads `platform` unless another instance can be followed.
    pub(super) const fn new(platform: C, gateway: Arc<Gateway>) -> Self {
        Self {
            platform,
            gateway,
            reader: None,
            fallback_until: None,
        }
    }

    /// Returns the instance to follow now. While entries that lapsed are in doubt there is none: the view of another instance
    /// is older than a read of the platform, and a server that is gone would be asked for longer.
    fn source(&self, now: Instant) -> Option<SocketAddr> {
        let is_fallback = self.fallback_until.is_some_and(|until| now < until);
        if is_fallback || self.gateway.doubtful_until().is_some() || self.gateway.needs_platform_check() {
            return None;
        }
        match self.gateway.source() {
            Source::Platform => None,
            Source::Instance(address) => Some(address),
        }
    }

    async fn follow(&mut self, address: SocketAddr, position: Position) -> Result<Changes, FollowError> {
        let time = FOLLOW_WAIT + ANSWER_MARGIN;
        let exchange = async {
            let mut reader = match self.reader.take() {
                Some((connected, reader)) if connected == address => reader,
                _ => Framed::new(TcpStream::connect(address).await?, FrameCodec::new()),
            };
            let wait_ms = u64::try_from(FOLLOW_WAIT.as_millis()).unwrap_or(u64::MAX);
            reader.send(Body::Follow(proto::Follow { position, wait_ms })).await?;
            match reader.next().await {
                Some(Ok(Body::Followed(followed))) => Ok((reader, followed)),
                Some(Err(error)) => Err(error.into()),
                Some(Ok(_)) | None => Err(ExchangeError::Closed),
            }
        };
        let result = tokio::time::timeout(time, exchange).await;
        let (reader, followed) = result.map_err(|_elapsed| FollowError::TimedOut)??;
        if followed.stale || followed.position < position {
            return Err(FollowError::Stale);
        }
        self.reader = Some((address, reader));
        let changes = followed.changes.into_iter().map(|change| Change {
            key: change.key.into(),
            value: change.value,
        });
        Ok(Changes {
            changes: changes.collect(),
            position: followed.position,
            is_complete: followed.complete,
            origin: Origin::Instance {
                age: Duration::from_micros(followed.age_us),
            },
        })
    }
}

impl<C: PlatformClient> PlatformClient for FollowingCatalogue<C> {
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
                }
            }
        }
        self.platform.read_changes(position, wait).await
    }
}

/// Answers an instance that follows this one: with the changes after its position as soon as there are some, and without
/// any when the time is over.
pub(super) async fn serve(gateway: &Gateway, request: proto::Follow) -> proto::Followed {
    let mut read_ended = gateway.read_ended.subscribe();
    let end = tokio::time::Instant::now() + Duration::from_millis(request.wait_ms).min(FOLLOW_WAIT);
    loop {
        let followed = gateway.changes_since(request.position);
        let has_changes = followed.stale || !followed.changes.is_empty();
        if has_changes || tokio::time::timeout_at(end, read_ended.changed()).await.is_err() {
            return followed;
        }
    }
}
