//! Keeps the configuration and the backend servers of this instance in sync with the platform.
//!
//! The adapter of a platform implements [`PlatformClient`]. [`run`] reads everything once and then waits for changes
//! from the position it reached, so that no change is missed. During a platform outage, the instance continues with
//! the last known state. When the platform returns from a copy of its state, everything is read again. See "Reading the
//! platform" in `docs/design/platform.md`.
//!
//! Usually one instance of each data centre, the reader, reads the platform, and the others, its followers, read the
//! changes from it. A follower that cannot use its reader reads the platform itself. A reader uses shorter waits and
//! pauses ([`Freshness::reader_wait_max`]), because each follower gets changes only after it.

mod history;

use std::fmt;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use indexmap::IndexSet;
use rand::Rng;
use rand::rngs::SmallRng;
use slog::info;
use slog::warn;

pub use self::history::History;

use crate::ids::Revision;
use crate::ids::SearcherId;
use crate::process::backends::BackendEntry;
use crate::process::gateway::Gateway;
use crate::version::routing::Routing;

/// Part of [`Freshness::settle_time`] that is reserved for a response and the first pause after a failure.
const RESPONSE_RESERVE: Duration = Duration::from_millis(1500);

/// Wait of a read that should return immediately.
pub(crate) const MIN_WAIT: Duration = Duration::from_millis(1);

/// Lag behind the platform above which it is logged.
const LAG_LOG_THRESHOLD: Duration = Duration::from_secs(1);

/// Minimum time that a read waits for changes. Shorter waits would put too many reads on the platform.
const WAIT_MIN: Duration = Duration::from_millis(500);

/// Maximum time that a read waits for changes, so that a silently dead connection is noticed.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Time beyond its wait after which a response means that the platform was unavailable during the read. Shorter delays
/// are attributed to a platform that is briefly slow.
const OVERDUE_MARGIN: Duration = Duration::from_millis(300);

/// Pause after a read that returned changes, as a share of [`Freshness::effect_time`].
const CHANGE_PAUSE_SHARE: f64 = 1.0 / 3.0;

/// Maximum pause after a read that returned changes, so that new servers are used soon.
const CHANGE_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Upper bound on a wait or pause of an instance with followers, as a share of [`Freshness::effect_time`].
const READER_WAIT_SHARE: f64 = 1.0 / 6.0;

/// Upper bound on a wait or pause of an instance with followers, whatever the share is. With a longer one, followers
/// would notice late that their reader is cut off.
const READER_WAIT_MAX: Duration = Duration::from_secs(1);

/// Pause after the first failed read. It doubles with each further failure.
pub const BACKOFF_FIRST: Duration = Duration::from_millis(100);

/// Maximum pause after failed reads. The return of the platform must be noticed within the time in which a change has
/// to be in effect.
const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// Time limits that the platform sets for applying changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// Time after a platform outage within which every change has to be in effect and the platform counts as stable.
    pub settle_time: Duration,
    /// Time within which a change has to be in effect while the platform is stable.
    pub effect_time: Duration,
}

impl Freshness {
    /// Returns how long a read waits for changes. It is short enough that a lost read is noticed before the platform
    /// counts as stable again.
    #[must_use]
    pub fn read_wait(self) -> Duration {
        self.settle_time
            .saturating_sub(RESPONSE_RESERVE)
            .clamp(WAIT_MIN, WAIT_MAX)
    }

    /// Returns the pause after a read that returned changes. Changes come in series, for example when servers join or
    /// report that they are warming up, and each read has a cost.
    #[must_use]
    pub fn change_pause(self) -> Duration {
        self.effect_time.mul_f64(CHANGE_PAUSE_SHARE).min(CHANGE_PAUSE_MAX)
    }

    /// Returns the maximum wait, and the maximum pause, of an instance with followers. If that instance is cut off,
    /// one wait, one pause and one reply timeout pass before a follower reads the platform itself.
    #[must_use]
    pub fn reader_wait_max(self) -> Duration {
        self.effect_time.mul_f64(READER_WAIT_SHARE).min(READER_WAIT_MAX)
    }

    /// Returns how long a read that begins at `now`, after a pause of `paused`, waits for changes. Pause and wait
    /// together are bounded, because a platform that was restored during the pause may show its new era only at the end
    /// of the wait. The wait ends no later than `grace_until`, the end of the grace period for lapsed entries, so that
    /// the next read shows without delay which of them the servers have renewed.
    #[must_use]
    pub fn wait(self, grace_until: Option<Instant>, paused: Duration, now: Instant) -> Duration {
        let wait = self.read_wait().saturating_sub(paused).max(MIN_WAIT);
        let until = |grace_until: Instant| grace_until.saturating_duration_since(now).max(MIN_WAIT);
        grace_until.map_or(wait, |grace_until| wait.min(until(grace_until)))
    }

    /// Returns the pause after a read. There is none after a response with only part of the changes: responses have a
    /// bounded size, so an instance that paused after each would fall behind when changes come faster.
    #[must_use]
    pub fn pause(self, outcome: ReadOutcome, grace_until: Option<Instant>, now: Instant) -> Duration {
        if outcome != ReadOutcome::Changed {
            return Duration::ZERO;
        }
        let until = |grace_until: Instant| grace_until.saturating_duration_since(now);
        grace_until.map_or(self.change_pause(), |grace_until| {
            self.change_pause().min(until(grace_until))
        })
    }
}

/// Number of the platform's history. It rises when the platform returns from a copy of its state, which begins a new
/// history after the copy. 0 if the platform does not number them.
pub type Era = u64;

/// Position in the platform's sequence of changes. The platform gives revisions out again in a later era, so a revision
/// identifies a change only together with its era. A position of a later era is greater whatever its revision is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Era in which the revision was given out.
    pub era: Era,
    /// Revision of the last change.
    pub revision: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}

impl slog::Value for Position {
    fn serialize(
        &self,
        _record: &slog::Record<'_>,
        key: slog::Key,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        serializer.emit_arguments(key, &format_args!("{self}"))
    }
}

/// A decoded value of the platform.
#[derive(Debug)]
pub enum Item {
    /// The configuration.
    Routing(Box<Routing>),
    /// The entry of a backend server.
    Server(BackendEntry),
    /// The entry of a backend server was removed.
    ServerMissing(SearcherId),
    /// A value that cannot be decoded. It defines neither a server nor a configuration.
    Unreadable {
        /// Key of the value on the platform.
        key: Box<str>,
        /// Name of the backend server if the key belongs to one.
        server: Option<SearcherId>,
        /// Reason of the failure.
        reason: Box<str>,
    },
}

/// A value of the platform as read, before decoding. Instances forward values to each other in this form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Key of the value on the platform.
    pub key: Box<str>,
    /// The value, or `None` if it was removed.
    pub value: Option<Bytes>,
}

/// Result of a read: values, and the position to continue from.
#[derive(Debug)]
pub struct Changes {
    /// The values.
    pub changes: Vec<Change>,
    /// Position after these values.
    pub position: Position,
    /// Whether the platform had no further changes when it responded.
    pub is_complete: bool,
    /// Where the values were read.
    pub origin: Origin,
}

/// Source of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The platform itself.
    Platform,
    /// Another instance that reads the platform.
    Instance {
        /// Time since the start of that instance's last read that was complete.
        age: Duration,
    },
}

impl Changes {
    /// Returns the changes if they continue from `position`.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Restored`] if they belong to another era. Its changes up to the revision of `position` were
    /// never read.
    pub fn continuing(self, position: Position) -> Result<Self, ReadError> {
        if self.position.era == position.era {
            Ok(self)
        } else {
            Err(ReadError::Restored)
        }
    }

    /// Returns the outcome of the read.
    #[must_use]
    pub fn outcome(&self) -> ReadOutcome {
        match (self.is_complete, self.changes.is_empty()) {
            (false, _) => ReadOutcome::MoreAvailable,
            (true, false) => ReadOutcome::Changed,
            (true, true) => ReadOutcome::Unchanged,
        }
    }
}

/// Outcome of a read, which determines the pause before the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The platform has more changes already.
    MoreAvailable,
    /// There were changes, and all of them have been read.
    Changed,
    /// There were no changes.
    Unchanged,
}

/// Scope of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadScope {
    /// All values of the platform.
    Full,
    /// The changes since the previous read.
    Incremental,
}

/// Decodes a value. Returns `None` if the key belongs to something else.
pub type Decoder = fn(&Change) -> Option<Item>;

/// Error of a platform read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The platform cannot be reached, closed the connection or did not respond in time.
    #[error("platform unreachable: {0}")]
    Unreachable(Box<str>),
    /// The platform refused the read with this status.
    #[error("platform refused the read with status {0}")]
    Refused(u16),
    /// The platform no longer has the changes after the position, so everything has to be read again.
    #[error("changes after the requested position are no longer available")]
    Compacted,
    /// The platform has returned from a copy, so it does not have the history to which the position belongs.
    #[error("the platform has returned from a copy of its state")]
    Restored,
    /// The response violates the platform's protocol.
    #[error("malformed response from the platform: {0}")]
    Malformed(Box<str>),
}

/// Read access to the platform.
pub trait PlatformClient: Send {
    /// Reads all current values.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be read.
    fn read_all(&mut self) -> impl Future<Output = Result<Changes, ReadError>> + Send;

    /// Waits up to `wait` for changes after `position`.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Compacted`] or [`ReadError::Restored`] if the platform does not have the changes, and
    /// another error if it cannot be read.
    fn read_changes(
        &mut self,
        position: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, ReadError>> + Send;
}

/// Tracks how long an instance has been reading changes without reaching the newest one.
#[derive(Debug, Default)]
struct Lag {
    since: Option<Instant>,
    is_logged: bool,
}

impl Lag {
    /// Records a read that began at `started`.
    fn on_read(&mut self, gateway: &Gateway, read: &Changes, started: Instant) {
        if read.is_complete {
            if self.is_logged {
                info!(gateway.log, "platform_caught_up"; "position" => read.position);
            }
            *self = Self::default();
        } else {
            let lag = self.since.get_or_insert(started).elapsed();
            if lag > LAG_LOG_THRESHOLD && !self.is_logged {
                self.is_logged = true;
                warn!(gateway.log, "platform_behind"; "position" => read.position, "ms" => lag.as_millis() as u64);
            }
        }
        let lag = self.since.map_or(Duration::ZERO, |since| since.elapsed());
        gateway.metrics.platform_lag.set(lag.as_secs_f64());
    }
}

/// Applies changes of the platform to `gateway` until the process ends.
pub async fn run(mut client: impl PlatformClient, gateway: Arc<Gateway>, mut rng: SmallRng) {
    let freshness = gateway.settings.freshness;
    let mut failures = 0_u32;
    let mut needs_full_read = false;
    let mut paused = Duration::ZERO;
    let mut lag = Lag::default();
    loop {
        // Another instance may have advanced the position while this one could not read the platform.
        let position = gateway.position().filter(|_| !needs_full_read);
        let started = Instant::now();
        let wait = if gateway.is_platform_unreachable() || gateway.needs_platform_check() {
            // Returns without waiting for a change, because the read only checks whether the platform is reachable.
            MIN_WAIT
        } else {
            gateway.bound_for_followers(freshness.wait(gateway.grace_until(), paused, started))
        };
        paused = Duration::ZERO;
        let (scope, read) = match position {
            None => (ReadScope::Full, client.read_all().await),
            Some(position) => {
                let read = tokio::select! {
                    biased;
                    read = client.read_changes(position, wait) => read,
                    () = gateway.read_request.notified() => continue,
                };
                let read = read.and_then(|read| read.continuing(position));
                (ReadScope::Incremental, read)
            }
        };
        match read {
            Ok(read) => {
                if failures > 0 {
                    info!(gateway.log, "platform_regained"; "failures" => failures);
                }
                failures = 0;
                lag.on_read(&gateway, &read, started);
                let (outcome, origin) = (read.outcome(), read.origin);
                if scope == ReadScope::Incremental
                    && origin == Origin::Platform
                    && started.elapsed() > wait + OVERDUE_MARGIN
                {
                    gateway.on_platform_overdue(started.elapsed());
                }
                needs_full_read = gateway.on_platform_read(read, scope, started) == ReadScope::Full;
                // Reads from another instance are free, and that instance has paused already.
                if origin == Origin::Platform {
                    let pause = freshness.pause(outcome, gateway.grace_until(), Instant::now());
                    paused = gateway.bound_for_followers(pause);
                    tokio::time::sleep(paused).await;
                }
            }
            Err(ReadError::Restored) if scope == ReadScope::Incremental => {
                info!(gateway.log, "platform_restored"; "position" => position);
                needs_full_read = true;
            }
            Err(ReadError::Compacted) => {
                info!(gateway.log, "platform_changes_forgotten"; "position" => position);
                needs_full_read = true;
            }
            Err(error) => {
                if failures == 0 {
                    warn!(gateway.log, "platform_lost"; "error" => %error, "position" => position);
                }
                gateway.on_platform_lost();
                let pause = BACKOFF_FIRST.saturating_mul(1 << failures.min(8)).min(BACKOFF_MAX);
                failures += 1;
                tokio::time::sleep(pause.mul_f64(rng.random_range(0.5..1.0))).await;
            }
        }
    }
}

/// Returns the servers in `known` that are missing in `items`, the result of a full read.
#[must_use]
pub fn missing_servers<'a>(
    known: impl Iterator<Item = &'a SearcherId>,
    items: impl Iterator<Item = &'a Item>,
) -> Vec<SearcherId> {
    let listed: IndexSet<&SearcherId> = items
        .filter_map(|item| match item {
            Item::Server(entry) => Some(&entry.id),
            _ => None,
        })
        .collect();
    known.filter(|id| !listed.contains(id)).cloned().collect()
}

/// Returns whether a configuration with revision `next` and another content replaces the one in effect, which has
/// revision `current`.
#[must_use]
pub fn replaces_revision(next: Revision, current: Option<Revision>) -> bool {
    current.is_none_or(|current| next >= current)
}
