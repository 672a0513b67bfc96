//! Connection tasks of a lane.
//!
//! Each task owns one connection. It receives requests from the lane task and reports events to it. It ends when the
//! connection closes or the lane drops its handle.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use tokio::sync::mpsc;

use crate::connection::backend::BackendConnection;
use crate::connection::backend::BackendError;
use crate::connection::backend::BackendRequest;
use crate::connection::backend::BackendResponse;
use crate::connection::lane::work::OpenFailure;
use crate::connection::pool::ConnectionId;
use crate::process::leaf::lanes::LaneInput;

/// Timeout of the connect, and of the first read of the server's state. It is far above the 6 ms that a new connection
/// costs.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Time added to the remaining time of a request before a request without a response times out.
const REPLY_GRACE: Duration = Duration::from_millis(250);

/// Capacity of the request channel of a connection. The lane sends one request at a time.
const REQUEST_CAPACITY: usize = 1;

/// Event that a connection task reports to its lane.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// The connection is open, and the server responded to the first read of its state.
    Opened {
        /// Time at which the attempt to connect began.
        started: Instant,
        /// Response to the read of the server's state.
        reply: BackendResponse,
    },
    /// The connection could not be opened.
    OpenFailed(OpenFailure),
    /// The server responded to a request.
    Replied(BackendResponse),
    /// The connection is closed.
    Closed {
        /// Whether a request may have been written that got no response.
        written: bool,
    },
}

/// Handle of a connection task. Dropping it closes the connection.
#[derive(Debug)]
pub struct ConnectionHandle {
    requests: mpsc::Sender<BackendRequest>,
}

impl ConnectionHandle {
    /// Spawns a task that opens a connection. The result is reported as an event to `inputs`.
    #[must_use]
    pub fn open(id: ConnectionId, address: SocketAddr, inputs: mpsc::Sender<LaneInput>) -> Self {
        let (requests, receiver) = mpsc::channel(REQUEST_CAPACITY);
        let task = ConnectionTask { id, address, inputs };
        tokio::spawn(task.run(receiver));
        Self { requests }
    }

    /// Sends a request. Returns `false` when the connection has closed, in which case nothing was written.
    #[must_use]
    pub fn send(&self, request: BackendRequest) -> bool {
        self.requests.try_send(request).is_ok()
    }
}

struct ConnectionTask {
    id: ConnectionId,
    address: SocketAddr,
    inputs: mpsc::Sender<LaneInput>,
}

impl ConnectionTask {
    async fn run(self, mut requests: mpsc::Receiver<BackendRequest>) {
        let started = Instant::now();
        let opened = tokio::select! {
            opened = open(self.address) => opened,
            // No request is sent before the connection is open, so this completes only when the handle is dropped.
            _dropped = requests.recv() => Err(OpenFailure::Unreachable),
        };
        let mut connection = match opened {
            Ok((connection, reply)) => {
                self.report(ConnectionEvent::Opened { started, reply }).await;
                connection
            }
            Err(failure) => return self.report(ConnectionEvent::OpenFailed(failure)).await,
        };
        let written = self.serve(&mut connection, &mut requests).await;
        drop(connection);
        self.report(ConnectionEvent::Closed { written }).await;
    }

    /// Serves requests until the connection closes. Returns whether a request may have been written that got
    /// no response.
    async fn serve(&self, connection: &mut BackendConnection, requests: &mut mpsc::Receiver<BackendRequest>) -> bool {
        loop {
            let request = tokio::select! {
                request = requests.recv() => request,
                // A request that arrives while the connection closes is not written.
                () = connection.closed() => return false,
            };
            let Some(request) = request else { return false };
            if connection.ready().await.is_err() {
                return false;
            }
            let timeout = request.remaining + REPLY_GRACE;
            match tokio::time::timeout(timeout, connection.send(request)).await {
                Ok(Ok(reply)) => self.report(ConnectionEvent::Replied(reply)).await,
                Ok(Err(_)) | Err(_) => return true,
            }
        }
    }

    async fn report(&self, event: ConnectionEvent) {
        let input = LaneInput::Connection { id: self.id, event };
        let _lane_gone = self.inputs.send(input).await;
    }
}

/// Opens a connection and reads the server's state on it. A server at its connection cap accepts a connection and
/// closes it immediately, so only a response shows that the connection is usable.
///
/// # Errors
///
/// Returns [`OpenFailure::CapReached`] when the server closes the connection without a response, and
/// [`OpenFailure::Unreachable`] when it cannot be reached, does not respond within the timeout or sends a response that
/// cannot be read.
pub async fn open(address: SocketAddr) -> Result<(BackendConnection, BackendResponse), OpenFailure> {
    let mut connection = BackendConnection::open(address, OPEN_TIMEOUT)
        .await
        .map_err(|_unreachable| OpenFailure::Unreachable)?;
    let request = BackendRequest {
        method: Method::GET,
        path: "/v1/state".into(),
        id: "state".into(),
        remaining: OPEN_TIMEOUT,
        snapshot: None,
        body: Bytes::new(),
    };
    match tokio::time::timeout(OPEN_TIMEOUT, connection.send(request)).await {
        Ok(Ok(reply)) => Ok((connection, reply)),
        Ok(Err(BackendError::Closed(_))) => Err(OpenFailure::CapReached),
        Ok(Err(_)) | Err(_) => Err(OpenFailure::Unreachable),
    }
}
