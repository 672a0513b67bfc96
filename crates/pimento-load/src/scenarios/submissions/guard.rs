//! What decides at a leaf whether a submission is dispatched: the register of tickets, or the baseline.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::tickets;
use pimentoflow::process::tickets::Action;
use pimentoflow::process::tickets::BackendReply;
use pimentoflow::process::tickets::SessionId;
use pimentoflow::process::tickets::TicketRegistry;
use pimentoflow::process::tickets::Work;
use pimentoflow::process::tickets::WorkId;
use pimentoflow::request::submission::Peer;
use pimentoflow::wire::proto::Submit;
use pimentoflow::wire::proto::SubmitOutcome;
use pimentoflow::wire::proto::SubmitReply;

/// Decides about dispatches.
#[derive(Debug)]
pub(crate) enum Guard {
    Tickets(Box<TicketRegistry>),
    Ids(IdMemory),
}

impl Guard {
    pub fn new(tickets: bool, peer: &Peer) -> Self {
        if tickets {
            let settings = tickets::Settings::new(&peer.instance, peer.incarnation);
            Self::Tickets(Box::new(TicketRegistry::new(settings)))
        } else {
            Self::Ids(IdMemory::default())
        }
    }

    pub fn on_submit(
        &mut self,
        session: SessionId,
        submit: &Submit,
        owns: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        match self {
            // Owner and successor both hold connections, so either dispatches the tickets that it issued.
            Self::Tickets(register) => {
                let _ = register.on_submit(session, submit, Ok(()), now, actions);
            }
            Self::Ids(memory) => memory.on_submit(session, submit, owns, now, actions),
        }
    }

    pub fn on_cancel(&mut self, session: SessionId, correlation: u64, actions: &mut Vec<Action>) {
        match self {
            Self::Tickets(register) => register.on_cancel(session, correlation, actions),
            Self::Ids(memory) => memory.on_cancel(session, correlation, actions),
        }
    }

    pub fn begin(&mut self, id: WorkId, now: Instant, actions: &mut Vec<Action>) -> bool {
        match self {
            Self::Tickets(register) => register.dispatch(id, now, actions),
            Self::Ids(memory) => memory.begin(id, now, actions),
        }
    }

    pub fn on_reply(&mut self, id: WorkId, reply: BackendReply, actions: &mut Vec<Action>) {
        match self {
            Self::Tickets(register) => register.on_reply(id, reply, actions),
            Self::Ids(memory) => memory.on_reply(id, &reply, actions),
        }
    }

    pub fn on_lost(&mut self, id: WorkId, actions: &mut Vec<Action>) {
        match self {
            Self::Tickets(register) => register.on_connection_lost(id, actions),
            Self::Ids(memory) => memory.finish(id.sequence, Outcome::Unknown, actions),
        }
    }

    pub fn on_wakeup(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Self::Tickets(register) = self {
            register.on_wakeup(now, actions);
        }
    }

    pub fn next_wakeup(&self) -> Option<Instant> {
        match self {
            Self::Tickets(register) => register.next_wakeup(),
            Self::Ids(_) => None,
        }
    }
}

/// Baseline: remembers the ids that came while this leaf ran, whoever issued them.
#[derive(Debug, Default)]
pub(crate) struct IdMemory {
    ids: BTreeMap<u64, Known>,
}

/// What became of one id.
#[derive(Debug)]
struct Known {
    deadline: Instant,
    dispatched: bool,
    waiters: Vec<(SessionId, u64)>,
    outcome: Option<Outcome>,
}

#[derive(Debug, Clone, Copy)]
enum Outcome {
    Executed,
    NotRun,
    Unknown,
}

impl IdMemory {
    fn on_submit(&mut self, session: SessionId, submit: &Submit, owns: bool, now: Instant, actions: &mut Vec<Action>) {
        let waiter = (session, submit.correlation);
        let Some(id) = submit.ticket.as_ref().map(|ticket| ticket.sequence) else {
            return;
        };
        if let Some(known) = self.ids.get_mut(&id) {
            match known.outcome {
                Some(outcome) => actions.push(reply(waiter, outcome)),
                None => known.waiters.push(waiter),
            }
            return;
        }
        if !owns {
            actions.push(reply(waiter, Outcome::NotRun));
            return;
        }
        let deadline = now + Duration::from_micros(submit.remaining_us);
        let known = Known {
            deadline,
            dispatched: false,
            waiters: vec![waiter],
            outcome: None,
        };
        self.ids.insert(id, known);
        actions.push(Action::Enqueue(Work {
            id: WorkId {
                sequence: id,
                attempt: 1,
            },
            dispatch_id: id.to_string().into(),
            request_id: submit.request_id.as_str().into(),
            searcher: "a1".into(),
            class: submit.class,
            deadline,
            shard: submit.shard.as_str().into(),
            key: submit.key,
            body: submit.body.clone(),
        }));
    }

    fn on_cancel(&mut self, session: SessionId, correlation: u64, actions: &mut Vec<Action>) {
        let waiter = (session, correlation);
        let found = self.ids.iter().find(|(_, known)| known.waiters.contains(&waiter));
        if let Some((id, known)) = found
            && !known.dispatched
        {
            let id = *id;
            self.finish(id, Outcome::NotRun, actions);
        }
    }

    fn begin(&mut self, id: WorkId, now: Instant, actions: &mut Vec<Action>) -> bool {
        let Some(known) = self.ids.get_mut(&id.sequence) else {
            return false;
        };
        if known.outcome.is_some() || known.dispatched {
            return false;
        }
        if now >= known.deadline {
            self.finish(id.sequence, Outcome::NotRun, actions);
            return false;
        }
        known.dispatched = true;
        true
    }

    fn on_reply(&mut self, id: WorkId, reply: &BackendReply, actions: &mut Vec<Action>) {
        let outcome = match (reply.status, reply.not_started) {
            (200..=299, _) => Outcome::Executed,
            (_, true) => Outcome::NotRun,
            (_, false) => Outcome::Unknown,
        };
        self.finish(id.sequence, outcome, actions);
    }

    fn finish(&mut self, id: u64, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(known) = self.ids.get_mut(&id) else {
            return;
        };
        known.outcome = Some(outcome);
        actions.extend(known.waiters.drain(..).map(|waiter| reply(waiter, outcome)));
    }
}

fn reply((session, correlation): (SessionId, u64), outcome: Outcome) -> Action {
    let mut reply = SubmitReply {
        correlation,
        ..SubmitReply::default()
    };
    match outcome {
        Outcome::Executed => {
            reply.set_outcome(SubmitOutcome::Executed);
            reply.status = 200;
        }
        Outcome::NotRun => reply.set_outcome(SubmitOutcome::NotRun),
        Outcome::Unknown => reply.set_outcome(SubmitOutcome::Unknown),
    }
    Action::Reply { session, reply }
}
