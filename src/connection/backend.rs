//! HTTP/1.1 client connection to a backend server.
//!
//! The leaf opens and counts these connections itself, because the pool of an HTTP client library limits idle
//! connections but not open ones, and opens connections while a request waits. A connection carries one request at a
//! time. See `docs/protocols.md` for the interface of a backend server.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::ids::SnapshotId;
use crate::version::keys::KeyRange;

/// Largest response body accepted from a backend server, in bytes.
const MAX_RESPONSE_BYTES: usize = 2 * 1024 * 1024;

/// Header names of the interface of a backend server.
pub mod headers {
    /// Identifier of one attempt, used to cancel it.
    pub const REQUEST_ID: &str = "x-request-id";
    /// Remaining time of the request in milliseconds.
    pub const REMAINING_MS: &str = "x-remaining-ms";
    /// Snapshot that the response must reflect.
    pub const SNAPSHOT: &str = "x-snapshot";
    /// Snapshots that the server holds.
    pub const HELD_SNAPSHOTS: &str = "x-held-snapshots";
    /// Whether the server is leaving.
    pub const DRAINING: &str = "x-draining";
    /// Whether refused work did not start.
    pub const NOT_STARTED: &str = "x-not-started";
    /// Time after which a refused request can succeed, in milliseconds.
    pub const RETRY_AFTER_MS: &str = "retry-after-ms";
}

/// HTTP status of the response to a cancelled request.
pub const STATUS_CANCELLED: u16 = 499;

/// Failure of an exchange with a backend server.
#[derive(Debug, thiserror::Error)]
pub enum BackendError {
    /// The connection could not be opened.
    #[error("cannot connect to backend server: {0}; check its address and that it is running")]
    Connect(#[source] io::Error),
    /// The server closed the connection before a response. On a new connection this means that its connection cap is
    /// reached.
    #[error("backend server closed the connection: {0}; it may be at its connection cap")]
    Closed(#[source] hyper::Error),
    /// The response was incomplete or exceeded the size limit.
    #[error("reply of backend server is incomplete or exceeds {MAX_RESPONSE_BYTES} bytes")]
    IncompleteResponse,
    /// The response does not follow `docs/protocols.md`, or the request could not be built and was not sent.
    #[error("malformed reply of backend server: {0}; check the version of the server")]
    Malformed(Box<str>),
}

/// Body of a search request.
#[derive(Debug, Serialize)]
pub struct SearchBody<'a> {
    /// Shard to search.
    pub shard: &'a str,
    /// First requested key.
    pub start: u64,
    /// First key after the requested range.
    pub end: u64,
    /// Query text.
    pub query: &'a str,
    /// Maximum number of hits.
    pub limit: u32,
}

/// Body of a search response.
#[derive(Debug, Deserialize)]
pub struct SearchResponse {
    /// Snapshot that the hits come from.
    pub snapshot: SnapshotId,
    /// First key covered.
    pub start: u64,
    /// First key after the covered range.
    pub end: u64,
    /// Whether the server stopped early.
    pub truncated: bool,
    /// Hits, best first.
    pub hits: Vec<HitBody>,
}

/// One hit of a search response.
#[derive(Debug, Deserialize)]
pub struct HitBody {
    /// Key of the document.
    pub key: u64,
    /// Name of the document.
    pub document: String,
    /// Score; higher is better.
    pub score: f64,
}

impl SearchResponse {
    /// Returns the covered range.
    #[must_use]
    pub const fn range(&self) -> KeyRange {
        KeyRange {
            start: self.start,
            end: self.end,
        }
    }
}

/// Body of a submission.
#[derive(Debug, Serialize)]
pub struct SubmitBody<'a> {
    /// Shard that holds the key.
    pub shard: &'a str,
    /// Key that the submission applies to.
    pub key: u64,
    /// Text of the submission.
    pub body: &'a str,
}

/// Response of a backend server with its interface headers parsed.
#[derive(Debug)]
pub struct BackendResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Snapshots that the server reported to hold.
    pub held_snapshots: Vec<SnapshotId>,
    /// Whether the server announced that it is leaving.
    pub draining: bool,
    /// Whether the server confirmed that the work did not start.
    pub not_started: bool,
    /// Time after which a retry can succeed, if the server gave one.
    pub retry_after: Option<Duration>,
    /// Body bytes.
    pub body: Bytes,
}

/// One request to a backend server.
#[derive(Debug)]
pub struct BackendRequest {
    /// HTTP method.
    pub method: Method,
    /// Request path.
    pub path: Box<str>,
    /// Identifier of the attempt.
    pub id: Box<str>,
    /// Remaining time until the deadline.
    pub remaining: Duration,
    /// Snapshot that the response must reflect, if any.
    pub snapshot: Option<SnapshotId>,
    /// Body bytes.
    pub body: Bytes,
}

/// Open connection to a backend server.
#[derive(Debug)]
pub struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    host: Box<str>,
    /// Closed when the task that drives the connection ends.
    ended: watch::Receiver<()>,
}

impl BackendConnection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Fails when the server cannot be reached within `timeout`, or when the HTTP handshake fails.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, BackendError> {
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
        let connected = connecting
            .await
            .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut));
        let stream = connected.and_then(|stream| stream).map_err(BackendError::Connect)?;
        stream.set_nodelay(true).map_err(BackendError::Connect)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(BackendError::Closed)?;
        let (alive, ended) = watch::channel(());
        tokio::spawn(async move {
            let _alive = alive;
            // The request in flight returns the error to its sender.
            let _reported_elsewhere = connection.await;
        });
        Ok(Self {
            sender,
            host: address.to_string().into(),
            ended,
        })
    }

    /// Waits until the connection is closed. Must not be called while a request is in flight.
    pub async fn closed(&mut self) {
        while self.ended.changed().await.is_ok() {}
    }

    /// Waits until the connection can take a request.
    ///
    /// # Errors
    ///
    /// Fails when the server has closed the connection. No request was written in that case.
    pub async fn ready(&mut self) -> Result<(), BackendError> {
        self.sender.ready().await.map_err(BackendError::Closed)
    }

    /// Sends one request and reads the whole response.
    ///
    /// # Errors
    ///
    /// After any error the connection must be dropped. After [`BackendError::Closed`] and
    /// [`BackendError::IncompleteResponse`], the request may have run. [`BackendError::Malformed`] means that the
    /// request could not be built and was not sent.
    pub async fn send(&mut self, request: BackendRequest) -> Result<BackendResponse, BackendError> {
        let request = self.build_request(request)?;
        let response = self.sender.send_request(request).await.map_err(BackendError::Closed)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|_broken| BackendError::IncompleteResponse)?.to_bytes();
        Ok(BackendResponse {
            status: head.status,
            held_snapshots: held_snapshots(&head.headers),
            draining: bool_header(&head.headers, headers::DRAINING),
            not_started: bool_header(&head.headers, headers::NOT_STARTED),
            retry_after: retry_after(&head.headers),
            body,
        })
    }

    fn build_request(&self, request: BackendRequest) -> Result<Request<Full<Bytes>>, BackendError> {
        let mut builder = Request::builder()
            .method(request.method)
            .uri(&*request.path)
            .header(http::header::HOST, &*self.host)
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(headers::REQUEST_ID, &*request.id)
            .header(headers::REMAINING_MS, remaining_ms(request.remaining));
        if let Some(snapshot) = request.snapshot {
            builder = builder.header(headers::SNAPSHOT, snapshot);
        }
        let request = builder.body(Full::new(request.body));
        request.map_err(|error| BackendError::Malformed(error.to_string().into()))
    }
}

/// Rounds up, so that a positive remaining time never becomes zero.
fn remaining_ms(remaining: Duration) -> u64 {
    u64::try_from(remaining.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}

fn bool_header(headers: &HeaderMap, name: &str) -> bool {
    headers.get(name).is_some_and(|value| value.as_bytes() == b"true")
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(headers::RETRY_AFTER_MS)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

fn held_snapshots(headers: &HeaderMap) -> Vec<SnapshotId> {
    let Some(value) = headers.get(headers::HELD_SNAPSHOTS) else {
        return Vec::new();
    };
    let text = value.to_str().unwrap_or_default();
    text.split(',').filter_map(|item| item.trim().parse().ok()).collect()
}
