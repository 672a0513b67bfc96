//! Order of the steps, by seed.

use std::collections::VecDeque;

use eyre::Result;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::driver::executor::Executor;

/// Episodes that overlap at most.
const MAX_OVERLAP: usize = 3;

/// Something that begins and is undone some steps later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Action {
    /// Planned stop of a leaf; undone by the start of another.
    StopLeaf,
    /// Planned stop of an entry; undone by the start of another.
    StopEntry,
    /// Publication of a revision.
    Publish,
    /// Platform that does not answer, with a publication meanwhile.
    PlatformDown,
    /// Platform that shows old values, with a publication meanwhile.
    PlatformStale,
    /// The platform shows the first revision again.
    Revert,
    /// Kill of a leaf; undone by the start of another.
    KillLeaf,
    /// Kill of an entry in the middle of a submission; undone by the start of another.
    KillEntry,
    /// A leaf whose connections stay open and say nothing, as when it is paused.
    PauseLeaf,
    /// A leaf that is reached with a delay.
    DelayLeaf,
    /// A leaf that cannot be reached.
    CutLeaf,
    /// Backend servers that stand still.
    Freeze,
    /// Stragglers on all servers.
    Stragglers,
    /// Servers that shed load.
    Shed,
    /// Servers that lose requests before the work.
    DropBefore,
    /// Servers that lose replies after the work.
    DropAfter,
    /// Servers that answer half of the range.
    Truncate,
    /// A server that leaves and comes back.
    Drain,
    /// All servers take the next snapshot and then drop the one before.
    Advance,
    /// Half of the servers take the next snapshot and go back.
    RollBack,
    /// A shard is split; undone by the merge.
    Split,
}

/// Episodes that must cost no answer. They come first.
const NON_DISRUPTIVE: [Action; 6] = [
    Action::StopLeaf,
    Action::StopEntry,
    Action::Publish,
    Action::PlatformDown,
    Action::PlatformStale,
    Action::Revert,
];

/// Episodes that may cost answers. Some occur twice.
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

/// Episodes in the order of a run.
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

    /// Begins one episode after the other, and undoes the oldest when more than [`MAX_OVERLAP`] are open.
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
