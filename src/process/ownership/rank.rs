//! Rendezvous hashing. All processes must compute the same ranks, so the hash must not change without a change of the
//! protocol version.

use std::cmp::Reverse;

use crate::version::digest;

/// Key for the election of the readers of the configuration.
pub const CONFIG_READER: &str = "config-reader";

/// Hash of a name: the first 8 bytes of its SHA-256. Callers compute it once for each name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NameHash(pub u64);

impl NameHash {
    /// Hashes `name`.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(digest::leading_number(&digest::sha256(name.as_bytes())))
    }
}

/// Returns the score of a member for a key. The member with the greatest score has rank 0.
#[must_use]
pub const fn score(key: NameHash, member: NameHash) -> u64 {
    mix(key.0 ^ mix(member.0))
}

/// SplitMix64 finalizer. Every input bit affects all output bits.
#[must_use]
pub const fn mix(value: u64) -> u64 {
    let z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns the `count` best-ranked names for `key`, best first. Equal scores are ordered by name.
#[must_use]
pub fn top_ranked<'a>(key: &str, names: impl Iterator<Item = &'a str>, count: usize) -> Vec<&'a str> {
    let key = NameHash::of(key);
    let mut scored: Vec<(Reverse<u64>, &str)> = names
        .map(|name| (Reverse(score(key, NameHash::of(name))), name))
        .collect();
    scored.sort_unstable();
    scored.into_iter().take(count).map(|(_, name)| name).collect()
}
