//! Applies the actions of a schedule to a deployment.

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

use crate::check::DRAIN_REACTION_LIMIT;
use crate::driver::Options;
use crate::driver::recorder::Recorder;
use crate::driver::recorder::Target;
use crate::driver::schedule::Action;
use crate::history::EventKind;

/// Lines of the document that define the shard before and after its split, and the ends of its whole range and of its
/// lower half. The third replica serves the upper half.
const WHOLE_SHARD_YAML: &str = "      - name: gala-s01\n        range: {start: 0, end: 715827882}\n";
const LOWER_SHARD_YAML: &str = "      - name: gala-s01\n        range: {start: 0, end: 357913941}\n";
const THIRD_REPLICA_YAML: &str = "          - searcher: gala-s01-c\n";
const UPPER_SHARD_YAML: &str = "      - name: gala-s01y\n        range: {start: 357913941, end: 715827882}\n        \
                           replicas:\n          - searcher: gala-s01-c\n";
const SPLIT_END: u64 = 715_827_882;
const SPLIT_MIDDLE: u64 = 357_913_941;

/// Time beyond [`DRAIN_REACTION_LIMIT`] for which a server keeps draining, so that late work is detected.
const DRAIN_MARGIN: Duration = Duration::from_millis(400);

/// Delay of each chunk to and from a leaf. It is longer than the network delay between today's data centres.
const RELAY_DELAY: Duration = Duration::from_millis(8);

/// How to undo an action.
#[derive(Debug)]
pub(super) enum Undo {
    StartLeaf(Box<str>),
    StartEntry(Box<str>),
    ClearFaults(Vec<Box<str>>, fn(&mut Faults)),
    EndDrain(Box<str>, Duration),
    SetSnapshot(u64),
    MergeShard,
    ClearPlatformFaults,
    Republish,
    RestoreRelay(Box<str>),
    Nothing,
}

/// Applies actions to a deployment and records them.
#[derive(Debug)]
pub(super) struct Executor {
    pub deployment: Deployment,
    pub recorder: Arc<Recorder>,
    initial_document: LocalDocument,
    rng: SmallRng,
    revision: u64,
    has_submitters: bool,
    is_split: bool,
    current_snapshot: u64,
    newest_snapshot: u64,
    pending_stops: JoinSet<(Box<str>, Outcome)>,
}

impl Executor {
    pub fn new(deployment: Deployment, recorder: Arc<Recorder>, options: &Options) -> Self {
        for (name, member) in deployment.leaves.iter().chain(&deployment.entries) {
            register_program(&recorder, name, member);
        }
        Self {
            initial_document: deployment.document.clone(),
            deployment,
            recorder,
            rng: SmallRng::seed_from_u64(options.seed ^ 0x5eed),
            revision: 1,
            has_submitters: options.submit_tasks > 0,
            is_split: false,
            current_snapshot: 1,
            newest_snapshot: 1,
            pending_stops: JoinSet::new(),
        }
    }

    /// Returns the highest published revision.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the snapshots that at least one backend server held at some time.
    pub fn snapshots(&self) -> Vec<u64> {
        (1..=self.newest_snapshot).collect()
    }

    /// Begins an action and returns how to undo it.
    pub async fn begin(&mut self, action: Action) -> Result<Undo> {
        match action {
            Action::StopLeaf => self.stop(true),
            Action::StopEntry => {
                self.ensure_spare_entry().await?;
                self.stop(false)
            }
            Action::KillLeaf => self.kill_leaf().await,
            Action::KillEntry => self.kill_entry().await,
            Action::Publish => self.publish().map(|()| Undo::Nothing),
            Action::PlatformDown | Action::PlatformStale => {
                self.record(EventKind::Change(format!("{action:?}").into()));
                let is_down = action == Action::PlatformDown;
                self.deployment.platform.set_faults(|faults| {
                    faults.down |= is_down;
                    faults.stale |= !is_down;
                });
                self.publish()?;
                Ok(Undo::ClearPlatformFaults)
            }
            Action::Revert => {
                self.record(EventKind::Change("revert".into()));
                for (name, bytes) in self.initial_document.values() {
                    self.deployment.platform.publish(&name, bytes);
                }
                Ok(Undo::Republish)
            }
            Action::PauseLeaf => Ok(self.inject_leaf_fault(action, Mode::Hold)),
            Action::DelayLeaf => Ok(self.inject_leaf_fault(action, Mode::Forward(RELAY_DELAY))),
            Action::CutLeaf => Ok(self.inject_leaf_fault(action, Mode::Cut)),
            Action::Drain => Ok(self.drain()),
            Action::Advance => Ok(self.advance_snapshot()),
            Action::RollBack => Ok(self.roll_back_snapshot()),
            Action::Split => self.split_shard(),
            _ => Ok(self.inject_server_fault(action)),
        }
    }

    /// Undoes an action.
    pub async fn undo(&mut self, undo: Undo) -> Result<()> {
        match undo {
            Undo::StartLeaf(data_centre) => {
                let name = self.deployment.start_leaf(&data_centre).await?;
                register_program(&self.recorder, &name, &self.deployment.leaves[&name]);
            }
            Undo::StartEntry(data_centre) => self.start_entry(&data_centre).await?,
            Undo::ClearFaults(servers, clear) => {
                for server in servers {
                    self.deployment.searchers[&server].set_faults(clear);
                }
            }
            Undo::EndDrain(server, until) => {
                while self.recorder.now() < until {
                    self.recorder.wait_for_operations(1).await;
                }
                self.record(EventKind::Return(server.clone()));
                self.deployment.searchers[&server].set_faults(|faults| faults.draining = false);
            }
            Undo::SetSnapshot(snapshot) => {
                self.current_snapshot = self.current_snapshot.max(snapshot);
                for searcher in self.deployment.searchers.values() {
                    searcher.set_snapshots(&[self.current_snapshot]);
                }
            }
            Undo::MergeShard => {
                self.is_split = false;
                self.publish()?;
                self.set_ranges();
            }
            Undo::ClearPlatformFaults => self.deployment.platform.set_faults(|faults| {
                faults.down = false;
                faults.stale = false;
            }),
            Undo::Republish => self.deployment.publish(),
            Undo::RestoreRelay(leaf) => self.set_relay(&leaf, Mode::Forward(Duration::ZERO)),
            Undo::Nothing => {}
        }
        Ok(())
    }

    /// Publishes a last revision and waits until it is in effect in every program, but no longer than `limit`.
    pub async fn settle(&mut self, limit: Duration) -> Result<()> {
        self.publish()?;
        let members = self.deployment.leaves.values().chain(self.deployment.entries.values());
        let expected = self.revision;
        let waiting = async {
            for member in members {
                let mut versions = member.running.node.watch_config();
                let reached = versions
                    .wait_for(|version| {
                        version
                            .as_ref()
                            .is_some_and(|version| version.tables.revision == expected)
                    })
                    .await;
                drop(reached);
            }
        };
        // The checker reports programs that lack the revision after the limit.
        let _reported_by_checker = tokio::time::timeout(limit, waiting).await;
        Ok(())
    }

    /// Waits until all planned stops have ended and records their outcomes.
    pub async fn finish(&mut self) {
        while let Some(ended) = self.pending_stops.join_next().await {
            if let Ok((name, outcome)) = ended {
                let is_clean = outcome == Outcome::Clean;
                self.recorder
                    .update_program(&name, |program| program.clean_stop = Some(is_clean));
            }
        }
    }

    fn record(&self, kind: EventKind) {
        self.recorder.record_event(kind);
    }

    fn stop(&mut self, is_leaf: bool) -> Result<Undo> {
        let (name, member) = self.remove_random(is_leaf)?;
        if let Some(relay) = &member.relay {
            // An unreachable program cannot finish its work, so its stop could not be clean.
            relay.set_mode(Mode::Forward(Duration::ZERO));
        }
        self.record(EventKind::Stop(name.clone()));
        let data_centre = member.data_centre.clone();
        self.recorder.update_program(&name, |program| program.alive = false);
        self.pending_stops.spawn(async move {
            // Keeps the relay alive until the program has stopped.
            let _relay = member.relay;
            (name, member.running.stop().await)
        });
        self.deployment.publish_instances();
        Ok(Self::undo_by_replacement(is_leaf, data_centre))
    }

    const fn undo_by_replacement(is_leaf: bool, data_centre: Box<str>) -> Undo {
        if is_leaf {
            Undo::StartLeaf(data_centre)
        } else {
            Undo::StartEntry(data_centre)
        }
    }

    fn remove_random(&mut self, is_leaf: bool) -> Result<(Box<str>, Member)> {
        let members = if is_leaf {
            &mut self.deployment.leaves
        } else {
            &mut self.deployment.entries
        };
        let ix = self.rng.random_range(0..members.len().max(1));
        members
            .shift_remove_index(ix)
            .ok_or_else(|| eyre!("no program is running"))
    }

    async fn kill_leaf(&mut self) -> Result<Undo> {
        let (name, member) = self.remove_random(true)?;
        Ok(self.kill(name, member, true).await)
    }

    async fn start_entry(&mut self, data_centre: &str) -> Result<()> {
        let name = self.deployment.start_entry(data_centre).await?;
        register_program(&self.recorder, &name, &self.deployment.entries[&name]);
        Ok(())
    }

    /// Ensures that a ready entry remains when one is removed, because the schedule waits for completed operations.
    async fn ensure_spare_entry(&mut self) -> Result<()> {
        if self.deployment.entries.len() < 2 {
            let data_centre = self.deployment.data_centres().remove(0);
            self.start_entry(&data_centre).await?;
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
        self.ensure_spare_entry().await?;
        let entries: Vec<Box<str>> = self.deployment.entries.keys().cloned().collect();
        let busy = if self.has_submitters {
            self.recorder.wait_for_submission(&entries).await
        } else {
            entries.first().cloned()
        };
        let removed = busy.and_then(|name| self.deployment.entries.shift_remove_entry(&name));
        let (name, member) = removed.ok_or_else(|| eyre!("no entry is running"))?;
        Ok(self.kill(name, member, false).await)
    }

    async fn kill(&self, name: Box<str>, member: Member, is_leaf: bool) -> Undo {
        self.record(EventKind::Kill(name.clone()));
        self.recorder.update_program(&name, |program| program.alive = false);
        member.running.kill().await;
        self.recorder.targets().retain(|target| target.name != name);
        self.deployment.publish_instances();
        Self::undo_by_replacement(is_leaf, member.data_centre)
    }

    fn publish(&mut self) -> Result<()> {
        self.revision += 1;
        self.record(EventKind::Change(format!("revision {}", self.revision).into()));
        let is_split = self.is_split;
        let deadline = format!("deadline: {}ms", 400 + self.revision);
        self.deployment.document = self.initial_document.edit(self.revision, |text| {
            let text = text.replace("deadline: 400ms", &deadline);
            if !is_split {
                return text;
            }
            text.replace(WHOLE_SHARD_YAML, LOWER_SHARD_YAML)
                .replace(THIRD_REPLICA_YAML, UPPER_SHARD_YAML)
        })?;
        self.deployment.document.tables()?;
        self.deployment.publish();
        Ok(())
    }

    fn split_shard(&mut self) -> Result<Undo> {
        self.record(EventKind::Fault("split gala-s01".into()));
        self.is_split = true;
        self.publish()?;
        self.set_ranges();
        Ok(Undo::MergeShard)
    }

    fn set_ranges(&self) {
        let whole = KeyRange {
            start: 0,
            end: SPLIT_END,
        };
        let (lower, upper) = if self.is_split {
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

    fn inject_leaf_fault(&mut self, action: Action, mode: Mode) -> Undo {
        let ix = self.rng.random_range(0..self.deployment.leaves.len());
        let leaf = self.deployment.leaves.get_index(ix).map(|(name, _)| name.clone());
        let leaf = leaf.unwrap_or_default();
        self.record(EventKind::Fault(format!("{action:?} {leaf}").into()));
        self.set_relay(&leaf, mode);
        Undo::RestoreRelay(leaf)
    }

    /// Sets the mode of the relay of a leaf, if the leaf still runs.
    fn set_relay(&self, leaf: &str, mode: Mode) {
        let member = self.deployment.leaves.get(leaf);
        if let Some(relay) = member.and_then(|member| member.relay.as_ref()) {
            relay.set_mode(mode);
        }
    }

    fn drain(&mut self) -> Undo {
        let server = self.choose_servers(1).remove(0);
        self.record(EventKind::Drain(server.clone()));
        self.deployment.searchers[&server].set_faults(|faults| faults.draining = true);
        let until = self.recorder.now() + DRAIN_REACTION_LIMIT + DRAIN_MARGIN;
        Undo::EndDrain(server, until)
    }

    fn advance_snapshot(&mut self) -> Undo {
        self.record(EventKind::Fault("advance".into()));
        self.newest_snapshot += 1;
        for searcher in self.deployment.searchers.values() {
            searcher.set_snapshots(&[self.current_snapshot, self.newest_snapshot]);
        }
        Undo::SetSnapshot(self.newest_snapshot)
    }

    fn roll_back_snapshot(&mut self) -> Undo {
        self.record(EventKind::Fault("roll back".into()));
        self.newest_snapshot += 1;
        for searcher in self.deployment.searchers.values().step_by(2) {
            searcher.set_snapshots(&[self.current_snapshot, self.newest_snapshot]);
        }
        Undo::SetSnapshot(self.current_snapshot)
    }

    /// Returns `count` random servers, possibly with duplicates.
    fn choose_servers(&mut self, count: usize) -> Vec<Box<str>> {
        let names: Vec<Box<str>> = self.deployment.searchers.keys().cloned().collect();
        let chosen = (0..count).map(|_| names[self.rng.random_range(0..names.len())].clone());
        chosen.collect()
    }

    fn inject_server_fault(&mut self, action: Action) -> Undo {
        self.record(EventKind::Fault(format!("{action:?}").into()));
        let fault = server_fault(action);
        let servers = self.choose_servers(fault.servers);
        for server in &servers {
            self.deployment.searchers[server].set_faults(fault.set);
        }
        Undo::ClearFaults(servers, fault.clear)
    }
}

/// Fault to inject into a number of backend servers.
struct ServerFault {
    servers: usize,
    set: fn(&mut Faults),
    clear: fn(&mut Faults),
}

fn server_fault(action: Action) -> ServerFault {
    match action {
        Action::Freeze => ServerFault {
            servers: 2,
            set: |faults| faults.frozen = true,
            clear: |faults| faults.frozen = false,
        },
        Action::Stragglers => ServerFault {
            servers: 18,
            set: |faults| faults.straggler_share = 0.1,
            clear: |faults| faults.straggler_share = 0.0,
        },
        Action::Shed => ServerFault {
            servers: 6,
            set: |faults| faults.shed_share = 0.5,
            clear: |faults| faults.shed_share = 0.0,
        },
        Action::DropBefore => ServerFault {
            servers: 8,
            set: |faults| faults.drop_before = 0.3,
            clear: |faults| faults.drop_before = 0.0,
        },
        Action::DropAfter => ServerFault {
            servers: 8,
            set: |faults| faults.drop_after = 0.3,
            clear: |faults| faults.drop_after = 0.0,
        },
        _ => ServerFault {
            servers: 4,
            set: |faults| faults.truncate = true,
            clear: |faults| faults.truncate = false,
        },
    }
}

fn register_program(recorder: &Arc<Recorder>, name: &str, member: &Member) {
    recorder.watch_program(name, &member.running);
    if let Some(address) = member.running.callers {
        recorder.targets().push(Target {
            name: name.into(),
            address,
            readiness: member.running.node.readiness.clone(),
        });
    }
}
