//! Bounded priority queue of the work for one searcher.
//!
//! Urgent work is dispatched before routine work, except for a small share of the dispatches; within a class the
//! earliest deadline comes first. A full queue sheds routine work first. Every operation costs O(log n) for each item
//! that it adds or removes. See `docs/design/overload.md`.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::connection::lane::work::Work;
use crate::connection::lane::work::WorkId;
use crate::wire::proto::Class;

/// Order of an item within its class: earliest deadline first, then order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    deadline: Instant,
    sequence: u64,
}

#[derive(Debug, Clone, Copy)]
struct IndexEntry {
    class: Class,
    key: Key,
}

/// Result of offering work to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// The work was queued.
    Accepted,
    /// The work was queued, and this routine work was removed to make room for it.
    Displaced(Work),
    /// The queue is full and the work was not added.
    Full,
}

/// Work queue of one searcher. See the module documentation.
#[derive(Debug)]
pub struct Queue {
    capacity: usize,
    routine_share: f64,
    routine_credit: f64,
    next_sequence: u64,
    urgent: BTreeMap<Key, Work>,
    routine: BTreeMap<Key, Work>,
    index: IndexMap<WorkId, IndexEntry>,
}

impl Queue {
    /// Creates an empty queue for at most `capacity` items. `routine_share`, in `0.0..=1.0`, is the share of the
    /// dispatches that routine work keeps while urgent work waits.
    #[must_use]
    pub fn new(capacity: usize, routine_share: f64) -> Self {
        Self {
            capacity,
            routine_share: routine_share.clamp(0.0, 1.0),
            routine_credit: 0.0,
            next_sequence: 0,
            urgent: BTreeMap::new(),
            routine: BTreeMap::new(),
            index: IndexMap::new(),
        }
    }

    /// Sets the share of the dispatches that routine work keeps while urgent work waits. It is clamped to `0.0..=1.0`.
    pub const fn set_routine_share(&mut self, routine_share: f64) {
        self.routine_share = routine_share.clamp(0.0, 1.0);
    }

    /// Returns the number of queued items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns the number of queued items of `class`.
    #[must_use]
    pub fn class_len(&self, class: Class) -> usize {
        self.class_queue(class).len()
    }

    /// Returns whether the item `id` is queued.
    #[must_use]
    pub fn contains(&self, id: WorkId) -> bool {
        self.index.contains_key(&id)
    }

    /// Adds work. If the queue is full and the new work is urgent, it sheds the routine item with the latest deadline,
    /// which has the most time left to be served elsewhere.
    pub fn offer(&mut self, work: Work) -> OfferResult {
        if self.len() < self.capacity {
            self.insert(work);
            return OfferResult::Accepted;
        }
        if work.class == Class::Routine {
            return OfferResult::Full;
        }
        let Some(shed) = self.pop_latest(Class::Routine) else {
            return OfferResult::Full;
        };
        self.insert(work);
        OfferResult::Displaced(shed)
    }

    /// Removes and returns the item to dispatch next.
    pub fn pop(&mut self) -> Option<Work> {
        let class = self.next_class();
        self.update_credit(class);
        self.pop_first(class)
    }

    /// Removes and returns the item `id`.
    pub fn remove(&mut self, id: WorkId) -> Option<Work> {
        let entry = self.index.swap_remove(&id)?;
        self.class_queue_mut(entry.class).remove(&entry.key)
    }

    /// Removes one item that can no longer finish in time, because at most `service_time` remains until its deadline.
    pub fn pop_expired(&mut self, now: Instant, service_time: Duration) -> Option<Work> {
        let limit = now + service_time;
        for class in [Class::Urgent, Class::Routine] {
            let first = self.class_queue(class).first_key_value();
            if first.is_some_and(|(key, _)| key.deadline <= limit) {
                return self.pop_first(class);
            }
        }
        None
    }

    /// Removes any item, urgent work first, without charging the share of routine work.
    pub fn pop_any(&mut self) -> Option<Work> {
        self.pop_first(Class::Urgent).or_else(|| self.pop_first(Class::Routine))
    }

    /// Returns the item of `class` with the latest deadline.
    #[must_use]
    pub fn latest(&self, class: Class) -> Option<&Work> {
        self.class_queue(class).last_key_value().map(|(_, work)| work)
    }

    /// Removes the item of `class` with the latest deadline.
    pub fn pop_latest(&mut self, class: Class) -> Option<Work> {
        let (_, work) = self.class_queue_mut(class).pop_last()?;
        self.index.swap_remove(&work.id);
        Some(work)
    }

    /// Returns the earliest deadline of all queued items.
    #[must_use]
    pub fn earliest_deadline(&self) -> Option<Instant> {
        let urgent = self.urgent.first_key_value().map(|(key, _)| key.deadline);
        let routine = self.routine.first_key_value().map(|(key, _)| key.deadline);
        urgent.into_iter().chain(routine).min()
    }

    fn insert(&mut self, work: Work) {
        let key = Key {
            deadline: work.deadline,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        let class = work.class;
        self.index.insert(work.id, IndexEntry { class, key });
        self.class_queue_mut(class).insert(key, work);
    }

    fn next_class(&self) -> Class {
        let routine_first = self.urgent.is_empty() || (self.routine_credit >= 1.0 && !self.routine.is_empty());
        if routine_first { Class::Routine } else { Class::Urgent }
    }

    /// Updates the credit of routine work, which accrues only while both classes wait.
    fn update_credit(&mut self, class: Class) {
        let contended = !self.urgent.is_empty() && !self.routine.is_empty();
        if !contended {
            return;
        }
        self.routine_credit += self.routine_share;
        if class == Class::Routine {
            self.routine_credit -= 1.0;
        }
    }

    fn pop_first(&mut self, class: Class) -> Option<Work> {
        let (_, work) = self.class_queue_mut(class).pop_first()?;
        self.index.swap_remove(&work.id);
        Some(work)
    }

    const fn class_queue(&self, class: Class) -> &BTreeMap<Key, Work> {
        match class {
            Class::Urgent => &self.urgent,
            Class::Routine => &self.routine,
        }
    }

    const fn class_queue_mut(&mut self, class: Class) -> &mut BTreeMap<Key, Work> {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Routine => &mut self.routine,
        }
    }
}
