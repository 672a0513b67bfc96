//! A single attempt at a backend server: sends the request and updates the statistics of the server with the result.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::HeaderValue;
use http::StatusCode;
use slog::info;

use crate::connection::upstream::ExchangeError;
use crate::connection::upstream::ExchangeOptions;
use crate::connection::upstream::Response;
use crate::ids::ServiceId;
use crate::process::backends::Backend;
use crate::process::backends::server_state::InFlightId;
use crate::process::extra::ExtraLimits;
use crate::process::gateway::Gateway;
use crate::process::gateway::head;
use crate::process::gateway::head::OutgoingRequest;
use crate::process::gateway::log_quota::LogTopic;
use crate::process::gateway::metrics::AttemptLabels;
use crate::process::latency::LatencyHistogram;
use crate::process::latency::Summary;
use crate::request::fanout::AttemptOutcome;
use crate::request::fanout::Cause;
use crate::request::fanout::PartSend;
use crate::version::routing::Route;

/// Maximum body size of a response that is forwarded to the caller as it is.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Maximum body size of the response to a part: a thousand times the usual size.
const MAX_PART_BYTES: usize = 1024 * 1024;

/// Time without a response from another data centre after which an attempt counts as a failure to reach it.
const REMOTE_SUSPECT_TIME: Duration = Duration::from_millis(300);

/// Inputs of an attempt that come from its request.
pub(super) struct AttemptContext {
    pub(super) gateway: Arc<Gateway>,
    pub(super) server: Arc<Backend>,
    pub(super) service: ServiceId,
    pub(super) route: Arc<Route>,
    pub(super) latencies: Arc<Mutex<LatencyHistogram>>,
    pub(super) outgoing: Arc<OutgoingRequest>,
    pub(super) id: HeaderValue,
    pub(super) deadline: Instant,
    pub(super) limits: ExtraLimits,
    /// Whether the response is one part of a merged answer. Only successful parts can be merged.
    pub(super) is_part: bool,
    /// Whether the request is a trial of one that may crash servers.
    pub(super) is_trial: bool,
    /// Whether any server has answered the request.
    pub(super) is_answered: Arc<AtomicBool>,
}

/// Attempt in flight at one server. Dropping it before it ends records it as abandoned.
pub(super) struct Attempt {
    context: AttemptContext,
    send: PartSend,
    median: Option<Duration>,
    in_flight_id: InFlightId,
    sent: Instant,
    is_ended: bool,
}

/// Result of an attempt.
pub(super) struct AttemptResult {
    pub(super) part: usize,
    pub(super) outcome: AttemptOutcome,
    pub(super) response: Option<Response>,
}

/// Result of an attempt together with the reason that is logged.
struct Classified {
    outcome: AttemptOutcome,
    response: Option<Response>,
    reason: Option<Box<str>>,
}

impl Attempt {
    /// Registers the attempt with its server, so that the next server choice takes it into account. `usual` is the
    /// usual latency of the route, and `summary` its observed quantiles.
    pub(super) fn begin(
        context: AttemptContext,
        send: PartSend,
        usual: Duration,
        summary: Option<Summary>,
        now: Instant,
    ) -> Self {
        let mut state = context.server.state();
        let expected = state.expected(usual, now);
        let in_flight_id = state.begin(send.cause, expected, now);
        drop(state);
        Self {
            context,
            send,
            median: summary.map(|summary| summary.median),
            in_flight_id,
            sent: now,
            is_ended: false,
        }
    }

    /// Sends the request and reads the response. Dropping the future closes the connection.
    pub(super) async fn run(mut self) -> AttemptResult {
        let response = self.exchange().await;
        self.record_remote_result(&response);
        if let Ok(response) = &response {
            self.apply_notices(response);
        }
        let is_disconnected = matches!(response, Err(ExchangeError::Disconnected(_)));
        let mut classified = self.classify(response);
        if is_disconnected && self.context.server.pool.is_refusing().await {
            classified.outcome = AttemptOutcome::Crashed;
            self.context.server.state().on_failure(Instant::now());
        }
        self.report_evidence(classified.outcome);
        let is_extra = matches!(self.send.cause, Cause::Hedge | Cause::Retry);
        if classified.outcome == AttemptOutcome::Unsent && is_extra {
            let now = Instant::now();
            let limits = &self.context.limits;
            let service = &self.context.service;
            self.context
                .gateway
                .with_budget(service, now, |budget| budget.refund(limits, now));
        }
        self.report(&classified);
        AttemptResult {
            part: self.send.part,
            outcome: classified.outcome,
            response: classified.response,
        }
    }

    /// Sends the request and reads the response. A server of another data centre that has not answered after
    /// [`REMOTE_SUSPECT_TIME`] is recorded as a failure while the exchange goes on.
    async fn exchange(&self) -> Result<Response, ExchangeError> {
        let names = &self.context.gateway.header_names;
        let options = ExchangeOptions {
            deadline: self.context.deadline,
            id_header: (&names.request_id, &self.context.id),
            max_body: if self.context.is_part {
                MAX_PART_BYTES
            } else {
                MAX_BODY_BYTES
            },
            memory: &self.context.gateway.body_memory,
        };
        let server = &self.context.server;
        let build_request = |remaining| self.context.outgoing.to_request(names, &server.entry.id, remaining);
        let mut exchange = pin!(server.pool.exchange(options, build_request));
        if !server.is_local {
            match tokio::time::timeout(REMOTE_SUSPECT_TIME, exchange.as_mut()).await {
                Ok(response) => return response,
                Err(_elapsed) => self.context.gateway.on_remote_failure(),
            }
        }
        exchange.await
    }

    /// Classifies the result of the exchange and updates the statistics of the server.
    fn classify(&mut self, response: Result<Response, ExchangeError>) -> Classified {
        self.is_ended = true;
        let now = Instant::now();
        let mut state = self.context.server.state();
        state.end(self.in_flight_id);
        let response = match response {
            Ok(response) => response,
            Err(error) => {
                let is_unsent = error.is_unsent();
                match error {
                    ExchangeError::NoConnection | ExchangeError::NoTimeLeft => {}
                    ExchangeError::Broken(_) | ExchangeError::Disconnected(_) | ExchangeError::WrongResponse => {
                        state.on_connection_broken(now);
                    }
                    ExchangeError::Connect(_) => state.on_failure(now),
                    ExchangeError::TimedOut => {
                        state.on_failure(now);
                        self.context.server.pool.close_idle();
                    }
                }
                return Classified {
                    outcome: if is_unsent {
                        AttemptOutcome::Unsent
                    } else {
                        AttemptOutcome::Failed
                    },
                    response: None,
                    reason: Some(error.to_string().into()),
                };
            }
        };
        let names = &self.context.gateway.header_names;
        if let Some(load) = head::load_figures(&response.headers, &names.load) {
            state.on_load(load, now);
            let route = &self.context.route.name;
            self.context
                .gateway
                .with_throttle(route, |throttle| throttle.on_load(load));
        }
        let status = response.status;
        let not_run = response.headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST;
        let is_signed = response.headers.contains_key(&names.signature);
        if not_run {
            if status == StatusCode::MISDIRECTED_REQUEST {
                state.on_failure(now);
            } else {
                state.on_full(now);
            }
            return Classified {
                outcome: AttemptOutcome::NotRun,
                response: None,
                reason: Some(format!("status {status}, not run").into()),
            };
        }
        if status.is_success() && is_signed {
            state.on_response(response.latency, self.median, now);
            drop(state);
            self.context
                .latencies
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .observe(response.latency);
            return Classified {
                outcome: AttemptOutcome::Answered,
                response: Some(response),
                reason: None,
            };
        }
        // An expired deadline is no sign of a faulty server.
        if status != StatusCode::GATEWAY_TIMEOUT {
            state.on_error(now);
        }
        // A signed failure comes from a working server. It is forwarded if no attempt succeeds.
        let is_forwardable = is_signed && !self.context.is_part && !status.is_success();
        Classified {
            outcome: AttemptOutcome::Failed,
            reason: Some(format!("status {status}, signed {is_signed}").into()),
            response: is_forwardable.then_some(response),
        }
    }

    /// Records whether a server of another data centre was reachable.
    fn record_remote_result(&self, response: &Result<Response, ExchangeError>) {
        if self.context.server.is_local {
            return;
        }
        match response {
            Ok(_) => self.context.gateway.on_remote_response(),
            Err(ExchangeError::Connect(error)) if error.kind() == io::ErrorKind::TimedOut => {
                self.context.gateway.on_remote_failure();
            }
            Err(_) => {}
        }
    }

    /// Applies the notices in a response of any status. A misdirected request was answered by another server that now
    /// has the address, so its notices do not apply to the intended one.
    fn apply_notices(&self, response: &Response) {
        let gateway = &self.context.gateway;
        let server = &self.context.server;
        if response.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        if let Some(time) = head::retry_after_time(response.status, &response.headers) {
            server.state().on_retry_after(time, Instant::now());
            gateway.on_retry_after(server, time);
        }
        if head::is_leaving(&response.headers, &gateway.header_names) && server.state().on_leaving() {
            gateway.on_server_leaving(server);
        }
        if let Some(notice) = head::limit_notice(&response.headers, &gateway.header_names) {
            let before = server.state().on_limit_notice(notice, self.sent, Instant::now());
            if let Some(before) = before {
                gateway.on_limit_change(server, before, notice);
            }
        }
    }

    /// Reports whether the request may be the cause of a crash. One that a server has answered is not.
    fn report_evidence(&self, outcome: AttemptOutcome) {
        let context = &self.context;
        let request = context.outgoing.fingerprint;
        let now = Instant::now();
        match outcome {
            AttemptOutcome::Answered => {
                context.is_answered.store(true, Ordering::Relaxed);
                context.gateway.on_answer(request, now);
            }
            AttemptOutcome::Crashed if !context.is_answered.load(Ordering::Relaxed) => {
                let server = &context.server.entry;
                context.gateway.on_crash(request, server, context.is_trial, now);
            }
            AttemptOutcome::Crashed | AttemptOutcome::Failed | AttemptOutcome::NotRun | AttemptOutcome::Unsent => {}
        }
    }

    /// Counts the result, and logs it if the attempt failed.
    fn report(&self, classified: &Classified) {
        let gateway = &self.context.gateway;
        let ending = match classified.outcome {
            AttemptOutcome::Unsent => "unsent",
            AttemptOutcome::Answered => "answered",
            AttemptOutcome::NotRun => "not_run",
            AttemptOutcome::Failed => "failed",
            AttemptOutcome::Crashed => "crashed",
        };
        let cause = self.send.cause.as_str();
        let labels = AttemptLabels { cause, ending };
        gateway.metrics.attempts.get_or_create(&labels).inc();
        if let Some(reason) = &classified.reason
            && gateway.log_quota.allow(&gateway.log, LogTopic::Failure)
        {
            info!(gateway.log, "attempt"; "id" => self.context.id.to_str().ok(),
                "fingerprint" => %self.context.outgoing.fingerprint,
                "server" => &*self.context.server.entry.id, "service" => &*self.context.service, "cause" => cause,
                "ending" => ending, "reason" => &**reason);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.is_ended {
            let now = Instant::now();
            let waited = now.saturating_duration_since(self.sent);
            let mut state = self.context.server.state();
            state.end(self.in_flight_id);
            state.on_abandoned(waited, self.median, now);
        }
    }
}
