//! Slots, queue and cancellation of a backend server.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

/// Slots and requests in progress.
#[derive(Debug)]
pub(crate) struct Scheduler {
    slots: Arc<Semaphore>,
    queue: u32,
    waiting: AtomicU32,
    tokens: Mutex<HashMap<Box<str>, CancellationToken>>,
}

/// Result of asking for a slot.
#[derive(Debug)]
pub(crate) enum Admission {
    /// A slot was free.
    Slot(OwnedSemaphorePermit),
    /// The request may wait.
    Queued,
    /// The queue is full.
    Full,
}

impl Scheduler {
    pub fn new(slots: u32, queue: u32) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(slots as usize)),
            queue,
            waiting: AtomicU32::new(0),
            tokens: Mutex::new(HashMap::new()),
        }
    }

    fn tokens(&self) -> MutexGuard<'_, HashMap<Box<str>, CancellationToken>> {
        self.tokens.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the request known to cancellation until [`Scheduler::unregister`].
    pub fn register(&self, request: &str) -> CancellationToken {
        let token = CancellationToken::new();
        self.tokens().insert(request.into(), token.clone());
        token
    }

    pub fn unregister(&self, request: &str) {
        self.tokens().remove(request);
    }

    /// Cancels a request; an unknown one is ignored.
    pub fn cancel(&self, request: &str) {
        if let Some(token) = self.tokens().get(request) {
            token.cancel();
        }
    }

    pub fn cancel_all(&self) {
        for token in self.tokens().values() {
            token.cancel();
        }
    }

    /// Takes a slot or a place in the queue. [`Admission::Queued`] must be followed by [`Scheduler::leave_queue`].
    pub fn admit(&self) -> Admission {
        if let Ok(permit) = Arc::clone(&self.slots).try_acquire_owned() {
            return Admission::Slot(permit);
        }
        let queue = self.queue;
        let admitted = self
            .waiting
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |waiting| {
                (waiting < queue).then_some(waiting + 1)
            });
        match admitted {
            Ok(_) => Admission::Queued,
            Err(_) => Admission::Full,
        }
    }

    pub fn leave_queue(&self) {
        self.waiting.fetch_sub(1, Ordering::AcqRel);
    }

    /// Waits for a slot. The semaphore is never closed, so `None` does not happen while the server runs.
    pub async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.slots).acquire_owned().await.ok()
    }
}
