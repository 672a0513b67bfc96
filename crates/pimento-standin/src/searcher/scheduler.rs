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

/// Assigns slots to requests and keeps the cancellation tokens of the requests in progress.
#[derive(Debug)]
pub(crate) struct Scheduler {
    slots: Arc<Semaphore>,
    queue: u32,
    waiting: AtomicU32,
    tokens: Mutex<HashMap<Box<str>, CancellationToken>>,
}

/// Result of [`Scheduler::admit`].
#[derive(Debug)]
pub(crate) enum Admission {
    /// A slot was free.
    Slot(OwnedSemaphorePermit),
    /// The request was added to the queue and may wait for a slot.
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

    /// Makes a request cancellable until [`Scheduler::unregister`] is called.
    pub fn register(&self, request: &str) -> CancellationToken {
        let token = CancellationToken::new();
        self.tokens().insert(request.into(), token.clone());
        token
    }

    pub fn unregister(&self, request: &str) {
        self.tokens().remove(request);
    }

    /// Cancels a request. Unknown requests are ignored.
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

    /// Takes a slot or a place in the queue.
    ///
    /// The caller must call [`Scheduler::leave_queue`] after [`Admission::Queued`].
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

    /// Waits for a slot. Returns `None` only if the semaphore is closed, which never happens.
    pub async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.slots).acquire_owned().await.ok()
    }
}
