//! Drives the state machines of all processes on one event queue.

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

use crate::events::Events;
use crate::scenarios::fleet::check::Check;
use crate::scenarios::fleet::content;
use crate::scenarios::fleet::content::Publication;
use crate::scenarios::fleet::network::Network;
use crate::scenarios::fleet::platform::Platform;

/// Bytes of the length before each frame.
const FRAME_HEADER: usize = 4;

/// Time that parsing and validation take.
const VALIDATION: Duration = Duration::from_millis(20);

/// Size of the fleet and of the document.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Number of processes.
    pub processes: usize,
    /// Number of data centres.
    pub centres: usize,
    /// Number of parts of the document.
    pub parts: usize,
    /// Bytes of a part.
    pub part_bytes: usize,
    /// Bytes of a part that one change replaces; 0 replaces the whole part.
    pub edit_bytes: usize,
    /// Fleet size that the settings of a process name and the view confirms.
    pub fleet: usize,
}

/// All processes and their surroundings.
#[derive(Debug)]
pub struct Fleet {
    /// Event queue.
    pub events: Events<Event>,
    /// Random source of the fakes.
    pub rng: SmallRng,
    /// Fake network.
    pub network: Network,
    /// Fake platform.
    pub platform: Platform,
    /// Independent check.
    pub check: Check,
    /// Times from start to serving.
    pub ready: Vec<Option<Duration>>,
    pub(super) shape: Shape,
    nodes: Vec<Node>,
    names: IndexMap<Box<str>, usize>,
    view: Arc<View>,
    last: Option<Arc<Document>>,
}

#[derive(Debug)]
struct Node {
    machine: Option<Dissemination>,
    generation: u32,
    wake: Option<Instant>,
    started: Duration,
    paused: Option<Instant>,
    resumed: bool,
}

/// Something that happens to a process. Events of an earlier generation, before a restart, are dropped.
#[derive(Debug)]
pub struct Event {
    node: usize,
    generation: u32,
    what: What,
}

#[derive(Debug)]
pub(super) enum What {
    Start,
    View,
    List,
    Wake,
    Message {
        from: usize,
        body: Body,
    },
    Root(PlatformResponse),
    Watch {
        after: u64,
        until: Duration,
    },
    Part {
        digest: Digest,
        body: Option<Bytes>,
    },
    Outline {
        root: Digest,
        body: Bytes,
    },
    Verdict(Arc<Document>),
    /// Only marks a time, so that the run can stop there.
    Mark,
}

impl Fleet {
    /// Makes a fleet in which nothing runs yet.
    #[must_use]
    pub fn new(shape: Shape, latency: (Duration, Duration), seed: u64) -> Self {
        let network = Network::new(shape.processes, shape.centres);
        let names = (0..shape.processes).map(|node| (format!("p{node:05}").into(), node));
        let mut fleet = Self {
            events: Events::new(),
            rng: SmallRng::seed_from_u64(seed),
            platform: Platform::new(latency),
            check: Check::new(shape.processes),
            ready: vec![None; shape.processes],
            shape,
            nodes: Vec::new(),
            names: names.collect(),
            view: Arc::default(),
            network,
            last: None,
        };
        fleet.view = Arc::new(fleet.make_view());
        fleet.nodes = (0..shape.processes).map(|_| Node::new()).collect();
        fleet
    }

    /// Starts a process after a delay; its list of instances arrives `list` later.
    pub fn start(&mut self, node: usize, after: Duration, list: Duration) {
        self.nodes[node].generation += 1;
        self.nodes[node].machine = None;
        self.schedule(node, after, What::Start);
        self.schedule(node, after + list, What::View);
    }

    /// Starts a process that reads the list of instances after a delay. The read counts, and is repeated when refused.
    pub fn start_reading_list(&mut self, node: usize, after: Duration) {
        self.nodes[node].generation += 1;
        self.schedule(node, Duration::ZERO, What::Start);
        self.schedule(node, after, What::List);
    }

    /// Publishes the next revision, or another one of the same revision when `conflict` is set.
    pub fn publish(&mut self, valid: bool, conflict: bool) {
        let revision = self
            .last
            .as_ref()
            .map_or(1, |last| last.key.revision + u64::from(!conflict));
        let publication = content::publication(revision, self.last.as_deref(), &self.shape, valid, &mut self.rng);
        self.platform.publish(&publication);
        self.publish_at_check(&publication);
        if valid {
            self.last = Some(publication.document);
        }
    }

    /// Suspends a process for a time; messages wait for it.
    pub fn pause(&mut self, node: usize, length: Duration) {
        let until = self.events.now() + length;
        self.nodes[node].paused = Some(until);
        self.schedule(node, length, What::Wake);
    }

    /// Runs until the virtual time since the start.
    pub fn run_until(&mut self, until: Duration) {
        let wait = until.saturating_sub(self.events.elapsed());
        self.schedule(0, wait, What::Mark);
        while let Some(event) = self.events.pop() {
            if matches!(event.what, What::Mark) {
                return;
            }
            self.handle(event);
        }
    }

    /// Returns the processes that run.
    pub fn live(&self) -> impl Iterator<Item = usize> {
        (0..self.shape.processes).filter(|&node| !self.network.dead[node])
    }

    /// Returns how many running processes have `key` in effect, as a fraction.
    #[must_use]
    pub fn fraction_with(&self, key: Option<DocumentKey>) -> f64 {
        let total = self.live().count();
        let with = self.live().filter(|&node| self.check.key(node) == key).count();
        with as f64 / total.max(1) as f64
    }

    fn publish_at_check(&mut self, publication: &Publication) {
        let at = self.events.elapsed();
        self.check.on_published(publication, at);
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
                data_centre: format!("dc{:02}", self.network.centre[node]).into(),
                address: None,
                state: State::Up,
                incarnation: 1,
            };
            instances.insert(name.clone(), instance);
        }
        View {
            instances,
            fleet_size: self.shape.fleet,
            version: 1,
            current: true,
            ..View::default()
        }
    }

    pub(super) fn schedule(&mut self, node: usize, after: Duration, what: What) {
        let generation = self.nodes[node].generation;
        let event = Event { node, generation, what };
        self.events.push(after, event);
    }

    fn handle(&mut self, event: Event) {
        let node = event.node;
        if self.nodes[node].generation != event.generation || self.network.dead[node] {
            return;
        }
        let now = self.events.now();
        if let Some(until) = self.nodes[node].paused {
            if now < until {
                self.events.push_at(until, event);
                return;
            }
            self.nodes[node].paused = None;
            self.nodes[node].resumed = true;
        }
        match event.what {
            What::Start => self.begin(node, now),
            What::Watch { after, until } => self.watch(node, after, until),
            What::List => self.read_list(node),
            what => self.feed(node, what, now),
        }
    }

    fn begin(&mut self, node: usize, now: Instant) {
        let settings = Settings {
            instance: self.name(node),
            data_centre: format!("dc{:02}", self.network.centre[node]).into(),
            fleet_size: self.shape.fleet,
        };
        let rng = SmallRng::seed_from_u64(self.rng.random());
        self.nodes[node].machine = Some(Dissemination::new(settings, rng, now));
        self.nodes[node].started = self.events.elapsed();
        self.nodes[node].wake = None;
        self.check.on_started(node);
        self.schedule(node, Duration::ZERO, What::Wake);
    }

    fn name(&self, node: usize) -> Box<str> {
        self.names
            .get_index(node)
            .map_or_else(Box::default, |(name, _)| name.clone())
    }

    fn feed(&mut self, node: usize, what: What, now: Instant) {
        let mut actions = Vec::new();
        let view = Arc::clone(&self.view);
        let gap = std::mem::take(&mut self.nodes[node].resumed).then_some(Duration::from_secs(1));
        let Some(machine) = self.nodes[node].machine.as_mut() else {
            return;
        };
        if gap.is_some() {
            machine.on_tick(now, gap, &mut actions);
        }
        match what {
            What::View => machine.on_view(view, now),
            What::Wake => machine.on_tick(now, None, &mut actions),
            What::Message { from, body } => {
                let from = self.names.get_index(from).map_or("", |(name, _)| name);
                match body {
                    Body::Digest(message) => machine.on_digest(from, &message, now, &mut actions),
                    Body::Fetch(message) => machine.on_fetch(from, &message, now, &mut actions),
                    Body::Parts(message) => machine.on_parts(from, &message, now, &mut actions),
                    _ => {}
                }
            }
            What::Root(reply) => machine.on_platform_root(reply, now, &mut actions),
            What::Part { digest, body } => machine.on_platform_part(digest, body, now, &mut actions),
            What::Outline { root, body } => machine.on_outline(root, content::outline(&body), now, &mut actions),
            What::Verdict(document) => {
                machine.on_validated(document.key, content::validate(&document), now, &mut actions);
            }
            What::Start | What::List | What::Watch { .. } | What::Mark => {}
        }
        for action in actions {
            self.act(node, action);
        }
        self.plan_wake(node, now);
    }

    /// Schedules the next tick of a process when its state machine wants one earlier than planned.
    fn plan_wake(&mut self, node: usize, now: Instant) {
        let entry = &mut self.nodes[node];
        let wanted = entry.machine.as_ref().and_then(Dissemination::next_wakeup);
        let Some(wanted) = wanted else { return };
        let wanted = wanted.max(now + Duration::from_millis(1));
        if entry.wake.is_some_and(|planned| now < planned && planned <= wanted) {
            return;
        }
        entry.wake = Some(wanted);
        self.schedule(node, wanted - now, What::Wake);
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { to, body } => self.send(node, &to, body),
            Action::ReadRoot { after, wait } => self.read_root(node, after, wait),
            Action::ReadPart { digest } => self.read_part(node, digest),
            Action::Parse { root, body } => self.schedule(node, VALIDATION / 4, What::Outline { root, body }),
            Action::Validate(document) => self.schedule(node, VALIDATION, What::Verdict(document)),
            Action::PutInEffect(document) => {
                let at = self.events.elapsed();
                self.check.on_effect(node, &document, at);
            }
            Action::SetCurrent(current) => self.note_current(node, current),
            Action::Report(report) => self.check.on_report(&report),
        }
    }

    fn note_current(&mut self, node: usize, current: bool) {
        if current {
            let waited = self.events.elapsed() - self.nodes[node].started;
            self.ready[node].get_or_insert(waited);
            self.check.on_serving(node);
        }
    }

    fn send(&mut self, node: usize, to: &str, body: Body) {
        let Some(&target) = self.names.get(to) else { return };
        let frame = Frame { body: Some(body) };
        let bytes = frame.encoded_len() + FRAME_HEADER;
        let elapsed = self.events.elapsed();
        let delay = self.network.send(node, target, bytes, elapsed, &mut self.rng);
        if let (Some(delay), Some(body)) = (delay, frame.body) {
            self.schedule(target, delay, What::Message { from: node, body });
        }
    }
}

impl Node {
    const fn new() -> Self {
        Self {
            machine: None,
            generation: 0,
            wake: None,
            started: Duration::ZERO,
            paused: None,
            resumed: false,
        }
    }
}
