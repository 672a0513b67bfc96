//! Starts, updates and ends the lanes of a leaf when the membership view or the configuration in effect changes.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use rand::rngs::SmallRng;
use slog::error;
use slog::info;
use tokio::sync::mpsc;

use crate::connection::lane::work::HANDOVER_PERIOD;
use crate::connection::lane::work::LaneConfig;
use crate::connection::share;
use crate::connection::share::Share;
use crate::ids::Digest;
use crate::ids::InstanceId;
use crate::ids::SearcherId;
use crate::process::leaf::LaneMap;
use crate::process::leaf::Leaf;
use crate::process::leaf::connections;
use crate::process::leaf::lanes;
use crate::process::leaf::lanes::LaneContext;
use crate::process::leaf::lanes::LaneEvent;
use crate::process::leaf::lanes::LaneHandle;
use crate::process::leaf::lanes::LaneInput;
use crate::process::membership::View;
use crate::process::node::ActiveConfig;
use crate::process::node::control::ControlInput;
use crate::process::ownership::placement::Placement;
use crate::process::ownership::placement::Rank;
use crate::process::ownership::roles::Role;
use crate::process::ownership::roles::RoleChange;
use crate::process::ownership::roles::Roles;
use crate::version::tables::Searcher;
use crate::version::tables::Tables;

/// Mean interval between reads of the state of a leaving searcher, which detect that it accepts work again.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time that a lane which ends may take to finish its work in flight.
const LANE_FINISH_TIMEOUT: Duration = Duration::from_secs(60);

/// Share of routine work for a searcher whose service is not found. This does not occur in practice.
const DEFAULT_ROUTINE_SHARE: f64 = 0.1;

/// Manages the lanes of a leaf. Runs as one task, which alone changes the set of lanes.
#[derive(Debug)]
pub struct LaneManager {
    leaf: Arc<Leaf>,
    events: mpsc::Sender<LaneEvent>,
    queue_capacity: usize,
    roles: Roles,
    placement: Placement,
    config: Option<Arc<ActiveConfig>>,
    leaving: IndexSet<SearcherId>,
    transport_digests: IndexMap<SearcherId, Digest>,
    rng: SmallRng,
}

impl LaneManager {
    /// Creates a manager. `queue_capacity` bounds the queue of each lane, in work items.
    #[must_use]
    pub fn new(leaf: Arc<Leaf>, events: mpsc::Sender<LaneEvent>, queue_capacity: usize, rng: SmallRng) -> Self {
        let roles = Roles::new(leaf.node().identity.instance.clone());
        Self {
            leaf,
            events,
            queue_capacity,
            roles,
            placement: Placement::default(),
            config: None,
            leaving: IndexSet::new(),
            transport_digests: IndexMap::new(),
            rng,
        }
    }

    /// Updates the lanes on each change of the view or the configuration until the process ends.
    pub async fn run(mut self) {
        let node = Arc::clone(self.leaf.node());
        let mut views = node.watch_view();
        let mut configs = node.watch_config();
        let mut subscription = node.timer.subscribe();
        let mut next_probe = node.timer.now() + PROBE_INTERVAL;
        loop {
            let inputs_changed = tokio::select! {
                changed = views.changed() => match changed {
                    Ok(()) => true,
                    Err(_node_dropped) => return,
                },
                changed = configs.changed() => match changed {
                    Ok(()) => true,
                    Err(_node_dropped) => return,
                },
                () = subscription.wait(Some(next_probe)) => false,
            };
            let tick = subscription.read();
            if tick.pause.is_some() {
                let changes = self.roles.on_pause(tick.now);
                self.apply(changes, tick.now).await;
            }
            if inputs_changed {
                let view = views.borrow_and_update().clone();
                let config = configs.borrow_and_update().clone();
                self.update(config, &view, tick.now).await;
            }
            if tick.now >= next_probe {
                next_probe = tick.now + PROBE_INTERVAL.mul_f64(self.rng.random_range(0.75..1.25));
                self.probe_leaving();
            }
        }
    }

    async fn update(&mut self, config: Option<Arc<ActiveConfig>>, view: &View, now: Instant) {
        let Some(config) = config else { return };
        if self.leaf.is_refusing() {
            self.end_all_lanes();
            return;
        }
        if !view.current && self.config.is_none() {
            // Until its view is current, a leaf that has just started may not know that a searcher is leaving.
            return;
        }
        let is_new = self
            .config
            .as_ref()
            .is_none_or(|previous| !Arc::ptr_eq(previous, &config));
        if is_new {
            match &self.config {
                Some(previous) => self.placement.update_tables(&previous.tables, &config.tables, view),
                None => self.placement = Placement::new(&config.tables, view),
            }
            self.end_changed_lanes(&config.tables);
            self.update_limits(&config.tables).await;
        } else {
            self.placement.update(view);
        }
        self.config = Some(Arc::clone(&config));
        let names = config.tables.searchers.keys();
        let changes = self.roles.update(names, &self.placement, view, now);
        self.apply(changes, now).await;
        self.leaf.successors.store(Arc::new(self.successors(&config.tables)));
        self.update_leaving(view).await;
        if view.current {
            for lane in self.leaf.lanes().values() {
                lane.send(LaneInput::ViewConfirmed).await;
            }
        }
    }

    /// Returns the leaves that would take over the searchers owned by this leaf.
    fn successors(&self, tables: &Tables) -> IndexSet<InstanceId> {
        let owned = self.roles.held().filter(|(_, role)| role.rank == Rank::Owner);
        let owned = owned.filter_map(|(id, _)| tables.searchers.get_index_of(id));
        let next = owned.filter_map(|ix| self.placement.candidates(ix as u32).find(|candidate| !candidate.first));
        next.map(|candidate| candidate.leaf.clone()).collect()
    }

    /// Ends the lanes of searchers that were removed or whose transport digest changed. The other lanes keep their
    /// connections and their measured state.
    fn end_changed_lanes(&mut self, tables: &Tables) {
        let mut kept = LaneMap::clone(&self.leaf.lanes());
        let mut replaced = Vec::new();
        for (id, transport) in &self.transport_digests {
            let same = tables
                .searchers
                .get(id)
                .is_some_and(|searcher| searcher.transport_digest == *transport);
            if !same && let Some(lane) = kept.shift_remove(id) {
                replaced.push((id.clone(), lane));
            }
        }
        self.leaf.lanes.store(Arc::new(kept));
        for (id, lane) in replaced {
            info!(self.leaf.node().log, "lane_replaced"; "searcher" => &*id);
            self.transport_digests.shift_remove(&id);
            self.leaf.remove_holdings(&id);
            self.roles.remove(&id);
            tokio::spawn(finish_lane(lane));
        }
    }

    /// Sends the limits of the new revision to the remaining lanes.
    async fn update_limits(&self, tables: &Tables) {
        for (id, lane) in &*self.leaf.lanes() {
            let Some(searcher) = tables.searchers.get(id) else {
                continue;
            };
            if let Ok(share) = Share::from_cap(searcher.slots, searcher.connections, tables.claims) {
                let routine_share = routine_share(tables, searcher);
                lane.send(LaneInput::Limits { share, routine_share }).await;
            }
        }
    }

    async fn apply(&mut self, changes: Vec<RoleChange>, now: Instant) {
        for change in changes {
            match change.role {
                Some(role) => self.set_role(&change.searcher, role, now).await,
                None => self.end_lane(&change.searcher),
            }
        }
    }

    async fn set_role(&mut self, id: &SearcherId, role: Role, now: Instant) {
        let existing = self.leaf.lanes().get(id).cloned();
        let lane = match existing {
            Some(lane) => lane,
            None => match self.start_lane(id) {
                Some(lane) => lane,
                None => return,
            },
        };
        let handover = role.in_handover(now);
        let role = share_role(role.rank);
        lane.send(LaneInput::Role { role, handover }).await;
        if self.leaving.contains(id) {
            lane.send(LaneInput::SearcherLeaving).await;
        }
    }

    fn start_lane(&mut self, id: &SearcherId) -> Option<LaneHandle> {
        let config = self.config.clone()?;
        let tables = &config.tables;
        let searcher = tables.searchers.get(id)?;
        let node = self.leaf.node();
        let share = match Share::from_cap(searcher.slots, searcher.connections, tables.claims) {
            Ok(share) => share,
            Err(error) => {
                error!(node.log, "searcher_without_share"; "searcher" => &**id, "error" => %error);
                return None;
            }
        };
        let context = LaneContext {
            searcher: id.clone(),
            id_prefix: format!("{}-{:x}", node.identity.instance, node.identity.incarnation).into(),
            address: searcher.address,
            config: LaneConfig {
                slots: searcher.slots,
                share,
                queue_capacity: self.queue_capacity,
                routine_share: routine_share(tables, searcher),
                handover_period: HANDOVER_PERIOD,
            },
            timer: node.timer.clone(),
            metrics: node.metrics.clone(),
            events: self.events.clone(),
            log: node.log.clone(),
        };
        let lane = lanes::start(context, self.rng.random());
        self.transport_digests.insert(id.clone(), searcher.transport_digest);
        let mut lanes = LaneMap::clone(&self.leaf.lanes());
        lanes.insert(id.clone(), lane.clone());
        self.leaf.lanes.store(Arc::new(lanes));
        Some(lane)
    }

    /// Ends all lanes because this leaf is stopping and its own view no longer ranks it.
    fn end_all_lanes(&mut self) {
        let lanes = self.leaf.lanes();
        for id in lanes.keys() {
            self.end_lane(id);
        }
    }

    fn end_lane(&mut self, id: &SearcherId) {
        let mut lanes = LaneMap::clone(&self.leaf.lanes());
        let ended = lanes.shift_remove(id);
        self.leaf.lanes.store(Arc::new(lanes));
        self.transport_digests.shift_remove(id);
        self.leaf.remove_holdings(id);
        if let Some(lane) = ended {
            tokio::spawn(finish_lane(lane));
        }
    }

    async fn update_leaving(&mut self, view: &View) {
        let lanes = self.leaf.lanes();
        for id in view.leaving.difference(&self.leaving) {
            if let Some(lane) = lanes.get(id) {
                info!(self.leaf.node().log, "searcher_leaving"; "searcher" => &**id);
                lane.send(LaneInput::SearcherLeaving).await;
            }
        }
        for id in self.leaving.difference(&view.leaving) {
            if let Some(lane) = lanes.get(id) {
                info!(self.leaf.node().log, "searcher_returned"; "searcher" => &**id);
                lane.send(LaneInput::SearcherReturned).await;
            }
        }
        self.leaving.clone_from(&view.leaving);
    }

    /// Reads the state of each leaving searcher that this leaf holds. A draining lane has no open connection, so the
    /// one opened here stays within the connection share.
    fn probe_leaving(&self) {
        let Some(config) = &self.config else { return };
        let lanes = self.leaf.lanes();
        let held = self.leaving.iter().filter(|id| lanes.contains_key(*id));
        for searcher in held.filter_map(|id| config.tables.searchers.get(id)) {
            let node = Arc::clone(self.leaf.node());
            let id = searcher.id.clone();
            let address = searcher.address;
            tokio::spawn(async move {
                let started = node.timer.now();
                if let Ok((_connection, reply)) = connections::open(address).await
                    && !reply.draining
                {
                    node.try_notify(ControlInput::SearcherUsable(id, started));
                }
            });
        }
    }
}

/// Lets a lane finish its work in flight, then closes it. Queued work is refused as `not_owner`, so that entries retry
/// at the new holder.
async fn finish_lane(lane: LaneHandle) {
    let role = share::Role::None;
    lane.send(LaneInput::Role { role, handover: false }).await;
    let _timed_out = tokio::time::timeout(LANE_FINISH_TIMEOUT, lane.wait_idle()).await;
    lane.send(LaneInput::Close).await;
}

const fn share_role(rank: Rank) -> share::Role {
    match rank {
        Rank::Owner => share::Role::Owner,
        Rank::Successor => share::Role::Successor,
        Rank::Remote => share::Role::Remote,
    }
}

/// Returns the share of routine work of the service that the searcher belongs to.
fn routine_share(tables: &Tables, searcher: &Searcher) -> f64 {
    let Some(ix) = tables.searchers.get_index_of(&searcher.id) else {
        return DEFAULT_ROUTINE_SHARE;
    };
    let services = tables.indexes.values().flat_map(|index| index.services.values());
    let owner = services.into_iter().find(|service| {
        let replicas = service.shards.iter().flat_map(|shard| &shard.replicas);
        replicas.into_iter().any(|replica| *replica as usize == ix)
    });
    owner.map_or(DEFAULT_ROUTINE_SHARE, |service| service.policy.routine_share)
}
