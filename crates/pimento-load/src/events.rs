//! Event queue on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

/// Events ordered by time, then by order of insertion, so that a run never depends on the heap's internal order.
#[derive(Debug)]
pub struct EventQueue<E> {
    start: Instant,
    now: Instant,
    next_order: u64,
    heap: BinaryHeap<Reverse<Entry<E>>>,
}

#[derive(Debug)]
struct Entry<E> {
    at: Instant,
    order: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

impl<E> EventQueue<E> {
    /// Makes an empty queue whose clock stands at its start.
    #[must_use]
    pub fn new() -> Self {
        let start = Instant::now();
        Self {
            start,
            now: start,
            next_order: 0,
            heap: BinaryHeap::new(),
        }
    }

    /// Returns the current virtual time.
    #[must_use]
    pub const fn now(&self) -> Instant {
        self.now
    }

    /// Returns the virtual time since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Adds an event that happens `after` the current time.
    pub fn push(&mut self, after: Duration, event: E) {
        self.push_at(self.now + after, event);
    }

    /// Adds an event at a time; a time in the past means now.
    pub fn push_at(&mut self, at: Instant, event: E) {
        let at = at.max(self.now);
        let order = self.next_order;
        self.next_order += 1;
        self.heap.push(Reverse(Entry { at, order, event }));
    }

    /// Takes the next event and moves the clock to its time.
    pub fn pop(&mut self) -> Option<E> {
        let Reverse(entry) = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self::new()
    }
}
