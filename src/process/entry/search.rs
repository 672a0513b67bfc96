//! Execution of one search in the entry: performs the actions that the [`Query`] state machine returns.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc;

use crate::connection::session::SessionHandle;
use crate::connection::session::SessionId;
use crate::error::ErrorKind;
use crate::error::RequestError;
use crate::ids::CorrelationId;
use crate::ids::SearcherIndex;
use crate::process::entry::Entry;
use crate::process::entry::api::SearchRequest;
use crate::process::entry::api::resolve_deadline;
use crate::process::entry::pending::RequestEvent;
use crate::process::fleet::Fleet;
use crate::process::metrics::ReasonLabel;
use crate::request::plan::Plan;
use crate::request::plan::plan;
use crate::request::query::Action;
use crate::request::query::Answer;
use crate::request::query::CancelAttempt;
use crate::request::query::Cause;
use crate::request::query::Query;
use crate::request::query::Request;
use crate::request::query::SendAttempt;
use crate::wire::proto;
use crate::wire::proto::Class;
use crate::wire::proto::RefusalReason;
use crate::wire::proto::frame::Body;
use crate::wire::proto::part_result::Outcome;

/// Answer of a search with the data that its response and its metrics need.
#[derive(Debug)]
pub struct SearchResult {
    /// The answer.
    pub answer: Box<Answer>,
    /// Plan of the search.
    pub plan: Plan,
    /// Minimum coverage as a fraction. Below it the request fails.
    pub min_coverage: f64,
}

/// Runs one search.
///
/// # Errors
///
/// Returns an error if the request is invalid, no snapshot is available, or no configuration is in effect yet.
pub async fn run(
    entry: &Arc<Entry>,
    request: &SearchRequest,
    request_id: &str,
    started: Instant,
) -> Result<SearchResult, RequestError> {
    let fleet = entry.fleet.load_full().ok_or_else(not_configured)?;
    let services = requested_services(&fleet, request)?;
    let plan = plan(&fleet.tables, &services, request.limit)?;
    let policies = plan.services.iter().enumerate().map(|(ix, _)| plan.policy(ix as u32));
    let (mut default_deadline, mut max_deadline, mut default_coverage) = (Duration::MAX, Duration::MAX, 0.0_f64);
    for policy in policies {
        default_deadline = default_deadline.min(policy.deadline);
        max_deadline = max_deadline.min(policy.max_deadline);
        default_coverage = default_coverage.max(policy.min_coverage);
    }
    let timeout = resolve_deadline(request.deadline_ms, default_deadline, max_deadline)?;
    let now = entry.node.timer.now();
    let pin = fleet.pin(&plan, &[], now)?;
    let min_coverage = request.min_coverage.unwrap_or(default_coverage);
    let correlation = entry.next_correlation();
    let query_request = Request {
        correlation,
        deadline: started + timeout,
        min_coverage,
    };
    let query = Query::new(
        fleet,
        plan.clone(),
        pin,
        query_request,
        SmallRng::seed_from_u64(correlation),
    );
    let task = SearchTask {
        entry: Arc::clone(entry),
        query,
        correlation,
        class: request.class.to_wire(),
        request_id: request_id.into(),
        query_text: Bytes::copy_from_slice(request.query.as_bytes()),
        deadline: query_request.deadline,
        sent: IndexMap::new(),
        unsent: Vec::new(),
    };
    let answer = task.run().await;
    Ok(SearchResult {
        answer,
        plan,
        min_coverage,
    })
}

pub(crate) fn not_configured() -> RequestError {
    let message = "no configuration is in effect yet; repeat after a moment";
    RequestError::new(ErrorKind::NotRun, message).with_retry_after(Duration::from_millis(500))
}

fn requested_services<'a>(fleet: &'a Fleet, request: &'a SearchRequest) -> Result<Vec<&'a str>, RequestError> {
    let Some(name) = &request.index else {
        return Ok(request.services.iter().map(|service| &**service).collect());
    };
    let Some(index) = fleet.tables.indexes.get(name) else {
        let message = format!("unknown index `{name}`; check the name against the console");
        return Err(RequestError::new(ErrorKind::BadRequest, message));
    };
    Ok(index.services.keys().map(|service| &**service).collect())
}

/// Attempt sent to a leaf.
#[derive(Debug)]
struct SentAttempt {
    session: SessionHandle,
    searcher: SearcherIndex,
}

struct SearchTask {
    entry: Arc<Entry>,
    query: Query,
    correlation: CorrelationId,
    class: Class,
    request_id: Box<str>,
    query_text: Bytes,
    deadline: Instant,
    /// Sent attempts by part and attempt number.
    sent: IndexMap<(u32, u32), SentAttempt>,
    /// Attempts that could not be sent because no session was open.
    unsent: Vec<(u32, u32)>,
}

impl SearchTask {
    async fn run(mut self) -> Box<Answer> {
        let mut events = self.entry.pending.register(self.correlation);
        let mut actions = Vec::new();
        self.query.on_start(self.entry.node.timer.now(), &mut actions);
        loop {
            if let Some(answer) = self.apply_actions(&mut actions) {
                return answer;
            }
            self.wait(&mut events, &mut actions).await;
        }
    }

    async fn wait(&mut self, events: &mut mpsc::UnboundedReceiver<RequestEvent>, actions: &mut Vec<Action>) {
        let timer = self.entry.node.timer.clone();
        let wakeup = self.query.next_wakeup();
        let event = tokio::select! {
            event = events.recv() => event,
            () = timer.sleep_until(wakeup) => None,
        };
        let now = timer.now();
        match event {
            Some(event) => self.on_event(event, now, actions),
            None => self.query.on_tick(now, actions),
        }
        // Process all queued results before sending anything, to avoid hedging parts that have already completed.
        while let Ok(event) = events.try_recv() {
            self.on_event(event, now, actions);
        }
    }

    fn on_event(&mut self, event: RequestEvent, now: Instant, actions: &mut Vec<Action>) {
        match event {
            RequestEvent::PartResult(_, result) => {
                self.report_draining(&result);
                self.query.on_result(result, now, actions);
            }
            RequestEvent::TicketReply(..) | RequestEvent::SubmitReply(..) => {}
            RequestEvent::SessionLost(session) => {
                for (part, attempt) in self.attempts_on(session) {
                    self.query.on_session_lost(part, attempt, now, actions);
                }
            }
        }
    }

    fn attempts_on(&self, session: SessionId) -> Vec<(u32, u32)> {
        let lost = self.sent.iter().filter(|(_, sent)| sent.session.id() == session);
        lost.map(|(key, _)| *key).collect()
    }

    fn report_draining(&self, result: &proto::PartResult) {
        let reported = result.report.as_ref().is_some_and(|report| report.draining);
        let refused = match &result.outcome {
            Some(Outcome::Refusal(refusal)) => refusal.reason() == RefusalReason::Draining,
            Some(Outcome::Hits(_)) | None => false,
        };
        if !reported && !refused {
            return;
        }
        if let Some(sent) = self.sent.get(&(result.part, result.attempt)) {
            let searcher = self.query.plan().tables.searcher(sent.searcher);
            self.entry.node.report_searcher_leaving(&searcher.id);
        }
    }

    /// Performs actions until none are left. Attempts without a session are reported to the query as lost.
    fn apply_actions(&mut self, actions: &mut Vec<Action>) -> Option<Box<Answer>> {
        let mut answer = None;
        while !actions.is_empty() {
            let mut outbox = Outbox::default();
            for action in std::mem::take(actions) {
                match action {
                    Action::Send(send) => self.add_send(&mut outbox, &send),
                    Action::Cancel(cancel) => self.add_cancel(&mut outbox, &cancel),
                    Action::Finish(finished) => answer = Some(finished),
                }
            }
            self.flush(outbox);
            let now = self.entry.node.timer.now();
            for (part, attempt) in std::mem::take(&mut self.unsent) {
                self.query.on_session_lost(part, attempt, now, actions);
            }
        }
        answer
    }

    fn add_send(&mut self, outbox: &mut Outbox, send: &SendAttempt) {
        self.count_attempt(send.cause);
        let plan = self.query.plan();
        let searcher = plan.tables.searcher(send.searcher);
        let excluded_leaf = send.fallback.then(|| self.previous_leaf(send)).flatten();
        let Some(route) = self
            .entry
            .route(send.searcher, &searcher.data_centre, excluded_leaf.as_deref())
        else {
            self.unsent.push((send.part, send.attempt));
            return;
        };
        let part = proto::Part {
            part: send.part,
            attempt: send.attempt,
            searcher: searcher.id.to_string(),
            shard: plan.shard(send.part).id.to_string(),
            range: Some(proto::KeyRange {
                start: send.range.start,
                end: send.range.end,
            }),
            fallback: send.fallback || route.fallback,
        };
        let key = (send.part, send.attempt);
        let sent = SentAttempt {
            session: route.session.clone(),
            searcher: send.searcher,
        };
        self.sent.insert(key, sent);
        let batch = outbox
            .batches
            .entry(route.session.id())
            .or_insert_with(|| SessionBatch::new(route.session));
        batch.snapshot = send.snapshot;
        batch.parts.push(part);
    }

    /// Returns the leaf that received the previous attempt of this part at the same searcher.
    fn previous_leaf(&self, send: &SendAttempt) -> Option<Box<str>> {
        let earlier = self.sent.iter().rev();
        let mut same = earlier.filter(|((part, _), sent)| *part == send.part && sent.searcher == send.searcher);
        same.next()
            .map(|(_, sent)| sent.session.peer().instance.as_str().into())
    }

    fn add_cancel(&self, outbox: &mut Outbox, cancel: &CancelAttempt) {
        let Some(sent) = self.sent.get(&(cancel.part, cancel.attempt)) else {
            return;
        };
        let session = &sent.session;
        let batch = outbox
            .batches
            .entry(session.id())
            .or_insert_with(|| SessionBatch::new(session.clone()));
        batch.cancels.push(proto::PartKey {
            part: cancel.part,
            attempt: cancel.attempt,
        });
    }

    fn flush(&mut self, outbox: Outbox) {
        let plan = self.query.plan();
        let revision = plan.revision();
        let limit = plan.limit;
        for session_batch in outbox.batches.into_values() {
            if !session_batch.cancels.is_empty() {
                let cancel = proto::Cancel {
                    correlation: self.correlation,
                    parts: session_batch.cancels,
                };
                let _closed = session_batch.session.send(Body::Cancel(cancel));
            }
            if session_batch.parts.is_empty() {
                continue;
            }
            let keys: Vec<(u32, u32)> = session_batch
                .parts
                .iter()
                .map(|part| (part.part, part.attempt))
                .collect();
            let batch = proto::Batch {
                correlation: self.correlation,
                request_id: self.request_id.to_string(),
                class: self.class.into(),
                remaining_us: self.remaining_us(),
                snapshot: session_batch.snapshot,
                revision,
                query: self.query_text.clone(),
                limit,
                parts: session_batch.parts,
            };
            if session_batch.session.send(Body::Batch(batch)).is_err() {
                self.unsent.extend(keys);
            }
        }
    }

    fn remaining_us(&self) -> u64 {
        let now = self.entry.node.timer.now();
        let remaining = self.deadline.saturating_duration_since(now);
        u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX)
    }

    fn count_attempt(&self, cause: Cause) {
        let metrics = &self.entry.node.metrics;
        let reason = match cause {
            Cause::First => {
                metrics.planned_parts.inc();
                return;
            }
            Cause::Hedge => "hedge",
            Cause::Retry => "retry",
            Cause::Redirect => "redirect",
            Cause::Completion => "completion",
        };
        metrics.extra_parts.get_or_create(&ReasonLabel { reason }).inc();
    }
}

impl Drop for SearchTask {
    /// Cancels attempts in flight if the caller disconnected, and unregisters the request.
    fn drop(&mut self) {
        let mut actions = Vec::new();
        self.query.on_cancel(self.entry.node.timer.now(), &mut actions);
        let _answer_without_caller = self.apply_actions(&mut actions);
        self.entry.pending.remove(self.correlation);
    }
}

/// Frames to send, grouped by session.
#[derive(Debug, Default)]
struct Outbox {
    batches: IndexMap<SessionId, SessionBatch>,
}

#[derive(Debug)]
struct SessionBatch {
    session: SessionHandle,
    snapshot: u64,
    parts: Vec<proto::Part>,
    cancels: Vec<proto::PartKey>,
}

impl SessionBatch {
    const fn new(session: SessionHandle) -> Self {
        Self {
            session,
            snapshot: 0,
            parts: Vec::new(),
            cancels: Vec::new(),
        }
    }
}
