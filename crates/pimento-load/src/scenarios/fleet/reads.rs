//! Reads and watches of the fake platform by the processes.

use std::time::Duration;

use pimentoflow::ids::Digest;
use pimentoflow::process::dissemination::PlatformResponse;
use pimentoflow::process::dissemination::list_interval;

use crate::scenarios::fleet::driver::Fleet;
use crate::scenarios::fleet::driver::What;

/// Interval at which a waiting watch looks for news.
const WATCH_STEP: Duration = Duration::from_millis(50);

impl Fleet {
    pub(super) fn read_list(&mut self, node: usize) {
        let elapsed = self.events.elapsed();
        let delay = self.platform.delay(&mut self.rng);
        if self.platform.count(self.network.centre[node], elapsed) {
            self.schedule(node, delay, What::View);
        } else {
            let wait = list_interval(self.shape.fleet, &mut self.rng);
            self.schedule(node, wait, What::List);
        }
    }

    pub(super) fn read_root(&mut self, node: usize, after: Option<u64>, wait: Duration) {
        let elapsed = self.events.elapsed();
        let delay = self.platform.delay(&mut self.rng);
        if !self.platform.count(self.network.centre[node], elapsed) {
            let failed = PlatformResponse::Failed { retry_after: None };
            self.schedule(node, delay, What::Root(failed));
            return;
        }
        match after {
            None => {
                let reply = self.platform.root(&mut self.rng);
                self.schedule(node, delay, What::Root(reply));
            }
            Some(after) => self.watch(node, after, elapsed + wait),
        }
    }

    pub(super) fn watch(&mut self, node: usize, after: u64, until: Duration) {
        let delay = self.platform.delay(&mut self.rng);
        if self.platform.cut.contains(&self.network.centre[node]) {
            return;
        }
        if self.platform.down {
            let failed = PlatformResponse::Failed { retry_after: None };
            self.schedule(node, delay, What::Root(failed));
        } else if self.platform.version() > after {
            let reply = self.platform.root(&mut self.rng);
            self.schedule(node, delay, What::Root(reply));
        } else if self.events.elapsed() >= until {
            self.schedule(node, delay, What::Root(PlatformResponse::Unchanged));
        } else {
            self.schedule(node, WATCH_STEP, What::Watch { after, until });
        }
    }

    pub(super) fn read_part(&mut self, node: usize, digest: Digest) {
        let elapsed = self.events.elapsed();
        let delay = self.platform.delay(&mut self.rng);
        let allowed = self.platform.count(self.network.centre[node], elapsed);
        let body = self.platform.part(&digest).filter(|_| allowed);
        self.schedule(node, delay, What::Part { digest, body });
    }
}
