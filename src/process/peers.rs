//! Sessions of this process with its peers.
//!
//! A process accepts sessions and keeps sessions open to its target peers. The map of sessions is updated by
//! read-copy-update, so that requests read it without a lock. Each session calls the handler on its own task, so no
//! queue is shared between sessions and a slow peer delays only its own session.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use rand::Rng;
use slog::Logger;
use slog::debug;
use slog::info;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::connection::session;
use crate::connection::session::SessionEvent;
use crate::connection::session::SessionHandle;
use crate::ids::InstanceId;
use crate::wire::proto::Hello;
use crate::wire::proto::frame::Body;

/// Timeout for connecting to a peer. It is far above the round trip between data centres (3 ms) and below the shortest
/// deadline of a caller.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before the first attempt to reconnect.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum delay between attempts to reconnect.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Maximum number of sessions. It is above the 5,716 sessions of the two-year size (docs/CAPACITY.md) and bounds
/// the memory used by peers.
const MAX_SESSIONS: usize = 8_192;

/// Delay after a failed accept, which prevents a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Receiver of session events.
pub trait PeerHandler: Send + Sync + 'static {
    /// Called when a session has opened.
    fn on_opened(&self, session: &SessionHandle);

    /// Called for each received frame. Must not block.
    fn on_frame(&self, session: &SessionHandle, body: Body);

    /// Called once when a session has closed.
    fn on_closed(&self, session: &SessionHandle);

    /// Called after each failed attempt to connect to a target peer.
    fn on_unreachable(&self, peer: &str);
}

/// Set of the sessions with peers.
pub struct Peers {
    hello: Mutex<Hello>,
    sessions: ArcSwap<IndexMap<InstanceId, SessionHandle>>,
    targets: Mutex<IndexMap<InstanceId, Target>>,
    handler: Arc<dyn PeerHandler>,
    stop: CancellationToken,
    log: Logger,
}

struct Target {
    address: SocketAddr,
    stop: CancellationToken,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Peers")
            .field("sessions", &self.sessions.load().len())
            .finish_non_exhaustive()
    }
}

impl Peers {
    /// Creates an empty set of sessions. `hello` is sent on each new session.
    #[must_use]
    pub fn new(hello: Hello, handler: Arc<dyn PeerHandler>, log: Logger) -> Arc<Self> {
        Arc::new(Self {
            hello: Mutex::new(hello),
            sessions: ArcSwap::default(),
            targets: Mutex::default(),
            handler,
            stop: CancellationToken::new(),
            log,
        })
    }

    /// Returns the open session with `peer`, if any.
    #[must_use]
    pub fn session(&self, peer: &str) -> Option<SessionHandle> {
        let sessions = self.sessions.load();
        sessions.get(peer).filter(|session| !session.is_closed()).cloned()
    }

    /// Returns a consistent copy of all sessions by instance name.
    #[must_use]
    pub fn sessions(&self) -> Arc<IndexMap<InstanceId, SessionHandle>> {
        self.sessions.load_full()
    }

    /// Sets the revision that is announced on new sessions.
    pub fn set_revision(&self, revision: u64) {
        self.hello.lock().unwrap_or_else(PoisonError::into_inner).revision = revision;
    }

    /// Replaces the target peers. A task per target reconnects whenever there is no session with it. Sessions with
    /// other peers stay open until they end.
    pub fn set_targets(self: &Arc<Self>, peers: &IndexMap<InstanceId, SocketAddr>) {
        let mut targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        targets.retain(|id, target| {
            let keep = peers.get(id) == Some(&target.address);
            if !keep {
                target.stop.cancel();
            }
            keep
        });
        for (id, &address) in peers {
            if targets.contains_key(id) {
                continue;
            }
            let stop = self.stop.child_token();
            tokio::spawn(Arc::clone(self).keep_connected(id.clone(), address, stop.clone()));
            targets.insert(id.clone(), Target { address, stop });
        }
    }

    /// Accepts sessions until [`Peers::close`] is called.
    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(Arc::clone(&self).accept(stream));
                }
                Err(error) => {
                    slog::warn!(self.log, "peer_accept_failed"; "error" => %error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Closes all sessions and stops accepting and opening sessions.
    pub fn close(&self) {
        self.stop.cancel();
        for session in self.sessions.load().values() {
            session.close();
        }
    }

    fn hello(&self) -> Hello {
        self.hello.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn accept(self: Arc<Self>, stream: TcpStream) {
        if self.sessions.load().len() >= MAX_SESSIONS {
            slog::warn!(self.log, "too_many_sessions"; "most" => MAX_SESSIONS);
            return;
        }
        match session::open(stream, self.hello()).await {
            Ok((session, events)) => self.run_session(session, events).await,
            Err(error) => debug!(self.log, "session_refused"; "error" => %error),
        }
    }

    async fn keep_connected(self: Arc<Self>, peer: InstanceId, address: SocketAddr, stop: CancellationToken) {
        let mut backoff = MIN_BACKOFF;
        while !stop.is_cancelled() {
            if let Some(session) = self.session(&peer) {
                // The peer has already connected, and one session serves both directions.
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = session.closed() => {}
                }
            }
            match session::connect(address, self.hello(), CONNECT_TIMEOUT).await {
                Ok((session, events)) => {
                    backoff = MIN_BACKOFF;
                    // The session outlives the target, since a leaving peer still replies to pending requests.
                    tokio::spawn(Arc::clone(&self).run_session(session.clone(), events));
                    tokio::select! {
                        () = stop.cancelled() => return,
                        () = session.closed() => {}
                    }
                }
                Err(error) => {
                    debug!(self.log, "connect_failed"; "peer" => &*peer, "error" => %error);
                    self.handler.on_unreachable(&peer);
                }
            }
            let wait = jittered(backoff);
            backoff = (backoff * 2).min(MAX_BACKOFF);
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(wait) => {}
            }
        }
    }

    async fn run_session(self: Arc<Self>, session: SessionHandle, mut events: mpsc::Receiver<SessionEvent>) {
        self.register(&session);
        loop {
            // Two peers that connect to each other simultaneously have two sessions, of which the map holds one.
            let event = tokio::select! {
                () = self.stop.cancelled() => break session.close(),
                event = events.recv() => event,
            };
            match event {
                Some(SessionEvent::Frame(body)) => self.handler.on_frame(&session, body),
                Some(SessionEvent::Closed) | None => break,
            }
        }
        self.unregister(&session);
    }

    fn register(&self, session: &SessionHandle) {
        let peer = session.peer().clone();
        self.sessions.rcu(|sessions| {
            let mut updated = IndexMap::clone(sessions);
            updated.insert(peer.instance.as_str().into(), session.clone());
            updated
        });
        info!(self.log, "session_opened"; "peer" => &peer.instance, "incarnation" => peer.incarnation);
        self.handler.on_opened(session);
    }

    /// Removes a session from the map if it is the current one, and reports its end to the handler at most once.
    fn unregister(&self, session: &SessionHandle) {
        let peer = session.peer();
        let mut was_current = false;
        self.sessions.rcu(|sessions| {
            let current = sessions.get(peer.instance.as_str());
            was_current = current.is_some_and(|current| current.id() == session.id());
            let mut updated = IndexMap::clone(sessions);
            if was_current {
                updated.shift_remove(peer.instance.as_str());
            }
            updated
        });
        if session.mark_reported() {
            info!(self.log, "session_closed"; "peer" => &peer.instance, "incarnation" => peer.incarnation);
            self.handler.on_closed(session);
        }
    }
}

fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(0.5..1.5))
}
