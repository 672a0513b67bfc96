//! Rate limit for log lines about requests.
//!
//! A burst of requests or failures must not fill the log or use up the CPU. Successes and failures have separate
//! quotas, so that lines about failed requests are not displaced by those about successful ones. Suppressed lines are
//! counted. The count is logged with the first line that is requested after the period has ended, so it is not logged
//! while no line follows.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::warn;

/// Lines in each period about successful requests: one for each request at about four times the usual 65 requests a
/// second of an instance. Lines have 150 to 1,200 bytes, so both quotas together are at most 600 KB a second.
const SUCCESS_LINES: u32 = 250;

/// Lines in each period with [`LogTopic::Failure`].
const FAILURE_LINES: u32 = 250;

/// Period of the quotas. They are reset by the first line requested after its end.
const PERIOD: Duration = Duration::from_secs(1);

/// Subject of a log line, which selects its quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogTopic {
    /// A request with the outcome `ok`, also if it took several attempts.
    Success,
    /// A request with any other outcome, such as a refusal or a part that is missing in the answer; an attempt that did
    /// not succeed; a part that was given up; or a server that gave a `Retry-After` time.
    Failure,
}

#[derive(Debug)]
struct Quotas {
    since: Instant,
    success: u32,
    failure: u32,
    suppressed: u64,
}

/// Limits the number of log lines in each period.
#[derive(Debug)]
pub struct LogQuota {
    quotas: Mutex<Quotas>,
}

impl LogQuota {
    /// Creates full quotas.
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

    /// Returns whether a line may be written. If this call is the first after the end of a period, also returns the
    /// number of lines that were suppressed in it, and otherwise 0.
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

    /// Returns whether a line may be written. The first call after the end of a period logs the number of lines that
    /// were suppressed in it, if any.
    pub(crate) fn allow(&self, log: &Logger, topic: LogTopic) -> bool {
        let (allowed, suppressed) = self.take(topic, Instant::now());
        if suppressed > 0 {
            warn!(log, "lines_left_out"; "count" => suppressed);
        }
        allowed
    }
}
