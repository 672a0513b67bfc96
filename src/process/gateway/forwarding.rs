//! A request that is forwarded: carries out the decisions of [`Fanout`] and makes the answer.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use http::HeaderValue;
use http::StatusCode;
use slog::info;

use crate::connection::upstream::Answer;
use crate::ids::ServiceId;
use crate::process::backends::Backend;
use crate::process::backends::choice;
use crate::process::backends::choice::Probes;
use crate::process::backends::place;
use crate::process::backends::place::Wanted;
use crate::process::gateway::Effective;
use crate::process::gateway::Gateway;
use crate::process::gateway::answer;
use crate::process::gateway::answer::CallerAnswer;
use crate::process::gateway::answer::PartAnswer;
use crate::process::gateway::attempt::Attempt;
use crate::process::gateway::attempt::Attempted;
use crate::process::gateway::attempt::Ended;
use crate::process::gateway::head::Outgoing;
use crate::process::gateway::lines::Topic;
use crate::process::pace;
use crate::process::pace::Pace;
use crate::process::pace::Summary;
use crate::request::fanout::AttemptOutcome;
use crate::request::fanout::Cause;
use crate::request::fanout::Decision;
use crate::request::fanout::Fanout;
use crate::request::fanout::Limits;
use crate::request::fanout::PartFailure;
use crate::request::fanout::PartSend;
use crate::request::fanout::ServerIndex;
use crate::version::routing::Route;
use crate::version::routing::ShardSet;
use crate::version::routing::Target;

/// Time for which attempts that are no longer needed may go on after the answer. It covers a pause of a server, and saves
/// the connection; what takes longer is cancelled.
const LINGER: Duration = Duration::from_millis(300);

/// Time after which a caller that found no room should come back, as a share of the objective. By then the queues of the
/// servers have moved on.
const ROOM_RETRY_SHARE: f64 = 0.5;

/// Time after which a caller should come back when it is not known when a server can be asked again.
const SERVER_RETRY: Duration = Duration::from_millis(400);

/// Parts of one request whose servers are described in the log. Two missing parts are enough to end most requests.
const MAX_GIVEN_UP: usize = 3;

/// Request in progress with all that its attempts need.
pub(super) struct Forwarding {
    gateway: Arc<Gateway>,
    effective: Arc<Effective>,
    route: Arc<Route>,
    /// Service of each part.
    services: Vec<ServiceId>,
    outgoing: Arc<Outgoing>,
    id: HeaderValue,
    started: Instant,
    pace: Arc<Mutex<Pace>>,
    summary: Option<Summary>,
    fanout: Fanout,
    probes: Probes,
    parts: Vec<Option<PartAnswer>>,
    /// Last answer of a backend server that can be passed on whole.
    passable: Option<Answer>,
    /// Attempts that were sent and the times after the start, for the log.
    sent: Vec<(PartSend, Duration)>,
    is_answered: bool,
}

impl Forwarding {
    pub(super) fn new(
        gateway: &Arc<Gateway>,
        effective: Arc<Effective>,
        route: Arc<Route>,
        outgoing: Outgoing,
        id: HeaderValue,
        started: Instant,
        time_limit: Duration,
    ) -> Self {
        let services: Vec<ServiceId> = match &route.target {
            Target::One(service) => vec![service.clone()],
            Target::Split(split) => split.deal().cloned().into_iter().collect(),
            Target::Shards(set) => set.shards.clone(),
        };
        let min_parts = match &route.target {
            Target::Shards(set) => set.least_parts(),
            Target::One(_) | Target::Split(_) => 1,
        };
        for service in &services {
            let limits = &effective.extra;
            gateway.with_budget(service, started, |budget| budget.on_request(limits, started));
        }
        let limits = Limits {
            parts: services.len(),
            min_parts,
            max_attempts: route.attempts,
            repeatable: route.repeatable,
            objective: route.objective,
            time_limit,
        };
        let pace = gateway.pace(&route.name);
        let summary = pace.lock().unwrap_or_else(PoisonError::into_inner).summary();
        Self {
            gateway: Arc::clone(gateway),
            effective,
            parts: vec![None; services.len()],
            services,
            outgoing: Arc::new(outgoing),
            id,
            started,
            pace,
            summary,
            fanout: Fanout::new(limits, started),
            probes: Probes::default(),
            passable: None,
            sent: Vec::new(),
            is_answered: false,
            route,
        }
    }

    pub(super) async fn run(mut self) -> CallerAnswer {
        let mut running: FuturesUnordered<BoxFuture<'static, Ended>> = FuturesUnordered::new();
        let verdict = loop {
            let now = Instant::now();
            let sends = self.advance(now);
            let verdict = self.fanout.decision(now);
            for send in sends {
                self.sent.push((send, now.saturating_duration_since(self.started)));
                let attempt = self.attempt(send, now);
                running.push(Box::pin(attempt.run()));
            }
            let Decision::Wait(until) = verdict else {
                break verdict;
            };
            tokio::select! {
                Some(ended) = running.next(), if !running.is_empty() => self.on_ended(ended),
                () = tokio::time::sleep_until(until.into()) => {}
            }
        };
        if !running.is_empty() {
            tokio::spawn(finish_rest(running));
        }
        self.answer(verdict)
    }

    fn advance(&mut self, now: Instant) -> Vec<PartSend> {
        let hedge_after = pace::hedge_after(self.summary, self.route.objective);
        let answer_by = self.started + self.route.objective;
        let gateway = &self.gateway;
        let services = &self.services;
        let view = &self.effective.view;
        let limits = &self.effective.extra;
        let wanted: Vec<Wanted> = (0..services.len()).map(|part| self.wanted(part)).collect();
        let mut rng = rand::rng();
        let probes = &mut self.probes;
        self.fanout.advance(now, |part, cause, asked| {
            let service = &services[part];
            let request = choice::Request {
                servers: view.servers(service),
                asked,
                cause,
                wanted: wanted[part],
                answer_by,
                hedge_after,
            };
            let take_extra = || {
                let taken = gateway.with_budget(service, now, |budget| budget.take(limits, now));
                if !taken {
                    gateway.measures.denied.inc();
                }
                taken
            };
            choice::choose(request, probes, take_extra, now, &mut rng)
        })
    }

    fn wanted(&self, part: usize) -> Wanted {
        Wanted {
            usual: self.usual(),
            objective: self.route.objective,
            is_outranked: self.effective.routing.is_outranked(&self.route, &self.services[part]),
            instances: self.effective.instances,
        }
    }

    fn usual(&self) -> Duration {
        pace::usual(self.summary, self.route.objective)
    }

    /// Returns the server of a send.
    fn server(&self, part: usize, server: ServerIndex) -> Arc<Backend> {
        Arc::clone(&self.effective.view.servers(&self.services[part])[server])
    }

    fn attempt(&self, send: PartSend, now: Instant) -> Attempt {
        let target = Attempted {
            gateway: Arc::clone(&self.gateway),
            server: self.server(send.part, send.server),
            service: self.services[send.part].clone(),
            route: Arc::clone(&self.route),
            pace: Arc::clone(&self.pace),
            outgoing: Arc::clone(&self.outgoing),
            id: self.id.clone(),
            deadline: self.fanout.end(),
            limits: self.effective.extra,
            is_part: matches!(self.route.target, Target::Shards(_)),
        };
        Attempt::begin(target, send, self.usual(), self.summary, now)
    }

    fn on_ended(&mut self, ended: Ended) {
        let taken = self.fanout.on_attempt_end(ended.part, ended.ending, Instant::now());
        let Some(answer) = ended.answer else { return };
        if !taken {
            if ended.ending != AttemptOutcome::Answered {
                self.passable = Some(answer);
            }
            return;
        }
        if matches!(self.route.target, Target::Shards(_)) {
            let signature = answer.headers.get(&self.gateway.names.signature).cloned();
            self.parts[ended.part] = signature.map(|signature| PartAnswer {
                signature,
                body: answer.body,
            });
        } else {
            self.passable = Some(answer);
        }
    }

    fn answer(mut self, verdict: Decision) -> CallerAnswer {
        self.is_answered = true;
        let missing = self.fanout.missing();
        let (outcome, answer) = match verdict {
            Decision::Answer => match &self.route.target {
                Target::Shards(set) => self.merge(set, missing),
                Target::One(_) | Target::Split(_) => self.pass("ok"),
            },
            Decision::Refuse(lack) => ("refused", self.refuse(lack)),
            Decision::TimeOut => {
                let text = "the time of the request is over\n";
                ("timed_out", answer::own(StatusCode::GATEWAY_TIMEOUT, text))
            }
            Decision::Fail(_) | Decision::Wait(_) if self.passable.is_some() && self.parts.len() == 1 => {
                self.pass("passed")
            }
            Decision::Fail(_) | Decision::Wait(_) => {
                let text = "the backend servers failed; the request may have run\n";
                ("failed", answer::own(StatusCode::BAD_GATEWAY, text))
            }
        };
        if matches!(verdict, Decision::Refuse(_) | Decision::Fail(_)) {
            self.log_given_up();
        }
        self.report(outcome, Some(answer.status()));
        answer
    }

    /// Counts the request, and logs in one line what was decided about it.
    fn report(&self, outcome: &'static str, status: Option<StatusCode>) {
        let gateway = &self.gateway;
        let elapsed = self.started.elapsed();
        if status.is_some() {
            gateway.on_value(self.value(outcome, elapsed));
        }
        let service = self.services.first().map_or("", |service| service);
        gateway.measures.record(service, outcome, elapsed);
        let topic = if outcome == "ok" { Topic::Usual } else { Topic::Trouble };
        if !gateway.lines.allow(&gateway.log, topic) {
            return;
        }
        info!(gateway.log, "request"; "id" => self.id.to_str().ok(), "outcome" => outcome,
            "status" => status.map(|status| status.as_u16()), "route" => &*self.route.name,
            "revision" => self.effective.routing.revision, "read_age_ms" => gateway.read_age_ms(),
            "ms" => elapsed.as_millis() as u64, "usual_ms" => self.usual().as_millis() as u64,
            "parts" => self.services.len(), "missing" => self.fanout.missing(), "lacks" => self.fanout.missing_summary(),
            "placed" => %self.placed(), "again" => %self.sent_again());
    }

    /// Returns the value of the answer to the caller, from 0 to 1.
    fn value(&self, outcome: &'static str, elapsed: Duration) -> f64 {
        let is_answer = matches!(outcome, "ok" | "partial" | "passed");
        if !is_answer || elapsed > self.route.objective {
            return 0.0;
        }
        let share = 1.0 - self.fanout.missing() as f64 / self.services.len().max(1) as f64;
        share * share
    }

    /// Describes where parts were sent first, for the log: `part@server`.
    fn placed(&self) -> impl fmt::Display {
        fmt::from_fn(|out| {
            let first = self.sent.iter().filter(|(send, _)| send.cause == Cause::First);
            for (ix, (send, _)) in first.enumerate() {
                let separator = if ix == 0 { "" } else { "/" };
                write!(out, "{separator}{}@{}", send.part, self.server_id(*send))?;
            }
            Ok(())
        })
    }

    /// Describes which parts were sent again, for the log: `part@server@cause@milliseconds after the start`.
    fn sent_again(&self) -> impl fmt::Display {
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
        let unsent = self.fanout.given_up().filter(|(_, lack)| *lack != PartFailure::Failed);
        for (part, lack) in unsent.take(MAX_GIVEN_UP) {
            if !self.gateway.lines.allow(log, Topic::Trouble) {
                return;
            }
            let service = &self.services[part];
            let servers = self.effective.view.servers(service);
            let state = place::describe(servers, self.wanted(part), now);
            info!(log, "part_given_up"; "id" => self.id.to_str().ok(), "part" => part, "lack" => ?lack,
                "service" => &**service, "servers" => state, "instances" => self.effective.instances.all);
        }
    }

    fn merge(&self, set: &ShardSet, missing: usize) -> (&'static str, CallerAnswer) {
        let answer = answer::merged(&self.gateway.names, self.parts.clone(), set.best);
        (if missing == 0 { "ok" } else { "partial" }, answer)
    }

    /// Passes the answer of the backend server on. A status that promises that the request has not run must not be
    /// passed on when the server did not say so.
    fn pass(&self, outcome: &'static str) -> (&'static str, CallerAnswer) {
        let Some(answer) = &self.passable else {
            return (
                "failed",
                answer::own(StatusCode::BAD_GATEWAY, "the answer is missing\n"),
            );
        };
        let promises = matches!(answer.status.as_u16(), 408 | 421 | 429 | 503);
        if promises {
            let text = "the backend server failed; the request may have run\n";
            return ("failed", answer::own(StatusCode::BAD_GATEWAY, text));
        }
        let body: Bytes = answer.body.clone();
        (outcome, answer::passed(answer.status, answer.headers.clone(), body))
    }

    fn refuse(&self, lack: PartFailure) -> CallerAnswer {
        match lack {
            PartFailure::NoCapacity => {
                let after = self.route.objective.mul_f64(ROOM_RETRY_SHARE);
                answer::not_run("all backend servers are busy\n", after)
            }
            PartFailure::NoServer | PartFailure::Failed => {
                let text = "no backend server can be asked; the request has not run\n";
                answer::not_run(text, self.return_time(Instant::now()))
            }
        }
    }

    /// Returns the time after which enough of the missing parts may have a server that can be asked.
    fn return_time(&self, now: Instant) -> Duration {
        let free_in = |part: usize| {
            let servers = self.effective.view.servers(&self.services[part]);
            let free = place::free_at(servers).map(|at| at.saturating_duration_since(now));
            free.filter(|time| !time.is_zero()).unwrap_or(SERVER_RETRY)
        };
        let mut times: Vec<Duration> = self.fanout.given_up().map(|(part, _)| free_in(part)).collect();
        times.sort_unstable();
        let wanted = self.fanout.shortfall().min(times.len());
        let time = wanted.checked_sub(1).and_then(|last| times.get(last));
        time.copied().unwrap_or(SERVER_RETRY)
    }
}

/// Lets attempts that are no longer needed end by themselves for a while, for the sake of their connections and of what
/// they show about their servers.
async fn finish_rest(mut running: FuturesUnordered<BoxFuture<'static, Ended>>) {
    let rest = async { while running.next().await.is_some() {} };
    let _cancelled = tokio::time::timeout(LINGER, rest).await;
}

impl Drop for Forwarding {
    fn drop(&mut self) {
        if !self.is_answered {
            self.report("caller_left", None);
        }
    }
}
