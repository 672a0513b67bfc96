//! Probes whether anything outside of the own data centre can be reached when isolation is suspected. The decisions are
//! in [`crate::process::isolation`].

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
use crate::process::isolation::RedirectChange;
use crate::version::routing::Target;

/// Connect timeout for an instance of another data centre. It covers many round trips.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay between probes while nothing is reachable.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

impl Gateway {
    /// Returns the isolation state of the own data centre.
    pub(super) fn isolation(&self) -> MutexGuard<'_, Isolation> {
        self.isolation.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a response from another data centre.
    pub(super) fn on_remote_response(&self) {
        self.isolation().on_remote_response();
    }

    /// Records that an attempt at another data centre failed or has got no response in time.
    pub(super) fn on_remote_failure(&self) {
        if self.isolation().on_remote_failure(Instant::now()) {
            info!(self.log, "cut_suspected"; "read_age_ms" => self.read_age_ms());
            self.isolation_suspected.notify_one();
        }
    }

    /// Requests an immediate read of the platform.
    fn request_platform_read(&self) {
        self.isolation().on_peers_unreachable();
        self.read_request.notify_one();
    }

    async fn reaches_other_data_centres(&self) -> bool {
        let others = self
            .gossip
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remote_instances();
        others.is_empty() || is_any_reachable(&others).await || !self.isolation().has_unanswered_failures()
    }

    /// Records the quality of an answer to a caller, from 0 to 1.
    pub(super) fn on_quality(&self, quality: f64) {
        let change = self.isolation().on_quality(quality, Instant::now());
        self.on_redirect_change(change);
    }

    /// Returns whether an immediate read must show if the platform is reachable.
    pub(crate) fn needs_platform_check(&self) -> bool {
        self.isolation().needs_platform_check()
    }

    /// Returns whether callers should go to another data centre.
    pub(crate) fn redirects_callers(&self) -> bool {
        self.isolation().is_redirecting()
    }

    fn on_redirect_change(&self, change: RedirectChange) {
        match change {
            RedirectChange::Unchanged => {}
            RedirectChange::Started => info!(self.log, "callers_sent_away"; "read_age_ms" => self.read_age_ms()),
            RedirectChange::Ended => info!(self.log, "callers_taken_again"),
        }
        if change != RedirectChange::Unchanged {
            let platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
            self.update_readiness(&platform);
        }
    }

    fn on_probe_result(&self, is_isolated: bool) {
        let is_sufficient = self.is_sufficient();
        let mut isolation = self.isolation();
        let before = isolation.is_isolated();
        let change = if is_isolated {
            isolation.on_isolated(is_sufficient, Instant::now())
        } else {
            isolation.on_reachable()
        };
        drop(isolation);
        if before != is_isolated {
            info!(self.log, "data_centre_cut_off"; "is_cut_off" => is_isolated, "is_sufficient" => is_sufficient);
        }
        self.on_redirect_change(change);
    }

    /// Returns whether the servers of the own data centre suffice for all routes that have any servers at all.
    fn is_sufficient(&self) -> bool {
        let effective = self.effective.load();
        effective.as_ref().is_none_or(|effective| {
            let view = &effective.view;
            let is_lost = |service: &ServiceId| {
                let servers = view.servers(service);
                !servers.is_empty() && !servers.iter().any(|server| server.is_local)
            };
            effective.routing.routes().all(|route| match &route.target {
                Target::Single(service) => !is_lost(service),
                Target::Split(split) => !split.services().any(is_lost),
                Target::Shards(set) => {
                    let lost = set.shards.iter().filter(|shard| is_lost(shard)).count();
                    lost == 0 || set.shards.len() - lost >= set.min_parts()
                }
            })
        })
    }
}

/// Probes other data centres and the platform whenever isolation is suspected, until one of them is reachable.
pub(super) async fn watch(gateway: Arc<Gateway>) {
    loop {
        gateway.isolation_suspected.notified().await;
        let mut is_read_requested = false;
        loop {
            if gateway.reaches_other_data_centres().await {
                gateway.on_probe_result(false);
                break;
            }
            if gateway.is_platform_unreachable() {
                gateway.on_probe_result(true);
            } else if !is_read_requested {
                is_read_requested = true;
                gateway.request_platform_read();
            } else if !gateway.needs_platform_check() {
                // The platform was read since the request.
                gateway.on_probe_result(false);
                break;
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}

async fn is_any_reachable(others: &[SocketAddr]) -> bool {
    let mut probes: FuturesUnordered<_> = others
        .iter()
        .map(|address| tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)))
        .collect();
    while let Some(probe) = probes.next().await {
        if matches!(probe, Ok(Ok(_))) {
            return true;
        }
    }
    false
}
