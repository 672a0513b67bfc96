//! Rules for backend servers: draining servers get no new work, and connections stay within the cap.

use std::time::Duration;

use crate::finding::Finding;
use crate::history::EventKind;
use crate::history::History;
use crate::history::Server;

/// Time after the first drain signal from which on a draining server must get no new work.
pub const DRAIN_REACTION_LIMIT: Duration = Duration::from_secs(3);

pub(super) fn check(history: &History, findings: &mut Vec<Finding>) {
    for (name, server) in &history.servers {
        if server.peak_open > server.cap || server.cap_refusals > 0 {
            findings.push(Finding::OverCap {
                server: name.clone(),
                peak: server.peak_open,
                refused: server.cap_refusals,
                cap: server.cap,
            });
        }
        for (from, to) in drain_periods(history, name) {
            check_draining(history, name, server, from, to, findings);
        }
    }
}

/// Returns the periods in which a server was draining.
fn drain_periods(history: &History, server: &str) -> Vec<(Duration, Duration)> {
    let mut periods = Vec::new();
    let mut since = None;
    for event in &history.events {
        match &event.kind {
            EventKind::Drain(name) if **name == *server => since = since.or(Some(event.at)),
            EventKind::Return(name) if **name == *server => {
                periods.extend(since.take().map(|from| (from, event.at)));
            }
            _ => {}
        }
    }
    periods.extend(since.map(|from| (from, Duration::MAX)));
    periods
}

/// Checks that a draining server gets no new work later than [`DRAIN_REACTION_LIMIT`] after the first signal.
///
/// The first refusal is the first signal, because its response carries `x-draining`. Requests that the draining server
/// starts count in the same way as those that it refuses.
fn check_draining(
    history: &History,
    name: &str,
    server: &Server,
    from: Duration,
    to: Duration,
    findings: &mut Vec<Finding>,
) {
    let within = |at: &Duration| from <= *at && *at < to;
    let mut refused = server.drain_refusals.iter().copied().filter(within);
    let Some(first) = refused.clone().min() else {
        return;
    };
    let started = server.started.iter().map(|started| started.at).filter(within);
    for at in refused.by_ref().chain(started) {
        let after = at.saturating_sub(first).saturating_sub(history.paused(first, at));
        if after > DRAIN_REACTION_LIMIT {
            findings.push(Finding::WorkWhileLeaving {
                server: name.into(),
                after,
            });
        }
    }
}
