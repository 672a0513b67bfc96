//! Discovers the other instances by gossip over short connections.
//!
//! There is no registry of the instances, and a new instance knows only a few seeds. Every 2 s, each instance
//! exchanges its list of members with another one. The number of instances determines this instance's share of
//! connections and extra attempts. An instance that cannot read the platform gets the changes from the others. A
//! message holds at most 64 members, so the message size and the work per instance do not grow with the fleet. See
//! "Other instances" in `docs/design/platform.md`.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use crate::ids::DataCentreId;
use crate::ids::InstanceId;
use crate::process::backends::rate_limit;
use crate::process::backends::rate_limit::RequestRate;
use crate::process::backends::rate_limit::Sender;
use crate::process::ownership::rank::NameHash;
use crate::wire::proto;

/// Time between two exchanges.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two exchanges after a start, while no other instance is known, or while the platform cannot be read.
const FAST_INTERVAL: Duration = Duration::from_millis(500);

/// Number of exchanges after a start that go to the seeds in turn, so that instances that start together find each
/// other.
const SEED_ROUNDS: u32 = 6;

/// Number of known members at which a new instance stops asking the seeds first, so that a few seeds can serve a
/// large fleet that starts at once.
const SEED_MAX_MEMBERS: usize = 32;

/// Maximum share of later exchanges that go to a seed. They join groups that were partitioned.
const SEED_SHARE: f64 = 0.2;

/// Target number of exchanges with seeds per interval by all instances together. The share of each instance falls as
/// the fleet grows.
const SEED_EXCHANGES_PER_INTERVAL: f64 = 8.0;

/// Maximum number of members in a message.
const MAX_MEMBERS: usize = 64;

/// Base time after which a member that has not been seen is removed: a few gossip rounds among about thirty
/// instances.
const MEMBER_TTL: Duration = Duration::from_secs(12);

/// Additional time per known member. A message holds only [`MAX_MEMBERS`], so each record is renewed about every
/// `known / 64` rounds of 2 s; this is three times that, to allow for chance.
const TTL_PER_MEMBER: Duration = Duration::from_millis(95);

/// Maximum number of instances per remote data centre, and of remote data centres, that are probed when this data
/// centre may be isolated.
const REMOTE_PER_DATA_CENTRE: usize = 2;
const REMOTE_DATA_CENTRES_MAX: usize = 4;

/// Minimum number of instances in a data centre for one of them to read the platform for the others. With fewer, it
/// would save no reads, because the reader reads more often.
const READER_MIN_INSTANCES: usize = 5;

#[derive(Debug, Clone)]
struct Member {
    address: SocketAddr,
    /// Hash of the name of the instance.
    hash: NameHash,
    data_centre: DataCentreId,
    last_seen: Instant,
}

/// Number of instances, including this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceCount {
    /// Instances in all data centres.
    pub all: u32,
    /// Instances in the data centre of this instance.
    pub local: u32,
}

/// Source of platform changes for an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The instance reads the platform itself.
    Platform,
    /// The instance follows another instance at this address.
    Instance(SocketAddr),
}

/// Membership of the fleet as known to this instance.
#[derive(Debug)]
pub struct Gossip {
    own: InstanceId,
    data_centre: DataCentreId,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    members: IndexMap<InstanceId, Member>,
    rounds: u32,
    /// Number of instances assumed until another one is known.
    assumed: InstanceCount,
}

impl Gossip {
    /// Creates a membership that contains only this instance.
    #[must_use]
    pub fn new(
        own: InstanceId,
        data_centre: DataCentreId,
        address: SocketAddr,
        seeds: &[SocketAddr],
        assumed: InstanceCount,
    ) -> Self {
        let mut gossip = Self {
            own,
            data_centre,
            address,
            seeds: Vec::new(),
            members: IndexMap::new(),
            rounds: 0,
            assumed,
        };
        gossip.set_seeds(seeds);
        gossip
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().filter(|seed| *seed != self.address).collect();
    }

    /// Returns the number of instances, or the assumed number while no other instance is known.
    #[must_use]
    pub fn count(&self) -> InstanceCount {
        if self.members.is_empty() {
            return self.assumed;
        }
        let members = self.members.values();
        let local = members.filter(|member| member.data_centre == self.data_centre).count();
        InstanceCount {
            all: u32::try_from(self.members.len() + 1).unwrap_or(u32::MAX),
            local: u32::try_from(local + 1).unwrap_or(u32::MAX),
        }
    }

    /// Merges the members that another instance knows.
    pub fn on_members(&mut self, members: &[proto::Member], now: Instant) {
        for member in members.iter().take(MAX_MEMBERS) {
            let Ok(address) = member.address.parse() else { continue };
            let age = Duration::from_micros(member.age_us);
            let last_seen = now.checked_sub(age);
            if *member.instance == *self.own || age >= self.member_ttl() {
                continue;
            }
            let Some(last_seen) = last_seen else { continue };
            let update = Member {
                address,
                hash: NameHash::of(&member.instance),
                data_centre: member.data_centre.as_str().into(),
                last_seen,
            };
            match self.members.get_mut(member.instance.as_str()) {
                Some(known) if known.last_seen > last_seen => {}
                Some(known) => *known = update,
                None => {
                    self.members.insert(member.instance.as_str().into(), update);
                }
            }
        }
    }

    /// Removes the members that have not been seen for the member TTL.
    pub fn on_tick(&mut self, now: Instant) {
        let member_ttl = self.member_ttl();
        self.members
            .retain(|_, member| now.saturating_duration_since(member.last_seen) < member_ttl);
    }

    /// Returns the members for a message: this instance and those seen most recently.
    #[must_use]
    pub fn members(&self, now: Instant) -> Vec<proto::Member> {
        let mut known: Vec<(&InstanceId, &Member)> = self.members.iter().collect();
        known.sort_by_key(|(_, member)| std::cmp::Reverse(member.last_seen));
        let own = proto::Member {
            instance: self.own.to_string(),
            address: self.address.to_string(),
            data_centre: self.data_centre.to_string(),
            age_us: 0,
        };
        let others = known.into_iter().take(MAX_MEMBERS - 1).map(|(instance, member)| {
            let age = now.saturating_duration_since(member.last_seen);
            proto::Member {
                instance: instance.to_string(),
                address: member.address.to_string(),
                data_centre: member.data_centre.to_string(),
                age_us: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
            }
        });
        std::iter::once(own).chain(others).collect()
    }

    /// Returns the rate at which this instance may send to a server of `data_centre` that accepts `rate` from all
    /// instances together. Zero if this instance is not among those that share the limit.
    #[must_use]
    pub fn limit_share(&self, rate: RequestRate, server: &str, data_centre: &str) -> RequestRate {
        if self.members.is_empty() {
            return rate_limit::assumed_share(rate, self.assumed.all);
        }
        let own = Sender {
            instance: &self.own,
            hash: NameHash::of(&self.own),
            is_local: *self.data_centre == *data_centre,
        };
        let others = self.members.iter().map(|(instance, member)| Sender {
            instance,
            hash: member.hash,
            is_local: *member.data_centre == *data_centre,
        });
        let shares = rate_limit::shares(rate, server, others.chain([own]));
        let own = shares.into_iter().find(|(sender, _)| *sender.instance == *self.own);
        own.map_or(0.0, |(_, share)| share)
    }

    /// Returns the addresses of up to `count` other instances, chosen at random.
    #[must_use]
    pub fn random_members(&self, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let addresses = self.members.values().map(|member| member.address);
        addresses.choose_multiple(rng, count)
    }

    /// Returns addresses of a few instances in each of a few other data centres.
    #[must_use]
    pub fn remote_instances(&self) -> Vec<SocketAddr> {
        let mut addresses: IndexMap<&DataCentreId, Vec<SocketAddr>> = IndexMap::new();
        for member in self
            .members
            .values()
            .filter(|member| member.data_centre != self.data_centre)
        {
            let in_data_centre = addresses.entry(&member.data_centre).or_default();
            if in_data_centre.len() < REMOTE_PER_DATA_CENTRE {
                in_data_centre.push(member.address);
            }
        }
        addresses
            .into_values()
            .take(REMOTE_DATA_CENTRES_MAX)
            .flatten()
            .collect()
    }

    /// Returns the address of the instance for the next exchange, or `None` if no other address is known.
    pub fn next_peer(&mut self, rng: &mut SmallRng) -> Option<SocketAddr> {
        let round = self.rounds;
        self.rounds = self.rounds.saturating_add(1);
        let is_new = round < SEED_ROUNDS && self.members.len() < SEED_MAX_MEMBERS;
        let share = SEED_SHARE.min(SEED_EXCHANGES_PER_INTERVAL / self.members.len().max(1) as f64);
        let to_seed = is_new || self.members.is_empty() || rng.random_bool(share);
        if to_seed && !self.seeds.is_empty() {
            let seed_ix = if is_new {
                round as usize
            } else {
                rng.random_range(0..self.seeds.len())
            };
            return Some(self.seeds[seed_ix % self.seeds.len()]);
        }
        if self.members.is_empty() {
            return None;
        }
        let chosen = rng.random_range(0..self.members.len());
        self.members.get_index(chosen).map(|(_, member)| member.address)
    }

    /// Returns the time until the next exchange. It is shorter while the platform is unreachable.
    #[must_use]
    pub fn interval(&self, is_platform_unreachable: bool) -> Duration {
        if is_platform_unreachable || self.members.is_empty() || self.rounds < SEED_ROUNDS {
            FAST_INTERVAL
        } else {
            GOSSIP_INTERVAL
        }
    }

    /// Returns where this instance reads platform changes.
    #[must_use]
    pub fn source(&self) -> Source {
        match self.reader() {
            Some((reader, address)) if reader != &self.own => Source::Instance(address),
            Some(_) | None => Source::Platform,
        }
    }

    /// Returns whether other instances follow this one.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.reader().is_some_and(|(reader, _)| reader == &self.own)
    }

    /// Returns the instance that reads the platform for this data centre, or `None` if every instance reads it.
    /// Instances with the same members choose the same reader.
    fn reader(&self) -> Option<(&InstanceId, SocketAddr)> {
        let local = self
            .members
            .iter()
            .filter(|(_, member)| member.data_centre == self.data_centre);
        let mut local: Vec<(&InstanceId, SocketAddr)> = local.map(|(id, member)| (id, member.address)).collect();
        local.push((&self.own, self.address));
        if local.len() < READER_MIN_INSTANCES {
            return None;
        }
        local.into_iter().min_by_key(|(instance, _)| NameHash::of(instance).0)
    }

    fn member_ttl(&self) -> Duration {
        let known = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        MEMBER_TTL + TTL_PER_MEMBER.saturating_mul(known)
    }
}
