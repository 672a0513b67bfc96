//! Key space of a service, and ranges of keys.

use serde::Deserialize;
use serde::Serialize;

/// Number of keys in the key space of a service. Keys are `0..KEY_SPACE`.
pub const KEY_SPACE: u64 = 1 << 32;

/// Half-open range of keys, `start..end`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRange {
    /// First key of the range.
    pub start: u64,
    /// First key after the range.
    pub end: u64,
}

impl KeyRange {
    /// The whole key space.
    pub const ALL: Self = Self {
        start: 0,
        end: KEY_SPACE,
    };

    /// Returns the number of keys in the range.
    #[must_use]
    pub const fn len(self) -> u64 {
        self.end.saturating_sub(self.start)
    }

    /// Returns whether the range contains no keys.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.len() == 0
    }

    /// Returns whether the range contains `key`.
    #[must_use]
    pub const fn contains(self, key: u64) -> bool {
        self.start <= key && key < self.end
    }

    /// Returns the intersection of two ranges, which is empty if they do not overlap.
    #[must_use]
    pub fn intersection(self, other: Self) -> Self {
        let start = self.start.max(other.start);
        let end = self.end.min(other.end).max(start);
        Self { start, end }
    }
}
