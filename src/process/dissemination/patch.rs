//! Binary patches: copies of ranges of a base, with inserted bytes in between.
//!
//! Most changes touch one searcher of one part, and the root then differs only in its revision and one digest. With
//! patches, the traffic of such a change does not depend on the size of the document.

use std::collections::HashMap;

use bytes::Bytes;

use crate::wire::proto::Patch;
use crate::wire::proto::Span;

/// Size of the blocks used to find common content. Smaller blocks find more of it and need more memory.
const BLOCK_BYTES: usize = 16;

/// Largest content that a patch may produce: the size limit of a value on the platform.
const MAX_CONTENT_BYTES: usize = 1024 * 1024;

/// Approximate size of an encoded span without its inserted bytes.
const SPAN_COST_BYTES: usize = 12;

/// Returns a patch from `base` to `target`, or `None` if it would save less than half of the size of `target`.
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

/// Applies `patch` to `base`. Returns `None` if a span lies outside the base or the result exceeds the size limit of a
/// value on the platform.
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
