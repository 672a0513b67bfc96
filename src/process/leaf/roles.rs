//! Manager of the lanes of a leaf: follows the view and the configuration in effect.

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
use crate::process::leaf::lanes::LaneHandle;
use crate::process::leaf::lanes::LaneInput;
use crate::process::leaf::lanes::LaneNews;
use crate::process::membership::View;
use crate::process::node::Version;
use crate::process::node::control::ControlInput;
use crate::process::ownership::placement::Placement;
use crate::process::ownership::placement::Rank;
use crate::process::ownership::roles::Role;
use crate::process::ownership::roles::RoleChange;
use crate::process::ownership::roles::Roles;
use crate::version::tables::Searcher;
use crate::version::tables::Tables;

/// Mean time between two reads of the state of a searcher that is leaving, which show when it is back.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time that a lane whose searcher changed its address or limits may finish its work.
const REPLACED_LANE_LIMIT: Duration = Duration::from_secs(60);

/// Share of dispatches that routine work keeps at a searcher whose service is not found. It is never used in practice.
const ROUTINE_SHARE_DEFAULT: f64 = 0.1;

/// Manager of the lanes.
#[derive(Debug)]
pub struct RoleManager {
    leaf: Arc<Leaf>,
    news: mpsc::Sender<LaneNews>,
    queue: usize,
    roles: Roles,
    placement: Placement,
    version: Option<Arc<Version>>,
    leaving: IndexSet<SearcherId>,
    transports: IndexMap<SearcherId, Digest>,
    rng: SmallRng,
}

impl RoleManager {
    /// Makes a manager. `queue` is the bound on the queue of each lane.
    #[must_use]
    pub fn new(leaf: Arc<Leaf>, news: mpsc::Sender<LaneNews>, queue: usize, rng: SmallRng) -> Self {
        let roles = Roles::new(leaf.node().identity.instance.clone());
        Self {
            leaf,
            news,
            queue,
            roles,
            placement: Placement::default(),
            version: None,
            leaving: IndexSet::new(),
            transports: IndexMap::new(),
            rng,
        }
    }

    /// Follows the view and the configuration until the process ends.
    pub async fn run(mut self) {
        let node = Arc::clone(self.leaf.node());
        let mut views = node.views();
        let mut versions = node.versions();
        let mut subscription = node.timer.subscribe();
        let mut next_probe = node.timer.now() + PROBE_INTERVAL;
        loop {
            let viewed = tokio::select! {
                changed = views.changed() => match changed {
                    Ok(()) => true,
                    Err(_node_gone) => return,
                },
                changed = versions.changed() => match changed {
                    Ok(()) => true,
                    Err(_node_gone) => return,
                },
                () = subscription.wait(Some(next_probe)) => false,
            };
            let tick = subscription.tick();
            if tick.paused.is_some() {
                let changes = self.roles.on_pause(tick.now);
                self.apply(changes, tick.now).await;
            }
            if viewed {
                let view = views.borrow_and_update().clone();
                let version = versions.borrow_and_update().clone();
                self.update(version, &view, tick.now).await;
            }
            if tick.now >= next_probe {
                next_probe = tick.now + PROBE_INTERVAL.mul_f64(self.rng.random_range(0.75..1.25));
                self.probe_leaving();
            }
        }
    }

    async fn update(&mut self, version: Option<Arc<Version>>, view: &View, now: Instant) {
        let Some(version) = version else { return };
        if self.leaf.is_refusing() {
            self.end_all();
            return;
        }
        if !view.current && self.version.is_none() {
            // A leaf that has just started may not know yet that a searcher is leaving.
            return;
        }
        let is_new = self.version.as_ref().is_none_or(|known| !Arc::ptr_eq(known, &version));
        if is_new {
            match &self.version {
                Some(known) => self.placement.update_tables(&known.tables, &version.tables, view),
                None => self.placement = Placement::new(&version.tables, view),
            }
            self.replace_changed(&version.tables);
            self.update_limits(&version.tables).await;
        } else {
            self.placement.update(view);
        }
        self.version = Some(Arc::clone(&version));
        let names = version.tables.searchers.keys();
        let changes = self.roles.update(names, &self.placement, view, now);
        self.apply(changes, now).await;
        self.leaf.successors.store(Arc::new(self.successors(&version.tables)));
        self.update_leaving(view).await;
        if view.current {
            for lane in self.leaf.lanes().values() {
                lane.send(LaneInput::Confirmed).await;
            }
        }
    }

    /// Returns the leaves that take over the searchers that this leaf owns.
    fn successors(&self, tables: &Tables) -> IndexSet<InstanceId> {
        let owned = self.roles.held().filter(|(_, role)| role.rank == Rank::Owner);
        let owned = owned.filter_map(|(id, _)| tables.searchers.get_index_of(id));
        let next = owned.filter_map(|ix| self.placement.candidates(ix as u32).find(|candidate| !candidate.first));
        next.map(|candidate| candidate.leaf.clone()).collect()
    }

    /// Ends the lanes of searchers whose transport digest changed. All others keep their connections and what they learned.
    fn replace_changed(&mut self, tables: &Tables) {
        let mut kept = LaneMap::clone(&self.leaf.lanes());
        let mut replaced = Vec::new();
        for (id, transport) in &self.transports {
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
            self.transports.shift_remove(&id);
            self.leaf.forget_holdings(&id);
            self.roles.remove(&id);
            tokio::spawn(finish(lane));
        }
    }

    /// Gives the lanes that go on the limits of the new revision.
    async fn update_limits(&self, tables: &Tables) {
        for (id, lane) in &*self.leaf.lanes() {
            let Some(searcher) = tables.searchers.get(id) else {
                continue;
            };
            if let Ok(share) = Share::from_cap(searcher.slots, searcher.connections, tables.claims) {
                let routine = routine_share(tables, searcher);
                lane.send(LaneInput::Limits { share, routine }).await;
            }
        }
    }

    async fn apply(&mut self, changes: Vec<RoleChange>, now: Instant) {
        for change in changes {
            match change.role {
                Some(role) => self.set_role(&change.searcher, role, now).await,
                None => self.end_role(&change.searcher),
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
            lane.send(LaneInput::Draining).await;
        }
    }

    fn start_lane(&mut self, id: &SearcherId) -> Option<LaneHandle> {
        let version = self.version.clone()?;
        let tables = &version.tables;
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
            prefix: format!("{}-{:x}", node.identity.instance, node.identity.incarnation).into(),
            address: searcher.address,
            config: LaneConfig {
                slots: searcher.slots,
                share,
                queue_capacity: self.queue,
                routine_share: routine_share(tables, searcher),
                handover_period: HANDOVER_PERIOD,
            },
            timer: node.timer.clone(),
            metrics: node.metrics.clone(),
            news: self.news.clone(),
            log: node.log.clone(),
        };
        let lane = lanes::start(context, self.rng.random());
        self.transports.insert(id.clone(), searcher.transport_digest);
        let mut lanes = LaneMap::clone(&self.leaf.lanes());
        lanes.insert(id.clone(), lane.clone());
        self.leaf.lanes.store(Arc::new(lanes));
        Some(lane)
    }

    /// Gives up all searchers because this leaf stops: its own view no longer ranks it.
    fn end_all(&mut self) {
        let lanes = self.leaf.lanes();
        for id in lanes.keys() {
            self.end_role(id);
        }
    }

    fn end_role(&mut self, id: &SearcherId) {
        let mut lanes = LaneMap::clone(&self.leaf.lanes());
        let ended = lanes.shift_remove(id);
        self.leaf.lanes.store(Arc::new(lanes));
        self.transports.shift_remove(id);
        self.leaf.forget_holdings(id);
        if let Some(lane) = ended {
            tokio::spawn(finish(lane));
        }
    }

    async fn update_leaving(&mut self, view: &View) {
        let lanes = self.leaf.lanes();
        for id in view.leaving.difference(&self.leaving) {
            if let Some(lane) = lanes.get(id) {
                info!(self.leaf.node().log, "searcher_leaving"; "searcher" => &**id);
                lane.send(LaneInput::Draining).await;
            }
        }
        for id in self.leaving.difference(&view.leaving) {
            if let Some(lane) = lanes.get(id) {
                info!(self.leaf.node().log, "searcher_returned"; "searcher" => &**id);
                lane.send(LaneInput::Returned).await;
            }
        }
        self.leaving.clone_from(&view.leaving);
    }

    /// Reads the state of the leaving searchers that this leaf holds. A draining lane holds no connection of its own, so
    /// the one opened here stays within the share.
    fn probe_leaving(&self) {
        let Some(version) = &self.version else { return };
        let lanes = self.leaf.lanes();
        let held = self.leaving.iter().filter(|id| lanes.contains_key(*id));
        for searcher in held.filter_map(|id| version.tables.searchers.get(id)) {
            let node = Arc::clone(self.leaf.node());
            let id = searcher.id.clone();
            let address = searcher.address;
            tokio::spawn(async move {
                let began = node.timer.now();
                if let Ok((_connection, reply)) = connections::open(address).await
                    && !reply.draining
                {
                    node.observe(ControlInput::SearcherUsable(id, began));
                }
            });
        }
    }
}

/// Lets a lane finish what is in flight, then ends it. Waiting work is refused as `not_owner`, so that entries use the
/// new holder.
async fn finish(lane: LaneHandle) {
    let role = share::Role::None;
    lane.send(LaneInput::Role { role, handover: false }).await;
    let _limit_passed = tokio::time::timeout(REPLACED_LANE_LIMIT, lane.idle()).await;
    lane.send(LaneInput::Close).await;
}

const fn share_role(rank: Rank) -> share::Role {
    match rank {
        Rank::Owner => share::Role::Owner,
        Rank::Successor => share::Role::Successor,
        Rank::Remote => share::Role::Remote,
    }
}

/// Returns the routine share of the service that the searcher belongs to.
fn routine_share(tables: &Tables, searcher: &Searcher) -> f64 {
    let Some(ix) = tables.searchers.get_index_of(&searcher.id) else {
        return ROUTINE_SHARE_DEFAULT;
    };
    let services = tables.indexes.values().flat_map(|index| index.services.values());
    let owner = services.into_iter().find(|service| {
        let replicas = service.shards.iter().flat_map(|shard| &shard.replicas);
        replicas.into_iter().any(|replica| *replica as usize == ix)
    });
    owner.map_or(ROUTINE_SHARE_DEFAULT, |service| service.policy.routine_share)
}
