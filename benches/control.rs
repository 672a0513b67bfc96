//! Time of the control path (placement, membership, dissemination) at increasing fleet sizes.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use criterion::Criterion;
use indexmap::IndexMap;
use pimentoflow::ids::SearcherId;
use pimentoflow::process::dissemination;
use pimentoflow::process::dissemination::Dissemination;
use pimentoflow::process::dissemination::Document;
use pimentoflow::process::dissemination::DocumentKey;
use pimentoflow::process::dissemination::Outline;
use pimentoflow::process::fleet::Fleet;
use pimentoflow::process::membership;
use pimentoflow::process::membership::Instance;
use pimentoflow::process::membership::ItemKind;
use pimentoflow::process::membership::ListItem;
use pimentoflow::process::membership::Membership;
use pimentoflow::process::membership::PlatformList;
use pimentoflow::process::membership::Role;
use pimentoflow::process::membership::State;
use pimentoflow::process::membership::View;
use pimentoflow::process::ownership::placement::Placement;
use pimentoflow::process::ownership::roles::Roles;
use pimentoflow::version::digest;
use pimentoflow::version::tables::Tables;
use pimentoflow::wire::proto;
use pimentoflow::wire::proto::frame::Body;
use prost::Message;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use testkit::ServiceShape;
use testkit::TablesBuilder;

/// Number of leaves per data centre in the two-year plan.
const LEAVES: usize = 141;

/// Number of searchers per data centre in the two-year plan.
const SEARCHERS: usize = 2050;

/// Number of data centres in the two-year plan.
const CENTRES: usize = 39;

const ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 7000);

fn view(leaves: usize, centres: usize) -> View {
    let mut view = View::default();
    for nth in 0..leaves * centres {
        let instance = Instance {
            role: Role::Leaf,
            data_centre: format!("dc-{}", nth % centres).into(),
            address: Some(ADDRESS.into()),
            state: State::Up,
            incarnation: 1,
        };
        view.instances.insert(format!("leaf-{nth}").into(), instance);
    }
    view
}

fn build(searchers: usize, centres: usize, view: &View) -> Placement {
    let names: Vec<(String, String)> = (0..searchers * centres)
        .map(|nth| (format!("searcher-{nth}"), format!("dc-{}", nth % centres)))
        .collect();
    Placement::from_searchers(names.iter().map(|(id, centre)| (&**id, &**centre)), view)
}

fn placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for (leaves, searchers, centres) in [(20, 300, 1), (LEAVES, SEARCHERS, 1), (LEAVES, SEARCHERS, CENTRES)] {
        let name = format!("{leaves} leaves, {searchers} searchers, {centres} centres");
        let all = view(leaves, centres);
        let mut without = all.clone();
        without.instances.shift_remove("leaf-0");
        let mut placement = build(searchers, centres, &all);
        group.bench_function(format!("build, {name}"), |bencher| {
            bencher.iter(|| build(searchers, centres, &all));
        });
        let before = placement.score_count();
        let changed = placement.update(&without).len();
        println!(
            "{name}: one leaf gone, {} scores, {changed} searchers",
            placement.score_count() - before
        );
        placement.update(&all);
        group.bench_function(format!("leaf gone and back, {name}"), |bencher| {
            bencher.iter(|| {
                black_box(placement.update(&without).len());
                black_box(placement.update(&all).len())
            });
        });
        let names: Vec<SearcherId> = (0..searchers * centres)
            .map(|nth| format!("searcher-{nth}").into())
            .collect();
        let mut roles = Roles::new("leaf-1".into());
        group.bench_function(format!("roles, {name}"), |bencher| {
            bencher.iter(|| roles.update(names.iter(), &placement, &all, Instant::now()));
        });
        group.bench_function(format!("clone, {name}"), |bencher| bencher.iter(|| placement.clone()));
    }
    group.finish();
}

/// Returns tables of 13 services. The replicas of each service are in three data centres of its own.
fn tables() -> Tables {
    let services = (0..CENTRES / 3).map(|nth| {
        let centres = [0, 1, 2].map(|replica| format!("dc-{}", nth * 3 + replica));
        let names: Vec<&str> = centres.iter().map(|name| &**name).collect();
        ServiceShape::new(&format!("svc{nth}"), SEARCHERS as u32, &names)
    });
    let services: Vec<ServiceShape> = services.collect();
    TablesBuilder::new(1).index("ix", &services).build()
}

/// Measures the update of the placement for a revision that changes one searcher.
fn revision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("revision");
    let all = view(LEAVES, CENTRES);
    let known = tables();
    let mut next = tables();
    next.searchers[7].slots = 2;
    let count = known.searchers.len();
    let mut placement = Placement::new(&known, &all);
    group.bench_function(format!("ranks computed again, {count} searchers"), |bencher| {
        bencher.iter(|| Placement::new(&next, &all));
    });
    group.bench_function(format!("ranks carried over, {count} searchers"), |bencher| {
        bencher.iter(|| placement.update_tables(&known, &next, &all));
    });
    group.finish();
}

fn hello(nth: usize) -> proto::Hello {
    proto::Hello {
        protocol: 1,
        instance: format!("leaf-{nth}"),
        incarnation: 1,
        data_centre: format!("dc-{}", nth % CENTRES),
        role: proto::Role::Leaf.into(),
        revision: 1,
    }
}

fn new_membership(count: usize, now: Instant) -> Membership {
    let settings = membership::Settings {
        instance: "own".into(),
        role: Role::Leaf,
        data_centre: "dc-0".into(),
        address: ADDRESS.into(),
        incarnation: 1,
    };
    let entries = (0..count).map(|nth| ListItem {
        id: format!("leaf-{nth}").into(),
        kind: ItemKind::Instance(Role::Leaf),
        data_centre: format!("dc-{}", nth % CENTRES).into(),
        address: ADDRESS.into(),
        leaving: false,
    });
    let list = PlatformList {
        version: 1,
        entries: entries.collect(),
    };
    let mut members = Membership::new(settings, SmallRng::seed_from_u64(1), now);
    let mut actions = Vec::new();
    members.on_list(list, now, &mut actions);
    members.on_session_opened(&hello(0), now, &mut actions);
    members.on_session_opened(&hello(1), now, &mut actions);
    members
}

fn membership(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("membership");
    for count in [376, 1500, 11_000] {
        let mut now = Instant::now();
        let mut members = new_membership(count, now);
        let mut actions = Vec::new();
        group.bench_function(format!("pong, {count} instances"), |bencher| {
            bencher.iter(|| {
                now += Duration::from_micros(1);
                members.on_heard("leaf-0", now, &mut actions);
                actions.clear();
            });
        });
        group.bench_function(format!("tick and pong, {count} instances"), |bencher| {
            bencher.iter(|| {
                now += Duration::from_micros(1);
                members.on_tick(now, None, &mut actions);
                members.on_heard("leaf-0", now, &mut actions);
                actions.clear();
            });
        });
        let signals = proto::Signals {
            checksum: 0,
            current: true,
            ..proto::Signals::default()
        };
        group.bench_function(format!("signals without news, {count} instances"), |bencher| {
            bencher.iter(|| {
                members.on_signals("leaf-0", &signals, now, &mut actions);
                actions.clear();
            });
        });
        // The benchmarks above advanced the clock by an arbitrary time, so any instance may be suspect. After these
        // ticks the silent leaf-0 is down and leaf-1 is up.
        for _ in 0..3 {
            now += Duration::from_secs(20);
            members.on_heard("leaf-1", now, &mut actions);
            members.on_tick(now, None, &mut actions);
        }
        actions.clear();
        group.bench_function(format!("session lost and found, {count} instances"), |bencher| {
            bencher.iter(|| {
                now += Duration::from_secs(20);
                members.on_session_lost("leaf-1", now, &mut actions);
                members.on_session_opened(&hello(1), now, &mut actions);
                // Repeated failures delay the return by at most 16 s. A silent instance would become suspect meanwhile.
                now += Duration::from_secs(20);
                members.on_heard("leaf-1", now, &mut actions);
                members.on_tick(now, None, &mut actions);
                let views = actions
                    .iter()
                    .filter(|action| matches!(action, membership::Action::Publish(_)));
                assert_eq!(views.count(), 2, "the instance becomes suspect once and up again once");
                actions.clear();
            });
        });
    }
    group.finish();
}

/// Peer that holds a document whose parts have distinct digests.
struct Source {
    document: Document,
    bodies: Vec<Bytes>,
    revision: u64,
}

fn text(number: u64, size: usize) -> Bytes {
    Bytes::from(format!("{number:08}").repeat(size / 8))
}

impl Source {
    fn new(parts: usize, size: usize) -> Self {
        let body = |nth: usize| text(nth as u64, size);
        let bodies: Vec<Bytes> = (0..parts).map(body).collect();
        let document = Self::document(1, &bodies, None);
        Self {
            document,
            bodies,
            revision: 1,
        }
    }

    fn document(revision: u64, bodies: &[Bytes], before: Option<(&Document, usize)>) -> Document {
        let parts: IndexMap<_, _> = match before {
            // Hashes only the changed part, to keep the cost of the source out of the measurement.
            Some((before, changed)) => {
                let kept = before.parts.iter().enumerate();
                let next = kept.map(|(nth, (known, body))| {
                    if nth == changed {
                        (digest::sha256(&bodies[nth]), bodies[nth].clone())
                    } else {
                        (*known, body.clone())
                    }
                });
                next.collect()
            }
            None => bodies.iter().map(|body| (digest::sha256(body), body.clone())).collect(),
        };
        let mut root = format!("revision {revision}\n");
        for (nth, part) in parts.keys().enumerate() {
            root.push_str(&format!(
                "  - {{name: ix{nth:04}, sha256: {}}}\n",
                digest::HexDigest(*part)
            ));
        }
        let root = Bytes::from(root);
        let key = DocumentKey {
            revision,
            root: digest::sha256(&root),
        };
        Document { key, root, parts }
    }

    fn change(&mut self) {
        self.revision += 1;
        let changed = self.revision as usize % self.bodies.len();
        let size = self.bodies[changed].len();
        self.bodies[changed] = text(1_000_000 + self.revision, size);
        self.document = Self::document(self.revision, &self.bodies, Some((&self.document, changed)));
    }

    fn to_digest(&self) -> proto::Digest {
        proto::Digest {
            revision: self.revision,
            root: Bytes::copy_from_slice(&self.document.key.root),
            age_us: 0,
            ask: 0,
            answer: 0,
        }
    }

    fn answer(&self, fetch: &proto::Fetch) -> proto::Parts {
        let wanted = fetch.parts.iter().map(|name| {
            let key: [u8; 32] = name[..].try_into().expect("a digest has 32 bytes");
            proto::PartBody {
                digest: name.clone(),
                body: self.document.parts[&key].clone(),
                ..proto::PartBody::default()
            }
        });
        let is_root = fetch.parts.is_empty();
        proto::Parts {
            revision: self.revision,
            root: Bytes::copy_from_slice(&self.document.key.root),
            root_body: if is_root {
                self.document.root.clone()
            } else {
                Bytes::new()
            },
            parts: wanted.collect(),
            ..proto::Parts::default()
        }
    }
}

/// Transfers the document of `source` to `machine` and returns the number of bytes exchanged.
fn deliver(machine: &mut Dissemination, source: &Source, now: Instant) -> usize {
    let mut actions = Vec::new();
    let mut bytes = source.to_digest().encoded_len();
    machine.on_digest("peer", &source.to_digest(), now, &mut actions);
    while let Some(action) = actions.pop() {
        match action {
            dissemination::Action::Send {
                body: Body::Fetch(fetch),
                ..
            } => {
                let parts = source.answer(&fetch);
                bytes += fetch.encoded_len() + parts.encoded_len();
                machine.on_parts("peer", &parts, now, &mut actions);
            }
            dissemination::Action::Parse { root, .. } => {
                let outline = Outline {
                    revision: source.revision,
                    parts: source.document.parts.keys().copied().collect(),
                };
                machine.on_outline(root, Ok(outline), now, &mut actions);
            }
            dissemination::Action::Validate(document) => {
                machine.on_validated(document.key, Ok(()), now, &mut actions);
            }
            _ => {}
        }
    }
    let in_effect = machine.in_effect().map(|document| document.key.revision);
    assert_eq!(in_effect, Some(source.revision));
    bytes
}

fn new_dissemination(now: Instant) -> Dissemination {
    let settings = dissemination::Settings {
        instance: "own".into(),
        data_centre: "dc-0".into(),
        fleet_size: 24,
    };
    let mut machine = Dissemination::new(settings, SmallRng::seed_from_u64(1), now);
    let mut fleet = view(LEAVES * 2, CENTRES);
    fleet.version = 1;
    fleet.fleet_size = fleet.instances.len();
    machine.on_view(Arc::new(fleet), now);
    machine
}

fn dissemination(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut group = criterion.benchmark_group("dissemination");
    for (parts, size) in [(14, 700_000), (100, 98_000), (330, 29_700), (2450, 4_000)] {
        let mut machine = new_dissemination(now);
        let mut source = Source::new(parts, size);
        let first = deliver(&mut machine, &source, now);
        source.change();
        let bytes = deliver(&mut machine, &source, now);
        println!("{parts} parts of {size} bytes: first {first} bytes, change {bytes} bytes");
        group.bench_function(format!("change, {parts} parts of {size} bytes"), |bencher| {
            bencher.iter(|| {
                source.change();
                deliver(&mut machine, &source, now)
            });
        });
        let known = source.to_digest();
        let mut actions = Vec::new();
        group.bench_function(format!("digest without news, {parts} parts"), |bencher| {
            bencher.iter(|| {
                machine.on_digest("peer", &known, now, &mut actions);
                actions.clear();
            });
        });
    }
    let mut machine = new_dissemination(now);
    let fleet = Arc::new(view(LEAVES * 2, CENTRES));
    group.bench_function("new view of 10998 instances", |bencher| {
        bencher.iter(|| machine.on_view(Arc::clone(&fleet), now));
    });
    group.finish();
}

/// Measures how an entry applies a new revision, which carries over the observations of all searchers.
fn next_revision(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut group = criterion.benchmark_group("fleet of an entry");
    for shards in [390, 3900, 26_667] {
        let shape = ServiceShape::new("svc", shards, &["dc-0", "dc-1", "dc-2"]);
        let tables = Arc::new(TablesBuilder::new(1).index("ix", &[shape]).build());
        let fleet = Fleet::new(Arc::clone(&tables), "dc-0", now);
        group.bench_function(format!("succeed, {} searchers", shards * 3), |bencher| {
            bencher.iter(|| fleet.next_revision(Arc::clone(&tables), now));
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(800))
        .configure_from_args();
    placement(&mut criterion);
    revision(&mut criterion);
    membership(&mut criterion);
    dissemination(&mut criterion);
    next_revision(&mut criterion);
    criterion.final_summary();
}
