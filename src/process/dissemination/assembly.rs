//! Assembly of a document whose content is being fetched.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use indexmap::IndexMap;
use indexmap::IndexSet;
use sha2::Digest as _;
use sha2::Sha256;

use crate::ids::Digest;
use crate::ids::InstanceId;
use crate::process::dissemination::types::Document;
use crate::process::dissemination::types::DocumentKey;

/// Initial timeout for a reply from a peer, after which the next source is tried. It doubles after every second
/// attempt, up to a factor of four.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for the platform, which may be slow. A shorter one would repeat reads that are still in progress.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Attempts without progress before a document is given up if one with a higher key is pending.
const MAX_ATTEMPTS_IF_SUPERSEDED: u32 = 3;

/// Attempts without progress before a document is given up until it is announced again.
const MAX_ATTEMPTS: u32 = 8;

/// Maximum number of sources remembered for a document.
const MAX_SOURCES: usize = 8;

/// Source of the content of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Source {
    Peer(InstanceId),
    Platform,
}

/// Progress of an assembly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// The root is being fetched.
    Root,
    /// The caller is parsing the outline.
    Outline,
    /// Parts are being fetched.
    Parts,
    /// The caller is validating the document.
    Validation,
}

/// A document that is being fetched.
#[derive(Debug)]
pub(super) struct Assembly {
    pub key: DocumentKey,
    pub step: Step,
    pub root: Option<Bytes>,
    /// All parts by digest; `None` for those not yet received.
    pub parts: IndexMap<Digest, Option<Bytes>>,
    pub sources: Vec<Source>,
    pub retry_at: Instant,
    /// Parts requested in the last fetch from a peer.
    pub requested: IndexSet<Digest>,
    /// Reads of parts on the platform that are in progress, with the time at which each is considered lost.
    pub platform_reads: IndexMap<Digest, Instant>,
    /// Whether reads of parts are waiting for the read budget.
    pub is_throttled: bool,
    /// Whether content is fetched in full, because a patch did not apply.
    pub full_only: bool,
    attempts: u32,
    source_index: usize,
}

impl Assembly {
    pub fn new(key: DocumentKey, source: Source, now: Instant) -> Self {
        Self {
            key,
            step: Step::Root,
            root: None,
            parts: IndexMap::new(),
            sources: vec![source],
            retry_at: now,
            requested: IndexSet::new(),
            platform_reads: IndexMap::new(),
            is_throttled: false,
            full_only: false,
            attempts: 0,
            source_index: 0,
        }
    }

    /// Adds a source. If the assembly waits for the read budget, the fetch from a peer starts at once.
    pub fn add_source(&mut self, source: Source, now: Instant) {
        let known = self.sources.iter().position(|other| *other == source);
        if known.is_none() && self.sources.len() >= MAX_SOURCES {
            return;
        }
        if self.is_throttled && source != Source::Platform {
            self.source_index = known.unwrap_or(self.sources.len());
            self.retry_at = now;
            self.is_throttled = false;
        }
        if known.is_none() {
            self.sources.push(source);
        }
    }

    /// Handles a read budget that is exhausted until `token`. Meanwhile, content is fetched from peers if the sources
    /// include any.
    pub fn on_budget_exhausted(&mut self, token: Instant, now: Instant) {
        let has_peers = self.sources.iter().any(|source| *source != Source::Platform);
        self.is_throttled = true;
        self.retry_at = if has_peers { now } else { token };
        if !has_peers {
            self.note_progress();
        }
    }

    /// Returns the next source to fetch from, or `None` if the document should be given up. The limit of attempts is
    /// lower if a document with a higher key is pending.
    pub fn next_source(&mut self, has_higher: bool, now: Instant) -> Option<Source> {
        let limit = if has_higher {
            MAX_ATTEMPTS_IF_SUPERSEDED
        } else {
            MAX_ATTEMPTS
        };
        if self.attempts >= limit {
            return None;
        }
        let source = self
            .sources
            .get(self.source_index % self.sources.len().max(1))
            .cloned()?;
        let wait = match source {
            Source::Peer(_) => PEER_TIMEOUT * 2_u32.pow((self.attempts / 2).min(2)),
            Source::Platform => PLATFORM_TIMEOUT,
        };
        self.retry_at = now + wait;
        self.attempts += 1;
        self.source_index += 1;
        Some(source)
    }

    /// Resets the attempts after a useful reply. The rest is fetched from the same source next.
    pub const fn note_progress(&mut self) {
        self.attempts = 0;
        self.source_index = self.source_index.saturating_sub(1);
    }

    /// Returns the digests of the parts that are not yet received.
    pub fn missing(&self) -> impl Iterator<Item = Digest> {
        let missing = self.parts.iter().filter(|(_, body)| body.is_none());
        missing.map(|(digest, _)| *digest)
    }

    /// Returns the document if its root and all parts are received.
    pub fn document(&self) -> Option<Arc<Document>> {
        let root = self.root.clone()?;
        let mut parts = IndexMap::with_capacity(self.parts.len());
        for (digest, body) in &self.parts {
            parts.insert(*digest, body.clone()?);
        }
        Some(Arc::new(Document {
            key: self.key,
            root,
            parts,
        }))
    }
}

/// Returns the SHA-256 of `bytes`.
pub(super) fn sha256(bytes: &[u8]) -> Digest {
    Sha256::digest(bytes).into()
}
