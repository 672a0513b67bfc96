//! Gossip between peers: digests, fetches and replies with parts. A digest names the document of its sender by its key,
//! that is, its revision and root digest. Documents are compared by key: a higher document has a higher revision, or
//! the same revision and a higher root digest.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::Rng;

use crate::ids::Digest;
use crate::ids::InstanceId;
use crate::process::dissemination::assembly::Assembly;
use crate::process::dissemination::assembly::Source;
use crate::process::dissemination::assembly::Step;
use crate::process::dissemination::assembly::sha256;
use crate::process::dissemination::patch;
use crate::process::dissemination::serve::MAX_FETCHED_PARTS;
use crate::process::dissemination::state::Dissemination;
use crate::process::dissemination::state::GOSSIP_INTERVAL;
use crate::process::dissemination::state::PUSH_FANOUT;
use crate::process::dissemination::state::PUSH_INTERVAL;
use crate::process::dissemination::types::Action;
use crate::process::dissemination::types::DocumentKey;
use crate::wire::proto;
use crate::wire::proto::Fetch;
use crate::wire::proto::Parts;
use crate::wire::proto::Patch;
use crate::wire::proto::frame::Body;

/// Number of periodic digests of which one is sent to another data centre. The others go to the local one.
const REMOTE_DIGEST_PERIOD: u64 = 4;

impl Assembly {
    pub(super) const fn is_fetching(&self) -> bool {
        matches!(self.step, Step::Root | Step::Parts)
    }
}

impl Dissemination {
    /// Handles the digest of a peer. Starts a fetch if the peer has a document with a higher key. Replies with the
    /// local digest if the peer asks for it, or has no document or one with a lower key.
    pub fn on_digest(&mut self, from: &str, message: &proto::Digest, now: Instant, actions: &mut Vec<Action>) {
        let age = Duration::from_micros(message.age_us);
        let last_contact = now.checked_sub(age).unwrap_or(self.last_contact);
        if message.revision > 0 {
            self.last_contact = self.last_contact.max(last_contact);
        }
        let key = parse_key(message.revision, &message.root);
        if let Some(key) = key {
            self.on_announced(key, Source::Peer(from.into()), now, actions);
        }
        let has_less = self.key().is_some_and(|own| key.is_none_or(|key| key < own));
        if message.ask != 0 || has_less {
            let reply = self.digest_message(0, message.ask, now);
            send(from.into(), reply, actions);
        }
        self.note_reply(message.answer);
        self.check_current(now, actions);
    }

    /// Handles the reply to a fetch. Content that does not match its digest is discarded; if it came from a patch, the
    /// content is fetched again without patches.
    pub fn on_parts(&mut self, from: &str, message: &Parts, now: Instant, actions: &mut Vec<Action>) {
        let key = parse_key(message.revision, &message.root);
        let Some(assembly) = self.assembly.as_mut() else { return };
        if key != Some(assembly.key) {
            return;
        }
        assembly.add_source(Source::Peer(from.into()), now);
        match assembly.step {
            Step::Root => self.handle_root_reply(message, now, actions),
            Step::Parts => self.handle_parts_reply(message, now, actions),
            Step::Outline | Step::Validation => {}
        }
    }

    /// Handles a `Parts` message that replies to the fetch of a root. It carries the root, in full or as a patch.
    fn handle_root_reply(&mut self, message: &Parts, now: Instant, actions: &mut Vec<Action>) {
        let body = self.resolve_content(&message.root_body, message.root_patch.as_ref());
        let Some(assembly) = self.assembly.as_mut() else { return };
        let body = body.filter(|body| sha256(body) == assembly.key.root);
        match body {
            Some(body) => self.accept_root(body, actions),
            None if message.root_patch.is_some() => self.fetch_full(now, actions),
            None => {}
        }
    }

    /// Handles a `Parts` message that replies to the fetch of parts. It may carry only some of them.
    fn handle_parts_reply(&mut self, message: &Parts, now: Instant, actions: &mut Vec<Action>) {
        let mut progress = false;
        let mut patch_failed = false;
        for part in &message.parts {
            let body = self.resolve_content(&part.body, part.patch.as_ref());
            let Some(assembly) = self.assembly.as_mut() else { return };
            let accepted = body.is_some_and(|body| assembly.accept_part(&part.digest, body));
            progress |= accepted;
            patch_failed |= !accepted && part.patch.is_some() && assembly.is_missing(&part.digest);
        }
        let Some(assembly) = self.assembly.as_mut() else { return };
        if patch_failed {
            self.fetch_full(now, actions);
            return;
        }
        if !progress {
            return;
        }
        assembly.note_progress();
        let parts = &assembly.parts;
        assembly
            .requested
            .retain(|digest| parts.get(digest).is_some_and(Option::is_none));
        let answered = assembly.requested.is_empty();
        if !self.validate_when_complete(actions) && answered {
            self.fetch_now(now, actions);
        }
    }

    /// Returns the content of a message, which carries it either in full or as a patch. Returns `None` if the base of
    /// the patch is unknown or the patch does not apply.
    fn resolve_content(&self, body: &Bytes, patch: Option<&Patch>) -> Option<Bytes> {
        let Some(patch) = patch else {
            return Some(body.clone());
        };
        let base = Digest::try_from(&patch.base[..]).ok()?;
        let document = self.find_document(&base).map(|document| document.root.clone());
        let base = document.or_else(|| self.find_part(&base))?;
        patch::apply(&base, patch)
    }

    /// Fetches again without patches, unless the assembly does so already.
    fn fetch_full(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(assembly) = self.assembly.as_mut()
            && !assembly.full_only
        {
            assembly.full_only = true;
            self.fetch_now(now, actions);
        }
    }

    /// Sends the digest to one random peer when the gossip interval is over.
    pub(super) fn gossip(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.next_gossip {
            return;
        }
        self.next_gossip = now + self.rng.random_range(GOSSIP_INTERVAL * 3 / 4..GOSSIP_INTERVAL * 5 / 4);
        self.gossip_count += 1;
        let is_remote = self.gossip_count.is_multiple_of(REMOTE_DIGEST_PERIOD) || self.local_peers.is_empty();
        let peer = if is_remote {
            self.remote_peer()
        } else {
            self.local_peer()
        };
        let Some(to) = peer else { return };
        let digest = self.digest_message(0, 0, now);
        send(to, digest, actions);
    }

    /// Pushes the digest of a new document to a few random peers, in several rounds.
    pub(super) fn push_digest(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.next_push.is_none_or(|at| now < at) {
            return;
        }
        for to in self.choose_digest_peers(PUSH_FANOUT) {
            let digest = self.digest_message(0, 0, now);
            send(to, digest, actions);
        }
        self.rounds_left = self.rounds_left.saturating_sub(1);
        let delay = self.rng.random_range(PUSH_INTERVAL * 3 / 4..PUSH_INTERVAL * 5 / 4);
        self.next_push = (self.rounds_left > 0).then_some(now + delay);
    }

    /// Returns up to `count` distinct random peers for a digest. The first comes from another data centre in one call
    /// of four, and the others from the local one; all come from other data centres if there is no local peer.
    /// Membership chooses the peers for its signals by another rule.
    pub(super) fn choose_digest_peers(&mut self, count: usize) -> Vec<InstanceId> {
        let mut chosen = Vec::new();
        for nth in 0..count {
            let is_remote = self.local_peers.is_empty() || (nth == 0 && self.rng.random_ratio(1, 4));
            let peer = if is_remote {
                self.remote_peer()
            } else {
                self.local_peer()
            };
            if let Some(peer) = peer
                && !chosen.contains(&peer)
            {
                chosen.push(peer);
            }
        }
        chosen
    }

    pub(super) fn digest_message(&self, ask: u64, answer: u64, now: Instant) -> Body {
        let key = self.key();
        let age = self.platform_age(now);
        Body::Digest(proto::Digest {
            revision: key.map_or(0, |key| key.revision),
            root: key.map_or_else(Bytes::new, |key| Bytes::copy_from_slice(&key.root)),
            age_us: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
            ask,
            answer,
        })
    }

    /// Fetches from the next source if the last one did not reply in time.
    pub(super) fn retry(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due = self
            .assembly
            .as_ref()
            .is_some_and(|assembly| assembly.is_fetching() && now >= assembly.retry_at);
        if due {
            self.fetch_now(now, actions);
        }
    }

    /// Fetches from the next source, or gives up the assembly if there is none.
    pub(super) fn fetch_now(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(assembly) = self.assembly.as_mut() else { return };
        match assembly.next_source(self.pending.is_some(), now) {
            None => self.abandon(now, actions),
            Some(Source::Platform) => self.fetch_from_platform(now, actions),
            Some(Source::Peer(to)) => {
                let base = self.in_effect.as_ref().filter(|_| !assembly.full_only);
                let fetch = assembly.fetch_request(base.map(|document| &document.key.root));
                send(to, Body::Fetch(fetch), actions);
            }
        }
    }
}

impl Assembly {
    fn fetch_request(&mut self, base: Option<&Digest>) -> Fetch {
        let wanted: Vec<Digest> = self.missing().take(MAX_FETCHED_PARTS).collect();
        let parts = wanted.iter().map(|digest| Bytes::copy_from_slice(digest));
        let parts = parts.collect();
        self.requested = wanted.into_iter().collect();
        Fetch {
            revision: self.key.revision,
            root: Bytes::copy_from_slice(&self.key.root),
            parts,
            base: base.map_or_else(Bytes::new, |base| Bytes::copy_from_slice(base)),
        }
    }

    fn is_missing(&self, digest: &[u8]) -> bool {
        self.parts.get(digest).is_some_and(Option::is_none)
    }

    /// Stores a part if it is missing and matches its digest. Returns whether it was stored.
    pub(super) fn accept_part(&mut self, digest: &[u8], body: Bytes) -> bool {
        let Ok(digest) = Digest::try_from(digest) else {
            return false;
        };
        match self.parts.get_mut(&digest) {
            Some(slot) if slot.is_none() && sha256(&body) == digest => {
                *slot = Some(body);
                true
            }
            _ => false,
        }
    }
}

pub(super) fn send(to: InstanceId, body: Body, actions: &mut Vec<Action>) {
    actions.push(Action::Send { to, body });
}

pub(super) fn parse_key(revision: u64, root: &[u8]) -> Option<DocumentKey> {
    let root = Digest::try_from(root).ok()?;
    (revision > 0).then_some(DocumentKey { revision, root })
}
