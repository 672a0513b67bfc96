//! Callers that search and submit concurrently and record the outcomes.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use http::Method;
use local_deployment::client::Answer;
use local_deployment::client::Client;
use pimentoflow::process::entry::api::ErrorBody;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use crate::driver::Options;
use crate::driver::recorder::Recorder;
use crate::driver::recorder::Target;
use crate::history::Operation;
use crate::history::Outcome;
use crate::history::Request;

/// Service of the document in `samples/demo`.
const SERVICE: &str = "gala";

/// Number of hits that a search requests.
const HIT_LIMIT: usize = 12;

/// Deadline of a search before the first fault, in milliseconds. It is long enough that no search reaches it, also on a
/// slow machine.
const FAULT_FREE_DEADLINE_MS: u64 = 5000;

/// Deadline of a search after the first fault, in milliseconds. A search that needs a frozen server can take this long.
const SEARCH_DEADLINE_MS: u64 = 400;

/// Deadline of a submission, in milliseconds. A submission to a frozen server takes this long.
const SUBMIT_DEADLINE_MS: u64 = 400;

/// Maximum number of attempts with one ticket.
const MAX_ATTEMPTS: usize = 3;

/// Tasks that send requests until they are stopped.
#[derive(Debug)]
pub(super) struct Callers {
    stop: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Callers {
    pub fn start(recorder: &Arc<Recorder>, options: &Options) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for ix in 0..options.search_tasks + options.submit_tasks {
            let caller = Caller {
                recorder: Arc::clone(recorder),
                stop: Arc::clone(&stop),
                rng: SmallRng::seed_from_u64(options.seed.wrapping_mul(1000) + ix as u64),
                ix,
                idle_connection: None,
            };
            if ix < options.search_tasks {
                tasks.spawn(caller.run_searches());
            } else {
                tasks.spawn(caller.run_submissions());
            }
        }
        Self { stop, tasks }
    }

    /// Stops the callers after their current requests.
    pub async fn finish(mut self) {
        self.stop.store(true, Ordering::Release);
        while let Some(ended) = self.tasks.join_next().await {
            if let Err(error) = ended
                && error.is_panic()
            {
                std::panic::resume_unwind(error.into_panic());
            }
        }
    }
}

struct Caller {
    recorder: Arc<Recorder>,
    stop: Arc<AtomicBool>,
    rng: SmallRng,
    ix: usize,
    idle_connection: Option<(Target, Client)>,
}

impl Caller {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }

    async fn run_searches(mut self) {
        let mut number = 0;
        while !self.is_stopped() {
            let Some((target, mut client)) = self.connect().await else {
                continue;
            };
            number += 1;
            let request_id = format!("search-{}-{number}", self.ix);
            let query = format!("query {}-{number}", self.ix);
            let class = if self.rng.random_bool(0.2) { "urgent" } else { "routine" };
            let deadline = if self.recorder.is_disrupted() {
                SEARCH_DEADLINE_MS
            } else {
                FAULT_FREE_DEADLINE_MS
            };
            let body = json!({"index": SERVICE, "query": query, "limit": HIT_LIMIT, "min_coverage": 0.0,
                "deadline_ms": deadline, "class": class, "request_id": request_id});
            let request = Request::Search {
                services: vec![SERVICE.into()],
                query: query.into(),
                limit: HIT_LIMIT,
            };
            let start = self.recorder.now();
            let answer = client.send(Method::POST, "/v1/search", body.to_string()).await;
            if answer.as_ref().is_ok_and(|answer| !closes_connection(answer)) {
                self.idle_connection = Some((target.clone(), client));
            }
            let outcome = search_outcome(answer);
            self.record(&request_id, &target, start, request, outcome);
        }
    }

    fn record(
        &self,
        request_id: &str,
        target: &Target,
        start: std::time::Duration,
        request: Request,
        outcome: Outcome,
    ) {
        self.recorder.record_operation(Operation {
            request_id: request_id.into(),
            entry: target.name.clone(),
            start,
            end: self.recorder.now(),
            request,
            outcome,
        });
    }

    /// Returns the connection of the last request with a probability of 70% if it is still open, otherwise a new one to
    /// a ready entry.
    ///
    /// A refused connection is not recorded as an operation, because the entry received nothing.
    async fn connect(&mut self) -> Option<(Target, Client)> {
        if let Some((target, mut client)) = self.idle_connection.take()
            && self.rng.random_bool(0.7)
            && client.is_open().await
        {
            return Some((target, client));
        }
        let target = self.choose_entry(None);
        let connected = match &target {
            Some(target) => Client::connect(target.address).await.ok(),
            None => None,
        };
        if connected.is_none() {
            tokio::task::yield_now().await;
        }
        target.zip(connected)
    }

    /// Chooses a random ready entry, as the platform's load balancer does. Avoids `except` if possible.
    fn choose_entry(&mut self, except: Option<&str>) -> Option<Target> {
        let targets = self.recorder.targets();
        let ready: Vec<&Target> = targets.iter().filter(|target| target.readiness.get()).collect();
        let others = ready.iter().copied().filter(|target| Some(&*target.name) != except);
        let mut from: Vec<&Target> = others.collect();
        if from.is_empty() {
            from = ready;
        }
        if from.is_empty() {
            return None;
        }
        let ix = self.rng.random_range(0..from.len());
        Some(from[ix].clone())
    }

    async fn run_submissions(mut self) {
        let mut number = 0;
        while !self.is_stopped() {
            number += 1;
            let name = format!("{}-{number}", self.ix);
            let key = self.rng.random_range(0..1_u64 << 32);
            let Some((_, outcome)) = self.attempt(&format!("ask-{name}"), key, None, None).await else {
                tokio::task::yield_now().await;
                continue;
            };
            if let Some(ticket) = ticket_of(&outcome) {
                self.submit_with_ticket(&name, key, &ticket).await;
            }
        }
    }

    /// Submits with a ticket until the request is known to be executed, at most [`MAX_ATTEMPTS`] times.
    ///
    /// To provoke double execution, 20% of the attempts are sent twice at the same time, and 20% of the executed
    /// requests are repeated.
    async fn submit_with_ticket(&mut self, name: &str, key: u64, ticket: &str) {
        let mut last: Option<Box<str>> = None;
        for ix in 0..MAX_ATTEMPTS {
            let request_id = format!("submit-{name}/{ix}");
            let has_duplicate = self.rng.random_bool(0.2);
            let (first, second) = if has_duplicate {
                let mut other = self.duplicate();
                let duplicate_id = format!("{request_id}t");
                tokio::join!(
                    self.attempt(&request_id, key, Some(ticket), last.as_deref()),
                    other.attempt(&duplicate_id, key, Some(ticket), None)
                )
            } else {
                (
                    self.attempt(&request_id, key, Some(ticket), last.as_deref()).await,
                    None,
                )
            };
            drop(second);
            let Some((entry, outcome)) = first else {
                continue;
            };
            last = Some(entry);
            let is_known = matches!(outcome, Outcome::Executed(_));
            if is_known && !self.rng.random_bool(0.2) {
                break;
            }
        }
    }

    fn duplicate(&mut self) -> Self {
        Self {
            recorder: Arc::clone(&self.recorder),
            stop: Arc::clone(&self.stop),
            rng: SmallRng::from_rng(&mut self.rng),
            ix: self.ix,
            idle_connection: None,
        }
    }

    /// Sends one submission on a new connection.
    ///
    /// Returns the entry and the outcome, or `None` if no connection could be opened.
    async fn attempt(
        &mut self,
        request_id: &str,
        key: u64,
        ticket: Option<&str>,
        except: Option<&str>,
    ) -> Option<(Box<str>, Outcome)> {
        let target = self.choose_entry(except)?;
        let mut client = Client::connect(target.address).await.ok()?;
        // All attempts with one ticket must have the same body.
        let text: Box<str> = request_id.split('/').next().unwrap_or(request_id).into();
        let mut body = json!({"service": SERVICE, "key": key, "body": text, "deadline_ms": SUBMIT_DEADLINE_MS,
            "request_id": request_id});
        if let Some(ticket) = ticket {
            body["ticket"] = Value::from(ticket);
            self.recorder.submission_started(&target.name);
        }
        let start = self.recorder.now();
        let answer = client.send(Method::POST, "/v1/submit", body.to_string()).await;
        if ticket.is_some() {
            self.recorder.submission_ended(&target.name);
        }
        let outcome = submit_outcome(answer);
        let request = Request::Submission {
            key,
            body: text,
            ticket: ticket.map(Into::into),
        };
        self.record(request_id, &target, start, request, outcome.clone());
        Some((target.name, outcome))
    }
}

fn closes_connection(answer: &Answer) -> bool {
    let header = answer.headers.get(http::header::CONNECTION);
    header.is_some_and(|value| value == "close")
}

fn ticket_of(outcome: &Outcome) -> Option<Box<str>> {
    match outcome {
        Outcome::Refused(428, error) => error.ticket.clone(),
        _ => None,
    }
}

fn search_outcome(answer: eyre::Result<Answer>) -> Outcome {
    outcome(answer, |answer| {
        let found = answer.json().ok()?;
        Some(Outcome::Found(answer.status.as_u16(), found))
    })
}

fn submit_outcome(answer: eyre::Result<Answer>) -> Outcome {
    outcome(answer, |answer| Some(Outcome::Executed(answer.json().ok()?)))
}

fn outcome(answer: eyre::Result<Answer>, success: impl FnOnce(&Answer) -> Option<Outcome>) -> Outcome {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => return Outcome::Cut(format!("{error:#}").into()),
    };
    let status = answer.status.as_u16();
    let parsed = if answer.status.is_success() {
        success(&answer)
    } else {
        let error = answer.json::<ErrorBody>().ok();
        error.map(|error| Outcome::Refused(status, Box::new(error)))
    };
    let text = String::from_utf8_lossy(&answer.body);
    parsed.unwrap_or_else(|| Outcome::Cut(format!("unexpected body with status {status}: {text}").into()))
}
