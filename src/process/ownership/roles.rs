//! Roles of one leaf for its searchers, with their start times.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::InstanceId;
use crate::ids::SearcherId;
use crate::process::membership::State;
use crate::process::membership::View;
use crate::process::ownership::placement::Placement;
use crate::process::ownership::placement::Rank;

/// Time for which a new owner uses only one slot, because the previous owner may not have learned of the change. It is
/// the assumed maximum delay of the platform's list.
pub const HANDOVER_PERIOD: Duration = Duration::from_secs(3);

/// Role of this leaf for one searcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Role {
    /// Rank of the leaf for the searcher.
    pub rank: Rank,
    /// Time at which the leaf got this rank.
    pub since: Instant,
    /// End of the handover period; equal to `since` if there is none.
    pub handover_end: Instant,
}

impl Role {
    /// Returns whether the handover period is in progress, during which the leaf uses only one slot.
    #[must_use]
    pub fn in_handover(&self, now: Instant) -> bool {
        now < self.handover_end
    }
}

/// Change of the role for one searcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// Name of the searcher.
    pub searcher: SearcherId,
    /// The new role, or `None` if the leaf no longer holds the searcher.
    pub role: Option<Role>,
}

/// Roles of one leaf, updated after each change of the placement or the configuration.
#[derive(Debug)]
pub struct Roles {
    leaf: InstanceId,
    held: IndexMap<SearcherId, Role>,
    last_owners: IndexMap<SearcherId, InstanceId>,
}

impl Roles {
    /// Creates the roles of `leaf`, which holds no searcher yet.
    #[must_use]
    pub fn new(leaf: InstanceId) -> Self {
        Self {
            leaf,
            held: IndexMap::new(),
            last_owners: IndexMap::new(),
        }
    }

    /// Returns the role for a searcher, or `None` if the leaf does not hold it.
    #[must_use]
    pub fn role(&self, searcher: &str) -> Option<Role> {
        self.held.get(searcher).copied()
    }

    /// Returns all searchers that the leaf holds, with the roles for them.
    pub fn held(&self) -> impl Iterator<Item = (&SearcherId, &Role)> {
        self.held.iter()
    }

    /// Applies a placement and returns the changes. `searchers` are the names in the order of the placement's indexes.
    ///
    /// A new owner skips the handover period if the previous owner is known to be leaving, because that one no longer
    /// dispatches. If no previous owner is known, as after a start, the period applies.
    pub fn update<'a>(
        &mut self,
        searchers: impl Iterator<Item = &'a SearcherId>,
        placement: &Placement,
        view: &View,
        now: Instant,
    ) -> Vec<RoleChange> {
        let mut changes = Vec::new();
        let mut held = IndexMap::new();
        let mut last_owners = IndexMap::new();
        for (ix, searcher) in searchers.enumerate() {
            let ix = ix as u32;
            if let Some(owner) = placement.owner(ix) {
                last_owners.insert(searcher.clone(), owner.clone());
            }
            let before = self.held.swap_remove(searcher);
            let Some(rank) = placement.rank_of(ix, &self.leaf) else {
                if before.is_some() {
                    changes.push(RoleChange {
                        searcher: searcher.clone(),
                        role: None,
                    });
                }
                continue;
            };
            let role = before
                .filter(|before| before.rank == rank)
                .unwrap_or_else(|| self.new_role(searcher, rank, view, now));
            if before != Some(role) {
                changes.push(RoleChange {
                    searcher: searcher.clone(),
                    role: Some(role),
                });
            }
            held.insert(searcher.clone(), role);
        }
        let removed = self
            .held
            .drain(..)
            .map(|(searcher, _)| RoleChange { searcher, role: None });
        changes.extend(removed);
        self.held = held;
        self.last_owners = last_owners;
        changes
    }

    /// Restarts the handover period for all searchers held, because another leaf may have taken over during the pause.
    pub fn on_pause(&mut self, now: Instant) -> Vec<RoleChange> {
        let mut changes = Vec::new();
        for (searcher, role) in &mut self.held {
            role.handover_end = now + HANDOVER_PERIOD;
            changes.push(RoleChange {
                searcher: searcher.clone(),
                role: Some(*role),
            });
        }
        changes
    }

    /// Removes the role for a searcher whose lane is replaced, so that the next update reports it again.
    pub fn remove(&mut self, searcher: &str) {
        self.held.shift_remove(searcher);
    }

    fn new_role(&self, searcher: &SearcherId, rank: Rank, view: &View, now: Instant) -> Role {
        let owner_left = self.last_owners.get(searcher).is_some_and(|owner| {
            let earlier = view.instances.get(owner);
            earlier.is_some_and(|instance| instance.state == State::Leaving)
        });
        let handover_end = if owner_left { now } else { now + HANDOVER_PERIOD };
        Role {
            rank,
            since: now,
            handover_end,
        }
    }
}
