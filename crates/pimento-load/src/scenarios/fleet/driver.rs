//! Runs the dissemination state machines of all processes on one event queue.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use indexmap::IndexMap;
use pimentoflow::ids::Digest;
use pimentoflow::process::dissemination::Action;
use pimentoflow::process::dissemination::Dissemination;
use pimentoflow::process::dissemination::Document;
use pimentoflow::process::dissemination::DocumentKey;
use pimentoflow::process::dissemination::PlatformResponse;
use pimentoflow::process::dissemination::Settings;
use pimentoflow::process::membership::Instance;
use pimentoflow::process::membership::Role;
use pimentoflow::process::membership::State;
use pimentoflow::process::membership::View;
use pimentoflow::wire::proto::Frame;
use pimentoflow::wire::proto::frame::Body;
use prost::Message;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::events::EventQueue;
use crate::scenarios::fleet::checker::Checker;
use crate::scenarios::fleet::content;
use crate::scenarios::fleet::content::Publication;
use crate::scenarios::fleet::network::Network;
use crate::scenarios::fleet::platform::Platform;

/// Size of the length prefix of a frame, which is counted as traffic with the encoded frame.
const FRAME_HEADER_BYTES: usize = 4;

/// Time that the validation of a document takes. Parsing a root takes a quarter of it.
const VALIDATION_TIME: Duration = Duration::from_millis(20);

/// Size of the fleet and of the document.
#[derive(Debug, Clone, Copy)]
pub struct FleetConfig {
    /// Number of processes.
    pub processes: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of parts in a document.
    pub parts: usize,
    /// Size of a part, in bytes.
    pub part_bytes: usize,
    /// Number of bytes of a part that a change replaces. 0 replaces the whole part.
    pub edit_bytes: usize,
    /// Fleet size that the processes assume in their settings, their view and the interval of their list reads.
    ///
    /// The baseline of `restart-all` sets it to 1, so that the processes do not spread their reads.
    pub assumed_fleet_size: usize,
}

/// All processes with the fake network and the fake platform.
#[derive(Debug)]
pub struct Fleet {
    /// Scheduled events and the virtual clock.
    pub events: EventQueue<Event>,
    /// Random number generator of the fakes.
    pub rng: SmallRng,
    /// Fake network.
    pub network: Network,
    /// Fake platform.
    pub platform: Platform,
    /// Invariant checks.
    pub checker: Checker,
    /// Time from the start of each process until it first served requests.
    pub ready_after: Vec<Option<Duration>>,
    pub(super) config: FleetConfig,
    nodes: Vec<Node>,
    names: IndexMap<Box<str>, usize>,
    view: Arc<View>,
    last_published: Option<Arc<Document>>,
}

#[derive(Debug)]
struct Node {
    dissemination: Option<Dissemination>,
    generation: u32,
    next_tick: Option<Instant>,
    started_at: Duration,
    paused_until: Option<Instant>,
    resumed: bool,
}

/// Event of a process. Events from before a restart have an earlier generation and are dropped.
#[derive(Debug)]
pub struct Event {
    node: usize,
    generation: u32,
    kind: EventKind,
}

#[derive(Debug)]
pub(super) enum EventKind {
    Start,
    View,
    ReadList,
    Tick,
    Message {
        from: usize,
        body: Body,
    },
    PlatformRoot(PlatformResponse),
    Watch {
        after: u64,
        until: Duration,
    },
    PlatformPart {
        digest: Digest,
        body: Option<Bytes>,
    },
    Outline {
        root: Digest,
        body: Bytes,
    },
    Validated(Arc<Document>),
    /// Ends [`Fleet::run_until`].
    Stop,
}

impl Fleet {
    /// Creates a fleet in which no process has started. `latency` bounds the response times of the platform.
    #[must_use]
    pub fn new(config: FleetConfig, latency: (Duration, Duration), seed: u64) -> Self {
        let network = Network::new(config.processes, config.data_centres);
        let names = (0..config.processes).map(|node| (format!("p{node:05}").into(), node));
        let mut fleet = Self {
            events: EventQueue::new(),
            rng: SmallRng::seed_from_u64(seed),
            platform: Platform::new(latency),
            checker: Checker::new(config.processes),
            ready_after: vec![None; config.processes],
            config,
            nodes: Vec::new(),
            names: names.collect(),
            view: Arc::default(),
            network,
            last_published: None,
        };
        fleet.view = Arc::new(fleet.make_view());
        fleet.nodes = (0..config.processes).map(|_| Node::new()).collect();
        fleet
    }

    /// Starts a process after a delay. It gets the list of instances `list_delay` later, without a read of the
    /// platform.
    pub fn start(&mut self, node: usize, after: Duration, list_delay: Duration) {
        self.nodes[node].generation += 1;
        self.nodes[node].dissemination = None;
        self.schedule(node, after, EventKind::Start);
        self.schedule(node, after + list_delay, EventKind::View);
    }

    /// Starts a process that reads the list of instances from the platform after a delay, and retries refused reads.
    pub fn start_reading_list(&mut self, node: usize, after: Duration) {
        self.nodes[node].generation += 1;
        self.schedule(node, Duration::ZERO, EventKind::Start);
        self.schedule(node, after, EventKind::ReadList);
    }

    /// Publishes a document of the next revision, or of the current one if `conflict` is set.
    pub fn publish(&mut self, valid: bool, conflict: bool) {
        let revision = self
            .last_published
            .as_ref()
            .map_or(1, |last| last.key.revision + u64::from(!conflict));
        let publication = content::make_publication(
            revision,
            self.last_published.as_deref(),
            &self.config,
            valid,
            &mut self.rng,
        );
        self.platform.publish(&publication);
        self.record_publication(&publication);
        if valid {
            self.last_published = Some(publication.document);
        }
    }

    /// Pauses a process. Its events are handled when it resumes.
    pub fn pause(&mut self, node: usize, length: Duration) {
        let until = self.events.now() + length;
        self.nodes[node].paused_until = Some(until);
        self.schedule(node, length, EventKind::Tick);
    }

    /// Runs until the virtual time since the start is `until`.
    pub fn run_until(&mut self, until: Duration) {
        let wait = until.saturating_sub(self.events.elapsed());
        self.schedule(0, wait, EventKind::Stop);
        while let Some(event) = self.events.pop() {
            if matches!(event.kind, EventKind::Stop) {
                return;
            }
            self.handle(event);
        }
    }

    /// Returns the processes that are not marked dead.
    pub fn live_nodes(&self) -> impl Iterator<Item = usize> {
        (0..self.config.processes).filter(|&node| !self.network.dead[node])
    }

    /// Returns the fraction of live processes that have `key` in effect.
    #[must_use]
    pub fn fraction_with(&self, key: Option<DocumentKey>) -> f64 {
        let total = self.live_nodes().count();
        let with = self
            .live_nodes()
            .filter(|&node| self.checker.key_in_effect(node) == key)
            .count();
        with as f64 / total.max(1) as f64
    }

    fn record_publication(&mut self, publication: &Publication) {
        let at = self.events.elapsed();
        self.checker.on_published(publication, at);
    }

    fn make_view(&self) -> View {
        let mut instances = IndexMap::new();
        for (name, &node) in &self.names {
            let instance = Instance {
                role: if node.is_multiple_of(2) {
                    Role::Entry
                } else {
                    Role::Leaf
                },
                data_centre: format!("dc{:02}", self.network.data_centre[node]).into(),
                address: None,
                state: State::Up,
                incarnation: 1,
            };
            instances.insert(name.clone(), instance);
        }
        View {
            instances,
            fleet_size: self.config.assumed_fleet_size,
            version: 1,
            current: true,
            ..View::default()
        }
    }

    pub(super) fn schedule(&mut self, node: usize, after: Duration, kind: EventKind) {
        let generation = self.nodes[node].generation;
        let event = Event { node, generation, kind };
        self.events.push(after, event);
    }

    fn handle(&mut self, event: Event) {
        let node = event.node;
        if self.nodes[node].generation != event.generation || self.network.dead[node] {
            return;
        }
        let now = self.events.now();
        if let Some(until) = self.nodes[node].paused_until {
            if now < until {
                self.events.push_at(until, event);
                return;
            }
            self.nodes[node].paused_until = None;
            self.nodes[node].resumed = true;
        }
        match event.kind {
            EventKind::Start => self.start_process(node, now),
            EventKind::Watch { after, until } => self.watch(node, after, until),
            EventKind::ReadList => self.read_list(node),
            kind => self.handle_input(node, kind, now),
        }
    }

    fn start_process(&mut self, node: usize, now: Instant) {
        let settings = Settings {
            instance: self.name(node),
            data_centre: format!("dc{:02}", self.network.data_centre[node]).into(),
            fleet_size: self.config.assumed_fleet_size,
        };
        let rng = SmallRng::seed_from_u64(self.rng.random());
        self.nodes[node].dissemination = Some(Dissemination::new(settings, rng, now));
        self.nodes[node].started_at = self.events.elapsed();
        self.nodes[node].next_tick = None;
        self.checker.on_started(node);
        self.schedule(node, Duration::ZERO, EventKind::Tick);
    }

    fn name(&self, node: usize) -> Box<str> {
        self.names
            .get_index(node)
            .map_or_else(Box::default, |(name, _)| name.clone())
    }

    /// Passes an input to the state machine of a process and executes the resulting actions.
    fn handle_input(&mut self, node: usize, kind: EventKind, now: Instant) {
        let mut actions = Vec::new();
        let view = Arc::clone(&self.view);
        let gap = std::mem::take(&mut self.nodes[node].resumed).then_some(Duration::from_secs(1));
        let Some(machine) = self.nodes[node].dissemination.as_mut() else {
            return;
        };
        if gap.is_some() {
            machine.on_tick(now, gap, &mut actions);
        }
        match kind {
            EventKind::View => machine.on_view(view, now),
            EventKind::Tick => machine.on_tick(now, None, &mut actions),
            EventKind::Message { from, body } => {
                let from = self.names.get_index(from).map_or("", |(name, _)| name);
                match body {
                    Body::Digest(message) => machine.on_digest(from, &message, now, &mut actions),
                    Body::Fetch(message) => machine.on_fetch(from, &message, now, &mut actions),
                    Body::Parts(message) => machine.on_parts(from, &message, now, &mut actions),
                    _ => {}
                }
            }
            EventKind::PlatformRoot(response) => machine.on_platform_root(response, now, &mut actions),
            EventKind::PlatformPart { digest, body } => machine.on_platform_part(digest, body, now, &mut actions),
            EventKind::Outline { root, body } => machine.on_outline(root, content::outline(&body), now, &mut actions),
            EventKind::Validated(document) => {
                machine.on_validated(document.key, content::validate(&document), now, &mut actions);
            }
            EventKind::Start | EventKind::ReadList | EventKind::Watch { .. } | EventKind::Stop => {}
        }
        for action in actions {
            self.execute(node, action);
        }
        self.schedule_tick(node, now);
    }

    /// Schedules the next tick of a process, unless one is scheduled early enough.
    fn schedule_tick(&mut self, node: usize, now: Instant) {
        let state = &mut self.nodes[node];
        let wanted = state.dissemination.as_ref().and_then(Dissemination::next_wakeup);
        let Some(wanted) = wanted else { return };
        let wanted = wanted.max(now + Duration::from_millis(1));
        if state
            .next_tick
            .is_some_and(|planned| now < planned && planned <= wanted)
        {
            return;
        }
        state.next_tick = Some(wanted);
        self.schedule(node, wanted - now, EventKind::Tick);
    }

    fn execute(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { to, body } => self.send(node, &to, body),
            Action::ReadRoot { after, wait } => self.read_root(node, after, wait),
            Action::ReadPart { digest } => self.read_part(node, digest),
            Action::Parse { root, body } => self.schedule(node, VALIDATION_TIME / 4, EventKind::Outline { root, body }),
            Action::Validate(document) => self.schedule(node, VALIDATION_TIME, EventKind::Validated(document)),
            Action::PutInEffect(document) => {
                let at = self.events.elapsed();
                self.checker.on_put_in_effect(node, &document, at);
            }
            Action::SetCurrent(current) => self.record_current(node, current),
            Action::Report(report) => self.checker.on_report(&report),
        }
    }

    /// Records the first time at which a process has a current document, and checks that it may serve requests.
    fn record_current(&mut self, node: usize, current: bool) {
        if current {
            let waited = self.events.elapsed() - self.nodes[node].started_at;
            self.ready_after[node].get_or_insert(waited);
            self.checker.on_serving(node);
        }
    }

    fn send(&mut self, node: usize, to: &str, body: Body) {
        let Some(&target) = self.names.get(to) else { return };
        let frame = Frame { body: Some(body) };
        let bytes = frame.encoded_len() + FRAME_HEADER_BYTES;
        let elapsed = self.events.elapsed();
        let delay = self.network.send(node, target, bytes, elapsed, &mut self.rng);
        if let (Some(delay), Some(body)) = (delay, frame.body) {
            self.schedule(target, delay, EventKind::Message { from: node, body });
        }
    }
}

impl Node {
    const fn new() -> Self {
        Self {
            dissemination: None,
            generation: 0,
            next_tick: None,
            started_at: Duration::ZERO,
            paused_until: None,
            resumed: false,
        }
    }
}
