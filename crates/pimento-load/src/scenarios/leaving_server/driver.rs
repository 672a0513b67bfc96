//! Simulated instances that send work to one searcher and exchange signals through their membership state machines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::membership::Action;
use pimentoflow::process::membership::ItemKind;
use pimentoflow::process::membership::ListItem;
use pimentoflow::process::membership::Membership;
use pimentoflow::process::membership::PlatformList;
use pimentoflow::process::membership::Role;
use pimentoflow::process::membership::Settings;
use pimentoflow::process::membership::View;
use pimentoflow::wire::proto::Frame;
use pimentoflow::wire::proto::Signals;
use pimentoflow::wire::proto::frame::Body;
use prost::Message;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::events::EventQueue;
use crate::scenarios::fleet::Network;

/// Id of the searcher.
const SEARCHER: &str = "s1";

/// Time after the first signal within which all instances must stop sending new work.
const SIGNAL_DEADLINE: Duration = Duration::from_secs(3);

/// Mean time between two work items of one instance for the searcher.
const WORK_INTERVAL: Duration = Duration::from_secs(4);

/// Interval at which the leaf that owns the searcher reads its state.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between two ticks of an instance.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Delay after which a changed list reaches the instances that get it.
const LIST_LAG: Duration = Duration::from_secs(10);

/// Size of the fleet and fault rates.
#[derive(Debug, Clone, Copy)]
pub struct SimulationConfig {
    /// Number of instances.
    pub instances: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Fraction of instances that are dead, in `0.0..=1.0`.
    pub dead_share: f64,
    /// Probability that a message is lost, in `0.0..=1.0`.
    pub loss_rate: f64,
    /// Whether all messages are dropped.
    pub disabled: bool,
}

/// Simulated instances and searcher, with a count of the work sent too late.
#[derive(Debug)]
pub struct Simulation {
    /// Number of work items sent more than 3 s after the first signal.
    pub violations: u64,
    /// Number of work items not sent because the view of the instance was not current, as after a pause.
    pub withheld: u64,
    events: EventQueue<Event>,
    rng: SmallRng,
    network: Network,
    instances: Vec<Instance>,
    config: SimulationConfig,
    draining: bool,
    first_signal: Option<Instant>,
}

#[derive(Debug)]
struct Instance {
    membership: Membership,
    view: Arc<View>,
    last_tick: Instant,
    paused_until: Option<Instant>,
    learned_at: Option<Instant>,
}

#[derive(Debug)]
enum Event {
    Tick(usize),
    Work(usize),
    Probe(usize),
    Signals { to: usize, from: usize, signals: Signals },
    List { to: usize, version: u64, leaving: bool },
    Stop,
}

impl Event {
    /// Returns the index of the instance that handles the event.
    const fn instance_ix(&self) -> usize {
        match self {
            Self::Tick(ix) | Self::Work(ix) | Self::Probe(ix) => *ix,
            Self::Signals { to, .. } | Self::List { to, .. } => *to,
            Self::Stop => 0,
        }
    }
}

impl Simulation {
    /// Creates the simulation. All instances get the first list at once.
    #[must_use]
    pub fn new(config: SimulationConfig, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let events = EventQueue::new();
        let now = events.now();
        let instances = (0..config.instances).map(|ix| Instance::new(ix, config, now, &mut rng));
        let instances = instances.collect();
        let mut network = Network::new(config.instances, config.data_centres);
        network.loss_rate = config.loss_rate;
        network.disabled = config.disabled;
        let dead_count = (config.instances as f64 * config.dead_share) as usize;
        // Instance 0 owns the searcher and instance 1 is paused, so both must be live.
        network.dead[2..]
            .iter_mut()
            .take(dead_count)
            .for_each(|dead| *dead = true);
        let mut simulation = Self {
            violations: 0,
            withheld: 0,
            events,
            rng,
            network,
            instances,
            config,
            draining: false,
            first_signal: None,
        };
        for ix in 0..config.instances {
            simulation.events.push(Duration::ZERO, list_event(ix, 1, false));
            simulation.events.push(TICK_INTERVAL, Event::Tick(ix));
            simulation.schedule_work(ix);
        }
        simulation.events.push(PROBE_INTERVAL, Event::Probe(0));
        simulation
    }

    /// Pauses instance 1 for a time.
    pub fn pause_instance(&mut self, length: Duration) {
        self.instances[1].paused_until = Some(self.events.now() + length);
    }

    /// Marks the searcher as leaving. The leaf that owns it learns this from a reply, and half of the instances from a
    /// later list of the platform.
    pub fn leave(&mut self) {
        self.draining = true;
        let now = self.events.now();
        self.first_signal = Some(now);
        self.apply(0, now, |membership, actions| {
            membership.on_searcher_leaving(SEARCHER, now, actions);
        });
        for ix in (0..self.config.instances).step_by(2) {
            self.events.push(LIST_LAG, list_event(ix, 2, true));
        }
    }

    /// Lets the searcher accept work again. Some instances then get an outdated list in which it is still leaving.
    pub fn return_searcher(&mut self) {
        self.draining = false;
        self.first_signal = None;
        for ix in (1..self.config.instances).step_by(4) {
            self.events.push(LIST_LAG, list_event(ix, 2, true));
        }
    }

    /// Returns the time from the first signal until each live instance knew that the searcher leaves.
    ///
    /// An instance that does not know yet counts as if it learned now.
    #[must_use]
    pub fn learning_delays(&self) -> Vec<Duration> {
        let first = self.first_signal.unwrap_or_else(|| self.events.now());
        let live = (0..self.instances.len()).filter(|&ix| !self.network.dead[ix]);
        let times = live.map(|ix| self.instances[ix].learned_at.unwrap_or_else(|| self.events.now()));
        times.map(|at| at - first).collect()
    }

    /// Returns the fraction of live instances whose view does not show the searcher as leaving.
    #[must_use]
    pub fn usable_fraction(&self) -> f64 {
        let live: Vec<usize> = (0..self.instances.len()).filter(|&ix| !self.network.dead[ix]).collect();
        let usable = live.iter().filter(|&&ix| !self.instances[ix].view.is_leaving(SEARCHER));
        usable.count() as f64 / live.len().max(1) as f64
    }

    /// Returns the number of bytes sent so far, divided by the number of instances.
    #[must_use]
    pub fn bytes_per_instance(&self) -> f64 {
        self.network.bytes as f64 / self.config.instances as f64
    }

    /// Runs until the virtual time since the start is `until`.
    pub fn run_until(&mut self, until: Duration) {
        let wait = until.saturating_sub(self.events.elapsed());
        self.events.push(wait, Event::Stop);
        while let Some(event) = self.events.pop() {
            if matches!(event, Event::Stop) {
                return;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let ix = event.instance_ix();
        let now = self.events.now();
        if self.network.dead[ix] {
            return;
        }
        if let Some(until) = self.instances[ix].paused_until {
            if now < until {
                // Peers close their sessions to a paused instance, so it misses the signals sent in the meantime.
                if !matches!(event, Event::Signals { .. }) {
                    self.events.push_at(until, event);
                }
                return;
            }
            self.instances[ix].paused_until = None;
            self.tick(ix, now);
        }
        match event {
            Event::Tick(ix) => {
                self.tick(ix, now);
                self.events.push(TICK_INTERVAL, Event::Tick(ix));
            }
            Event::Work(ix) => self.simulate_work(ix, now),
            Event::Probe(ix) => self.probe(ix, now),
            Event::Signals { to, from, signals } => {
                let from = name_of(from);
                self.apply(to, now, |membership, actions| {
                    membership.on_signals(&from, &signals, now, actions);
                });
            }
            Event::List { to, version, leaving } => {
                let list = make_list(self.config, version, leaving);
                self.apply(to, now, |membership, actions| membership.on_list(list, now, actions));
            }
            Event::Stop => {}
        }
    }

    fn tick(&mut self, ix: usize, now: Instant) {
        let gap = now - self.instances[ix].last_tick;
        let pause = (gap >= pimentoflow::process::timer::PAUSE_THRESHOLD).then_some(gap);
        self.instances[ix].last_tick = now;
        self.apply(ix, now, |membership, actions| membership.on_tick(now, pause, actions));
    }

    /// Simulates sending a work item, unless the view of the instance forbids it, and schedules the next one.
    ///
    /// Counts an item that is sent too late as a violation. The reply arrives at once and tells the instance whether
    /// the searcher is leaving.
    fn simulate_work(&mut self, ix: usize, now: Instant) {
        self.schedule_work(ix);
        if self.instances[ix].view.is_leaving(SEARCHER) {
            return;
        }
        if !self.instances[ix].view.current {
            self.withheld += 1;
            return;
        }
        if self.first_signal.is_some_and(|first| now > first + SIGNAL_DEADLINE) {
            self.violations += 1;
        }
        if self.draining {
            self.apply(ix, now, |membership, actions| {
                membership.on_searcher_leaving(SEARCHER, now, actions);
            });
        }
    }

    fn probe(&mut self, ix: usize, now: Instant) {
        self.events.push(PROBE_INTERVAL, Event::Probe(ix));
        let draining = self.draining;
        self.apply(ix, now, |membership, actions| {
            if draining {
                membership.on_searcher_leaving(SEARCHER, now, actions);
            } else {
                membership.on_searcher_usable(SEARCHER, now, now, actions);
            }
        });
    }

    fn schedule_work(&mut self, ix: usize) {
        let wait = WORK_INTERVAL.mul_f64(-self.rng.random_range(1e-6_f64..1.0).ln());
        self.events.push(wait, Event::Work(ix));
    }

    fn apply(&mut self, ix: usize, now: Instant, change: impl FnOnce(&mut Membership, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        change(&mut self.instances[ix].membership, &mut actions);
        for action in actions {
            match action {
                Action::Publish(view) => self.publish(ix, view, now),
                Action::Send { to, signals } => self.send(ix, &to, signals),
            }
        }
    }

    fn publish(&mut self, ix: usize, view: Arc<View>, now: Instant) {
        let state = &mut self.instances[ix];
        if view.is_leaving(SEARCHER) {
            state.learned_at.get_or_insert(now);
        }
        state.view = view;
    }

    fn send(&mut self, from: usize, to: &str, signals: Signals) {
        let Ok(to) = to[1..].parse::<usize>() else { return };
        let frame = Frame {
            body: Some(Body::Signals(signals.clone())),
        };
        let bytes = frame.encoded_len() + 4;
        let elapsed = self.events.elapsed();
        if let Some(delay) = self.network.send(from, to, bytes, elapsed, &mut self.rng) {
            self.events.push(delay, Event::Signals { to, from, signals });
        }
    }
}

impl Instance {
    fn new(ix: usize, config: SimulationConfig, now: Instant, rng: &mut SmallRng) -> Self {
        let settings = Settings {
            instance: name_of(ix),
            role: role_of(ix),
            data_centre: data_centre_of(ix, config),
            address: address_of(ix),
            incarnation: 1,
        };
        let rng = SmallRng::seed_from_u64(rng.random());
        Self {
            membership: Membership::new(settings, rng, now),
            view: Arc::default(),
            last_tick: now,
            paused_until: None,
            learned_at: None,
        }
    }
}

fn name_of(node: usize) -> Box<str> {
    format!("i{node:05}").into()
}

const fn role_of(ix: usize) -> Role {
    if ix.is_multiple_of(2) { Role::Leaf } else { Role::Entry }
}

fn data_centre_of(ix: usize, config: SimulationConfig) -> Box<str> {
    format!("dc{:02}", ix % config.data_centres).into()
}

fn address_of(ix: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + (ix % 50_000) as u16))
}

const fn list_event(to: usize, version: u64, leaving: bool) -> Event {
    Event::List { to, version, leaving }
}

fn make_list(config: SimulationConfig, version: u64, leaving: bool) -> PlatformList {
    let instances = (0..config.instances).map(|ix| ListItem {
        id: name_of(ix),
        kind: ItemKind::Instance(role_of(ix)),
        data_centre: data_centre_of(ix, config),
        address: address_of(ix),
        leaving: false,
    });
    let searcher = ListItem {
        id: SEARCHER.into(),
        kind: ItemKind::Searcher,
        data_centre: "dc00".into(),
        address: address_of(0),
        leaving,
    };
    let entries = instances.chain([searcher]).collect();
    PlatformList { version, entries }
}
