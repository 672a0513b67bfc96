//! Updates the fleet and the routing table of an entry when the membership view or the configuration changes.

use std::sync::Arc;
use std::sync::PoisonError;

use indexmap::IndexSet;

use crate::ids::DataCentreId;
use crate::ids::SearcherId;
use crate::process::entry::Entry;
use crate::process::entry::Routing;
use crate::process::fleet::Fleet;
use crate::process::membership::Role;
use crate::process::membership::State;
use crate::process::membership::View;
use crate::process::node::ActiveConfig;
use crate::process::ownership::placement::Placement;

/// Applies changes of the membership view and the configuration until the process ends.
pub async fn run(entry: Arc<Entry>) {
    let mut views = entry.node.watch_view();
    let mut versions = entry.node.watch_config();
    let mut updater = FleetUpdater {
        entry,
        placement: Placement::default(),
        version: None,
        leaving: IndexSet::new(),
    };
    loop {
        let changed = tokio::select! {
            changed = views.changed() => changed,
            changed = versions.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
        let view = views.borrow_and_update().clone();
        let version = versions.borrow_and_update().clone();
        updater.update(version, &view);
    }
}

struct FleetUpdater {
    entry: Arc<Entry>,
    placement: Placement,
    version: Option<Arc<ActiveConfig>>,
    leaving: IndexSet<SearcherId>,
}

impl FleetUpdater {
    fn update(&mut self, version: Option<Arc<ActiveConfig>>, view: &View) {
        let Some(version) = version else { return };
        let is_new = self.version.as_ref().is_none_or(|known| !Arc::ptr_eq(known, &version));
        if is_new {
            match &self.version {
                Some(known) => self.placement.update_tables(&known.tables, &version.tables, view),
                None => self.placement = Placement::new(&version.tables, view),
            }
            self.replace_fleet(&version);
        } else {
            self.placement.update(view);
        }
        // Searcher indexes are valid for one revision. A query that was planned before a change of the revision may be
        // routed to the wrong leaf, which answers `not_owner`. That delays the query but does not affect its result.
        let routing = Routing {
            placement: self.placement.clone(),
            handover_centres: handover_centres(view),
        };
        self.entry.routing.store(Arc::new(routing));
        self.version = Some(version);
        self.update_leaving(view);
    }

    fn replace_fleet(&mut self, version: &ActiveConfig) {
        let now = self.entry.node.timer.now();
        let tables = Arc::clone(&version.tables);
        let fleet = match self.entry.fleet.load_full() {
            Some(old) => old.next_revision(tables, now),
            None => Fleet::new(tables, &self.entry.node.identity.data_centre, now),
        };
        let holdings = self.entry.holdings.lock().unwrap_or_else(PoisonError::into_inner);
        for (id, snapshots) in holdings.iter() {
            if let Some(ix) = fleet.tables.searchers.get_index_of(id) {
                fleet.holdings.on_reply(ix as u32, snapshots, now);
            }
        }
        drop(holdings);
        self.leaving.clear();
        self.entry.fleet.store(Some(Arc::new(fleet)));
    }

    fn update_leaving(&mut self, view: &View) {
        let Some(fleet) = self.entry.fleet.load_full() else {
            return;
        };
        let now = self.entry.node.timer.now();
        for (ix, id) in fleet.tables.searchers.keys().enumerate() {
            let leaving = view.is_leaving(id);
            if leaving != self.leaving.contains(id) {
                fleet.replicas.set_leaving(ix as u32, leaving, now);
            }
        }
        self.leaving.clone_from(&view.leaving);
    }
}

fn handover_centres(view: &View) -> IndexSet<DataCentreId> {
    let leaving = view
        .instances
        .values()
        .filter(|instance| instance.state == State::Leaving);
    let leaves = leaving.filter(|instance| instance.role == Role::Leaf);
    leaves.map(|instance| instance.data_centre.clone()).collect()
}
