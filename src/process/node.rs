//! State shared by entries and leaves: sessions with peers, membership, and the configuration in effect.
//!
//! The control task owns the state machines [`Membership`](crate::process::membership::Membership) and
//! [`Dissemination`](crate::process::dissemination::Dissemination). It publishes their results by read-copy-update, and
//! request handlers read only these.

pub mod control;
pub mod platform_reader;
pub mod validation;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use indexmap::IndexMap;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::connection::session::SessionHandle;
use crate::ids::DataCentreId;
use crate::ids::Digest;
use crate::ids::Incarnation;
use crate::ids::InstanceId;
use crate::ids::SearcherId;
use crate::process::admin::Readiness;
use crate::process::membership::Role;
use crate::process::membership::State;
use crate::process::membership::View;
use crate::process::metrics::Metrics;
use crate::process::node::control::ControlInput;
use crate::process::ownership::rank;
use crate::process::peers::Peers;
use crate::process::timer::Timer;
use crate::version::tables::Tables;
use crate::wire::codec::PROTOCOL_VERSION;
use crate::wire::proto;
use crate::wire::proto::Hello;
use crate::wire::proto::frame::Body;

/// Capacity of the input channel of the control task. When it is full, inputs sent by [`Node::try_notify`] are dropped;
/// a later observation repeats each of them.
const CONTROL_INPUT_CAPACITY: usize = 4096;

/// Identity of a process in the fleet.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Data centre in which the process runs.
    pub data_centre: DataCentreId,
    /// Role of the program.
    pub role: Role,
    /// Number of this start of the process; see [`new_incarnation`].
    pub incarnation: Incarnation,
    /// Address on which the process accepts sessions of peers.
    pub address: SocketAddr,
}

impl Identity {
    /// Builds the `Hello` frame, which is the first frame on each session.
    #[must_use]
    pub fn hello(&self, revision: u64) -> Hello {
        let role = match self.role {
            Role::Entry => proto::Role::Entry,
            Role::Leaf => proto::Role::Leaf,
        };
        Hello {
            protocol: PROTOCOL_VERSION,
            instance: self.instance.to_string(),
            incarnation: self.incarnation,
            data_centre: self.data_centre.to_string(),
            role: role.into(),
            revision,
        }
    }
}

/// Returns a new incarnation number: the wall clock in microseconds since the Unix epoch.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}

/// Configuration in effect.
#[derive(Debug)]
pub struct ActiveConfig {
    /// Lookup tables built from the document.
    pub tables: Arc<Tables>,
    /// SHA-256 of the document root.
    pub digest: Digest,
}

/// State published by the control task, and the channel to that task.
pub struct Node {
    /// Identity of this process.
    pub identity: Identity,
    /// Clock and timers of the process.
    pub timer: Timer,
    /// Logger of the process.
    pub log: Logger,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Whether the process accepts new requests.
    pub readiness: Readiness,
    view: ArcSwap<View>,
    view_sender: watch::Sender<Arc<View>>,
    config: ArcSwapOption<ActiveConfig>,
    config_sender: watch::Sender<Option<Arc<ActiveConfig>>>,
    config_current: AtomicBool,
    stopping: AtomicBool,
    control: mpsc::Sender<ControlInput>,
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Node")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

impl Node {
    /// Creates the shared state, and the channel of inputs for [`control::run`].
    #[must_use]
    pub fn new(
        identity: Identity,
        timer: Timer,
        metrics: Metrics,
        log: Logger,
    ) -> (Arc<Self>, mpsc::Receiver<ControlInput>) {
        let (control, inputs) = mpsc::channel(CONTROL_INPUT_CAPACITY);
        let node = Self {
            identity,
            timer,
            log,
            metrics,
            readiness: Readiness::default(),
            view: ArcSwap::default(),
            view_sender: watch::Sender::new(Arc::default()),
            config: ArcSwapOption::empty(),
            config_sender: watch::Sender::new(None),
            config_current: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            control,
        };
        (Arc::new(node), inputs)
    }

    /// Returns the current view of the fleet.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Subscribes to changes of the view.
    #[must_use]
    pub fn watch_view(&self) -> watch::Receiver<Arc<View>> {
        self.view_sender.subscribe()
    }

    /// Returns the configuration in effect, or `None` when no document is in effect yet.
    #[must_use]
    pub fn config(&self) -> Option<Arc<ActiveConfig>> {
        self.config.load_full()
    }

    /// Subscribes to changes of the configuration in effect.
    #[must_use]
    pub fn watch_config(&self) -> watch::Receiver<Option<Arc<ActiveConfig>>> {
        self.config_sender.subscribe()
    }

    /// Returns whether the configuration in effect is known to be current.
    #[must_use]
    pub fn is_config_current(&self) -> bool {
        self.config_current.load(Ordering::Acquire)
    }

    /// Returns whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Sends an observation to the control task. It is dropped when the input channel is full.
    pub fn try_notify(&self, input: ControlInput) {
        let _queue_full = self.control.try_send(input);
    }

    /// Sends the result of a read to the control task. Waits for room in the input channel, because a lost result is
    /// not sent again.
    pub async fn notify(&self, input: ControlInput) {
        let _task_ended = self.control.send(input).await;
    }

    /// Sends an input from a blocking thread. Like [`Node::notify`], it waits for room in the input channel.
    pub fn notify_blocking(&self, input: ControlInput) {
        let _task_ended = self.control.blocking_send(input);
    }

    /// Reports that a reply of a searcher had the draining flag.
    pub fn report_searcher_leaving(&self, searcher: &SearcherId) {
        self.try_notify(ControlInput::SearcherLeaving(searcher.clone()));
    }

    /// Handles the frames that entries and leaves treat alike. Returns any other frame to the caller.
    #[must_use]
    pub fn on_shared_frame(&self, session: &SessionHandle, body: Body) -> Option<Body> {
        let from = || session.peer().instance.as_str().into();
        match body {
            Body::Ping(ping) => {
                let _closed = session.send(Body::Pong(proto::Pong { nonce: ping.nonce }));
                self.try_notify(ControlInput::PeerHeard(from()));
                None
            }
            Body::Pong(_) => {
                self.try_notify(ControlInput::PeerHeard(from()));
                None
            }
            Body::Digest(_) | Body::Fetch(_) | Body::Parts(_) | Body::Signals(_) | Body::GoAway(_) => {
                self.try_notify(ControlInput::Frame(from(), body));
                None
            }
            other => Some(other),
        }
    }

    /// Reports a new session to the control task.
    pub fn on_session_opened(&self, session: &SessionHandle) {
        self.try_notify(ControlInput::SessionOpened(session.peer().clone()));
    }

    /// Reports a closed session to the control task, unless another session with the peer is open.
    pub fn on_session_closed(&self, session: &SessionHandle, peers: &Peers) {
        let peer = session.peer().instance.as_str();
        if peers.session(peer).is_none() {
            self.try_notify(ControlInput::SessionLost(peer.into()));
        }
    }

    fn publish_view(&self, view: Arc<View>) {
        self.view.store(Arc::clone(&view));
        self.view_sender.send_replace(view);
    }

    fn publish_config(&self, config: Arc<ActiveConfig>) {
        self.metrics
            .revision
            .set(i64::try_from(config.tables.revision).unwrap_or(i64::MAX));
        self.config.store(Some(Arc::clone(&config)));
        self.config_sender.send_replace(Some(config));
    }

    fn set_config_current(&self, current: bool) {
        self.config_current.store(current, Ordering::Release);
        self.update_readiness();
    }

    /// Begins a planned stop. The process is no longer ready, but it keeps its ranks and serves requests that still
    /// arrive.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.update_readiness();
    }

    /// Removes this process from the ranks of its own view. Called when the notice period of a planned stop ends.
    pub fn leave_placement(&self) {
        self.try_notify(ControlInput::LeavePlacement);
    }

    fn update_readiness(&self) {
        let ready = self.is_config_current() && !self.is_stopping() && self.config.load().is_some();
        self.readiness.set(ready);
    }
}

/// Number of sessions kept to each other data centre for control messages. Two, so that the loss of one does not cut
/// the process off.
const REMOTE_PEERS: usize = 2;

/// Returns the peers that a process keeps sessions to, with their addresses.
///
/// These are all instances of its own data centre and two instances of each other data centre, chosen by rank. An entry
/// also keeps sessions to all leaves, because hedges and coverage need the replicas of other data centres. Instances
/// that are down are included: after a partition each side considers the other down, and one of them must reconnect.
#[must_use]
pub fn target_peers(identity: &Identity, view: &View) -> IndexMap<InstanceId, SocketAddr> {
    let mut targets = IndexMap::new();
    let mut remote: IndexMap<&str, Vec<&InstanceId>> = IndexMap::new();
    for (id, instance) in &view.instances {
        let Some(address) = instance.address else { continue };
        if instance.state == State::Leaving || *id == identity.instance {
            continue;
        }
        let is_local = instance.data_centre == identity.data_centre;
        let is_needed = identity.role == Role::Entry && instance.role == Role::Leaf;
        if is_local || is_needed {
            targets.insert(id.clone(), address);
        } else {
            remote.entry(&instance.data_centre).or_default().push(id);
        }
    }
    for ids in remote.values() {
        let live: Vec<&InstanceId> = ids.iter().copied().filter(|id| view.state(id).is_live()).collect();
        let ranked = if live.is_empty() { ids } else { &live };
        for id in rank::top_ranked(&identity.instance, ranked.iter().map(|id| &***id), REMOTE_PEERS) {
            if let Some(address) = view.instances.get(id).and_then(|instance| instance.address) {
                targets.insert(id.into(), address);
            }
        }
    }
    targets
}
