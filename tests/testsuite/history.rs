//! History of changes for the instances that follow another one.

use pimentoflow::process::discovery::Change;
use pimentoflow::process::discovery::Changes;
use pimentoflow::process::discovery::History;
use pimentoflow::process::discovery::Origin;
use pimentoflow::process::discovery::Position;
use pimentoflow::process::discovery::ReadError;
use pimentoflow::process::discovery::ReadScope;

fn change(key: &str, bytes: usize) -> Change {
    Change {
        key: key.into(),
        value: Some(vec![0; bytes].into()),
    }
}

fn at(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn keys(history: &History, position: Position) -> Option<Vec<Box<str>>> {
    let changes = history.since(position)?;
    Some(changes.into_iter().map(|change| change.key).collect())
}

/// Guards against a follower that misses changes: those after its position arrive in order, and a follower whose
/// position is no longer covered gets `None`.
#[test]
fn a_follower_gets_all_changes_after_its_position() {
    let mut history = History::default();
    assert_eq!(keys(&history, at(1, 5)), None);
    history.on_read(&[change("whole", 1)], at(1, 10), ReadScope::Full);
    assert_eq!(keys(&history, at(1, 9)), None);
    assert_eq!(keys(&history, at(1, 10)), Some(Vec::new()));
    history.on_read(&[change("a", 1)], at(1, 12), ReadScope::Incremental);
    history.on_read(&[], at(1, 13), ReadScope::Incremental);
    history.on_read(&[change("b", 1), change("a", 1)], at(1, 15), ReadScope::Incremental);
    assert_eq!(
        keys(&history, at(1, 10)),
        Some(vec!["a".into(), "b".into(), "a".into()])
    );
    assert_eq!(keys(&history, at(1, 12)), Some(vec!["b".into(), "a".into()]));
    assert_eq!(keys(&history, at(1, 15)), Some(Vec::new()));
    history.on_read(&[change("other", 1)], at(1, 20), ReadScope::Full);
    assert_eq!(keys(&history, at(1, 15)), None);
}

/// Guards against a history that exceeds a frame of 4 MiB, and against one that drops changes without reporting it.
#[test]
fn the_history_fits_into_a_frame() {
    const FRAME_BYTES: usize = 4 * 1024 * 1024;
    let mut history = History::default();
    history.on_read(&[], at(1, 1), ReadScope::Full);
    for position in 2..20 {
        history.on_read(&[change("config", 500_000)], at(1, position), ReadScope::Incremental);
    }
    assert_eq!(keys(&history, at(1, 1)), None);
    let kept = (1..20).find_map(|position| history.since(at(1, position))).unwrap();
    let bytes: usize = kept.iter().map(|change| change.value.as_ref().unwrap().len()).sum();
    assert!(bytes > 0 && bytes < FRAME_BYTES, "{bytes} bytes");
}

/// Guards against a follower that gets the changes of a later era as if they continued from its position. The ones up
/// to that revision, which the platform gave out again, would be missing.
#[test]
fn a_follower_from_an_earlier_era_gets_no_changes() {
    let mut history = History::default();
    history.on_read(&[], at(1, 70), ReadScope::Full);
    history.on_read(&[change("lost", 1)], at(1, 78), ReadScope::Incremental);
    history.on_read(&[change("whole", 1)], at(2, 72), ReadScope::Full);
    history.on_read(&[change("a", 1)], at(2, 80), ReadScope::Incremental);
    assert_eq!(keys(&history, at(1, 78)), None);
    assert_eq!(keys(&history, at(2, 71)), None);
    assert_eq!(keys(&history, at(2, 72)), Some(vec!["a".into()]));
    assert!(at(1, 78) < at(2, 72));
}

/// Guards against changes of another era that are applied as if they continued from the position of this instance.
#[test]
fn changes_of_another_era_do_not_continue_from_a_position() {
    let read = |era| Changes {
        changes: vec![change("a", 1)],
        position: at(era, 80),
        is_complete: true,
        origin: Origin::Platform,
    };
    assert!(read(2).continuing(at(2, 78)).is_ok());
    for era in [1, 3] {
        assert_eq!(read(era).continuing(at(2, 78)).unwrap_err(), ReadError::Restored);
    }
}
