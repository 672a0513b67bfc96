//! Reads and watches of the fake platform.

use std::time::Duration;

use pimentoflow::ids::Digest;
use pimentoflow::process::dissemination::PlatformResponse;
use pimentoflow::process::dissemination::list_interval;

use crate::scenarios::fleet::driver::EventKind;
use crate::scenarios::fleet::driver::Fleet;

/// Interval at which a pending watch checks for a new version.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl Fleet {
    /// Reads the list of instances. Retries a refused read after the list interval.
    pub(super) fn read_list(&mut self, node: usize) {
        let elapsed = self.events.elapsed();
        let delay = self.platform.draw_latency(&mut self.rng);
        if self.platform.admit_read(self.network.data_centre[node], elapsed) {
            self.schedule(node, delay, EventKind::View);
        } else {
            let wait = list_interval(self.config.assumed_fleet_size, &mut self.rng);
            self.schedule(node, wait, EventKind::ReadList);
        }
    }

    /// Reads the root, or watches it for at most `wait` if `after` is set.
    pub(super) fn read_root(&mut self, node: usize, after: Option<u64>, wait: Duration) {
        let elapsed = self.events.elapsed();
        let delay = self.platform.draw_latency(&mut self.rng);
        if !self.platform.admit_read(self.network.data_centre[node], elapsed) {
            let failed = PlatformResponse::Failed { retry_after: None };
            self.schedule(node, delay, EventKind::PlatformRoot(failed));
            return;
        }
        match after {
            None => {
                let response = self.platform.root(&mut self.rng);
                self.schedule(node, delay, EventKind::PlatformRoot(response));
            }
            Some(after) => self.watch(node, after, elapsed + wait),
        }
    }

    /// Watches the root until its version is higher than `after`, or until the virtual time `until`.
    ///
    /// If the data centre cannot reach the platform, the watch never gets a response.
    pub(super) fn watch(&mut self, node: usize, after: u64, until: Duration) {
        let delay = self.platform.draw_latency(&mut self.rng);
        if self.platform.isolated.contains(&self.network.data_centre[node]) {
            return;
        }
        if self.platform.down {
            let failed = PlatformResponse::Failed { retry_after: None };
            self.schedule(node, delay, EventKind::PlatformRoot(failed));
        } else if self.platform.version() > after {
            let response = self.platform.root(&mut self.rng);
            self.schedule(node, delay, EventKind::PlatformRoot(response));
        } else if self.events.elapsed() >= until {
            self.schedule(node, delay, EventKind::PlatformRoot(PlatformResponse::Unchanged));
        } else {
            self.schedule(node, WATCH_POLL_INTERVAL, EventKind::Watch { after, until });
        }
    }

    /// Reads a part. A refused read gives no body.
    pub(super) fn read_part(&mut self, node: usize, digest: Digest) {
        let elapsed = self.events.elapsed();
        let delay = self.platform.draw_latency(&mut self.rng);
        let allowed = self.platform.admit_read(self.network.data_centre[node], elapsed);
        let body = self.platform.part(&digest).filter(|_| allowed);
        self.schedule(node, delay, EventKind::PlatformPart { digest, body });
    }
}
