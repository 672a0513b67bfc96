//! Faults of messages, processes and connections, and the fake backend server.

use std::time::Duration;

use bytes::Bytes;
use pimentoflow::process::tickets::BackendReply;
use pimentoflow::process::tickets::Work;
use pimentoflow::request::submission::Peer;
use rand::Rng;

use crate::scenarios::submissions::leaf::Leaf;
use crate::scenarios::submissions::leaf::ToLeaf;
use crate::scenarios::submissions::simulation::ENTRIES;
use crate::scenarios::submissions::simulation::Event;
use crate::scenarios::submissions::simulation::LEAVES;
use crate::scenarios::submissions::simulation::ONE_WAY_DELAY;
use crate::scenarios::submissions::simulation::Simulation;
use crate::scenarios::submissions::simulation::leaf_number;
use crate::scenarios::submissions::simulation::peer;

/// Greatest extra delay of a reordered message.
const MAX_REORDER_DELAY: Duration = Duration::from_millis(40);

/// Mean service time of the backend server. Its 3 slots serve 600 requests per second, three times the default rate.
const SERVICE_MEAN: Duration = Duration::from_millis(5);

/// Greatest delay until a process learns of a change of the owner, equal to the lag of the list of the platform.
const MAX_ADOPTION_DELAY: Duration = Duration::from_secs(3);

/// Longest pause of a leaf.
const MAX_PAUSE: Duration = Duration::from_millis(1500);

/// Process faults per second divided by the fault rate. At a rate of 0.01 there is one pause, restart or owner change
/// every 2 s.
const PROCESS_FAULT_FACTOR: f64 = 50.0;

impl Simulation<'_> {
    /// Returns `true` with the probability of a fault.
    fn draw_fault(&mut self) -> bool {
        self.rng.random_bool(self.settings.faults)
    }

    /// Draws the faults of a message. Returns the delay of each copy that arrives, none if it is lost.
    pub fn delivery_delays(&mut self) -> Vec<Duration> {
        let mut delays = Vec::new();
        if !self.draw_fault() {
            delays.push(ONE_WAY_DELAY);
        }
        if self.draw_fault() {
            delays.push(ONE_WAY_DELAY * 2);
        }
        if self.draw_fault() {
            let extra = MAX_REORDER_DELAY.mul_f64(self.rng.random());
            delays.iter_mut().for_each(|delay| *delay += extra);
        }
        delays
    }

    /// Writes a request to the backend server. The connection may fail before or after the server reads the request.
    pub fn write_to_backend(&mut self, from: Peer, work: Work) {
        let lost = self.draw_fault();
        let read = !lost || self.rng.random_bool(0.5);
        if lost {
            self.send_to_leaf(from.clone(), ONE_WAY_DELAY, ToLeaf::ConnectionLost(work.clone()));
        }
        if read {
            let from = if lost { peer(leaf_number(&from), 0) } else { from };
            self.events.push(ONE_WAY_DELAY, Event::BackendRequest { from, work });
        }
    }

    fn send_to_leaf(&mut self, to: Peer, after: Duration, message: ToLeaf) {
        let session = 0;
        self.events.push(after, Event::ToLeaf { to, session, message });
    }

    /// Handles a request at the backend server, which refuses some without starting them.
    pub fn start_at_backend(&mut self, from: Peer, work: Work) {
        let refuse = self.draw_fault();
        let service = self.exponential(SERVICE_MEAN);
        if !refuse {
            *self.starts.entry(ticket_id(&work)).or_default() += 1;
        }
        let reply = BackendReply {
            status: if refuse { 503 } else { 200 },
            not_started: refuse,
            retry_after: Duration::ZERO,
            body: Bytes::new(),
        };
        self.send_to_leaf(from, service + ONE_WAY_DELAY, ToLeaf::Reply(work, reply));
    }

    /// Schedules the next process fault, unless faults are off or the run is at its end.
    pub fn schedule_fault(&mut self) {
        let rate = PROCESS_FAULT_FACTOR * self.settings.faults;
        if rate > 0.0 && self.events.now() < self.end {
            let gap = self.exponential(Duration::from_secs_f64(1.0 / rate));
            self.events.push(gap, Event::ProcessFault);
        }
    }

    /// Pauses or restarts a random leaf, or changes the owner, and schedules the next process fault.
    pub fn inject_process_fault(&mut self) {
        let now = self.events.now();
        let ix = self.rng.random_range(0..LEAVES);
        match self.rng.random_range(0..3) {
            0 => self.leaves[ix].paused_until = now + MAX_PAUSE.mul_f64(self.rng.random()),
            1 => self.restart(ix),
            _ => self.change_owner(),
        }
        self.schedule_fault();
    }

    /// Replaces a leaf by its next incarnation, which has no state of the previous one, and ends its sessions.
    fn restart(&mut self, ix: usize) {
        let lost = self.leaves[ix].peer.clone();
        let is_owner = self.leaves[ix].is_owner;
        let restarted = peer(ix, lost.incarnation + 1);
        self.leaves[ix] = Leaf::new(self.settings.tickets, restarted, is_owner, self.events.now());
        self.events.push(ONE_WAY_DELAY, Event::SessionLost { lost });
    }

    /// Changes the owner. Processes adopt the change at different times, so that for a while both leaves or none may
    /// act as the owner.
    fn change_owner(&mut self) {
        self.owner = 1 - self.owner;
        let owner = self.owner;
        for process in 0..ENTRIES + LEAVES {
            let after = MAX_ADOPTION_DELAY.mul_f64(self.rng.random());
            self.events.push(after, Event::AdoptOwner { process, owner });
        }
    }

    /// Lets one process act on a change of the owner. Processes are numbered entries first, then leaves.
    pub fn adopt_owner(&mut self, process: usize, owner: usize) {
        match process.checked_sub(ENTRIES) {
            None => self.known_owner[process] = owner,
            Some(leaf) => self.leaves[leaf].is_owner = leaf == owner,
        }
    }
}

/// Parses the index of the intent and the number of the ticket within it from the body of a request, `intent/nth`.
///
/// A part that is not a number becomes the maximum value of its type.
fn ticket_id(work: &Work) -> (usize, u32) {
    let text = std::str::from_utf8(&work.body).unwrap_or_default();
    let (intent, nth) = text.split_once('/').unwrap_or_default();
    (intent.parse().unwrap_or(usize::MAX), nth.parse().unwrap_or(u32::MAX))
}
