//! Recent changes, kept for the instances that follow this one.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::process::discovery::Change;
use crate::process::discovery::Position;
use crate::process::discovery::ReadScope;

/// Maximum size of the kept keys and values in bytes: half the size of a frame. An instance that is further behind
/// reads the platform itself.
const MAX_BYTES: usize = 2 * 1024 * 1024;

/// Changes from one read.
#[derive(Debug)]
struct Batch {
    /// Position after the changes.
    position: Position,
    changes: Vec<Change>,
    bytes: usize,
}

/// Bounded history of changes. It contains every change after the position `complete_after`.
#[derive(Debug, Default)]
pub struct History {
    complete_after: Option<Position>,
    batches: VecDeque<Batch>,
    bytes: usize,
}

impl History {
    /// Adds the changes of a read. A full read replaces the history.
    pub fn on_read(&mut self, changes: &[Change], position: Position, scope: ReadScope) {
        if scope == ReadScope::Full {
            *self = Self {
                complete_after: Some(position),
                ..Self::default()
            };
            return;
        }
        if changes.is_empty() {
            return;
        }
        let size = |change: &Change| change.key.len() + change.value.as_ref().map_or(0, Bytes::len);
        let bytes = changes.iter().map(size).sum();
        self.bytes += bytes;
        self.batches.push_back(Batch {
            position,
            changes: changes.to_vec(),
            bytes,
        });
        while self.bytes > MAX_BYTES
            && let Some(oldest) = self.batches.pop_front()
        {
            self.bytes -= oldest.bytes;
            self.complete_after = Some(oldest.position);
        }
    }

    /// Returns the changes after `position`, or `None` if some of them are no longer kept. Reads are kept whole, so
    /// the result may begin with changes from before `position`; the last change of each key is still the newest.
    #[must_use]
    pub fn since(&self, position: Position) -> Option<Vec<Change>> {
        if self
            .complete_after
            .is_none_or(|complete_after| position < complete_after)
        {
            return None;
        }
        let newer = self.batches.iter().filter(|batch| batch.position > position);
        Some(newer.flat_map(|batch| batch.changes.iter().cloned()).collect())
    }
}
