//! Searcher sizes, lane setup and arrivals that the lane scenarios share.

use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use eyre::bail;
use pimentoflow::connection::lane::Lane;
use pimentoflow::connection::lane::work::Action;
use pimentoflow::connection::lane::work::HANDOVER_PERIOD;
use pimentoflow::connection::lane::work::LaneConfig;
use pimentoflow::connection::lane::work::QUEUE_CAPACITY;
use pimentoflow::connection::lane::work::Work;
use pimentoflow::connection::lane::work::WorkId;
use pimentoflow::connection::share::Role;
use pimentoflow::connection::share::Share;
use pimentoflow::version::tables::Claims;
use pimentoflow::wire::proto::Class;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::experiment::Options;
use crate::scenarios::lane_fifo::FifoClient;
use crate::scenarios::lane_fleet::Client;
use crate::scenarios::lane_fleet::LaneFleet;
use crate::scenarios::lane_server::SERVICE_MEAN;
use crate::scenarios::lane_server::Server;
use crate::scenarios::lane_server::ServerConfig;

/// Default claims of the configuration document.
pub const CLAIMS: Claims = Claims {
    tolerated_views: 4,
    remote_reserve: 4,
};

/// Share of dispatches reserved for routine work.
pub const ROUTINE_SHARE: f64 = 0.05;

/// Slots and connection limits of a searcher, from section 1 of the design page.
#[derive(Debug, Clone, Copy)]
pub struct SearcherSize {
    /// Number of slots.
    pub slots: u32,
    /// Maximum number of connections.
    pub cap: u32,
    /// Time to open a connection, in addition to the network delay.
    pub connect_cost: Duration,
}

impl SearcherSize {
    /// Reads the setting `deployment`: `fraser` is a searcher of planportal, `abay` one of family-portal.
    ///
    /// # Errors
    ///
    /// Returns an error for any other name.
    pub fn from_options(options: &Options) -> Result<Self> {
        let name: String = options.get("deployment", "fraser".to_owned())?;
        match name.as_str() {
            "fraser" => Ok(Self {
                slots: 3,
                cap: 30,
                connect_cost: Duration::from_millis(6),
            }),
            "abay" => Ok(Self {
                slots: 2,
                cap: 35,
                connect_cost: Duration::from_millis(1),
            }),
            other => bail!("unknown deployment `{other}`; use fraser or abay"),
        }
    }

    /// Returns the configuration of a lane with this share.
    #[must_use]
    pub const fn lane(self, share: Share) -> LaneConfig {
        LaneConfig {
            slots: self.slots,
            share,
            queue_capacity: QUEUE_CAPACITY,
            routine_share: ROUTINE_SHARE,
            handover_period: HANDOVER_PERIOD,
        }
    }

    /// Returns the connection share of a holder for the slots and the cap.
    ///
    /// # Errors
    ///
    /// Returns an error if the cap is too small.
    pub fn share(self) -> Result<Share> {
        Ok(Share::from_cap(self.slots, self.cap, CLAIMS)?)
    }

    /// Creates a server of this size.
    #[must_use]
    pub fn server(self, refuses: bool, seed: u64) -> Server {
        let config = ServerConfig {
            capacity: f64::from(self.slots),
            connection_cap: self.cap as usize,
            refuses,
            straggler_share: 0.0,
        };
        Server::new(config, SmallRng::seed_from_u64(seed ^ 0x5e7))
    }

    /// Returns the number of requests that the slots serve in one second.
    #[must_use]
    pub fn capacity(self) -> f64 {
        f64::from(self.slots) / SERVICE_MEAN.as_secs_f64()
    }
}

/// Reads the setting `policy`, which is `on` (the default) or `off`.
///
/// # Errors
///
/// Returns an error for any other value.
pub fn policy_on(options: &Options) -> Result<bool> {
    let name: String = options.get("policy", "on".to_owned())?;
    match name.as_str() {
        "on" => Ok(true),
        "off" => Ok(false),
        other => bail!("unknown policy `{other}`; use on or off"),
    }
}

/// Adds a leaf with a lane in `role` and returns its index.
pub fn add_lane<C>(fleet: &mut LaneFleet<C>, config: LaneConfig, role: Role, seed: u64) -> usize {
    let now = fleet.now();
    let mut lane = Lane::new(config, SmallRng::seed_from_u64(seed), now);
    let mut actions = Vec::new();
    lane.on_role(role, false, now, &mut actions);
    fleet.add(Client::Lane(Box::new(lane)), actions)
}

/// Adds a leaf with the baseline client and returns its index.
pub fn add_fifo<C>(fleet: &mut LaneFleet<C>, size: SearcherSize, share: Share) -> usize {
    let mut actions: Vec<Action> = Vec::new();
    let client = FifoClient::new(size.slots, share.connections(Role::Owner), &mut actions);
    fleet.add(Client::Fifo(client), actions)
}

/// Creates an idempotent work item that needs a slot.
#[must_use]
pub fn work(id: WorkId, class: Class, deadline: Instant) -> Work {
    Work {
        id,
        class,
        deadline,
        idempotent: true,
        slotted: true,
        fallback: false,
    }
}

/// Draws the time until the next arrival of a Poisson process with `rate` arrivals per second.
pub fn next_arrival(rate: f64, rng: &mut SmallRng) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}
