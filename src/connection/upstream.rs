//! HTTP/1.1 connections to one backend server over which whole requests are forwarded.
//!
//! A connection carries one request at a time and is kept for the next one while the server allows it. A connection on
//! which anything went wrong is closed and never used again. See "Forwarding" in `docs/design/platform.md`.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::connection::body::BodyMemory;
use crate::connection::body::PartialBody;
use crate::connection::read_limit::ReadBudget;
use crate::connection::read_limit::ReadLimited;

/// Bytes that may come before the head of an answer has ended, interim answers (1xx) included.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Bytes on the connection for each byte that the body may have. The rest is for the lengths of chunks.
const FRAMING_FACTOR: usize = 2;

/// Bytes that may come between two exchanges. None should; the library closes the connection at the first one.
const MAX_IDLE_BYTES: usize = 1;

/// Buffer of one connection, in bytes. Answers of a part have about 1 KB.
const BUFFER_BYTES: usize = 8 * 1024;

/// Longest wait for a new connection. It is many round trips between data centres; a server that does not accept within
/// it is treated as down.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time before the stated end of an idle connection from which it is not used, so that no request crosses its close.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Longest time that an idle connection is used when the server states no limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time that an exchange is given beyond its deadline, in which the server reports the end of the deadline itself.
const RESPONSE_GRACE: Duration = Duration::from_millis(30);

/// Sending side of a connection.
#[derive(Debug)]
struct Sender {
    requests: SendRequest<Full<Bytes>>,
    read_budget: ReadBudget,
}

/// Answer of a backend server, read to its end.
#[derive(Debug)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time from the sending of the request to the end of the answer, without the time to open a connection.
    pub latency: Duration,
}

/// What an exchange needs besides the request.
#[derive(Debug, Clone, Copy)]
pub struct ExchangeOptions<'a> {
    /// Time at which the caller gives up.
    pub deadline: Instant,
    /// Header with the identity of the request, which the server repeats in its answer. It tells the answer apart from
    /// one of an earlier request on the connection.
    pub id_header: (&'a HeaderName, &'a HeaderValue),
    /// Greatest size of the body of the answer, in bytes.
    pub max_body: usize,
    /// Memory for the body.
    pub memory: &'a BodyMemory,
}

impl ExchangeOptions<'_> {
    /// Tells whether an answer belongs to this request. An answer without an identity can only be told apart on a
    /// connection that carried no request before.
    fn matches(&self, response: &Response, is_new: bool) -> bool {
        let (name, id) = self.id_header;
        response.headers.get(name).map_or(is_new, |returned| returned == id)
    }
}

/// Failure of an exchange.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No connection could be opened, so nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// All connections of this instance to the server are in use, so nothing was sent.
    #[error("all connections are in use")]
    NoConnection,
    /// The time was over before anything was sent.
    #[error("no time left to send")]
    NoTimeLeft,
    /// The connection broke, or the answer is malformed or too large. The request may have run.
    #[error("connection broke: {0}")]
    Broken(Box<str>),
    /// The answer belongs to another request. The request may have run.
    #[error("answer of another request")]
    Foreign,
    /// No complete answer came in time. The request may have run.
    #[error("no complete answer in time")]
    TimedOut,
}

impl ExchangeError {
    /// Tells whether nothing was sent, so that the request has not run and never will.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NoConnection | Self::NoTimeLeft)
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    usable_until: Instant,
}

#[derive(Debug)]
struct Connections {
    idle: Vec<IdleConnection>,
    /// Connections in use or being opened.
    busy: u32,
    limit: u32,
    /// Connections opened since the start.
    opened: u64,
}

/// Connections to one server.
#[derive(Debug)]
pub struct UpstreamPool {
    address: SocketAddr,
    connections: Mutex<Connections>,
}

/// Counts a connection as in use until it is dropped.
#[derive(Debug)]
struct BusyGuard<'a>(&'a UpstreamPool);

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().busy -= 1;
    }
}

impl UpstreamPool {
    /// Makes a pool without connections.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connections: Mutex::new(Connections {
                idle: Vec::new(),
                busy: 0,
                limit: 1,
                opened: 0,
            }),
        }
    }

    /// Sets the number of connections that may be open at one time.
    pub fn set_limit(&self, limit: u32) {
        self.lock().limit = limit;
    }

    /// Tells whether a request can be sent now.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        let connections = self.lock();
        connections.busy < connections.limit
    }

    /// Returns the number of connections opened since the start.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.lock().opened
    }

    /// Closes the connections that carry no request, because one of their kind fell silent.
    pub fn close_idle(&self) {
        self.lock().idle.clear();
    }

    /// Sends one request and reads the whole answer. `build_request` makes the request for the time that is left when it is
    /// sent. Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// Tells by [`ExchangeError::is_unsent`] whether the request may have run.
    pub async fn exchange(
        &self,
        exchange: ExchangeOptions<'_>,
        build_request: impl FnOnce(Duration) -> Request<Full<Bytes>>,
    ) -> Result<Response, ExchangeError> {
        let deadline = exchange.deadline;
        let (busy, idle) = self.acquire()?;
        let is_new = idle.is_none();
        let mut sender = match idle {
            Some(sender) => sender,
            None => self.open(deadline).await?,
        };
        let sent = Instant::now();
        let remaining = deadline.saturating_duration_since(sent);
        if remaining.is_zero() {
            return Err(ExchangeError::NoTimeLeft);
        }
        let request = build_request(remaining);
        let limit = deadline + RESPONSE_GRACE;
        let response = tokio::time::timeout_at(limit.into(), send_and_receive(&mut sender, exchange, request)).await;
        let response = response.map_err(|_elapsed| ExchangeError::TimedOut)??;
        if !exchange.matches(&response, is_new) {
            return Err(ExchangeError::Foreign);
        }
        sender.read_budget.set(MAX_IDLE_BYTES);
        drop(busy);
        self.return_to_pool(sender, &response.headers);
        Ok(response)
    }

    /// Takes a connection, or the right to open one.
    fn acquire(&self) -> Result<(BusyGuard<'_>, Option<Sender>), ExchangeError> {
        let now = Instant::now();
        let mut connections = self.lock();
        if connections.busy >= connections.limit {
            return Err(ExchangeError::NoConnection);
        }
        connections.busy += 1;
        connections
            .idle
            .retain(|idle| idle.usable_until > now && !idle.sender.requests.is_closed());
        // The connection used last is the least likely to be closed by the server.
        let usable = connections
            .idle
            .iter()
            .rposition(|idle| idle.sender.requests.is_ready());
        let sender = usable.map(|ix| connections.idle.remove(ix).sender);
        drop(connections);
        Ok((BusyGuard(self), sender))
    }

    async fn open(&self, deadline: Instant) -> Result<Sender, ExchangeError> {
        let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let connecting = tokio::time::timeout_at(limit.into(), TcpStream::connect(self.address)).await;
        let connected = connecting.unwrap_or_else(|_elapsed| Err(io::ErrorKind::TimedOut.into()));
        let stream = connected.map_err(ExchangeError::Connect)?;
        stream.set_nodelay(true).map_err(ExchangeError::Connect)?;
        self.lock().opened += 1;
        let read_budget = ReadBudget::new(MAX_IDLE_BYTES);
        let handshake = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(ReadLimited::new(stream, read_budget.clone())));
        let (requests, connection) = handshake.await.map_err(|error| broken_connection(&error))?;
        tokio::spawn(async move {
            // The error reaches the sender of the request that was in flight.
            let _reported_elsewhere = connection.await;
        });
        Ok(Sender { requests, read_budget })
    }

    fn return_to_pool(&self, sender: Sender, headers: &HeaderMap) {
        if sender.requests.is_closed() || requests_close(headers) {
            return;
        }
        let time = match keep_alive_timeout(headers) {
            Some(timeout) => timeout.saturating_sub(IDLE_MARGIN),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        let usable_until = Instant::now() + time;
        self.lock().idle.push(IdleConnection { sender, usable_until });
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn send_and_receive(
    sender: &mut Sender,
    exchange: ExchangeOptions<'_>,
    request: Request<Full<Bytes>>,
) -> Result<Response, ExchangeError> {
    let sent = Instant::now();
    sender.read_budget.set(MAX_HEAD_BYTES);
    let response = sender.requests.send_request(request).await;
    let (head, mut body) = response.map_err(|error| broken_connection(&error))?.into_parts();
    sender
        .read_budget
        .set(MAX_HEAD_BYTES + FRAMING_FACTOR * exchange.max_body);
    let mut received = PartialBody::new(exchange.memory, exchange.max_body);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| broken_connection(&error))?;
        if let Some(data) = frame.data_ref() {
            let appended = received.push(data);
            appended.map_err(|error| ExchangeError::Broken(error.to_string().into()))?;
        }
    }
    Ok(Response {
        status: head.status,
        headers: head.headers,
        body: received.finish(),
        latency: sent.elapsed(),
    })
}

fn broken_connection(error: &hyper::Error) -> ExchangeError {
    ExchangeError::Broken(error.to_string().into())
}

fn requests_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(http::header::CONNECTION);
    values
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}

/// Returns the time after which the server closes an idle connection, if it states one.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive").map(HeaderValue::to_str)?.ok()?;
    let timeout = value.split(',').find_map(|item| item.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
