//! Comparison of documents: each kind of change is reported with its effect, and nothing else is.

use std::sync::Arc;

use bytes::Bytes;
use pimentoflow::process::document_files::DocumentFiles;
use pimentoflow::process::document_files::PartFile;
use pimentoflow::version::diff::Change;
use pimentoflow::version::diff::Diff;
use pimentoflow::version::diff::diff;
use pimentoflow::version::document::Document;
use pimentoflow::version::keys::KeyRange;

use crate::samples::sample;

fn demo() -> DocumentFiles {
    DocumentFiles::load(&sample("demo")).expect("the sample is readable")
}

/// Replaces the first occurrence of `from` in the part of the sample, and seals it with revision 2.
fn changed(from: &str, to: &str) -> Document {
    let files = demo();
    let part = &files.parts[0];
    let text = std::str::from_utf8(&part.bytes).expect("UTF-8");
    assert!(text.contains(from), "{from}");
    let parts = vec![PartFile {
        name: part.name.clone(),
        bytes: Bytes::from(text.replacen(from, to, 1)),
    }];
    let unsealed = DocumentFiles { parts, ..files };
    let root = Bytes::from(unsealed.seal(Some(2)).expect("the root parses"));
    let sealed = DocumentFiles { root, ..unsealed };
    sealed.document().unwrap_or_else(|findings| panic!("{findings}"))
}

fn diff_after(from: &str, to: &str) -> Diff {
    let old = demo().document().expect("valid");
    diff(&old, &changed(from, to))
}

/// Clears the expected change and asserts that there is no other.
fn assert_only(mut diff: Diff, clear: impl Fn(&mut Diff)) {
    clear(&mut diff);
    assert!(diff.is_empty(), "{diff}");
}

/// Guards against reporting changes between equal documents.
#[test]
fn the_same_document_does_not_differ() {
    let document = demo().document().expect("valid");
    let same = diff(&document, &document);
    assert!(same.is_empty(), "{same}");
    assert!(
        same.to_string()
            .contains("warning: processes ignore a revision that does not grow")
    );
}

/// Guards against a diff that omits a searcher whose transport fields changed, or lists another one as re-dialled.
#[test]
fn transport_changes_redial_one_searcher() {
    for (from, to, field) in [
        ("127.0.0.1:22001", "127.0.0.1:22099", "address"),
        ("slots: 3", "slots: 2", "slots"),
        ("connections: 30", "connections: 31", "connections"),
        ("connect_cost: 6ms", "connect_cost: 7ms", "connect_cost"),
    ] {
        let diff = diff_after(from, to);
        assert_eq!(diff.redialled.len(), 1, "{diff}");
        assert_eq!(&*diff.redialled[0].searcher, "gala-s01-a");
        assert_eq!(diff.redialled[0].fields, [field]);
        assert_only(diff, |diff| diff.redialled.clear());
    }
}

/// Guards against a diff that omits a policy change or reports an effect of it on connections.
#[test]
fn policy_changes_affect_no_connection() {
    for (from, to, field) in [
        ("deadline: 400ms", "deadline: 300ms", "deadline"),
        ("submissions: true", "submissions: false", "submissions"),
        (
            "coverage_ratio: 99.9%",
            "coverage_ratio: 99.8%",
            "objectives.coverage_ratio",
        ),
    ] {
        let diff = diff_after(from, to);
        assert_eq!(diff.policies.len(), 1, "{diff}");
        assert_eq!(&*diff.policies[0].field, field);
        assert_only(diff, |diff| diff.policies.clear());
    }
}

/// Guards against a diff that omits an added or removed searcher.
#[test]
fn added_and_removed_searchers_are_listed() {
    let diff = diff_after("searcher: gala-s01-a", "searcher: gala-s01-x");
    assert_eq!(diff.searchers_added, ["gala-s01-x".into()]);
    assert_eq!(diff.searchers_removed, ["gala-s01-a".into()]);
    assert_eq!(diff.shards.len(), 1, "{diff}");
    assert_eq!(&*diff.shards[0].replicas.new[0], "gala-s01-x");
    assert_only(diff, |diff| {
        diff.searchers_added.clear();
        diff.searchers_removed.clear();
        diff.shards.clear();
    });
}

/// Guards against a diff that omits keys that moved between shards, or a searcher that moved to another data centre.
#[test]
fn moved_keys_and_searchers_are_listed() {
    let old = demo().document().expect("valid");
    let mut new = old.clone();
    let shards = &mut Arc::make_mut(&mut new.parts[0]).services[0].shards;
    shards[0].range.end = 700;
    shards[1].range.start = 700;
    let diff_keys = diff(&old, &new);
    let moved: Vec<_> = diff_keys.shards.iter().map(|change| &*change.shard).collect();
    assert_eq!(moved, ["gala-s01", "gala-s02"]);
    assert!(
        diff_keys
            .to_string()
            .contains("shard moved: gala/gala-s01 keys 0..715827882 -> 0..700"),
        "{diff_keys}"
    );
    assert_only(diff_keys, |diff| diff.shards.clear());

    let diff = diff_after("data_centre: dc-a", "data_centre: dc-z");
    assert_eq!(diff.relocated.len(), 1, "{diff}");
    assert_eq!(&*diff.relocated[0].data_centre.new, "dc-z");
    assert_only(diff, |diff| diff.relocated.clear());
}

/// Guards against a diff that omits a renamed service or shard.
#[test]
fn renamed_services_and_shards_are_listed() {
    let diff = diff_after("name: gala\n", "name: gala-2\n");
    assert_eq!((diff.services_added.len(), diff.services_removed.len()), (1, 1));
    assert_eq!(
        diff.shards.len(),
        12,
        "every shard is removed from one service and added to the other"
    );
    let diff = diff_after("name: gala-s01\n", "name: gala-s99\n");
    let added = &diff.shards[0];
    assert_eq!((&*added.shard, added.range.old), ("gala-s99", None));
    let removed = &diff.shards[1];
    assert_eq!(
        removed.range,
        Change {
            old: Some(KeyRange {
                start: 0,
                end: 715_827_882
            }),
            new: None
        }
    );
}

/// Guards against a diff that omits a change of the claims.
#[test]
fn claims_are_compared() {
    let old = demo().document().expect("valid");
    let mut new = old.clone();
    new.root.claims.remote_reserve = 6;
    let diff = diff(&old, &new);
    assert_eq!(
        diff.claims
            .map(|claims| (claims.old.remote_reserve, claims.new.remote_reserve)),
        Some((4, 6))
    );
    assert_only(diff, |diff| diff.claims = None);
}
