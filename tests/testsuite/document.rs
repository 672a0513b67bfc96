//! Parsing of documents: tables, digests, error positions, and robustness against corrupted input.

use std::sync::Arc;

use bytes::Bytes;
use pimentoflow::ids::Digest;
use pimentoflow::version::bundle::Bundle;
use pimentoflow::version::bundle::MAX_VALUE_BYTES;
use pimentoflow::version::digest;
use pimentoflow::version::digest::HexDigest;
use pimentoflow::version::document::Part;
use pimentoflow::version::document::Root;
use pimentoflow::version::finding::Finding;
use pimentoflow::version::finding::Findings;
use pimentoflow::version::keys::KeyRange;

pub(crate) const PART: &str = "\
index: plan
policy: &policy
  deadline: 150ms
  max_deadline: 2s
  min_coverage: 90%
  hedge_budget: 2%
  retry_budget: 3%
  routine_share: 10%
  submissions: false
  objectives: {latency: 100ms, latency_ratio: 99%, coverage_ratio: 99.9%, extra_load: 5%}
services:
  - name: plan-1
    shards:
      - name: s1
        range: {start: 0, end: 1000}
        replicas:
          - {searcher: p1-a, address: 127.0.0.1:7001, data_centre: dc-a, slots: 3, connections: 30, connect_cost: 6ms}
          - {searcher: p1-b, address: 127.0.0.1:7002, data_centre: dc-b, slots: 3, connections: 30, connect_cost: 6ms}
      - name: s2
        range: {start: 1000, end: 4294967296}
        replicas:
          - {searcher: p2-a, address: 127.0.0.1:7003, data_centre: dc-a, slots: 3, connections: 30, connect_cost: 6ms}
  - name: plan-2
    policy: *policy
    shards:
      - name: s3
        range: {start: 0, end: 4294967296}
        replicas:
          - {searcher: p3-a, address: 127.0.0.1:7004, data_centre: dc-a, slots: 3, connections: 30, connect_cost: 6ms}
";

pub(crate) fn root_text(part: &str) -> String {
    let sha256 = HexDigest(digest::sha256(part.as_bytes()));
    format!(
        "schema: 1\nrevision: 7\nclaims: {{tolerated_views: 4, remote_reserve: 4}}\nparts:\n  - {{name: plan, sha256: {sha256}}}\n"
    )
}

pub(crate) fn bundle(root: &str, part: &str) -> Bundle {
    Bundle::new(
        Bytes::copy_from_slice(root.as_bytes()),
        [Bytes::copy_from_slice(part.as_bytes())],
    )
}

pub(crate) fn findings(bundle: &Bundle) -> Vec<Finding> {
    bundle.document().err().map(|Findings(list)| list).unwrap_or_default()
}

/// Replaces the first occurrence of `from`. Panics if there is none, so that no test case uses an unchanged document.
pub(crate) fn replace(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{from}");
    text.replacen(from, to, 1)
}

/// Guards against tables that omit a searcher or a policy, or do not keep the order of the document.
#[test]
fn a_valid_document_gives_its_tables() {
    let bundle = bundle(&root_text(PART), PART);
    let tables = bundle.tables().expect("the document is valid");
    assert_eq!(tables.revision, 7);
    assert_eq!(tables.digest, digest::sha256(&bundle.root));
    let names: Vec<&str> = tables.searchers.keys().map(|name| &**name).collect();
    assert_eq!(names, ["p1-a", "p1-b", "p2-a", "p3-a"]);
    let (index, service) = tables.service("plan-1").expect("the service exists");
    assert_eq!(&**index, "plan");
    assert_eq!(service.shards[0].range, KeyRange { start: 0, end: 1000 });
    assert_eq!(service.shards[0].replicas, [0, 1]);
    assert_eq!(service.shards[1].replicas, [2]);
    assert_eq!(tables.searcher(1).data_centre, "dc-b".into());
    assert!((service.policy.objectives.coverage_ratio - 0.999).abs() < 1e-12);
}

/// Guards against accepting a part that is missing or changed, and a root or part above the size limit of a value.
#[test]
fn parts_must_be_present_and_small() {
    let root = root_text(PART);
    let changed = replace(PART, "slots: 3", "slots: 2");
    let found = findings(&bundle(&root, &changed));
    assert_eq!(&*found[0].path, "root.parts[0].sha256");

    let padding = |size: usize| format!("{PART}#{}", " ".repeat(size - PART.len() - 1));
    let largest = padding(MAX_VALUE_BYTES - 1);
    assert_eq!(findings(&bundle(&root_text(&largest), &largest)), []);
    let too_large = padding(MAX_VALUE_BYTES);
    let found = findings(&bundle(&root_text(&too_large), &too_large));
    assert_eq!(&*found[0].path, "plan");
    let long_root = format!("{root}#{}", " ".repeat(MAX_VALUE_BYTES));
    assert_eq!(&*findings(&bundle(&long_root, PART))[0].path, "root");
}

/// Guards against applying the size limit of a value to the whole document.
#[test]
fn a_document_may_be_larger_than_a_value() {
    let second = PART
        .replace("plan", "term")
        .replace("searcher: p", "searcher: t")
        .replace("127.0.0.1", "127.0.0.2");
    let pad = |text: &str| format!("{text}#{}", " ".repeat(600_000));
    let parts = [pad(PART), pad(&second)];
    let entry = format!("  - {{name: term, sha256: {}}}\n", hex(parts[1].as_bytes()));
    let root = root_text(&parts[0]) + &entry;
    let bundle = Bundle::new(Bytes::from(root), parts.map(Bytes::from));
    let tables = bundle.tables().expect("valid");
    assert_eq!(tables.searchers.len(), 8);
    assert_eq!(tables.service("term-2").map(|(index, _)| &**index), Some("term"));
}

/// Guards against reusing a part whose bytes changed, and against parsing an unchanged part again.
#[test]
fn unchanged_parts_are_reused() {
    let first = bundle(&root_text(PART), PART).document().expect("valid");
    let root = replace(&root_text(PART), "revision: 7", "revision: 8");
    let second = bundle(&root, PART).document_reusing(Some(&first)).expect("valid");
    assert_eq!(second.root.revision, 8);
    assert!(Arc::ptr_eq(&first.parts[0], &second.parts[0]));

    let part = replace(PART, "slots: 3", "slots: 2");
    let third = bundle(&root_text(&part), &part)
        .document_reusing(Some(&second))
        .expect("valid");
    assert_eq!(third.parts[0].services[0].shards[0].replicas[0].slots, 2);
    let renamed = replace(&root, "name: plan", "name: other");
    let findings = bundle(&renamed, PART)
        .document_reusing(Some(&first))
        .expect_err("the names differ");
    assert_eq!(&*findings.0[0].path, "other.index");
}

/// Guards against ignoring an unknown key, and against errors without the line number.
#[test]
fn parse_errors_name_the_position() {
    let part = replace(PART, "slots: 3", "slot: 3");
    let found = findings(&bundle(&root_text(&part), &part));
    assert_eq!(found.len(), 1);
    assert!(found[0].message.contains("unknown field `slot`"), "{}", found[0]);
    assert_eq!(
        found[0].position.map(|position| position.line),
        Some(17),
        "{}",
        found[0]
    );

    let part = replace(PART, "deadline: 150ms", "deadline: 150");
    let found = findings(&bundle(&root_text(&part), &part));
    assert!(found[0].message.contains("`150` is not a duration"), "{}", found[0]);
    let empty = findings(&bundle(&root_text(""), ""));
    assert_eq!(&*empty[0].message, "unexpected end of input", "{}", empty[0]);
    assert_eq!(found[0].position.map(|position| position.line), Some(3), "{}", found[0]);
}

/// Guards against malicious or corrupted input that crashes a process.
#[test]
fn arbitrary_bytes_never_panic() {
    property_check::check()
        .with_iterations(10_000)
        .for_each(|input: &Vec<u8>| {
            let _ = Root::parse(input);
            let _ = Part::parse("plan", input);
        });
}

/// Guards against nesting that overflows the stack. Known keys do not allow such a depth, but the parser reads a whole
/// key before comparing it with the known ones, and a key can be nested too.
#[test]
fn deep_nesting_is_an_error() {
    for start in ["", "? ", "index: ", "<<: ", "? !!x ", "index: &a "] {
        for nested in ["[", "{a: ", "{? "] {
            let deep = format!("{start}{}", nested.repeat(100_000));
            assert!(Part::parse("plan", deep.as_bytes()).is_err(), "{start}{nested}");
        }
        let lines: String = (0..5_000).map(|depth| format!("{}-\n", " ".repeat(depth))).collect();
        let block = format!("{start}\n{lines}");
        assert!(Part::parse("plan", block.as_bytes()).is_err(), "{start}");
    }
}

/// Guards against corrupted documents that crash the parser after the first key, which random bytes rarely reach.
#[test]
fn damaged_documents_never_panic() {
    property_check::check()
        .with_iterations(2_000)
        .with_type::<(u16, u8, u16)>()
        .for_each(|(at, byte, cut)| {
            let mut part = PART.as_bytes().to_vec();
            let at = usize::from(*at) % part.len();
            part[at] = *byte;
            part.truncate(part.len() - usize::from(*cut) % (part.len() / 4));
            let root = root_text(PART).replace(&hex(PART.as_bytes()), &hex(&part));
            let _ = Bundle::parse(Bytes::from(root), [Bytes::from(part)]);
        });
}

fn hex(bytes: &[u8]) -> String {
    HexDigest(digest::sha256(bytes)).to_string()
}

/// Guards against a transport digest that lacks a field that affects connections, or includes one that does not.
#[test]
fn the_transport_digest_covers_exactly_the_connection() {
    let digest_after = |from: &str, to: &str| -> Digest {
        let part = replace(PART, from, to);
        let tables = bundle(&root_text(&part), &part).tables().expect("valid");
        tables.searcher(0).transport_digest
    };
    let before = digest_after("index: plan", "index: plan");
    for (from, to) in [
        ("127.0.0.1:7001", "127.0.0.1:7009"),
        ("slots: 3", "slots: 2"),
        ("connections: 30", "connections: 31"),
        ("connect_cost: 6ms", "connect_cost: 5ms"),
    ] {
        assert_ne!(digest_after(from, to), before, "{from} -> {to}");
    }
    for (from, to) in [
        ("data_centre: dc-a", "data_centre: dc-c"),
        ("searcher: p1-a", "searcher: p9"),
        ("deadline: 150ms", "deadline: 151ms"),
        ("end: 1000}", "end: 1000}"),
    ] {
        assert_eq!(digest_after(from, to), before, "{from} -> {to}");
    }
}
