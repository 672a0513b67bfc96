//! HTTP server with a graceful shutdown that does not abort requests.
//!
//! Routes, extractors and responses come from `volo-http`. The accept loop is implemented here on top of `hyper`,
//! because the loop of `volo-http` installs its own signal handlers, checks its stop flag only between accepts, and
//! drops open connections after a fixed time. Here [`crate::process::drain`] controls the shutdown (see "Graceful stop"
//! in `docs/design.md`).

mod unsent;

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::FutureExt;
use http::HeaderValue;
use http::Request;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use slog::Logger;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_io_timeout::TimeoutStream;
use volo::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::response::Response;
use volo_http::server::IntoResponse;
use volo_http::server::route::Router;

use self::unsent::CountUnsent;
use crate::process::gateway;
use crate::process::gateway::Gateway;

/// Default of [`HttpLimits::head_timeout`]. It exceeds the 60 s after which load balancers usually close idle
/// connections, so that the balancer closes them first. If the server closed first, a request that the balancer has
/// just sent would fail.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(75);

/// Time for which idle connections stay open after the listener is closed. It is many round trips to a caller (3 ms one
/// way), so that a request arrives in time if it was sent before its caller learned of the stop.
const IDLE_LINGER: Duration = Duration::from_millis(400);

/// Smallest read buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Delay after a failed accept, which prevents a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limits of an HTTP server.
#[derive(Debug, Clone, Copy)]
pub struct HttpLimits {
    /// Maximum number of open connections. Further connections wait in the backlog of the listener.
    pub connections: usize,
    /// Size of the read buffer of a connection in bytes, which limits the size of a request head. At least 8 KiB are
    /// used.
    pub buffer_bytes: usize,
    /// Maximum idle time of a connection, and maximum time to receive a request head. `hyper` has one limit for both.
    pub head_timeout: Duration,
    /// Maximum time in which a write makes no progress. Without it, a caller that stops reading would keep its response
    /// in memory indefinitely.
    pub write_timeout: Duration,
}

impl Default for HttpLimits {
    /// Returns limits that bound the memory for incomplete request heads to 64 MiB.
    fn default() -> Self {
        Self {
            connections: 4096,
            buffer_bytes: 16 * 1024,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// Phase of an HTTP server, set by the actions of [`crate::process::drain`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServePhase {
    /// The server accepts connections and keeps them open between requests.
    Serving,
    /// The server still accepts connections, since the load balancer may not have detected the stop yet. Responses
    /// carry `connection: close`. Idle connections stay open, since closing them could abort a request that has already
    /// been sent.
    Notice,
    /// The server accepts no connections and ends after the last response.
    Finishing,
}

/// Request handler of a server.
#[derive(Clone)]
pub enum Handler {
    /// Routes of an entry, or of the admin interface.
    Routes(Arc<Router<Body, Infallible>>),
    /// The gateway, which handles requests without routes. The limits come from its configuration.
    Gateway(Arc<Gateway>),
}

impl fmt::Debug for Handler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Routes(_) => "Routes",
            Self::Gateway(_) => "Gateway",
        })
    }
}

impl Handler {
    /// Returns the limits of a new connection. `limits` are those of the server.
    fn limits(&self, limits: HttpLimits) -> HttpLimits {
        match self {
            Self::Routes(_) => limits,
            Self::Gateway(gateway) => gateway.http_limits(),
        }
    }

    /// Returns whether responses should carry `connection: close` in every phase.
    fn closes_connections(&self) -> bool {
        match self {
            Self::Routes(_) => false,
            Self::Gateway(gateway) => gateway.redirects_callers(),
        }
    }

    async fn handle(&self, peer: SocketAddr, request: Request<Incoming>) -> Response {
        match self {
            Self::Routes(router) => call_router(router, peer, request).await,
            Self::Gateway(gateway) => gateway::serve(Arc::clone(gateway), request).await.map(Body::from),
        }
    }
}

/// HTTP server with one listener.
pub struct HttpServer {
    listener: TcpListener,
    handler: Handler,
    limits: HttpLimits,
    log: Logger,
    counts: ConnectionCounts,
}

/// Counts of the connections of a server, updated while it serves.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCounts {
    open: Arc<AtomicUsize>,
    unsent: Arc<AtomicUsize>,
}

impl ConnectionCounts {
    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the number of connections with an answer that the caller has not taken yet.
    #[must_use]
    pub fn unsent(&self) -> usize {
        self.unsent.load(Ordering::Relaxed)
    }
}

impl fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpServer")
            .field("listener", &self.listener)
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

impl HttpServer {
    /// Binds `address` without accepting connections yet.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn bind(address: SocketAddr, handler: Handler, limits: HttpLimits, log: Logger) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            handler,
            limits,
            log,
            counts: ConnectionCounts::default(),
        })
    }

    /// Returns the bound address, including the actual port when port 0 was requested.
    ///
    /// # Errors
    ///
    /// Returns an error when the operating system cannot provide the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the counts of the connections of this server.
    #[must_use]
    pub fn counts(&self) -> ConnectionCounts {
        self.counts.clone()
    }

    /// Serves requests until the phase is [`ServePhase::Finishing`] and all connections are closed. Dropping the future
    /// aborts all connections.
    pub async fn serve(self, mut phase: watch::Receiver<ServePhase>) {
        let mut connections = JoinSet::new();
        let permits = Arc::new(tokio::sync::Semaphore::new(self.limits.connections));
        loop {
            while connections.try_join_next().is_some() {}
            let permit = tokio::select! {
                () = wait_for_phase(&mut phase, ServePhase::Finishing) => break,
                permit = Arc::clone(&permits).acquire_owned() => permit,
            };
            let Ok(permit) = permit else { break };
            let accepted = tokio::select! {
                () = wait_for_phase(&mut phase, ServePhase::Finishing) => break,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok(accepted) => self.spawn(&mut connections, accepted, Some(permit), &phase),
                Err(error) => {
                    warn!(self.log, "accept_failed"; "error" => %error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // Connections in the backlog are served too, since closing the listener would reset them.
        while let Some(Ok(accepted)) = self.listener.accept().now_or_never() {
            self.spawn(&mut connections, accepted, None, &phase);
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }

    fn spawn(
        &self,
        connections: &mut JoinSet<()>,
        accepted: (TcpStream, SocketAddr),
        permit: Option<OwnedSemaphorePermit>,
        phase: &watch::Receiver<ServePhase>,
    ) {
        let (stream, peer) = accepted;
        let connection = Connection {
            limits: self.handler.limits(self.limits),
            handler: self.handler.clone(),
            phase: phase.clone(),
            peer,
            unsent: Arc::clone(&self.counts.unsent),
        };
        let guard = OpenConnectionGuard::new(Arc::clone(&self.counts.open));
        connections.spawn(async move {
            let _permit = permit;
            let _guard = guard;
            connection.run(stream).await;
        });
    }
}

struct OpenConnectionGuard(Arc<AtomicUsize>);

impl OpenConnectionGuard {
    fn new(counter: Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

struct Connection {
    handler: Handler,
    limits: HttpLimits,
    phase: watch::Receiver<ServePhase>,
    peer: SocketAddr,
    unsent: Arc<AtomicUsize>,
}

impl Connection {
    async fn run(mut self, stream: TcpStream) {
        let _ignored = stream.set_nodelay(true);
        let mut stream = TimeoutStream::new(stream);
        stream.set_write_timeout(Some(self.limits.write_timeout));
        let handler = self.handler.clone();
        let peer = self.peer;
        let phase = self.phase.clone();
        let service = service_fn(move |request| {
            let handler = handler.clone();
            let phase = phase.clone();
            async move {
                let mut response = handler.handle(peer, request).await;
                if *phase.borrow() >= ServePhase::Notice || handler.closes_connections() {
                    response
                        .headers_mut()
                        .insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.head_timeout)
            .max_buf_size(self.limits.buffer_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(CountUnsent::new(Box::pin(stream), self.unsent)), service);
        let mut connection = pin!(connection);
        tokio::select! {
            _result = connection.as_mut() => return,
            () = wait_for_phase(&mut self.phase, ServePhase::Finishing) => {}
        }
        tokio::select! {
            // Read a request that has already arrived before treating the connection as idle.
            biased;
            _result = connection.as_mut() => return,
            () = tokio::time::sleep(IDLE_LINGER) => {}
        }
        // Closes idle connections now, busy ones after their response, and new ones after their first response.
        connection.as_mut().graceful_shutdown();
        let _result = connection.await;
    }
}

async fn call_router(router: &Router<Body, Infallible>, peer: SocketAddr, request: Request<Incoming>) -> Response {
    let mut context = ServerContext::new(volo::net::Address::from(peer));
    let request = request.map(Body::from_incoming);
    match router.call(&mut context, request).await {
        Ok(response) => response.into_response(),
        Err(never) => match never {},
    }
}

async fn wait_for_phase(phase: &mut watch::Receiver<ServePhase>, target: ServePhase) {
    // An error means that the sender was dropped with the owner of the server, so the server ends too.
    let _result = phase.wait_for(|phase| *phase >= target).await;
}
