//! Buffers for response bodies, bounded for the whole process.
//!
//! When many servers send large bodies at the same time, the total must not exhaust the memory of a small machine. Each
//! body may hold [`UNRESERVED_BYTES`] freely; bytes beyond that are reserved from a [`BodyMemory`] that all responses
//! share. Small responses therefore never fail because of large ones.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;

/// Bytes of each body that need no reservation. The response to one part has about 1 KB.
pub const UNRESERVED_BYTES: usize = 16 * 1024;

/// Bytes that all bodies together may hold beyond [`UNRESERVED_BYTES`] each. The smallest machines have 380 MB in
/// total, and growing a body can temporarily need several times its size in the allocator.
pub const SHARED_BYTES: usize = 32 * 1024 * 1024;

/// Memory limit shared by the bodies of all responses. Clones share the same limit.
#[derive(Debug, Clone)]
pub struct BodyMemory(Arc<AtomicUsize>);

impl Default for BodyMemory {
    fn default() -> Self {
        Self::new(SHARED_BYTES)
    }
}

impl BodyMemory {
    /// Creates a limit of `bytes`.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Returns the number of bytes that are not reserved.
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

/// Bytes reserved from the shared memory, released on drop.
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

/// Reason why reading a body was aborted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body exceeds the limit given to [`PartialBody::new`], in bytes.
    #[error("the body exceeds {0} bytes")]
    TooLarge(usize),
    /// The memory shared by all responses is exhausted.
    #[error("the shared memory for response bodies is exhausted")]
    NoMemory,
}

/// Body that is still being received.
#[derive(Debug)]
pub struct PartialBody {
    bytes: BytesMut,
    limit: usize,
    reservation: Reservation,
}

impl PartialBody {
    /// Creates an empty body that accepts at most `limit` bytes.
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

    /// Appends `data` to the body.
    ///
    /// # Errors
    ///
    /// Fails when the body would exceed its limit, or when the shared memory is exhausted.
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

    /// Returns the complete body. The reserved memory is released when the last clone of the returned bytes is dropped.
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
