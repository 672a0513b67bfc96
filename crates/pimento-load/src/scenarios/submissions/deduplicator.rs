//! Deduplication of submissions at a leaf: the ticket registry of the library, or the baseline.

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

/// Decides whether a leaf dispatches a submission.
#[derive(Debug)]
pub(crate) enum Deduplicator {
    Tickets(Box<TicketRegistry>),
    Ids(IdRegistry),
}

impl Deduplicator {
    pub fn new(tickets: bool, peer: &Peer) -> Self {
        if tickets {
            let settings = tickets::Settings::new(&peer.instance, peer.incarnation);
            Self::Tickets(Box::new(TicketRegistry::new(settings)))
        } else {
            Self::Ids(IdRegistry::default())
        }
    }

    pub fn on_submit(
        &mut self,
        session: SessionId,
        submit: &Submit,
        is_owner: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        match self {
            // Owner and successor both have connections, so each dispatches the tickets that it issued.
            Self::Tickets(registry) => {
                let _ = registry.on_submit(session, submit, Ok(()), now, actions);
            }
            Self::Ids(registry) => registry.on_submit(session, submit, is_owner, now, actions),
        }
    }

    pub fn on_cancel(&mut self, session: SessionId, correlation: u64, actions: &mut Vec<Action>) {
        match self {
            Self::Tickets(registry) => registry.on_cancel(session, correlation, actions),
            Self::Ids(registry) => registry.on_cancel(session, correlation, actions),
        }
    }

    pub fn try_dispatch(&mut self, id: WorkId, now: Instant, actions: &mut Vec<Action>) -> bool {
        match self {
            Self::Tickets(registry) => registry.dispatch(id, now, actions),
            Self::Ids(registry) => registry.try_dispatch(id, now, actions),
        }
    }

    pub fn on_reply(&mut self, id: WorkId, reply: BackendReply, actions: &mut Vec<Action>) {
        match self {
            Self::Tickets(registry) => registry.on_reply(id, reply, actions),
            Self::Ids(registry) => registry.on_reply(id, &reply, actions),
        }
    }

    pub fn on_connection_lost(&mut self, id: WorkId, actions: &mut Vec<Action>) {
        match self {
            Self::Tickets(registry) => registry.on_connection_lost(id, actions),
            Self::Ids(registry) => registry.finish(id.sequence, Outcome::Unknown, actions),
        }
    }

    pub fn on_wakeup(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Self::Tickets(registry) = self {
            registry.on_wakeup(now, actions);
        }
    }

    pub fn next_wakeup(&self) -> Option<Instant> {
        match self {
            Self::Tickets(registry) => registry.next_wakeup(),
            Self::Ids(_) => None,
        }
    }
}

/// Baseline: remembers the ids received since the start of this leaf, regardless of the leaf that they name as owner.
#[derive(Debug, Default)]
pub(crate) struct IdRegistry {
    ids: BTreeMap<u64, IdState>,
}

/// Progress of the submission with one id.
#[derive(Debug)]
struct IdState {
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

impl IdRegistry {
    fn on_submit(
        &mut self,
        session: SessionId,
        submit: &Submit,
        is_owner: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let waiter = (session, submit.correlation);
        let Some(id) = submit.ticket.as_ref().map(|ticket| ticket.sequence) else {
            return;
        };
        if let Some(state) = self.ids.get_mut(&id) {
            match state.outcome {
                Some(outcome) => actions.push(reply(waiter, outcome)),
                None => state.waiters.push(waiter),
            }
            return;
        }
        if !is_owner {
            actions.push(reply(waiter, Outcome::NotRun));
            return;
        }
        let deadline = now + Duration::from_micros(submit.remaining_us);
        let state = IdState {
            deadline,
            dispatched: false,
            waiters: vec![waiter],
            outcome: None,
        };
        self.ids.insert(id, state);
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
        let found = self.ids.iter().find(|(_, state)| state.waiters.contains(&waiter));
        if let Some((id, state)) = found
            && !state.dispatched
        {
            let id = *id;
            self.finish(id, Outcome::NotRun, actions);
        }
    }

    fn try_dispatch(&mut self, id: WorkId, now: Instant, actions: &mut Vec<Action>) -> bool {
        let Some(state) = self.ids.get_mut(&id.sequence) else {
            return false;
        };
        if state.outcome.is_some() || state.dispatched {
            return false;
        }
        if now >= state.deadline {
            self.finish(id.sequence, Outcome::NotRun, actions);
            return false;
        }
        state.dispatched = true;
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
        let Some(state) = self.ids.get_mut(&id) else {
            return;
        };
        state.outcome = Some(outcome);
        actions.extend(state.waiters.drain(..).map(|waiter| reply(waiter, outcome)));
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
