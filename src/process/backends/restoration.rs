//! Period after the platform returned from a copy of its state.
//!
//! The copy has entries of servers that reported their departure, were removed or restarted after it was made. Their
//! servers write their state again, and the platform removes the entries of servers that do not renew them. Until then,
//! entries that contradict what is known of their server are deferred. See "Backend servers" in
//! `docs/design/platform.md`.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::SearcherId;
use crate::process::backends::BackendEntry;

/// The period, and the entries deferred in it.
#[derive(Debug)]
pub(super) struct Restoration {
    began: Instant,
    until: Instant,
    deferred: IndexMap<SearcherId, BackendEntry>,
}

impl Restoration {
    /// Creates a period that begins at `now`. After `duration`, an entry that is still listed is the state of its
    /// server.
    pub(super) fn new(now: Instant, duration: Duration) -> Self {
        Self {
            began: now,
            until: now + duration,
            deferred: IndexMap::new(),
        }
    }

    /// Returns when this instance first read the restored state.
    pub(super) const fn began(&self) -> Instant {
        self.began
    }

    /// Returns whether the period has ended at `now`.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// Keeps an entry until the end of the period.
    pub(super) fn defer(&mut self, entry: BackendEntry) {
        self.deferred.insert(entry.id.clone(), entry);
    }

    /// Drops all deferred entries.
    pub(super) fn clear_deferred(&mut self) {
        self.deferred.clear();
    }

    /// Returns the servers whose entries are deferred, with the start times in these entries.
    pub(super) fn deferred(&self) -> impl Iterator<Item = (&SearcherId, u64)> {
        self.deferred.values().map(|entry| (&entry.id, entry.started_ms))
    }

    /// Returns whether the entry of a server is deferred.
    pub(super) fn is_deferred(&self, id: &str) -> bool {
        self.deferred.contains_key(id)
    }

    /// Drops the deferred entry of a server.
    pub(super) fn drop_deferred(&mut self, id: &str) {
        self.deferred.swap_remove(id);
    }

    /// Returns the deferred entries.
    pub(super) fn into_deferred(self) -> impl Iterator<Item = BackendEntry> {
        self.deferred.into_values()
    }
}
