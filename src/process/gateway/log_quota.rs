//! Bound on the log lines about requests.
//!
//! Load pattern: a burst of requests, or of failures, must not fill the log or the processor. Lines about requests that
//! went well and lines about trouble have quotas of their own, so that a failed request keeps its lines. What is left out
//! is counted and said in one line a second.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::warn;

/// Lines a second about requests that went well: one for each request at about four times the usual 65 requests a second of
/// an instance. Lines have 150 to 1,200 bytes, so both quotas together are at most 600 KB a second.
const SUCCESS_LINES: u32 = 250;

/// Lines a second about requests in trouble.
const FAILURE_LINES: u32 = 250;

/// Time for which a quota holds.
const PERIOD: Duration = Duration::from_secs(1);

/// What a line is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogTopic {
    /// A request that goes well so far.
    Success,
    /// A request, or an attempt of one, that fails, is refused or is repeated.
    Failure,
}

#[derive(Debug)]
struct Quotas {
    since: Instant,
    success: u32,
    failure: u32,
    suppressed: u64,
}

/// Decides which lines are written.
#[derive(Debug)]
pub struct LogQuota {
    quotas: Mutex<Quotas>,
}

impl LogQuota {
    /// Begins with full quotas.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            quotas: Mutex::new(Quotas {
                since: now,
                success: SUCCESS_LINES,
                failure: FAILURE_LINES,
                suppressed: 0,
            }),
        }
    }

    /// Tells whether a line may be written, and how many were left out in the period that ended with this call.
    pub fn take(&self, topic: LogTopic, now: Instant) -> (bool, u64) {
        let mut quotas = self.quotas.lock().unwrap_or_else(PoisonError::into_inner);
        let mut suppressed = 0;
        if now.saturating_duration_since(quotas.since) >= PERIOD {
            suppressed = quotas.suppressed;
            *quotas = Quotas {
                since: now,
                success: SUCCESS_LINES,
                failure: FAILURE_LINES,
                suppressed: 0,
            };
        }
        let left = match topic {
            LogTopic::Success => &mut quotas.success,
            LogTopic::Failure => &mut quotas.failure,
        };
        let allowed = *left > 0;
        *left = left.saturating_sub(1);
        quotas.suppressed += u64::from(!allowed);
        (allowed, suppressed)
    }

    /// Tells whether a line may be written, and says in the log what was left out.
    pub(crate) fn allow(&self, log: &Logger, topic: LogTopic) -> bool {
        let (allowed, suppressed) = self.take(topic, Instant::now());
        if suppressed > 0 {
            warn!(log, "lines_left_out"; "count" => suppressed);
        }
        allowed
    }
}
