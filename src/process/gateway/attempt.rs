//! One attempt at one backend server: sends it, and learns from how it ends.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::HeaderValue;
use http::StatusCode;
use slog::info;

use crate::connection::upstream::Answer;
use crate::connection::upstream::Exchange;
use crate::connection::upstream::ExchangeError;
use crate::ids::ServiceId;
use crate::process::backends::Backend;
use crate::process::backends::standing::FlightNumber;
use crate::process::extra::ExtraLimits;
use crate::process::gateway::Gateway;
use crate::process::gateway::head;
use crate::process::gateway::head::Outgoing;
use crate::process::gateway::lines::Topic;
use crate::process::gateway::measures::AttemptLabels;
use crate::process::pace::Pace;
use crate::process::pace::Summary;
use crate::request::fanout::AttemptOutcome;
use crate::request::fanout::Cause;
use crate::request::fanout::PartSend;
use crate::version::routing::Route;

/// Greatest body of an answer that is passed on whole, in bytes.
const WHOLE_BYTES: usize = 8 * 1024 * 1024;

/// Greatest body of a part, in bytes: a thousand times the usual one.
const PART_BYTES: usize = 1024 * 1024;

/// Wait without an answer of another data centre that tells against the way there.
const UNANSWERED: Duration = Duration::from_millis(300);

/// What an attempt needs of its request.
pub(super) struct Attempted {
    pub(super) gateway: Arc<Gateway>,
    pub(super) server: Arc<Backend>,
    pub(super) service: ServiceId,
    pub(super) route: Arc<Route>,
    pub(super) pace: Arc<Mutex<Pace>>,
    pub(super) outgoing: Arc<Outgoing>,
    pub(super) id: HeaderValue,
    pub(super) deadline: Instant,
    pub(super) limits: ExtraLimits,
    /// Whether the answer is a part, of which only a success is of use.
    pub(super) is_part: bool,
}

/// Attempt in flight at one server. Dropping it ends the attempt in the observations.
pub(super) struct Attempt {
    target: Attempted,
    send: PartSend,
    usual: Option<Duration>,
    number: FlightNumber,
    sent: Instant,
    is_ended: bool,
}

/// End of an attempt.
pub(super) struct Ended {
    pub(super) part: usize,
    pub(super) ending: AttemptOutcome,
    pub(super) answer: Option<Answer>,
}

/// End of an attempt with what is logged of it.
struct Judged {
    ending: AttemptOutcome,
    answer: Option<Answer>,
    reason: Option<Box<str>>,
}

impl Attempt {
    /// Counts the attempt at its server from now on, so that the next choice sees it. `usual` is the usual latency of
    /// the route, and `summary` what was observed of it.
    pub(super) fn begin(
        target: Attempted,
        send: PartSend,
        usual: Duration,
        summary: Option<Summary>,
        now: Instant,
    ) -> Self {
        let mut standing = target.server.standing();
        let expected = standing.expected(usual, now);
        let number = standing.begin(expected, now);
        drop(standing);
        Self {
            target,
            send,
            usual: summary.map(|summary| summary.median),
            number,
            sent: now,
            is_ended: false,
        }
    }

    /// Sends the request and reads the answer. Dropping the future closes the connection.
    pub(super) async fn run(mut self) -> Ended {
        let answer = self.exchange().await;
        self.note_reach(&answer);
        if let Ok(answer) = &answer {
            self.take_notices(answer);
        }
        let judged = self.judge(answer);
        let is_extra = matches!(self.send.cause, Cause::Hedge | Cause::Retry);
        if judged.ending == AttemptOutcome::Unsent && is_extra {
            let now = Instant::now();
            let limits = &self.target.limits;
            let service = &self.target.service;
            self.target
                .gateway
                .with_budget(service, now, |budget| budget.put_back(limits, now));
        }
        self.report(&judged);
        Ended {
            part: self.send.part,
            ending: judged.ending,
            answer: judged.answer,
        }
    }

    /// Sends the request and reads the answer. A long wait for another data centre is noted while it lasts.
    async fn exchange(&self) -> Result<Answer, ExchangeError> {
        let names = &self.target.gateway.names;
        let exchange = Exchange {
            deadline: self.target.deadline,
            echo: (&names.request_id, &self.target.id),
            body_bytes: if self.target.is_part { PART_BYTES } else { WHOLE_BYTES },
            memory: &self.target.gateway.bodies,
        };
        let server = &self.target.server;
        let prepare = |left| self.target.outgoing.attempt(names, &server.entry.id, left);
        let mut exchange = pin!(server.pool.exchange(exchange, prepare));
        if !server.is_local {
            match tokio::time::timeout(UNANSWERED, exchange.as_mut()).await {
                Ok(answer) => return answer,
                Err(_elapsed) => self.target.gateway.on_remote_failure(),
            }
        }
        exchange.await
    }

    /// Takes what the exchange brought, and what it shows about the server.
    fn judge(&mut self, answer: Result<Answer, ExchangeError>) -> Judged {
        self.is_ended = true;
        let now = Instant::now();
        let mut standing = self.target.server.standing();
        standing.end(self.number);
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                let is_unsent = error.is_unsent();
                match error {
                    ExchangeError::NoConnection | ExchangeError::TooLate => {}
                    ExchangeError::Broken(_) | ExchangeError::Foreign => standing.on_broken(now),
                    ExchangeError::Connect(_) => standing.on_failure(now),
                    ExchangeError::TimedOut => {
                        standing.on_failure(now);
                        self.target.server.pool.close_idle();
                    }
                }
                return Judged {
                    ending: if is_unsent {
                        AttemptOutcome::Unsent
                    } else {
                        AttemptOutcome::Failed
                    },
                    answer: None,
                    reason: Some(error.to_string().into()),
                };
            }
        };
        let names = &self.target.gateway.names;
        if let Some(load) = head::load_figures(&answer.headers, &names.load) {
            standing.on_load(load, now);
            let route = &self.target.route.name;
            self.target
                .gateway
                .with_pressure(route, |pressure| pressure.on_load(load));
        }
        let status = answer.status;
        let not_run = answer.headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST;
        let is_signed = answer.headers.contains_key(&names.signature);
        if not_run {
            if status == StatusCode::MISDIRECTED_REQUEST {
                standing.on_failure(now);
            } else {
                standing.on_full(now);
            }
            return Judged {
                ending: AttemptOutcome::NotRun,
                answer: None,
                reason: Some(format!("status {status}, not run").into()),
            };
        }
        if status.is_success() && is_signed {
            standing.on_answer(answer.latency, self.usual, now);
            drop(standing);
            self.target
                .pace
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .observe(answer.latency);
            return Judged {
                ending: AttemptOutcome::Answered,
                answer: Some(answer),
                reason: None,
            };
        }
        // The end of the deadline says nothing about the server.
        if status != StatusCode::GATEWAY_TIMEOUT {
            standing.on_error(now);
        }
        // A failure with a signature is the answer of a server that works; it is passed on when it is the last word.
        let is_answer = is_signed && !self.target.is_part && !status.is_success();
        Judged {
            ending: AttemptOutcome::Failed,
            reason: Some(format!("status {status}, signed {is_signed}").into()),
            answer: is_answer.then_some(answer),
        }
    }

    /// Takes what the exchange shows of the way to another data centre.
    fn note_reach(&self, answer: &Result<Answer, ExchangeError>) {
        if self.target.server.is_local {
            return;
        }
        match answer {
            Ok(_) => self.target.gateway.on_remote_answer(),
            Err(ExchangeError::Connect(error)) if error.kind() == io::ErrorKind::TimedOut => {
                self.target.gateway.on_remote_failure();
            }
            Err(_) => {}
        }
    }

    /// Takes what the server says of itself in an answer, whatever the answer is. An answer of another server, which
    /// has the address now, says nothing of the one that is meant.
    fn take_notices(&self, answer: &Answer) {
        let gateway = &self.target.gateway;
        let server = &self.target.server;
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        if let Some(time) = head::hold_time(answer.status, &answer.headers) {
            server.standing().on_hold(time, Instant::now());
            gateway.on_server_hold(server, time);
        }
        if head::is_leaving(&answer.headers, &gateway.names) && server.standing().on_leaving() {
            gateway.on_server_leaving(server);
        }
    }

    /// Counts the end, and logs it when it is not an answer.
    fn report(&self, judged: &Judged) {
        let gateway = &self.target.gateway;
        let ending = match judged.ending {
            AttemptOutcome::Unsent => "unsent",
            AttemptOutcome::Answered => "answered",
            AttemptOutcome::NotRun => "not_run",
            AttemptOutcome::Failed => "failed",
        };
        let cause = self.send.cause.as_str();
        let labels = AttemptLabels { cause, ending };
        gateway.measures.attempts.get_or_create(&labels).inc();
        if let Some(reason) = &judged.reason
            && gateway.lines.allow(&gateway.log, Topic::Trouble)
        {
            info!(gateway.log, "attempt"; "id" => self.target.id.to_str().ok(),
                "server" => &*self.target.server.entry.id, "service" => &*self.target.service, "cause" => cause,
                "ending" => ending, "reason" => &**reason);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.is_ended {
            let now = Instant::now();
            let waited = now.saturating_duration_since(self.sent);
            let mut standing = self.target.server.standing();
            standing.end(self.number);
            standing.on_abandoned(waited, self.usual, now);
        }
    }
}
