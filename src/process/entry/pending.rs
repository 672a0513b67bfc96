//! Requests that wait for results of leaves, by correlation number.

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

/// Number of independent maps. Requests on different threads rarely meet at the same one.
const MAP_COUNT: usize = 64;

/// What happens to one request.
#[derive(Debug)]
pub enum RequestEvent {
    /// The result of a part arrived on a session.
    PartResult(SessionId, PartResult),
    /// A leaf answered a request for a ticket.
    TicketReply(SessionId, TicketReply),
    /// A leaf answered a submission.
    SubmitReply(SessionId, SubmitReply),
    /// A session ended.
    SessionLost(SessionId),
}

type Senders = HashMap<CorrelationId, mpsc::UnboundedSender<RequestEvent>>;

/// Requests that wait. The queue of a request is not bounded itself, but holds at most one result for each attempt sent.
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
    /// Registers a request and returns its queue.
    pub fn register(&self, correlation: CorrelationId) -> mpsc::UnboundedReceiver<RequestEvent> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.senders(correlation).insert(correlation, sender);
        receiver
    }

    /// Forgets a request. Results that come later are dropped.
    pub fn remove(&self, correlation: CorrelationId) {
        self.senders(correlation).remove(&correlation);
    }

    /// Gives an event to its request.
    pub fn deliver(&self, correlation: CorrelationId, event: RequestEvent) {
        if let Some(sender) = self.senders(correlation).get(&correlation) {
            let _request_ended = sender.send(event);
        }
    }

    /// Tells all requests that a session ended.
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
