//! Structured logs: one line of key=value pairs for each event.
//!
//! The message of a record is the name of the event, so a line reads `ts=... level=info event=session_opened peer=l2`.
//! Records that libraries send through `tracing` are turned into lines of the same form by [`bridge`].

pub mod bridge;

use std::io;
use std::io::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::Record;
use slog::o;
use slog_async::OverflowStrategy;
use slog_logfmt::Logfmt;

/// Records that wait for the writer before further ones are dropped and counted, so that a blocked standard output never
/// blocks a request.
const QUEUE_RECORDS: usize = 8192;

/// Makes the logger of a process, which writes to standard output.
///
/// The returned guard flushes the queue when it is dropped, so keep it until the process ends.
pub fn init(level: Level, instance: &str, role: &'static str) -> (Logger, slog_async::AsyncGuard) {
    let format = Logfmt::new(io::stdout()).set_prefix(write_prefix).build().fuse();
    let (drain, guard) = slog_async::Async::new(format)
        .chan_size(QUEUE_RECORDS)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = drain.filter_level(level).fuse();
    let instance: String = instance.into();
    let log = Logger::root(drain, o!("instance" => instance, "role" => role));
    bridge::install(&log, level);
    (log, guard)
}

/// Makes a logger that drops every record, for tests and experiments.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn write_prefix(out: &mut dyn Write, record: &Record<'_>) -> slog::Result {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let level = level_name(record.level());
    write!(
        out,
        "ts={:.3} level={level} event={} ",
        since_epoch.as_secs_f64(),
        record.msg()
    )?;
    Ok(())
}

const fn level_name(level: Level) -> &'static str {
    match level {
        Level::Critical => "critical",
        Level::Error => "error",
        Level::Warning => "warning",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}
