//! Bodies of answers in memory, bounded for the whole process.
//!
//! Load pattern: many servers send large bodies at one time. Each body may hold [`UNRESERVED_BYTES`]; what is beyond comes out of
//! a [`BodyMemory`] that all answers share, so small answers are read whatever the large ones do.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;

/// Bytes of each body that are not taken out of the shared memory. A part has about 1 KB.
pub const UNRESERVED_BYTES: usize = 16 * 1024;

/// Bytes that all bodies together may hold beyond [`UNRESERVED_BYTES`] each. The smallest machines have 380 MB for everything;
/// growing a body and the allocator may take several times its size for a while.
pub const SHARED_BYTES: usize = 32 * 1024 * 1024;

/// Memory that the bodies of all answers share.
#[derive(Debug, Clone)]
pub struct BodyMemory(Arc<AtomicUsize>);

impl Default for BodyMemory {
    fn default() -> Self {
        Self::new(SHARED_BYTES)
    }
}

impl BodyMemory {
    /// Makes a memory of `bytes`.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Returns the bytes that are free.
    #[must_use]
    pub fn available(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn try_reserve(&self, bytes: usize) -> bool {
        let taken = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |free| free.checked_sub(bytes));
        taken.is_ok()
    }
}

/// Bytes taken out of the shared memory, given back when dropped.
#[derive(Debug)]
struct Reservation {
    memory: BodyMemory,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// Reason why a body is not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is larger than an answer of its kind may be.
    #[error("the body exceeds {0} bytes")]
    TooLarge(usize),
    /// All answers together hold as much as they may.
    #[error("no memory for a large body")]
    NoMemory,
}

/// Body that is being read.
#[derive(Debug)]
pub struct PartialBody {
    bytes: BytesMut,
    limit: usize,
    reservation: Reservation,
}

impl PartialBody {
    /// Begins a body of at most `limit` bytes.
    #[must_use]
    pub fn new(memory: &BodyMemory, limit: usize) -> Self {
        Self {
            bytes: BytesMut::new(),
            limit,
            reservation: Reservation {
                memory: memory.clone(),
                bytes: 0,
            },
        }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Fails when the body grows beyond its limit, or the shared memory is used up.
    pub fn push(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let length = self.bytes.len() + data.len();
        if length > self.limit {
            return Err(BodyError::TooLarge(self.limit));
        }
        if length > self.bytes.capacity() {
            let capacity = length.next_power_of_two();
            let required = capacity.saturating_sub(UNRESERVED_BYTES);
            let additional = required.saturating_sub(self.reservation.bytes);
            if !self.reservation.memory.try_reserve(additional) {
                return Err(BodyError::NoMemory);
            }
            self.reservation.bytes += additional;
            self.bytes.reserve(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the whole body. Its memory is given back when the last copy is dropped.
    #[must_use]
    pub fn finish(self) -> Bytes {
        if self.reservation.bytes == 0 {
            return self.bytes.freeze();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for PartialBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
