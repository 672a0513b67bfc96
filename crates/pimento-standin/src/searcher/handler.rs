//! HTTP interface of a backend server, as specified in `docs/protocols.md`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::sync::CancellationToken;

use crate::http1;
use crate::http1::HttpResponse;
use crate::http1::Request;
use crate::searcher::KeyRange;
use crate::searcher::control;
use crate::searcher::hits;
use crate::searcher::hits::Hit;
use crate::searcher::record::RequestKind;
use crate::searcher::record::StartedRequest;
use crate::searcher::scheduler::Admission;
use crate::searcher::state::State;

/// Remaining time of requests without `x-remaining-ms`.
const DEFAULT_REMAINING: Duration = Duration::from_secs(10);

#[derive(Debug, Deserialize)]
struct SearchBody {
    start: u64,
    end: u64,
    query: Box<str>,
    limit: usize,
}

#[derive(Debug, Deserialize)]
struct SubmitBody {
    key: u64,
    body: Box<str>,
}

#[derive(Debug, Serialize)]
struct SearchResponse {
    snapshot: u64,
    start: u64,
    end: u64,
    truncated: bool,
    hits: Vec<Hit>,
}

/// Operation that a request asks for.
#[derive(Debug)]
enum Operation {
    Search { snapshot: u64, body: SearchBody },
    Submit { body: SubmitBody },
}

/// Search or submission with its deadline.
#[derive(Debug)]
struct Job {
    request_id: Box<str>,
    deadline: Instant,
    operation: Operation,
}

/// Result of a job.
#[derive(Debug)]
enum Outcome {
    /// The job ran to its end.
    Done(HttpResponse),
    /// The server refused to start the job.
    Refused { status: StatusCode, retry_after: Duration },
    /// The job was cancelled (status 499) or its deadline passed (504), before it started or while it ran.
    Stopped { status: StatusCode, has_started: bool },
    /// The connection is closed without a response: a fault switch demands it, or the scheduler is closed.
    Disconnected,
}

/// Handles a request. `None` closes the connection without a response.
pub(crate) async fn handle(state: Arc<State>, request: Request) -> Option<HttpResponse> {
    let path = request.uri().path().to_owned();
    if let Some(command) = path.strip_prefix("/control/") {
        return Some(control::handle(&state, command, request).await);
    }
    wait_while_frozen(&state).await;
    let response = match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/search" | "/v1/submit") => execute(&state, request).await?,
        (&Method::GET, "/v1/state") => state_response(&state),
        (&Method::DELETE, _) => cancel(&state, &path),
        _ => http1::empty(StatusCode::NOT_FOUND),
    };
    Some(with_state_headers(&state, response))
}

/// Holds a request while the server is frozen. The remaining time of the request counts from the end of the freeze,
/// because a paused process reads its sockets late.
async fn wait_while_frozen(state: &State) {
    if !state.faults.borrow().frozen {
        return;
    }
    let _held = state.record.hold();
    let mut faults = state.faults.subscribe();
    let released = faults.wait_for(|faults| !faults.frozen).await;
    drop(released);
}

fn state_response(state: &State) -> HttpResponse {
    state.record.count(|counters| counters.state_reads += 1);
    http1::json(StatusCode::OK, &state.report())
}

fn cancel(state: &State, path: &str) -> HttpResponse {
    let Some(request) = path.strip_prefix("/v1/requests/") else {
        return http1::empty(StatusCode::NOT_FOUND);
    };
    state.record.count(|counters| counters.cancels += 1);
    if !state.faults.borrow().ignore_cancel {
        state.scheduler.cancel(request);
    }
    http1::empty(StatusCode::NO_CONTENT)
}

fn with_state_headers(state: &State, mut response: HttpResponse) -> HttpResponse {
    let held: Vec<String> = state.snapshots().iter().map(u64::to_string).collect();
    http1::set_header(&mut response, "x-held-snapshots", &held.join(","));
    http1::set_header(&mut response, "x-load", &state.report().load);
    let faults = state.faults.borrow();
    if faults.draining && !faults.hide_draining {
        http1::set_header(&mut response, "x-draining", &true);
    }
    if faults.hide_start {
        response.headers_mut().remove("x-not-started");
    }
    response
}

/// Runs a request in a separate task, so that it continues when its connection closes, as on a real server. It stops on
/// cancellation, at its deadline, and when the server is killed.
async fn execute(state: &Arc<State>, request: Request) -> Option<HttpResponse> {
    state.record.count(|counters| counters.received += 1);
    let arrived = Instant::now();
    let Some(job) = read_job(request, arrived).await else {
        return Some(http1::empty(StatusCode::BAD_REQUEST));
    };
    let state = Arc::clone(state);
    let task = tokio::spawn(async move { run_registered(&state, job).await });
    match task.await.ok()? {
        Outcome::Done(response) => Some(response),
        Outcome::Refused { status, retry_after } => Some(refusal(status, true, Some(retry_after))),
        Outcome::Stopped { status, has_started } => Some(refusal(status, !has_started, None)),
        Outcome::Disconnected => None,
    }
}

fn refusal(status: StatusCode, not_started: bool, retry_after: Option<Duration>) -> HttpResponse {
    let mut response = http1::empty(status);
    http1::set_header(&mut response, "x-not-started", &not_started);
    if let Some(retry_after) = retry_after {
        http1::set_header(&mut response, "retry-after-ms", &retry_after.as_millis());
    }
    response
}

async fn read_job(request: Request, arrived: Instant) -> Option<Job> {
    let id = http1::header_text(&request, "x-request-id")?.into();
    let remaining = http1::header_number(&request, "x-remaining-ms").map_or(DEFAULT_REMAINING, Duration::from_millis);
    let snapshot = http1::header_number(&request, "x-snapshot");
    let operation = if request.uri().path() == "/v1/search" {
        Operation::Search {
            snapshot: snapshot?,
            body: http1::read_json(request).await?,
        }
    } else {
        Operation::Submit {
            body: http1::read_json(request).await?,
        }
    };
    Some(Job {
        request_id: id,
        deadline: arrived + remaining,
        operation,
    })
}

async fn run_registered(state: &Arc<State>, job: Job) -> Outcome {
    let token = state.scheduler.register(&job.request_id);
    let outcome = run(state, &job, &token).await;
    state.scheduler.unregister(&job.request_id);
    count_outcome(state, &outcome);
    outcome
}

fn count_outcome(state: &State, outcome: &Outcome) {
    state.record.count(|counters| match outcome {
        Outcome::Done(_) => counters.finished += 1,
        Outcome::Refused { .. } => counters.refused += 1,
        Outcome::Stopped { status, .. } if *status == StatusCode::GATEWAY_TIMEOUT => counters.expired += 1,
        Outcome::Stopped { .. } => counters.cancelled += 1,
        Outcome::Disconnected => {}
    });
}

async fn run(state: &Arc<State>, job: &Job, token: &CancellationToken) -> Outcome {
    let faults = state.faults.borrow().clone();
    let seed = state.settings.seed;
    let is_selected = |purpose, share| hits::uniform(seed, purpose, &job.request_id) < share;
    if is_selected("drop_before", faults.drop_before) {
        return Outcome::Disconnected;
    }
    if let Some(outcome) = check_refusal(state, job, is_selected("shed", faults.shed_share)) {
        return outcome;
    }
    let permit = match take_slot(state, job, token).await {
        Ok(permit) => permit,
        Err(outcome) => return outcome,
    };
    let running = state.record.start(started(state, job));
    let mut service_time = faults
        .service_ms
        .map_or(state.settings.service_time, Duration::from_millis);
    if is_selected("straggler", faults.straggler_share) {
        service_time *= faults.straggler_factor;
    }
    let stopped = wait(state, job, token, tokio::time::sleep(service_time)).await.err();
    drop(running);
    drop(permit);
    if let Some(status) = stopped {
        return Outcome::Stopped {
            status,
            has_started: true,
        };
    }
    if is_selected("drop_after", faults.drop_after) {
        return Outcome::Disconnected;
    }
    Outcome::Done(operation_response(state, job))
}

/// Returns the refusal of a job that the server must not start: it is draining, the job is among those to shed, a cold
/// start is in progress, or the server lacks the snapshot.
fn check_refusal(state: &State, job: &Job, is_shed: bool) -> Option<Outcome> {
    let faults = state.faults.borrow();
    let retry_after = Duration::from_millis(faults.retry_ms);
    let unavailable = |retry_after| {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Some(Outcome::Refused { status, retry_after })
    };
    if faults.draining {
        state.record.log_drain_refusal();
    }
    if faults.draining || is_shed {
        return unavailable(retry_after);
    }
    if let Some(left) = state.cold_time_left() {
        return unavailable(left);
    }
    match &job.operation {
        Operation::Search { snapshot, .. } if !state.holds(*snapshot) => Some(Outcome::Refused {
            status: StatusCode::CONFLICT,
            retry_after,
        }),
        _ => None,
    }
}

async fn take_slot(state: &State, job: &Job, token: &CancellationToken) -> Result<OwnedSemaphorePermit, Outcome> {
    let is_late = Instant::now() >= job.deadline && !state.faults.borrow().ignore_deadline;
    if is_late {
        let status = StatusCode::GATEWAY_TIMEOUT;
        return Err(Outcome::Stopped {
            status,
            has_started: false,
        });
    }
    match state.scheduler.admit() {
        Admission::Slot(permit) => Ok(permit),
        Admission::Full => Err(Outcome::Refused {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Duration::from_millis(state.faults.borrow().retry_ms),
        }),
        Admission::Queued => {
            state.record.count(|counters| counters.waiting += 1);
            let waited = wait(state, job, token, state.scheduler.acquire_slot()).await;
            state.scheduler.leave_queue();
            state.record.count(|counters| counters.waiting -= 1);
            match waited {
                Ok(Some(permit)) => Ok(permit),
                Ok(None) => Err(Outcome::Disconnected),
                Err(status) => Err(Outcome::Stopped {
                    status,
                    has_started: false,
                }),
            }
        }
    }
}

/// Waits for `event`. Cancellation returns status 499, and the deadline 504.
async fn wait<T>(
    state: &State,
    job: &Job,
    token: &CancellationToken,
    event: impl Future<Output = T>,
) -> Result<T, StatusCode> {
    let ignore_deadline = state.faults.borrow().ignore_deadline;
    let deadline = tokio::time::sleep_until(job.deadline.into());
    tokio::select! {
        biased;
        () = token.cancelled() => Err(StatusCode::from_u16(499).unwrap_or(StatusCode::BAD_REQUEST)),
        value = event => Ok(value),
        () = deadline, if !ignore_deadline => Err(StatusCode::GATEWAY_TIMEOUT),
    }
}

fn started(state: &State, job: &Job) -> StartedRequest {
    let at = state.record.elapsed();
    let request = job.request_id.clone();
    match &job.operation {
        Operation::Search { snapshot, body } => StartedRequest {
            request,
            kind: RequestKind::Search,
            at,
            snapshot: Some(*snapshot),
            key: None,
            body: body.query.clone(),
        },
        Operation::Submit { body } => StartedRequest {
            request,
            kind: RequestKind::Submit,
            at,
            snapshot: None,
            key: Some(body.key),
            body: body.body.clone(),
        },
    }
}

fn operation_response(state: &State, job: &Job) -> HttpResponse {
    match &job.operation {
        Operation::Search { snapshot, body } => {
            let response = search_response(state, *snapshot, body);
            http1::json(StatusCode::OK, &response)
        }
        Operation::Submit { body } => {
            let text = serde_json::json!({ "key": body.key, "stored": true });
            http1::json(StatusCode::OK, &text)
        }
    }
}

fn search_response(state: &State, snapshot: u64, body: &SearchBody) -> SearchResponse {
    let requested = KeyRange {
        start: body.start,
        end: body.end,
    };
    let mut range = requested.intersection(state.range());
    let truncated = state.faults.borrow().truncate;
    if truncated {
        range.end = range.start + (range.end - range.start) / 2;
    }
    SearchResponse {
        snapshot,
        start: range.start,
        end: range.end,
        truncated,
        hits: hits::hits(&state.settings.corpus, range, snapshot, &body.query, body.limit),
    }
}
