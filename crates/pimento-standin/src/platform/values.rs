//! Versioned values. Each publication becomes visible to readers at its own time.

use std::time::Instant;

use bytes::Bytes;
use indexmap::IndexMap;

/// Publications kept for each name. Old ones are needed only while a lag or `stale` hides the newer ones.
const MAX_PUBLICATIONS: usize = 64;

/// Publication of a value.
#[derive(Debug, Clone)]
pub(crate) struct Value {
    pub version: u64,
    pub bytes: Bytes,
    visible_at: Instant,
}

/// State of a name as a reader sees it.
#[derive(Debug)]
pub(crate) struct VisibleValue {
    /// Newest visible publication.
    pub value: Option<Value>,
    /// Time at which the next publication becomes visible, if one is known.
    pub next: Option<Instant>,
}

/// Publications of all names.
#[derive(Debug)]
pub(crate) struct ValueStore {
    version: u64,
    stale_since: Option<Instant>,
    publications: IndexMap<Box<str>, Vec<Value>>,
}

impl ValueStore {
    pub fn new() -> Self {
        Self {
            version: 0,
            stale_since: None,
            publications: IndexMap::new(),
        }
    }

    /// Adds a publication that becomes visible at `visible_at`, and returns its version.
    pub fn publish(&mut self, name: &str, bytes: Bytes, visible_at: Instant) -> u64 {
        self.version += 1;
        let version = self.version;
        let publications = self.publications.entry(name.into()).or_default();
        publications.push(Value {
            version,
            bytes,
            visible_at,
        });
        if publications.len() > MAX_PUBLICATIONS {
            publications.remove(0);
        }
        version
    }

    /// Hides publications that become visible after `now`, until a call with `stale` set to `false`.
    pub fn set_stale(&mut self, stale: bool, now: Instant) {
        self.stale_since = stale.then(|| self.stale_since.unwrap_or(now));
    }

    /// Returns the state of a name as a reader sees it at `now`.
    pub fn view(&self, name: &str, now: Instant) -> VisibleValue {
        let Some(publications) = self.publications.get(name) else {
            return VisibleValue {
                value: None,
                next: None,
            };
        };
        let limit = self.stale_since.unwrap_or(now).min(now);
        let value = publications
            .iter()
            .rev()
            .find(|value| value.visible_at <= limit)
            .cloned();
        let next = match self.stale_since {
            Some(_) => None,
            None => publications
                .iter()
                .map(|value| value.visible_at)
                .filter(|visible_at| *visible_at > now)
                .min(),
        };
        VisibleValue { value, next }
    }
}
