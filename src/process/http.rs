//! HTTP server of a process, with a planned stop that cuts no request.
//!
//! Routes, extractors and responses are those of `volo-http`. The accept loop is our own on `hyper`, because the loop of
//! `volo-http` takes the signals of the process itself, looks at its stop flag only between accepts, and gives up on open
//! connections after a fixed time. Here the drain decides (see "Graceful stop" in `docs/design.md`).

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

use crate::process::gateway;
use crate::process::gateway::Gateway;

/// Default time that a connection may be idle, and within which the head of a request must arrive; the library has one limit for
/// both. It is above the 60 s after which load balancers usually drop idle connections, so that the balancer and not this
/// server closes them: a server that closes first can cut a request that is on its way.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(75);

/// Time after the listener closed in which a connection without a request stays open. A request that was sent before its
/// caller learned of the stop arrives within it, since it is many round trips to a caller (3 ms one way).
const IDLE_LINGER: Duration = Duration::from_millis(400);

/// Pause after a failed accept, so that a lack of file descriptors does not turn into a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limits of one HTTP server.
#[derive(Debug, Clone, Copy)]
pub struct HttpLimits {
    /// Connections open at one time; further ones wait in the backlog of the listener.
    pub connections: usize,
    /// Bytes buffered for one connection, which bounds the head of a request.
    pub buffer_bytes: usize,
    /// Time that a connection may be idle, and within which the head of a request must arrive.
    pub head_timeout: Duration,
    /// Time in which a caller must take some bytes of an answer. Without it a caller that does not read would hold its
    /// answer in memory for as long as it likes.
    pub write_timeout: Duration,
}

impl Default for HttpLimits {
    /// Bounds the memory that unfinished heads can claim to 64 MiB.
    fn default() -> Self {
        Self {
            connections: 4096,
            buffer_bytes: 16 * 1024,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// Phase of a server's life, driven by [`crate::process::drain`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServePhase {
    /// Accepts connections and keeps them open between requests.
    Serving,
    /// Still accepts connections, and asks callers with `connection: close` to leave after their current request. It
    /// covers requests that arrive while the balancer has not yet noticed the stop; closing idle connections at once
    /// would cut a request that is already on its way.
    Notice,
    /// Accepts no connection and ends when the last request is answered.
    Finishing,
}

/// What answers the requests of a server.
#[derive(Clone)]
pub enum Handler {
    /// Routes of this process.
    Routes(Arc<Router<Body, Infallible>>),
    /// The gateway, which takes requests whole. Its configuration gives the limits.
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
    /// Returns the limits of a connection that opens now.
    fn limits(&self, limits: HttpLimits) -> HttpLimits {
        match self {
            Self::Routes(_) => limits,
            Self::Gateway(gateway) => gateway.http_limits(),
        }
    }

    /// Tells whether callers should leave after their current request.
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

/// HTTP server over one listener.
pub struct HttpServer {
    listener: TcpListener,
    handler: Handler,
    limits: HttpLimits,
    log: Logger,
    open_connections: Arc<AtomicUsize>,
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
    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(address: SocketAddr, handler: Handler, limits: HttpLimits, log: Logger) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            handler,
            limits,
            log,
            open_connections: Arc::default(),
        })
    }

    /// Returns the bound address, which tells the port when port 0 was asked for.
    ///
    /// # Errors
    ///
    /// Fails when the operating system does not tell the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the counter of open connections.
    #[must_use]
    pub fn open_connections(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.open_connections)
    }

    /// Serves until the phase is [`ServePhase::Finishing`] and the last request is answered. Dropping the future ends all
    /// connections at once, as the end of the process does.
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
        // Connections that wait in the backlog are answered too, since closing the listener would reset them.
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
        };
        let guard = OpenConnectionGuard::new(Arc::clone(&self.open_connections));
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
            .max_buf_size(self.limits.buffer_bytes)
            .serve_connection(TokioIo::new(Box::pin(stream)), service);
        let mut connection = pin!(connection);
        tokio::select! {
            _result = connection.as_mut() => return,
            () = wait_for_phase(&mut self.phase, ServePhase::Finishing) => {}
        }
        tokio::select! {
            // A request that has arrived is read before the connection counts as idle.
            biased;
            _result = connection.as_mut() => return,
            () = tokio::time::sleep(IDLE_LINGER) => {}
        }
        // An idle connection closes now; a busy one after its answer, and a new one after its first answer.
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
    // A dropped sender means that the owner of the server is gone, which ends the server too.
    let _result = phase.wait_for(|phase| *phase >= target).await;
}
