//! Changes that were read lately, for the instances that follow this one.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::process::catalogue::Change;
use crate::process::catalogue::Extent;
use crate::process::catalogue::Position;

/// Bytes of keys and values that are kept: half of what one frame holds. An instance that is further behind reads the
/// platform itself.
const MAX_BYTES: usize = 2 * 1024 * 1024;

/// Changes of one read.
#[derive(Debug)]
struct Batch {
    /// Position after them.
    position: Position,
    changes: Vec<Change>,
    bytes: usize,
}

/// Bounded history of changes. It is complete after its floor.
#[derive(Debug, Default)]
pub struct History {
    floor: Option<Position>,
    batches: VecDeque<Batch>,
    bytes: usize,
}

impl History {
    /// Takes what a read brought.
    pub fn on_read(&mut self, changes: &[Change], position: Position, extent: Extent) {
        if extent == Extent::Whole {
            *self = Self {
                floor: Some(position),
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
            self.floor = Some(oldest.position);
        }
    }

    /// Returns the changes after a position, or `None` when some of them are no longer kept. They may begin with changes
    /// from before the position, since reads are kept whole; each key ends with its newest value all the same.
    #[must_use]
    pub fn since(&self, position: Position) -> Option<Vec<Change>> {
        if self.floor.is_none_or(|floor| position < floor) {
            return None;
        }
        let newer = self.batches.iter().filter(|batch| batch.position > position);
        Some(newer.flat_map(|batch| batch.changes.iter().cloned()).collect())
    }
}
