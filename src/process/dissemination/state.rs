//! State machine of the dissemination: the document in effect, and the steps from an announced document to the one in
//! effect.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use indexmap::IndexSet;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::ids::Digest;
use crate::ids::InstanceId;
use crate::process::dissemination::assembly::Assembly;
use crate::process::dissemination::assembly::Source;
use crate::process::dissemination::assembly::Step;
use crate::process::dissemination::platform::PlatformReads;
use crate::process::dissemination::serve::Patches;
use crate::process::dissemination::startup_check::Probe;
use crate::process::dissemination::types::Action;
use crate::process::dissemination::types::Document;
use crate::process::dissemination::types::DocumentKey;
use crate::process::dissemination::types::Outline;
use crate::process::dissemination::types::Report;
use crate::process::dissemination::types::Settings;
use crate::process::membership::View;
use crate::process::ownership::rank;

/// Readers of the platform in each data centre. With two, the loss of one delays no change.
pub const READERS_PER_CENTRE: usize = 2;

/// Mean interval between periodic digests to a random peer.
pub(super) const GOSSIP_INTERVAL: Duration = Duration::from_millis(1000);

/// Peers that are notified of a new document in each push round.
pub(super) const PUSH_FANOUT: usize = 3;

/// Push rounds for a new document.
pub(super) const PUSH_ROUNDS: u32 = 4;

/// Mean interval between push rounds.
pub(super) const PUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Number of earlier documents kept. They share unchanged parts with the one in effect. Three documents of 8 MB without
/// a common part still fit the 64 MB of a process.
const MAX_PREVIOUS_DOCUMENTS: usize = 2;

/// Maximum number of rejected roots, and of reported conflicts, that are remembered.
const MAX_REMEMBERED: usize = 64;

/// State machine that fetches, validates and passes on the configuration. It does no I/O: every input may add
/// [`Action`]s, which the caller executes.
#[derive(Debug)]
pub struct Dissemination {
    pub(super) settings: Settings,
    pub(super) rng: SmallRng,
    pub(super) view: Arc<View>,
    pub(super) local_peers: Vec<u32>,
    pub(super) in_effect: Option<Arc<Document>>,
    /// Earlier documents, latest first. Peers may still fetch them or name them as the base of a patch.
    pub(super) previous: VecDeque<Arc<Document>>,
    pub(super) patches: Patches,
    pub(super) assembly: Option<Assembly>,
    /// Highest announced document, to be fetched after the current assembly.
    pub(super) pending: Option<(DocumentKey, Source)>,
    pub(super) rejected: IndexSet<Digest>,
    pub(super) reported_conflicts: IndexSet<(Digest, Digest)>,
    /// Time of the last contact with the platform, either direct or reported by a peer.
    pub(super) last_contact: Instant,
    pub(super) next_gossip: Instant,
    pub(super) gossip_count: u64,
    pub(super) rounds_left: u32,
    pub(super) next_push: Option<Instant>,
    pub(super) probe: Option<Probe>,
    pub(super) check_started: Instant,
    pub(super) is_current: bool,
    pub(super) platform: PlatformReads,
}

impl Dissemination {
    /// Creates the state machine of a starting process, which has no document and probes its peers for one.
    #[must_use]
    pub fn new(settings: Settings, mut rng: SmallRng, now: Instant) -> Self {
        let platform = PlatformReads::new(settings.fleet_size, &mut rng, now);
        let probe = Probe::new(&mut rng, now);
        let next_gossip = now + rng.random_range(GOSSIP_INTERVAL / 2..GOSSIP_INTERVAL);
        Self {
            settings,
            rng,
            view: Arc::default(),
            local_peers: Vec::new(),
            in_effect: None,
            previous: VecDeque::new(),
            patches: Patches::new(),
            assembly: None,
            pending: None,
            rejected: IndexSet::new(),
            reported_conflicts: IndexSet::new(),
            last_contact: now,
            next_gossip,
            gossip_count: 0,
            rounds_left: 0,
            next_push: None,
            probe: Some(probe),
            check_started: now,
            is_current: false,
            platform,
        }
    }

    /// Returns the document in effect.
    #[must_use]
    pub const fn in_effect(&self) -> Option<&Arc<Document>> {
        self.in_effect.as_ref()
    }

    /// Returns whether this process may act on its configuration. This is false until the check after a start or a
    /// pause has ended.
    #[must_use]
    pub const fn is_current(&self) -> bool {
        self.is_current
    }

    /// Returns whether this process is a reader under its current view.
    #[must_use]
    pub const fn is_reader(&self) -> bool {
        self.platform.is_reader
    }

    /// Returns the time since the last contact with the platform, either direct or reported by a peer.
    #[must_use]
    pub fn platform_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_contact)
    }

    /// Applies a new view of the fleet, which determines the peers and the elected readers.
    pub fn on_view(&mut self, view: Arc<View>, now: Instant) {
        let own = &self.settings.instance;
        let mut local_peers = Vec::new();
        let mut names = Vec::new();
        for (ix, (id, instance)) in view.instances.iter().enumerate() {
            if !instance.state.is_live() || instance.data_centre != self.settings.data_centre {
                continue;
            }
            names.push(&**id);
            if id != own {
                local_peers.push(u32::try_from(ix).unwrap_or(u32::MAX));
            }
        }
        let readers = rank::top_ranked(rank::CONFIG_READER, names.into_iter(), READERS_PER_CENTRE);
        let is_reader = view.version > 0 && readers.contains(&&**own);
        self.local_peers = local_peers;
        self.platform.on_view(&view, is_reader, self.settings.fleet_size, now);
        self.view = view;
    }

    /// Handles the result of [`Action::Parse`]. A root that does not parse, or that states another revision than
    /// announced, is rejected.
    pub fn on_outline(
        &mut self,
        root: Digest,
        outline: Result<Outline, Box<str>>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.platform.is_parsing(&root) {
            self.on_platform_outline(root, outline, now, actions);
            return;
        }
        let Some(assembly) = self.assembly.as_mut() else { return };
        if assembly.key.root != root || assembly.step != Step::Outline {
            return;
        }
        match outline {
            Ok(outline) if outline.revision == assembly.key.revision => {
                self.fetch_parts(outline.parts, now, actions);
            }
            Ok(_) => self.reject(
                root,
                "the revision in the root differs from the announced one".into(),
                now,
                actions,
            ),
            Err(reason) => self.reject(root, reason, now, actions),
        }
    }

    /// Handles the result of [`Action::Validate`]. A valid document goes into effect if it is still higher than the
    /// current one.
    pub fn on_validated(
        &mut self,
        key: DocumentKey,
        result: Result<(), Box<str>>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(assembly) = self.assembly.as_ref() else { return };
        if assembly.key != key || assembly.step != Step::Validation {
            return;
        }
        if let Err(reason) = result {
            self.reject(key.root, reason, now, actions);
            return;
        }
        let document = assembly.document();
        self.assembly = None;
        if let Some(document) = document
            && self.is_newer(&key)
        {
            if let Some(before) = self.in_effect.replace(Arc::clone(&document)) {
                self.previous.push_front(before);
                self.previous.truncate(MAX_PREVIOUS_DOCUMENTS);
            }
            actions.push(Action::PutInEffect(document));
            self.rounds_left = PUSH_ROUNDS;
            self.next_push = Some(now);
        }
        self.start_pending(now, actions);
        self.run_due(now, actions);
    }

    /// Runs the timers that are due. `paused` is the length of a gap between ticks that indicates a pause of the
    /// process.
    pub fn on_tick(&mut self, now: Instant, paused: Option<Duration>, actions: &mut Vec<Action>) {
        if paused.is_some() {
            self.resume(now, actions);
        }
        self.run_due(now, actions);
    }

    /// Returns the time of the next timer. [`Dissemination::on_tick`] may be called earlier.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let fetching = self.assembly.as_ref().filter(|assembly| assembly.is_fetching());
        let times = [
            Some(self.next_gossip),
            self.next_push,
            fetching.map(|assembly| assembly.retry_at),
            self.next_probe(),
            self.platform.next_wakeup(),
        ];
        times.into_iter().flatten().min()
    }

    /// Runs everything that is due: probes, gossip, repeated fetches, platform reads and the check whether the
    /// configuration is current.
    pub(super) fn run_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.send_probes(now, actions);
        self.push_digest(now, actions);
        self.gossip(now, actions);
        self.retry(now, actions);
        self.read_platform(now, actions);
        self.check_current(now, actions);
    }

    /// Returns the key of the document in effect.
    pub(super) fn key(&self) -> Option<DocumentKey> {
        self.in_effect.as_ref().map(|document| document.key)
    }

    /// Returns whether a document has a higher key than the one in effect and was not rejected.
    pub(super) fn is_newer(&self, key: &DocumentKey) -> bool {
        self.key().is_none_or(|own| *key > own) && !self.rejected.contains(&key.root)
    }

    /// Records that a source has a document, and starts to fetch it if no fetch is running. A running fetch that has
    /// its root is not cancelled for a document with a higher key, because frequent changes could otherwise keep any
    /// fetch from completing. A fetch that waits for the read budget is the exception.
    pub(super) fn on_announced(&mut self, key: DocumentKey, source: Source, now: Instant, actions: &mut Vec<Action>) {
        self.report_conflict(&key, actions);
        if !self.is_newer(&key) {
            return;
        }
        let Some(assembly) = self.assembly.as_mut() else {
            self.assembly = Some(Assembly::new(key, source, now));
            self.retry(now, actions);
            return;
        };
        if assembly.key == key {
            assembly.add_source(source, now);
            self.retry(now, actions);
        } else if assembly.key < key && (assembly.step == Step::Root || assembly.is_throttled) {
            self.assembly = Some(Assembly::new(key, source, now));
            self.retry(now, actions);
        } else if assembly.key < key && self.pending.as_ref().is_none_or(|(pending, _)| *pending < key) {
            self.pending = Some((key, source));
        }
    }

    /// Gives up the current assembly because no source has all its content, and starts the pending one.
    pub(super) fn abandon(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(assembly) = self.assembly.take() {
            let revision = assembly.key.revision;
            actions.push(Action::Report(Report::Incomplete { revision }));
        }
        self.start_pending(now, actions);
    }

    /// Remembers a rejected root, so that it is not fetched again, drops its assembly and starts the pending one.
    pub(super) fn reject(&mut self, root: Digest, reason: Box<str>, now: Instant, actions: &mut Vec<Action>) {
        if self.rejected.len() >= MAX_REMEMBERED {
            self.rejected.shift_remove_index(0);
        }
        if self.rejected.insert(root) {
            actions.push(Action::Report(Report::Rejected { root, reason }));
        }
        if self.assembly.as_ref().is_some_and(|assembly| assembly.key.root == root) {
            self.assembly = None;
        }
        self.start_pending(now, actions);
        self.check_current(now, actions);
    }

    /// Stores the root of the current assembly and requests its outline.
    pub(super) fn accept_root(&mut self, body: Bytes, actions: &mut Vec<Action>) {
        let Some(assembly) = self.assembly.as_mut() else { return };
        assembly.root = Some(body.clone());
        assembly.step = Step::Outline;
        assembly.note_progress();
        let root = assembly.key.root;
        actions.push(Action::Parse { root, body });
    }

    /// Starts to fetch the listed parts, except for those that a kept document already contains.
    pub(super) fn fetch_parts(&mut self, parts: Vec<Digest>, now: Instant, actions: &mut Vec<Action>) {
        let known: Vec<(Digest, Option<Bytes>)> = parts
            .into_iter()
            .map(|digest| (digest, self.find_part(&digest)))
            .collect();
        let Some(assembly) = self.assembly.as_mut() else { return };
        assembly.parts = known.into_iter().collect();
        assembly.step = Step::Parts;
        assembly.retry_at = now;
        if !self.validate_when_complete(actions) {
            self.retry(now, actions);
        }
    }

    /// Requests the validation of the current assembly if no part is missing. Returns whether it did.
    pub(super) fn validate_when_complete(&mut self, actions: &mut Vec<Action>) -> bool {
        let Some(assembly) = self.assembly.as_mut() else {
            return false;
        };
        let Some(document) = assembly.document() else {
            return false;
        };
        assembly.step = Step::Validation;
        actions.push(Action::Validate(document));
        true
    }

    /// Returns a part with this digest from the document in effect or an earlier one.
    pub(super) fn find_part(&self, digest: &Digest) -> Option<Bytes> {
        let mut documents = self.in_effect.iter().chain(&self.previous);
        let found = documents.find_map(|document| document.parts.get(digest));
        found.cloned()
    }

    fn start_pending(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.assembly.is_none()
            && let Some((key, source)) = self.pending.take()
        {
            self.on_announced(key, source, now, actions);
        }
    }

    /// Reports a document that has the same revision as the one in effect but other content, once for each pair of
    /// roots.
    fn report_conflict(&mut self, key: &DocumentKey, actions: &mut Vec<Action>) {
        let Some(own) = self.key() else { return };
        if own.revision != key.revision || own.root == key.root {
            return;
        }
        let winner = own.root.max(key.root);
        let loser = own.root.min(key.root);
        if self.reported_conflicts.len() >= MAX_REMEMBERED {
            self.reported_conflicts.shift_remove_index(0);
        }
        if self.reported_conflicts.insert((winner, loser)) {
            actions.push(Action::Report(Report::Conflict {
                revision: key.revision,
                winner,
                loser,
            }));
        }
    }

    /// Returns a random peer in the local data centre.
    pub(super) fn local_peer(&mut self) -> Option<InstanceId> {
        if self.local_peers.is_empty() {
            return None;
        }
        let ix = self.local_peers[self.rng.random_range(0..self.local_peers.len())];
        let (id, _) = self.view.instances.get_index(ix as usize)?;
        Some(id.clone())
    }

    /// Returns a random peer in another data centre. In a fleet of several data centres, eight draws almost always find
    /// one.
    pub(super) fn remote_peer(&mut self) -> Option<InstanceId> {
        const MAX_DRAWS: usize = 8;
        for _ in 0..MAX_DRAWS {
            let count = self.view.instances.len();
            if count == 0 {
                return None;
            }
            let (id, instance) = self.view.instances.get_index(self.rng.random_range(0..count))?;
            if instance.state.is_live() && instance.data_centre != self.settings.data_centre {
                return Some(id.clone());
            }
        }
        None
    }
}
