//! Values with versions, of which readers see those that are visible by now.

use std::time::Instant;

use bytes::Bytes;
use indexmap::IndexMap;

/// Publications of one name that are kept. Older ones are only needed while a lag hides the newer ones.
const MAX_PUBLICATIONS: usize = 64;

/// One publication.
#[derive(Debug, Clone)]
pub(crate) struct Value {
    pub version: u64,
    pub bytes: Bytes,
    visible_at: Instant,
}

/// What a reader sees of a name.
#[derive(Debug)]
pub(crate) struct VisibleValue {
    /// Newest publication that is visible.
    pub value: Option<Value>,
    /// Time at which the next publication becomes visible.
    pub next: Option<Instant>,
}

/// All values.
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

    /// Adds a publication that readers see from `visible` on, and returns its version.
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

    /// Hides everything that becomes visible from `now` on, until it is called with `false`.
    pub fn set_stale(&mut self, stale: bool, now: Instant) {
        self.stale_since = stale.then(|| self.stale_since.unwrap_or(now));
    }

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
