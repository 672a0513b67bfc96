//! Deterministic simulation of entries, leaves, a network and a backend server.
//!
//! The test triggers every step. The backend server logs each start by the body of the request, so the checks do not
//! depend on what the code under test reports.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use pimentoflow::process::tickets;
use pimentoflow::process::tickets::BackendReply;
use pimentoflow::process::tickets::SessionId;
use pimentoflow::process::tickets::TicketRegistry;
use pimentoflow::process::tickets::Work;
use pimentoflow::request::submission;
use pimentoflow::request::submission::Answer;
use pimentoflow::request::submission::Peer;
use pimentoflow::request::submission::Request;
use pimentoflow::request::submission::Submission;
use pimentoflow::request::ticket;
use pimentoflow::wire::proto::Class;
use pimentoflow::wire::proto::RefusalReason;
use pimentoflow::wire::proto::Submit;
use pimentoflow::wire::proto::SubmitOutcome;
use pimentoflow::wire::proto::SubmitReply;
use pimentoflow::wire::proto::Ticket;
use pimentoflow::wire::proto::TicketReply;
use pimentoflow::wire::proto::ticket_reply;

/// Timeout of every submission.
pub const DEADLINE: Duration = Duration::from_millis(200);

/// Capacity of every registry, small enough to be reached.
pub const CAPACITY: usize = 6;

/// Maximum size in bytes of the reply bodies in a registry. It holds two replies.
pub const BODY_BYTES: usize = 10;

/// Leaf with one lane. Withdrawn work stays in the lane, as if the withdrawal came too late, so that only the registry
/// can prevent its dispatch.
pub struct Leaf {
    pub peer: Peer,
    pub registry: TicketRegistry,
    pub lane: Vec<Work>,
}

/// Message in transit.
#[derive(Clone)]
pub enum Message {
    Submit {
        leaf: usize,
        session: SessionId,
        submit: Submit,
    },
    Cancel {
        leaf: usize,
        session: SessionId,
        correlation: u64,
    },
    Reply {
        from: Peer,
        reply: SubmitReply,
    },
    /// Request that was written to the backend server but not read by it yet.
    Write {
        from: Peer,
        work: Work,
    },
    /// Request that runs on the backend server.
    Run {
        from: Peer,
        work: Work,
    },
}

/// Request of a caller with its answer.
pub struct Attempt {
    pub operation: usize,
    pub session: SessionId,
    pub submission: Submission,
    pub answer: Option<Answer>,
}

pub struct Simulation {
    pub now: Instant,
    pub leaves: Vec<Leaf>,
    pub attempts: Vec<Attempt>,
    pub network: Vec<Message>,
    /// Ticket of each operation. The request body of an operation is its number.
    pub tickets: Vec<Ticket>,
    /// Number of starts on the backend server by operation.
    pub starts: BTreeMap<usize, u32>,
    /// Operations that any leaf or entry reported as not run.
    pub reported_not_run: Vec<usize>,
    /// Operations that any leaf or entry reported as executed.
    pub reported_executed: Vec<usize>,
}

impl Simulation {
    pub fn new(leaves: usize) -> Self {
        let leaves = (0..leaves).map(|number| new_leaf(number, 1)).collect();
        Self {
            now: Instant::now(),
            leaves,
            attempts: Vec::new(),
            network: Vec::new(),
            tickets: Vec::new(),
            starts: BTreeMap::new(),
            reported_not_run: Vec::new(),
            reported_executed: Vec::new(),
        }
    }

    /// Sends a request without a ticket to a leaf that considers itself owner of the searcher, and returns the
    /// operation of the issued ticket. Returns `None` if the registry of the leaf is full.
    pub fn obtain_ticket(&mut self, leaf: usize) -> Option<usize> {
        let operation = self.tickets.len();
        let mut submission = self.submission(operation, None);
        let peer = self.leaves[leaf].peer.clone();
        let mut actions = Vec::new();
        submission.start(std::slice::from_ref(&peer), self.now, &mut actions);
        let [submission::Action::RequestTicket { request, .. }] = actions.as_slice() else {
            panic!("expected a request for a ticket, got {actions:?}");
        };
        let registry = &mut self.leaves[leaf].registry;
        let issued = registry.issue(&request.searcher, self.now, 1_000).ok()?;
        let reply = TicketReply {
            correlation: request.correlation,
            outcome: Some(ticket_reply::Outcome::Ticket(issued)),
        };
        actions.clear();
        submission.on_ticket_reply(&peer, reply, self.now, &mut actions);
        let [submission::Action::Finish(Answer::TicketNeeded { ticket: text })] = actions.as_slice() else {
            panic!("expected a ticket, got {actions:?}");
        };
        self.tickets.push(ticket::decode(text).expect("the text is a ticket"));
        Some(operation)
    }

    fn submission(&self, operation: usize, ticket: Option<Ticket>) -> Submission {
        let request = Request {
            request: format!("r{operation}").into(),
            class: Class::Routine,
            searcher: "a1".into(),
            shard: "s1".into(),
            key: 17,
            body: Bytes::from(operation.to_string()),
            ticket,
        };
        let correlation = self.attempts.len() as u64;
        Submission::new(request, correlation, self.now + DEADLINE, self.now)
    }

    /// Sends a request with the ticket of `operation` through the entry with the session number `session`, and returns
    /// the attempt.
    pub fn submit(&mut self, operation: usize, session: SessionId) -> usize {
        let ticket = self.tickets[operation].clone();
        let mut submission = self.submission(operation, Some(ticket));
        let peers: Vec<Peer> = self.leaves.iter().map(|leaf| leaf.peer.clone()).collect();
        let mut actions = Vec::new();
        submission.start(&peers, self.now, &mut actions);
        self.attempts.push(Attempt {
            operation,
            session,
            submission,
            answer: None,
        });
        let attempt = self.attempts.len() - 1;
        self.apply_entry_actions(attempt, actions);
        attempt
    }

    fn apply_entry_actions(&mut self, attempt: usize, actions: Vec<submission::Action>) {
        let session = self.attempts[attempt].session;
        for action in actions {
            match action {
                submission::Action::RequestTicket { .. } => panic!("the request already has a ticket"),
                submission::Action::Send { leaf, submit } => {
                    let leaf = self.leaf_index(&leaf.instance);
                    self.network.push(Message::Submit { leaf, session, submit });
                }
                submission::Action::Cancel { leaf, cancel } => {
                    let leaf = self.leaf_index(&leaf.instance);
                    let correlation = cancel.correlation;
                    self.network.push(Message::Cancel {
                        leaf,
                        session,
                        correlation,
                    });
                }
                submission::Action::Finish(answer) => self.finish(attempt, answer),
            }
        }
    }

    fn finish(&mut self, attempt: usize, answer: Answer) {
        let operation = self.attempts[attempt].operation;
        match &answer {
            Answer::NotRun { .. } => self.reported_not_run.push(operation),
            Answer::Executed { .. } => self.reported_executed.push(operation),
            Answer::TicketNeeded { .. } | Answer::OutcomeUnknown(_) => {}
        }
        let previous = self.attempts[attempt].answer.replace(answer);
        assert!(previous.is_none(), "the caller was answered twice");
    }

    fn leaf_index(&self, instance: &str) -> usize {
        let found = self.leaves.iter().position(|leaf| &*leaf.peer.instance == instance);
        found.expect("messages go to known leaves")
    }

    fn apply_leaf_actions(&mut self, leaf: usize, actions: Vec<tickets::Action>) {
        for action in actions {
            match action {
                tickets::Action::Enqueue(work) => self.leaves[leaf].lane.push(work),
                tickets::Action::Withdraw { .. } => {}
                tickets::Action::Reply { reply, .. } => {
                    let from = self.leaves[leaf].peer.clone();
                    self.record_reply(&reply);
                    self.network.push(Message::Reply { from, reply });
                }
            }
        }
    }

    fn record_reply(&mut self, reply: &SubmitReply) {
        let attempt = usize::try_from(reply.correlation).expect("numbers are small");
        let operation = self.attempts[attempt].operation;
        match reply.outcome() {
            SubmitOutcome::NotRun => self.reported_not_run.push(operation),
            SubmitOutcome::Executed => self.reported_executed.push(operation),
            SubmitOutcome::Unknown => {}
        }
    }

    /// Delivers the oldest message in transit.
    pub fn deliver(&mut self) {
        let message = self.network.remove(0);
        self.receive(message);
    }

    /// Delivers all messages in transit, also to the backend server. Work that runs there does not complete.
    pub fn deliver_all(&mut self) {
        while let Some(ix) = self
            .network
            .iter()
            .position(|message| !matches!(message, Message::Run { .. }))
        {
            let message = self.network.remove(ix);
            self.receive(message);
        }
    }

    pub fn receive(&mut self, message: Message) {
        let mut actions = Vec::new();
        match message {
            Message::Submit { leaf, session, submit } => {
                let registry = &mut self.leaves[leaf].registry;
                let _ = registry.on_submit(session, &submit, Ok(()), self.now, &mut actions);
                self.apply_leaf_actions(leaf, actions);
            }
            Message::Cancel {
                leaf,
                session,
                correlation,
            } => {
                self.leaves[leaf].registry.on_cancel(session, correlation, &mut actions);
                self.apply_leaf_actions(leaf, actions);
            }
            Message::Reply { from, reply } => {
                let attempt = usize::try_from(reply.correlation).expect("numbers are small");
                let mut actions = Vec::new();
                self.attempts[attempt]
                    .submission
                    .on_submit_reply(&from, reply, &mut actions);
                self.apply_entry_actions(attempt, actions);
            }
            Message::Write { from, work } => {
                let operation = operation_of(&work);
                *self.starts.entry(operation).or_default() += 1;
                self.network.push(Message::Run { from, work });
            }
            Message::Run { from, work } => self.complete_work(&from, &work, 200, false),
        }
    }

    /// Removes the work at `position` from the lane and writes it to the backend server if the registry allows the
    /// dispatch.
    pub fn dispatch(&mut self, leaf: usize, position: usize) -> bool {
        let work = self.leaves[leaf].lane.remove(position);
        let mut actions = Vec::new();
        let allowed = self.leaves[leaf].registry.dispatch(work.id, self.now, &mut actions);
        if allowed {
            assert!(self.now < work.deadline, "work was dispatched after its deadline");
            let from = self.leaves[leaf].peer.clone();
            self.network.push(Message::Write { from, work });
        }
        self.apply_leaf_actions(leaf, actions);
        allowed
    }

    /// Removes the oldest dispatched work from the network and returns it with whether the backend server had started
    /// it.
    pub fn take_dispatched(&mut self) -> Option<(Peer, Work, bool)> {
        let ix = self
            .network
            .iter()
            .position(|message| matches!(message, Message::Write { .. } | Message::Run { .. }))?;
        match self.network.remove(ix) {
            Message::Write { from, work } => Some((from, work, false)),
            Message::Run { from, work } => Some((from, work, true)),
            _ => None,
        }
    }

    /// Sends the reply of the backend server to the leaf that dispatched the work, unless the leaf has restarted.
    pub fn complete_work(&mut self, from: &Peer, work: &Work, status: u16, not_started: bool) {
        let leaf = self.leaf_index(&from.instance);
        if self.leaves[leaf].peer != *from {
            return;
        }
        let reply = BackendReply {
            status,
            not_started,
            retry_after: Duration::ZERO,
            body: Bytes::from_static(b"done!"),
        };
        let mut actions = Vec::new();
        self.leaves[leaf].registry.on_reply(work.id, reply, &mut actions);
        self.apply_leaf_actions(leaf, actions);
    }

    /// Notifies the leaf that the connection of dispatched work failed.
    pub fn fail_connection(&mut self, from: &Peer, work: &Work) {
        let leaf = self.leaf_index(&from.instance);
        if self.leaves[leaf].peer == *from {
            let mut actions = Vec::new();
            self.leaves[leaf].registry.on_connection_lost(work.id, &mut actions);
            self.apply_leaf_actions(leaf, actions);
        }
    }

    /// Removes the work at `position` from the lane and notifies the registry that the lane refused it.
    pub fn refuse(&mut self, leaf: usize, position: usize) {
        let work = self.leaves[leaf].lane.remove(position);
        let from = self.leaves[leaf].peer.clone();
        self.refuse_work(&from, &work);
    }

    pub fn refuse_work(&mut self, from: &Peer, work: &Work) {
        let leaf = self.leaf_index(&from.instance);
        if self.leaves[leaf].peer == *from {
            let mut actions = Vec::new();
            let registry = &mut self.leaves[leaf].registry;
            registry.on_refused(work.id, RefusalReason::NotOwner, Duration::ZERO, &mut actions);
            self.apply_leaf_actions(leaf, actions);
        }
    }

    pub fn wake_leaf(&mut self, leaf: usize) {
        let mut actions = Vec::new();
        self.leaves[leaf].registry.on_wakeup(self.now, &mut actions);
        self.apply_leaf_actions(leaf, actions);
    }

    pub fn wake_attempt(&mut self, attempt: usize) {
        let mut actions = Vec::new();
        self.attempts[attempt].submission.on_wakeup(self.now, &mut actions);
        self.apply_entry_actions(attempt, actions);
    }

    /// Closes the sessions of an entry at all leaves.
    pub fn close_session(&mut self, session: SessionId) {
        for leaf in 0..self.leaves.len() {
            let mut actions = Vec::new();
            self.leaves[leaf].registry.on_session_closed(session, &mut actions);
            self.apply_leaf_actions(leaf, actions);
        }
    }

    /// Restarts a leaf with a new incarnation. Entries that wait for it lose their sessions.
    pub fn restart(&mut self, leaf: usize) {
        let lost = self.leaves[leaf].peer.clone();
        self.leaves[leaf] = new_leaf(leaf, lost.incarnation + 1);
        for attempt in 0..self.attempts.len() {
            let mut actions = Vec::new();
            self.attempts[attempt]
                .submission
                .on_session_lost(&lost, self.now, &mut actions);
            self.apply_entry_actions(attempt, actions);
        }
    }

    /// Dispatches the oldest work of a leaf and completes it on the backend server.
    pub fn run_next(&mut self, leaf: usize) {
        assert!(self.dispatch(leaf, 0));
        let (from, work, _) = self.take_dispatched().expect("it was written");
        *self.starts.entry(operation_of(&work)).or_default() += 1;
        self.complete_work(&from, &work, 200, false);
        self.deliver_all();
    }

    /// Checks the reported outcomes against the log of the backend server, and the limits of the registries.
    pub fn check_invariants(&self) {
        for (operation, starts) in &self.starts {
            assert!(*starts <= 1, "operation {operation} ran {starts} times");
            assert!(
                !self.reported_not_run.contains(operation),
                "operation {operation} ran but was reported as not run"
            );
        }
        for operation in &self.reported_executed {
            assert!(
                self.starts.contains_key(operation),
                "operation {operation} was reported as executed but never ran"
            );
        }
        for leaf in &self.leaves {
            let registry = &leaf.registry;
            assert!(registry.ticket_count() <= CAPACITY);
            assert!(registry.waiter_count() <= CAPACITY * tickets::MAX_WAITERS);
            assert!(registry.running_count() <= CAPACITY);
            assert!(registry.stored_bytes() <= BODY_BYTES);
        }
    }

    pub fn answer(&self, attempt: usize) -> &Answer {
        self.attempts[attempt].answer.as_ref().expect("the caller was answered")
    }

    pub fn start_count(&self, operation: usize) -> u32 {
        self.starts.get(&operation).copied().unwrap_or(0)
    }
}

fn new_leaf(number: usize, incarnation: u64) -> Leaf {
    let instance = format!("leaf{number}");
    let mut settings = tickets::Settings::new(&instance, incarnation);
    settings.capacity = CAPACITY;
    settings.body_bytes = BODY_BYTES;
    Leaf {
        peer: Peer {
            instance: instance.into(),
            incarnation,
        },
        registry: TicketRegistry::new(settings),
        lane: Vec::new(),
    }
}

fn operation_of(work: &Work) -> usize {
    let text = std::str::from_utf8(&work.body).expect("bodies are numbers");
    text.parse().expect("bodies are numbers")
}
