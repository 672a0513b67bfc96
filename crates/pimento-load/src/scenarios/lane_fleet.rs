//! Simulated leaves and one fake backend server, called the server below, on a virtual clock.
//!
//! Each leaf has one client for the server: a lane or the FIFO baseline.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use pimentoflow::connection::lane::Lane;
use pimentoflow::connection::lane::work::Action;
use pimentoflow::connection::lane::work::Outcome;
use pimentoflow::connection::lane::work::Reply;
use pimentoflow::connection::lane::work::Work;
use pimentoflow::connection::lane::work::WorkId;
use pimentoflow::connection::pool::ConnectionId;

use crate::events::EventQueue;
use crate::scenarios::lane_fifo::FifoClient;
use crate::scenarios::lane_server::Link;
use crate::scenarios::lane_server::Server;

mod inputs;
mod server_events;

/// One-way network delay between a leaf and the server, which are in one data centre.
pub const ONE_WAY_DELAY: Duration = Duration::from_micros(100);

/// Input of a leaf.
#[derive(Debug, Clone, Copy)]
enum Input {
    Opened(ConnectionId),
    OpenRefused(ConnectionId),
    Closed { connection: ConnectionId, written: bool },
    Reply { connection: ConnectionId, reply: Reply },
    CancelReply(ConnectionId),
    Work(Work),
    Wakeup,
}

/// Event of a run. `C` is the type of the events of the scenario.
#[derive(Debug, Clone, Copy)]
pub enum Event<C> {
    /// Event of the scenario.
    Scenario(C),
    /// Input of a leaf.
    Leaf(LeafEvent),
    /// Input of the server.
    Server(ServerEvent),
}

/// Event of a leaf.
#[derive(Debug, Clone, Copy)]
pub struct LeafEvent {
    leaf: usize,
    input: Input,
}

/// Event of the server.
#[derive(Debug, Clone, Copy)]
pub enum ServerEvent {
    /// A leaf opens a connection.
    Connect(Link),
    /// A leaf closes a connection.
    Disconnect(Link),
    /// A request arrives.
    Request(Link, Work),
    /// A request has been executed.
    Done(u64),
    /// A cancellation arrives.
    Cancel(Link, WorkId),
}

/// Client that a leaf uses for the server.
#[derive(Debug)]
pub enum Client {
    /// Lane under test.
    Lane(Box<Lane>),
    /// Baseline.
    Fifo(FifoClient),
}

/// State of a connection at its leaf.
#[derive(Debug, Clone, Copy)]
struct ConnectionState {
    opened_at: Option<Instant>,
    uses: u32,
    work: Option<WorkId>,
}

#[derive(Debug)]
struct Leaf {
    client: Client,
    paused_at: Option<Instant>,
    inbox: Vec<Input>,
    wakeup: Option<Instant>,
    connections: IndexMap<ConnectionId, ConnectionState>,
}

/// Progress of one work item.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Work item.
    pub work: Work,
    /// Time at which the item was offered to the leaf.
    pub offered_at: Instant,
    /// Service time at the server, or zero if the item was not executed.
    pub service: Duration,
    /// Whether the item waited for a new connection: it was the first one sent on it, at the moment it opened.
    pub waited_connection: bool,
}

/// Output of [`LaneFleet::advance`], to be handled by the scenario.
#[derive(Debug)]
pub enum Output<C> {
    /// Event of the scenario.
    Scenario(C),
    /// A work item of a leaf has finished.
    Finished(usize, Job, Outcome),
}

/// Simulated leaves and backend server. See the module documentation.
#[derive(Debug)]
pub struct LaneFleet<C> {
    /// Fake backend server.
    pub server: Server,
    /// Time to open a connection, in addition to the network delay.
    pub connect_cost: Duration,
    events: EventQueue<Event<C>>,
    leaves: Vec<Leaf>,
    jobs: IndexMap<(usize, WorkId), Job>,
    finished: VecDeque<(usize, Job, Outcome)>,
}

impl<C> LaneFleet<C> {
    /// Creates a fleet without leaves.
    #[must_use]
    pub fn new(server: Server, connect_cost: Duration) -> Self {
        Self {
            server,
            connect_cost,
            events: EventQueue::new(),
            leaves: Vec::new(),
            jobs: IndexMap::new(),
            finished: VecDeque::new(),
        }
    }

    /// Returns the current virtual time.
    #[must_use]
    pub const fn now(&self) -> Instant {
        self.events.now()
    }

    /// Returns the virtual time elapsed since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.events.elapsed()
    }

    /// Schedules an event of the scenario.
    pub fn push(&mut self, after: Duration, event: C) {
        self.events.push(after, Event::Scenario(event));
    }

    /// Adds a leaf, executes the first actions of its client and returns the index of the leaf.
    pub fn add(&mut self, client: Client, actions: Vec<Action>) -> usize {
        let leaf = self.leaves.len();
        self.leaves.push(Leaf {
            client,
            paused_at: None,
            inbox: Vec::new(),
            wakeup: None,
            connections: IndexMap::new(),
        });
        self.execute_and_schedule_wakeup(leaf, actions);
        leaf
    }

    /// Returns the lane of a leaf, or `None` if it uses the baseline client.
    #[must_use]
    pub fn lane(&self, leaf: usize) -> Option<&Lane> {
        match &self.leaves[leaf].client {
            Client::Lane(lane) => Some(lane),
            Client::Fifo(_) => None,
        }
    }

    /// Passes an input to the lane of a leaf and executes the resulting actions.
    pub fn with_lane(&mut self, leaf: usize, input: impl FnOnce(&mut Lane, Instant, &mut Vec<Action>)) {
        let now = self.events.now();
        let mut actions = Vec::new();
        if let Client::Lane(lane) = &mut self.leaves[leaf].client {
            input(lane, now, &mut actions);
        }
        self.execute_and_schedule_wakeup(leaf, actions);
    }

    /// Returns the number of requests that the server received from a leaf.
    #[must_use]
    pub fn requests_from(&self, leaf: usize) -> u64 {
        self.server.received_from(leaf)
    }

    /// Passes a work item to a leaf.
    pub fn offer(&mut self, leaf: usize, work: Work) {
        let offered_at = self.events.now();
        let job = Job {
            work,
            offered_at,
            service: Duration::ZERO,
            waited_connection: false,
        };
        self.jobs.insert((leaf, work.id), job);
        self.input(leaf, Input::Work(work));
    }

    /// Pauses a leaf. Inputs that arrive in the meantime are kept.
    pub fn pause(&mut self, leaf: usize) {
        self.leaves[leaf].paused_at = Some(self.events.now());
    }

    /// Resumes a leaf. It handles the kept inputs before its first wakeup, as a real process may.
    pub fn resume(&mut self, leaf: usize) {
        self.leaves[leaf].paused_at = None;
        for input in std::mem::take(&mut self.leaves[leaf].inbox) {
            self.input(leaf, input);
        }
        self.input(leaf, Input::Wakeup);
    }

    /// Kills a leaf, which closes its connections.
    pub fn kill(&mut self, leaf: usize) {
        self.pause(leaf);
        let connections = std::mem::take(&mut self.leaves[leaf].connections);
        for connection in connections.keys() {
            let link = Link {
                leaf,
                connection: *connection,
            };
            self.server_event(ONE_WAY_DELAY, ServerEvent::Disconnect(link));
        }
    }

    /// Closes a connection on the side of the server.
    pub fn break_link(&mut self, link: Link) {
        self.server.disconnect(link);
        self.close_connection(link);
    }

    /// Runs until there is an output for the scenario. Returns `None` when no events are left.
    pub fn advance(&mut self) -> Option<Output<C>> {
        loop {
            if let Some((leaf, job, outcome)) = self.finished.pop_front() {
                return Some(Output::Finished(leaf, job, outcome));
            }
            match self.events.pop()? {
                Event::Scenario(event) => return Some(Output::Scenario(event)),
                Event::Leaf(event) => self.on_leaf_event(event),
                Event::Server(event) => self.on_server_event(event),
            }
        }
    }

    fn on_leaf_event(&mut self, event: LeafEvent) {
        let LeafEvent { leaf, input } = event;
        if matches!(input, Input::Wakeup) {
            let due = self.leaves[leaf].wakeup.is_some_and(|at| at <= self.events.now());
            if !due {
                return;
            }
            self.leaves[leaf].wakeup = None;
        }
        self.input(leaf, input);
    }

    /// Passes an input to the client of a leaf, or keeps it while the leaf is paused.
    fn input(&mut self, leaf: usize, input: Input) {
        let now = self.events.now();
        let state = &mut self.leaves[leaf];
        if state.paused_at.is_some() {
            state.inbox.push(input);
            return;
        }
        let mut actions = Vec::new();
        state.track_connections(input, now);
        match &mut state.client {
            Client::Lane(lane) => inputs::on_lane_input(lane, input, now, &mut actions),
            Client::Fifo(client) => inputs::on_fifo_input(client, input, now, &mut actions),
        }
        self.execute_and_schedule_wakeup(leaf, actions);
    }

    /// Executes actions and schedules the next wakeup.
    ///
    /// Must be called after each input, also without actions, because an input may change the time of the next wakeup.
    fn execute_and_schedule_wakeup(&mut self, leaf: usize, actions: Vec<Action>) {
        for action in actions {
            self.execute(leaf, action);
        }
        self.schedule_wakeup(leaf);
    }

    fn execute(&mut self, leaf: usize, action: Action) {
        match action {
            Action::Open { connection } => {
                let state = ConnectionState {
                    opened_at: None,
                    uses: 0,
                    work: None,
                };
                self.leaves[leaf].connections.insert(connection, state);
                self.server_event(ONE_WAY_DELAY, ServerEvent::Connect(Link { leaf, connection }));
            }
            Action::Close { connection } => {
                let link = Link { leaf, connection };
                self.server_event(ONE_WAY_DELAY, ServerEvent::Disconnect(link));
                self.close_connection(link);
            }
            Action::Dispatch { connection, work, .. } => {
                let job = self.mark_dispatched(leaf, connection, work);
                let link = Link { leaf, connection };
                self.server_event(ONE_WAY_DELAY, ServerEvent::Request(link, job.work));
            }
            Action::SendCancel { connection, work } => {
                let link = Link { leaf, connection };
                self.server_event(ONE_WAY_DELAY, ServerEvent::Cancel(link, work));
            }
            Action::Finish { work, outcome } => {
                let job = self.jobs.swap_remove(&(leaf, work));
                let job = job.expect("each item finishes once, after it was offered");
                self.finished.push_back((leaf, job, outcome));
            }
            Action::CloseAll => {
                let connections: Vec<ConnectionId> = self.leaves[leaf].connections.keys().copied().collect();
                for connection in connections {
                    self.execute(leaf, Action::Close { connection });
                }
            }
        }
    }

    /// Assigns a work item to a connection and records whether the item waited for the connection to open.
    fn mark_dispatched(&mut self, leaf: usize, connection: ConnectionId, work: WorkId) -> Job {
        let state = &mut self.leaves[leaf].connections[&connection];
        state.uses += 1;
        state.work = Some(work);
        let just_opened = state.uses == 1 && state.opened_at == Some(self.events.now());
        let job = &mut self.jobs[&(leaf, work)];
        job.waited_connection = just_opened && job.offered_at < self.events.now();
        *job
    }

    /// Schedules the input that tells the leaf that a connection has closed, and whether a request was written on it.
    fn close_connection(&mut self, link: Link) {
        let state = self.leaves[link.leaf].connections.get(&link.connection);
        let written = state.is_some_and(|state| state.work.is_some());
        let connection = link.connection;
        self.leaf_input(link.leaf, ONE_WAY_DELAY, Input::Closed { connection, written });
    }

    /// Schedules an event of the server.
    fn server_event(&mut self, after: Duration, event: ServerEvent) {
        self.events.push(after, Event::Server(event));
    }

    /// Schedules an input of a leaf.
    fn leaf_input(&mut self, leaf: usize, after: Duration, input: Input) {
        self.events.push(after, Event::Leaf(LeafEvent { leaf, input }));
    }

    /// Schedules the next wakeup of the lane, unless one is scheduled early enough.
    fn schedule_wakeup(&mut self, leaf: usize) {
        let Client::Lane(lane) = &self.leaves[leaf].client else {
            return;
        };
        let Some(at) = lane.next_wakeup() else {
            return;
        };
        let scheduled = self.leaves[leaf].wakeup;
        if scheduled.is_some_and(|scheduled| scheduled <= at) {
            return;
        }
        self.leaves[leaf].wakeup = Some(at);
        let input = Input::Wakeup;
        self.events.push_at(at, Event::Leaf(LeafEvent { leaf, input }));
    }
}

impl Leaf {
    /// Updates the state of the connections from an input.
    fn track_connections(&mut self, input: Input, now: Instant) {
        match input {
            Input::Opened(connection) => {
                if let Some(state) = self.connections.get_mut(&connection) {
                    state.opened_at = Some(now);
                }
            }
            Input::Reply { connection, .. } => {
                if let Some(state) = self.connections.get_mut(&connection) {
                    state.work = None;
                }
            }
            Input::OpenRefused(connection) | Input::Closed { connection, .. } => {
                self.connections.swap_remove(&connection);
            }
            Input::CancelReply(_) | Input::Work(_) | Input::Wakeup => {}
        }
    }
}
