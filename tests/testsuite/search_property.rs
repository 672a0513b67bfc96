//! Property test of searches under arbitrary inputs.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bolero::produce;
use pimentoflow::process::budget::CAPACITY_TOKENS;
use pimentoflow::process::budget::INITIAL_TOKENS;
use pimentoflow::request::plan::plan;
use pimentoflow::request::query::Query;
use pimentoflow::request::query::Request;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::search_run::BUDGET_RATIO;
use crate::search_run::HIT_LIMIT;
use crate::search_run::MAX_STEPS;
use crate::search_run::QUERIES;
use crate::search_run::QueryModel;
use crate::search_run::QueryRun;
use crate::search_run::SEARCHERS;
use crate::search_run::SHARDS;
use crate::search_run::Step;
use crate::search_run::fleet;

fn run_queries(seed: u8, steps: &[Step]) {
    let mut now = Instant::now();
    let fleet = fleet(now);
    let mut leaving = HashSet::new();
    let (mut hedges, mut retries) = (0, 0);
    let size = steps.len() / QUERIES as usize;
    for number in 0..QUERIES {
        let plan = plan(&fleet.tables, &["heat", "entry"], HIT_LIMIT).expect("the services exist");
        let Ok(pin) = fleet.pin(&plan, &[], now) else {
            return;
        };
        let request = Request {
            correlation: number,
            deadline: now + Duration::from_millis(200),
            min_coverage: f64::from(seed % 3) / 2.0,
        };
        let rng = SmallRng::seed_from_u64(u64::from(seed));
        let model = QueryModel {
            correlation: number,
            deadline: request.deadline,
            sent: Vec::new(),
            in_flight: HashSet::new(),
            covered: HashMap::new(),
            replies: 0,
            hedges: 0,
            retries: 0,
            snapshots: HashSet::new(),
            answer: None,
            finished_at: None,
        };
        let mut run = QueryRun {
            fleet: &fleet,
            leaving: &mut leaving,
            query: Query::new(Arc::clone(&fleet), plan, pin, request, rng),
            model,
            now,
        };
        let from = number as usize * size;
        run.run(&steps[from..from + size]);
        now = run.now;
        hedges += run.model.hedges;
        retries += run.model.retries;
        drop(run);
        let earned = BUDGET_RATIO * f64::from(SHARDS) * (number + 1) as f64;
        let allowed = f64::from(INITIAL_TOKENS) + earned.min(f64::from(CAPACITY_TOKENS));
        assert!(
            f64::from(hedges) <= allowed,
            "{hedges} hedges exceed the budget of {allowed}"
        );
        assert!(
            f64::from(retries) <= allowed,
            "{retries} retries exceed the budget of {allowed}"
        );
        let in_flight = (0..u32::from(SEARCHERS)).map(|searcher| fleet.replicas.in_flight(searcher));
        assert_eq!(
            in_flight.sum::<u32>(),
            0,
            "attempts are counted as in flight after the end of the query"
        );
    }
}

/// Guards against mixed snapshots, wrong coverage, keys that are counted twice or lost, late or duplicate answers,
/// attempts on leaving servers and exceeded budgets, under any order of replies, refusals, lost sessions and timers.
#[test]
fn invariants_hold_under_arbitrary_inputs() {
    property_check::check()
        .with_iterations(3_000)
        .with_max_len(4096)
        .with_generator((produce::<u8>(), produce::<Vec<Step>>().with().len(0..=MAX_STEPS)))
        .for_each(|(seed, steps)| run_queries(*seed, steps));
}
