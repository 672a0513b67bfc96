//! Returns the store from copies of its content, after which the lost values are written again.

use std::time::Duration;
use std::time::Instant;

use platform_standin::StoreCopy;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::fleet::Fleet;

/// Probability of a step that copies the store.
const COPY_PROBABILITY: f64 = 0.1;

/// Probability of a step that restores the last copy.
const RESTORE_PROBABILITY: f64 = 0.06;

/// Upper bound of the time until the lost values are written again, in milliseconds.
const MAX_REWRITE_MS: u64 = 1500;

/// Time in which most processes read a change.
const READ_TIME: Duration = Duration::from_millis(1200);

/// Copies and restores the store at random.
pub struct RestoreInjector {
    rng: SmallRng,
    copy: StoreCopy,
    /// Content before the last restore, and the time at which it is written again.
    lost: Option<(StoreCopy, Instant)>,
}

impl RestoreInjector {
    /// Creates an injector with a copy of the current content.
    pub fn new(fleet: &Fleet, rng: SmallRng) -> Self {
        Self {
            rng,
            copy: fleet.store.copy(),
            lost: None,
        }
    }

    /// Writes lost values again when they are due, and copies or restores the store now and then.
    pub fn inject_next(&mut self, fleet: &Fleet) {
        if let Some((lost, _)) = self.lost.take_if(|(_, due)| *due <= Instant::now()) {
            fleet.store.write_again(&lost);
        }
        if self.rng.random_bool(COPY_PROBABILITY) && self.lost.is_none() {
            self.copy = fleet.store.copy();
        }
        if self.rng.random_bool(RESTORE_PROBABILITY) {
            let pause = Duration::from_millis(self.rng.random_range(0..MAX_REWRITE_MS));
            self.restore(fleet, Instant::now() + pause);
        }
    }

    /// Publishes a configuration, restores the store a last time, and writes all lost values again. The later writes of
    /// the run then pass the revisions that the processes have read.
    pub async fn finish(&mut self, fleet: &mut Fleet) {
        fleet.publish_next_version();
        tokio::time::sleep(READ_TIME).await;
        self.restore(fleet, Instant::now());
        if let Some((lost, _)) = self.lost.take() {
            fleet.store.write_again(&lost);
        }
    }

    /// Restores the store. The values that it loses are written again at `due`, and those of an earlier restore before
    /// it.
    fn restore(&mut self, fleet: &Fleet, due: Instant) {
        if let Some((lost, _)) = self.lost.take() {
            fleet.store.write_again(&lost);
        }
        self.lost = Some((fleet.store.copy(), due));
        fleet.store.restore(&self.copy);
    }
}
