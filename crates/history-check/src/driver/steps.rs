//! What the steps of a schedule do to a deployment.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use eyre::eyre;
use indexmap::IndexMap;
use local_deployment::deployment::Deployment;
use local_deployment::deployment::Member;
use local_deployment::document::LocalDocument;
use local_deployment::relay::Mode;
use pimento_standin::searcher::KeyRange;
use pimento_standin::searcher::faults::Faults;
use pimentoflow::process::drain::Outcome;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinSet;

use crate::check::LEAVING_BOUND;
use crate::driver::Options;
use crate::driver::recorder::Recorder;
use crate::driver::recorder::Target;
use crate::driver::schedule::Episode;
use crate::history::EventKind;

/// Shard that is split, its keys and the middle of them. Its third replica serves the upper half.
const SPLIT_RANGE: &str = "      - name: gala-s01\n        range: {start: 0, end: 715827882}\n";
const SPLIT_LOWER: &str = "      - name: gala-s01\n        range: {start: 0, end: 357913941}\n";
const SPLIT_REPLICA: &str = "          - searcher: gala-s01-c\n";
const SPLIT_UPPER: &str = "      - name: gala-s01y\n        range: {start: 357913941, end: 715827882}\n        \
                           replicas:\n          - searcher: gala-s01-c\n";
const SPLIT_END: u64 = 715_827_882;
const SPLIT_MIDDLE: u64 = 357_913_941;

/// Time beyond [`LEAVING_BOUND`] for which a server stays away, so that late work would show.
const LEAVING_REST: Duration = Duration::from_millis(400);

/// Delay of each chunk on the way to and from a leaf. It is longer than the way between today's data centres.
const RELAY_DELAY: Duration = Duration::from_millis(8);

/// How an episode ends.
#[derive(Debug)]
pub(super) enum Undo {
    StartLeaf(Box<str>),
    StartEntry(Box<str>),
    Faults(Vec<Box<str>>, fn(&mut Faults)),
    Return(Box<str>, Duration),
    Snapshots(u64),
    Merge,
    Platform,
    Republish,
    Reach(Box<str>),
    Nothing,
}

/// A deployment that steps change.
#[derive(Debug)]
pub(super) struct Steps {
    pub deployment: Deployment,
    pub recorder: Arc<Recorder>,
    first: LocalDocument,
    rng: SmallRng,
    revision: u64,
    submits: bool,
    split: bool,
    snapshot: u64,
    newest: u64,
    stops: JoinSet<(Box<str>, Outcome)>,
}

impl Steps {
    pub fn new(deployment: Deployment, recorder: Arc<Recorder>, options: &Options) -> Self {
        for (name, member) in deployment.leaves.iter().chain(&deployment.entries) {
            register(&recorder, name, member);
        }
        Self {
            first: deployment.document.clone(),
            deployment,
            recorder,
            rng: SmallRng::seed_from_u64(options.seed ^ 0x5eed),
            revision: 1,
            submits: options.submitting > 0,
            split: false,
            snapshot: 1,
            newest: 1,
            stops: JoinSet::new(),
        }
    }

    /// Returns the highest revision published.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the snapshots that any server held.
    pub fn snapshots(&self) -> Vec<u64> {
        (1..=self.newest).collect()
    }

    /// Begins an episode.
    pub async fn begin(&mut self, episode: Episode) -> Result<Undo> {
        match episode {
            Episode::StopLeaf => self.stop(true),
            Episode::StopEntry => {
                self.keep_one_entry().await?;
                self.stop(false)
            }
            Episode::KillLeaf => self.kill_leaf().await,
            Episode::KillEntry => self.kill_entry().await,
            Episode::Publish => self.publish().map(|()| Undo::Nothing),
            Episode::PlatformDown | Episode::PlatformStale => {
                self.note(EventKind::Change(format!("{episode:?}").into()));
                let is_down = episode == Episode::PlatformDown;
                self.deployment.platform.set_faults(|faults| {
                    faults.down |= is_down;
                    faults.stale |= !is_down;
                });
                self.publish()?;
                Ok(Undo::Platform)
            }
            Episode::Revert => {
                self.note(EventKind::Change("revert".into()));
                for (name, bytes) in self.first.values() {
                    self.deployment.platform.publish(&name, bytes);
                }
                Ok(Undo::Republish)
            }
            Episode::PauseLeaf => Ok(self.relay(episode, Mode::Hold)),
            Episode::DelayLeaf => Ok(self.relay(episode, Mode::Forward(RELAY_DELAY))),
            Episode::CutLeaf => Ok(self.relay(episode, Mode::Cut)),
            Episode::Drain => Ok(self.drain()),
            Episode::Advance => Ok(self.advance()),
            Episode::RollBack => Ok(self.roll_back()),
            Episode::Split => self.split(),
            _ => Ok(self.server_fault(episode)),
        }
    }

    /// Ends an episode.
    pub async fn undo(&mut self, undo: Undo) -> Result<()> {
        match undo {
            Undo::StartLeaf(centre) => {
                let name = self.deployment.start_leaf(&centre).await?;
                register(&self.recorder, &name, &self.deployment.leaves[&name]);
            }
            Undo::StartEntry(centre) => self.start_entry(&centre).await?,
            Undo::Faults(servers, clear) => {
                for server in servers {
                    self.deployment.searchers[&server].set_faults(clear);
                }
            }
            Undo::Return(server, until) => {
                while self.recorder.now() < until {
                    self.recorder.wait_for_operations(1).await;
                }
                self.note(EventKind::Return(server.clone()));
                self.deployment.searchers[&server].set_faults(|faults| faults.draining = false);
            }
            Undo::Snapshots(snapshot) => {
                self.snapshot = self.snapshot.max(snapshot);
                for searcher in self.deployment.searchers.values() {
                    searcher.set_snapshots(&[self.snapshot]);
                }
            }
            Undo::Merge => {
                self.split = false;
                self.publish()?;
                self.set_ranges();
            }
            Undo::Platform => self.deployment.platform.set_faults(|faults| {
                faults.down = false;
                faults.stale = false;
            }),
            Undo::Republish => self.deployment.publish(),
            Undo::Reach(leaf) => self.set_relay(&leaf, Mode::Forward(Duration::ZERO)),
            Undo::Nothing => {}
        }
        Ok(())
    }

    /// Publishes a last revision and waits until it is in effect in every program, at most for `limit`.
    pub async fn settle(&mut self, limit: Duration) -> Result<()> {
        self.publish()?;
        let members = self.deployment.leaves.values().chain(self.deployment.entries.values());
        let wanted = self.revision;
        let waiting = async {
            for member in members {
                let mut versions = member.running.node.watch_config();
                let reached = versions
                    .wait_for(|version| {
                        version
                            .as_ref()
                            .is_some_and(|version| version.tables.revision == wanted)
                    })
                    .await;
                drop(reached);
            }
        };
        // A revision that is missing after the limit is a finding of the checker.
        let _reported_by_checker = tokio::time::timeout(limit, waiting).await;
        Ok(())
    }

    /// Waits for the planned stops.
    pub async fn finish(&mut self) {
        while let Some(ended) = self.stops.join_next().await {
            if let Ok((name, outcome)) = ended {
                let is_clean = outcome == Outcome::Clean;
                self.recorder
                    .change_program(&name, |program| program.clean_stop = Some(is_clean));
            }
        }
    }

    fn note(&self, kind: EventKind) {
        self.recorder.event(kind);
    }

    fn stop(&mut self, is_leaf: bool) -> Result<Undo> {
        let (name, member) = self.remove(is_leaf)?;
        if let Some(relay) = &member.relay {
            // A program that nobody reaches cannot finish its work, so its stop would be no planned one.
            relay.set_mode(Mode::Forward(Duration::ZERO));
        }
        self.note(EventKind::Stop(name.clone()));
        let centre = member.data_centre.clone();
        self.recorder.change_program(&name, |program| program.alive = false);
        self.stops.spawn(async move {
            // The relay must live as long as the program that stops.
            let _relay = member.relay;
            (name, member.running.stop().await)
        });
        self.deployment.publish_instances();
        Ok(Self::replacement(is_leaf, centre))
    }

    const fn replacement(is_leaf: bool, centre: Box<str>) -> Undo {
        if is_leaf {
            Undo::StartLeaf(centre)
        } else {
            Undo::StartEntry(centre)
        }
    }

    fn remove(&mut self, is_leaf: bool) -> Result<(Box<str>, Member)> {
        let members = if is_leaf {
            &mut self.deployment.leaves
        } else {
            &mut self.deployment.entries
        };
        let ix = self.rng.random_range(0..members.len().max(1));
        members
            .shift_remove_index(ix)
            .ok_or_else(|| eyre!("no program is left"))
    }

    async fn kill_leaf(&mut self) -> Result<Undo> {
        let (name, member) = self.remove(true)?;
        Ok(self.kill(name, member, true).await)
    }

    async fn start_entry(&mut self, centre: &str) -> Result<()> {
        let name = self.deployment.start_entry(centre).await?;
        register(&self.recorder, &name, &self.deployment.entries[&name]);
        Ok(())
    }

    /// Makes sure that a ready entry remains when one is taken away, since the steps wait for operations of callers.
    async fn keep_one_entry(&mut self) -> Result<()> {
        if self.deployment.entries.len() < 2 {
            let centre = self.deployment.data_centres().remove(0);
            self.start_entry(&centre).await?;
        }
        let members = self.deployment.entries.values();
        while members
            .clone()
            .filter(|member| member.running.node.readiness.get())
            .count()
            < 2
        {
            tokio::task::yield_now().await;
        }
        Ok(())
    }

    async fn kill_entry(&mut self) -> Result<Undo> {
        self.keep_one_entry().await?;
        let entries: Vec<Box<str>> = self.deployment.entries.keys().cloned().collect();
        let busy = if self.submits {
            self.recorder.wait_for_submission(&entries).await
        } else {
            entries.first().cloned()
        };
        let removed = busy.and_then(|name| self.deployment.entries.shift_remove_entry(&name));
        let (name, member) = removed.ok_or_else(|| eyre!("no entry is left"))?;
        Ok(self.kill(name, member, false).await)
    }

    async fn kill(&self, name: Box<str>, member: Member, is_leaf: bool) -> Undo {
        self.note(EventKind::Kill(name.clone()));
        self.recorder.change_program(&name, |program| program.alive = false);
        member.running.kill().await;
        self.recorder.targets().retain(|target| target.name != name);
        self.deployment.publish_instances();
        Self::replacement(is_leaf, member.data_centre)
    }

    fn publish(&mut self) -> Result<()> {
        self.revision += 1;
        self.note(EventKind::Change(format!("revision {}", self.revision).into()));
        let split = self.split;
        let deadline = format!("deadline: {}ms", 400 + self.revision);
        self.deployment.document = self.first.edit(self.revision, |text| {
            let text = text.replace("deadline: 400ms", &deadline);
            if !split {
                return text;
            }
            text.replace(SPLIT_RANGE, SPLIT_LOWER)
                .replace(SPLIT_REPLICA, SPLIT_UPPER)
        })?;
        self.deployment.document.tables()?;
        self.deployment.publish();
        Ok(())
    }

    fn split(&mut self) -> Result<Undo> {
        self.note(EventKind::Fault("split gala-s01".into()));
        self.split = true;
        self.publish()?;
        self.set_ranges();
        Ok(Undo::Merge)
    }

    fn set_ranges(&self) {
        let whole = KeyRange {
            start: 0,
            end: SPLIT_END,
        };
        let (lower, upper) = if self.split {
            let lower = KeyRange {
                end: SPLIT_MIDDLE,
                ..whole
            };
            let upper = KeyRange {
                start: SPLIT_MIDDLE,
                ..whole
            };
            (lower, upper)
        } else {
            (whole, whole)
        };
        let ranges = IndexMap::from([("gala-s01-a", lower), ("gala-s01-b", lower), ("gala-s01-c", upper)]);
        for (server, range) in ranges {
            self.deployment.searchers[server].set_range(range);
        }
    }

    fn relay(&mut self, episode: Episode, mode: Mode) -> Undo {
        let ix = self.rng.random_range(0..self.deployment.leaves.len());
        let leaf = self.deployment.leaves.get_index(ix).map(|(name, _)| name.clone());
        let leaf = leaf.unwrap_or_default();
        self.note(EventKind::Fault(format!("{episode:?} {leaf}").into()));
        self.set_relay(&leaf, mode);
        Undo::Reach(leaf)
    }

    /// Sets the relay of a leaf that still runs.
    fn set_relay(&self, leaf: &str, mode: Mode) {
        let member = self.deployment.leaves.get(leaf);
        if let Some(relay) = member.and_then(|member| member.relay.as_ref()) {
            relay.set_mode(mode);
        }
    }

    fn drain(&mut self) -> Undo {
        let server = self.choose(1).remove(0);
        self.note(EventKind::Drain(server.clone()));
        self.deployment.searchers[&server].set_faults(|faults| faults.draining = true);
        let until = self.recorder.now() + LEAVING_BOUND + LEAVING_REST;
        Undo::Return(server, until)
    }

    fn advance(&mut self) -> Undo {
        self.note(EventKind::Fault("advance".into()));
        self.newest += 1;
        for searcher in self.deployment.searchers.values() {
            searcher.set_snapshots(&[self.snapshot, self.newest]);
        }
        Undo::Snapshots(self.newest)
    }

    fn roll_back(&mut self) -> Undo {
        self.note(EventKind::Fault("roll back".into()));
        self.newest += 1;
        for searcher in self.deployment.searchers.values().step_by(2) {
            searcher.set_snapshots(&[self.snapshot, self.newest]);
        }
        Undo::Snapshots(self.snapshot)
    }

    /// Returns `count` servers, some of which may be the same.
    fn choose(&mut self, count: usize) -> Vec<Box<str>> {
        let names: Vec<Box<str>> = self.deployment.searchers.keys().cloned().collect();
        let chosen = (0..count).map(|_| names[self.rng.random_range(0..names.len())].clone());
        chosen.collect()
    }

    fn server_fault(&mut self, episode: Episode) -> Undo {
        self.note(EventKind::Fault(format!("{episode:?}").into()));
        let switch = switch_of(episode);
        let servers = self.choose(switch.servers);
        for server in &servers {
            self.deployment.searchers[server].set_faults(switch.set);
        }
        Undo::Faults(servers, switch.clear)
    }
}

/// Fault of several backend servers.
struct Switch {
    servers: usize,
    set: fn(&mut Faults),
    clear: fn(&mut Faults),
}

fn switch_of(episode: Episode) -> Switch {
    match episode {
        Episode::Freeze => Switch {
            servers: 2,
            set: |faults| faults.frozen = true,
            clear: |faults| faults.frozen = false,
        },
        Episode::Stragglers => Switch {
            servers: 18,
            set: |faults| faults.straggler_share = 0.1,
            clear: |faults| faults.straggler_share = 0.0,
        },
        Episode::Shed => Switch {
            servers: 6,
            set: |faults| faults.shed_share = 0.5,
            clear: |faults| faults.shed_share = 0.0,
        },
        Episode::DropBefore => Switch {
            servers: 8,
            set: |faults| faults.drop_before = 0.3,
            clear: |faults| faults.drop_before = 0.0,
        },
        Episode::DropAfter => Switch {
            servers: 8,
            set: |faults| faults.drop_after = 0.3,
            clear: |faults| faults.drop_after = 0.0,
        },
        _ => Switch {
            servers: 4,
            set: |faults| faults.truncate = true,
            clear: |faults| faults.truncate = false,
        },
    }
}

fn register(recorder: &Arc<Recorder>, name: &str, member: &Member) {
    recorder.watch_program(name, &member.running);
    if let Some(address) = member.running.callers {
        recorder.targets().push(Target {
            name: name.into(),
            address,
            readiness: member.running.node.readiness.clone(),
        });
    }
}
