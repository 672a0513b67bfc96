//! Which other instances are there: a gossip over short connections.
//!
//! Nobody lists the instances of this tier, and a few seeds are all that a new instance knows. Each instance exchanges
//! what it knows with one other every 2 s. The number of instances follows, and with it the share of the
//! connections and extra attempts that this instance may use; and an instance that cannot read the platform gets from
//! the others what they have read. A message holds at most 64 members, so its size and the work of an
//! instance do not grow with their number. See "Other instances" in `docs/design/platform.md`.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::ids::DataCentreId;
use crate::ids::InstanceId;
use crate::process::ownership::rank::NameHash;
use crate::wire::proto;

/// Time between two exchanges.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two exchanges while no other instance is known, or the platform cannot be read.
const FAST_INTERVAL: Duration = Duration::from_millis(500);

/// Exchanges after a start that go to the seeds in turn, so that instances that start together meet there.
const SEED_ROUNDS: u32 = 6;

/// Members from which on a new instance asks them instead of the seeds, so that a few seeds can serve a large fleet that
/// starts at one time.
const SEED_MAX_MEMBERS: usize = 32;

/// Share of later exchanges that go to a seed, at most. It joins groups that were apart.
const SEED_SHARE: f64 = 0.2;

/// Exchanges with seeds in one interval by all instances together. The share of each falls as the fleet grows.
const SEED_EXCHANGES_PER_INTERVAL: f64 = 8.0;

/// Members in one message.
const MAX_MEMBERS: usize = 64;

/// Time after which an instance that nobody heard of counts as gone: a few rounds of the gossip among some thirty.
const MEMBER_TTL: Duration = Duration::from_secs(12);

/// Further time for each known instance, since a message holds only [`MAX_MEMBERS`] of them: each record is renewed
/// about every `known / 64` rounds of 2 s, and three such times allow for chance.
const TTL_PER_MEMBER: Duration = Duration::from_millis(95);

/// Instances of one other data centre that are tried when a cut is suspected, and such data centres.
const REMOTE_PER_DATA_CENTRE: usize = 2;
const REMOTE_DATA_CENTRES_MAX: usize = 4;

/// Instances of a data centre from which on one reads the platform for the others. With fewer it saves no calls, since it
/// reads more often.
const READER_MIN_INSTANCES: usize = 5;

#[derive(Debug, Clone)]
struct Member {
    address: SocketAddr,
    data_centre: DataCentreId,
    last_seen: Instant,
}

/// Number of instances, this one included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceCount {
    /// In all data centres.
    pub all: u32,
    /// In the data centre of this instance.
    pub local: u32,
}

/// Where an instance learns of changes of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// It reads the platform itself.
    Platform,
    /// It follows the instance with this address.
    Instance(SocketAddr),
}

/// What is known of other instances.
#[derive(Debug)]
pub struct Gossip {
    own: InstanceId,
    data_centre: DataCentreId,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    members: IndexMap<InstanceId, Member>,
    rounds: u32,
    /// Number of instances that is assumed until another one was heard of.
    assumed: InstanceCount,
}

impl Gossip {
    /// Makes a census that knows the instance itself and the addresses of the seeds.
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

    /// Takes other seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().filter(|seed| *seed != self.address).collect();
    }

    /// Returns the number of instances.
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

    /// Takes the members that another instance knows.
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

    /// Forgets the instances that nobody heard of for long.
    pub fn on_tick(&mut self, now: Instant) {
        let member_ttl = self.member_ttl();
        self.members
            .retain(|_, member| now.saturating_duration_since(member.last_seen) < member_ttl);
    }

    /// Returns the members for a message: the instance itself and those heard of most recently.
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
        let remote_instances = known.into_iter().take(MAX_MEMBERS - 1).map(|(instance, member)| {
            let age = now.saturating_duration_since(member.last_seen);
            proto::Member {
                instance: instance.to_string(),
                address: member.address.to_string(),
                data_centre: member.data_centre.to_string(),
                age_us: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
            }
        });
        std::iter::once(own).chain(remote_instances).collect()
    }

    /// Returns instances of other data centres, a few of each.
    #[must_use]
    pub fn remote_instances(&self) -> Vec<SocketAddr> {
        let mut remote_instances: IndexMap<&DataCentreId, Vec<SocketAddr>> = IndexMap::new();
        for member in self
            .members
            .values()
            .filter(|member| member.data_centre != self.data_centre)
        {
            let local = remote_instances.entry(&member.data_centre).or_default();
            if local.len() < REMOTE_PER_DATA_CENTRE {
                local.push(member.address);
            }
        }
        remote_instances
            .into_values()
            .take(REMOTE_DATA_CENTRES_MAX)
            .flatten()
            .collect()
    }

    /// Returns the instance for the next exchange.
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

    /// Returns the time until the next exchange. `is_cut` tells that the platform cannot be read.
    #[must_use]
    pub fn interval(&self, is_disconnected: bool) -> Duration {
        if is_disconnected || self.members.is_empty() || self.rounds < SEED_ROUNDS {
            FAST_INTERVAL
        } else {
            GOSSIP_INTERVAL
        }
    }

    /// Tells where this instance learns of changes.
    #[must_use]
    pub fn source(&self) -> Source {
        match self.reader() {
            Some((reader, address)) if reader != &self.own => Source::Instance(address),
            Some(_) | None => Source::Platform,
        }
    }

    /// Tells whether other instances follow this one.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.reader().is_some_and(|(reader, _)| reader == &self.own)
    }

    /// Returns the instance of the own data centre that reads the platform for the others; `None` where all do. Instances
    /// that know the same members choose the same one.
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
