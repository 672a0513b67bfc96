//! Queue of log lines between the program and standard output.
//!
//! Load pattern: many short lines, and a reader that may stop reading. Lines are formatted where they arise and
//! collected in memory; one thread writes them in batches, so that a line costs neither a wake-up nor a system call of
//! its own, and a blocked standard output blocks only that thread. What finds no room is dropped, counted, and said in a
//! line when there is room again.

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

/// Bytes of lines that wait before further lines are dropped: about two seconds of the most that a gateway writes.
const QUEUE_BYTES: usize = 1024 * 1024;

/// Bytes from which a batch is written without a further wait.
const BATCH_BYTES: usize = 32 * 1024;

/// Time for which lines are collected before they are written. A process that is killed loses its last lines of this
/// time.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Longest wait at the end of the process for a standard output that takes the last lines.
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

    /// Returns the lines to write next and the number that was dropped before them, or `None` after the end.
    fn next_batch(&self, buffer: Vec<u8>) -> Option<(Vec<u8>, u64)> {
        let is_below_batch_size = |lines: &mut PendingLines| lines.bytes.len() < BATCH_BYTES && !lines.is_closed;
        let mut lines = self.lines();
        // Nobody wakes this thread for a short batch, since that would cost the program a system call for each.
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

/// Writer of lines into the queue. What is written becomes a line at its final line feed.
#[derive(Debug)]
pub struct QueueWriter {
    shared: Arc<Shared>,
    line: Vec<u8>,
}

/// Writes the lines that wait when it is dropped, as far as the output takes them within 0.5 s.
#[derive(Debug)]
#[must_use]
pub struct FlushGuard(Arc<Shared>);

impl QueueWriter {
    /// Starts the thread that writes lines to `out`.
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
        // A reader that stopped reading must not hold up the end of the process.
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
        // An output that is closed takes no report of it either; the program goes on without its log.
        let _error = out.write_all(&batch).and_then(|()| out.flush());
        batch.clear();
        buffer = batch;
        shared.lines().is_writing = false;
        shared.changed.notify_all();
    }
}
