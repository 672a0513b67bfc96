//! HTTP/1.1 connection pool of one backend server, used to forward whole requests.
//!
//! A connection carries one request at a time and is reused while the server keeps it open. After any error it is
//! closed and not reused. See "Forwarding" in `docs/design/platform.md`.

use std::error::Error;
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

/// Byte limit of the headers of a response, including interim (1xx) responses.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Bytes that may be read for each byte of the maximum body. The excess allows for chunk lengths.
const FRAMING_FACTOR: usize = 2;

/// Bytes that may be read between two exchanges. A server should send none; the HTTP library closes the connection at
/// the first one.
const MAX_IDLE_BYTES: usize = 1;

/// Buffer size of one connection, in bytes. The response to one part has about 1 KB.
const BUFFER_BYTES: usize = 8 * 1024;

/// Maximum time to open a connection. It allows for many round trips between data centres; a server that does not
/// accept within it is treated as down.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time of [`UpstreamPool::is_refusing`]. It covers a few round trips between data centres.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Time for which a connection that was opened as a check may be used, since the idle timeout of the server is not known.
const CHECKED_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Margin before the keep-alive timeout given by the server within which an idle connection is no longer used, so that
/// no request is sent while the server closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Maximum idle time of a connection, whatever keep-alive timeout the server gives.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3600);

/// Maximum idle time of a connection if the server gives no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time beyond its deadline that an exchange waits, so that the server can itself report that the deadline has passed.
const RESPONSE_GRACE: Duration = Duration::from_millis(30);

/// Sending half of a connection.
#[derive(Debug)]
struct Sender {
    requests: SendRequest<Full<Bytes>>,
    read_budget: ReadBudget,
}

/// Complete response of a backend server.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
    /// Time from sending the request to the end of the response, excluding the time to open a connection.
    pub latency: Duration,
}

/// Parameters of an exchange besides the request.
#[derive(Debug, Clone, Copy)]
pub struct ExchangeOptions<'a> {
    /// Time after which the caller no longer waits.
    pub deadline: Instant,
    /// Header with the identifier of the request, which the server repeats in its response. It distinguishes the
    /// response from one to an earlier request on the same connection.
    pub id_header: (&'a HeaderName, &'a HeaderValue),
    /// Maximum size of the response body, in bytes.
    pub max_body: usize,
    /// Memory limit that the response body counts against.
    pub memory: &'a BodyMemory,
}

impl ExchangeOptions<'_> {
    /// Returns whether a response belongs to this request. A response without an identifier is accepted only on a
    /// connection that carried no earlier request.
    fn matches(&self, response: &Response, is_new: bool) -> bool {
        let (name, id) = self.id_header;
        response.headers.get(name).map_or(is_new, |returned| returned == id)
    }
}

/// Failure of an exchange with a backend server.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No connection could be opened, so nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// All connections of this instance to the server are in use, so nothing was sent.
    #[error("all connections are in use")]
    NoConnection,
    /// The deadline passed before the request was sent.
    #[error("the deadline passed before the request was sent")]
    NoTimeLeft,
    /// The connection closed before the request was written, or the response is malformed or too large. The request may
    /// have run.
    #[error("connection failed: {0}")]
    Broken(Box<str>),
    /// The server closed or reset the connection before the end of the response. The request may have run.
    #[error("the server disconnected: {0}")]
    Disconnected(Box<str>),
    /// The response belongs to another request. The request may have run.
    #[error("the response belongs to another request")]
    WrongResponse,
    /// No complete response arrived in time. The request may have run.
    #[error("no complete answer in time")]
    TimedOut,
}

impl ExchangeError {
    /// Returns whether the request was not sent, so that it has not run and never will.
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
    /// Total number of connections opened.
    opened: u64,
}

/// Connection pool of one server.
#[derive(Debug)]
pub struct UpstreamPool {
    address: SocketAddr,
    connections: Mutex<Connections>,
}

/// Counts a connection as busy until it is dropped.
#[derive(Debug)]
struct BusyGuard<'a>(&'a UpstreamPool);

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().busy -= 1;
    }
}

impl UpstreamPool {
    /// Creates an empty pool with a limit of one connection.
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

    /// Sets the maximum number of connections in use or being opened.
    pub fn set_limit(&self, limit: u32) {
        self.lock().limit = limit;
    }

    /// Returns whether a request can be sent now without exceeding the limit.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        let connections = self.lock();
        connections.busy < connections.limit
    }

    /// Returns the total number of connections opened.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.lock().opened
    }

    /// Closes all idle connections, for example when the server is removed, or when one connection stopped responding,
    /// because the others may be dead too.
    pub fn close_idle(&self) {
        self.lock().idle.clear();
    }

    /// Sends one request and reads the whole response. `build_request` builds the request from the remaining time at
    /// the moment of sending. Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::is_unsent`] returns whether the request was not sent. Otherwise it may have run.
    pub async fn exchange(
        &self,
        options: ExchangeOptions<'_>,
        build_request: impl FnOnce(Duration) -> Request<Full<Bytes>>,
    ) -> Result<Response, ExchangeError> {
        let deadline = options.deadline;
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
        let response = tokio::time::timeout_at(limit.into(), send_and_receive(&mut sender, options, request)).await;
        let response = response.map_err(|_elapsed| ExchangeError::TimedOut)??;
        if !options.matches(&response, is_new) {
            return Err(ExchangeError::WrongResponse);
        }
        sender.read_budget.set(MAX_IDLE_BYTES);
        drop(busy);
        self.return_to_pool(sender, &response.headers);
        Ok(response)
    }

    /// Opens a connection after one ended early, and returns whether the server refused it, as it does when its process
    /// has ended. A connection that is accepted is kept for the next request.
    pub async fn is_refusing(&self) -> bool {
        let Ok(_busy) = self.reserve() else { return false };
        match self.open(Instant::now() + CHECK_TIMEOUT).await {
            Ok(sender) => {
                let usable_until = Instant::now() + CHECKED_IDLE_TIMEOUT;
                self.lock().idle.push(IdleConnection { sender, usable_until });
                false
            }
            Err(ExchangeError::Connect(error)) => matches!(
                error.kind(),
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
            ),
            Err(_) => false,
        }
    }

    /// Counts a connection as busy, if the limit allows it.
    fn reserve(&self) -> Result<BusyGuard<'_>, ExchangeError> {
        let mut connections = self.lock();
        if connections.busy >= connections.limit {
            return Err(ExchangeError::NoConnection);
        }
        connections.busy += 1;
        drop(connections);
        Ok(BusyGuard(self))
    }

    /// Reserves a connection. Returns an idle one, or `None` if a new one must be opened.
    fn acquire(&self) -> Result<(BusyGuard<'_>, Option<Sender>), ExchangeError> {
        let busy = self.reserve()?;
        let now = Instant::now();
        let mut connections = self.lock();
        connections
            .idle
            .retain(|idle| idle.usable_until > now && !idle.sender.requests.is_closed());
        // The most recently used connection is the least likely to be closed by the server.
        let usable = connections
            .idle
            .iter()
            .rposition(|idle| idle.sender.requests.is_ready());
        let sender = usable.map(|ix| connections.idle.remove(ix).sender);
        drop(connections);
        Ok((busy, sender))
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
            // The request in flight returns the error to its sender.
            let _reported_elsewhere = connection.await;
        });
        Ok(Sender { requests, read_budget })
    }

    fn return_to_pool(&self, sender: Sender, headers: &HeaderMap) {
        if sender.requests.is_closed() || requests_close(headers) {
            return;
        }
        let time = match keep_alive_timeout(headers) {
            Some(timeout) => timeout.min(MAX_IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN),
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
    options: ExchangeOptions<'_>,
    request: Request<Full<Bytes>>,
) -> Result<Response, ExchangeError> {
    let sent = Instant::now();
    sender.read_budget.set(MAX_HEAD_BYTES);
    let response = sender.requests.send_request(request).await;
    let (head, mut body) = response.map_err(|error| broken_connection(&error))?.into_parts();
    sender
        .read_budget
        .set(MAX_HEAD_BYTES + FRAMING_FACTOR * options.max_body);
    let mut received = PartialBody::new(options.memory, options.max_body);
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
    let reason = error.to_string().into();
    if error.is_incomplete_message() || is_disconnect(error) {
        ExchangeError::Disconnected(reason)
    } else {
        ExchangeError::Broken(reason)
    }
}

/// Returns whether an error was caused by the end of the connection.
fn is_disconnect(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return matches!(
                error.kind(),
                io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe
            );
        }
        cause = error.source();
    }
    false
}

fn requests_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(http::header::CONNECTION);
    values
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}

/// Returns the idle timeout that the server gives in its `keep-alive` header, if any.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive").map(HeaderValue::to_str)?.ok()?;
    let timeout = value.split(',').find_map(|item| item.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
