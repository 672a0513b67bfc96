//! Reports what happens to requests to [`Quarantine`], logs its decisions, and passes them on to other instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use futures_util::SinkExt;
use slog::info;
use slog::warn;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::process::backends::BackendEntry;
use crate::process::backends::View;
use crate::process::backends::selection;
use crate::process::gateway::Gateway;
use crate::process::gateway::log_quota::LogTopic;
use crate::process::gateway::roster_exchange::ExchangeError;
use crate::process::quarantine::Admission;
use crate::process::quarantine::Change;
use crate::process::quarantine::Quarantine;
use crate::request::fingerprint::Fingerprint;
use crate::version::routing::Target;
use crate::wire::codec::FrameCodec;
use crate::wire::proto;
use crate::wire::proto::frame::Body;

/// Number of instances that news is sent to. Each of them passes it on, so it reaches all but a few of a large fleet in
/// some round trips; the others learn it from the next roster.
const NEWS_RECEIVERS: usize = 8;

/// Minimum time between two messages with news. It bounds the messages when many servers crash at once.
const NEWS_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum time to send news to one instance.
const SEND_TIMEOUT: Duration = Duration::from_millis(600);

impl Gateway {
    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides how to treat a request to `target` that arrives. The part is the one to run in a trial.
    pub(super) fn admit_request(
        &self,
        request: Fingerprint,
        target: &Target,
        view: &View,
        now: Instant,
    ) -> (Admission, Option<usize>) {
        let mut quarantine = self.quarantine();
        if quarantine.is_empty() {
            return (Admission::Run, None);
        }
        let mut part = None;
        let admission = quarantine.admit(request, now, |limits| {
            let parts = target.services().map(|service| view.servers(service));
            part = selection::trial_part(parts, limits, now, &mut rand::rng());
            part.is_some()
        });
        drop(quarantine);
        if admission == Admission::Trial {
            self.metrics.count_suspect("trial");
            if self.log_quota.allow(&self.log, LogTopic::Failure) {
                info!(self.log, "suspect_trial"; "fingerprint" => %request, "part" => part);
            }
            self.quarantine_changed.notify_one();
        }
        // A request to one of several services has a single part.
        let part = match target {
            Target::Shards(_) => part,
            Target::Single(_) | Target::Split(_) => part.map(|_| 0),
        };
        (admission, part)
    }

    /// Returns whether a request that arrived now would be refused because of failed trials.
    pub(super) fn is_refused(&self, request: Fingerprint, now: Instant) -> bool {
        self.quarantine().is_refused(request, now)
    }

    /// Returns whether a request must not be sent to further servers unless one has answered it.
    pub(super) fn is_suspected(&self, request: Fingerprint) -> bool {
        self.quarantine().is_suspected(request)
    }

    /// Records that a server crashed while it ran a request that no server has answered.
    pub(super) fn on_crash(&self, request: Fingerprint, server: &BackendEntry, is_trial: bool, now: Instant) {
        let change = self.quarantine().on_crash(request, server.key(), is_trial, now);
        self.on_suspect_change(request, change, true);
    }

    /// Records that a server answered a request.
    pub(super) fn on_answer(&self, request: Fingerprint, now: Instant) {
        let mut quarantine = self.quarantine();
        if quarantine.is_empty() {
            return;
        }
        let change = quarantine.on_answer(request, now);
        drop(quarantine);
        self.on_suspect_change(request, change, true);
    }

    /// Records that a request ended without the answer of any server.
    pub(super) fn on_unanswered(&self, request: Fingerprint, was_trial: bool) {
        let mut quarantine = self.quarantine();
        quarantine.on_unanswered(request);
        if was_trial {
            quarantine.on_trial_end(request);
        }
        drop(quarantine);
        self.quarantine_changed.notify_one();
    }

    /// Applies what another instance reports.
    pub(super) fn on_peer_suspects(&self, reports: &[proto::SuspectRequest], now: Instant) {
        if reports.is_empty() {
            return;
        }
        let changes = self.quarantine().on_reports(reports, now);
        for (request, change) in changes {
            self.on_suspect_change(request, Some(change), false);
        }
        self.quarantine_changed.notify_one();
    }

    /// Returns what another instance should know, for a roster.
    pub(super) fn suspect_reports(&self, now: Instant) -> Vec<proto::SuspectRequest> {
        self.quarantine().reports(now)
    }

    /// Removes old evidence.
    pub(super) fn expire_suspects(&self, now: Instant) {
        let mut quarantine = self.quarantine();
        quarantine.on_tick(now);
        let quarantined = quarantine.quarantined(now);
        drop(quarantine);
        self.metrics.quarantined_requests.set(quarantined as i64);
    }

    /// Logs and counts a change, and sends it on. `is_own` states whether this instance saw the reason itself.
    fn on_suspect_change(&self, request: Fingerprint, change: Option<Change>, is_own: bool) {
        let Some(change) = change else { return };
        self.quarantine_changed.notify_one();
        if is_own {
            self.metrics.count_suspect(match change {
                Change::Suspected => "suspected",
                Change::Quarantined(_) => "quarantined",
                Change::Cleared => "cleared",
            });
        }
        match change {
            // Few requests are ever quarantined, and each of these lines is needed to explain a refusal.
            Change::Quarantined(time) => warn!(self.log, "suspect_quarantined"; "fingerprint" => %request,
                "ms" => time.as_millis() as u64, "is_own" => is_own),
            Change::Suspected | Change::Cleared if !self.log_quota.allow(&self.log, LogTopic::Failure) => {}
            Change::Suspected => info!(self.log, "suspect_found"; "fingerprint" => %request, "is_own" => is_own),
            Change::Cleared => info!(self.log, "suspect_cleared"; "fingerprint" => %request, "is_own" => is_own),
        }
    }

    fn news_receivers(&self) -> Vec<SocketAddr> {
        let gossip = self.gossip.lock().unwrap_or_else(PoisonError::into_inner);
        gossip.random_members(NEWS_RECEIVERS, &mut rand::rng())
    }
}

/// Sends news about requests to other instances until the process ends.
pub(super) async fn send_news(gateway: Arc<Gateway>) {
    loop {
        gateway.quarantine_changed.notified().await;
        while gateway.quarantine().has_news() {
            let requests = gateway.quarantine().take_news(Instant::now());
            for receiver in gateway.news_receivers() {
                let gateway = Arc::clone(&gateway);
                let requests = requests.clone();
                tokio::spawn(async move {
                    let sent = tokio::time::timeout(SEND_TIMEOUT, send(receiver, requests)).await;
                    let sent = sent.unwrap_or(Err(ExchangeError::Closed));
                    if let Err(error) = sent
                        && gateway.log_quota.allow(&gateway.log, LogTopic::Failure)
                    {
                        info!(gateway.log, "suspect_news_failed"; "receiver" => %receiver, "error" => %error);
                    }
                });
            }
            tokio::time::sleep(NEWS_INTERVAL).await;
        }
    }
}

async fn send(receiver: SocketAddr, requests: Vec<proto::SuspectRequest>) -> Result<(), ExchangeError> {
    let stream = TcpStream::connect(receiver).await?;
    let mut framed = Framed::new(stream, FrameCodec::new());
    framed.send(Body::Suspects(proto::Suspects { requests })).await?;
    Ok(())
}
