//! Driver that feeds arbitrary steps to a query and checks it against a model of what was sent and delivered.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::fleet::Fleet;
use pimentoflow::request::coverage::MissingReason;
use pimentoflow::request::query::Action;
use pimentoflow::request::query::Answer;
use pimentoflow::request::query::Cause;
use pimentoflow::request::query::MAX_RESTARTS;
use pimentoflow::request::query::Query;
use pimentoflow::request::query::SendAttempt;
use pimentoflow::version::keys::KeyRange;
use pimentoflow::wire::proto;
use pimentoflow::wire::proto::Hit;
use pimentoflow::wire::proto::Hits;
use pimentoflow::wire::proto::LaneReport;
use pimentoflow::wire::proto::PartResult;
use pimentoflow::wire::proto::Refusal;
use pimentoflow::wire::proto::part_result::Outcome;
use testkit::ServiceShape;
use testkit::TablesBuilder;
use testkit::equal_range;
use testkit::policy;

/// Step of a run: the kind of input and two arguments.
pub type Step = (u8, u8, u8);

pub const SHARDS: u32 = 2;
/// Number of equal cells into which the model divides each shard.
pub const CELLS_PER_SHARD: u32 = 8;
pub const QUERIES: u64 = 3;
/// Maximum steps of a run, over all of its queries.
pub const MAX_STEPS: usize = 240;
pub const HIT_LIMIT: u32 = 1000;
pub const BUDGET_RATIO: f64 = 0.5;
pub const SEARCHERS: u8 = 12;

/// Covered cells of the key space, as (service, cell).
pub type Cells = HashSet<(u32, u32)>;

/// Model of one query: what it sent, what was delivered to it, and its answer.
pub struct QueryModel {
    pub correlation: u64,
    pub deadline: Instant,
    pub sent: Vec<SendAttempt>,
    pub in_flight: HashSet<(u32, u32)>,
    /// Cells covered by replies, by snapshot.
    pub covered: HashMap<u64, Cells>,
    pub replies: u32,
    pub hedges: u32,
    pub retries: u32,
    pub snapshots: HashSet<u64>,
    pub answer: Option<Answer>,
    pub finished_at: Option<Instant>,
}

pub fn fleet(now: Instant) -> Arc<Fleet> {
    let mut first = ServiceShape::new("heat", SHARDS, &["a", "b", "c"]);
    first.policy.hedge_budget = BUDGET_RATIO;
    first.policy.retry_budget = BUDGET_RATIO;
    let mut second = ServiceShape::new("entry", SHARDS, &["a", "a", "b"]);
    second.policy = policy();
    let tables = TablesBuilder::new(1).index("gala", &[first, second]).build();
    let fleet = Fleet::new(Arc::new(tables), "a", now);
    for searcher in 0..u32::from(SEARCHERS) {
        fleet.holdings.on_reply(searcher, &[10, 11], now);
    }
    Arc::new(fleet)
}

pub fn cell_range(cell: u32, count: u32) -> KeyRange {
    let cells = SHARDS * CELLS_PER_SHARD;
    KeyRange {
        start: equal_range(cell, cells).start,
        end: equal_range((cell + count - 1).min(cells - 1), cells).end,
    }
}

/// Driver of one query, on a fleet whose state is left by earlier queries.
pub struct QueryRun<'a> {
    pub fleet: &'a Arc<Fleet>,
    pub leaving: &'a mut HashSet<u32>,
    pub query: Query,
    pub model: QueryModel,
    pub now: Instant,
}

impl QueryRun<'_> {
    fn apply(&mut self, call: impl FnOnce(&mut Query, Instant, &mut Vec<Action>)) {
        let mut out = Vec::new();
        call(&mut self.query, self.now, &mut out);
        for action in out {
            assert!(self.model.answer.is_none(), "action after the answer: {action:?}");
            match action {
                Action::Send(send) => self.record_send(send),
                Action::Cancel(cancel) => {
                    assert!(
                        self.model.in_flight.remove(&(cancel.part, cancel.attempt)),
                        "an attempt was cancelled that was not in flight"
                    );
                }
                Action::Finish(answer) => {
                    self.model.answer = Some(*answer);
                    self.model.finished_at = Some(self.now);
                }
            }
        }
        self.check_not_idle();
    }

    /// Checks that a query without an answer has an attempt in flight, since otherwise it would wait for its deadline.
    fn check_not_idle(&self) {
        let idle = self.model.in_flight.is_empty() && self.model.answer.is_none();
        assert!(!idle, "the query is waiting without an attempt in flight");
    }

    fn record_send(&mut self, send: SendAttempt) {
        assert!(
            !self.leaving.contains(&send.searcher),
            "an attempt was sent to a leaving server"
        );
        let is_new = self.model.in_flight.insert((send.part, send.attempt));
        assert!(is_new, "an attempt number was used twice");
        let planned = self.query.plan().parts[send.part as usize];
        assert_eq!(send.range.intersection(planned.range), send.range);
        let is_first_service = planned.service == 0;
        self.model.hedges += u32::from(is_first_service && send.cause == Cause::Hedge);
        self.model.retries += u32::from(is_first_service && send.cause == Cause::Retry);
        self.model.snapshots.insert(send.snapshot);
        self.model.sent.push(send);
    }

    fn step(&mut self, step: Step) {
        let (kind, a, b) = step;
        let searcher = u32::from(a % SEARCHERS);
        match kind % 16 {
            0..=4 => self.deliver(a, b, false),
            5 | 6 => self.deliver(a, b, true),
            7 | 8 => self.refuse(a, b),
            9 => self.lose_session(a),
            10 | 11 => self.advance(Duration::from_millis(u64::from(b % 40))),
            12 => self.wake(),
            13 => self
                .fleet
                .holdings
                .on_reply(searcher, &[u64::from(b % 4) + 9, u64::from(b / 64) + 9], self.now),
            14 => self.set_leaving(searcher, b % 2 == 0),
            _ if b < 8 => self.apply(Query::on_cancel),
            _ => self.deliver_foreign(a),
        }
    }

    fn set_leaving(&mut self, searcher: u32, leaving: bool) {
        self.fleet.replicas.set_leaving(searcher, leaving, self.now);
        if leaving {
            self.leaving.insert(searcher);
        } else {
            self.leaving.remove(&searcher);
        }
    }

    fn pick_sent(&self, a: u8) -> Option<SendAttempt> {
        let count = self.model.sent.len();
        let at = usize::from(a) % count.max(1);
        self.model.sent.get(at).copied()
    }

    /// Delivers hits for an attempt, which may have ended already. `irregular` replies are from another snapshot, cover
    /// less or more than was requested, or are truncated.
    fn deliver(&mut self, a: u8, b: u8, irregular: bool) {
        let Some(send) = self.pick_sent(a) else {
            return;
        };
        let cells = SHARDS * CELLS_PER_SHARD;
        let first = u32::from(b) % cells;
        let (range, truncated, snapshot_offset) = match (irregular, b % 4) {
            (false, _) => (send.range, false, 0),
            (true, 0) => (cell_range(first, 1 + u32::from(a) % cells), false, 0),
            (true, 1) => (KeyRange::ALL, false, 0),
            (true, 2) => (send.range, true, 0),
            (true, _) => (send.range, false, 1),
        };
        let snapshot = send.snapshot + snapshot_offset;
        let was_in_flight = self.model.in_flight.remove(&(send.part, send.attempt));
        if was_in_flight && snapshot_offset == 0 && !truncated && self.model.answer.is_none() {
            self.record_covered(send, range);
        }
        self.model.replies += 1;
        let correlation = self.model.correlation;
        self.result(correlation, send, Outcome::Hits(self.hits(snapshot, range, truncated)));
    }

    fn record_covered(&mut self, send: SendAttempt, range: KeyRange) {
        let service = self.query.plan().parts[send.part as usize].service;
        let counted = range.intersection(send.range);
        let covered = self.model.covered.entry(send.snapshot).or_default();
        let whole = (0..SHARDS * CELLS_PER_SHARD).filter(|cell| {
            let keys = cell_range(*cell, 1);
            keys.intersection(counted) == keys
        });
        covered.extend(whole.map(|cell| (service, cell)));
    }

    /// Creates one hit per cell of the whole key space, so that many lie outside `range`. The documents have the form
    /// `snapshot/reply/truncated`; with the number of the reply, a key merged from two replies shows up as two hits.
    fn hits(&self, snapshot: u64, range: KeyRange, truncated: bool) -> Hits {
        let reply = self.model.replies;
        let hits = (0..SHARDS * CELLS_PER_SHARD).map(|cell| Hit {
            key: cell_range(cell, 1).start,
            document: format!("{snapshot}/{reply}/{truncated}"),
            score: f64::from(reply),
        });
        Hits {
            snapshot,
            range: Some(proto::KeyRange {
                start: range.start,
                end: range.end,
            }),
            truncated,
            hits: hits.collect(),
        }
    }

    fn refuse(&mut self, a: u8, b: u8) {
        let Some(send) = self.pick_sent(a) else {
            return;
        };
        self.model.in_flight.remove(&(send.part, send.attempt));
        let refusal = Refusal {
            reason: i32::from(b % 10),
            retry_after_us: u64::from(b) * 100,
            may_have_run: b > 200,
        };
        let correlation = self.model.correlation;
        self.result(correlation, send, Outcome::Refusal(refusal));
        // A refusal with `Draining` also marks the server as leaving.
        if b % 10 == 5 && !self.fleet.replicas.is_usable(send.searcher, self.now) {
            self.leaving.insert(send.searcher);
        }
    }

    /// Delivers a reply to another query, with a correlation number that this query does not use.
    fn deliver_foreign(&mut self, a: u8) {
        if let Some(send) = self.pick_sent(a) {
            let foreign = self.hits(send.snapshot, send.range, false);
            self.result(u64::MAX, send, Outcome::Hits(foreign));
        }
    }

    fn result(&mut self, correlation: u64, send: SendAttempt, outcome: Outcome) {
        let result = PartResult {
            correlation,
            part: send.part,
            attempt: send.attempt,
            outcome: Some(outcome),
            report: Some(LaneReport::default()),
            held: Vec::new(),
        };
        self.apply(|query, now, out| query.on_result(result, now, out));
    }

    fn lose_session(&mut self, a: u8) {
        if let Some(send) = self.pick_sent(a) {
            self.model.in_flight.remove(&(send.part, send.attempt));
            self.apply(|query, now, out| query.on_session_lost(send.part, send.attempt, now, out));
        }
    }

    fn wake(&mut self) {
        if let Some(at) = self.query.next_wakeup() {
            self.advance(at.saturating_duration_since(self.now));
        }
    }

    /// Advances the time, but never past the next wakeup of the query.
    fn advance(&mut self, by: Duration) {
        let until = self.now + by;
        let bounded = self.query.next_wakeup().map_or(until, |at| at.min(until));
        self.now = bounded.max(self.now);
        self.apply(Query::on_tick);
    }

    pub fn run(&mut self, steps: &[Step]) {
        self.apply(Query::on_start);
        for step in steps {
            self.step(*step);
        }
        let mut wakeups = 0;
        while self.model.answer.is_none() {
            self.wake();
            wakeups += 1;
            assert!(wakeups < 20_000, "the query does not finish");
        }
        self.check();
        self.apply(Query::on_tick);
        self.apply(Query::on_cancel);
    }

    fn check(&self) {
        let model = &self.model;
        let answer = model.answer.as_ref().expect("the query has finished");
        assert!(
            model.finished_at < Some(model.deadline),
            "the answer was sent after the deadline"
        );
        assert!(
            model.snapshots.len() as u32 <= MAX_RESTARTS + 1,
            "the query used more snapshots than its restarts allow"
        );
        let prefix = format!("{}/", answer.snapshot);
        let mut keys = HashSet::new();
        for merged in &answer.hits {
            assert!(
                merged.hit.document.starts_with(&prefix),
                "a hit is from another snapshot"
            );
            let is_complete = !merged.hit.document.ends_with("true");
            let mut missing = answer.coverage.services[merged.service as usize].missing.iter();
            let is_missing = missing.any(|entry| entry.range.contains(merged.hit.key));
            assert_ne!(is_complete, is_missing, "a hit contradicts the coverage");
            assert!(
                !is_complete || keys.insert((merged.service, merged.hit.key)),
                "a key was counted twice"
            );
        }
        let empty = Cells::new();
        let covered = model.covered.get(&answer.snapshot).unwrap_or(&empty);
        assert_eq!(
            &fully_covered_cells(answer),
            covered,
            "the coverage differs from what replies covered"
        );
        for (service, cell) in covered {
            let key = cell_range(*cell, 1).start;
            assert!(keys.contains(&(*service, key)), "a hit of a covered range is missing");
        }
        assert!(!answer.coverage.services.iter().any(|service| {
            let mut missing = service.missing.iter();
            missing.any(|entry| entry.reason == MissingReason::Unassigned)
        }));
    }
}

/// Returns the cells of which no key is missing according to the coverage of an answer.
pub fn fully_covered_cells(answer: &Answer) -> Cells {
    let mut cells = Cells::new();
    for (service, coverage) in answer.coverage.services.iter().enumerate() {
        let whole = (0..SHARDS * CELLS_PER_SHARD).filter(|cell| {
            let keys = cell_range(*cell, 1);
            let mut missing = coverage.missing.iter();
            !missing.any(|entry| !entry.range.intersection(keys).is_empty())
        });
        cells.extend(whole.map(|cell| (service as u32, cell)));
    }
    cells
}
