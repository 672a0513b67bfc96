//! Rate limits that backend servers announce in their responses, and the share of one instance.
//!
//! An overloaded server announces the requests per second that it accepts from all instances together, in every
//! response for as long as the limit applies. Instances do not agree on shares: each computes its own from the list of
//! instances, so the shares add up to the limit as long as the lists are the same. See "Rate limits" in
//! `docs/design/rate-limits.md`.

use std::time::Duration;
use std::time::Instant;

use crate::process::ownership::rank;
use crate::process::ownership::rank::NameHash;

/// Requests per second.
pub type RequestRate = f64;

/// Limit that is applied at least, so that some requests still show when the limit ends.
const MIN_RATE: RequestRate = 0.5;

/// Number of instances that share a limit, for each request per second of it. The other instances send nothing: if each
/// of a large fleet had a share, all of them could use it within the same second.
const SENDERS_PER_RATE: f64 = 2.0;

/// Number of instances that share a limit in addition.
const EXTRA_SENDERS: usize = 1;

/// Weight of an instance in the data centre of the server, relative to one elsewhere. Most requests to a server come
/// from its own data centre.
const LOCAL_WEIGHT: f64 = 4.0;

/// Time for which unused requests accumulate.
const BURST_TIME: Duration = Duration::from_secs(1);

/// Time for which the lowest limit of a server stays in effect after the server announced a higher one. A server that
/// raises its limit is still overloaded, and requests that return at once would make it lower the limit again.
const RISE_DELAY: Duration = Duration::from_secs(30);

/// What a response announces about the rate limit of its server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitNotice {
    /// The server accepts this rate from all instances together.
    Limited(RequestRate),
    /// There is no limit.
    Unlimited,
}

impl LimitNotice {
    /// Returns the limit, if there is one.
    #[must_use]
    pub const fn rate(self) -> Option<RequestRate> {
        match self {
            Self::Limited(rate) => Some(rate),
            Self::Unlimited => None,
        }
    }
}

/// Parses a limit in requests per second, with or without a fraction. Returns `None` for anything that is not an
/// unsigned decimal number.
#[must_use]
pub fn parse_rate(text: &str) -> Option<RequestRate> {
    super::parse_decimal(text)
}

/// Instance that may send requests to a server.
#[derive(Debug, Clone, Copy)]
pub struct Sender<'a> {
    /// Name of the instance.
    pub instance: &'a str,
    /// Hash of the name. Callers compute it once, since all shares are computed again in every gossip round.
    pub hash: NameHash,
    /// Whether the instance runs in the data centre of the server.
    pub is_local: bool,
}

impl Sender<'_> {
    const fn weight(&self) -> f64 {
        if self.is_local { LOCAL_WEIGHT } else { 1.0 }
    }

    /// Returns the rank of this instance at `server`; the lowest ranks share the limit. Weighted rendezvous hashing, so
    /// that an instance that joins or leaves changes the choice of at most one other.
    fn rank(&self, server: NameHash) -> f64 {
        let score = rank::score(server, self.hash);
        let uniform = (score as f64 + 1.0) / 2.0_f64.powi(64);
        -uniform.ln() / self.weight()
    }
}

/// Returns the instances of `senders` that share the limit of `server`, which accepts `rate` from all of them, each
/// with the rate at which it may send.
#[must_use]
pub fn shares<'a>(
    rate: RequestRate,
    server: &str,
    senders: impl Iterator<Item = Sender<'a>>,
) -> Vec<(Sender<'a>, RequestRate)> {
    let rate = rate.max(MIN_RATE);
    let server = NameHash::of(server);
    let mut ranked: Vec<(f64, Sender<'a>)> = senders.map(|sender| (sender.rank(server), sender)).collect();
    ranked.sort_unstable_by(|(rank, sender), (other_rank, other)| {
        rank.total_cmp(other_rank)
            .then_with(|| sender.instance.cmp(other.instance))
    });
    ranked.truncate(((SENDERS_PER_RATE * rate).ceil() as usize).saturating_add(EXTRA_SENDERS));
    let weights: f64 = ranked.iter().map(|(_, sender)| sender.weight()).sum();
    let shares = ranked
        .into_iter()
        .map(|(_, sender)| (sender, rate * sender.weight() / weights));
    shares.collect()
}

/// Returns the rate at which an instance may send that knows no other one and assumes `instances` of them.
#[must_use]
pub fn assumed_share(rate: RequestRate, instances: u32) -> RequestRate {
    rate.max(MIN_RATE) / f64::from(instances.max(1))
}

/// Token bucket that bounds the requests of this instance to one server.
#[derive(Debug, Clone, Copy)]
pub struct Pacer {
    rate: RequestRate,
    tokens: f64,
    updated: Instant,
}

impl Pacer {
    /// Creates a pacer without tokens: the requests sent before the limit was known may still be arriving.
    #[must_use]
    pub const fn new(rate: RequestRate, now: Instant) -> Self {
        Self {
            rate,
            tokens: 0.0,
            updated: now,
        }
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub const fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Changes the rate and keeps the tokens.
    pub fn set_rate(&mut self, rate: RequestRate, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.burst());
    }

    /// Takes the token of a request that is sent.
    pub fn take(&mut self, now: Instant) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Returns the time at which a request may be sent that leaves the share `reserve` of a full bucket to others;
    /// `None` if it may never be sent.
    #[must_use]
    pub fn available_at(&self, reserve: f64) -> Option<Instant> {
        // A bucket for a single token has nothing to reserve.
        let needed = (self.burst() - 1.0).mul_add(reserve, 1.0);
        let missing = needed - self.tokens;
        if missing <= 0.0 {
            return Some(self.updated);
        }
        let wait = Duration::try_from_secs_f64(missing / self.rate).ok()?;
        self.updated.checked_add(wait)
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST_TIME.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated);
        self.tokens = passed.as_secs_f64().mul_add(self.rate, self.tokens).min(self.burst());
        self.updated = self.updated.max(now);
    }
}

/// Lowest rate that a server announced recently.
#[derive(Debug, Clone, Copy)]
struct LowestRate {
    rate: RequestRate,
    announced_at: Instant,
}

impl LowestRate {
    /// Returns the lowest rate after the server announced `rate` at `at`.
    fn with(self, rate: RequestRate, at: Instant) -> Self {
        let is_over = at.saturating_duration_since(self.announced_at) >= RISE_DELAY;
        if is_over || rate <= self.rate {
            Self { rate, announced_at: at }
        } else {
            self
        }
    }
}

/// Rate limit of one server, as known to this instance.
#[derive(Debug, Clone, Copy)]
pub struct RateLimit {
    notice: LimitNotice,
    /// Time of the newest response with a notice, received by this or another instance.
    notified_at: Instant,
    /// Lowest rate since the limit began; `None` while there is no limit.
    lowest: Option<LowestRate>,
    pacer: Pacer,
}

impl RateLimit {
    /// Creates the limit of a server that announced one for the first time. [`RateLimit::set_share`] has to follow;
    /// until then no request may be sent.
    #[must_use]
    pub const fn new(rate: RequestRate, at: Instant) -> Self {
        Self {
            notice: LimitNotice::Limited(rate),
            notified_at: at,
            lowest: Some(LowestRate { rate, announced_at: at }),
            pacer: Pacer::new(0.0, at),
        }
    }

    /// Returns the newest notice and its time.
    #[must_use]
    pub const fn last_notice(&self) -> (LimitNotice, Instant) {
        (self.notice, self.notified_at)
    }

    /// Returns the rate in effect for all instances together, or `None` if there is no limit. It follows a lower limit
    /// at once, and a higher one after 30 s.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.lowest.map(|lowest| lowest.rate)
    }

    /// Records a notice received at `at`. Returns whether it differs from the one before. Older notices are ignored.
    pub fn on_notice(&mut self, notice: LimitNotice, at: Instant) -> bool {
        if at <= self.notified_at {
            return false;
        }
        let is_new = self.notice != notice;
        if self.notice == LimitNotice::Unlimited && is_new {
            self.pacer = Pacer::new(0.0, at);
        }
        self.notice = notice;
        self.notified_at = at;
        self.lowest = notice.rate().map(|rate| match self.lowest {
            Some(lowest) => lowest.with(rate, at),
            None => LowestRate { rate, announced_at: at },
        });
        is_new
    }

    /// Sets the rate at which this instance may send.
    pub fn set_share(&mut self, share: RequestRate, now: Instant) {
        self.pacer.set_rate(share, now);
    }

    /// Returns the rate at which this instance may send, or `None` if there is no limit.
    #[must_use]
    pub fn share(&self) -> Option<RequestRate> {
        self.lowest.map(|_| self.pacer.rate())
    }

    /// Records that a request is sent.
    pub fn on_send(&mut self, now: Instant) {
        self.pacer.take(now);
    }

    /// Returns the time at which a request may be sent, which may have passed; `None` if no request may be sent. See
    /// [`Pacer::available_at`].
    #[must_use]
    pub fn available_at(&self, reserve: f64) -> Option<Instant> {
        match self.notice {
            LimitNotice::Limited(_) => self.pacer.available_at(reserve),
            LimitNotice::Unlimited => Some(self.notified_at),
        }
    }
}
