//! Valid history that each test of a rule modifies in one place.

use std::time::Duration;

use history_check::history::Corpus;
use history_check::history::Event;
use history_check::history::EventKind;
use history_check::history::History;
use history_check::history::Operation;
use history_check::history::Outcome;
use history_check::history::Program;
use history_check::history::Request;
use history_check::history::Server;
use indexmap::IndexMap;
use pimento_standin::searcher::KeyRange;
use pimento_standin::searcher::hits::hits;
use pimento_standin::searcher::record::RequestKind;
use pimento_standin::searcher::record::StartedRequest;
use pimentoflow::error::ErrorKind;
use pimentoflow::process::entry::api::CoverageBody;
use pimentoflow::process::entry::api::ErrorBody;
use pimentoflow::process::entry::api::HitAnswer;
use pimentoflow::process::entry::api::MissingRange;
use pimentoflow::process::entry::api::SearchAnswer;
use pimentoflow::process::entry::api::SubmitAnswer;

/// First key of the second of the two shards.
pub const MIDDLE: u64 = 1 << 31;

/// Number of hits that a search requests.
pub const LIMIT: usize = 10;

/// Indexes of the operations of [`valid_history`].
pub const COMPLETE: usize = 0;
pub const PARTIAL: usize = 1;
pub const EXECUTED: usize = 2;
pub const CUT: usize = 4;

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the hits of a key range in a snapshot, in the order of an answer.
pub fn hits_of(keys: KeyRange, snapshot: u64, query: &str) -> Vec<HitAnswer> {
    let mut all: Vec<HitAnswer> = corpora()
        .iter()
        .flat_map(|corpus| hits(&corpus.name, keys.intersection(corpus.range), snapshot, query, LIMIT))
        .map(|hit| HitAnswer {
            service: "gala".into(),
            key: hit.key,
            document: hit.document,
            score: hit.score,
        })
        .collect();
    all.sort_by(|a, b| b.score.total_cmp(&a.score));
    all.truncate(LIMIT);
    all
}

fn corpora() -> Vec<Corpus> {
    let corpus = |name: &str, start, end| Corpus {
        service: "gala".into(),
        name: name.into(),
        range: KeyRange { start, end },
    };
    vec![corpus("s1", 0, MIDDLE), corpus("s2", MIDDLE, 1 << 32)]
}

fn operation(request_id: &str, start: u64, request: Request, outcome: Outcome) -> Operation {
    Operation {
        request_id: request_id.into(),
        entry: "e1".into(),
        start: ms(start),
        end: ms(start + 5),
        request,
        outcome,
    }
}

fn search(request_id: &str, start: u64, revision: u64, covered: KeyRange) -> Operation {
    let query = format!("query of {request_id}");
    let complete = covered == KeyRange::ALL;
    let missing = MissingRange {
        service: "gala".into(),
        shard: "s2".into(),
        start: covered.end,
        end: 1 << 32,
        reason: "unreachable".into(),
    };
    let total = if complete { 1.0 } else { 0.5 };
    let answer = SearchAnswer {
        request_id: request_id.into(),
        snapshot: 1,
        revision,
        complete,
        coverage: CoverageBody {
            total,
            services: IndexMap::from([("gala".into(), total)]),
            missing: if complete { Vec::new() } else { vec![missing] },
        },
        hits: hits_of(covered, 1, &query),
        extra_parts: 0,
        elapsed_ms: 1.0,
    };
    let request = Request::Search {
        services: vec!["gala".into()],
        query: query.into(),
        limit: LIMIT,
    };
    let status = if complete { 200 } else { 206 };
    operation(request_id, start, request, Outcome::Found(status, Box::new(answer)))
}

fn submission(request_id: &str, start: u64, outcome: Outcome) -> Operation {
    let request = Request::Submission {
        key: 7,
        body: format!("body of {request_id}").into(),
        ticket: Some("pt1-00".into()),
    };
    operation(request_id, start, request, outcome)
}

pub fn executed(request_id: &str) -> Outcome {
    Outcome::Executed(Box::new(SubmitAnswer {
        request_id: request_id.into(),
        outcome: "executed".into(),
        status: 200,
        body: r#"{"key": 7, "stored": true}"#.into(),
        replayed: false,
    }))
}

pub fn not_run(request_id: &str) -> Outcome {
    Outcome::Refused(
        503,
        Box::new(ErrorBody {
            request_id: request_id.into(),
            kind: ErrorKind::NotRun,
            message: "refused".into(),
            retry_after_ms: None,
            ticket: None,
            coverage: None,
        }),
    )
}

/// Returns the record of a backend server that starts a submission after `at` milliseconds.
pub fn started(request_id: &str, at: u64) -> StartedRequest {
    StartedRequest {
        request: "attempt".into(),
        kind: RequestKind::Submit,
        at: ms(at),
        snapshot: None,
        key: Some(7),
        body: format!("body of {request_id}").into(),
    }
}

fn server() -> Server {
    Server {
        cap: 30,
        peak_open: 30,
        ..Server::default()
    }
}

fn program(alive: bool, clean_stop: Option<bool>) -> Program {
    Program {
        revisions: vec![(ms(0), 1), (ms(35), 2)],
        alive,
        clean_stop,
    }
}

/// Returns a history without violations. It has operations with all outcomes, a planned stop, a kill and a draining
/// server.
pub fn valid_history() -> History {
    let event = |at, kind| Event { at: ms(at), kind };
    let half = KeyRange { start: 0, end: MIDDLE };
    let mut draining = server();
    draining.drain_refusals = vec![ms(100), ms(3100)];
    let mut busy = server();
    busy.started = vec![started("r2", 61)];
    History {
        corpora: corpora(),
        snapshots: vec![1, 2],
        operations: vec![
            search("r0", 10, 1, KeyRange::ALL),
            search("r1", 60, 2, half),
            submission("r2", 60, executed("r2")),
            submission("r3", 60, not_run("r3")),
            submission("r4", 70, Outcome::Cut("connection reset".into())),
        ],
        servers: IndexMap::from([("a".into(), busy), ("b".into(), draining)]),
        programs: IndexMap::from([
            ("e1".into(), program(false, None)),
            ("e2".into(), program(true, None)),
            ("l1".into(), program(false, Some(true))),
        ]),
        events: vec![
            event(5, EventKind::Stop("l1".into())),
            event(30, EventKind::Change("revision 2".into())),
            event(50, EventKind::Fault("freeze a".into())),
            event(72, EventKind::Kill("e1".into())),
            event(90, EventKind::Drain("b".into())),
        ],
        pauses: Vec::new(),
        accepted_revision: 2,
    }
}
