//! State received from the platform, and how reads and other instances update it.
//!
//! The gateway owns the state and changes it under a lock, so a request sees either all of a read or nothing of it.

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderValue;
use indexmap::IndexMap;
use slog::info;
use slog::warn;

use crate::process::backends::Backend;
use crate::process::backends::BackendEntry;
use crate::process::backends::Directory;
use crate::process::backends::EntryChange;
use crate::process::backends::View;
use crate::process::discovery;
use crate::process::discovery::Change;
use crate::process::discovery::Changes;
use crate::process::discovery::History;
use crate::process::discovery::Item;
use crate::process::discovery::Origin;
use crate::process::discovery::Position;
use crate::process::discovery::ReadScope;
use crate::process::extra::ExtraLimits;
use crate::process::gateway::Gateway;
use crate::process::gateway::log_quota::LogTopic;
use crate::process::gateway::relay::StoredEntry;
use crate::process::gossip::Source;
use crate::version::routing::Routing;
use crate::wire::proto;

/// Age of the last complete read above which an instance does not send its state to followers. It covers a wait, a
/// pause and a response of a slow platform.
const MAX_STATE_AGE: Duration = Duration::from_secs(4);

/// State received from the platform.
#[derive(Debug)]
pub(super) struct PlatformState {
    pub(super) directory: Directory,
    /// Entries of servers by their key, as they were read, for instances that cannot read the platform.
    pub(super) entries: IndexMap<Box<str>, StoredEntry>,
    /// Key and value of the configuration in effect, for the same instances. The platform may hold an older one after
    /// it returned from a copy.
    pub(super) configuration: Option<(Box<str>, Bytes)>,
    pub(super) position: Option<Position>,
    /// Whether the last read was served by another instance.
    pub(super) is_follower: bool,
    /// Recent changes, for instances that follow this one.
    pub(super) history: History,
    /// Time as of which the state contains everything that the platform held.
    pub(super) complete_at: Option<Instant>,
    /// Time at which another instance last sent its state.
    pub(super) relayed_at: Option<Instant>,
    pub(super) routing: Option<Arc<Routing>>,
    /// Limits on the extra attempts of all instances together.
    pub(super) extra: ExtraLimits,
    pub(super) has_full_read: bool,
    pub(super) is_stopping: bool,
}

impl Gateway {
    /// Applies the result of a read of the platform that began at `started`, and returns what the next read has to
    /// cover.
    ///
    /// A result that is older than the state another instance sent in the meantime is dropped: it would undo changes
    /// that are not read again. Any other full read replaces that state, because it shows what the platform has.
    pub fn on_platform_read(&self, read: Changes, scope: ReadScope, started: Instant) -> ReadScope {
        let now = Instant::now();
        if read.origin == Origin::Platform {
            self.isolation().on_platform_read_ended();
        }
        let mut platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
        platform.directory.on_platform_read(now);
        *self.read_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
        if read.origin == Origin::Platform {
            self.on_era(&platform, read.position);
        }
        if scope == ReadScope::Full {
            self.metrics.full_reads.inc();
        }
        if platform.position.is_some_and(|current| read.position < current) {
            info!(self.log, "platform_read_outdated"; "position" => read.position, "known" => platform.position);
            if platform.relayed_at.is_some_and(|at| at >= started) {
                return ReadScope::Incremental;
            }
            if scope == ReadScope::Incremental {
                // The platform does not know the position.
                return ReadScope::Full;
            }
        }
        platform.is_follower = read.origin != Origin::Platform;
        let mut changed = self.apply(&mut platform, read.changes, read.position, scope, now);
        let as_of = match read.origin {
            Origin::Platform => Some(started),
            Origin::Instance { age } => started.checked_sub(age),
        };
        if let Some(as_of) = as_of.filter(|_| read.is_complete) {
            platform.complete_at = Some(as_of);
            for removed in platform.directory.remove_lapsed(as_of, now) {
                changed |= self.log_server_change(&removed.entry, EntryChange::Removed);
            }
            for (entry, change) in platform.directory.apply_deferred(as_of, now) {
                changed |= self.log_server_change(&entry, change);
            }
        }
        if changed {
            self.put_in_effect(&platform);
        }
        drop(platform);
        self.read_ended.send_replace(());
        ReadScope::Incremental
    }

    /// Logs a change of the platform's era by a read up to `position`.
    fn on_era(&self, platform: &PlatformState, position: Position) {
        if platform.position.is_some_and(|current| current.era != position.era) {
            warn!(self.log, "platform_era"; "position" => position, "known" => platform.position);
        }
        self.metrics
            .platform_era
            .set(i64::try_from(position.era).unwrap_or(i64::MAX));
    }

    /// Applies changes up to `position`, and returns whether they are visible to requests.
    pub(super) fn apply(
        &self,
        platform: &mut PlatformState,
        changes: Vec<Change>,
        position: Position,
        scope: ReadScope,
        now: Instant,
    ) -> bool {
        platform.history.on_read(&changes, position, scope);
        let decoded = changes.into_iter().filter_map(|change| {
            let item = (self.decoder)(&change)?;
            Some((change, item))
        });
        let decoded: Vec<(Change, Item)> = decoded.collect();
        let mut changed = false;
        if scope == ReadScope::Full {
            // A platform that does not state its era shows by a lower revision that it was restored.
            if platform
                .position
                .is_some_and(|before| position.era != before.era || position < before)
            {
                platform.directory.on_restored(now);
            }
            platform.directory.on_listing();
            changed = !platform.has_full_read;
            platform.has_full_read = true;
            platform.entries.clear();
            let items = decoded.iter().map(|(_, item)| item);
            for id in discovery::missing_servers(platform.directory.ids(), items) {
                changed |= self.on_missing(platform, &id, now);
            }
        }
        platform.position = Some(position);
        for (change, item) in decoded {
            platform.store_entry(&change, &item);
            changed |= self.on_item(platform, change, item, scope, now);
        }
        changed
    }

    /// Records that a read of the platform failed.
    pub fn on_platform_lost(&self) {
        self.isolation().on_platform_read_ended();
        let mut platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
        platform.directory.on_platform_lost();
        drop(platform);
        self.read_ended.send_replace(());
    }

    /// Records that the platform responded to a waiting read long after its wait time. The platform was unavailable in
    /// the meantime, so entries of live servers may have lapsed.
    pub(crate) fn on_platform_overdue(&self, elapsed: Duration) {
        let mut platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
        if !platform.directory.tolerates_missing() {
            info!(self.log, "platform_overdue"; "ms" => elapsed.as_millis() as u64);
            platform.directory.on_platform_lost();
        }
    }

    /// Returns the source from which this instance reads changes.
    pub(crate) fn source(&self) -> Source {
        self.gossip.lock().unwrap_or_else(PoisonError::into_inner).source()
    }

    /// Returns whether other instances follow this one.
    pub(crate) fn is_reader(&self) -> bool {
        self.gossip.lock().unwrap_or_else(PoisonError::into_inner).is_reader()
    }

    /// Shortens a wait or pause of a platform read if other instances follow this one, so that they get changes in
    /// time.
    pub(crate) fn bound_for_followers(&self, time: Duration) -> Duration {
        if self.is_reader() {
            time.min(self.settings.freshness.reader_wait_max())
        } else {
            time
        }
    }

    /// Returns the reply to a follower at `position`.
    pub(super) fn changes_since(&self, position: Position) -> proto::Followed {
        let platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
        let age = platform.complete_at.map(|at| at.elapsed());
        // If this instance is behind the follower, it may catch up while the follower waits.
        let is_behind = platform.position.is_some_and(|current| current < position);
        let changes = if is_behind {
            Some(Vec::new())
        } else {
            platform.history.since(position)
        };
        let is_stale =
            platform.is_follower || platform.directory.is_platform_lost() || age.is_none_or(|age| age > MAX_STATE_AGE);
        let known = platform.position.unwrap_or_default();
        let stored = changes.as_ref().filter(|_| !is_stale).into_iter().flatten();
        proto::Followed {
            era: known.era,
            position: known.revision,
            complete: self.metrics.platform_lag.get() == 0.0,
            stale: is_stale || changes.is_none(),
            age_us: u64::try_from(age.unwrap_or_default().as_micros()).unwrap_or(u64::MAX),
            changes: stored
                .map(|change| proto::StoredChange {
                    key: change.key.to_string(),
                    value: change.value.clone(),
                })
                .collect(),
        }
    }

    /// Returns the end of the grace period for lapsed entries.
    pub(crate) fn grace_until(&self) -> Option<Instant> {
        let platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
        platform.directory.grace_until()
    }

    fn on_item(
        &self,
        platform: &mut PlatformState,
        change: Change,
        item: Item,
        scope: ReadScope,
        now: Instant,
    ) -> bool {
        match item {
            Item::Routing(routing) => self.on_routing(platform, routing, change),
            // Requests name the server in a header, so that no other one at its address runs them.
            Item::Server(entry) if HeaderValue::from_str(&entry.id).is_err() => {
                warn!(self.log, "platform_value_unreadable"; "key" => &*change.key,
                    "reason" => "the name of the server cannot be sent in a header");
                false
            }
            Item::Server(entry) => {
                let change = match scope {
                    ReadScope::Full => platform.directory.on_listed(entry.clone(), now),
                    ReadScope::Incremental => platform.directory.on_entry(entry.clone(), now),
                };
                self.log_server_change(&entry, change)
            }
            Item::ServerMissing(id) => self.on_missing(platform, &id, now),
            Item::Unreadable { key, server, reason } => {
                warn!(self.log, "platform_value_unreadable"; "key" => &*key, "reason" => &*reason);
                server.is_some_and(|id| {
                    let backend = platform.directory.backend(&id);
                    let change = platform.directory.on_unreadable(&id, now);
                    backend.is_some_and(|backend| self.log_server_change(&backend.entry, change))
                })
            }
        }
    }

    /// Puts the configuration of `change` in effect if it replaces the current one, and returns whether it does. After
    /// the platform lost a configuration, its revision may be given out again for another one.
    pub(super) fn on_routing(&self, platform: &mut PlatformState, routing: Box<Routing>, change: Change) -> bool {
        let current = platform.routing.as_ref().map(|current| current.revision);
        let value = platform.configuration.as_ref().map(|(_, value)| value);
        let is_known = value.is_some() && value == change.value.as_ref();
        if is_known || !discovery::replaces_revision(routing.revision, current) {
            return false;
        }
        info!(self.log, "configuration_in_effect"; "revision" => routing.revision, "before" => current,
            "routes" => routing.len(), "services" => routing.services.len());
        self.remove_unused(&routing);
        platform.routing = Some(Arc::from(routing));
        platform.configuration = change.value.map(|value| (change.key, value));
        true
    }

    fn on_missing(&self, platform: &mut PlatformState, id: &str, now: Instant) -> bool {
        let backend = platform.directory.backend(id);
        let change = platform.directory.on_missing(id, now);
        backend.is_some_and(|backend| self.log_server_change(&backend.entry, change))
    }

    /// Records the first notice of a server that it is leaving.
    pub(super) fn on_server_leaving(&self, server: &Backend) {
        let entry = &server.entry;
        info!(self.log, "server_changed"; "server" => &*entry.id, "change" => "server_said_leaving",
            "service" => &*entry.service, "data_centre" => &*entry.data_centre);
        self.metrics.count_notice("leaving");
        let platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
        self.put_in_effect(&platform);
    }

    /// Records a `Retry-After` time, during which the server gets no requests of this instance.
    pub(super) fn on_retry_after(&self, server: &Backend, time: Duration) {
        self.metrics.count_notice("hold");
        if self.log_quota.allow(&self.log, LogTopic::Failure) {
            info!(self.log, "server_held"; "server" => &*server.entry.id, "service" => &*server.entry.service,
                "ms" => time.as_millis() as u64);
        }
    }

    /// Logs the change of a server, and returns whether it is visible to requests.
    pub(super) fn log_server_change(&self, server: &BackendEntry, change: EntryChange) -> bool {
        let event = match change {
            EntryChange::Unchanged => return false,
            EntryChange::Joined => "server_joined",
            EntryChange::Restarted => "server_restarted",
            EntryChange::Leaving => "server_leaving",
            EntryChange::Lapsed => "server_lapsed",
            EntryChange::Removed => "server_gone",
            EntryChange::Deferred => "server_deferred",
        };
        info!(self.log, "server_changed"; "server" => &*server.id, "change" => event, "service" => &*server.service,
            "data_centre" => &*server.data_centre);
        !matches!(change, EntryChange::Lapsed | EntryChange::Deferred)
    }

    /// Logs the services that lost their last available server, and those that have one again.
    pub(super) fn log_service_changes(&self, before: &View, view: &View) {
        for service in before.services().filter(|service| view.servers(service).is_empty()) {
            warn!(self.log, "service_changed"; "service" => &**service, "change" => "no_server_left");
        }
        for service in view.services().filter(|service| before.servers(service).is_empty()) {
            info!(self.log, "service_changed"; "service" => &**service, "change" => "has_a_server");
        }
    }
}
