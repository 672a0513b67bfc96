//! Bounded in-memory queue of log lines with a writer thread.
//!
//! The queue is designed for many short lines and for an output whose reader may stop reading. Lines are formatted on
//! the thread that logs them and are appended to a buffer. One thread writes the buffer in batches, so that a line
//! costs neither a wake-up nor a system call of its own, and a blocked output blocks only that thread. Lines that
//! exceed the bound are dropped, and a `lines_dropped` line reports their number once the output accepts data again.

use std::io;
use std::io::Write;
use std::mem;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

/// Size of the queue, beyond which lines are dropped. It holds about 2 s of the maximum output of a gateway.
const QUEUE_BYTES: usize = 1024 * 1024;

/// Size at which a batch is written without waiting for [`BATCH_DELAY`].
const BATCH_BYTES: usize = 32 * 1024;

/// Maximum time for which lines are collected before they are written. A process that is killed loses the lines of this
/// period.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Maximum time that [`FlushGuard`] waits for the output to accept the remaining lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct PendingLines {
    bytes: Vec<u8>,
    dropped: u64,
    is_writing: bool,
    is_closed: bool,
}

#[derive(Debug, Default)]
struct Shared {
    lines: Mutex<PendingLines>,
    changed: Condvar,
}

impl Shared {
    fn lines(&self) -> MutexGuard<'_, PendingLines> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the next batch and returns it with the number of lines dropped since the previous one, or `None` when
    /// the queue is closed and empty. `buffer` becomes the new collection buffer.
    fn next_batch(&self, buffer: Vec<u8>) -> Option<(Vec<u8>, u64)> {
        let is_below_batch_size = |lines: &mut PendingLines| lines.bytes.len() < BATCH_BYTES && !lines.is_closed;
        let mut lines = self.lines();
        // Loggers do not notify this thread of a small batch, since that would cost a system call for each line.
        while lines.bytes.is_empty() && lines.dropped == 0 {
            if lines.is_closed {
                return None;
            }
            let result = self.changed.wait_timeout_while(lines, BATCH_DELAY, is_below_batch_size);
            (lines, _) = result.unwrap_or_else(PoisonError::into_inner);
        }
        lines.is_writing = true;
        Some((mem::replace(&mut lines.bytes, buffer), mem::take(&mut lines.dropped)))
    }
}

/// Writer that appends lines to the queue. A line is queued when a write ends with a line feed.
#[derive(Debug)]
pub struct QueueWriter {
    shared: Arc<Shared>,
    line: Vec<u8>,
}

/// Guard that closes the queue and flushes the queued lines on drop. It gives up after 0.5 s if the output is blocked.
#[derive(Debug)]
#[must_use]
pub struct FlushGuard(Arc<Shared>);

impl QueueWriter {
    /// Creates a queue and starts the thread that writes its lines to `out`.
    pub fn start(out: impl Write + Send + 'static) -> (Self, FlushGuard) {
        let shared = Arc::new(Shared::default());
        let queue = Self {
            shared: Arc::clone(&shared),
            line: Vec::new(),
        };
        let flush = FlushGuard(Arc::clone(&shared));
        thread::spawn(move || write_batches(&shared, out));
        (queue, flush)
    }

    fn push_line(&mut self) {
        let mut lines = self.shared.lines();
        if lines.bytes.len() + self.line.len() > QUEUE_BYTES {
            lines.dropped += 1;
        } else {
            let was_below_batch_size = lines.bytes.len() < BATCH_BYTES;
            lines.bytes.extend_from_slice(&self.line);
            if was_below_batch_size && lines.bytes.len() >= BATCH_BYTES {
                self.shared.changed.notify_all();
            }
        }
        drop(lines);
        self.line.clear();
    }
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.last() == Some(&b'\n') {
            self.push_line();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for FlushGuard {
    fn drop(&mut self) {
        let mut lines = self.0.lines();
        lines.is_closed = true;
        self.0.changed.notify_all();
        let is_pending = |lines: &mut PendingLines| !lines.bytes.is_empty() || lines.is_writing;
        // A blocked output must not delay the exit of the process.
        let _timed_out = self.0.changed.wait_timeout_while(lines, FLUSH_TIMEOUT, is_pending);
    }
}

fn write_batches(shared: &Shared, mut out: impl Write) {
    let mut buffer = Vec::new();
    while let Some((mut batch, dropped)) = shared.next_batch(buffer) {
        if dropped > 0 {
            let text =
                format!("level=warning event=lines_dropped count={dropped} reason=\"standard output is blocked\"\n");
            batch.extend_from_slice(text.as_bytes());
        }
        // A failed write cannot be reported, since the log is the only output. The process continues without it.
        let _error = out.write_all(&batch).and_then(|()| out.flush());
        batch.clear();
        buffer = batch;
        shared.lines().is_writing = false;
        shared.changed.notify_all();
    }
}
