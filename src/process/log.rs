//! Structured logging: one line of `key=value` pairs (logfmt) for each event.
//!
//! The message of a record is the name of the event, as in `ts=... level=info event=session_opened peer=l2`.
//! [`bridge`] converts the `tracing` events of libraries to the same format.

pub mod bridge;
pub mod queue;

use std::io;
use std::io::Write;
use std::sync::Mutex;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::Record;
use slog::o;
use slog_logfmt::Logfmt;

use crate::process::log::queue::FlushGuard;
use crate::process::log::queue::QueueWriter;

/// Creates the logger of a process, which writes to standard output, and installs the `tracing` bridge.
///
/// The returned guard flushes queued lines when it is dropped, so it must be kept until the process exits.
pub fn init(level: Level, instance: &str, role: &'static str) -> (Logger, FlushGuard) {
    let (log, flush) = with_output(level, instance, role, io::stdout());
    bridge::install(&log, level);
    (log, flush)
}

/// Creates a logger that writes to `out` on a separate thread. Logging does not block when `out` blocks.
pub fn with_output(
    level: Level,
    instance: &str,
    role: &'static str,
    out: impl Write + Send + 'static,
) -> (Logger, FlushGuard) {
    let (queue, flush) = QueueWriter::start(out);
    let format = Logfmt::new(queue).set_prefix(write_prefix).build();
    let drain = Mutex::new(format).filter_level(level).fuse();
    let instance: String = instance.into();
    (Logger::root(drain, o!("instance" => instance, "role" => role)), flush)
}

/// Creates a logger that discards every record, for tests and simulations.
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
