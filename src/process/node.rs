//! What an entry and a leaf have in common: sessions with peers, membership, and the configuration in effect.
//!
//! One control task owns the state machines [`Membership`](crate::process::membership::Membership) and
//! [`Dissemination`](crate::process::dissemination::Dissemination). The path of a request reads only what the task
//! publishes, by read-copy-update.

pub mod control;
pub mod reads;
pub mod valid;

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

/// Inputs that wait for the control task. Beyond it observations are dropped; each is repeated by a later one.
const CONTROL_INPUTS: usize = 4096;

/// Who this process is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Program that it runs.
    pub role: Role,
    /// Number of this start.
    pub incarnation: Incarnation,
    /// Address of its interface for peers.
    pub address: SocketAddr,
}

impl Identity {
    /// Returns the first frame that this process sends on a session.
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

/// Makes the number of this start from the wall clock, in microseconds.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}

/// Configuration in effect.
#[derive(Debug)]
pub struct Version {
    /// Tables of the document.
    pub tables: Arc<Tables>,
    /// Digest of the root.
    pub digest: Digest,
}

/// State that the control task publishes, and the way to reach it.
pub struct Node {
    /// Who this process is.
    pub identity: Identity,
    /// Timer service.
    pub timer: Timer,
    /// Logger.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// Whether the process takes new requests.
    pub readiness: Readiness,
    view: ArcSwap<View>,
    views: watch::Sender<Arc<View>>,
    version: ArcSwapOption<Version>,
    versions: watch::Sender<Option<Arc<Version>>>,
    current: AtomicBool,
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
    /// Makes the shared state, and the queue that [`control::run`] reads.
    #[must_use]
    pub fn new(
        identity: Identity,
        timer: Timer,
        metrics: Metrics,
        log: Logger,
    ) -> (Arc<Self>, mpsc::Receiver<ControlInput>) {
        let (control, inputs) = mpsc::channel(CONTROL_INPUTS);
        let node = Self {
            identity,
            timer,
            log,
            metrics,
            readiness: Readiness::default(),
            view: ArcSwap::default(),
            views: watch::Sender::new(Arc::default()),
            version: ArcSwapOption::empty(),
            versions: watch::Sender::new(None),
            current: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            control,
        };
        (Arc::new(node), inputs)
    }

    /// Returns the view of the fleet.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Subscribes to changes of the view.
    #[must_use]
    pub fn views(&self) -> watch::Receiver<Arc<View>> {
        self.views.subscribe()
    }

    /// Returns the configuration in effect.
    #[must_use]
    pub fn version(&self) -> Option<Arc<Version>> {
        self.version.load_full()
    }

    /// Subscribes to changes of the configuration in effect.
    #[must_use]
    pub fn versions(&self) -> watch::Receiver<Option<Arc<Version>>> {
        self.versions.subscribe()
    }

    /// Tells whether the process knows that its configuration is current.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.current.load(Ordering::Acquire)
    }

    /// Tells whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Gives an observation to the control task. It is dropped when the task is far behind.
    pub fn observe(&self, input: ControlInput) {
        let _far_behind = self.control.try_send(input);
    }

    /// Gives the result of a read to the control task and waits for room, since nothing repeats it.
    pub async fn report(&self, input: ControlInput) {
        let _process_ends = self.control.send(input).await;
    }

    /// Gives the result of work on a blocking thread to the control task, like [`Node::report`].
    pub fn report_blocking(&self, input: ControlInput) {
        let _process_ends = self.control.blocking_send(input);
    }

    /// Notes that a searcher said it is leaving.
    pub fn searcher_leaving(&self, searcher: &SearcherId) {
        self.observe(ControlInput::SearcherLeaving(searcher.clone()));
    }

    /// Handles the frames that both programs share. Returns the frame when it is of another kind.
    #[must_use]
    pub fn on_shared_frame(&self, session: &SessionHandle, body: Body) -> Option<Body> {
        let from = || session.peer().instance.as_str().into();
        match body {
            Body::Ping(ping) => {
                let _closed = session.send(Body::Pong(proto::Pong { nonce: ping.nonce }));
                self.observe(ControlInput::Heard(from()));
                None
            }
            Body::Pong(_) => {
                self.observe(ControlInput::Heard(from()));
                None
            }
            Body::Digest(_) | Body::Fetch(_) | Body::Parts(_) | Body::Signals(_) | Body::GoAway(_) => {
                self.observe(ControlInput::Frame(from(), body));
                None
            }
            other => Some(other),
        }
    }

    /// Notes that a session opened.
    pub fn on_session_opened(&self, session: &SessionHandle) {
        self.observe(ControlInput::Opened(session.peer().clone()));
    }

    /// Notes that a session closed, unless another session with the peer is open.
    pub fn on_session_closed(&self, session: &SessionHandle, peers: &Peers) {
        let peer = session.peer().instance.as_str();
        if peers.session(peer).is_none() {
            self.observe(ControlInput::Lost(peer.into()));
        }
    }

    fn publish_view(&self, view: Arc<View>) {
        self.view.store(Arc::clone(&view));
        self.views.send_replace(view);
    }

    fn publish_version(&self, version: Arc<Version>) {
        self.metrics
            .revision
            .set(i64::try_from(version.tables.revision).unwrap_or(i64::MAX));
        self.version.store(Some(Arc::clone(&version)));
        self.versions.send_replace(Some(version));
    }

    fn set_current(&self, current: bool) {
        self.current.store(current, Ordering::Release);
        self.update_readiness();
    }

    /// Begins a planned stop: the process is not ready. It keeps its ranks, so that it serves what still comes.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.update_readiness();
    }

    /// Takes this process out of the ranks of its own view, at the end of the notice of a planned stop.
    pub fn leave_ranks(&self) {
        self.observe(ControlInput::Stop);
    }

    fn update_readiness(&self) {
        let ready = self.is_current() && !self.is_stopping() && self.version.load().is_some();
        self.readiness.set(ready);
    }
}

/// Sessions that a process keeps to each other data centre for control messages. One may be lost without cutting the
/// process off.
const REMOTE_PEERS: usize = 2;

/// Returns the peers that a process keeps sessions to.
///
/// All instances of the own data centre and, for each other data centre, two by rank, carry the control messages. An entry
/// also keeps sessions to all leaves, since hedges and coverage need the replicas of other data centres. Instances that
/// are down stay wanted: after a partition both sides hold the other to be down, and someone has to connect again.
#[must_use]
pub fn wanted_peers(identity: &Identity, view: &View) -> IndexMap<InstanceId, SocketAddr> {
    let mut wanted = IndexMap::new();
    let mut remote: IndexMap<&str, Vec<&InstanceId>> = IndexMap::new();
    for (id, instance) in &view.instances {
        let Some(address) = instance.address else { continue };
        if instance.state == State::Leaving || *id == identity.instance {
            continue;
        }
        let is_local = instance.data_centre == identity.data_centre;
        let is_needed = identity.role == Role::Entry && instance.role == Role::Leaf;
        if is_local || is_needed {
            wanted.insert(id.clone(), address);
        } else {
            remote.entry(&instance.data_centre).or_default().push(id);
        }
    }
    for ids in remote.values() {
        let live: Vec<&InstanceId> = ids.iter().copied().filter(|id| view.state(id).is_live()).collect();
        let ranked = if live.is_empty() { ids } else { &live };
        for id in rank::top_ranked(&identity.instance, ranked.iter().map(|id| &***id), REMOTE_PEERS) {
            if let Some(address) = view.instances.get(id).and_then(|instance| instance.address) {
                wanted.insert(id.into(), address);
            }
        }
    }
    wanted
}
