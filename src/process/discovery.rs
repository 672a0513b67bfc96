//! Keeps the configuration and the list of backend servers of this instance up to date from the platform.
//!
//! [`PlatformClient`] is the edge of the process: the adapter of a platform implements it. [`run`] reads everything once and
//! then waits for changes from where it stopped, so that nothing is missed. When the platform fails, the instance goes on
//! with what it knows. See "Reading the platform" in `docs/design/platform.md`.

mod history;

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

/// Time for an answer and a first pause after a failure, kept free within the time after which the platform counts as
/// stable.
const RESPONSE_RESERVE: Duration = Duration::from_millis(1500);

/// Least wait that is asked for when the time to wait for is over.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Time behind the platform from which it is logged.
const LAG_LOG_THRESHOLD: Duration = Duration::from_secs(1);

/// Least time for which a read waits for changes. Less would cost more reads than the platform should serve.
const WAIT_MIN: Duration = Duration::from_millis(500);

/// Longest time for which a read waits for changes, so that a connection that died without a word is noticed.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Time beyond its wait after which an answer shows that the platform was away while the read waited. It leaves room for a
/// platform that is only slow for a moment.
const OVERDUE_MARGIN: Duration = Duration::from_millis(300);

/// Share of the time in which a change has to be in effect that may pass before it is read.
const CHANGE_PAUSE_SHARE: f64 = 1.0 / 3.0;

/// Longest pause between a change and the next read, so that servers that join are used soon.
const CHANGE_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Share of the time in which a change has to be in effect that an instance which others follow waits or pauses at most.
const READER_SHARE: f64 = 1.0 / 6.0;

/// Longest such time. More would let followers notice late that their reader is cut off.
const READER_MAX: Duration = Duration::from_secs(1);

/// First pause after a failed read. It doubles with each further failure.
pub const BACKOFF_FIRST: Duration = Duration::from_millis(100);

/// Longest pause after failed reads; a platform that returns must be noticed within the time in which a change has to be
/// in effect.
const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// Times that the platform sets for what is read from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// Time after trouble of the platform from which it counts as stable, and every change has to be in effect.
    pub settle_time: Duration,
    /// Time within which a change has to be in effect while the platform is stable.
    pub effect_time: Duration,
}

impl Freshness {
    /// Returns the time for which a read waits for changes. A read that the platform lost is noticed before the platform
    /// counts as stable again.
    #[must_use]
    pub fn read_wait(self) -> Duration {
        self.settle_time
            .saturating_sub(RESPONSE_RESERVE)
            .clamp(WAIT_MIN, WAIT_MAX)
    }

    /// Returns the pause between a change and the next read. Changes come in series, as when servers join or report that
    /// they are still cold, and each read is paid for.
    #[must_use]
    pub fn change_pause(self) -> Duration {
        self.effect_time.mul_f64(CHANGE_PAUSE_SHARE).min(CHANGE_PAUSE_MAX)
    }

    /// Returns the longest wait and the longest pause of an instance that others follow. When it is cut off, a wait, a pause
    /// and an answer that does not come pass until a follower reads the platform itself.
    #[must_use]
    pub fn reader_time(self) -> Duration {
        self.effect_time.mul_f64(READER_SHARE).min(READER_MAX)
    }

    /// Returns the wait of a read that begins now. While missing entries are in doubt until `doubtful`, the read ends no
    /// later, so that one that shows which entries came back follows at once.
    #[must_use]
    pub fn wait(self, grace_until: Option<Instant>, now: Instant) -> Duration {
        let until = |grace_until: Instant| grace_until.saturating_duration_since(now).max(MIN_WAIT);
        grace_until.map_or(self.read_wait(), |grace_until| self.read_wait().min(until(grace_until)))
    }

    /// Returns the pause after a read. An answer with a part of the changes has none: each answer holds a bounded number,
    /// so an instance that paused after each would fall behind as soon as changes come faster.
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

/// Position in the changes of the platform.
pub type Position = u64;

/// One item of what the platform holds.
#[derive(Debug)]
pub enum Item {
    /// The configuration.
    Routing(Box<Routing>),
    /// The entry of a backend server.
    Server(BackendEntry),
    /// The entry of a backend server is gone.
    ServerMissing(SearcherId),
    /// A value that cannot be read. It names no server and no configuration to use.
    Unreadable {
        /// Where it lies.
        key: Box<str>,
        /// Name under which a backend server would be known.
        server: Option<SearcherId>,
        /// Why it cannot be read.
        reason: Box<str>,
    },
}

/// One value of the platform as it was read, before it is decoded. Instances pass values on in this form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Name under which the platform holds the value.
    pub key: Box<str>,
    /// The value, or `None` when it was removed.
    pub value: Option<Bytes>,
}

/// Values with the position from which changes have to be followed.
#[derive(Debug)]
pub struct Changes {
    /// The values.
    pub changes: Vec<Change>,
    /// Position after them.
    pub position: Position,
    /// Whether the platform held nothing beyond them when it answered.
    pub is_complete: bool,
    /// Who was asked.
    pub origin: Origin,
}

/// Where changes were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The platform itself.
    Platform,
    /// Another instance that reads the platform.
    Instance {
        /// Time since the beginning of its last read that reached the newest change.
        age: Duration,
    },
}

impl Changes {
    /// Returns what the read says of the time until the next one.
    #[must_use]
    pub fn outcome(&self) -> ReadOutcome {
        match (self.is_complete, self.changes.is_empty()) {
            (false, _) => ReadOutcome::MoreAvailable,
            (true, false) => ReadOutcome::Changed,
            (true, true) => ReadOutcome::Unchanged,
        }
    }
}

/// What a read says of the time until the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The platform holds more changes already.
    MoreAvailable,
    /// All changes so far have been read.
    Changed,
    /// Nothing changed.
    Unchanged,
}

/// What a read covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadScope {
    /// All that the platform holds.
    Full,
    /// The changes since the read before.
    Incremental,
}

/// Decodes a value; `None` when it does not concern the product.
pub type Decoder = fn(&Change) -> Option<Item>;

/// Failure of a read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The platform cannot be reached, broke off or did not answer in time.
    #[error("platform unreachable: {0}")]
    Unreachable(Box<str>),
    /// The platform refuses reads for now.
    #[error("platform refused the read with status {0}")]
    Refused(u16),
    /// The changes after the position are no longer there; everything has to be read again.
    #[error("changes after the position are gone")]
    Compacted,
    /// The answer does not follow the platform's interface.
    #[error("malformed answer of the platform: {0}")]
    Malformed(Box<str>),
}

/// Reads of the platform.
pub trait PlatformClient: Send {
    /// Reads everything, as of now.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be read.
    fn read_all(&mut self) -> impl Future<Output = Result<Changes, ReadError>> + Send;

    /// Waits up to `wait` for changes after `position`.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be read, or has forgotten the changes.
    fn read_changes(
        &mut self,
        position: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, ReadError>> + Send;
}

/// Time since which an instance has followed changes without reaching the newest one.
#[derive(Debug, Default)]
struct Lag {
    since: Option<Instant>,
    is_logged: bool,
}

impl Lag {
    /// Takes a read that began at `begun`.
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

/// Follows the platform until the process ends.
pub async fn run(mut catalogue: impl PlatformClient, gateway: Arc<Gateway>, mut rng: SmallRng) {
    let freshness = gateway.settings.freshness;
    let mut failures = 0_u32;
    let mut needs_full_read = false;
    let mut lag = Lag::default();
    loop {
        // Another instance may have told what happened while the platform could not be read here.
        let position = gateway.position().filter(|_| !needs_full_read);
        let started = Instant::now();
        let wait = if gateway.is_platform_unreachable() || gateway.needs_platform_check() {
            // Nothing may have changed; whether the platform can be read must be noticed all the same.
            MIN_WAIT
        } else {
            gateway.bound_for_followers(freshness.wait(gateway.doubtful_until(), started))
        };
        let (scope, read) = match position {
            None => (ReadScope::Full, catalogue.read_all().await),
            Some(position) => {
                let read = tokio::select! {
                    biased;
                    read = catalogue.read_changes(position, wait) => read,
                    () = gateway.read_request.notified() => continue,
                };
                (ReadScope::Incremental, read)
            }
        };
        match read {
            Ok(read) => {
                if failures > 0 {
                    info!(gateway.log, "platform_regained"; "failures" => failures);
                }
                failures = 0;
                needs_full_read = false;
                lag.on_read(&gateway, &read, started);
                let (outcome, origin) = (read.outcome(), read.origin);
                if scope == ReadScope::Incremental
                    && origin == Origin::Platform
                    && started.elapsed() > wait + OVERDUE_MARGIN
                {
                    gateway.on_platform_overdue(started.elapsed());
                }
                gateway.on_platform_read(read, scope, started);
                // Reads of another instance cost nothing, and that one has paused.
                if origin == Origin::Platform {
                    let pause = freshness.pause(outcome, gateway.doubtful_until(), Instant::now());
                    tokio::time::sleep(gateway.bound_for_followers(pause)).await;
                }
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

/// Returns the names among `known` that `items`, which are all there is, do not hold.
#[must_use]
pub fn missing_servers<'a>(known: impl Iterator<Item = &'a SearcherId>, items: &[Item]) -> Vec<SearcherId> {
    let listed: IndexSet<&SearcherId> = items
        .iter()
        .filter_map(|item| match item {
            Item::Server(entry) => Some(&entry.id),
            _ => None,
        })
        .collect();
    known.filter(|id| !listed.contains(id)).cloned().collect()
}

/// Tells whether a configuration replaces the one in effect.
#[must_use]
pub fn is_newer_revision(next: Revision, current: Option<Revision>) -> bool {
    current.is_none_or(|current| next > current)
}
