//! Time of a search in an entry: planning, snapshot pinning, the query state machine, merging, and the frame codec.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use bytes::BytesMut;
use criterion::BatchSize;
use criterion::Criterion;
use criterion::Throughput;
use pimentoflow::process::fleet::Fleet;
use pimentoflow::request::merge::HitMerger;
use pimentoflow::request::plan::plan;
use pimentoflow::request::query::Action;
use pimentoflow::request::query::Query;
use pimentoflow::request::query::Request;
use pimentoflow::request::query::SendAttempt;
use pimentoflow::wire::codec::FrameCodec;
use pimentoflow::wire::proto;
use pimentoflow::wire::proto::frame::Body;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use testkit::ServiceShape;
use testkit::TablesBuilder;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

/// Snapshot that every searcher holds.
const SNAPSHOT: u64 = 7;

/// Number of hits that each part returns, and limit of the answer.
const HITS: u32 = 10;

/// Number of parts, one per shard, of the measured queries.
const PARTS: [u32; 3] = [39, 390, 780];

fn fleet(parts: u32, now: Instant) -> Arc<Fleet> {
    let shape = ServiceShape::new("svc", parts, &["dc-0", "dc-1", "dc-2"]);
    let tables = Arc::new(TablesBuilder::new(1).index("ix", &[shape]).build());
    let fleet = Fleet::new(tables, "dc-0", now);
    for searcher in 0..parts * 3 {
        fleet.holdings.on_reply(searcher, &[SNAPSHOT], now);
    }
    Arc::new(fleet)
}

fn hit(number: u32) -> proto::Hit {
    proto::Hit {
        key: u64::from(number) << 20,
        document: format!("document-{number}"),
        score: f64::from(number % 97),
    }
}

fn result(send: &SendAttempt) -> proto::PartResult {
    let hits = (0..HITS).map(|nth| hit(send.part * HITS + nth)).collect();
    proto::PartResult {
        correlation: 1,
        part: send.part,
        attempt: send.attempt,
        report: Some(proto::LaneReport {
            queue_us: 100,
            service_us: 2000,
            queued: 1,
            in_flight: 2,
            limit: 3,
            draining: false,
        }),
        held: vec![SNAPSHOT],
        outcome: Some(proto::part_result::Outcome::Hits(proto::Hits {
            snapshot: SNAPSHOT,
            range: Some(proto::KeyRange {
                start: send.range.start,
                end: send.range.end,
            }),
            truncated: false,
            hits,
        })),
    }
}

fn start(fleet: &Arc<Fleet>, now: Instant) -> (Query, Vec<Action>) {
    let planned = plan(&fleet.tables, &["svc"], HITS).expect("the service exists");
    let pin = fleet.pin(&planned, &[], now).expect("a snapshot is known");
    let request = Request {
        correlation: 1,
        deadline: now + Duration::from_secs(1),
        min_coverage: 0.9,
    };
    let mut query = Query::new(Arc::clone(fleet), planned, pin, request, SmallRng::seed_from_u64(1));
    let mut actions = Vec::new();
    query.on_start(now, &mut actions);
    (query, actions)
}

fn results(actions: &[Action]) -> Vec<proto::PartResult> {
    let sends = actions.iter().filter_map(|action| match action {
        Action::Send(send) => Some(result(send)),
        _ => None,
    });
    sends.collect()
}

fn finish(mut query: Query, results: Vec<proto::PartResult>, now: Instant) -> Query {
    let mut actions = Vec::new();
    for result in results {
        query.on_result(result, now, &mut actions);
    }
    assert!(query.is_finished());
    query
}

fn queries(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut group = criterion.benchmark_group("query");
    for parts in PARTS {
        let fleet = fleet(parts, now);
        group.throughput(Throughput::Elements(parts.into()));
        group.bench_function(format!("plan and pin, {parts} parts"), |bencher| {
            bencher.iter(|| {
                let planned = plan(&fleet.tables, &["svc"], HITS).expect("the service exists");
                fleet.pin(&planned, &[], now).expect("a snapshot is known")
            });
        });
        group.bench_function(format!("plan, pin and send, {parts} parts"), |bencher| {
            bencher.iter(|| start(&fleet, now));
        });
        let later = now + Duration::from_millis(3);
        group.bench_function(format!("results of 10 hits, {parts} parts"), |bencher| {
            let setup = || {
                let (query, actions) = start(&fleet, now);
                let results = results(&actions);
                (query, results)
            };
            bencher.iter_batched(
                setup,
                |(query, results)| finish(query, results, later),
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

fn merge(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("merge");
    let hits: Vec<proto::Hit> = (0..3900).map(hit).collect();
    group.throughput(Throughput::Elements(hits.len() as u64));
    for limit in [10, 1000] {
        group.bench_function(format!("3900 hits, best {limit}"), |bencher| {
            bencher.iter_batched(
                || hits.clone(),
                |hits| {
                    let mut merge = HitMerger::new(limit);
                    hits.into_iter().for_each(|hit| merge.push(0, hit));
                    merge.finish()
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

fn batch(parts: u32) -> Body {
    let part = |part| proto::Part {
        part,
        attempt: 0,
        searcher: format!("svc-{part}-0"),
        shard: format!("svc-{part}"),
        range: Some(proto::KeyRange {
            start: u64::from(part) << 22,
            end: u64::from(part + 1) << 22,
        }),
        fallback: false,
    };
    Body::Batch(proto::Batch {
        correlation: 1 << 40,
        request_id: "request-0123456789".to_owned(),
        class: proto::Class::Routine.into(),
        remaining_us: 140_000,
        snapshot: SNAPSHOT,
        revision: 123_456,
        query: Bytes::from_static(b"swimming pool closures this week"),
        limit: HITS,
        parts: (0..parts).map(part).collect(),
    })
}

fn single_result(now: Instant) -> Body {
    let (_, actions) = start(&fleet(1, now), now);
    Body::PartResult(results(&actions).remove(0))
}

fn encoded(body: Body) -> BytesMut {
    let mut bytes = BytesMut::new();
    FrameCodec::new()
        .encode(body, &mut bytes)
        .expect("the frame is within the size limit");
    bytes
}

fn frames(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("frame");
    let ping = Body::Ping(proto::Ping { nonce: 1 << 20 });
    let cases = [
        ("batch of 1 part", batch(1), 1),
        ("batch of 3 parts", batch(3), 3),
        ("batch of 10 parts", batch(10), 10),
        ("result of 10 hits", single_result(Instant::now()), 1),
        ("ping", ping, 1),
    ];
    for (name, body, parts) in cases {
        let bytes = encoded(body.clone());
        println!("{name}: {} bytes", bytes.len());
        group.throughput(Throughput::Elements(parts));
        group.bench_function(format!("encode {name}"), |bencher| {
            bencher.iter_batched(|| body.clone(), encoded, BatchSize::SmallInput);
        });
        group.bench_function(format!("decode {name}"), |bencher| {
            let decode = |mut bytes: BytesMut| FrameCodec::new().decode(&mut bytes).expect("the frame is complete");
            bencher.iter_batched(|| bytes.clone(), decode, BatchSize::SmallInput);
        });
    }
    group.finish();
}

fn arc_swap_load(criterion: &mut Criterion) {
    let version = ArcSwapOption::from_pointee(fleet(39, Instant::now()));
    let mut group = criterion.benchmark_group("arc-swap");
    group.bench_function("load", |bencher| bencher.iter(|| black_box(version.load().is_some())));
    group.bench_function("load_full", |bencher| bencher.iter(|| black_box(version.load_full())));
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(800))
        .configure_from_args();
    queries(&mut criterion);
    merge(&mut criterion);
    frames(&mut criterion);
    arc_swap_load(&mut criterion);
    criterion.final_summary();
}
