//! Event loop of a lane: passes inputs to the [`Lane`] and executes the actions that it returns.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use indexmap::IndexMap;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::connection::backend::BackendRequest;
use crate::connection::backend::BackendResponse;
use crate::connection::lane::Lane;
use crate::connection::lane::work as lane_work;
use crate::connection::lane::work::Action;
use crate::connection::lane::work::Counters;
use crate::connection::lane::work::LaneState;
use crate::connection::lane::work::Outcome;
use crate::connection::lane::work::WorkId;
use crate::connection::pool::ConnectionId;
use crate::ids::SnapshotId;
use crate::process::leaf::connections::ConnectionEvent;
use crate::process::leaf::connections::ConnectionHandle;
use crate::process::leaf::lanes::LaneContext;
use crate::process::leaf::lanes::LaneEvent;
use crate::process::leaf::lanes::LaneInput;
use crate::process::leaf::lanes::reason_name;
use crate::process::leaf::lanes::requests::backend_request;
use crate::process::leaf::lanes::requests::lost_reply_refusal;
use crate::process::leaf::lanes::requests::not_sent_result;
use crate::process::leaf::lanes::requests::reply_result;
use crate::process::leaf::work::Origin;
use crate::process::leaf::work::Payload;
use crate::process::leaf::work::WorkItem;
use crate::process::leaf::work::WorkResult;
use crate::process::metrics::ReasonLabel;
use crate::process::metrics::SearcherLabel;
use crate::wire::proto::RefusalReason;

/// Remaining time stated in a cancellation request.
const CANCEL_REMAINING: Duration = Duration::from_secs(1);

/// State of one lane task.
pub(super) struct LaneTask {
    lane: Lane,
    context: LaneContext,
    inputs: mpsc::Sender<LaneInput>,
    connections: IndexMap<ConnectionId, ConnectionHandle>,
    items: IndexMap<WorkId, Box<WorkItem>>,
    /// Request that awaits a reply on each busy connection.
    in_flight: IndexMap<ConnectionId, InFlight>,
    /// Reply that is being processed, with the work that it belongs to.
    reply: Option<(WorkId, BackendResponse)>,
    /// Snapshots in the last `SnapshotsChanged` event that was sent to the leaf.
    held: Vec<SnapshotId>,
    /// Counters already added to the metrics.
    recorded: Counters,
    state_sender: watch::Sender<Option<LaneState>>,
    suspended: bool,
    closed: bool,
}

#[derive(Debug, Clone, Copy)]
enum InFlight {
    Work { work: WorkId, sent: Instant },
    Cancel,
}

impl LaneTask {
    pub(super) fn new(
        lane: Lane,
        context: LaneContext,
        inputs: mpsc::Sender<LaneInput>,
        state_sender: watch::Sender<Option<LaneState>>,
    ) -> Self {
        Self {
            lane,
            context,
            inputs,
            connections: IndexMap::new(),
            items: IndexMap::new(),
            in_flight: IndexMap::new(),
            reply: None,
            held: Vec::new(),
            recorded: Counters::default(),
            state_sender,
            suspended: false,
            closed: false,
        }
    }

    pub(super) async fn run(mut self, mut inputs: mpsc::Receiver<LaneInput>) {
        let timer = self.context.timer.clone();
        while !self.closed {
            let wakeup = self.lane.next_wakeup();
            let input = tokio::select! {
                input = inputs.recv() => input,
                () = timer.sleep_until(wakeup) => None,
            };
            let now = timer.now();
            let mut actions = Vec::new();
            match input {
                Some(input) => self.on_input(input, now, &mut actions),
                None => self.lane.on_tick(None, now, &mut actions),
            }
            self.execute(actions, now);
            self.reply = None;
            self.publish(now);
        }
        self.state_sender.send_replace(None);
    }

    fn on_input(&mut self, input: LaneInput, now: Instant, actions: &mut Vec<Action>) {
        match input {
            LaneInput::Offer(item) => {
                let work = item.work;
                self.items.insert(work.id, item);
                self.lane.on_work(work, now, actions);
            }
            LaneInput::Cancel(work) => self.lane.on_cancel(work, now, actions),
            LaneInput::Role { role, handover } => {
                debug!(self.context.log, "lane_role"; "role" => role.as_str(), "handover" => handover);
                self.lane.on_role(role, handover, now, actions);
            }
            LaneInput::Limits { share, routine_share } => self.lane.on_limits(share, routine_share, now, actions),
            LaneInput::SearcherLeaving => self.lane.on_draining(now, actions),
            LaneInput::SearcherReturned => self.lane.on_returned(now, actions),
            LaneInput::ViewConfirmed => self.lane.on_views_confirmed(now, actions),
            LaneInput::Connection { id, event } => self.on_connection(id, event, now, actions),
            LaneInput::Close => {
                self.lane.on_close(now, actions);
                self.closed = true;
            }
        }
    }

    fn on_connection(&mut self, id: ConnectionId, event: ConnectionEvent, now: Instant, actions: &mut Vec<Action>) {
        match event {
            ConnectionEvent::Opened { started, reply } => {
                self.update_held(&reply.held_snapshots);
                let searcher = self.context.searcher.clone();
                let event = if reply.draining {
                    self.lane.on_draining(now, actions);
                    LaneEvent::Leaving(searcher)
                } else {
                    LaneEvent::Usable(searcher, started)
                };
                let _queue_full = self.context.events.try_send(event);
                self.lane.on_opened(id, now, actions);
            }
            ConnectionEvent::OpenFailed(failure) => {
                self.connections.shift_remove(&id);
                debug!(self.context.log, "open_failed"; "failure" => ?failure);
                self.lane.on_open_failed(id, failure, now, actions);
            }
            ConnectionEvent::Replied(reply) => self.on_reply(id, reply, now, actions),
            ConnectionEvent::Closed { written } => {
                self.connections.shift_remove(&id);
                self.in_flight.shift_remove(&id);
                self.lane.on_closed(id, written, now, actions);
            }
        }
    }

    fn on_reply(&mut self, id: ConnectionId, reply: BackendResponse, now: Instant, actions: &mut Vec<Action>) {
        match self.in_flight.shift_remove(&id) {
            Some(InFlight::Work { work, sent }) => {
                let result = reply_result(&reply, now.saturating_duration_since(sent));
                let draining = reply.draining;
                self.update_held(&reply.held_snapshots);
                if draining {
                    let _queue_full = self
                        .context
                        .events
                        .try_send(LaneEvent::Leaving(self.context.searcher.clone()));
                }
                self.reply = Some((work, reply));
                let reply = lane_work::Reply { result, draining };
                self.lane.on_reply(id, reply, now, actions);
            }
            Some(InFlight::Cancel) => self.lane.on_cancel_reply(id, now, actions),
            None => warn!(self.context.log, "unexpected_reply"; "connection" => id),
        }
    }

    /// Reports a changed set of snapshots to the leaf, which tells all entries, also those without requests to this
    /// searcher.
    fn update_held(&mut self, held: &[SnapshotId]) {
        if held.is_empty() || held == self.held {
            return;
        }
        let event = LaneEvent::SnapshotsChanged(self.context.searcher.clone(), held.to_vec());
        // When the channel is full, the next reply is compared with the old set and reports the change.
        if self.context.events.try_send(event).is_ok() {
            self.held = held.to_vec();
        }
    }

    fn execute(&mut self, actions: Vec<Action>, now: Instant) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Open { connection } => self.open(connection),
                Action::Close { connection } => drop(self.connections.shift_remove(&connection)),
                Action::Dispatch {
                    connection,
                    work,
                    remaining,
                } => {
                    let mut follow_ups = Vec::new();
                    self.dispatch(connection, work, remaining, now, &mut follow_ups);
                    actions.extend(follow_ups);
                }
                Action::SendCancel { connection, work } => self.send_cancel(connection, work),
                Action::Finish { work, outcome } => self.finish(work, outcome, now),
                Action::CloseAll => self.connections.clear(),
            }
        }
    }

    fn open(&mut self, connection: ConnectionId) {
        self.context.metrics.connections_opened.inc();
        let handle = ConnectionHandle::open(connection, self.context.address, self.inputs.clone());
        self.connections.insert(connection, handle);
    }

    fn dispatch(
        &mut self,
        connection: ConnectionId,
        work: WorkId,
        remaining: Duration,
        now: Instant,
        follow_ups: &mut Vec<Action>,
    ) {
        let Some(item) = self.items.get(&work) else { return };
        if let Origin::Submission { submissions, id } = &item.origin
            && !submissions.begin_dispatch(*id, now)
        {
            let reply = lane_work::Reply {
                result: not_sent_result(),
                draining: false,
            };
            self.lane.on_reply(connection, reply, now, follow_ups);
            return;
        }
        let request = backend_request(&item.payload, self.attempt_id(work), remaining);
        self.in_flight.insert(connection, InFlight::Work { work, sent: now });
        // A closed connection sends its own `Closed` event, which says that nothing was written.
        let _sent = self
            .connections
            .get(&connection)
            .is_some_and(|handle| handle.send(request));
    }

    /// Returns the request ID of an attempt at the backend server. A cancellation may be sent after the item of a
    /// search was removed.
    fn attempt_id(&self, work: WorkId) -> String {
        match self.items.get(&work).map(|item| &item.payload) {
            Some(Payload::Submit { attempt, .. }) => attempt.to_string(),
            Some(Payload::Search { .. }) | None => format!("{}-{work:x}", self.context.id_prefix),
        }
    }

    fn send_cancel(&mut self, connection: ConnectionId, work: WorkId) {
        let request = BackendRequest {
            method: Method::DELETE,
            path: format!("/v1/requests/{}", self.attempt_id(work)).into(),
            id: format!("cancel-{work}").into(),
            remaining: CANCEL_REMAINING,
            snapshot: None,
            body: Bytes::new(),
        };
        self.in_flight.insert(connection, InFlight::Cancel);
        let _sent = self
            .connections
            .get(&connection)
            .is_some_and(|handle| handle.send(request));
    }

    fn finish(&mut self, work: WorkId, outcome: Outcome, now: Instant) {
        let Some(item) = self.items.shift_remove(&work) else {
            return;
        };
        let reply = self
            .reply
            .take_if(|(replied, _)| *replied == work)
            .map(|(_, reply)| reply);
        let held = reply
            .as_ref()
            .map(|reply| reply.held_snapshots.clone())
            .unwrap_or_default();
        let result = match (outcome, reply) {
            (Outcome::Answered, Some(reply)) => WorkResult::Answered(reply),
            (Outcome::Answered, None) => WorkResult::Refused {
                refusal: lost_reply_refusal(),
                reply: None,
            },
            (Outcome::Refused(refusal), reply) => {
                self.record_refusal(refusal.reason);
                WorkResult::Refused { refusal, reply }
            }
        };
        item.origin.finish(result, self.lane.state(now), held);
    }

    /// Adds the increments of the lane counters since the last call to the metrics.
    fn record_counters(&mut self) {
        let now = self.lane.counters();
        let before = std::mem::replace(&mut self.recorded, now);
        let events = [
            ("dispatched", now.dispatched.saturating_sub(before.dispatched)),
            ("waited", now.connection_waits.saturating_sub(before.connection_waits)),
            ("cancels", now.cancels.saturating_sub(before.cancels)),
            ("cap_refusals", now.cap_refusals.saturating_sub(before.cap_refusals)),
            ("pauses", now.pauses.saturating_sub(before.pauses)),
        ];
        for (reason, count) in events.into_iter().filter(|(_, count)| *count > 0) {
            let label = ReasonLabel { reason };
            self.context.metrics.lane_events.get_or_create(&label).inc_by(count);
        }
    }

    fn record_refusal(&self, reason: RefusalReason) {
        let label = ReasonLabel {
            reason: reason_name(reason),
        };
        self.context.metrics.refusals.get_or_create(&label).inc();
    }

    fn publish(&mut self, now: Instant) {
        let state = self.lane.state(now);
        let previous = self.state_sender.send_replace(Some(state));
        let queued = i64::from(state.queued) - previous.map_or(0, |state| i64::from(state.queued));
        self.context.metrics.queued.inc_by(queued);
        let open = i64::from(state.open);
        let limit = i64::from(state.limit);
        let before = previous.map(|state| (i64::from(state.open), i64::from(state.limit)));
        if before != Some((open, limit)) {
            let label = SearcherLabel {
                searcher: self.context.searcher.to_string(),
            };
            self.context.metrics.connections.get_or_create(&label).set(open);
            self.context.metrics.limit.get_or_create(&label).set(limit);
        }
        self.record_counters();
        let suspended = self.lane.is_suspended();
        if suspended && !self.suspended {
            info!(self.context.log, "lane_suspended"; "searcher" => &*self.context.searcher);
        }
        if suspended {
            let _queue_full = self.context.events.try_send(LaneEvent::Suspended);
        }
        self.suspended = suspended;
    }
}
