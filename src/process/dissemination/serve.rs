//! Replies to peers that fetch content.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use indexmap::IndexMap;

use crate::ids::Digest;
use crate::process::dissemination::exchange::parse_key;
use crate::process::dissemination::exchange::send;
use crate::process::dissemination::patch;
use crate::process::dissemination::state::Dissemination;
use crate::process::dissemination::types::Action;
use crate::process::dissemination::types::Document;
use crate::wire::proto::Fetch;
use crate::wire::proto::PartBody;
use crate::wire::proto::Parts;
use crate::wire::proto::Patch;
use crate::wire::proto::frame::Body;

/// Maximum number of parts in one fetch. The reply is split into several frames if they are large.
pub(super) const MAX_FETCHED_PARTS: usize = 64;

/// Target size of the content of one frame, in bytes. With one more part of 1 MB, a frame is still within the limit of
/// 4 MiB.
const FRAME_CONTENT_BYTES: usize = 2 * 1024 * 1024;

/// Maximum number of cached patches. Peers that fetch the same change share them.
const MAX_PATCHES: usize = 64;

/// Cached patches by the digests of base and target; `None` if the patch would save too little.
pub(super) type Patches = IndexMap<(Digest, Digest), Option<Patch>>;

impl Dissemination {
    /// Replies to a fetch. If the requested document is no longer kept, the reply is the local digest instead.
    pub fn on_fetch(&mut self, from: &str, message: &Fetch, now: Instant, actions: &mut Vec<Action>) {
        let Some(key) = parse_key(message.revision, &message.root) else {
            return;
        };
        let Some(document) = self.find_document(&key.root) else {
            if self.in_effect.is_some() {
                let digest = self.digest_message(0, 0, now);
                send(from.into(), digest, actions);
            }
            return;
        };
        let base = Digest::try_from(&message.base[..]).ok();
        let base = base.and_then(|root| self.find_document(&root));
        if message.parts.is_empty() {
            let parts = self.root_message(&document, base.as_deref());
            send(from.into(), Body::Parts(parts), actions);
            return;
        }
        for parts in self.collect_parts(&document, base.as_deref(), &message.parts) {
            let message = Parts {
                parts,
                ..header(&document)
            };
            send(from.into(), Body::Parts(message), actions);
        }
    }

    /// Returns the document with this root if it is in effect or among the earlier ones.
    pub(super) fn find_document(&self, root: &Digest) -> Option<Arc<Document>> {
        let mut documents = self.in_effect.iter().chain(&self.previous);
        documents.find(|document| document.key.root == *root).cloned()
    }

    /// Builds the reply with the root, as a patch to the root of `base` if that saves enough.
    fn root_message(&mut self, document: &Arc<Document>, base: Option<&Document>) -> Parts {
        let patch = base.and_then(|base| {
            let old = (base.key.root, &*base.root);
            let new = (document.key.root, &*document.root);
            self.cached_patch(old, new)
        });
        let root_body = if patch.is_some() {
            Bytes::new()
        } else {
            document.root.clone()
        };
        Parts {
            root_body,
            root_patch: patch,
            ..header(document)
        }
    }

    /// Collects the requested parts and splits them into frames.
    fn collect_parts(&mut self, document: &Document, base: Option<&Document>, wanted: &[Bytes]) -> Vec<Vec<PartBody>> {
        let mut frames = Vec::new();
        let mut frame = Vec::new();
        let mut size = 0;
        for digest in wanted.iter().take(MAX_FETCHED_PARTS) {
            let Some(part) = self.part_message(document, base, digest) else {
                continue;
            };
            if size > 0 && size + part.body.len() > FRAME_CONTENT_BYTES {
                frames.push(std::mem::take(&mut frame));
                size = 0;
            }
            size += part.body.len();
            frame.push(part);
        }
        frames.push(frame);
        frames
    }

    fn part_message(&mut self, document: &Document, base: Option<&Document>, digest: &Bytes) -> Option<PartBody> {
        let (at, key, body) = document.parts.get_full(&digest[..])?;
        // A changed part keeps its position in the list, so the part at the same position is the best base.
        let base = base.and_then(|base| base.parts.get_index(at));
        let patch = base.and_then(|(old, bytes)| self.cached_patch((*old, &**bytes), (*key, &**body)));
        let body = if patch.is_some() { Bytes::new() } else { body.clone() };
        Some(PartBody {
            digest: digest.clone(),
            body,
            patch,
        })
    }

    /// Returns the patch from `old` to `new`, each given as digest and content, or `None` if it would save too little.
    fn cached_patch(&mut self, old: (Digest, &[u8]), new: (Digest, &[u8])) -> Option<Patch> {
        let key = (old.0, new.0);
        if let Some(patch) = self.patches.get(&key) {
            return patch.clone();
        }
        if self.patches.len() >= MAX_PATCHES {
            self.patches.shift_remove_index(0);
        }
        let patch = patch::diff(&old.0, old.1, new.1);
        self.patches.insert(key, patch.clone());
        patch
    }
}

fn header(document: &Document) -> Parts {
    Parts {
        revision: document.key.revision,
        root: Bytes::copy_from_slice(&document.key.root),
        ..Parts::default()
    }
}
