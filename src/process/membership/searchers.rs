//! State of the searchers, merged from list, local observations and signals of peers.
//!
//! Each searcher has a counter of its changes between usable (even) and leaving (odd). Instances merge counters by
//! their maximum, so the result depends neither on clocks nor on the order of messages, and a delayed message never
//! restores an earlier state.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::ids::SearcherId;
use crate::process::membership::gossip::to_micros;
use crate::process::membership::view::ListItem;
use crate::process::ownership::rank::NameHash;
use crate::process::ownership::rank::mix;
use crate::wire::proto::Signal;
use crate::wire::proto::SignalKind;

/// Minimum time between the last sign of leaving and the start of an exchange that proves the searcher usable. It
/// doubles with each return, so that a flag that toggles does not change the views of the fleet at the same rate.
pub const RETURN_HOLD: Duration = Duration::from_secs(1);

/// Maximum number of searchers that are tracked. It exceeds the number of searchers that a process with 24 peers
/// serves, and bounds the memory at about 2 MB.
pub const MAX_SEARCHERS: usize = 16_384;

/// Largest counter accepted from a peer. A searcher that toggles every second takes days to reach it.
const MAX_CHANGES: u64 = 1_000_000;

/// Maximum number of doublings of [`RETURN_HOLD`], which limits it to 64 s.
const MAX_DOUBLINGS: u64 = 6;

/// Longest searcher name accepted from a peer.
const MAX_NAME_BYTES: usize = 256;

#[derive(Debug, Clone)]
struct SearcherState {
    changes: u64,
    updated_at: Instant,
    list_version: u64,
}

impl SearcherState {
    const fn is_leaving(&self) -> bool {
        self.changes % 2 == 1
    }
}

/// States of the searchers that are or were leaving, and their marks in the last list.
#[derive(Debug, Default)]
pub(super) struct SearcherStates {
    states: IndexMap<SearcherId, SearcherState>,
    listed: IndexMap<SearcherId, bool>,
    checksum: u64,
}

impl SearcherStates {
    /// Records a sign that the searcher is leaving. Returns whether its state changed.
    pub fn on_leaving(&mut self, searcher: &str, list_version: u64, now: Instant) -> bool {
        let changes = match self.states.get_mut(searcher) {
            Some(state) if state.is_leaving() => {
                state.updated_at = now;
                return false;
            }
            Some(state) => state.changes + 1,
            None => 1,
        };
        self.set(searcher, changes, now, list_version)
    }

    /// Records an exchange that began at `started` and showed the searcher usable. Returns whether its state changed.
    pub fn on_usable(&mut self, searcher: &str, started: Instant, list_version: u64, now: Instant) -> bool {
        let Some(state) = self.states.get(searcher) else {
            return false;
        };
        let doublings = (state.changes / 2).min(MAX_DOUBLINGS);
        let hold = RETURN_HOLD * 2_u32.pow(doublings as u32);
        if !state.is_leaving() || started < state.updated_at + hold {
            return false;
        }
        let changes = state.changes + 1;
        self.set(searcher, changes, now, list_version)
    }

    /// Applies a list with a greater version than the last one. Returns the searchers whose state changed.
    ///
    /// Only a difference between two lists counts as new information: a list that does not mark the searcher may be
    /// older than a flag seen in a reply.
    pub fn on_list<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a ListItem>,
        version: u64,
        now: Instant,
    ) -> Vec<SearcherId> {
        let mut changed = Vec::new();
        let mut seen = IndexMap::new();
        for item in listed {
            let before = self.listed.get(&item.id).copied();
            seen.insert(item.id.clone(), item.leaving);
            let is_newer = self
                .states
                .get(&item.id)
                .is_none_or(|state| state.list_version < version);
            if !is_newer {
                continue;
            }
            let is_leaving = self.states.get(&item.id).is_some_and(SearcherState::is_leaving);
            let returned = before == Some(true) && !item.leaving && is_leaving;
            let left = before != Some(true) && item.leaving && !is_leaving;
            if returned || left {
                let changes = self.states.get(&item.id).map_or(1, |state| state.changes + 1);
                self.set(&item.id, changes, now, version);
                changed.push(item.id.clone());
            } else if item.leaving
                && let Some(state) = self.states.get_mut(&item.id)
            {
                state.list_version = version;
            }
        }
        for (id, leaving) in &self.listed {
            if *leaving && !seen.contains_key(id) {
                seen.insert(id.clone(), true);
            }
        }
        self.listed = seen;
        changed
    }

    /// Merges a signal of a peer. Returns whether the state of the searcher changed.
    pub fn on_signal(&mut self, signal: &Signal, updated_at: Instant) -> bool {
        let parity = match signal.kind() {
            SignalKind::SearcherLeaving => 1,
            SignalKind::SearcherReturned => 0,
            SignalKind::Unspecified | SignalKind::InstanceLeaving => return false,
        };
        let changes = signal.incarnation;
        let valid = changes % 2 == parity && changes <= MAX_CHANGES && signal.subject.len() <= MAX_NAME_BYTES;
        let known = self.states.get(&*signal.subject).map_or(0, |state| state.changes);
        if !valid || changes <= known {
            return false;
        }
        self.set(&signal.subject, changes, updated_at, signal.list_version)
    }

    /// Returns the signal for a searcher, or `None` if it is not tracked.
    pub fn signal(&self, searcher: &str, now: Instant) -> Option<Signal> {
        let state = self.states.get(searcher)?;
        let kind = if state.is_leaving() {
            SignalKind::SearcherLeaving
        } else {
            SignalKind::SearcherReturned
        };
        let age = now.saturating_duration_since(state.updated_at);
        Some(Signal {
            kind: kind.into(),
            subject: searcher.into(),
            incarnation: state.changes,
            age_us: to_micros(age),
            list_version: state.list_version,
        })
    }

    /// Returns the signals for all tracked searchers.
    pub fn signals(&self, now: Instant) -> Vec<Signal> {
        self.states.keys().filter_map(|id| self.signal(id, now)).collect()
    }

    /// Returns the leaving searchers, sorted by name.
    pub fn leaving(&self) -> IndexSet<SearcherId> {
        let leaving = self.states.iter().filter(|(_, state)| state.is_leaving());
        let mut leaving: IndexSet<SearcherId> = leaving.map(|(id, _)| id.clone()).collect();
        leaving.sort_unstable();
        leaving
    }

    /// Returns a checksum over all states. Instances with equal states have equal checksums.
    pub const fn checksum(&self) -> u64 {
        self.checksum
    }

    fn set(&mut self, searcher: &str, changes: u64, updated_at: Instant, list_version: u64) -> bool {
        if !self.states.contains_key(searcher) && !self.evict_oldest() {
            return false;
        }
        let state = SearcherState {
            changes,
            updated_at,
            list_version,
        };
        let before = self.states.insert(searcher.into(), state);
        if let Some(before) = before {
            self.checksum ^= checksum_term(searcher, before.changes);
        }
        self.checksum ^= checksum_term(searcher, changes);
        true
    }

    /// Makes room for one more searcher by evicting the usable one with the oldest change. Returns `false` if all are
    /// leaving.
    fn evict_oldest(&mut self) -> bool {
        if self.states.len() < MAX_SEARCHERS {
            return true;
        }
        let usable = self.states.iter().filter(|(_, state)| !state.is_leaving());
        let oldest = usable
            .min_by_key(|(_, state)| state.updated_at)
            .map(|(id, _)| id.clone());
        let Some(id) = oldest else { return false };
        if let Some(state) = self.states.swap_remove(&id) {
            self.checksum ^= checksum_term(&id, state.changes);
        }
        true
    }
}

fn checksum_term(searcher: &str, changes: u64) -> u64 {
    mix(NameHash::of(searcher).0 ^ mix(changes))
}
