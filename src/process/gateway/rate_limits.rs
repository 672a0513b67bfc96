//! Applies the rate limits that backend servers announce, passes them on to other instances, and reports the requests
//! sent to limited servers. The decisions are in [`crate::process::backends::rate_limit`].

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use rand::seq::IteratorRandom;
use slog::info;

use crate::process::backends::Backend;
use crate::process::backends::Directory;
use crate::process::backends::rate_limit::LimitNotice;
use crate::process::backends::rate_limit::RequestRate;
use crate::process::backends::server_state::SendCounts;
use crate::process::gateway::Gateway;
use crate::process::gateway::log_quota::LogTopic;
use crate::wire::proto;

/// Interval at which the requests sent to limited servers are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of limits in a message to another instance.
const MAX_LIMITS: usize = 64;

/// Time for which a notice is passed on. By then it has reached every instance.
const NOTICE_TTL: Duration = Duration::from_secs(60);

impl Gateway {
    /// Records that the rate limit of a server began, ended or changed.
    pub(super) fn on_limit_change(&self, server: &Backend, before: LimitNotice, notice: LimitNotice) {
        let share = self.update_limit_share(server);
        if notice.rate().is_some() {
            self.metrics.count_notice("limit");
        }
        if self.log_quota.allow(&self.log, LogTopic::Failure) {
            info!(self.log, "server_limit"; "server" => &*server.entry.id, "service" => &*server.entry.service,
                "rate" => notice.rate(), "before" => before.rate(), "share" => share,
                "instances" => self.instances().all);
        }
    }

    /// Applies notices that another instance passed on.
    pub(super) fn on_peer_limits(&self, limits: &[proto::ServerLimit], now: Instant) {
        for limit in limits.iter().take(MAX_LIMITS) {
            let notice = match limit.rate {
                Some(rate) if rate.is_finite() && rate >= 0.0 => LimitNotice::Limited(rate),
                Some(_) => continue,
                None => LimitNotice::Unlimited,
            };
            let age = Duration::from_micros(limit.age_us);
            let Some(at) = now.checked_sub(age).filter(|_| age <= NOTICE_TTL) else {
                continue;
            };
            let platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
            let server = platform.directory.incarnation(&limit.server, limit.started_ms);
            let Some(server) = server.map(Arc::clone) else { continue };
            drop(platform);
            let before = server.state().on_peer_limit_notice(notice, at);
            if let Some(before) = before {
                self.on_limit_change(&server, before, notice);
            }
        }
    }

    /// Computes the shares of this instance again, since other instances may have joined or left.
    pub(super) fn update_limit_shares(&self) {
        for server in self.limited_servers() {
            self.update_limit_share(&server);
        }
    }

    /// Computes the share of this instance in the rate limit of a server. Returns `None` if there is no limit.
    fn update_limit_share(&self, server: &Backend) -> Option<RequestRate> {
        let rate = server.state().rate_limit()?.rate()?;
        let entry = &server.entry;
        let gossip = self.gossip.lock().unwrap_or_else(PoisonError::into_inner);
        let share = gossip.limit_share(rate, &entry.id, &entry.data_centre);
        drop(gossip);
        server.state().set_limit_share(share, Instant::now());
        Some(share)
    }

    /// Returns the servers that have a rate limit.
    fn limited_servers(&self) -> Vec<Arc<Backend>> {
        let platform = self.platform_state.lock().unwrap_or_else(PoisonError::into_inner);
        let limited = platform.directory.limited().filter(|server| {
            let state = server.state();
            state.rate_limit().is_some_and(|limit| limit.rate().is_some())
        });
        limited.map(Arc::clone).collect()
    }

    /// Logs how many requests this instance sent to each limited server since the last call.
    fn report_limited_sends(&self) {
        let limited = self.limited_servers();
        self.metrics.limited_servers.set(limited.len() as i64);
        for server in limited {
            let mut state = server.state();
            let sends = state.take_sends();
            let limit = state.rate_limit().copied();
            drop(state);
            let Some(limit) = limit.filter(|_| sends != SendCounts::default()) else {
                continue;
            };
            if self.log_quota.allow(&self.log, LogTopic::Failure) {
                info!(self.log, "server_limit_sends"; "server" => &*server.entry.id, "rate" => limit.rate(),
                    "share" => limit.share(), "first" => sends.first, "repeated" => sends.repeated);
            }
        }
    }
}

/// Returns some of the recent notices, for another instance.
pub(super) fn recent_notices(directory: &Directory, now: Instant) -> Vec<proto::ServerLimit> {
    let recent = directory.limited().filter_map(|server| {
        let (notice, at) = server.state().rate_limit()?.last_notice();
        let age = now.saturating_duration_since(at);
        (age <= NOTICE_TTL).then(|| proto::ServerLimit {
            server: server.entry.id.to_string(),
            started_ms: server.entry.started_ms,
            rate: notice.rate(),
            age_us: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
        })
    });
    recent.choose_multiple(&mut rand::rng(), MAX_LIMITS)
}

/// Reports the requests sent to limited servers until the process ends.
pub(super) async fn report(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        gateway.report_limited_sends();
    }
}
