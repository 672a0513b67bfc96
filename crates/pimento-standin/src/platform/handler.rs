//! HTTP interface of the platform, as specified in `docs/protocols.md`, and its control interface.

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::StatusCode;

use crate::http1;
use crate::http1::HttpResponse;
use crate::http1::Request;
use crate::platform::INSTANCES_NAME;
use crate::platform::Instances;
use crate::platform::State;
use crate::platform::faults::Faults;
use crate::platform::values::Value;

/// Longest time that a watch waits; longer requested times are shortened to it.
const MAX_WATCH_TIME: Duration = Duration::from_secs(60);

/// Period of the read limit.
const READ_LIMIT_PERIOD: Duration = Duration::from_secs(1);

/// Retry-after time in refusals, in milliseconds.
const RETRY_AFTER_MS: u64 = 200;

/// Handles a request. `None` closes the connection without a response.
pub(crate) async fn handle(state: Arc<State>, data_centre: Box<str>, request: Request) -> Option<HttpResponse> {
    let path = request.uri().path().to_owned();
    if let Some(command) = path.strip_prefix("/control/") {
        return Some(control(&state, command, request).await);
    }
    let after = http1::query_number(&request, "after");
    let is_list = path == "/v1/instances";
    count(&state, &data_centre, is_list, after.is_some());
    if let Some(refusal) = apply_faults(&state).await {
        return Some(refusal);
    }
    let name = match path.strip_prefix("/v1/values/") {
        Some(name) => name,
        None if is_list => INSTANCES_NAME,
        None => return Some(http1::empty(StatusCode::NOT_FOUND)),
    };
    let wait = http1::query_number(&request, "wait_ms").map_or(Duration::ZERO, Duration::from_millis);
    Some(read(&state, name, after, wait.min(MAX_WATCH_TIME)).await)
}

fn count(state: &State, data_centre: &str, is_list: bool, is_watch: bool) {
    state.calls.send_modify(|calls| {
        calls.total += 1;
        *calls.by_centre.entry(data_centre.into()).or_default() += 1;
        match (is_list, is_watch) {
            (true, _) => calls.lists += 1,
            (false, true) => calls.watches += 1,
            (false, false) => calls.reads += 1,
        }
    });
}

/// Applies the fault switches that delay or refuse a call, and returns the refusal if there is one.
async fn apply_faults(state: &State) -> Option<HttpResponse> {
    let mut faults = state.faults.subscribe();
    let released = faults.wait_for(|faults| !faults.silent).await;
    drop(released);
    let faults = state.faults.borrow().clone();
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.down {
        return Some(refusal(StatusCode::SERVICE_UNAVAILABLE));
    }
    if faults.limit.is_some_and(|limit| !take_from_limit(state, limit)) {
        state.calls.send_modify(|calls| calls.limited += 1);
        return Some(refusal(StatusCode::TOO_MANY_REQUESTS));
    }
    None
}

/// Counts a call towards the read limit and returns whether it is within the limit.
fn take_from_limit(state: &State, limit: u32) -> bool {
    let mut limit_window = state.limit_window.lock().unwrap_or_else(PoisonError::into_inner);
    if limit_window.0.elapsed() >= READ_LIMIT_PERIOD {
        *limit_window = (Instant::now(), 0);
    }
    limit_window.1 += 1;
    limit_window.1 <= limit
}

fn refusal(status: StatusCode) -> HttpResponse {
    let mut response = http1::empty(status);
    http1::set_header(&mut response, "retry-after-ms", &RETRY_AFTER_MS);
    response
}

async fn read(state: &State, name: &str, after: Option<u64>, wait: Duration) -> HttpResponse {
    let Some(after) = after else {
        return match state.values().view(name, Instant::now()).value {
            Some(value) => respond_with_value(&value),
            None => http1::empty(StatusCode::NOT_FOUND),
        };
    };
    let _waiting = WaitingWatch::new(state);
    match watch(state, name, after, Instant::now() + wait).await {
        Some(value) => respond_with_value(&value),
        None => http1::empty(StatusCode::NOT_MODIFIED),
    }
}

fn respond_with_value(value: &Value) -> HttpResponse {
    let mut response = http1::with_body(StatusCode::OK, value.bytes.clone());
    http1::set_header(&mut response, "x-version", &value.version);
    response
}

/// Waits until a version greater than `after` is visible. Returns `None` at `deadline`.
async fn watch(state: &State, name: &str, after: u64, deadline: Instant) -> Option<Value> {
    let mut changed = state.changed.subscribe();
    loop {
        changed.borrow_and_update();
        let visible = state.values().view(name, Instant::now());
        if let Some(value) = visible.value.filter(|value| value.version > after) {
            return Some(value);
        }
        if Instant::now() >= deadline {
            return None;
        }
        let wakeup = visible.next.map_or(deadline, |next| next.min(deadline));
        tokio::select! {
            changed = changed.changed() => changed.ok()?,
            () = tokio::time::sleep_until(wakeup.into()) => {}
        }
    }
}

/// Counts a watch as waiting until it is dropped.
struct WaitingWatch<'a>(&'a State);

impl<'a> WaitingWatch<'a> {
    fn new(state: &'a State) -> Self {
        state.calls.send_modify(|calls| calls.waiting += 1);
        Self(state)
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.0.calls.send_modify(|calls| calls.waiting -= 1);
    }
}

async fn control(state: &State, command: &str, request: Request) -> HttpResponse {
    match (request.method(), command) {
        (&Method::GET, "calls") => http1::json(StatusCode::OK, &*state.calls.borrow()),
        (&Method::GET, "faults") => http1::json(StatusCode::OK, &*state.faults.borrow()),
        (&Method::PUT, "faults") => match http1::read_json::<Faults>(request).await {
            Some(faults) => {
                state.set_faults(|current| *current = faults);
                http1::empty(StatusCode::NO_CONTENT)
            }
            None => http1::empty(StatusCode::BAD_REQUEST),
        },
        (&Method::PUT, "instances") => match http1::read_json::<Instances>(request).await {
            Some(list) => {
                let text = serde_json::to_vec(&list).unwrap_or_default();
                respond_with_version(state.publish(INSTANCES_NAME, text.into()))
            }
            None => http1::empty(StatusCode::BAD_REQUEST),
        },
        (&Method::PUT, _) => match command.strip_prefix("values/") {
            Some(name) => publish_body(state, name, request).await,
            None => http1::empty(StatusCode::NOT_FOUND),
        },
        _ => http1::empty(StatusCode::NOT_FOUND),
    }
}

async fn publish_body(state: &State, name: &str, request: Request) -> HttpResponse {
    let Some(bytes) = http1::read_body(request).await else {
        return http1::empty(StatusCode::BAD_REQUEST);
    };
    respond_with_version(state.publish(name, bytes))
}

fn respond_with_version(version: u64) -> HttpResponse {
    let mut response = http1::empty(StatusCode::NO_CONTENT);
    http1::set_header(&mut response, "x-version", &version);
    response
}
