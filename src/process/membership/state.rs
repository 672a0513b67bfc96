//! State machine of the membership.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::ids::DataCentreId;
use crate::ids::Incarnation;
use crate::ids::InstanceId;
use crate::process::membership::gossip::Broadcast;
use crate::process::membership::gossip::Probe;
use crate::process::membership::gossip::Subject;
use crate::process::membership::instance::InstanceRecord;
use crate::process::membership::searchers::SearcherStates;
use crate::process::membership::view::ItemKind;
use crate::process::membership::view::PlatformList;
use crate::process::membership::view::Role;
use crate::process::membership::view::View;
use crate::wire::proto;
use crate::wire::proto::Hello;
use crate::wire::proto::Signals;

/// Mean interval between comparisons of checksums with a random peer.
pub(super) const CHECKSUM_INTERVAL: Duration = Duration::from_millis(1000);

/// Maximum number of signals in one message, which is then about 1 MB.
pub(super) const MAX_SIGNALS: usize = 16_384;

/// Interval between updates of all instance states. At every tick of 5 ms, they would cost considerable time in a fleet
/// of thousands.
const STATE_UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Identity of this process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the local instance.
    pub instance: InstanceId,
    /// Program that the local instance runs.
    pub role: Role,
    /// Data centre of the local instance.
    pub data_centre: DataCentreId,
    /// Address of the peer interface.
    pub address: std::net::SocketAddr,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
}

/// Action for the caller to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Replace the current view.
    Publish(Arc<View>),
    /// Send signals to a peer. They are dropped if there is no session with it, because other peers get them too.
    Send {
        /// Receiving peer.
        to: InstanceId,
        /// Signals to send.
        signals: Signals,
    },
}

/// State machine that merges the platform's list, local observations and the signals of peers. It does no I/O: every
/// input may add [`Action`]s, which the caller executes.
#[derive(Debug)]
pub struct Membership {
    pub(super) settings: Settings,
    pub(super) rng: SmallRng,
    pub(super) records: IndexMap<InstanceId, InstanceRecord>,
    pub(super) searchers: SearcherStates,
    pub(super) version: u64,
    pub(super) leaving: bool,
    pub(super) view: Arc<View>,
    pub(super) is_dirty: bool,
    pub(super) broadcasts: IndexMap<Subject, Broadcast>,
    pub(super) next_round: Option<Instant>,
    pub(super) next_checksum: Instant,
    next_update: Instant,
    pub(super) probe: Option<Probe>,
}

impl Membership {
    /// Creates the state machine of a process that knows only itself.
    #[must_use]
    pub fn new(settings: Settings, mut rng: SmallRng, now: Instant) -> Self {
        let probe = Probe::new(&mut rng, now);
        let next_checksum = now + rng.random_range(CHECKSUM_INTERVAL / 2..CHECKSUM_INTERVAL);
        Self {
            settings,
            rng,
            records: IndexMap::new(),
            searchers: SearcherStates::default(),
            version: 0,
            leaving: false,
            view: Arc::default(),
            is_dirty: true,
            broadcasts: IndexMap::new(),
            next_round: None,
            next_checksum,
            next_update: now,
            probe: Some(probe),
        }
    }

    /// Returns the last published view.
    #[must_use]
    pub const fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Applies a list of the platform. A list whose version is not greater than the last one is ignored, because the
    /// platform may return stale data.
    pub fn on_list(&mut self, list: PlatformList, now: Instant, actions: &mut Vec<Action>) {
        if list.version <= self.version {
            return;
        }
        self.version = list.version;
        self.is_dirty = true;
        let searchers = list.entries.iter().filter(|item| item.kind == ItemKind::Searcher);
        for id in self.searchers.on_list(searchers, list.version, now) {
            self.queue_broadcast(Subject::Searcher(id), now, now);
        }
        let mut listed_instances = IndexMap::new();
        for item in list.entries {
            if let ItemKind::Instance(role) = item.kind {
                listed_instances.insert(item.id.clone(), (role, item));
            }
        }
        for (id, record) in &mut self.records {
            if !listed_instances.contains_key(id) {
                record.on_listed(None, now);
            }
        }
        for (id, (role, item)) in listed_instances {
            if id != self.settings.instance {
                let record = self.records.entry(id).or_insert_with(|| InstanceRecord::new(role));
                record.role = role;
                record.on_listed(Some(item), now);
            }
        }
        self.publish_changes(now, actions);
    }

    /// Handles the first message of a session, which proves that the peer is running.
    pub fn on_session_opened(&mut self, hello: &Hello, now: Instant, actions: &mut Vec<Action>) {
        if *hello.instance == *self.settings.instance {
            return;
        }
        let role = match hello.role() {
            proto::Role::Leaf => Role::Leaf,
            proto::Role::Entry | proto::Role::Unspecified => Role::Entry,
        };
        let id: InstanceId = hello.instance.as_str().into();
        let record = self.records.entry(id).or_insert_with(|| InstanceRecord::new(role));
        if record.listed.is_none() {
            record.role = role;
            record.data_centre = hello.data_centre.as_str().into();
        }
        self.is_dirty |= record.on_session(hello.incarnation, now);
        self.is_dirty |= record.update_state(now);
        self.publish_changes(now, actions);
    }

    /// Handles the loss of the session with a peer, without a go-away.
    pub fn on_session_lost(&mut self, id: &str, now: Instant, actions: &mut Vec<Action>) {
        self.update_record(id, now, actions, |record| record.on_session_lost(now));
    }

    /// Handles a failed attempt to connect to a peer.
    pub fn on_connect_failed(&mut self, id: &str, now: Instant, actions: &mut Vec<Action>) {
        self.update_record(id, now, actions, |record| record.on_connect_failed(now));
    }

    /// Handles a ping, a pong or signals of a peer.
    pub fn on_heard(&mut self, id: &str, now: Instant, actions: &mut Vec<Action>) {
        self.update_record(id, now, actions, |record| record.on_heard(now));
    }

    /// Handles the go-away of a peer.
    pub fn on_go_away(&mut self, id: &str, now: Instant, actions: &mut Vec<Action>) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        let incarnation = record.incarnation;
        if record.on_leaving(incarnation) {
            self.is_dirty |= record.update_state(now);
            self.queue_broadcast(Subject::Instance(id.into(), incarnation), now, now);
        }
        self.publish_changes(now, actions);
    }

    /// Handles a searcher that set its draining flag or refused a request because it is leaving.
    pub fn on_searcher_leaving(&mut self, searcher: &str, now: Instant, actions: &mut Vec<Action>) {
        if self.searchers.on_leaving(searcher, self.version, now) {
            self.is_dirty = true;
            self.queue_broadcast(Subject::Searcher(searcher.into()), now, now);
        }
        self.publish_changes(now, actions);
    }

    /// Handles a reply without the draining flag, in an exchange that began at `started`. It proves the searcher usable
    /// only if the exchange started late enough after the last sign of leaving. A leaving searcher gets no work, so the
    /// leaf that holds it must occasionally open a connection and read its state.
    pub fn on_searcher_usable(&mut self, searcher: &str, started: Instant, now: Instant, actions: &mut Vec<Action>) {
        if self.searchers.on_usable(searcher, started, self.version, now) {
            self.is_dirty = true;
            self.queue_broadcast(Subject::Searcher(searcher.into()), now, now);
        }
        self.publish_changes(now, actions);
    }

    /// Merges the signals of a peer. Replies if the peer asked for it or if its checksum differs.
    pub fn on_signals(&mut self, from: &str, message: &Signals, now: Instant, actions: &mut Vec<Action>) {
        for signal in message.signals.iter().take(MAX_SIGNALS) {
            self.merge(signal, now);
        }
        let is_reply = self.probe.as_ref().is_some_and(|probe| probe.nonce == message.answer);
        if is_reply && message.current {
            self.probe = None;
            self.is_dirty = true;
        }
        self.reply(from, message, now, actions);
        if let Some(record) = self.records.get_mut(from) {
            record.on_heard(now);
        }
        self.publish_changes(now, actions);
    }

    /// Announces the stop of this process and excludes it from the ranking of its own view. The caller calls this when
    /// the notice of the stop ends ([`crate::process::drain::Action::CloseListener`]). Until then the process keeps its
    /// roles, so that its successors can open their connections first.
    pub fn on_stop(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.leaving = true;
        self.is_dirty = true;
        let own = Subject::Instance(self.settings.instance.clone(), self.settings.incarnation);
        self.queue_broadcast(own, now, now);
        self.publish_changes(now, actions);
    }

    /// Runs the timers that are due. `paused` is the length of a gap between ticks that indicates a pause of the
    /// process. After a pause, the view is not current until a peer has replied or the wait for a reply is over.
    pub fn on_tick(&mut self, now: Instant, paused: Option<Duration>, actions: &mut Vec<Action>) {
        if paused.is_some() {
            self.resume(now);
        }
        if self.next_round.is_some_and(|at| now >= at) {
            self.send_broadcasts(now, actions);
        }
        if now >= self.next_checksum {
            self.send_checksum(now, actions);
        }
        self.send_probes(now, actions);
        if now >= self.next_update {
            self.next_update = now + STATE_UPDATE_INTERVAL;
            self.update_states(now);
        }
        self.publish_changes(now, actions);
    }

    /// Returns the time of the next timer. [`Membership::on_tick`] may be called earlier.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let probe = self.probe.as_ref().map(|probe| probe.next_at.min(probe.deadline));
        let times = [Some(self.next_update), Some(self.next_checksum), self.next_round, probe];
        times.into_iter().flatten().min()
    }

    fn update_record(
        &mut self,
        id: &str,
        now: Instant,
        actions: &mut Vec<Action>,
        update: impl FnOnce(&mut InstanceRecord),
    ) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        update(record);
        self.is_dirty |= record.update_state(now);
        self.publish_changes(now, actions);
    }
}
