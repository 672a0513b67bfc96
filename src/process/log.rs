//! Structured logs: one line of key=value pairs for each event.
//!
//! The message of a record is the name of the event, so a line reads `ts=... level=info event=session_opened peer=l2`.
//! Records that libraries send through `tracing` are turned into lines of the same form by [`bridge`].

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

/// Makes the logger of a process, which writes to standard output.
///
/// The returned guard writes the lines that wait when it is dropped, so keep it until the process ends.
pub fn init(level: Level, instance: &str, role: &'static str) -> (Logger, FlushGuard) {
    let (log, flush) = with_output(level, instance, role, io::stdout());
    bridge::install(&log, level);
    (log, flush)
}

/// Makes a logger that writes to `out`, which may block without blocking the callers.
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
