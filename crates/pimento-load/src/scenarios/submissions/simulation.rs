//! Event loop of the simulated callers, entries, leaves and backend server, on a virtual clock.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::tickets::SessionId;
use pimentoflow::process::tickets::Work;
use pimentoflow::request::submission::Action;
use pimentoflow::request::submission::Peer;
use pimentoflow::request::submission::Submission;
use pimentoflow::wire::proto::SubmitOutcome;
use pimentoflow::wire::proto::SubmitReply;
use pimentoflow::wire::proto::Ticket;
use pimentoflow::wire::proto::TicketReply;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::events::EventQueue;
use crate::report::Latencies;
use crate::scenarios::submissions::Counts;
use crate::scenarios::submissions::Settings;
use crate::scenarios::submissions::leaf::FromLeaf;
use crate::scenarios::submissions::leaf::Leaf;
use crate::scenarios::submissions::leaf::ToLeaf;

/// Number of entries.
pub(crate) const ENTRIES: usize = 4;

/// Number of leaves: the owner of the searcher and its successor.
pub(crate) const LEAVES: usize = 2;

/// One-way delay between entry and leaf, and between leaf and backend server.
pub(crate) const ONE_WAY_DELAY: Duration = Duration::from_micros(1500);

#[derive(Debug)]
pub(crate) enum Event {
    Arrive,
    Attempt {
        intent: usize,
    },
    ToLeaf {
        to: Peer,
        session: SessionId,
        message: ToLeaf,
    },
    TicketReply {
        from: Peer,
        attempt: usize,
        reply: TicketReply,
    },
    SubmitReply {
        from: Peer,
        attempt: usize,
        reply: SubmitReply,
    },
    WakeAttempt {
        attempt: usize,
    },
    SessionLost {
        lost: Peer,
    },
    BackendRequest {
        from: Peer,
        work: Work,
    },
    ProcessFault,
    AdoptOwner {
        process: usize,
        owner: usize,
    },
}

/// What a caller wants executed at most once, over all its attempts and tickets.
///
/// A [`Submission`] handles a single attempt for it at an entry.
#[derive(Debug)]
pub(crate) struct Intent {
    pub created_at: Instant,
    pub ticket: Option<Ticket>,
    /// Number of tickets that were answered `not_run`, and so cannot be used again.
    pub used_tickets: u32,
    /// Number of `outcome_unknown` answers to the current ticket.
    pub unknown_outcomes: u32,
}

/// HTTP request of a caller for an intent.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// Index of the intent.
    pub intent: usize,
    /// Number of the ticket within the intent.
    pub nth: u32,
    pub entry: usize,
    pub deadline: Instant,
    pub submission: Submission,
}

/// State of one simulation.
#[derive(Debug)]
pub(crate) struct Simulation<'a> {
    pub settings: &'a Settings,
    pub latencies: &'a mut Latencies,
    pub events: EventQueue<Event>,
    pub rng: SmallRng,
    pub end: Instant,
    pub leaves: Vec<Leaf>,
    pub owner: usize,
    /// Owner of the searcher in the view of each entry.
    pub known_owner: [usize; ENTRIES],
    pub intents: Vec<Intent>,
    pub attempts: Vec<Attempt>,
    pub open_attempts: BTreeSet<usize>,
    /// Log of the backend server: number of starts by index of the intent and number of the ticket within the intent.
    pub starts: BTreeMap<(usize, u32), u32>,
    /// Tickets, identified as in `starts`, with the outcome `not_run` in a reply of a leaf or an answer to a caller.
    /// Replies of leaves count even if they are lost.
    pub reported_not_run: BTreeSet<(usize, u32)>,
    /// Like `reported_not_run`, with the outcome executed.
    pub reported_executed: BTreeSet<(usize, u32)>,
    pub counts: Counts,
}

impl<'a> Simulation<'a> {
    pub fn run(settings: &'a Settings, latencies: &'a mut Latencies) -> Counts {
        let events = EventQueue::new();
        let now = events.now();
        let leaf = |number| Leaf::new(settings.tickets, peer(number, 1), number == 0, now);
        let mut simulation = Self {
            settings,
            latencies,
            rng: SmallRng::seed_from_u64(settings.seed),
            end: now + settings.duration,
            leaves: (0..LEAVES).map(leaf).collect(),
            owner: 0,
            known_owner: [0; ENTRIES],
            intents: Vec::new(),
            attempts: Vec::new(),
            open_attempts: BTreeSet::new(),
            starts: BTreeMap::new(),
            reported_not_run: BTreeSet::new(),
            reported_executed: BTreeSet::new(),
            counts: Counts::default(),
            events,
        };
        simulation.events.push(Duration::ZERO, Event::Arrive);
        simulation.schedule_fault();
        while let Some(event) = simulation.events.pop() {
            simulation.handle(event);
        }
        simulation.count_violations()
    }

    /// Compares the reported outcomes with the log of the backend server and counts the violations.
    fn count_violations(mut self) -> Counts {
        let mut by_intent: BTreeMap<usize, u32> = BTreeMap::new();
        for ((intent, _), starts) in &self.starts {
            *by_intent.entry(*intent).or_default() += starts;
        }
        self.counts.duplicates = by_intent.values().filter(|starts| **starts > 1).count() as u64;
        let false_not_run = self.reported_not_run.iter().filter(|id| self.starts.contains_key(id));
        self.counts.false_not_run = false_not_run.count() as u64;
        let false_executed = self.reported_executed.iter().filter(|id| !self.starts.contains_key(id));
        self.counts.false_executed = false_executed.count() as u64;
        self.counts.late += self.open_attempts.len() as u64;
        self.counts
    }

    /// Draws a duration from the exponential distribution with a mean.
    pub fn exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.rng.random();
        mean.mul_f64(-(1.0 - uniform).ln())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Attempt { intent } => self.send_attempt(intent),
            Event::ToLeaf { to, session, message } => self.deliver_to_leaf(to, session, message),
            Event::TicketReply { from, attempt, reply } => {
                let now = self.events.now();
                self.with_submission(attempt, |submission, actions| {
                    submission.on_ticket_reply(&from, reply, now, actions);
                });
            }
            Event::SubmitReply { from, attempt, reply } => {
                self.with_submission(attempt, |submission, actions| {
                    submission.on_submit_reply(&from, reply, actions);
                });
            }
            Event::WakeAttempt { attempt } => {
                let now = self.events.now();
                self.with_submission(attempt, |submission, actions| submission.on_wakeup(now, actions));
            }
            Event::SessionLost { lost } => {
                let now = self.events.now();
                for attempt in self.open_attempts.clone() {
                    self.with_submission(attempt, |submission, actions| {
                        submission.on_session_lost(&lost, now, actions);
                    });
                }
            }
            Event::BackendRequest { from, work } => self.start_at_backend(from, work),
            Event::ProcessFault => self.inject_process_fault(),
            Event::AdoptOwner { process, owner } => self.adopt_owner(process, owner),
        }
    }

    /// Passes an input to the submission of an attempt and executes the resulting actions.
    pub fn with_submission(&mut self, attempt: usize, input: impl FnOnce(&mut Submission, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        input(&mut self.attempts[attempt].submission, &mut actions);
        let session = self.attempts[attempt].entry as SessionId;
        for action in actions {
            match action {
                Action::RequestTicket { leaf, request } => self.send(&leaf, session, &ToLeaf::RequestTicket(request)),
                Action::Send { leaf, submit } => self.send(&leaf, session, &ToLeaf::Submit(submit)),
                Action::Cancel { leaf, cancel } => self.send(&leaf, session, &ToLeaf::Cancel(cancel.correlation)),
                Action::Finish(answer) => self.finish(attempt, answer),
            }
        }
        if let Some(at) = self.attempts[attempt].submission.next_wakeup() {
            self.events.push_at(at, Event::WakeAttempt { attempt });
        }
    }

    fn send(&mut self, to: &Peer, session: SessionId, message: &ToLeaf) {
        for delay in self.delivery_delays() {
            let to = to.clone();
            let message = message.clone();
            self.events.push(delay, Event::ToLeaf { to, session, message });
        }
    }

    fn deliver_to_leaf(&mut self, to: Peer, session: SessionId, message: ToLeaf) {
        let now = self.events.now();
        let ix = leaf_number(&to);
        let leaf = &mut self.leaves[ix];
        if leaf.peer != to {
            return;
        }
        if leaf.paused_until > now {
            let at = leaf.paused_until;
            self.events.push_at(at, Event::ToLeaf { to, session, message });
            return;
        }
        let out = leaf.receive(session, message, now);
        let wakeup = leaf.next_wakeup();
        if let Some(at) = wakeup
            && leaf.wake_at.is_none_or(|scheduled| at < scheduled)
        {
            leaf.wake_at = Some(at);
            let to = to.clone();
            let message = ToLeaf::Wakeup;
            self.events.push_at(at, Event::ToLeaf { to, session, message });
        }
        for message in out {
            self.handle_leaf_output(&to, message);
        }
    }

    fn handle_leaf_output(&mut self, from: &Peer, message: FromLeaf) {
        match message {
            FromLeaf::Ticket(reply) => {
                for delay in self.delivery_delays() {
                    let attempt = attempt_of(reply.correlation);
                    let from = from.clone();
                    let reply = reply.clone();
                    self.events.push(delay, Event::TicketReply { from, attempt, reply });
                }
            }
            FromLeaf::Reply(reply) => {
                let attempt = attempt_of(reply.correlation);
                self.record_outcome(attempt, reply.outcome());
                for delay in self.delivery_delays() {
                    let from = from.clone();
                    let reply = reply.clone();
                    self.events.push(delay, Event::SubmitReply { from, attempt, reply });
                }
            }
            FromLeaf::Write(work) => self.write_to_backend(from.clone(), work),
        }
    }

    /// Records the outcome in a reply of a leaf, before the reply is sent.
    fn record_outcome(&mut self, attempt: usize, outcome: SubmitOutcome) {
        let id = (self.attempts[attempt].intent, self.attempts[attempt].nth);
        match outcome {
            SubmitOutcome::NotRun => drop(self.reported_not_run.insert(id)),
            SubmitOutcome::Executed => drop(self.reported_executed.insert(id)),
            SubmitOutcome::Unknown => {}
        }
    }
}

pub(crate) fn peer(number: usize, incarnation: u64) -> Peer {
    Peer {
        instance: format!("leaf{number}").into(),
        incarnation,
    }
}

/// Returns the index of a leaf: 1 for `leaf1`, and 0 for any other name, because there are only two leaves.
pub(crate) fn leaf_number(peer: &Peer) -> usize {
    usize::from(&*peer.instance == "leaf1")
}

/// Returns the index of an attempt, which is used as the correlation of its messages.
fn attempt_of(correlation: u64) -> usize {
    usize::try_from(correlation).unwrap_or(usize::MAX)
}
