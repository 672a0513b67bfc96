//! Reads of the platform: watches by readers, and single reads by other processes that have no document or no recent
//! contact with the platform through their peers.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use indexmap::IndexSet;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::ids::Digest;
use crate::process::dissemination::assembly::Assembly;
use crate::process::dissemination::assembly::Source;
use crate::process::dissemination::assembly::Step;
use crate::process::dissemination::assembly::sha256;
use crate::process::dissemination::budget::ReadBudget;
use crate::process::dissemination::budget::start_delay;
use crate::process::dissemination::state::Dissemination;
use crate::process::dissemination::state::READERS_PER_CENTRE;
use crate::process::dissemination::types::Action;
use crate::process::dissemination::types::DocumentKey;
use crate::process::dissemination::types::Outline;
use crate::process::dissemination::types::PlatformResponse;
use crate::process::dissemination::types::Report;
use crate::process::membership::View;

/// Maximum duration of one watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Mean interval between reads without a version. They recover from a watch that missed a change or that follows a
/// wrong version.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(30);

/// Delay after a failed read. It doubles with each consecutive failure, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum delay after failed reads. It bounds how late a change is seen after the platform recovers.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Time without contact with the platform after which a process that is not a reader reads it itself.
const FALLBACK_DELAY: Duration = Duration::from_secs(20);

/// Interval between reads of a process that is not a reader and has no document.
const REREAD_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a read, in addition to the duration of its watch.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Tokens that a reader may accumulate, so that it can read the parts of a large change at once.
const READER_BURST: u32 = 16;

/// State of this process's reads of the platform.
#[derive(Debug)]
pub(super) struct PlatformReads {
    pub is_reader: bool,
    pub fleet_size: usize,
    /// Whether any read has completed since the start, even with a failure.
    pub read_completed: bool,
    budget: ReadBudget,
    next_read: Instant,
    /// Deadline of the read of the root that is in progress.
    read_deadline: Option<Instant>,
    /// Version of the root in the last response. It is lower than the one before if the platform was restored.
    version: Option<u64>,
    /// Time of the next read without a version.
    full_read: Instant,
    failures: u32,
    /// Root whose outline the caller is parsing.
    parsing: Option<(Digest, Bytes)>,
    /// Latest root received from the platform, kept until its document is assembled. It is not replaced by a lower one
    /// while it is pending.
    latest: Option<PlatformRoot>,
    /// Root of the last lower document, which is not parsed again.
    lower_root: Option<Digest>,
}

/// A root received from the platform, with its outline.
#[derive(Debug)]
struct PlatformRoot {
    key: DocumentKey,
    body: Bytes,
    parts: Vec<Digest>,
}

impl PlatformReads {
    pub fn new(fleet_size: usize, rng: &mut SmallRng, now: Instant) -> Self {
        Self {
            is_reader: false,
            fleet_size,
            read_completed: false,
            budget: ReadBudget::new(fleet_size, now),
            next_read: now + start_delay(fleet_size, rng),
            read_deadline: None,
            version: None,
            full_read: now,
            failures: 0,
            parsing: None,
            latest: None,
            lower_root: None,
        }
    }

    pub fn on_view(&mut self, view: &View, is_reader: bool, assumed_size: usize, now: Instant) {
        let fleet_size = if view.version == 0 {
            assumed_size
        } else {
            view.fleet_size
        };
        let becomes_reader = is_reader && !self.is_reader;
        self.fleet_size = fleet_size;
        self.is_reader = is_reader;
        if is_reader {
            let instances = view.instances.values();
            let centres: IndexSet<&str> = instances.map(|instance| &*instance.data_centre).collect();
            self.budget
                .set_share(READERS_PER_CENTRE * centres.len(), READER_BURST, now);
        } else {
            self.budget.set_share(fleet_size, 1, now);
        }
        if becomes_reader {
            self.next_read = now;
        }
    }

    pub fn is_parsing(&self, root: &Digest) -> bool {
        self.parsing.as_ref().is_some_and(|(parsing, _)| parsing == root)
    }

    /// Returns the time of the next read of the root.
    pub const fn next_read(&self) -> Instant {
        self.next_read
    }

    pub const fn next_wakeup(&self) -> Option<Instant> {
        match self.read_deadline {
            Some(until) => Some(until),
            None => Some(self.next_read),
        }
    }

    fn on_failure(&mut self, retry_after: Option<Duration>, rng: &mut SmallRng, now: Instant) {
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.failures.min(6));
        self.failures += 1;
        let wait = backoff.min(MAX_BACKOFF).max(retry_after.unwrap_or_default());
        self.next_read = now + wait.mul_f64(rng.random_range(0.5..1.5));
    }
}

impl Dissemination {
    /// Handles the result of [`Action::ReadRoot`].
    pub fn on_platform_root(&mut self, response: PlatformResponse, now: Instant, actions: &mut Vec<Action>) {
        self.platform.read_deadline = None;
        match response {
            PlatformResponse::Failed { retry_after } => {
                self.platform.read_completed = true;
                self.platform.on_failure(retry_after, &mut self.rng, now);
            }
            PlatformResponse::Unchanged => self.note_contact(now),
            PlatformResponse::Value { version, body } => {
                self.note_contact(now);
                self.platform.version = Some(version);
                self.handle_platform_root(body, actions);
            }
        }
        self.run_due(now, actions);
    }

    /// Handles the result of [`Action::ReadPart`]. `body` is `None` if the platform failed or does not have the part.
    pub fn on_platform_part(&mut self, digest: Digest, body: Option<Bytes>, now: Instant, actions: &mut Vec<Action>) {
        let Some(assembly) = self.assembly.as_mut() else { return };
        if assembly.platform_reads.shift_remove(&digest).is_none() {
            return;
        }
        let progress = body.is_some_and(|body| assembly.accept_part(&digest, body));
        if progress {
            assembly.note_progress();
            self.validate_when_complete(actions);
        } else if assembly.platform_reads.is_empty() {
            assembly.retry_at = assembly.retry_at.min(now + INITIAL_BACKOFF);
        }
        self.run_due(now, actions);
    }

    /// Handles the outline of a root received from the platform.
    pub(super) fn on_platform_outline(
        &mut self,
        root: Digest,
        outline: Result<Outline, Box<str>>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some((_, body)) = self.platform.parsing.take() else {
            return;
        };
        let outline = match outline {
            Ok(outline) => outline,
            Err(reason) => return self.reject(root, reason, now, actions),
        };
        let key = DocumentKey {
            revision: outline.revision,
            root,
        };
        self.report_lower(&key, actions);
        // Keeps a higher root that is still pending, but not one that is in effect or rejected: it would block this
        // one.
        let has_higher = self.platform.latest.as_ref();
        let has_higher = has_higher.is_some_and(|latest| latest.key > key && self.is_newer(&latest.key));
        if !has_higher {
            self.platform.latest = Some(PlatformRoot {
                key,
                body,
                parts: outline.parts,
            });
        }
        self.on_announced(key, Source::Platform, now, actions);
        self.run_due(now, actions);
    }

    /// Fetches the content that the current assembly lacks from the platform.
    pub(super) fn fetch_from_platform(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(assembly) = self.assembly.as_mut() else { return };
        if assembly.step == Step::Parts {
            self.read_parts(now, actions);
            return;
        }
        let latest = self.platform.latest.take_if(|latest| latest.key == assembly.key);
        if let Some(latest) = latest {
            assembly.root = Some(latest.body);
            assembly.note_progress();
            self.fetch_parts(latest.parts, now, actions);
            return;
        }
        // The platform has returned another root since, so only peers can have this one.
        assembly.remove_source(&Source::Platform);
        self.fetch_now(now, actions);
    }

    /// Starts a read of the root if it is due and the budget allows it.
    pub(super) fn read_platform(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(until) = self.platform.read_deadline {
            if now < until {
                return;
            }
            self.platform.read_deadline = None;
            self.platform.on_failure(None, &mut self.rng, now);
        }
        if !self.is_read_due(now) {
            return;
        }
        if !self.platform.budget.try_take(now) {
            self.platform.next_read = self.platform.budget.next_token(now);
            return;
        }
        let is_full_read = now >= self.platform.full_read || !self.platform.is_reader;
        if is_full_read {
            self.platform.full_read = now
                + self
                    .rng
                    .random_range(FULL_READ_INTERVAL * 3 / 4..FULL_READ_INTERVAL * 5 / 4);
        }
        let after = self.platform.version.filter(|_| !is_full_read);
        let wait = if after.is_some() { WATCH_TIMEOUT } else { Duration::ZERO };
        self.platform.read_deadline = Some(now + wait + READ_TIMEOUT);
        actions.push(Action::ReadRoot { after, wait });
    }

    /// Reads the missing parts of the current assembly, as far as the budget allows.
    pub(super) fn read_parts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(assembly) = self.assembly.as_mut() else { return };
        assembly.platform_reads.retain(|_, until| now < *until);
        assembly.is_throttled = false;
        let missing: Vec<Digest> = assembly.missing().collect();
        for digest in missing {
            if assembly.platform_reads.contains_key(&digest) {
                continue;
            }
            if !self.platform.budget.try_take(now) {
                assembly.on_budget_exhausted(self.platform.budget.next_token(now), now);
                return;
            }
            assembly.platform_reads.insert(digest, now + READ_TIMEOUT);
            actions.push(Action::ReadPart { digest });
        }
    }

    /// Returns whether a read of the root is due. A process that is not a reader reads the root only while it has no
    /// document or after [`FALLBACK_DELAY`] without contact with the platform.
    fn is_read_due(&mut self, now: Instant) -> bool {
        if now < self.platform.next_read {
            return false;
        }
        if self.platform.is_reader || self.in_effect.is_none() {
            return true;
        }
        let due = self.last_contact + FALLBACK_DELAY;
        if now < due {
            // Many processes may lose contact at the same time; the random delay spreads their reads over the budget.
            self.platform.next_read = due + start_delay(self.platform.fleet_size, &mut self.rng);
            return false;
        }
        true
    }

    fn note_contact(&mut self, now: Instant) {
        self.last_contact = now;
        self.platform.read_completed = true;
        self.platform.failures = 0;
        self.platform.next_read = if self.platform.is_reader {
            now
        } else {
            now + REREAD_INTERVAL
        };
    }

    fn handle_platform_root(&mut self, body: Bytes, actions: &mut Vec<Action>) {
        let root = sha256(&body);
        let is_known = self.key().is_some_and(|key| key.root == root);
        if is_known || self.rejected.contains(&root) || self.platform.lower_root == Some(root) {
            return;
        }
        self.platform.parsing = Some((root, body.clone()));
        actions.push(Action::Parse { root, body });
    }

    fn report_lower(&mut self, key: &DocumentKey, actions: &mut Vec<Action>) {
        let Some(own) = self.key() else { return };
        if *key >= own {
            return;
        }
        self.platform.lower_root = Some(key.root);
        actions.push(Action::Report(Report::LowerRevision {
            received: key.revision,
            in_effect: own.revision,
        }));
    }
}

impl Assembly {
    /// Drops the reads in progress, whose replies may be lost, so that they are repeated.
    pub(super) fn clear_reads(&mut self) {
        self.platform_reads.clear();
    }

    /// Removes a source that does not have the document.
    pub(super) fn remove_source(&mut self, source: &Source) {
        self.sources.retain(|other| other != source);
    }
}
