//! Tests of the dissemination: the document in effect never decreases, and processes that reach each other converge.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use indexmap::IndexMap;
use pimentoflow::process::dissemination::Action;
use pimentoflow::process::dissemination::Dissemination;
use pimentoflow::process::dissemination::DocumentKey;
use pimentoflow::process::dissemination::FLEET_READS_PER_SECOND;
use pimentoflow::process::dissemination::Outline;
use pimentoflow::process::dissemination::PlatformResponse;
use pimentoflow::process::dissemination::ReadBudget;
use pimentoflow::process::dissemination::Settings;
use pimentoflow::process::dissemination::patch;
use pimentoflow::process::membership::Instance;
use pimentoflow::process::membership::Role;
use pimentoflow::process::membership::State;
use pimentoflow::process::membership::View;
use pimentoflow::wire::proto;
use pimentoflow::wire::proto::frame::Body;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sha2::Digest as _;
use sha2::Sha256;

/// Part of every document.
const PART: &[u8] = b"part";

/// Creates a root as the text `revision filler variant`. The filler makes it long enough for patches. A document with
/// variant 9 is invalid.
fn make_root(revision: u64, variant: u8) -> Bytes {
    let filler: String = (0..60).map(|n| format!("{n:04},")).collect();
    format!("{revision} {filler} {variant}").into()
}

fn outline(root: &[u8]) -> Result<Outline, Box<str>> {
    let text = std::str::from_utf8(root).map_err(|error| error.to_string())?;
    let revision = text.split(' ').next().and_then(|word| word.parse().ok());
    Ok(Outline {
        revision: revision.ok_or("no revision")?,
        parts: vec![Sha256::digest(PART).into()],
    })
}

fn view(count: usize, centres: usize) -> Arc<View> {
    let instances = (0..count).map(|node| {
        let instance = Instance {
            role: Role::Leaf,
            data_centre: format!("dc{}", node % centres).into(),
            address: None,
            state: State::Up,
            incarnation: 1,
        };
        (format!("n{node}").into(), instance)
    });
    Arc::new(View {
        instances: instances.collect(),
        fleet_size: count,
        version: 1,
        current: true,
        ..View::default()
    })
}

fn start(node: usize, centres: usize, now: Instant) -> Dissemination {
    let settings = Settings {
        instance: format!("n{node}").into(),
        data_centre: format!("dc{}", node % centres).into(),
        fleet_size: 24,
    };
    Dissemination::new(settings, SmallRng::seed_from_u64(node as u64), now)
}

struct Cluster {
    now: Instant,
    nodes: Vec<Dissemination>,
    queue: VecDeque<(usize, usize, Body)>,
    in_effect: Vec<Option<DocumentKey>>,
    root: Option<Bytes>,
    /// Version of the root on the platform.
    root_version: u64,
    /// Versions after which reads of the root waited.
    waits_after: Vec<u64>,
    /// One bit for each process: whether it reaches the platform.
    reaches_platform: u8,
    serving: Vec<bool>,
}

impl Cluster {
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let view = view(count, 2);
        let mut nodes: Vec<Dissemination> = (0..count).map(|node| start(node, 2, now)).collect();
        nodes.iter_mut().for_each(|node| node.on_view(Arc::clone(&view), now));
        Self {
            now,
            nodes,
            queue: VecDeque::new(),
            in_effect: vec![None; count],
            root: None,
            root_version: 1,
            waits_after: Vec::new(),
            reaches_platform: u8::MAX,
            serving: vec![false; count],
        }
    }

    fn tick(&mut self, gap: Duration, paused: Option<usize>) {
        self.now += gap;
        for node in 0..self.nodes.len() {
            let mut actions = Vec::new();
            let pause = (paused == Some(node)).then_some(gap);
            self.nodes[node].on_tick(self.now, pause, &mut actions);
            self.apply(node, actions);
        }
    }

    fn deliver(&mut self) {
        let Some((from, to, body)) = self.queue.pop_front() else {
            return;
        };
        let name = format!("n{from}");
        let mut actions = Vec::new();
        let node = &mut self.nodes[to];
        match body {
            Body::Digest(message) => node.on_digest(&name, &message, self.now, &mut actions),
            Body::Fetch(message) => node.on_fetch(&name, &message, self.now, &mut actions),
            Body::Parts(message) => node.on_parts(&name, &message, self.now, &mut actions),
            other => panic!("unexpected message {other:?}"),
        }
        self.apply(to, actions);
    }

    /// Corrupts the root, or the patch to it, in the first queued `Parts` message. The parts in the message stay as
    /// they are.
    fn corrupt(&mut self) {
        let bodies = self.queue.iter_mut().map(|(_, _, body)| body);
        let Some(parts) = bodies.into_iter().find_map(|body| match body {
            Body::Parts(parts) => Some(parts),
            _ => None,
        }) else {
            return;
        };
        match &mut parts.root_patch {
            Some(patch) => patch.spans.truncate(1),
            None => parts.root_body = Bytes::from_static(b"altered"),
        }
    }

    fn apply(&mut self, node: usize, actions: Vec<Action>) {
        let mut next = Vec::new();
        let now = self.now;
        for action in actions {
            let machine = &mut self.nodes[node];
            match action {
                Action::Send { to, body } => {
                    let to = to[1..].parse().expect("process names end with a number");
                    self.queue.push_back((node, to, body));
                }
                Action::ReadRoot { after, .. } => {
                    self.waits_after.extend(after);
                    let root = self.root.clone().filter(|_| self.reaches_platform >> node & 1 == 1);
                    let response = match root {
                        Some(body) => PlatformResponse::Value {
                            version: self.root_version,
                            body,
                        },
                        None => PlatformResponse::Failed { retry_after: None },
                    };
                    machine.on_platform_root(response, now, &mut next);
                }
                Action::ReadPart { digest } => {
                    machine.on_platform_part(digest, Some(Bytes::from_static(PART)), now, &mut next);
                }
                Action::Parse { root, body } => machine.on_outline(root, outline(&body), now, &mut next),
                Action::Validate(document) => {
                    let valid = !document.root.ends_with(b" 9");
                    let result = if valid { Ok(()) } else { Err("invalid".into()) };
                    machine.on_validated(document.key, result, now, &mut next);
                }
                Action::PutInEffect(document) => {
                    assert!(
                        self.in_effect[node] < Some(document.key),
                        "the document in effect decreased"
                    );
                    assert!(!document.root.ends_with(b" 9"), "an invalid document is in effect");
                    assert_eq!(document.key.root, <[u8; 32]>::from(Sha256::digest(&document.root)));
                    self.in_effect[node] = Some(document.key);
                }
                Action::SetCurrent(current) => {
                    assert!(
                        !current || self.in_effect[node].is_some(),
                        "process serves without a document"
                    );
                    self.serving[node] = current;
                }
                Action::Report(_) => {}
            }
        }
        if !next.is_empty() {
            self.apply(node, next);
        }
    }

    /// Runs with the platform and all connections available.
    fn run_connected(&mut self, ticks: usize) {
        self.reaches_platform = u8::MAX;
        for _ in 0..ticks {
            self.tick(Duration::from_millis(100), None);
            while !self.queue.is_empty() {
                self.deliver();
            }
        }
    }
}

/// Guards against a revision that decreases, an invalid or corrupted document in effect, and processes that do not
/// converge once they reach each other. The steps lose, repeat, reorder and corrupt messages, pause processes, cut off
/// the platform, and publish invalid documents and documents with equal revisions.
#[test]
fn revision_never_decreases_and_processes_converge() {
    property_check::check()
        .with_iterations(30)
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|steps| {
            let mut cluster = Cluster::new(5);
            let mut published: Vec<Bytes> = Vec::new();
            for (step, value) in steps {
                match step % 8 {
                    0 => {
                        let root = make_root(u64::from(value % 16) + 1, value / 16 % 10);
                        published.push(root.clone());
                        cluster.root = Some(root);
                    }
                    1 => cluster.reaches_platform = *value,
                    2 => drop(cluster.queue.pop_front()),
                    3 if *value > 200 => cluster.corrupt(),
                    3 => cluster.queue.rotate_left(usize::from(*value).min(cluster.queue.len())),
                    4 => {
                        if let Some(first) = cluster.queue.front().cloned() {
                            cluster.queue.push_back(first);
                        }
                    }
                    5 => cluster.tick(Duration::from_millis(u64::from(*value) * 20), None),
                    6 => cluster.tick(Duration::from_secs(2), Some(usize::from(value % 5))),
                    _ => (0..*value / 8).for_each(|_| cluster.deliver()),
                }
            }
            let seen = cluster.in_effect.iter().max().copied().flatten();
            cluster.run_connected(400);
            let first = cluster.in_effect[0];
            assert!(
                cluster.in_effect.iter().all(|key| *key == first),
                "processes did not converge: {:?}",
                cluster.in_effect
            );
            assert!(first >= seen);
            let last = published.last().filter(|root| !root.ends_with(b" 9"));
            let last = last.map(|root| DocumentKey {
                revision: outline(root).expect("published roots are valid").revision,
                root: Sha256::digest(root).into(),
            });
            assert!(first >= last, "the document of the platform is not in effect");
            assert!(cluster.serving.iter().all(|serving| *serving == first.is_some()));
        });
}

/// Guards against too many readers on the platform: under equal views there are at most two in each data centre, and
/// one or two in every data centre that has a process.
#[test]
fn two_readers_in_each_data_centre() {
    for count in 1..40 {
        for centres in 1..4 {
            let now = Instant::now();
            let view = view(count, centres);
            let mut readers: IndexMap<usize, usize> = IndexMap::new();
            for node in 0..count {
                let mut machine = start(node, centres, now);
                machine.on_view(Arc::clone(&view), now);
                *readers.entry(node % centres).or_default() += usize::from(machine.is_reader());
            }
            for (centre, found) in readers {
                let processes = (centre..count).step_by(centres).count();
                assert_eq!(found, processes.min(2), "{count} processes in {centres} data centres");
            }
        }
    }
}

/// Guards against a process that acts on an outdated configuration after a pause. Only a reply to a probe sent after
/// the pause counts, not a message that was sent before and is read after it.
#[test]
fn a_paused_process_checks_before_it_serves() {
    let mut cluster = Cluster::new(5);
    cluster.root = Some(make_root(1, 0));
    cluster.run_connected(50);
    let revision = |cluster: &Cluster| {
        cluster
            .in_effect
            .iter()
            .map(|key| key.map_or(0, |key| key.revision))
            .max()
    };
    assert!(cluster.serving.iter().all(|serving| *serving));
    cluster.tick(Duration::from_secs(10), Some(2));
    assert!(!cluster.serving[2], "the process serves without a check");
    let stale = proto::Digest {
        revision: 1,
        root: Bytes::copy_from_slice(&Sha256::digest(make_root(1, 0))),
        ..proto::Digest::default()
    };
    for _ in 0..4 {
        cluster.queue.push_front((0, 2, Body::Digest(stale.clone())));
        cluster.deliver();
    }
    assert!(!cluster.serving[2], "a message from before the pause ended the check");
    cluster.run_connected(5);
    assert!(cluster.serving[2]);
    assert_eq!(revision(&cluster), Some(1));
}

/// Guards against a fleet that exceeds the platform's limit: after their first tokens, the buckets of all processes
/// together must allow no more than the rate of the fleet.
#[test]
fn read_budgets_add_up_to_the_fleet_rate() {
    const SECONDS: usize = 30;
    for fleet in [24_usize, 500, 11_000] {
        let start = Instant::now();
        let mut bucket = ReadBudget::new(fleet, start);
        let steps = 0..SECONDS * 100;
        let taken = steps
            .filter(|step| bucket.try_take(start + Duration::from_millis(10) * *step as u32))
            .count();
        let allowed = 1.0 + SECONDS as f64 * FLEET_READS_PER_SECOND / fleet as f64;
        assert!(taken as f64 <= allowed, "{taken} reads by one of {fleet}");
    }
}

/// Guards against a patch that does not reproduce its target, and against a malformed patch of a peer that makes a
/// process panic or exhaust its memory.
#[test]
fn patches_reproduce_their_target() {
    property_check::check()
        .with_iterations(2_000)
        .with_type::<(Vec<u8>, Vec<(u16, u8)>, Vec<(u32, u32)>)>()
        .for_each(|(base, edits, spans)| {
            let base: Vec<u8> = base.iter().cycle().take(base.len() * 8).copied().collect();
            let mut target = base.clone();
            for (at, byte) in edits {
                target.insert(usize::from(*at) % (target.len() + 1), *byte);
            }
            if let Some(made) = patch::diff(b"base", &base, &target) {
                assert_eq!(patch::apply(&base, &made).as_deref(), Some(&*target));
            }
            let spans = spans.iter().map(|(offset, length)| proto::Span {
                offset: *offset,
                length: *length,
                insert: Bytes::new(),
            });
            let malformed = proto::Patch {
                base: Bytes::new(),
                spans: spans.collect(),
            };
            let made = patch::apply(&base, &malformed);
            assert!(made.is_none_or(|content| content.len() <= 1024 * 1024));
        });
}

/// Guards against a small change that transfers the whole document: it must be fetched as a patch, and in full if the
/// patch is wrong.
#[test]
fn a_small_change_is_fetched_as_a_patch() {
    let mut cluster = Cluster::new(5);
    cluster.root = Some(make_root(1, 0));
    cluster.run_connected(50);
    cluster.root = Some(make_root(2, 0));
    cluster.reaches_platform = 0b11;
    let mut patches = 0;
    let mut corrupted = false;
    let mut fetched_fully = false;
    for _ in 0..150 {
        cluster.tick(Duration::from_millis(100), None);
        while !cluster.queue.is_empty() {
            if let Some((_, _, Body::Parts(parts))) = cluster.queue.front_mut()
                && let Some(patch) = &mut parts.root_patch
            {
                patches += 1;
                if !corrupted {
                    patch.spans.truncate(1);
                    corrupted = true;
                }
            }
            if let Some((_, _, Body::Fetch(fetch))) = cluster.queue.front() {
                fetched_fully |= corrupted && fetch.base.is_empty();
            }
            cluster.deliver();
        }
    }
    assert!(patches > 0 && corrupted);
    assert!(fetched_fully, "the content was not fetched again without patches");
    assert!(cluster.in_effect.iter().flatten().all(|key| key.revision == 2));
}

/// Guards against a process that stays out of date because it receives no digest: a peer that gets a lower digest must
/// reply with its own.
#[test]
fn a_peer_with_a_lower_revision_is_notified() {
    let mut cluster = Cluster::new(5);
    cluster.root = Some(make_root(4, 0));
    cluster.run_connected(50);
    let lower = proto::Digest {
        revision: 3,
        root: Bytes::copy_from_slice(&[0; 32]),
        ..proto::Digest::default()
    };
    let mut actions = Vec::new();
    cluster.nodes[0].on_digest("n1", &lower, cluster.now, &mut actions);
    let notified = actions.iter().any(|action| {
        matches!(action, Action::Send { to, body: Body::Digest(digest) } if **to == *"n1" && digest.revision == 4)
    });
    assert!(notified);
}

/// Guards against a rejected revision that blocks a lower valid one, as when a correction is published under a number
/// in between.
#[test]
fn a_rejected_revision_does_not_block_a_lower_one() {
    let mut cluster = Cluster::new(5);
    for (revision, variant) in [(7, 2), (12, 9), (9, 5)] {
        cluster.root = Some(make_root(revision, variant));
        cluster.run_connected(50);
    }
    assert!(cluster.in_effect.iter().flatten().all(|key| key.revision == 9));
}

/// Guards against a reader that waits for changes after a version that a restored platform has not reached again, so
/// that each change takes effect only with the next read without a version.
#[test]
fn a_reader_waits_from_the_version_of_a_restored_platform() {
    let mut cluster = Cluster::new(2);
    cluster.root = Some(make_root(7, 0));
    cluster.root_version = 50;
    cluster.run_connected(50);
    assert_eq!(cluster.waits_after.last(), Some(&50));
    cluster.root_version = 20;
    // Longer than the interval of reads without a version.
    cluster.run_connected(600);
    cluster.waits_after.clear();
    cluster.run_connected(50);
    assert!(!cluster.waits_after.is_empty());
    assert!(cluster.waits_after.iter().all(|after| *after == 20));
}
