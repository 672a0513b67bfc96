//! Framed TCP session between two processes of the tier.
//!
//! A session has one reader and one writer task. Its outgoing queue is bounded, and a peer that does not read is
//! disconnected once the queue is full, so that a slow peer never delays other sessions.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::sync::CancellationToken;

use crate::wire::codec::CodecError;
use crate::wire::codec::FrameCodec;
use crate::wire::codec::PROTOCOL_VERSION;
use crate::wire::proto::Hello;
use crate::wire::proto::frame::Body;

/// Capacity of the queues of a session, in frames, for each direction.
pub const QUEUE_FRAMES: usize = 4096;

/// Maximum number of frames written before a flush. Batching saves system calls under load.
const FLUSH_FRAMES: usize = 64;

/// Time within which a peer must send its `Hello`.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Identifier of a session, unique in its process.
pub type SessionId = u64;

static NEXT_SESSION_ID: AtomicU64 = AtomicU64::new(1);

/// Reason why a session could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// The connection failed.
    #[error("cannot connect to peer: {0}; check its address and that it is running")]
    Connect(#[from] io::Error),
    /// Reading or writing a frame failed.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The first frame of the peer was not a `Hello` or did not arrive in time, or the peer closed the connection
    /// before.
    #[error("peer did not start with a hello within {HELLO_TIMEOUT:?}; check that the address is a peer port")]
    NoHello,
    /// The peer uses another version of the protocol.
    #[error("peer uses protocol version {0}, this process {PROTOCOL_VERSION}; upgrade the older one")]
    Protocol(u32),
}

/// Event of a session.
#[derive(Debug)]
pub enum SessionEvent {
    /// A frame arrived.
    Frame(Body),
    /// The session is closed. No event follows.
    Closed,
}

/// Sending half of a session. Clones refer to the same session.
#[derive(Debug, Clone)]
pub struct SessionHandle {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    id: SessionId,
    peer: Hello,
    frames: mpsc::Sender<Body>,
    closed: CancellationToken,
    reported: AtomicBool,
}

/// Error returned when the session is closed, or was just closed because the peer does not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("session is closed; reconnect to the peer")]
pub struct SessionClosed;

impl SessionHandle {
    /// Returns the identifier of the session.
    #[must_use]
    pub fn id(&self) -> SessionId {
        self.inner.id
    }

    /// Returns the `Hello` of the peer.
    #[must_use]
    pub fn peer(&self) -> &Hello {
        &self.inner.peer
    }

    /// Queues a frame for sending.
    ///
    /// # Errors
    ///
    /// Fails when the session is closed. A full queue closes the session.
    pub fn send(&self, body: Body) -> Result<(), SessionClosed> {
        if self.inner.frames.try_send(body).is_ok() {
            return Ok(());
        }
        self.close();
        Err(SessionClosed)
    }

    /// Closes the session. Queued frames are dropped.
    pub fn close(&self) {
        self.inner.closed.cancel();
    }

    /// Returns whether the session is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.inner.closed.is_cancelled()
    }

    /// Returns `true` to the first caller only, which must then report the end of the session.
    #[must_use]
    pub fn mark_reported(&self) -> bool {
        !self.inner.reported.swap(true, Ordering::AcqRel)
    }

    /// Waits until the session is closed.
    pub async fn closed(&self) {
        self.inner.closed.cancelled().await;
    }
}

/// Connects to a peer, exchanges `Hello` frames and starts the session.
///
/// # Errors
///
/// Fails when the connection cannot be opened within `timeout`, or when the exchange of `Hello` frames fails.
pub async fn connect(
    address: SocketAddr,
    hello: Hello,
    timeout: Duration,
) -> Result<(SessionHandle, mpsc::Receiver<SessionEvent>), SessionError> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    open(stream, hello).await
}

/// Exchanges `Hello` frames on an accepted or connected stream and starts the session.
///
/// # Errors
///
/// Fails when the stream fails, or when the peer sends no valid `Hello` in time.
pub async fn open(
    stream: TcpStream,
    hello: Hello,
) -> Result<(SessionHandle, mpsc::Receiver<SessionEvent>), SessionError> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let mut reader = FramedRead::new(read, FrameCodec::new());
    let mut writer = FramedWrite::new(write, FrameCodec::new());
    writer.send(Body::Hello(hello)).await?;
    let peer = read_hello(&mut reader).await?;
    let (frames, outgoing) = mpsc::channel(QUEUE_FRAMES);
    let (events, incoming) = mpsc::channel(QUEUE_FRAMES);
    let closed = CancellationToken::new();
    let id = NEXT_SESSION_ID.fetch_add(1, Ordering::Relaxed);
    tokio::spawn(write_loop(writer, outgoing, closed.clone()));
    tokio::spawn(read_loop(reader, events, closed.clone()));
    let inner = Arc::new(Inner {
        id,
        peer,
        frames,
        closed,
        reported: AtomicBool::new(false),
    });
    Ok((SessionHandle { inner }, incoming))
}

async fn read_hello(reader: &mut FramedRead<OwnedReadHalf, FrameCodec>) -> Result<Hello, SessionError> {
    let first = tokio::time::timeout(HELLO_TIMEOUT, reader.next()).await;
    match first {
        Ok(Some(Ok(Body::Hello(peer)))) if peer.protocol == PROTOCOL_VERSION => Ok(peer),
        Ok(Some(Ok(Body::Hello(peer)))) => Err(SessionError::Protocol(peer.protocol)),
        Ok(Some(Err(error))) => Err(SessionError::Codec(error)),
        Ok(Some(Ok(_)) | None) | Err(_) => Err(SessionError::NoHello),
    }
}

async fn write_loop(
    mut writer: FramedWrite<OwnedWriteHalf, FrameCodec>,
    mut outgoing: mpsc::Receiver<Body>,
    closed: CancellationToken,
) {
    let mut batch = Vec::with_capacity(FLUSH_FRAMES);
    loop {
        let received = tokio::select! {
            () = closed.cancelled() => break,
            received = outgoing.recv_many(&mut batch, FLUSH_FRAMES) => received,
        };
        if received == 0 || write_batch(&mut writer, &mut batch, &closed).await.is_err() {
            break;
        }
    }
    closed.cancel();
}

async fn write_batch(
    writer: &mut FramedWrite<OwnedWriteHalf, FrameCodec>,
    batch: &mut Vec<Body>,
    closed: &CancellationToken,
) -> Result<(), CodecError> {
    for body in batch.drain(..) {
        writer.feed(body).await?;
    }
    tokio::select! {
        () = closed.cancelled() => Err(CodecError::Transport(io::ErrorKind::ConnectionAborted.into())),
        flushed = writer.flush() => flushed,
    }
}

async fn read_loop(
    mut reader: FramedRead<OwnedReadHalf, FrameCodec>,
    events: mpsc::Sender<SessionEvent>,
    closed: CancellationToken,
) {
    loop {
        let frame = tokio::select! {
            () = closed.cancelled() => break,
            frame = reader.next() => frame,
        };
        let Some(Ok(body)) = frame else { break };
        if events.send(SessionEvent::Frame(body)).await.is_err() {
            break;
        }
    }
    closed.cancel();
    let _receiver_gone = events.send(SessionEvent::Closed).await;
}
