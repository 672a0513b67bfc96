//! Fault injection with a seeded random number generator. Several faults can be active at the same time.

use std::time::Duration;

use eyre::Result;
use platform_standin::Behaviour;
use platform_standin::StoreMode;
use platform_standin::values;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::fleet::Fleet;
use crate::notices;
use crate::proxy::Mode;

/// Upper bound of the pause between two steps, in milliseconds.
const MAX_PAUSE_MS: u64 = 350;

/// Number of equally likely cases in [`FaultInjector::inject_next`].
const FAULT_KINDS: u32 = 12;

/// Injects random faults, one step at a time.
pub struct FaultInjector {
    rng: SmallRng,
}

impl FaultInjector {
    pub const fn new(rng: SmallRng) -> Self {
        Self { rng }
    }

    /// Waits for a random pause and then injects a fault or clears one.
    pub async fn inject_next(&mut self, fleet: &mut Fleet) -> Result<()> {
        let pause = self.rng.random_range(20..MAX_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let backend = self.rng.random_range(0..fleet.backends.len());
        let process = self.rng.random_range(0..fleet.processes.len());
        match self.rng.random_range(0..FAULT_KINDS) {
            0 | 1 => fleet.backends[backend].set_link_mode(self.random_mode()),
            2 | 3 => fleet.backends[backend].server.enqueue([self.random_behaviour()]),
            4 => fleet.backends[backend].server.set_default(self.random_behaviour()),
            5 => {
                for ix in 0..fleet.backends.len() {
                    fleet.backends[ix].set_link_mode(Mode::Forward);
                    fleet.backends[ix].server.set_default(Behaviour::Normal);
                }
            }
            6 => fleet.processes[process].store.set_mode(self.random_mode()),
            7 => {
                let modes = [StoreMode::Up, StoreMode::Up, StoreMode::Unavailable, StoreMode::Silent];
                fleet.store.set_mode(modes[self.rng.random_range(0..modes.len())]);
                if self.rng.random_bool(0.3) {
                    fleet.store.compact();
                }
            }
            8 => fleet.publish_next_version(),
            9 => self.signal_or_restart(fleet, process).await?,
            10 => {
                let signal = if fleet.processes[process].is_paused {
                    "CONT"
                } else {
                    "STOP"
                };
                fleet.signal(process, signal).await?;
            }
            _ => self.change_entry(fleet, backend),
        }
        Ok(())
    }

    /// Clears all faults and resumes paused processes.
    pub async fn clear_all(fleet: &mut Fleet) -> Result<()> {
        for ix in 0..fleet.processes.len() {
            fleet.signal(ix, "CONT").await?;
        }
        for ix in 0..fleet.backends.len() {
            fleet.backends[ix].set_link_mode(Mode::Forward);
            fleet.backends[ix].server.set_default(Behaviour::Normal);
            notices::withdraw(fleet, ix);
            fleet.write_entry(ix, "ready");
        }
        fleet.store.set_mode(StoreMode::Up);
        for process in &fleet.processes {
            process.store.set_mode(Mode::Forward);
        }
        Ok(())
    }

    /// Restarts a process, stops and restarts it, or makes it reload its settings.
    async fn signal_or_restart(&mut self, fleet: &mut Fleet, process: usize) -> Result<()> {
        match self.rng.random_range(0..3) {
            0 => fleet.restart(process).await?,
            1 if !fleet.processes[process].is_paused => {
                fleet.signal(process, "TERM").await?;
                tokio::time::sleep(Duration::from_millis(self.rng.random_range(0..400))).await;
                fleet.restart(process).await?;
            }
            _ => fleet.signal(process, "HUP").await?,
        }
        Ok(())
    }

    /// Marks a server as draining, removes its entry, replaces the entry by an invalid one, or restores it.
    fn change_entry(&mut self, fleet: &Fleet, backend: usize) {
        match self.rng.random_range(0..4) {
            0 => fleet.write_entry(backend, "draining"),
            1 => fleet
                .store
                .remove(&values::server_key(&fleet.backends[backend].server.id)),
            2 => fleet
                .store
                .put_raw(&values::server_key(&fleet.backends[backend].server.id), "no entry"),
            _ => fleet.write_entry(backend, "ready"),
        }
    }

    fn random_mode(&mut self) -> Mode {
        match self.rng.random_range(0..6) {
            0 => Mode::Delay(Duration::from_millis(self.rng.random_range(1..400))),
            1 => Mode::Hold,
            2 => Mode::HoldAnswers,
            3 => Mode::Reset,
            _ => Mode::Forward,
        }
    }

    fn random_behaviour(&mut self) -> Behaviour {
        match self.rng.random_range(0..11) {
            0 => Behaviour::Delayed(Duration::from_millis(self.rng.random_range(1..600))),
            1 => Behaviour::Reset,
            2 => Behaviour::NotRun,
            3 => Behaviour::Unavailable,
            4 => Behaviour::ServerError,
            5 => Behaviour::WrongRequestId,
            6 => Behaviour::Truncated,
            7 => Behaviour::Duplicate,
            8 => Behaviour::CloseDelimited,
            9 => Behaviour::Unsigned,
            _ => Behaviour::Silent,
        }
    }
}
