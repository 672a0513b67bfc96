//! State that instances pass to each other because the platform does not have it or cannot be read.
//!
//! An instance without access to the platform gets everything that another one uses. One that may lack later state than
//! the platform's, because the platform returned from a copy, gets what contradicts the copy: the configuration in
//! effect and the entries that are outdated. See "A platform that returns from a copy" in `docs/design/platform.md`.

use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use slog::info;

use crate::ids::SearcherId;
use crate::process::backends::Directory;
use crate::process::backends::EntryChange;
use crate::process::discovery::Change;
use crate::process::discovery::Item;
use crate::process::discovery::Position;
use crate::process::discovery::ReadScope;
use crate::process::gateway::Gateway;
use crate::process::gateway::platform_state::PlatformState;
use crate::wire::proto;

/// Time after the start of an instance in which it asks others for what the platform may have lost. It covers the first
/// exchanges with the seeds.
const STARTING_TIME: Duration = Duration::from_secs(5);

/// Maximum number of outdated entries in a message.
const MAX_OUTDATED: usize = 1024;

/// Entry of a server as it was read.
#[derive(Debug)]
pub(super) struct StoredEntry {
    server: SearcherId,
    value: Bytes,
}

impl PlatformState {
    /// Stores or removes the entry of a server.
    pub(super) fn store_entry(&mut self, change: &Change, item: &Item) {
        let server = match item {
            Item::Server(entry) => Some(&entry.id),
            Item::Unreadable { server, .. } => server.as_ref(),
            Item::ServerMissing(_) | Item::Routing(_) => None,
        };
        match (server, &change.value) {
            (Some(server), Some(value)) => {
                let entry = StoredEntry {
                    server: server.clone(),
                    value: value.clone(),
                };
                self.entries.insert(change.key.clone(), entry);
            }
            _ => {
                self.entries.swap_remove(&change.key);
            }
        }
    }

    /// Returns the values that an instance without access to the platform should use. Entries that have no effect here
    /// are left out, because another instance may lack the knowledge that contradicts them.
    pub(super) fn relayed_values(&self) -> Vec<proto::StoredValue> {
        let entries = self.entries.iter();
        let in_effect = entries.filter(|(_, entry)| !self.directory.is_deferred(&entry.server));
        let entries = in_effect.map(|(key, entry)| stored_value(key, &entry.value));
        self.relayed_configuration().into_iter().chain(entries).collect()
    }

    /// Returns the configuration in effect for another instance.
    pub(super) fn relayed_configuration(&self) -> Option<proto::StoredValue> {
        let configuration = self.configuration.as_ref();
        configuration.map(|(key, value)| stored_value(key, value))
    }
}

impl Gateway {
    /// Applies the complete state that another instance read up to `position`. It is ignored while this instance can
    /// read the platform itself.
    pub(crate) fn on_relayed(&self, changes: Vec<Change>, position: Position) {
        let now = Instant::now();
        let mut platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_behind = platform.position.is_none_or(|current| current < position);
        if !is_behind || !(platform.directory.is_platform_lost() || platform.position.is_none()) {
            return;
        }
        platform.relayed_at = Some(now);
        info!(self.log, "platform_relayed"; "position" => position, "before" => platform.position,
            "values" => changes.len());
        if self.apply(&mut platform, changes, position, ReadScope::Full, now) {
            self.put_in_effect(&platform);
        }
    }

    /// Returns whether this instance may lack state that the platform lost and other instances know.
    pub(super) fn may_lack_state(&self, directory: &Directory) -> bool {
        directory.is_restoring() || self.started_at.elapsed() < STARTING_TIME
    }

    /// Returns whether the platform may still list outdated entries after it returned from a copy.
    pub(crate) fn is_restoring(&self) -> bool {
        let platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
        platform.directory.is_restoring()
    }

    /// Defers the entries that are outdated according to another instance, if this one may lack the reason.
    pub(super) fn on_peer_outdated(&self, outdated: &[proto::OutdatedEntry], now: Instant) {
        let mut platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
        if !self.may_lack_state(&platform.directory) {
            return;
        }
        let mut changed = false;
        for entry in outdated.iter().take(MAX_OUTDATED) {
            let Some(backend) = platform.directory.backend(&entry.server) else {
                continue;
            };
            let change = platform
                .directory
                .on_peer_outdated(&entry.server, entry.started_ms, now);
            self.log_server_change(&backend.entry, change);
            changed |= change != EntryChange::Unchanged;
        }
        if changed {
            self.put_in_effect(&platform);
        }
    }

    /// Applies the configuration that another instance sent, if it has a later revision than the one in effect.
    pub(super) fn on_relayed_configuration(&self, change: Change) {
        let Some(Item::Routing(routing)) = (self.decoder)(&change) else {
            return;
        };
        let mut platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
        let current = platform.routing.as_ref().map(|current| current.revision);
        if current.is_none_or(|current| routing.revision > current) && self.on_routing(&mut platform, routing, change) {
            self.put_in_effect(&platform);
        }
    }
}

/// Returns the outdated entries that the platform lists, for another instance.
pub(super) fn outdated_entries(directory: &Directory) -> Vec<proto::OutdatedEntry> {
    let outdated = directory.outdated_entries().take(MAX_OUTDATED);
    let outdated = outdated.map(|(server, started_ms)| proto::OutdatedEntry {
        server: server.to_string(),
        started_ms,
    });
    outdated.collect()
}

impl From<proto::StoredValue> for Change {
    fn from(stored: proto::StoredValue) -> Self {
        Self {
            key: stored.key.into(),
            value: Some(stored.value),
        }
    }
}

fn stored_value(key: &str, value: &Bytes) -> proto::StoredValue {
    proto::StoredValue {
        key: key.into(),
        value: value.clone(),
    }
}
