//! What an instance knows of the platform, and how reads and other instances change it.
//!
//! The state is owned by the gateway and changes under its lock, so a request sees all of a read or nothing of it.

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
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
use crate::process::gateway::lines::Topic;
use crate::process::gossip::Source;
use crate::version::routing::Routing;
use crate::wire::proto;

/// Age of the last complete read from which an instance does not tell others what it knows. A wait, a pause and an answer
/// of a slow platform fit into it.
const STALE_AGE: Duration = Duration::from_secs(4);

/// What is known from the platform.
#[derive(Debug)]
pub(super) struct Known {
    pub(super) directory: Directory,
    /// Values as they were read, for instances that cannot read them.
    pub(super) values: IndexMap<Box<str>, Bytes>,
    pub(super) position: Option<Position>,
    /// Whether the last read was one of another instance.
    pub(super) is_follower: bool,
    /// Changes for instances that follow this one.
    pub(super) history: History,
    /// Time as of which everything is known that the platform held.
    pub(super) complete_at: Option<Instant>,
    /// Time at which another instance told its state last.
    pub(super) relayed_at: Option<Instant>,
    pub(super) routing: Option<Arc<Routing>>,
    /// Bound on extra attempts of all instances.
    pub(super) extra: ExtraLimits,
    pub(super) is_listed: bool,
    pub(super) is_stopping: bool,
}

impl Gateway {
    /// Takes what a read of the platform that began at `begun` brought. An answer that is older than what another instance
    /// has told meanwhile is dropped: it would undo changes that are not read again.
    pub fn on_platform_read(&self, read: Changes, extent: ReadScope, begun: Instant) {
        let now = Instant::now();
        if read.origin == Origin::Platform {
            self.isolation().on_platform_judged();
        }
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.directory.on_platform_read(now);
        *self.read_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
        if known.position.is_some_and(|own| read.position < own) {
            info!(self.log, "platform_read_outdated"; "position" => read.position, "known" => known.position);
            if known.relayed_at.is_none_or(|at| at < begun) {
                // The platform does not know the position that was told, so everything is read again.
                known.position = None;
            }
            return;
        }
        known.is_follower = read.origin != Origin::Platform;
        let mut changed = self.apply(&mut known, read.changes, read.position, extent, now);
        let as_of = match read.origin {
            Origin::Platform => Some(begun),
            Origin::Instance { age } => begun.checked_sub(age),
        };
        if let Some(as_of) = as_of.filter(|_| read.is_complete) {
            known.complete_at = Some(as_of);
            for gone in known.directory.remove_lapsed(as_of) {
                changed |= self.note(&gone.entry, EntryChange::Removed);
            }
        }
        if changed {
            self.put_in_effect(&known);
        }
        drop(known);
        self.reads.send_replace(());
    }

    /// Takes what another instance has read up to `position`, which is all there is. It counts while this instance cannot
    /// read the platform itself.
    pub(crate) fn on_relayed(&self, changes: Vec<Change>, position: Position) {
        let now = Instant::now();
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let is_behind = known.position.is_none_or(|own| own < position);
        if !is_behind || !(known.directory.is_disconnected() || known.position.is_none()) {
            return;
        }
        known.relayed_at = Some(now);
        info!(self.log, "platform_relayed"; "position" => position, "before" => known.position, "values" => changes.len());
        if self.apply(&mut known, changes, position, ReadScope::Full, now) {
            self.put_in_effect(&known);
        }
    }

    /// Takes values up to `position`, and tells whether requests see a change.
    fn apply(
        &self,
        known: &mut Known,
        changes: Vec<Change>,
        position: Position,
        extent: ReadScope,
        now: Instant,
    ) -> bool {
        let items: Vec<Item> = changes.iter().filter_map(self.decoder).collect();
        let mut changed = false;
        if extent == ReadScope::Full {
            changed = !known.is_listed;
            known.is_listed = true;
            known.values.clear();
            for id in discovery::missing_servers(known.directory.ids(), &items) {
                changed |= self.on_missing(known, &id);
            }
        }
        known.history.on_read(&changes, position, extent);
        for change in changes {
            match change.value {
                Some(value) => {
                    known.values.insert(change.key, value);
                }
                None => {
                    known.values.swap_remove(&change.key);
                }
            }
        }
        known.position = known.position.max(Some(position));
        for item in items {
            changed |= self.on_item(known, item, now);
        }
        changed
    }

    /// Takes that a read of the platform failed.
    pub fn on_platform_lost(&self) {
        self.isolation().on_platform_judged();
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.directory.on_platform_lost();
        drop(known);
        self.reads.send_replace(());
    }

    /// Takes that the platform answered a read that waited, long after its wait was over. It was away meanwhile, so entries
    /// may have lapsed whose owners live.
    pub(crate) fn on_platform_overdue(&self, elapsed: Duration) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if !known.directory.tolerates_missing() {
            info!(self.log, "platform_overdue"; "ms" => elapsed.as_millis() as u64);
            known.directory.on_platform_lost();
        }
    }

    /// Returns where this instance learns of changes.
    pub(crate) fn source(&self) -> Source {
        self.census.lock().unwrap_or_else(PoisonError::into_inner).source()
    }

    /// Tells whether other instances follow this one.
    pub(crate) fn is_reader(&self) -> bool {
        self.census.lock().unwrap_or_else(PoisonError::into_inner).is_reader()
    }

    /// Bounds a wait or a pause of a read of the platform for the sake of followers.
    pub(crate) fn bound(&self, time: Duration) -> Duration {
        if self.is_reader() {
            time.min(self.settings.freshness.reader_wait_max())
        } else {
            time
        }
    }

    /// Returns what an instance at `position` learns from this one.
    pub(super) fn followed(&self, position: Position) -> proto::Followed {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let age = known.complete_at.map(|at| at.elapsed());
        // An instance that is behind the asking one may reach it while that one waits.
        let is_behind = known.position.is_some_and(|own| own < position);
        let changes = if is_behind {
            Some(Vec::new())
        } else {
            known.history.since(position)
        };
        let is_stale = known.is_follower || known.directory.is_disconnected() || age.is_none_or(|age| age > STALE_AGE);
        let stored = changes.as_ref().filter(|_| !is_stale).into_iter().flatten();
        proto::Followed {
            position: known.position.unwrap_or_default(),
            complete: self.measures.platform_lag.get() == 0.0,
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

    /// Returns the time until which entries that lapsed may still come back.
    pub(crate) fn doubtful_until(&self) -> Option<Instant> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.directory.grace_until()
    }

    fn on_item(&self, known: &mut Known, item: Item, now: Instant) -> bool {
        match item {
            Item::Routing(routing) => {
                let current = known.routing.as_ref().map(|current| current.revision);
                if !discovery::is_newer_revision(routing.revision, current) {
                    return false;
                }
                info!(self.log, "configuration_in_effect"; "revision" => routing.revision, "before" => current,
                    "routes" => routing.len(), "services" => routing.services.len());
                self.forget_unused(&routing);
                known.routing = Some(Arc::from(routing));
                true
            }
            Item::Server(entry) => {
                let effect = known.directory.on_entry(entry.clone(), now);
                self.note(&entry, effect)
            }
            Item::ServerMissing(id) => self.on_missing(known, &id),
            Item::Unreadable { key, server, reason } => {
                warn!(self.log, "platform_value_unreadable"; "key" => &*key, "reason" => &*reason);
                let backend = server.and_then(|id| known.directory.backend(&id));
                backend.is_some_and(|backend| {
                    let effect = known.directory.on_unreadable(&backend.entry.id);
                    self.note(&backend.entry, effect)
                })
            }
        }
    }

    fn on_missing(&self, known: &mut Known, id: &str) -> bool {
        known.directory.backend(id).is_some_and(|backend| {
            let effect = known.directory.on_missing(id);
            self.note(&backend.entry, effect)
        })
    }

    /// Takes that a server has said for the first time that it is leaving.
    pub(super) fn on_server_leaving(&self, server: &Backend) {
        let entry = &server.entry;
        info!(self.log, "server_changed"; "server" => &*entry.id, "change" => "server_said_leaving",
            "service" => &*entry.service, "data_centre" => &*entry.data_centre);
        self.measures.count_notice("leaving");
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        self.put_in_effect(&known);
    }

    /// Takes that a server wants no requests of this instance for `time`.
    pub(super) fn on_server_hold(&self, server: &Backend, time: Duration) {
        self.measures.count_notice("hold");
        if self.lines.allow(&self.log, Topic::Trouble) {
            info!(self.log, "server_held"; "server" => &*server.entry.id, "service" => &*server.entry.service,
                "ms" => time.as_millis() as u64);
        }
    }

    /// Logs what changed for a server, and tells whether requests see it.
    fn note(&self, server: &BackendEntry, effect: EntryChange) -> bool {
        let event = match effect {
            EntryChange::Unchanged => return false,
            EntryChange::Joined => "server_joined",
            EntryChange::Restarted => "server_restarted",
            EntryChange::Leaving => "server_leaving",
            EntryChange::Lapsed => "server_lapsed",
            EntryChange::Removed => "server_gone",
        };
        info!(self.log, "server_changed"; "server" => &*server.id, "change" => event, "service" => &*server.service,
            "data_centre" => &*server.data_centre);
        effect != EntryChange::Lapsed
    }

    /// Logs which services lost their last server that can be asked, and which have one again.
    pub(super) fn note_services(&self, before: &View, view: &View) {
        for service in before.services().filter(|service| view.servers(service).is_empty()) {
            warn!(self.log, "service_changed"; "service" => &**service, "change" => "no_server_left");
        }
        for service in view.services().filter(|service| before.servers(service).is_empty()) {
            info!(self.log, "service_changed"; "service" => &**service, "change" => "has_a_server");
        }
    }
}
