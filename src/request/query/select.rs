//! Selection of the replica for an attempt.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::ids::SearcherIndex;
use crate::ids::SnapshotId;
use crate::process::fleet::Fleet;
use crate::process::replicas::Availability;
use crate::request::coverage::MissingReason;
use crate::request::plan::Plan;

/// Inputs for the selection of a replica.
#[derive(Debug, Clone, Copy)]
pub(super) struct SelectionInput<'a> {
    pub(super) fleet: &'a Fleet,
    /// Position of the service in the tables.
    pub(super) service: usize,
    pub(super) replicas: &'a [SearcherIndex],
    pub(super) snapshot: SnapshotId,
    pub(super) now: Instant,
}

impl<'a> SelectionInput<'a> {
    pub(super) fn new(fleet: &'a Fleet, plan: &'a Plan, part: u32, snapshot: SnapshotId, now: Instant) -> Self {
        let service = plan.parts[part as usize].service;
        Self {
            fleet,
            service: plan.services[service as usize].position,
            replicas: plan.replicas(part),
            snapshot,
            now,
        }
    }
}

/// Preference class of a replica by location and load. Lower is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Local,
    Remote,
    BusyLocal,
    BusyRemote,
}

/// Whether a searcher is known to hold the pinned snapshot. Lower is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Holding {
    Held,
    Unknown,
    /// Used only as a last resort, since the searcher may have adopted the snapshot in the meantime.
    Missing,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    searcher: SearcherIndex,
    tier: Tier,
    holding: Holding,
    expected_wait: Duration,
    /// Random, so that load spreads over equal candidates.
    tie_breaker: u32,
}

impl Candidate {
    const fn rank(&self) -> (bool, Tier, Holding, Duration, u32) {
        let is_missing = matches!(self.holding, Holding::Missing);
        (
            is_missing,
            self.tier,
            self.holding,
            self.expected_wait,
            self.tie_breaker,
        )
    }

    fn is_ready(&self) -> bool {
        self.tier <= Tier::Remote && self.holding != Holding::Missing
    }
}

/// Selects the replica for a first attempt, a retry or a redirect among those that `skip` does not exclude.
///
/// A remote replica is preferred to a busy local one only within the remote budget. Without a usable local replica, it
/// is selected without charging that budget.
pub(super) fn pick_replica(
    input: &SelectionInput<'_>,
    skip: impl Fn(SearcherIndex) -> bool,
    rng: &mut SmallRng,
) -> Result<SearcherIndex, MissingReason> {
    let mut candidates = candidates(input, &skip, rng)?;
    candidates.sort_by_key(Candidate::rank);
    let best = candidates[0];
    if best.tier != Tier::Remote {
        return Ok(best.searcher);
    }
    let mut holders = candidates
        .iter()
        .filter(|candidate| candidate.holding != Holding::Missing);
    let Some(local) = holders.find(|candidate| candidate.tier == Tier::BusyLocal) else {
        return Ok(best.searcher);
    };
    let in_budget = input.fleet.budgets.service(input.service).remote.take();
    Ok(if in_budget { best.searcher } else { local.searcher })
}

/// Selects the replica for a hedge. It must be ready and not known to miss the snapshot.
pub(super) fn pick_hedge_replica(
    input: &SelectionInput<'_>,
    skip: impl Fn(SearcherIndex) -> bool,
    rng: &mut SmallRng,
) -> Option<SearcherIndex> {
    let candidates = candidates(input, &skip, rng).ok()?;
    let ready = candidates.into_iter().filter(Candidate::is_ready);
    let best = ready.min_by_key(Candidate::rank);
    best.map(|candidate| candidate.searcher)
}

/// Returns the eligible replicas, at least one, or the reason why there is none.
fn candidates(
    input: &SelectionInput<'_>,
    skip: &impl Fn(SearcherIndex) -> bool,
    rng: &mut SmallRng,
) -> Result<Vec<Candidate>, MissingReason> {
    let replicas = &input.fleet.replicas;
    let availabilities: Vec<Availability> = input
        .replicas
        .iter()
        .map(|searcher| replicas.availability(*searcher, rng.random(), input.now))
        .collect();
    let mut eligible = Vec::with_capacity(input.replicas.len());
    let mut reason = MissingReason::Unreachable;
    for (position, searcher) in input.replicas.iter().copied().enumerate() {
        let availability = effective_availability(&availabilities, position);
        if availability == Availability::Leaving {
            reason = MissingReason::Draining;
            continue;
        }
        if skip(searcher) {
            continue;
        }
        let holding = match input.fleet.holdings.holds(searcher, input.snapshot, input.now) {
            Some(true) => Holding::Held,
            Some(false) => Holding::Missing,
            None => Holding::Unknown,
        };
        eligible.push(Candidate {
            searcher,
            tier: tier(availability, replicas.is_local(searcher)),
            holding,
            expected_wait: replicas.expected_wait(input.service, searcher),
            tie_breaker: rng.random(),
        });
    }
    if eligible.is_empty() { Err(reason) } else { Ok(eligible) }
}

const fn tier(availability: Availability, local: bool) -> Tier {
    match (availability, local) {
        (Availability::Ready, true) => Tier::Local,
        (Availability::Ready, false) => Tier::Remote,
        (_, true) => Tier::BusyLocal,
        (_, false) => Tier::BusyRemote,
    }
}

/// Returns the availability of the replica at `position` after overriding ejections.
///
/// At least half of the replicas of a shard, rounded up, must stay usable. If ejections leave fewer, those that end
/// first are overridden first.
fn effective_availability(availabilities: &[Availability], position: usize) -> Availability {
    let Availability::Ejected(until) = availabilities[position] else {
        return availabilities[position];
    };
    let min_usable = availabilities.len().div_ceil(2);
    let usable = availabilities
        .iter()
        .filter(|availability| matches!(availability, Availability::Ready | Availability::Busy))
        .count();
    let ejected_earlier = availabilities
        .iter()
        .enumerate()
        .filter(|(other, availability)| match availability {
            Availability::Ejected(end) => (*end, *other) < (until, position),
            _ => false,
        });
    if usable + ejected_earlier.count() < min_usable {
        Availability::Ready
    } else {
        availabilities[position]
    }
}
