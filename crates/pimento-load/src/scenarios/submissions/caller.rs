//! Callers: arrival of submissions, and retries that depend on the answers.

use std::time::Duration;

use bytes::Bytes;
use pimentoflow::request::submission::Answer;
use pimentoflow::request::submission::Peer;
use pimentoflow::request::submission::Request;
use pimentoflow::request::submission::Submission;
use pimentoflow::request::ticket;
use pimentoflow::wire::proto::Class;
use pimentoflow::wire::proto::Ticket;
use rand::Rng;

use crate::scenarios::submissions::simulation::Attempt;
use crate::scenarios::submissions::simulation::ENTRIES;
use crate::scenarios::submissions::simulation::Event;
use crate::scenarios::submissions::simulation::Intent;
use crate::scenarios::submissions::simulation::ONE_WAY_DELAY;
use crate::scenarios::submissions::simulation::Simulation;

/// Deadline of each attempt.
const DEADLINE: Duration = Duration::from_millis(300);

/// Maximum number of attempts with one ticket, and of tickets for one intent.
const MAX_ATTEMPTS: u32 = 3;

impl Simulation<'_> {
    /// Adds an intent with its first attempt, and schedules the arrival of the next intent until the end of the run.
    pub fn arrive(&mut self) {
        let now = self.events.now();
        if now >= self.end {
            return;
        }
        self.intents.push(Intent {
            created_at: now,
            ticket: None,
            used_tickets: 0,
            unknown_outcomes: 0,
        });
        self.send_attempt(self.intents.len() - 1);
        let gap = self.exponential(Duration::from_secs_f64(1.0 / self.settings.rate));
        self.events.push(gap, Event::Arrive);
    }

    /// Sends one HTTP request of a caller through a random entry, as a load balancer would.
    pub fn send_attempt(&mut self, intent: usize) {
        let now = self.events.now();
        let entry = self.rng.random_range(0..ENTRIES);
        let owner = self.known_owner[entry];
        let nth = self.intents[intent].used_tickets;
        let ticket = if self.settings.tickets {
            self.intents[intent].ticket.clone()
        } else {
            Some(self.id_as_ticket(intent, nth, owner))
        };
        let leaves: Vec<Peer> = [owner, 1 - owner].map(|leaf| self.leaves[leaf].peer.clone()).into();
        let request = Request {
            request: format!("r{intent}").into(),
            class: Class::Routine,
            searcher: "a1".into(),
            shard: "s1".into(),
            key: 17,
            body: Bytes::from(format!("{intent}/{nth}")),
            ticket,
        };
        self.counts.attempts += u64::from(request.ticket.is_some());
        let attempt = self.attempts.len();
        let deadline = now + DEADLINE;
        let submission = Submission::new(request, attempt as u64, deadline, now);
        self.attempts.push(Attempt {
            intent,
            nth,
            entry,
            deadline,
            submission,
        });
        self.open_attempts.insert(attempt);
        self.with_submission(attempt, |submission, actions| submission.start(&leaves, now, actions));
    }

    /// Returns the id of an intent in the form of a ticket, for the baseline. It is sent to the leaf that the entry
    /// assumes to be the owner.
    fn id_as_ticket(&self, intent: usize, nth: u32, owner: usize) -> Ticket {
        let peer = &self.leaves[owner].peer;
        Ticket {
            instance: peer.instance.to_string(),
            incarnation: peer.incarnation,
            sequence: (intent as u64) * 16 + u64::from(nth),
            searcher: "a1".to_owned(),
            expires_unix_ms: 0,
        }
    }

    /// Handles the answer to an HTTP request: ends the intent or schedules another attempt for it.
    pub fn finish(&mut self, attempt: usize, answer: Answer) {
        let now = self.events.now();
        self.open_attempts.remove(&attempt);
        let Attempt {
            intent, nth, deadline, ..
        } = self.attempts[attempt];
        self.counts.late += u64::from(now > deadline);
        let record = &mut self.intents[intent];
        match answer {
            Answer::Executed { .. } => {
                self.reported_executed.insert((intent, nth));
                self.counts.executed += 1;
                self.latencies.record(now - record.created_at);
            }
            Answer::TicketNeeded { ticket } => {
                record.ticket = ticket::decode(&ticket).ok();
                self.events.push(ONE_WAY_DELAY, Event::Attempt { intent });
            }
            Answer::NotRun { .. } => {
                self.reported_not_run.insert((intent, nth));
                record.ticket = None;
                record.used_tickets += 1;
                record.unknown_outcomes = 0;
                if record.used_tickets >= MAX_ATTEMPTS {
                    self.counts.not_run += 1;
                } else {
                    self.retry(intent);
                }
            }
            Answer::OutcomeUnknown(unknown) => {
                self.counts.attempts_unknown += 1;
                record.unknown_outcomes += 1;
                let is_final = self.settings.tickets && !unknown.is_retryable();
                if is_final || record.unknown_outcomes >= MAX_ATTEMPTS {
                    self.counts.unknown += 1;
                } else {
                    self.retry(intent);
                }
            }
        }
    }

    /// Schedules another attempt for an intent after a random delay.
    fn retry(&mut self, intent: usize) {
        let after = Duration::from_millis(self.rng.random_range(100..400));
        self.events.push(after, Event::Attempt { intent });
    }
}
