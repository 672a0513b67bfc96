//! Faults of messages, processes and connections, and the backend server that they lead to.

use std::time::Duration;

use bytes::Bytes;
use pimentoflow::process::tickets::BackendReply;
use pimentoflow::process::tickets::Work;
use pimentoflow::request::submission::Peer;
use rand::Rng;

use crate::scenarios::submissions::leaf::Leaf;
use crate::scenarios::submissions::leaf::ToLeaf;
use crate::scenarios::submissions::world::ENTRIES;
use crate::scenarios::submissions::world::Event;
use crate::scenarios::submissions::world::LEAVES;
use crate::scenarios::submissions::world::ONE_WAY;
use crate::scenarios::submissions::world::World;
use crate::scenarios::submissions::world::leaf_number;
use crate::scenarios::submissions::world::peer;

/// Greatest delay of a reordered message.
const REORDER: Duration = Duration::from_millis(40);

/// Mean time that the backend server takes. 3 slots then serve 600 a second, three times the default rate.
const SERVICE: Duration = Duration::from_millis(5);

/// Time after which the latest process knows of a change of the owner, as for the lag of the platform's list.
const ADOPTION: Duration = Duration::from_secs(3);

/// Longest pause of a leaf.
const MAX_PAUSE: Duration = Duration::from_millis(1500);

/// Process faults a second for each unit of the fault rate: at 0.01 one pause, restart or change of owner every 2 s.
const PROCESS_FAULTS: f64 = 50.0;

impl World<'_> {
    fn chance(&mut self) -> bool {
        self.rng.random_bool(self.settings.faults)
    }

    /// Returns the delays after which copies of a message arrive.
    pub fn network(&mut self) -> Vec<Duration> {
        let mut delays = Vec::new();
        if !self.chance() {
            delays.push(ONE_WAY);
        }
        if self.chance() {
            delays.push(ONE_WAY * 2);
        }
        if self.chance() {
            let extra = REORDER.mul_f64(self.rng.random());
            delays.iter_mut().for_each(|delay| *delay += extra);
        }
        delays
    }

    /// Writes a request to the backend server. The connection may die on the way, before or after the server reads it.
    pub fn write(&mut self, from: Peer, work: Work) {
        let lost = self.chance();
        let read = !lost || self.rng.random_bool(0.5);
        if lost {
            self.report(from.clone(), ONE_WAY, ToLeaf::Lost(work.clone()));
        }
        if read {
            let from = if lost { peer(leaf_number(&from), 0) } else { from };
            self.events.push(ONE_WAY, Event::Start { from, work });
        }
    }

    fn report(&mut self, to: Peer, after: Duration, message: ToLeaf) {
        let session = 0;
        self.events.push(after, Event::ToLeaf { to, session, message });
    }

    /// Reads a request at the backend server, which refuses a share of them without a start.
    pub fn start(&mut self, from: Peer, work: Work) {
        let refuse = self.chance();
        let service = self.exponential(SERVICE);
        if !refuse {
            *self.starts.entry(id_of(&work)).or_default() += 1;
        }
        let reply = BackendReply {
            status: if refuse { 503 } else { 200 },
            not_started: refuse,
            retry_after: Duration::ZERO,
            body: Bytes::new(),
        };
        self.report(from, service + ONE_WAY, ToLeaf::Reply(work, reply));
    }

    pub fn schedule_fault(&mut self) {
        let rate = PROCESS_FAULTS * self.settings.faults;
        if rate > 0.0 && self.events.now() < self.end {
            let gap = self.exponential(Duration::from_secs_f64(1.0 / rate));
            self.events.push(gap, Event::ProcessFault);
        }
    }

    pub fn process_fault(&mut self) {
        let now = self.events.now();
        let ix = self.rng.random_range(0..LEAVES);
        match self.rng.random_range(0..3) {
            0 => self.leaves[ix].paused = now + MAX_PAUSE.mul_f64(self.rng.random()),
            1 => self.restart(ix),
            _ => self.change_owner(),
        }
        self.schedule_fault();
    }

    fn restart(&mut self, ix: usize) {
        let lost = self.leaves[ix].peer.clone();
        let owns = self.leaves[ix].owns;
        let fresh = peer(ix, lost.incarnation + 1);
        self.leaves[ix] = Leaf::new(self.settings.tickets, fresh, owns, self.events.now());
        self.events.push(ONE_WAY, Event::SessionLost { lost });
    }

    /// Moves the ownership. Each process adopts it at a time of its own, so that both leaves or none may believe that
    /// they own the searcher.
    fn change_owner(&mut self) {
        self.owner = 1 - self.owner;
        let owner = self.owner;
        for process in 0..ENTRIES + LEAVES {
            let after = ADOPTION.mul_f64(self.rng.random());
            self.events.push(after, Event::AdoptOwner { process, owner });
        }
    }

    pub fn adopt(&mut self, process: usize, owner: usize) {
        match process.checked_sub(ENTRIES) {
            None => self.believed[process] = owner,
            Some(leaf) => self.leaves[leaf].owns = leaf == owner,
        }
    }
}

/// Reads the submission and the number of its ticket from the body of the request.
fn id_of(work: &Work) -> (usize, u32) {
    let text = std::str::from_utf8(&work.body).unwrap_or_default();
    let (intent, nth) = text.split_once('/').unwrap_or_default();
    (intent.parse().unwrap_or(usize::MAX), nth.parse().unwrap_or(u32::MAX))
}
