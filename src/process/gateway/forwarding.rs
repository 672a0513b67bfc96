//! Forwarding of a request: carries out the decisions of [`Fanout`] and builds the answer.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use http::HeaderValue;
use http::StatusCode;
use slog::info;

use crate::connection::upstream::Response;
use crate::ids::ServiceId;
use crate::process::backends::Backend;
use crate::process::backends::choice;
use crate::process::backends::choice::ProbeBudget;
use crate::process::backends::selection;
use crate::process::backends::selection::Requirements;
use crate::process::gateway::EffectiveState;
use crate::process::gateway::Gateway;
use crate::process::gateway::answer;
use crate::process::gateway::answer::CallerAnswer;
use crate::process::gateway::answer::PartAnswer;
use crate::process::gateway::attempt::Attempt;
use crate::process::gateway::attempt::AttemptContext;
use crate::process::gateway::attempt::AttemptResult;
use crate::process::gateway::head::OutgoingRequest;
use crate::process::gateway::log_quota::LogTopic;
use crate::process::latency;
use crate::process::latency::LatencyHistogram;
use crate::process::latency::Summary;
use crate::request::fanout::AttemptOutcome;
use crate::request::fanout::Cause;
use crate::request::fanout::Decision;
use crate::request::fanout::Fanout;
use crate::request::fanout::Limits;
use crate::request::fanout::PartFailure;
use crate::request::fanout::PartSend;
use crate::request::fanout::ServerChoice;
use crate::request::fanout::ServerIndex;
use crate::version::routing::Route;
use crate::version::routing::ShardSet;
use crate::version::routing::Target;

/// Time for which attempts that are no longer needed may continue after the answer. It covers a pause of a server and
/// keeps the connection usable; attempts that take longer are cancelled.
const LINGER_TIME: Duration = Duration::from_millis(300);

/// `Retry-After` time of requests refused because all servers are busy, as a share of the objective. The queues of the
/// servers have changed by then.
const BUSY_RETRY_SHARE: f64 = 0.5;

/// `Retry-After` time if it is not known when a server becomes available.
const SERVER_RETRY: Duration = Duration::from_millis(400);

/// Maximum number of failed parts of a request whose servers are described in the log. Two missing parts are enough to
/// fail most requests.
const MAX_LOGGED_PARTS: usize = 3;

/// Request that was read completely and may be sent.
pub(super) struct AdmittedRequest {
    pub(super) outgoing: OutgoingRequest,
    pub(super) id: HeaderValue,
    pub(super) started: Instant,
    /// Time from the start until the caller's deadline.
    pub(super) time_limit: Duration,
    /// Part that must be answered before the others are sent, because the request may crash the servers that run it.
    pub(super) trial: Option<usize>,
}

/// Request in progress with the inputs of its attempts.
pub(super) struct Forwarding {
    gateway: Arc<Gateway>,
    effective: Arc<EffectiveState>,
    route: Arc<Route>,
    /// Service of each part.
    services: Vec<ServiceId>,
    outgoing: Arc<OutgoingRequest>,
    id: HeaderValue,
    started: Instant,
    latencies: Arc<Mutex<LatencyHistogram>>,
    summary: Option<Summary>,
    fanout: Fanout,
    probes: ProbeBudget,
    parts: Vec<Option<PartAnswer>>,
    /// Last response of a backend server that can be forwarded as it is.
    forwardable: Option<Response>,
    /// Attempts and the times after the start at which they were sent, for the log.
    sent: Vec<(PartSend, Duration)>,
    /// Number of attempts during which the server crashed.
    crashes: u32,
    /// Whether any server has answered.
    has_answer: Arc<AtomicBool>,
    is_trial: bool,
    is_finished: bool,
}

impl Forwarding {
    pub(super) fn new(
        gateway: &Arc<Gateway>,
        effective: Arc<EffectiveState>,
        route: Arc<Route>,
        request: AdmittedRequest,
    ) -> Self {
        let AdmittedRequest {
            outgoing,
            id,
            started,
            time_limit,
            trial,
        } = request;
        let services: Vec<ServiceId> = match &route.target {
            Target::Single(service) => vec![service.clone()],
            Target::Split(split) => split.next_service().cloned().into_iter().collect(),
            Target::Shards(set) => set.shards.clone(),
        };
        let min_parts = match &route.target {
            Target::Shards(set) => set.min_parts(),
            Target::Single(_) | Target::Split(_) => 1,
        };
        for service in &services {
            let limits = &effective.extra;
            gateway.with_budget(service, started, |budget| budget.on_request(limits, started));
        }
        let limits = Limits {
            parts: services.len(),
            min_parts,
            max_attempts: route.max_attempts,
            repeatable: route.idempotent,
            objective: route.target_latency,
            time_limit,
            trial,
        };
        let latencies = gateway.latencies(&route.name);
        let summary = latencies.lock().unwrap_or_else(PoisonError::into_inner).summary();
        Self {
            gateway: Arc::clone(gateway),
            effective,
            parts: vec![None; services.len()],
            services,
            outgoing: Arc::new(outgoing),
            id,
            started,
            latencies,
            summary,
            fanout: Fanout::new(limits, started),
            probes: ProbeBudget::default(),
            forwardable: None,
            sent: Vec::new(),
            crashes: 0,
            has_answer: Arc::default(),
            is_trial: trial.is_some(),
            is_finished: false,
            route,
        }
    }

    pub(super) async fn run(mut self) -> CallerAnswer {
        let mut running: FuturesUnordered<BoxFuture<'static, AttemptResult>> = FuturesUnordered::new();
        let mut stop_time = self.gateway.stop_time.subscribe();
        let decision = loop {
            let now = Instant::now();
            if let Some(end) = *stop_time.borrow_and_update() {
                self.fanout.limit_end(end);
            }
            if self.is_likely_cause() {
                self.fanout.abort();
                // Servers drop a request whose connection closes, so those that have not crashed yet may be spared.
                running.clear();
            }
            let sends = self.advance(now);
            let decision = self.fanout.decision(now);
            for send in sends {
                self.sent.push((send, now.saturating_duration_since(self.started)));
                let attempt = self.attempt(send, now);
                running.push(Box::pin(attempt.run()));
            }
            let Decision::Wait(until) = decision else {
                break decision;
            };
            tokio::select! {
                Some(result) = running.next(), if !running.is_empty() => self.on_attempt_end(result),
                () = tokio::time::sleep_until(until.into()) => {}
                Ok(()) = stop_time.changed() => {}
            }
        };
        if !running.is_empty() {
            tokio::spawn(finish_remaining(running));
        }
        self.finish(decision)
    }

    /// Returns whether servers crashed during this request and during others like it, and none has answered.
    fn is_likely_cause(&self) -> bool {
        self.crashes > 0 && !self.fanout.has_answer() && self.gateway.is_suspected(self.outgoing.fingerprint)
    }

    /// Returns the choice for a part if it may not be sent at the moment. Until one server has answered a request, crashes
    /// during it or during others like it suggest that it crashes all servers.
    fn restraint(&self) -> Option<ServerChoice> {
        if self.fanout.has_answer() {
            return None;
        }
        let request = self.outgoing.fingerprint;
        if self.is_trial {
            // Another instance's trial may have failed while this one waited for a server.
            let is_refused = self.sent.is_empty() && self.gateway.is_refused(request, Instant::now());
            return is_refused.then_some(ServerChoice::NoServer);
        }
        let is_suspected = self.gateway.is_suspected(request);
        match (is_suspected, self.crashes > 0, self.fanout.awaits_answer()) {
            (true, _, true) | (_, true, true) => Some(ServerChoice::Hold),
            (true, _, false) => Some(ServerChoice::NoServer),
            (false, _, _) => None,
        }
    }

    fn advance(&mut self, now: Instant) -> Vec<PartSend> {
        let restraint = self.restraint();
        let hedge_after = latency::hedge_after(self.summary, self.route.target_latency);
        let answer_by = self.started + self.route.target_latency;
        let gateway = &self.gateway;
        let services = &self.services;
        let view = &self.effective.view;
        let limits = &self.effective.extra;
        let requirements: Vec<Requirements> = (0..services.len()).map(|part| self.requirements(part)).collect();
        let mut rng = rand::rng();
        let probes = &mut self.probes;
        self.fanout.advance(now, |part, cause, tried| {
            if let Some(restraint) = restraint {
                return restraint;
            }
            let service = &services[part];
            let request = choice::AttemptRequest {
                servers: view.servers(service),
                tried,
                cause,
                requirements: requirements[part],
                answer_by,
                hedge_after,
            };
            let take_extra = || {
                let taken = gateway.with_budget(service, now, |budget| budget.take(limits, now));
                if !taken {
                    gateway.metrics.denied_extras.inc();
                }
                taken
            };
            choice::choose(request, probes, take_extra, now, &mut rng)
        })
    }

    fn requirements(&self, part: usize) -> Requirements {
        Requirements {
            usual: self.usual(),
            objective: self.route.target_latency,
            is_outranked: self.effective.routing.is_outranked(&self.route, &self.services[part]),
            instances: self.effective.instances,
        }
    }

    fn usual(&self) -> Duration {
        latency::usual(self.summary, self.route.target_latency)
    }

    /// Returns the server that a part is sent to.
    fn server(&self, part: usize, server: ServerIndex) -> Arc<Backend> {
        Arc::clone(&self.effective.view.servers(&self.services[part])[server])
    }

    fn attempt(&self, send: PartSend, now: Instant) -> Attempt {
        let context = AttemptContext {
            gateway: Arc::clone(&self.gateway),
            server: self.server(send.part, send.server),
            service: self.services[send.part].clone(),
            route: Arc::clone(&self.route),
            latencies: Arc::clone(&self.latencies),
            outgoing: Arc::clone(&self.outgoing),
            id: self.id.clone(),
            deadline: self.fanout.end(),
            limits: self.effective.extra,
            is_part: matches!(self.route.target, Target::Shards(_)),
            is_trial: self.is_trial,
            is_answered: Arc::clone(&self.has_answer),
        };
        Attempt::begin(context, send, self.usual(), self.summary, now)
    }

    fn on_attempt_end(&mut self, result: AttemptResult) {
        self.crashes += u32::from(result.outcome == AttemptOutcome::Crashed);
        let is_used = self.fanout.on_attempt_end(result.part, result.outcome, Instant::now());
        let Some(response) = result.response else { return };
        if !is_used {
            if result.outcome != AttemptOutcome::Answered {
                self.forwardable = Some(response);
            }
            return;
        }
        if matches!(self.route.target, Target::Shards(_)) {
            let signature = response.headers.get(&self.gateway.header_names.signature).cloned();
            self.parts[result.part] = signature.map(|signature| PartAnswer {
                signature,
                body: response.body,
            });
        } else {
            self.forwardable = Some(response);
        }
    }

    fn finish(mut self, decision: Decision) -> CallerAnswer {
        self.is_finished = true;
        let missing = self.fanout.missing();
        let (outcome, answer) = match decision {
            Decision::Answer => match &self.route.target {
                Target::Shards(set) => self.merge(set, missing),
                Target::Single(_) | Target::Split(_) => self.pass_through("ok"),
            },
            Decision::Refuse(failure) => ("refused", self.refuse(failure)),
            Decision::TimeOut => {
                let text = "the time of the request is over\n";
                ("timed_out", answer::plain_text(StatusCode::GATEWAY_TIMEOUT, text))
            }
            Decision::Fail(_) | Decision::Wait(_) if self.forwardable.is_some() && self.parts.len() == 1 => {
                self.pass_through("passed")
            }
            Decision::Fail(_) | Decision::Wait(_) => {
                let text = "the backend servers failed; the request may have run\n";
                ("failed", answer::plain_text(StatusCode::BAD_GATEWAY, text))
            }
        };
        if matches!(decision, Decision::Refuse(_) | Decision::Fail(_)) {
            self.log_given_up();
        }
        self.report(outcome, Some(answer.status()));
        answer
    }

    /// Counts the request, and logs its outcome in one line.
    fn report(&self, outcome: &'static str, status: Option<StatusCode>) {
        let gateway = &self.gateway;
        let elapsed = self.started.elapsed();
        if status.is_some() {
            gateway.on_quality(self.quality(outcome, elapsed));
        }
        let service = self.services.first().map_or("", |service| service);
        gateway.metrics.record_request(service, outcome, elapsed);
        let topic = if outcome == "ok" {
            LogTopic::Success
        } else {
            LogTopic::Failure
        };
        if !gateway.log_quota.allow(&gateway.log, topic) {
            return;
        }
        info!(gateway.log, "request"; "id" => self.id.to_str().ok(),
            "fingerprint" => %self.outgoing.fingerprint, "outcome" => outcome,
            "status" => status.map(|status| status.as_u16()), "route" => &*self.route.name,
            "revision" => self.effective.routing.revision, "read_age_ms" => gateway.read_age_ms(),
            "ms" => elapsed.as_millis() as u64, "usual_ms" => self.usual().as_millis() as u64,
            "parts" => self.services.len(), "missing" => self.fanout.missing(),
            "lacks" => self.fanout.missing_summary(), "placed" => %self.first_sends(), "again" => %self.repeat_sends());
    }

    /// Returns the quality of the answer for the caller, from 0 to 1.
    fn quality(&self, outcome: &'static str, elapsed: Duration) -> f64 {
        let is_answer = matches!(outcome, "ok" | "partial" | "passed");
        if !is_answer || elapsed > self.route.target_latency {
            return 0.0;
        }
        let share = 1.0 - self.fanout.missing() as f64 / self.services.len().max(1) as f64;
        share * share
    }

    /// Formats the first attempts for the log, as `part@server`.
    fn first_sends(&self) -> impl fmt::Display {
        fmt::from_fn(|out| {
            let first = self.sent.iter().filter(|(send, _)| send.cause == Cause::First);
            for (ix, (send, _)) in first.enumerate() {
                let separator = if ix == 0 { "" } else { "/" };
                write!(out, "{separator}{}@{}", send.part, self.server_id(*send))?;
            }
            Ok(())
        })
    }

    /// Formats the hedges and retries for the log, as `part@server@cause@milliseconds after the start`.
    fn repeat_sends(&self) -> impl fmt::Display {
        fmt::from_fn(|out| {
            let again = self.sent.iter().filter(|(send, _)| send.cause != Cause::First);
            for (ix, (send, after)) in again.enumerate() {
                let separator = if ix == 0 { "" } else { "/" };
                let server = self.server_id(*send);
                let (cause, after) = (send.cause.as_str(), after.as_millis());
                write!(out, "{separator}{}@{server}@{cause}@{after}", send.part)?;
            }
            Ok(())
        })
    }

    fn server_id(&self, send: PartSend) -> &str {
        &self.effective.view.servers(&self.services[send.part])[send.server]
            .entry
            .id
    }

    /// Logs why parts were given up without an attempt.
    fn log_given_up(&self) {
        let log = &self.gateway.log;
        let now = Instant::now();
        let unsent = self
            .fanout
            .given_up()
            .filter(|(_, failure)| *failure != PartFailure::Failed);
        for (part, failure) in unsent.take(MAX_LOGGED_PARTS) {
            if !self.gateway.log_quota.allow(log, LogTopic::Failure) {
                return;
            }
            let service = &self.services[part];
            let servers = self.effective.view.servers(service);
            let state = selection::describe(servers, self.requirements(part), now);
            info!(log, "part_given_up"; "id" => self.id.to_str().ok(), "part" => part, "lack" => ?failure,
                "service" => &**service, "servers" => state, "instances" => self.effective.instances.all);
        }
    }

    fn merge(&self, set: &ShardSet, missing: usize) -> (&'static str, CallerAnswer) {
        let answer = answer::merged(&self.gateway.header_names, self.parts.clone(), set.top_k);
        (if missing == 0 { "ok" } else { "partial" }, answer)
    }

    /// Forwards the response of the backend server. A status which promises that the request has not run is not
    /// forwarded unless the server stated it explicitly.
    fn pass_through(&self, outcome: &'static str) -> (&'static str, CallerAnswer) {
        let Some(response) = &self.forwardable else {
            return (
                "failed",
                answer::plain_text(StatusCode::BAD_GATEWAY, "the answer is missing\n"),
            );
        };
        let promises_not_run = matches!(response.status.as_u16(), 408 | 421 | 429 | 503);
        if promises_not_run {
            let text = "the backend server failed; the request may have run\n";
            return ("failed", answer::plain_text(StatusCode::BAD_GATEWAY, text));
        }
        let body: Bytes = response.body.clone();
        (
            outcome,
            answer::passed_through(response.status, response.headers.clone(), body),
        )
    }

    fn refuse(&self, failure: PartFailure) -> CallerAnswer {
        match failure {
            PartFailure::NoRoom => {
                let after = self.route.target_latency.mul_f64(BUSY_RETRY_SHARE);
                answer::not_run("all backend servers are busy\n", after)
            }
            PartFailure::NoServer | PartFailure::Failed => {
                let text = "no backend server can be asked; the request has not run\n";
                answer::not_run(text, self.retry_time(Instant::now()))
            }
        }
    }

    /// Returns the time after which enough of the missing parts may have an available server.
    fn retry_time(&self, now: Instant) -> Duration {
        let time_until_free = |part: usize| {
            let servers = self.effective.view.servers(&self.services[part]);
            let free = selection::available_at(servers).map(|at| at.saturating_duration_since(now));
            free.filter(|time| !time.is_zero()).unwrap_or(SERVER_RETRY)
        };
        let mut times: Vec<Duration> = self.fanout.given_up().map(|(part, _)| time_until_free(part)).collect();
        times.sort_unstable();
        let needed = self.fanout.shortfall().min(times.len());
        let time = needed.checked_sub(1).and_then(|last| times.get(last));
        time.copied().unwrap_or(SERVER_RETRY)
    }
}

/// Waits for attempts that are no longer needed, up to [`LINGER_TIME`], so that their connections stay usable and their
/// results count in the statistics of the servers.
async fn finish_remaining(mut running: FuturesUnordered<BoxFuture<'static, AttemptResult>>) {
    let rest = async { while running.next().await.is_some() {} };
    let _cancelled = tokio::time::timeout(LINGER_TIME, rest).await;
}

impl Drop for Forwarding {
    fn drop(&mut self) {
        if !self.is_finished {
            self.report("caller_left", None);
        }
        if (self.is_trial || self.crashes > 0) && !self.has_answer.load(Ordering::Relaxed) {
            self.gateway.on_unanswered(self.outgoing.fingerprint, self.is_trial);
        }
    }
}
