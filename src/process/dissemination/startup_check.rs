//! Check that the configuration is current, after a start or a pause. The process probes its peers before it acts on
//! its configuration; a starting process also waits for the platform.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::ids::InstanceId;
use crate::process::dissemination::exchange::send;
use crate::process::dissemination::state::Dissemination;
use crate::process::dissemination::types::Action;

/// Maximum duration of the check if the process already has a document.
pub const START_TIMEOUT: Duration = Duration::from_secs(2);

/// Peers probed in each round.
const PROBE_FANOUT: usize = 4;

/// Replies that end the probe. With two, a single peer that is itself out of date does not decide.
const REQUIRED_REPLIES: usize = 2;

/// Interval between probe rounds.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum wait for replies, counted from the first probe that is sent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);

/// A probe of peers. Its nonce identifies the replies, so that messages sent before a pause do not count.
#[derive(Debug)]
pub(super) struct Probe {
    nonce: u64,
    next_at: Instant,
    deadline: Option<Instant>,
    peers: IndexSet<InstanceId>,
    replies: usize,
}

impl Probe {
    pub fn new(rng: &mut SmallRng, now: Instant) -> Self {
        Self {
            nonce: rng.random_range(1..=u64::MAX),
            next_at: now,
            deadline: None,
            peers: IndexSet::new(),
            replies: 0,
        }
    }

    fn is_complete(&self, now: Instant) -> bool {
        let needed = REQUIRED_REPLIES.min(self.peers.len()).max(1);
        self.replies >= needed || self.deadline.is_some_and(|deadline| now >= deadline)
    }
}

impl Dissemination {
    /// Sends the next round of probes if it is due.
    pub(super) fn send_probes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.probe.as_ref().is_none_or(|probe| now < probe.next_at) {
            return;
        }
        let peers = self.choose_digest_peers(PROBE_FANOUT);
        let Some(probe) = &mut self.probe else { return };
        probe.next_at = now + PROBE_INTERVAL;
        let nonce = probe.nonce;
        if !peers.is_empty() {
            probe.deadline.get_or_insert(now + PROBE_TIMEOUT);
        }
        probe.peers.extend(peers.iter().cloned());
        for to in peers {
            let digest = self.digest_message(nonce, 0, now);
            send(to, digest, actions);
        }
    }

    pub(super) fn note_reply(&mut self, nonce: u64) {
        if let Some(probe) = &mut self.probe
            && probe.nonce == nonce
        {
            probe.replies += 1;
        }
    }

    /// Restarts the check after a pause of the process.
    pub(super) fn resume(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.probe = Some(Probe::new(&mut self.rng, now));
        self.check_started = now;
        if let Some(assembly) = &mut self.assembly {
            assembly.retry_at = now;
            assembly.clear_reads();
        }
        if self.is_current {
            self.is_current = false;
            actions.push(Action::SetCurrent(false));
        }
    }

    pub(super) fn next_probe(&self) -> Option<Instant> {
        let limit = self.check_started + START_TIMEOUT;
        let waits = !self.is_current && self.in_effect.is_some();
        let probe = self.probe.as_ref().map(|probe| match probe.deadline {
            Some(deadline) => probe.next_at.min(deadline),
            None => probe.next_at,
        });
        probe.or_else(|| waits.then_some(limit))
    }

    /// Ends the check when enough peers have replied, no document is being fetched, and the platform has responded or
    /// will not be read before the time limit. At the time limit, ends it if a document is in effect.
    pub(super) fn check_current(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let limit = self.check_started + START_TIMEOUT;
        let is_late = now >= limit;
        if self.probe.as_ref().is_some_and(|probe| probe.is_complete(now)) || (is_late && self.in_effect.is_some()) {
            self.probe = None;
        }
        if self.is_current || self.in_effect.is_none() || self.probe.is_some() {
            return;
        }
        let platform = self.platform.read_completed || self.platform.next_read() > limit;
        let complete = self.assembly.is_none() && platform;
        if complete || is_late {
            self.is_current = true;
            actions.push(Action::SetCurrent(true));
        }
    }
}
