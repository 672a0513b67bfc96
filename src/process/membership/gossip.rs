//! Exchange of signals between instances, and construction of views.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::ids::Incarnation;
use crate::ids::InstanceId;
use crate::ids::SearcherId;
use crate::process::membership::state::Action;
use crate::process::membership::state::CHECKSUM_INTERVAL;
use crate::process::membership::state::MAX_SIGNALS;
use crate::process::membership::state::Membership;
use crate::process::membership::view::Instance;
use crate::process::membership::view::State;
use crate::process::membership::view::View;
use crate::wire::proto::Signal;
use crate::wire::proto::SignalKind;
use crate::wire::proto::Signals;

/// Peers that get a new signal in each round. With [`BROADCAST_ROUNDS`] rounds, every instance receives it about 15
/// times, so the loss of a few peers does not prevent delivery.
const FANOUT: usize = 3;

/// Rounds in which a new signal is sent.
const BROADCAST_ROUNDS: u32 = 5;

/// Interval between rounds.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(150);

/// Interval between probes while the view is not current.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum wait for the reply of a peer after a start or a pause. Without a reply, the process continues with the
/// peers that it can reach.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum age of an announced stop that is accepted from a peer. It bounds for how long a name stays blocked.
const MAX_LEAVING_AGE: Duration = Duration::from_secs(600);

/// Time after which an instance that is no longer listed and is down or leaving is removed.
const FORGET_DELAY: Duration = Duration::from_secs(600);

/// Subject of a signal.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Subject {
    Searcher(SearcherId),
    Instance(InstanceId, Incarnation),
}

/// A change that is still being sent to peers.
#[derive(Debug, Clone, Copy)]
pub(super) struct Broadcast {
    pub rounds_left: u32,
    pub since: Instant,
}

/// A probe of peers while the view is not current. Its nonce identifies the replies, so that messages sent before a
/// pause do not count.
#[derive(Debug)]
pub(super) struct Probe {
    pub nonce: u64,
    pub next_at: Instant,
    pub deadline: Instant,
}

impl Probe {
    pub fn new(rng: &mut SmallRng, now: Instant) -> Self {
        Self {
            nonce: rng.random_range(1..=u64::MAX),
            next_at: now,
            deadline: now + PROBE_TIMEOUT,
        }
    }
}

impl Membership {
    /// Queues the broadcast of a change that happened at `since`. It starts with the next tick.
    pub(super) fn queue_broadcast(&mut self, subject: Subject, since: Instant, now: Instant) {
        let rounds_left = BROADCAST_ROUNDS;
        self.broadcasts.insert(subject, Broadcast { rounds_left, since });
        self.next_round = Some(now);
    }

    pub(super) fn send_broadcasts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let broadcasts = self.broadcasts.iter();
        let signals: Vec<Signal> = broadcasts
            .filter_map(|(subject, broadcast)| self.signal_for(subject, broadcast.since, now))
            .collect();
        let message = self.signals_message(signals);
        for to in self.choose_signal_peers(FANOUT) {
            let signals = message.clone();
            actions.push(Action::Send { to, signals });
        }
        self.broadcasts.retain(|_, broadcast| {
            broadcast.rounds_left -= 1;
            broadcast.rounds_left > 0
        });
        self.next_round = (!self.broadcasts.is_empty()).then_some(now + BROADCAST_INTERVAL);
    }

    /// Sends the checksum to one random peer, which replies if its own differs.
    pub(super) fn send_checksum(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.next_checksum = now
            + self
                .rng
                .random_range(CHECKSUM_INTERVAL * 3 / 4..CHECKSUM_INTERVAL * 5 / 4);
        let message = self.signals_message(Vec::new());
        for to in self.choose_signal_peers(1) {
            let signals = message.clone();
            actions.push(Action::Send { to, signals });
        }
    }

    pub(super) fn send_probes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(probe) = &mut self.probe else { return };
        if now >= probe.deadline {
            self.probe = None;
            self.is_dirty = true;
            return;
        }
        if now < probe.next_at {
            return;
        }
        probe.next_at = now + PROBE_INTERVAL;
        let ask = probe.nonce;
        let all = self.searchers.signals(now);
        let message = Signals {
            ask,
            ..self.signals_message(all)
        };
        for to in self.choose_signal_peers(FANOUT) {
            let signals = message.clone();
            actions.push(Action::Send { to, signals });
        }
    }

    /// Replies to a probe and to a checksum that differs. The reply to a checksum asks for a reply in turn, because
    /// this process may also lack signals; an exchange ends after three messages.
    pub(super) fn reply(&mut self, from: &str, message: &Signals, now: Instant, actions: &mut Vec<Action>) {
        let differs = message.checksum != self.searchers.checksum();
        let is_checksum_only = message.signals.is_empty() && message.answer == 0;
        if message.ask == 0 && !message.exchange && !(differs && is_checksum_only) {
            return;
        }
        let all = self.searchers.signals(now);
        let signals = Signals {
            answer: message.ask,
            exchange: message.ask == 0 && !message.exchange,
            ..self.signals_message(all)
        };
        let to = from.into();
        actions.push(Action::Send { to, signals });
    }

    pub(super) fn merge(&mut self, signal: &Signal, now: Instant) {
        let age = Duration::from_micros(signal.age_us);
        if signal.kind() == SignalKind::InstanceLeaving {
            self.merge_leaving(signal, age, now);
            return;
        }
        let at = now.checked_sub(age).unwrap_or(now);
        if self.searchers.on_signal(signal, at) {
            self.is_dirty = true;
            self.queue_broadcast(Subject::Searcher(signal.subject.as_str().into()), at, now);
        }
    }

    /// Handles a pause of this process.
    pub(super) fn resume(&mut self, now: Instant) {
        for record in self.records.values_mut() {
            record.on_pause(now);
        }
        self.probe = Some(Probe::new(&mut self.rng, now));
        self.is_dirty = true;
    }

    pub(super) fn update_states(&mut self, now: Instant) {
        for record in self.records.values_mut() {
            self.is_dirty |= record.update_state(now);
        }
        let before = self.records.len();
        self.records.retain(|_, record| {
            let is_gone = record.state == State::Down || record.state == State::Leaving;
            !is_gone || record.absent_since.is_none_or(|since| now < since + FORGET_DELAY)
        });
        self.is_dirty |= before != self.records.len();
    }

    /// Publishes a new view if it differs from the last one.
    pub(super) fn publish_changes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.is_dirty {
            return;
        }
        self.is_dirty = false;
        self.update_states(now);
        let view = Arc::new(self.build_view());
        if *view != *self.view {
            self.view = Arc::clone(&view);
            actions.push(Action::Publish(view));
        }
        self.is_dirty = false;
    }

    fn merge_leaving(&mut self, signal: &Signal, age: Duration, now: Instant) {
        if age > MAX_LEAVING_AGE || *signal.subject == *self.settings.instance {
            return;
        }
        let Some(record) = self.records.get_mut(signal.subject.as_str()) else {
            return;
        };
        if record.on_leaving(signal.incarnation) {
            self.is_dirty = true;
            let subject = Subject::Instance(signal.subject.as_str().into(), signal.incarnation);
            let since = now.checked_sub(age).unwrap_or(now);
            self.queue_broadcast(subject, since, now);
        }
    }

    fn signal_for(&self, subject: &Subject, since: Instant, now: Instant) -> Option<Signal> {
        match subject {
            Subject::Searcher(id) => self.searchers.signal(id, now),
            Subject::Instance(id, incarnation) => Some(Signal {
                kind: SignalKind::InstanceLeaving.into(),
                subject: id.to_string(),
                incarnation: *incarnation,
                age_us: to_micros(now.saturating_duration_since(since)),
                list_version: self.version,
            }),
        }
    }

    fn signals_message(&self, mut signals: Vec<Signal>) -> Signals {
        signals.truncate(MAX_SIGNALS);
        Signals {
            signals,
            checksum: self.searchers.checksum(),
            ask: 0,
            answer: 0,
            current: self.probe.is_none(),
            exchange: false,
        }
    }

    /// Returns up to `count` distinct random peers for signals: all but the last from the local data centre, the last
    /// from any. A single peer comes from any data centre in one call of four, and otherwise from the local one. All
    /// come from any data centre if there is no local peer. The dissemination chooses the peers for its digests by
    /// another rule.
    fn choose_signal_peers(&mut self, count: usize) -> Vec<InstanceId> {
        let mut local = Vec::new();
        let mut all = Vec::new();
        for (id, record) in &self.records {
            if record.state.is_live() {
                all.push(id);
                if record.data_centre == self.settings.data_centre {
                    local.push(id);
                }
            }
        }
        let mut chosen = Vec::new();
        for nth in 0..count {
            let any_centre = nth + 1 == count && (count > 1 || self.rng.random_ratio(1, 4));
            let from = if any_centre || local.is_empty() { &all } else { &local };
            if from.is_empty() {
                break;
            }
            let id = from[self.rng.random_range(0..from.len())];
            if !chosen.contains(id) {
                chosen.push(id.clone());
            }
        }
        chosen
    }

    fn build_view(&self) -> View {
        let mut instances = IndexMap::with_capacity(self.records.len() + 1);
        instances.insert(self.settings.instance.clone(), self.own_instance());
        for (id, record) in &self.records {
            let instance = Instance {
                role: record.role,
                data_centre: record.data_centre.clone(),
                address: record.listed.as_ref().map(|listed| listed.address),
                state: record.state,
                incarnation: record.incarnation,
            };
            instances.insert(id.clone(), instance);
        }
        instances.sort_unstable_keys();
        let listed = self.records.values().filter(|record| record.listed.is_some()).count();
        let peer_count = if self.version == 0 { self.records.len() } else { listed };
        View {
            instances,
            leaving: self.searchers.leaving(),
            fleet_size: peer_count + 1,
            version: self.version,
            current: self.probe.is_none(),
        }
    }

    fn own_instance(&self) -> Instance {
        let settings = &self.settings;
        Instance {
            role: settings.role,
            data_centre: settings.data_centre.clone(),
            address: Some(settings.address),
            state: if self.leaving { State::Leaving } else { State::Up },
            incarnation: settings.incarnation,
        }
    }
}

pub(super) fn to_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
