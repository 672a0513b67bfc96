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
    let mut configs = entry.node.watch_config();
    let mut updater = FleetUpdater {
        entry,
        placement: Placement::default(),
        config: None,
        leaving: IndexSet::new(),
    };
    loop {
        let changed = tokio::select! {
            changed = views.changed() => changed,
            changed = configs.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
        let view = views.borrow_and_update().clone();
        let config = configs.borrow_and_update().clone();
        updater.update(config, &view);
    }
}

struct FleetUpdater {
    entry: Arc<Entry>,
    placement: Placement,
    config: Option<Arc<ActiveConfig>>,
    leaving: IndexSet<SearcherId>,
}

impl FleetUpdater {
    fn update(&mut self, config: Option<Arc<ActiveConfig>>, view: &View) {
        let Some(config) = config else { return };
        let is_new = self
            .config
            .as_ref()
            .is_none_or(|previous| !Arc::ptr_eq(previous, &config));
        if is_new {
            match &self.config {
                Some(previous) => self.placement.update_tables(&previous.tables, &config.tables, view),
                None => self.placement = Placement::new(&config.tables, view),
            }
            self.replace_fleet(&config);
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
        self.config = Some(config);
        self.update_leaving(view);
    }

    fn replace_fleet(&mut self, config: &ActiveConfig) {
        let now = self.entry.node.timer.now();
        let tables = Arc::clone(&config.tables);
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
