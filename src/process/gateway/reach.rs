//! Tries whether anything outside of the own data centre can be reached when a cut is suspected. The decisions are in
//! [`crate::process::isolation`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use slog::info;
use tokio::net::TcpStream;

use crate::ids::ServiceId;
use crate::process::gateway::Gateway;
use crate::process::isolation::Isolation;
use crate::process::isolation::Turn;
use crate::version::routing::Target;

/// Time in which an instance of another data centre must take a connection. It is many round trips.
const TRY_TIMEOUT: Duration = Duration::from_millis(200);

/// Pause between two tries while nothing is reached.
const TRY_INTERVAL: Duration = Duration::from_millis(200);

impl Gateway {
    /// Returns what is known of the way to other data centres.
    pub(super) fn isolation(&self) -> MutexGuard<'_, Isolation> {
        self.isolation.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a sign of life from another data centre.
    pub(super) fn on_remote_answer(&self) {
        self.isolation().on_remote_answer();
    }

    /// Takes that an attempt at another data centre failed or stayed without an answer.
    pub(super) fn on_remote_failure(&self) {
        if self.isolation().on_remote_failure(Instant::now()) {
            info!(self.log, "cut_suspected"; "read_age_ms" => self.read_age_ms());
            self.suspicions.notify_one();
        }
    }

    /// Lets the platform be read at once.
    fn ask_platform(&self) {
        self.isolation().on_unreached();
        self.rereads.notify_one();
    }

    async fn reaches_others(&self) -> bool {
        let others = self
            .census
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remote_instances();
        others.is_empty() || is_any_reached(&others).await || !self.isolation().is_unanswered()
    }

    /// Takes the value of an answer to a caller, from 0 to 1.
    pub(super) fn on_value(&self, value: f64) {
        let turn = self.isolation().on_value(value, Instant::now());
        self.on_turn(turn);
    }

    /// Tells whether it has to be known at once whether the platform can be read.
    pub(crate) fn is_checking(&self) -> bool {
        self.isolation().is_checking()
    }

    /// Tells whether callers should leave for another data centre.
    pub(crate) fn sends_callers_away(&self) -> bool {
        self.isolation().is_closed()
    }

    fn on_turn(&self, turn: Turn) {
        match turn {
            Turn::Unchanged => {}
            Turn::Away => info!(self.log, "callers_sent_away"; "read_age_ms" => self.read_age_ms()),
            Turn::Back => info!(self.log, "callers_taken_again"),
        }
        if turn != Turn::Unchanged {
            let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
            self.update_readiness(&known);
        }
    }

    fn on_tried(&self, is_cut_off: bool) {
        let is_sufficient = self.is_sufficient();
        let mut isolation = self.isolation();
        let before = isolation.is_isolated();
        let turn = if is_cut_off {
            isolation.on_cut_off(is_sufficient, Instant::now())
        } else {
            isolation.on_reached()
        };
        drop(isolation);
        if before != is_cut_off {
            info!(self.log, "data_centre_cut_off"; "is_cut_off" => is_cut_off, "is_sufficient" => is_sufficient);
        }
        self.on_turn(turn);
    }

    /// Tells whether the servers of the own data centre can answer requests of all routes that any server can answer.
    fn is_sufficient(&self) -> bool {
        let effective = self.effective.load();
        effective.as_ref().is_none_or(|effective| {
            let view = &effective.view;
            let is_lost = |service: &ServiceId| {
                let servers = view.servers(service);
                !servers.is_empty() && !servers.iter().any(|server| server.is_local)
            };
            effective.routing.routes().all(|route| match &route.target {
                Target::One(service) => !is_lost(service),
                Target::Split(split) => !split.services().any(is_lost),
                Target::Shards(set) => {
                    let lost = set.shards.iter().filter(|shard| is_lost(shard)).count();
                    lost == 0 || set.shards.len() - lost >= set.least_parts()
                }
            })
        })
    }
}

/// Looks whether anything can be reached whenever a cut is suspected, until it is over.
pub(super) async fn watch(gateway: Arc<Gateway>) {
    loop {
        gateway.suspicions.notified().await;
        let mut is_platform_asked = false;
        loop {
            if gateway.reaches_others().await {
                gateway.on_tried(false);
                break;
            }
            if gateway.is_cut() {
                gateway.on_tried(true);
            } else if !is_platform_asked {
                is_platform_asked = true;
                gateway.ask_platform();
            } else if !gateway.is_checking() {
                // The platform was read since.
                gateway.on_tried(false);
                break;
            }
            tokio::time::sleep(TRY_INTERVAL).await;
        }
    }
}

async fn is_any_reached(others: &[SocketAddr]) -> bool {
    let mut tries: FuturesUnordered<_> = others
        .iter()
        .map(|address| tokio::time::timeout(TRY_TIMEOUT, TcpStream::connect(address)))
        .collect();
    while let Some(tried) = tries.next().await {
        if matches!(tried, Ok(Ok(_))) {
            return true;
        }
    }
    false
}
