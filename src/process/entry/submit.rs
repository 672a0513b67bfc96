//! One submission in the entry: carries out what [`Submission`] decides.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::connection::session::SessionHandle;
use crate::connection::session::SessionId;
use crate::error::ErrorKind;
use crate::error::RequestError;
use crate::ids::CorrelationId;
use crate::ids::IndexId;
use crate::ids::SearcherIndex;
use crate::process::entry::Entry;
use crate::process::entry::api::SubmitRequest;
use crate::process::entry::api::resolve_deadline;
use crate::process::entry::pending::RequestEvent;
use crate::process::entry::search::not_configured;
use crate::request::submission::Action;
use crate::request::submission::Answer;
use crate::request::submission::Peer;
use crate::request::submission::Request;
use crate::request::submission::Submission;
use crate::request::ticket;
use crate::version::tables::Policy;
use crate::version::tables::Tables;
use crate::wire::proto;
use crate::wire::proto::frame::Body;

/// Answer with what is needed to label it.
#[derive(Debug)]
pub struct Submitted {
    /// The answer.
    pub answer: Answer,
    /// Index of the service.
    pub index: IndexId,
}

/// Runs one submission.
///
/// # Errors
///
/// Fails when the request is malformed, or the configuration is not in effect yet. Nothing ran then.
pub async fn run(
    entry: &Arc<Entry>,
    request: SubmitRequest,
    id: &str,
    began: Instant,
) -> Result<Submitted, RequestError> {
    let fleet = entry.fleet.load_full().ok_or_else(not_configured)?;
    let tables = &fleet.tables;
    let target = Target::find(tables, &request)?;
    let ticket = request.ticket.as_deref().map(ticket::decode).transpose()?;
    let policy = target.policy(tables);
    let time = resolve_deadline(request.deadline_ms, policy.deadline, policy.max_deadline)?;
    let named = ticket.as_ref().map(|ticket| ticket.instance.clone());
    let wanted = Request {
        request: id.into(),
        class: request.class.to_wire(),
        searcher: tables.searcher(target.searcher).id.clone(),
        shard: target.shard.clone(),
        key: request.key,
        body: Bytes::from(request.body.into_string()),
        ticket,
    };
    let correlation = entry.next_correlation();
    let submission = Submission::new(wanted, correlation, began + time, entry.node.timer.now());
    let sessions = match named {
        Some(instance) => entry.session(&instance).into_iter().collect(),
        None => entry.holders(target.searcher),
    };
    let run = SubmitRun {
        entry: Arc::clone(entry),
        submission,
        correlation,
        sessions,
    };
    Ok(Submitted {
        answer: run.run().await,
        index: target.index,
    })
}

/// Turns a refusal of this entry into what it proves. Without a ticket nothing can have run. With one, an earlier attempt
/// through another entry may have run, and only the leaf that the ticket names can tell.
#[must_use]
pub fn refusal(error: RequestError, has_ticket: bool) -> RequestError {
    if !has_ticket || error.kind != ErrorKind::NotRun {
        return error;
    }
    RequestError {
        kind: ErrorKind::OutcomeUnknown,
        message: format!("{}; repeat with the same ticket", error.message).into(),
        ..error
    }
}

/// Shard and designated searcher of a submission.
#[derive(Debug)]
struct Target {
    index: IndexId,
    service: Box<str>,
    shard: Box<str>,
    searcher: SearcherIndex,
}

impl Target {
    fn find(tables: &Tables, request: &SubmitRequest) -> Result<Self, RequestError> {
        let name = &request.service;
        let Some((index, service)) = tables.service(name) else {
            return Err(bad_request(format!(
                "unknown service `{name}`; check the name against the console"
            )));
        };
        if !service.policy.submissions {
            return Err(bad_request(format!(
                "service `{name}` takes no submissions; name one that does"
            )));
        }
        let shard = service.shards.iter().find(|shard| shard.range.contains(request.key));
        let searcher = shard.and_then(|shard| shard.replicas.first().map(|&searcher| (shard, searcher)));
        let Some((shard, searcher)) = searcher else {
            return Err(bad_request(format!("no shard of `{name}` holds key {}", request.key)));
        };
        Ok(Self {
            index: index.clone(),
            service: name.clone(),
            shard: shard.id.clone(),
            searcher,
        })
    }

    fn policy<'a>(&self, tables: &'a Tables) -> &'a Policy {
        &tables.indexes[&self.index].services[&self.service].policy
    }
}

fn bad_request(message: impl Into<Box<str>>) -> RequestError {
    RequestError::new(ErrorKind::BadRequest, message)
}

struct SubmitRun {
    entry: Arc<Entry>,
    submission: Submission,
    correlation: CorrelationId,
    /// Sessions that the submission may use.
    sessions: Vec<SessionHandle>,
}

impl SubmitRun {
    async fn run(mut self) -> Answer {
        let mut events = self.entry.pending.register(self.correlation);
        let peers: Vec<Peer> = self.sessions.iter().map(peer_of).collect();
        let mut actions = Vec::new();
        self.submission.start(&peers, self.entry.node.timer.now(), &mut actions);
        loop {
            if let Some(answer) = self.carry_out(&mut actions) {
                return answer;
            }
            self.wait(&mut events, &mut actions).await;
        }
    }

    async fn wait(&mut self, events: &mut mpsc::UnboundedReceiver<RequestEvent>, actions: &mut Vec<Action>) {
        let timer = self.entry.node.timer.clone();
        let wakeup = self.submission.next_wakeup();
        let event = tokio::select! {
            biased;
            event = events.recv() => event,
            () = timer.sleep_until(wakeup) => None,
        };
        let now = timer.now();
        match event {
            Some(event) => self.on_event(event, now, actions),
            None => self.submission.on_wakeup(now, actions),
        }
    }

    fn on_event(&mut self, event: RequestEvent, now: Instant, actions: &mut Vec<Action>) {
        let (RequestEvent::Ticket(session, _)
        | RequestEvent::Submit(session, _)
        | RequestEvent::SessionLost(session)
        | RequestEvent::Result(session, _)) = &event;
        let Some(peer) = self.peer(*session) else { return };
        match event {
            RequestEvent::Ticket(_, reply) => self.submission.on_ticket_reply(&peer, reply, now, actions),
            RequestEvent::Submit(_, reply) => self.submission.on_submit_reply(&peer, reply, actions),
            RequestEvent::SessionLost(_) => self.submission.on_session_lost(&peer, now, actions),
            RequestEvent::Result(..) => {}
        }
    }

    fn peer(&self, session: SessionId) -> Option<Peer> {
        self.sessions.iter().find(|known| known.id() == session).map(peer_of)
    }

    fn carry_out(&mut self, actions: &mut Vec<Action>) -> Option<Answer> {
        while !actions.is_empty() {
            for action in std::mem::take(actions) {
                let (leaf, body) = match action {
                    Action::RequestTicket { leaf, request } => (leaf, Body::TicketRequest(request)),
                    Action::Send { leaf, submit } => (leaf, Body::Submit(submit)),
                    Action::Cancel { leaf, cancel } => (leaf, Body::Cancel(cancel)),
                    Action::Finish(answer) => return Some(answer),
                };
                if !self.send(&leaf, body) {
                    self.submission
                        .on_session_lost(&leaf, self.entry.node.timer.now(), actions);
                }
            }
        }
        None
    }

    fn send(&self, leaf: &Peer, body: Body) -> bool {
        let session = self.sessions.iter().find(|session| peer_of(session) == *leaf);
        session.is_some_and(|session| session.send(body).is_ok())
    }
}

impl Drop for SubmitRun {
    /// Withdraws the submission when the caller went away. Work that is queued then does not run; work that was dispatched
    /// goes on, and its outcome is kept for a repeat with the ticket.
    fn drop(&mut self) {
        self.entry.pending.remove(self.correlation);
        if self.submission.is_finished() {
            return;
        }
        let cancel = proto::Cancel {
            correlation: self.correlation,
            parts: Vec::new(),
        };
        for session in &self.sessions {
            let _closed = session.send(Body::Cancel(cancel.clone()));
        }
    }
}

fn peer_of(session: &SessionHandle) -> Peer {
    Peer {
        instance: session.peer().instance.as_str().into(),
        incarnation: session.peer().incarnation,
    }
}
