//! Event queue with a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

/// Queue of events, ordered by time and then by insertion, so that a run does not depend on the order in the heap.
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
    /// Creates an empty queue with its clock at the start.
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

    /// Returns the virtual time elapsed since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Schedules an event at the current time plus `after`.
    pub fn push(&mut self, after: Duration, event: E) {
        self.push_at(self.now + after, event);
    }

    /// Schedules an event at a time, or now if that time has passed.
    pub fn push_at(&mut self, at: Instant, event: E) {
        let at = at.max(self.now);
        let order = self.next_order;
        self.next_order += 1;
        self.heap.push(Reverse(Entry { at, order, event }));
    }

    /// Removes the next event and advances the clock to its time.
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
