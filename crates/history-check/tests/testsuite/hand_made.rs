//! A clean history that the tests of the rules change in one place each.

use std::time::Duration;

use history_check::history::Ask;
use history_check::history::Corpus;
use history_check::history::Event;
use history_check::history::EventKind;
use history_check::history::History;
use history_check::history::Operation;
use history_check::history::Outcome;
use history_check::history::Program;
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

/// Border of the two shards.
pub const MIDDLE: u64 = 1 << 31;

/// Hits that a search asks for.
pub const LIMIT: usize = 10;

/// Positions of the operations of [`clean`].
pub const COMPLETE: usize = 0;
pub const PARTIAL: usize = 1;
pub const EXECUTED: usize = 2;
pub const CUT: usize = 4;

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Hits of the keys given, as a server that holds `snapshot` gives them.
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

fn operation(request: &str, start: u64, ask: Ask, outcome: Outcome) -> Operation {
    Operation {
        request: request.into(),
        entry: "e1".into(),
        start: ms(start),
        end: ms(start + 5),
        ask,
        outcome,
    }
}

fn search(request: &str, start: u64, revision: u64, covered: KeyRange) -> Operation {
    let query = format!("query of {request}");
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
        request_id: request.into(),
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
    let ask = Ask::Search {
        services: vec!["gala".into()],
        query: query.into(),
        limit: LIMIT,
    };
    let status = if complete { 200 } else { 206 };
    operation(request, start, ask, Outcome::Found(status, Box::new(answer)))
}

fn submission(request: &str, start: u64, outcome: Outcome) -> Operation {
    let ask = Ask::Submission {
        key: 7,
        body: format!("body of {request}").into(),
        ticket: Some("pt1-00".into()),
    };
    operation(request, start, ask, outcome)
}

pub fn executed(request: &str) -> Outcome {
    Outcome::Executed(Box::new(SubmitAnswer {
        request_id: request.into(),
        outcome: "executed".into(),
        status: 200,
        body: r#"{"key": 7, "stored": true}"#.into(),
        replayed: false,
    }))
}

pub fn not_run(request: &str) -> Outcome {
    Outcome::Refused(
        503,
        Box::new(ErrorBody {
            request_id: request.into(),
            kind: ErrorKind::NotRun,
            message: "refused".into(),
            retry_after_ms: None,
            ticket: None,
            coverage: None,
        }),
    )
}

/// Start of the submission of a request.
pub fn started(request: &str, at: u64) -> StartedRequest {
    StartedRequest {
        request: "attempt".into(),
        kind: RequestKind::Submit,
        at: ms(at),
        snapshot: None,
        key: Some(7),
        body: format!("body of {request}").into(),
    }
}

fn server() -> Server {
    Server {
        cap: 30,
        most_open: 30,
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

/// A history with one operation of each kind, a planned stop, a kill and a server that leaves, without a violation.
pub fn clean() -> History {
    let event = |at, kind| Event { at: ms(at), kind };
    let half = KeyRange { start: 0, end: MIDDLE };
    let mut leaving = server();
    leaving.turned_away = vec![ms(100), ms(3100)];
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
        servers: IndexMap::from([("a".into(), busy), ("b".into(), leaving)]),
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
        accepted: 2,
    }
}
