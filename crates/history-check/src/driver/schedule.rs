//! Order of the actions of a run, derived from its seed.

use std::collections::VecDeque;

use eyre::Result;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::driver::executor::Executor;

/// Number of active actions above which the oldest is undone.
const MAX_OVERLAP: usize = 3;

/// Fault or planned action that begins and is undone a few actions later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Action {
    /// Stops a leaf as planned. The undo starts a replacement.
    StopLeaf,
    /// Stops an entry as planned. The undo starts a replacement.
    StopEntry,
    /// Publishes a new revision.
    Publish,
    /// Makes the platform stop answering and publishes a revision meanwhile.
    PlatformDown,
    /// Makes the platform return old values and publishes a revision meanwhile.
    PlatformStale,
    /// Makes the platform return the first revision again.
    Revert,
    /// Kills a leaf. The undo starts a replacement.
    KillLeaf,
    /// Kills an entry that has a submission in progress. The undo starts a replacement.
    KillEntry,
    /// Holds all traffic of a leaf while its connections stay open, as if the process were paused.
    PauseLeaf,
    /// Delays all traffic of a leaf.
    DelayLeaf,
    /// Makes a leaf unreachable.
    CutLeaf,
    /// Freezes backend servers.
    Freeze,
    /// Makes a share of the requests on backend servers stragglers.
    Stragglers,
    /// Makes backend servers shed load.
    Shed,
    /// Makes backend servers drop connections before they execute a request.
    DropBefore,
    /// Makes backend servers drop connections after they executed a request.
    DropAfter,
    /// Makes backend servers answer for half of the requested range.
    Truncate,
    /// Drains a backend server, which later accepts work again.
    Drain,
    /// Adds the next snapshot on all backend servers. The undo removes the previous one.
    Advance,
    /// Adds the next snapshot on half of the backend servers. The undo removes it.
    RollBack,
    /// Splits a shard. The undo merges it.
    Split,
}

/// Actions that must not affect any answer. They come first.
const NON_DISRUPTIVE: [Action; 6] = [
    Action::StopLeaf,
    Action::StopEntry,
    Action::Publish,
    Action::PlatformDown,
    Action::PlatformStale,
    Action::Revert,
];

/// Actions that may cause failed or partial answers, and planned actions that overlap with them. Some occur twice.
const DISRUPTIVE: [Action; 24] = [
    Action::KillLeaf,
    Action::KillLeaf,
    Action::PauseLeaf,
    Action::PauseLeaf,
    Action::DelayLeaf,
    Action::CutLeaf,
    Action::KillEntry,
    Action::KillEntry,
    Action::Freeze,
    Action::Freeze,
    Action::Stragglers,
    Action::Shed,
    Action::DropBefore,
    Action::DropAfter,
    Action::DropAfter,
    Action::Truncate,
    Action::Drain,
    Action::Advance,
    Action::Advance,
    Action::RollBack,
    Action::Split,
    Action::StopLeaf,
    Action::StopEntry,
    Action::Publish,
];

/// Actions of a run, in order.
#[derive(Debug)]
pub(super) struct Schedule {
    actions: Vec<Action>,
}

impl Schedule {
    pub fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut non_disruptive = NON_DISRUPTIVE;
        let mut disruptive = DISRUPTIVE;
        non_disruptive.shuffle(&mut rng);
        disruptive.shuffle(&mut rng);
        Self {
            actions: non_disruptive.into_iter().chain(disruptive).collect(),
        }
    }

    /// Begins one action after the other, and undoes the oldest when more than [`MAX_OVERLAP`] are active.
    pub async fn run(self, executor: &mut Executor, spacing: u64) -> Result<()> {
        let mut active = VecDeque::new();
        for action in self.actions {
            executor.recorder.wait_for_operations(spacing).await;
            active.push_back(executor.begin(action).await?);
            if active.len() > MAX_OVERLAP
                && let Some(undo) = active.pop_front()
            {
                executor.recorder.wait_for_operations(spacing).await;
                executor.undo(undo).await?;
            }
        }
        for undo in active {
            executor.recorder.wait_for_operations(spacing).await;
            executor.undo(undo).await?;
        }
        Ok(())
    }
}
