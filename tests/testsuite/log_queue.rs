//! Log queue: a blocked output, dropped lines and batches.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;

use pimentoflow::process::log;
use slog::Level;
use slog::info;

/// Timeout of operations that must finish. Only a failing test reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Data that the output received, with one item for each call of `write`.
#[derive(Clone, Default)]
struct Writes(Arc<Mutex<Vec<Vec<u8>>>>);

impl Writes {
    fn get(&self) -> Vec<Vec<u8>> {
        self.0.lock().expect("the writer panicked").clone()
    }

    fn text(&self) -> String {
        String::from_utf8(self.get().concat()).expect("the log is text")
    }
}

/// Output that blocks on every write until it is unblocked.
struct BlockingWriter {
    unblocked: Receiver<()>,
    writes: Writes,
}

impl Write for BlockingWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // `recv` returns immediately once the sender is dropped.
        let _unblocked = self.unblocked.recv();
        self.writes.0.lock().expect("the test panicked").push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocking_writer() -> (BlockingWriter, Sender<()>, Writes) {
    let (unblock, unblocked) = mpsc::channel();
    let writes = Writes::default();
    let writer = BlockingWriter {
        unblocked,
        writes: writes.clone(),
    };
    (writer, unblock, writes)
}

/// Runs `work` on a separate thread and panics if it does not finish within [`TEST_TIMEOUT`].
fn run_with_timeout<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let (done, ended) = mpsc::channel();
    thread::spawn(move || done.send(work()));
    ended.recv_timeout(TEST_TIMEOUT).expect("the work is blocked")
}

/// Guards against a logger that blocks when the output is blocked, against a queue that grows without bound, and
/// against dropped lines that are not reported.
#[test]
fn blocked_output_drops_and_counts_lines() {
    const LINES: usize = 40_000;
    let (writer, unblock, writes) = blocking_writer();
    let (log, flush) = log::with_output(Level::Info, "i-1", "gateway", writer);
    run_with_timeout(move || {
        for number in 0..LINES {
            info!(log, "request"; "id" => number, "padding" => "a line of some length, as those of requests are");
        }
    });
    drop(unblock);
    run_with_timeout(move || drop(flush));
    let text = writes.text();
    let kept: Vec<&str> = text.lines().filter(|line| line.contains("event=request")).collect();
    let counts = text
        .lines()
        .filter_map(|line| line.split("event=lines_dropped count=").nth(1));
    let dropped: usize = counts
        .map(|rest| rest.split(' ').next().unwrap().parse::<usize>().unwrap())
        .sum();
    assert!(dropped > 0, "no line was dropped");
    assert_eq!(kept.len() + dropped, LINES);
    assert!(kept[0].contains(" id=0"), "{}", kept[0]);
}

/// Guards against a system call and a wake-up for each line, which cost more than formatting the line.
#[test]
fn lines_are_written_in_batches() {
    let (writer, unblock, writes) = blocking_writer();
    drop(unblock);
    let (log, flush) = log::with_output(Level::Info, "i-1", "gateway", writer);
    for number in 0..100 {
        info!(log, "request"; "id" => number);
    }
    run_with_timeout(move || drop(flush));
    assert_eq!(writes.text().lines().count(), 100);
    let calls = writes.get().len();
    assert!(calls <= 10, "{calls} writes for 100 lines");
}

/// Guards against a planned stop that waits for a blocked output.
#[test]
fn blocked_output_does_not_delay_exit() {
    let (writer, _unblock, _writes) = blocking_writer();
    let (log, flush) = log::with_output(Level::Info, "i-1", "gateway", writer);
    info!(log, "stopped");
    run_with_timeout(move || drop(flush));
}
