//! Time to validate a new document and to build its tables, at the size of the two-year plan.

use std::fmt::Write;
use std::hint::black_box;

use bytes::Bytes;
use criterion::Criterion;
use pimentoflow::version::build;
use pimentoflow::version::bundle::Bundle;
use pimentoflow::version::digest;
use pimentoflow::version::digest::HexDigest;
use pimentoflow::version::document::Document;
use pimentoflow::version::keys::KEY_SPACE;
use pimentoflow::version::validate::validate;

/// Number of indexes of the document. With 1,910 shards each, the document lists 80,220 searchers.
const INDEXES: u64 = 14;

/// Number of shards of each index. Each shard has three replicas.
const SHARDS: u64 = 1_910;

const POLICY: &str = "policy: {deadline: 150ms, max_deadline: 2s, min_coverage: 90%, hedge_budget: 2%, \
    retry_budget: 3%, routine_share: 10%, submissions: false, objectives: {latency: 100ms, latency_ratio: 99%, \
    coverage_ratio: 99.9%, extra_load: 5%}}";

fn part(index: u64, slots: u32) -> Bytes {
    let mut text = format!("index: ix{index}\n{POLICY}\nservices:\n  - name: svc{index}\n    shards:\n");
    for shard in 0..SHARDS {
        let start = KEY_SPACE * shard / SHARDS;
        let end = KEY_SPACE * (shard + 1) / SHARDS;
        let _ = writeln!(
            text,
            "      - name: s{shard}\n        range: {{start: {start}, end: {end}}}\n        replicas:"
        );
        for replica in 0..3 {
            let number = (index * SHARDS + shard) * 3 + replica;
            let address = format!("10.{}.{}.{}:7001", number >> 16, (number >> 8) & 255, number & 255);
            let _ = writeln!(
                text,
                "          - {{searcher: x{number}, address: {address}, data_centre: dc-{replica}, slots: {slots}, \
                 connections: 30, connect_cost: 6ms}}",
            );
        }
    }
    text.into()
}

fn bundle(slots: u32) -> Bundle {
    let parts: Vec<Bytes> = (0..INDEXES)
        .map(|index| part(index, if index == 0 { slots } else { 3 }))
        .collect();
    let mut root = "schema: 1\nrevision: 1\nclaims: {tolerated_views: 4, remote_reserve: 4}\nparts:\n".to_owned();
    for (index, bytes) in parts.iter().enumerate() {
        let sha256 = HexDigest(digest::sha256(bytes));
        let _ = writeln!(root, "  - {{name: ix{index}, sha256: {sha256}}}");
    }
    Bundle::new(root.into(), parts)
}

fn parse_document(bundle: &Bundle, previous: Option<&Document>) -> Document {
    bundle.document_reusing(previous).expect("the document is valid")
}

fn configuration(criterion: &mut Criterion) {
    let bundle_before = bundle(3);
    let bundle_after = bundle(2);
    let before = parse_document(&bundle_before, None);
    let mut group = criterion.benchmark_group("configuration, 80220 searchers");
    group.sample_size(10);
    group.bench_function("document, all parts new", |bencher| {
        bencher.iter(|| parse_document(black_box(&bundle_after), None));
    });
    group.bench_function("document, one part new", |bencher| {
        bencher.iter(|| parse_document(black_box(&bundle_after), Some(&before)));
    });
    group.bench_function("validation", |bencher| bencher.iter(|| validate(black_box(&before))));
    group.bench_function("tables", |bencher| bencher.iter(|| build::tables(black_box(&before))));
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    configuration(&mut criterion);
    criterion.final_summary();
}
