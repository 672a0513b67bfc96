//! Differences between two contents, as copies from the older one and new bytes.
//!
//! Most changes touch one searcher of one part, and the root then differs in its revision and one digest. A patch makes
//! the traffic of a change independent of the size of the document.

use std::collections::HashMap;

use bytes::Bytes;

use crate::wire::proto::Patch;
use crate::wire::proto::Span;

/// Bytes of a block by which common content is found. A shorter one finds more and costs more memory.
const BLOCK_BYTES: usize = 16;

/// Greatest size of content made from a patch, in bytes: that of a value on the platform.
const MAX_CONTENT_BYTES: usize = 1024 * 1024;

/// Bytes that a span costs on the wire, roughly.
const SPAN_COST_BYTES: usize = 12;

/// Describes `target` by `base`, or returns `None` when that saves less than half.
#[must_use]
pub fn diff(base_digest: &[u8], base: &[u8], target: &[u8]) -> Option<Patch> {
    let blocks: HashMap<&[u8], usize> = base
        .chunks_exact(BLOCK_BYTES)
        .enumerate()
        .map(|(ix, block)| (block, ix * BLOCK_BYTES))
        .collect();
    let mut spans = vec![Span::default()];
    let mut position = 0;
    let mut literal = 0;
    while position + BLOCK_BYTES <= target.len() {
        let Some(&offset) = blocks.get(&target[position..position + BLOCK_BYTES]) else {
            position += 1;
            continue;
        };
        let back = common_suffix(&base[..offset], &target[literal..position]);
        let forward = common_prefix(&base[offset..], &target[position..]);
        push_insert(&mut spans, &target[literal..position - back]);
        spans.push(Span {
            offset: u32::try_from(offset - back).ok()?,
            length: u32::try_from(back + forward).ok()?,
            insert: Bytes::new(),
        });
        position += forward;
        literal = position;
    }
    push_insert(&mut spans, &target[literal..]);
    let cost: usize = spans.iter().map(|span| span.insert.len() + SPAN_COST_BYTES).sum();
    let base = Bytes::copy_from_slice(base_digest);
    (cost * 2 < target.len()).then_some(Patch { base, spans })
}

/// Makes the content that `patch` describes, or returns `None` when the patch does not fit the base or is too large.
#[must_use]
pub fn apply(base: &[u8], patch: &Patch) -> Option<Bytes> {
    let mut content = Vec::new();
    for span in &patch.spans {
        let start = span.offset as usize;
        let end = start.checked_add(span.length as usize)?;
        content.extend_from_slice(base.get(start..end)?);
        content.extend_from_slice(&span.insert);
        if content.len() > MAX_CONTENT_BYTES {
            return None;
        }
    }
    Some(content.into())
}

fn push_insert(spans: &mut [Span], bytes: &[u8]) {
    if let Some(last) = spans.last_mut() {
        last.insert = Bytes::copy_from_slice(bytes);
    }
}

fn common_prefix(a: &[u8], b: &[u8]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}

fn common_suffix(a: &[u8], b: &[u8]) -> usize {
    a.iter().rev().zip(b.iter().rev()).take_while(|(a, b)| a == b).count()
}
