//! Execution of one submission in the entry: performs the actions that the [`Submission`] state machine returns.

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

/// Answer to a submission with the index for its metrics.
#[derive(Debug)]
pub struct SubmissionResult {
    /// The answer.
    pub answer: Answer,
    /// Index that the service belongs to.
    pub index: IndexId,
}

/// Runs one submission.
///
/// # Errors
///
/// Returns an error if the request is invalid or no configuration is in effect yet. In that case this attempt executed
/// nothing; see [`classify_refusal`].
pub async fn run(
    entry: &Arc<Entry>,
    request: SubmitRequest,
    request_id: &str,
    started: Instant,
) -> Result<SubmissionResult, RequestError> {
    let fleet = entry.fleet.load_full().ok_or_else(not_configured)?;
    let tables = &fleet.tables;
    let target = Target::find(tables, &request)?;
    let ticket = request.ticket.as_deref().map(ticket::decode).transpose()?;
    let policy = target.policy(tables);
    let timeout = resolve_deadline(request.deadline_ms, policy.deadline, policy.max_deadline)?;
    let issuer = ticket.as_ref().map(|ticket| ticket.instance.clone());
    let submission_request = Request {
        request: request_id.into(),
        class: request.class.to_wire(),
        searcher: tables.searcher(target.searcher).id.clone(),
        shard: target.shard.clone(),
        key: request.key,
        body: Bytes::from(request.body.into_string()),
        ticket,
    };
    let correlation = entry.next_correlation();
    let submission = Submission::new(
        submission_request,
        correlation,
        started + timeout,
        entry.node.timer.now(),
    );
    let sessions = match issuer {
        Some(instance) => entry.session(&instance).into_iter().collect(),
        None => entry.candidate_sessions(target.searcher),
    };
    let task = SubmissionTask {
        entry: Arc::clone(entry),
        submission,
        correlation,
        sessions,
    };
    Ok(SubmissionResult {
        answer: task.run().await,
        index: target.index,
    })
}

/// Changes a `not_run` error of this entry to `outcome_unknown` if the request carries a ticket.
///
/// Without a ticket, nothing can have run. With a ticket, an earlier attempt through another entry may have run, and
/// only the leaf that issued the ticket knows.
#[must_use]
pub fn classify_refusal(error: RequestError, has_ticket: bool) -> RequestError {
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

struct SubmissionTask {
    entry: Arc<Entry>,
    submission: Submission,
    correlation: CorrelationId,
    /// Sessions that the submission can use, best-ranked leaf first.
    sessions: Vec<SessionHandle>,
}

impl SubmissionTask {
    async fn run(mut self) -> Answer {
        let mut events = self.entry.pending.register(self.correlation);
        let peers: Vec<Peer> = self.sessions.iter().map(peer_of).collect();
        let mut actions = Vec::new();
        self.submission.start(&peers, self.entry.node.timer.now(), &mut actions);
        loop {
            if let Some(answer) = self.apply_actions(&mut actions) {
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
        let (RequestEvent::TicketReply(session, _)
        | RequestEvent::SubmitReply(session, _)
        | RequestEvent::SessionLost(session)
        | RequestEvent::PartResult(session, _)) = &event;
        let Some(peer) = self.peer(*session) else { return };
        match event {
            RequestEvent::TicketReply(_, reply) => self.submission.on_ticket_reply(&peer, reply, now, actions),
            RequestEvent::SubmitReply(_, reply) => self.submission.on_submit_reply(&peer, reply, actions),
            RequestEvent::SessionLost(_) => self.submission.on_session_lost(&peer, now, actions),
            RequestEvent::PartResult(..) => {}
        }
    }

    fn peer(&self, session: SessionId) -> Option<Peer> {
        self.sessions
            .iter()
            .find(|candidate| candidate.id() == session)
            .map(peer_of)
    }

    fn apply_actions(&mut self, actions: &mut Vec<Action>) -> Option<Answer> {
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

impl Drop for SubmissionTask {
    /// Cancels the submission if the caller disconnected. Queued work does not run. Dispatched work continues, and its
    /// outcome is stored for a retry with the same ticket.
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
