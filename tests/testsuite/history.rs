//! History of changes for the instances that follow another one.

use pimentoflow::process::discovery::Change;
use pimentoflow::process::discovery::History;
use pimentoflow::process::discovery::ReadScope;

fn change(key: &str, bytes: usize) -> Change {
    Change {
        key: key.into(),
        value: Some(vec![0; bytes].into()),
    }
}

fn keys(history: &History, position: u64) -> Option<Vec<Box<str>>> {
    let changes = history.since(position)?;
    Some(changes.into_iter().map(|change| change.key).collect())
}

/// Guards against a follower that misses changes: those after its position arrive in order, and a follower whose
/// position is no longer covered gets `None`.
#[test]
fn a_follower_gets_all_changes_after_its_position() {
    let mut history = History::default();
    assert_eq!(keys(&history, 5), None);
    history.on_read(&[change("whole", 1)], 10, ReadScope::Full);
    assert_eq!(keys(&history, 9), None);
    assert_eq!(keys(&history, 10), Some(Vec::new()));
    history.on_read(&[change("a", 1)], 12, ReadScope::Incremental);
    history.on_read(&[], 13, ReadScope::Incremental);
    history.on_read(&[change("b", 1), change("a", 1)], 15, ReadScope::Incremental);
    assert_eq!(keys(&history, 10), Some(vec!["a".into(), "b".into(), "a".into()]));
    assert_eq!(keys(&history, 12), Some(vec!["b".into(), "a".into()]));
    assert_eq!(keys(&history, 15), Some(Vec::new()));
    history.on_read(&[change("other", 1)], 20, ReadScope::Full);
    assert_eq!(keys(&history, 15), None);
}

/// Guards against a history that exceeds a frame of 4 MiB, and against one that drops changes without reporting it.
#[test]
fn the_history_fits_into_a_frame() {
    const FRAME_BYTES: usize = 4 * 1024 * 1024;
    let mut history = History::default();
    history.on_read(&[], 1, ReadScope::Full);
    for position in 2..20 {
        history.on_read(&[change("config", 500_000)], position, ReadScope::Incremental);
    }
    assert_eq!(keys(&history, 1), None);
    let kept = (1..20).find_map(|position| history.since(position)).unwrap();
    let bytes: usize = kept.iter().map(|change| change.value.as_ref().unwrap().len()).sum();
    assert!(bytes > 0 && bytes < FRAME_BYTES, "{bytes} bytes");
}
