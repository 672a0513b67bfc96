//! Connection tasks of a lane.
//!
//! One task owns one connection. It takes calls from the lane's task and reports what happened. A task ends when its
//! connection ends or the lane drops its side.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use tokio::sync::mpsc;

use crate::connection::backend::BackendConnection;
use crate::connection::backend::BackendError;
use crate::connection::backend::HttpReply;
use crate::connection::backend::HttpRequest;
use crate::connection::lane::work::OpenFailure;
use crate::connection::pool::ConnectionId;
use crate::process::leaf::lanes::LaneInput;

/// Time in which a connection must open and answer the first read of the state. It is far above the 6 ms that a new
/// connection costs.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Time beyond the remaining time of a request after which a server that does not answer is given up.
const REPLY_GRACE: Duration = Duration::from_millis(250);

/// Calls that wait for one connection. The lane sends one at a time.
const REQUEST_CAPACITY: usize = 1;

/// What a connection task reports to its lane.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// The connection is open, and the server answered on it.
    Opened {
        /// When the attempt began.
        started: Instant,
        /// Reply to the first read of the state.
        reply: HttpReply,
    },
    /// The connection could not be opened.
    OpenFailed(OpenFailure),
    /// A call was answered.
    Replied(HttpReply),
    /// The connection is closed.
    Closed {
        /// Whether a call without reply had been written.
        written: bool,
    },
}

/// Lane's side of a connection task. Dropping it closes the connection.
#[derive(Debug)]
pub struct ConnectionHandle {
    requests: mpsc::Sender<HttpRequest>,
}

impl ConnectionHandle {
    /// Starts to open a connection.
    #[must_use]
    pub fn open(id: ConnectionId, address: SocketAddr, inputs: mpsc::Sender<LaneInput>) -> Self {
        let (requests, receiver) = mpsc::channel(REQUEST_CAPACITY);
        let task = ConnectionTask { id, address, inputs };
        tokio::spawn(task.run(receiver));
        Self { requests }
    }

    /// Sends a call. Returns `false` when the connection is closed already, in which case nothing was written.
    #[must_use]
    pub fn send(&self, request: HttpRequest) -> bool {
        self.requests.try_send(request).is_ok()
    }
}

struct ConnectionTask {
    id: ConnectionId,
    address: SocketAddr,
    inputs: mpsc::Sender<LaneInput>,
}

impl ConnectionTask {
    async fn run(self, mut requests: mpsc::Receiver<HttpRequest>) {
        let started = Instant::now();
        let opened = tokio::select! {
            opened = open(self.address) => opened,
            // The lane drops its side only to close, so a call cannot arrive before the connection is open.
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

    /// Serves calls until the connection ends. Returns whether a call without reply had been written.
    async fn serve(&self, connection: &mut BackendConnection, requests: &mut mpsc::Receiver<HttpRequest>) -> bool {
        loop {
            let request = tokio::select! {
                request = requests.recv() => request,
                // A call that raced with the end of the connection was not written.
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

/// Opens a connection and reads the server's state on it, since a server at its cap accepts a connection and closes it at
/// once.
///
/// # Errors
///
/// Fails when the server does not answer in time, or closes the connection without a reply.
pub async fn open(address: SocketAddr) -> Result<(BackendConnection, HttpReply), OpenFailure> {
    let mut connection = BackendConnection::open(address, OPEN_TIMEOUT)
        .await
        .map_err(|_unreachable| OpenFailure::Unreachable)?;
    let request = HttpRequest {
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
