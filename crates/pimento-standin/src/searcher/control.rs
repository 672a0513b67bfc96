//! Control interface under `/control/` for tests that run the program.

use std::time::Duration;

use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::http1;
use crate::http1::HttpResponse;
use crate::http1::Request;
use crate::searcher::KeyRange;
use crate::searcher::faults::Faults;
use crate::searcher::state::State;

/// Body of `POST /control/change`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Replaces all fault switches.
    Faults(Box<Faults>),
    /// Replaces the snapshots held.
    Snapshots(Vec<u64>),
    /// Replaces the range of keys held.
    Range(KeyRange),
    /// Refuses all requests for a time in milliseconds, as after a cold start.
    ColdMs(u64),
}

/// Handles a request to `/control/COMMAND`.
pub(crate) async fn handle(state: &State, command: &str, request: Request) -> HttpResponse {
    match (request.method(), command) {
        (&Method::GET, "counters") => http1::json(StatusCode::OK, &state.record.counters()),
        (&Method::GET, "started") => http1::json(StatusCode::OK, &state.record.started()),
        (&Method::GET, "faults") => http1::json(StatusCode::OK, &*state.faults.borrow()),
        (&Method::POST, "change") => match http1::read_json::<Change>(request).await {
            Some(change) => {
                apply(state, change);
                http1::empty(StatusCode::NO_CONTENT)
            }
            None => http1::empty(StatusCode::BAD_REQUEST),
        },
        _ => http1::empty(StatusCode::NOT_FOUND),
    }
}

fn apply(state: &State, change: Change) {
    match change {
        Change::Faults(faults) => drop(state.faults.send_replace(*faults)),
        Change::Snapshots(snapshots) => state.set_snapshots(&snapshots),
        Change::Range(range) => state.set_range(range),
        Change::ColdMs(ms) => state.start_cold_period(Duration::from_millis(ms)),
    }
}
