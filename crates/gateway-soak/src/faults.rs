//! Faults in series, chosen by a seeded random source. Several may hold at one time.

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

/// Longest pause between two faults.
const GAP_MS: u64 = 350;

/// Kinds of faults, each as likely as the others.
const KINDS: u32 = 12;

pub struct Faults {
    rng: SmallRng,
}

impl Faults {
    pub const fn new(rng: SmallRng) -> Self {
        Self { rng }
    }

    /// Injects the next fault, or ends one, after a pause.
    pub async fn next(&mut self, fleet: &mut Fleet) -> Result<()> {
        let pause = self.rng.random_range(20..GAP_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let backend = self.rng.random_range(0..fleet.backends.len());
        let process = self.rng.random_range(0..fleet.processes.len());
        match self.rng.random_range(0..KINDS) {
            0 | 1 => fleet.backends[backend].set_way(self.mode()),
            2 | 3 => fleet.backends[backend].server.enqueue([self.act()]),
            4 => fleet.backends[backend].server.set_default(self.act()),
            5 => {
                for ix in 0..fleet.backends.len() {
                    fleet.backends[ix].set_way(Mode::Pass);
                    fleet.backends[ix].server.set_default(Behaviour::Normal);
                }
            }
            6 => fleet.processes[process].store.set(self.mode()),
            7 => {
                let modes = [StoreMode::Up, StoreMode::Up, StoreMode::Unavailable, StoreMode::Silent];
                fleet.store.set_mode(modes[self.rng.random_range(0..modes.len())]);
                if self.rng.random_bool(0.3) {
                    fleet.store.compact();
                }
            }
            8 => fleet.next_version(),
            9 => self.strike(fleet, process).await?,
            10 => {
                let signal = if fleet.processes[process].is_paused {
                    "CONT"
                } else {
                    "STOP"
                };
                fleet.signal(process, signal).await?;
            }
            _ => self.leave(fleet, backend),
        }
        Ok(())
    }

    /// Ends all faults.
    pub async fn end_all(fleet: &mut Fleet) -> Result<()> {
        for ix in 0..fleet.processes.len() {
            fleet.signal(ix, "CONT").await?;
        }
        for ix in 0..fleet.backends.len() {
            fleet.backends[ix].set_way(Mode::Pass);
            fleet.backends[ix].server.set_default(Behaviour::Normal);
            notices::end(fleet, ix);
            fleet.announce(ix, "ready");
        }
        fleet.store.set_mode(StoreMode::Up);
        for process in &fleet.processes {
            process.store.set(Mode::Pass);
        }
        Ok(())
    }

    async fn strike(&mut self, fleet: &mut Fleet, process: usize) -> Result<()> {
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

    /// Lets a server leave, or come back, with or without notice.
    fn leave(&mut self, fleet: &Fleet, backend: usize) {
        match self.rng.random_range(0..4) {
            0 => fleet.announce(backend, "draining"),
            1 => fleet
                .store
                .remove(&values::server_key(&fleet.backends[backend].server.id)),
            2 => fleet
                .store
                .put_raw(&values::server_key(&fleet.backends[backend].server.id), "no entry"),
            _ => fleet.announce(backend, "ready"),
        }
    }

    fn mode(&mut self) -> Mode {
        match self.rng.random_range(0..6) {
            0 => Mode::Delay(Duration::from_millis(self.rng.random_range(1..400))),
            1 => Mode::Silent,
            2 => Mode::OneWay,
            3 => Mode::Reset,
            _ => Mode::Pass,
        }
    }

    fn act(&mut self) -> Behaviour {
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
