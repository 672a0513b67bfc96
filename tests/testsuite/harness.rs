//! Test harness that drives one query: it records the actions of the query and delivers results to it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::fleet::Fleet;
use pimentoflow::process::holdings::PinnedSnapshot;
use pimentoflow::request::plan::Plan;
use pimentoflow::request::plan::plan;
use pimentoflow::request::query::Action;
use pimentoflow::request::query::Answer;
use pimentoflow::request::query::Query;
use pimentoflow::request::query::Request;
use pimentoflow::request::query::SendAttempt;
use pimentoflow::version::keys::KeyRange;
use pimentoflow::version::tables::Tables;
use pimentoflow::wire::proto;
use pimentoflow::wire::proto::Hit;
use pimentoflow::wire::proto::Hits;
use pimentoflow::wire::proto::PartResult;
use pimentoflow::wire::proto::Refusal;
use pimentoflow::wire::proto::RefusalReason;
use pimentoflow::wire::proto::part_result::Outcome;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use testkit::ServiceShape;
use testkit::TablesBuilder;

pub const CORRELATION: u64 = 7;
pub const DEADLINE: Duration = Duration::from_millis(500);

/// A query under test, with the actions that it returned so far.
pub struct Harness {
    pub query: Query,
    pub fleet: Arc<Fleet>,
    pub now: Instant,
    pub sent: Vec<SendAttempt>,
    pub cancelled: usize,
    pub answer: Option<Answer>,
}

/// Builds tables with the service `gym` of the index `school`, with a replica of each shard in each of three data
/// centres.
pub fn tables(shards: u32) -> Arc<Tables> {
    let data_centres = ["a", "b", "c"];
    let shape = ServiceShape::new("gym", shards, &data_centres);
    Arc::new(TablesBuilder::new(3).index("school", &[shape]).build())
}

/// Builds a fleet in which all searchers hold the snapshots `held`.
pub fn fleet(shards: u32, held: &[u64], now: Instant) -> Arc<Fleet> {
    let fleet = Fleet::new(tables(shards), "a", now);
    for searcher in 0..fleet.tables.searchers.len() as u32 {
        fleet.holdings.on_reply(searcher, held, now);
    }
    Arc::new(fleet)
}

impl Harness {
    /// Starts a query on a new fleet, whose searchers all hold the snapshots `held`.
    pub fn start(shards: u32, held: &[u64], min_coverage: f64) -> Self {
        let now = Instant::now();
        Self::with_fleet(fleet(shards, held, now), min_coverage, now)
    }

    /// Starts a query on the snapshot that the fleet selects for it.
    pub fn with_fleet(fleet: Arc<Fleet>, min_coverage: f64, now: Instant) -> Self {
        let plan = plan(&fleet.tables, &["gym"], 10).expect("the service exists");
        let pin = fleet.pin(&plan, &[], now).expect("a snapshot is held");
        Self::begin(fleet, plan, pin, min_coverage, now)
    }

    /// Starts a query on a given snapshot, whether or not a usable replica holds it.
    pub fn with_snapshot(fleet: Arc<Fleet>, snapshot: u64, now: Instant) -> Self {
        let plan = plan(&fleet.tables, &["gym"], 10).expect("the service exists");
        let pin = PinnedSnapshot {
            snapshot,
            coverage: 1.0,
        };
        Self::begin(fleet, plan, pin, 0.0, now)
    }

    fn begin(fleet: Arc<Fleet>, plan: Plan, pin: PinnedSnapshot, min_coverage: f64, now: Instant) -> Self {
        let request = Request {
            correlation: CORRELATION,
            deadline: now + DEADLINE,
            min_coverage,
        };
        let rng = SmallRng::seed_from_u64(1);
        let mut harness = Self {
            query: Query::new(Arc::clone(&fleet), plan, pin, request, rng),
            fleet,
            now,
            sent: Vec::new(),
            cancelled: 0,
            answer: None,
        };
        harness.call(Query::on_start);
        harness
    }

    /// Passes an input to the query and records the actions that it returns. Panics if the query finishes twice.
    pub fn call(&mut self, input: impl FnOnce(&mut Query, Instant, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        input(&mut self.query, self.now, &mut actions);
        for action in actions {
            match action {
                Action::Send(send) => self.sent.push(send),
                Action::Cancel(_) => self.cancelled += 1,
                Action::Finish(answer) => {
                    assert!(self.answer.is_none(), "finished twice");
                    self.answer = Some(*answer);
                }
            }
        }
    }

    /// Advances the time by `after`, and then calls the timer of the query.
    pub fn tick(&mut self, after: Duration) {
        self.now += after;
        self.call(Query::on_tick);
    }

    /// Delivers the result of an attempt, from a searcher that holds the snapshots `held`.
    pub fn deliver(&mut self, send: SendAttempt, outcome: Outcome, held: &[u64]) {
        let result = PartResult {
            correlation: CORRELATION,
            part: send.part,
            attempt: send.attempt,
            outcome: Some(outcome),
            report: None,
            held: held.to_vec(),
        };
        self.call(|query, now, actions| query.on_result(result, now, actions));
    }

    /// Delivers a refusal of an attempt.
    pub fn refuse(&mut self, send: SendAttempt, reason: RefusalReason) {
        let refusal = Refusal {
            reason: reason.into(),
            ..Refusal::default()
        };
        self.deliver(send, Outcome::Refusal(refusal), &[]);
    }

    /// Answers an attempt with its complete range and one hit at the start of it.
    pub fn answer_fully(&mut self, send: SendAttempt) {
        self.deliver(send, full_outcome(send), &[]);
    }

    /// Returns the answer. Panics if the query has not finished.
    pub fn final_answer(&self) -> &Answer {
        self.answer.as_ref().expect("the query has finished")
    }
}

pub fn hit(key: u64, document: &str, score: f64) -> Hit {
    Hit {
        key,
        document: document.to_owned(),
        score,
    }
}

pub fn hits(snapshot: u64, range: KeyRange, hits: Vec<Hit>) -> Hits {
    Hits {
        snapshot,
        range: Some(proto::KeyRange {
            start: range.start,
            end: range.end,
        }),
        truncated: false,
        hits,
    }
}

/// Returns the result of an attempt with its complete range and one hit at the start of it.
pub fn full_outcome(send: SendAttempt) -> Outcome {
    let key = send.range.start;
    Outcome::Hits(hits(send.snapshot, send.range, vec![hit(key, &format!("d{key}"), 0.5)]))
}
