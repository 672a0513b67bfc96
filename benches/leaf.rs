//! Time per request in a leaf: the lane for each dispatched item, and the ticket registry for each submission.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use criterion::Criterion;
use criterion::Throughput;
use pimentoflow::connection::lane::Lane;
use pimentoflow::connection::lane::work::Action;
use pimentoflow::connection::lane::work::HANDOVER_PERIOD;
use pimentoflow::connection::lane::work::LaneConfig;
use pimentoflow::connection::lane::work::QUEUE_CAPACITY;
use pimentoflow::connection::lane::work::Reply;
use pimentoflow::connection::lane::work::ReplyResult;
use pimentoflow::connection::lane::work::Work;
use pimentoflow::connection::share::Role;
use pimentoflow::connection::share::Share;
use pimentoflow::process::tickets;
use pimentoflow::process::tickets::BackendReply;
use pimentoflow::process::tickets::TicketRegistry;
use pimentoflow::version::tables::Claims;
use pimentoflow::wire::proto;
use pimentoflow::wire::proto::Class;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Service time of the simulated searcher.
const SERVICE_TIME: Duration = Duration::from_micros(200);

/// Time between two submissions. The registry keeps tickets for 60 s and thus holds 6,000 of them.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(10);

fn config() -> LaneConfig {
    let claims = Claims {
        tolerated_views: 4,
        remote_reserve: 4,
    };
    LaneConfig {
        slots: 3,
        share: Share::from_cap(3, 30, claims).expect("the cap is large enough"),
        queue_capacity: QUEUE_CAPACITY,
        routine_share: 0.1,
        handover_period: HANDOVER_PERIOD,
    }
}

/// Lane with a simulated server that answers each request after [`SERVICE_TIME`].
struct LaneFixture {
    lane: Lane,
    now: Instant,
    next: u64,
    running: Vec<pimentoflow::connection::pool::ConnectionId>,
    finished: u64,
}

impl LaneFixture {
    fn new() -> Self {
        let now = Instant::now();
        let mut fixture = Self {
            lane: Lane::new(config(), SmallRng::seed_from_u64(1), now),
            now,
            next: 0,
            running: Vec::new(),
            finished: 0,
        };
        let mut actions = Vec::new();
        fixture.lane.on_role(Role::Owner, false, now, &mut actions);
        fixture.apply(actions);
        fixture
    }

    fn apply(&mut self, mut actions: Vec<Action>) {
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in actions {
                match action {
                    Action::Open { connection } => self.lane.on_opened(connection, self.now, &mut next),
                    Action::Dispatch { connection, .. } => self.running.push(connection),
                    Action::Finish { .. } => self.finished += 1,
                    Action::Close { .. } | Action::SendCancel { .. } | Action::CloseAll => {}
                }
            }
            actions = next;
        }
    }

    /// Enqueues `count` items at once and answers all of them.
    fn serve(&mut self, count: u64) {
        let mut actions = Vec::new();
        self.lane.on_tick(None, self.now, &mut actions);
        for _ in 0..count {
            let work = Work {
                id: self.next,
                class: Class::Routine,
                deadline: self.now + Duration::from_secs(1),
                idempotent: true,
                slotted: true,
                fallback: false,
            };
            self.next += 1;
            self.lane.on_work(work, self.now, &mut actions);
        }
        self.apply(actions);
        while let Some(connection) = self.running.pop() {
            self.now += SERVICE_TIME / 3;
            let result = ReplyResult::Answered {
                service_time: SERVICE_TIME,
            };
            let draining = false;
            let mut actions = Vec::new();
            self.lane
                .on_reply(connection, Reply { result, draining }, self.now, &mut actions);
            black_box(self.lane.next_wakeup());
            black_box(self.lane.state(self.now));
            self.apply(actions);
        }
    }
}

fn lane(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("lane");
    for count in [1_u64, 8, 64] {
        let mut fixture = LaneFixture::new();
        group.throughput(Throughput::Elements(count));
        group.bench_function(format!("{count} items at once"), |bencher| {
            bencher.iter(|| fixture.serve(count));
        });
        assert_eq!(fixture.finished, fixture.next, "each item ends once");
    }
    group.finish();
}

fn submit(registry: &mut TicketRegistry, now: Instant, body: &Bytes, correlation: u64) {
    let ticket = registry.issue("searcher-1", now, 0).expect("the registry is not full");
    let submit = proto::Submit {
        correlation,
        ticket: Some(ticket),
        request_id: "request-0123456789".to_owned(),
        class: Class::Routine.into(),
        remaining_us: 100_000,
        shard: "shard-1".to_owned(),
        key: 42,
        body: body.clone(),
    };
    let mut actions = Vec::new();
    registry
        .on_submit(1, &submit, Ok(()), now, &mut actions)
        .expect("the ticket is new");
    let Some(tickets::Action::Enqueue(work)) = actions.pop() else {
        panic!("the submission must be enqueued");
    };
    assert!(registry.dispatch(work.id, now, &mut actions));
    let reply = BackendReply {
        status: 200,
        not_started: false,
        retry_after: Duration::ZERO,
        body: Bytes::from_static(b"{}"),
    };
    registry.on_reply(work.id, reply, &mut actions);
    black_box(registry.next_wakeup());
    black_box(actions);
}

fn ticket_registry(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tickets");
    for size in [100_usize, 1000] {
        let mut registry = TicketRegistry::new(tickets::Settings::new("leaf-1", 1));
        let body = Bytes::from(vec![b'x'; size]);
        let mut now = Instant::now();
        let mut correlation = 0;
        group.bench_function(format!("submission of {size} bytes"), |bencher| {
            bencher.iter(|| {
                now += SUBMIT_INTERVAL;
                correlation += 1;
                submit(&mut registry, now, &body, correlation);
            });
        });
        println!("tickets remembered: {}", registry.ticket_count());
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(800))
        .configure_from_args();
    lane(&mut criterion);
    ticket_registry(&mut criterion);
    criterion.final_summary();
}
