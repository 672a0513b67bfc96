//! Requests that wait for messages from leaves, by correlation ID.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::mpsc;

use crate::connection::session::SessionId;
use crate::ids::CorrelationId;
use crate::wire::proto::PartResult;
use crate::wire::proto::SubmitReply;
use crate::wire::proto::TicketReply;

/// Number of independently locked maps, to keep lock contention between threads low.
const MAP_COUNT: usize = 64;

/// Event for a pending request.
#[derive(Debug)]
pub enum RequestEvent {
    /// The result of a part arrived on a session.
    PartResult(SessionId, PartResult),
    /// A leaf replied to a request for a ticket.
    TicketReply(SessionId, TicketReply),
    /// A leaf replied to a submission.
    SubmitReply(SessionId, SubmitReply),
    /// A session ended.
    SessionLost(SessionId),
}

type Senders = HashMap<CorrelationId, mpsc::UnboundedSender<RequestEvent>>;

/// Event queues of all pending requests.
///
/// The queues are unbounded channels, but each holds at most one result for each attempt sent.
#[derive(Debug)]
pub struct PendingRequests {
    maps: [Mutex<Senders>; MAP_COUNT],
}

impl Default for PendingRequests {
    fn default() -> Self {
        Self {
            maps: std::array::from_fn(|_| Mutex::default()),
        }
    }
}

impl PendingRequests {
    /// Registers a request and returns its event queue.
    pub fn register(&self, correlation: CorrelationId) -> mpsc::UnboundedReceiver<RequestEvent> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.senders(correlation).insert(correlation, sender);
        receiver
    }

    /// Unregisters a request. Events that arrive later are dropped.
    pub fn remove(&self, correlation: CorrelationId) {
        self.senders(correlation).remove(&correlation);
    }

    /// Sends an event to the request it belongs to. Does nothing if the request has ended.
    pub fn deliver(&self, correlation: CorrelationId, event: RequestEvent) {
        if let Some(sender) = self.senders(correlation).get(&correlation) {
            let _request_ended = sender.send(event);
        }
    }

    /// Notifies all requests that a session ended.
    pub fn on_session_lost(&self, session: SessionId) {
        for map in &self.maps {
            let senders = map.lock().unwrap_or_else(PoisonError::into_inner);
            for sender in senders.values() {
                let _request_ended = sender.send(RequestEvent::SessionLost(session));
            }
        }
    }

    fn senders(&self, correlation: CorrelationId) -> MutexGuard<'_, Senders> {
        let ix = correlation as usize % MAP_COUNT;
        self.maps[ix].lock().unwrap_or_else(PoisonError::into_inner)
    }
}
