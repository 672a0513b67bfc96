//! Validation rules for shards and searchers.

use indexmap::IndexMap;

use super::Checker;
use super::location::Location;
use super::record_use;
use super::root::MAX_REMOTE_RESERVE;
use super::root::MAX_TOLERATED_VIEWS;
use crate::version::document::ReplicaSection;
use crate::version::document::ShardSection;
use crate::version::keys::KEY_SPACE;
use crate::version::keys::KeyRange;
use crate::version::units::Period;

/// Maximum number of replicas of a shard.
pub const MAX_REPLICAS: usize = 16;

/// Maximum number of slots of a searcher.
pub const MAX_SLOTS: u32 = 1_024;

/// Maximum connection cap of a searcher.
pub const MAX_CONNECTIONS: u32 = 65_535;

/// Maximum cost of opening a connection.
pub const MAX_CONNECT_COST: Period = Period::from_millis(10_000);

impl<'a> Checker<'a> {
    pub(super) fn check_shards(
        &mut self,
        location: Location<'a>,
        shards: &'a [ShardSection],
        names: &mut IndexMap<&'a str, Location<'a>>,
    ) {
        if shards.is_empty() {
            self.add(
                location,
                "shards",
                "a service needs at least one shard",
                "add a shard for the keys 0 to 4294967296",
            );
            return;
        }
        let mut next = Some(0);
        for (ix, shard) in shards.iter().enumerate() {
            let location = location.shard(ix);
            self.check_name(location, "name", &shard.name);
            let earlier = record_use(names, &*shard.name, location);
            self.check_unique(earlier, location, "name", &shard.name);
            next = self.check_range(location, shard.range, next);
            self.check_replicas(location, &shard.replicas);
        }
        self.check_last_range(location.shard(shards.len() - 1), next);
    }

    /// Checks that a range is valid and starts at the key `expected`, and returns the expected start of the next range.
    ///
    /// Returns `None` after an invalid range, so that one mistake does not produce several findings.
    fn check_range(&mut self, location: Location<'_>, range: KeyRange, expected: Option<u64>) -> Option<u64> {
        if range.is_empty() || range.end > KEY_SPACE {
            self.add(
                location,
                "range",
                format!("{}..{} is not a range of keys", range.start, range.end),
                format!("use start < end <= {KEY_SPACE}"),
            );
            return None;
        }
        match expected {
            Some(start) if range.start > start => self.add(
                location,
                "range",
                format!("no shard holds the keys {start}..{}", range.start),
                format!("start this range at {start}, and list shards in key order"),
            ),
            Some(start) if range.start < start => self.add(
                location,
                "range",
                format!("the keys {}..{start} are held by two shards", range.start),
                format!("start this range at {start}, and list shards in key order"),
            ),
            _ => {}
        }
        Some(range.end)
    }

    fn check_last_range(&mut self, location: Location<'_>, end: Option<u64>) {
        let Some(end) = end.filter(|end| *end != KEY_SPACE) else {
            return;
        };
        self.add(
            location,
            "range",
            format!("no shard holds the keys {end}..{KEY_SPACE}"),
            format!("end the last range at {KEY_SPACE}"),
        );
    }

    fn check_replicas(&mut self, location: Location<'a>, replicas: &'a [ReplicaSection]) {
        if !(1..=MAX_REPLICAS).contains(&replicas.len()) {
            self.add(
                location,
                "replicas",
                format!("{} replicas", replicas.len()),
                format!("list 1 to {MAX_REPLICAS} replicas"),
            );
        }
        for (ix, replica) in replicas.iter().enumerate() {
            self.check_searcher(location.replica(ix), replica);
        }
    }

    fn check_searcher(&mut self, location: Location<'a>, replica: &'a ReplicaSection) {
        self.check_name(location, "searcher", &replica.searcher);
        self.check_name(location, "data_centre", &replica.data_centre);
        self.data_centres.insert(&replica.data_centre);
        let earlier = record_use(&mut self.searchers, &*replica.searcher, location);
        self.check_unique(earlier, location, "searcher", &replica.searcher);
        self.check_address(location, replica);
        self.check_capacity(location, replica);
    }

    fn check_address(&mut self, location: Location<'a>, replica: &ReplicaSection) {
        let address = replica.address;
        if address.0.port() == 0 || address.0.ip().is_unspecified() {
            self.add(
                location,
                "address",
                format!("`{address}` cannot be connected to"),
                "write the IP address of the server and a port from 1 to 65535",
            );
        }
        let earlier = record_use(&mut self.addresses, address, location);
        self.check_unique(earlier, location, "address", &address);
    }

    fn check_capacity(&mut self, location: Location<'_>, replica: &ReplicaSection) {
        let slots = replica.slots;
        let slots_valid = (1..=MAX_SLOTS).contains(&slots);
        if !slots_valid {
            self.add(
                location,
                "slots",
                format!("{slots} is out of range"),
                format!("use 1 to {MAX_SLOTS}"),
            );
        }
        if replica.connect_cost > MAX_CONNECT_COST {
            self.add(
                location,
                "connect_cost",
                format!("{} is too long", replica.connect_cost),
                format!("use at most {MAX_CONNECT_COST}"),
            );
        }
        let connections = replica.connections;
        if !(1..=MAX_CONNECTIONS).contains(&connections) {
            self.add(
                location,
                "connections",
                format!("{connections} is out of range"),
                format!("use 1 to {MAX_CONNECTIONS}"),
            );
        } else if slots_valid {
            self.check_connection_cap(location, slots, connections);
        }
    }

    /// Checks that the connection cap is large enough for the slots. Each instance that holds a share needs one
    /// connection for each slot, because otherwise slots stay idle while requests are waiting.
    fn check_connection_cap(&mut self, location: Location<'_>, slots: u32, connections: u32) {
        let views = self.claims.tolerated_views;
        let reserve = self.claims.remote_reserve;
        if views > MAX_TOLERATED_VIEWS || reserve > MAX_REMOTE_RESERVE {
            return;
        }
        let needed = u64::from(slots) * u64::from(views) + u64::from(reserve);
        if u64::from(connections) < needed {
            self.add(
                location,
                "connections",
                format!("{connections} connections are too few for {slots} slots"),
                format!("allow {needed} (slots * tolerated_views + remote_reserve), or use fewer slots"),
            );
        }
    }
}
