//! Lifecycle of the request of a ticket: submission, dispatch, cancellation and outcome.

use std::time::Duration;
use std::time::Instant;

use crate::ids::CorrelationId;
use crate::process::tickets::Action;
use crate::process::tickets::BackendReply;
use crate::process::tickets::MAX_WAITERS;
use crate::process::tickets::Rejection;
use crate::process::tickets::SessionId;
use crate::process::tickets::TicketRegistry;
use crate::process::tickets::Waiter;
use crate::process::tickets::Work;
use crate::process::tickets::WorkId;
use crate::process::tickets::content_digest;
use crate::process::tickets::record::Outcome;
use crate::process::tickets::record::State;
use crate::process::tickets::reply_action;
use crate::wire::proto::RefusalReason;
use crate::wire::proto::Submit;

/// Retry-after time if [`MAX_WAITERS`] requests wait for one ticket.
const WAITER_LIMIT_RETRY_AFTER: Duration = Duration::from_millis(100);

impl TicketRegistry {
    /// Handles a submission. The first one with a ticket is enqueued. A retry waits for the outcome, or receives it if
    /// it is already recorded.
    ///
    /// `ready` says whether the leaf can enqueue new work for the searcher of the ticket. On an error (no connections,
    /// draining, unknown searcher) a request that would have to be enqueued is refused permanently. Retries of queued,
    /// running and finished requests are handled in any case. A leaf that is no longer the owner but still holds
    /// connections should remain ready for the tickets that it issued.
    ///
    /// # Errors
    ///
    /// Returns the reason if the submission is rejected. `actions` then contains a reply with an unknown outcome.
    pub fn on_submit(
        &mut self,
        session: SessionId,
        submit: &Submit,
        ready: Result<(), RefusalReason>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Result<(), Rejection> {
        let waiter = Waiter {
            session,
            correlation: submit.correlation,
        };
        let result = self.find_ticket(submit);
        let sequence = result.inspect_err(|rejection| actions.push(rejection_reply(waiter, *rejection)))?;
        self.expire_queued(sequence, now, actions);
        let Some(record) = self.records.get_mut(&sequence) else {
            return Ok(());
        };
        match &record.state {
            State::Done(outcome) => {
                let reply = outcome.reply(submit.correlation, true);
                actions.push(reply_action(waiter, reply));
                Ok(())
            }
            State::Queued { .. } | State::Running { .. } => self.add_waiter(sequence, waiter, actions),
            State::Idle => {
                self.enqueue(sequence, waiter, submit, ready, now, actions);
                Ok(())
            }
        }
    }

    /// Looks up the ticket of a submission and binds it to the content of the submission at its first use.
    fn find_ticket(&mut self, submit: &Submit) -> Result<u64, Rejection> {
        let ticket = submit.ticket.as_ref().ok_or(Rejection::Forgotten)?;
        let issuer = (&*self.settings.instance, self.settings.incarnation);
        if (ticket.instance.as_str(), ticket.incarnation) != issuer {
            return Err(Rejection::Foreign);
        }
        let record = self.records.get_mut(&ticket.sequence).ok_or(Rejection::Forgotten)?;
        if *record.searcher != *ticket.searcher {
            return Err(Rejection::Foreign);
        }
        let digest = content_digest(submit.key, &submit.body);
        let bound = *record.digest.get_or_insert(digest);
        if bound != digest {
            return Err(Rejection::Conflict);
        }
        Ok(ticket.sequence)
    }

    /// Refuses the queued work of a ticket if its deadline has passed.
    fn expire_queued(&mut self, sequence: u64, now: Instant, actions: &mut Vec<Action>) {
        let state = self.records.get(&sequence).map(|record| &record.state);
        if let Some(State::Queued { deadline, .. }) = state
            && now >= *deadline
        {
            self.refuse_queued(sequence, RefusalReason::Expired, Duration::ZERO, actions);
        }
    }

    fn add_waiter(&mut self, sequence: u64, waiter: Waiter, actions: &mut Vec<Action>) -> Result<(), Rejection> {
        let record = self.records.get_mut(&sequence);
        let Some(waiters) = record.and_then(|record| record.waiters_mut()) else {
            return Ok(());
        };
        if self.waiting.contains_key(&waiter) {
            return Ok(());
        }
        if waiters.len() >= MAX_WAITERS {
            actions.push(rejection_reply(waiter, Rejection::Crowded));
            return Err(Rejection::Crowded);
        }
        waiters.push(waiter);
        self.waiting.insert(waiter, sequence);
        Ok(())
    }

    fn enqueue(
        &mut self,
        sequence: u64,
        waiter: Waiter,
        submit: &Submit,
        ready: Result<(), RefusalReason>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get_mut(&sequence) else {
            return;
        };
        if self.waiting.contains_key(&waiter) {
            // Using one correlation ID for two tickets violates the protocol. Do not dispatch the second one.
            actions.push(rejection_reply(waiter, Rejection::Conflict));
            return;
        }
        // A ticket past its lifetime gets a deadline in the past and is refused below like any expired request.
        let remaining = Duration::from_micros(submit.remaining_us);
        let deadline = now.checked_add(remaining).unwrap_or(record.usable_until);
        let deadline = deadline.min(record.usable_until);
        record.attempt += 1;
        record.state = State::Queued {
            deadline,
            waiters: vec![waiter],
        };
        let id = WorkId {
            sequence,
            attempt: record.attempt,
        };
        let searcher = record.searcher.clone();
        self.deadlines.insert((deadline, sequence));
        self.waiting.insert(waiter, sequence);
        let refusal = ready.err().or((deadline <= now).then_some(RefusalReason::Expired));
        if let Some(reason) = refusal {
            let retry_after = Duration::ZERO;
            self.finish(sequence, Outcome::NotRun { reason, retry_after }, actions);
            return;
        }
        let instance = &self.settings.instance;
        let incarnation = self.settings.incarnation;
        actions.push(Action::Enqueue(Work {
            id,
            dispatch_id: format!("{instance}-{incarnation}-{sequence}").into(),
            request_id: submit.request_id.as_str().into(),
            searcher,
            class: submit.class,
            deadline,
            shard: submit.shard.as_str().into(),
            key: submit.key,
            body: submit.body.clone(),
        }));
    }

    /// Records the dispatch of queued work to a backend server and returns whether it may be written.
    ///
    /// On `true`, write the work immediately and then call [`TicketRegistry::on_reply`] or
    /// [`TicketRegistry::on_connection_lost`]. On `false`, drop the work: it was withdrawn or already dispatched, or
    /// its deadline passed while it was queued or the process was paused.
    #[must_use]
    pub fn dispatch(&mut self, id: WorkId, now: Instant, actions: &mut Vec<Action>) -> bool {
        self.expire_queued(id.sequence, now, actions);
        let Some(record) = self.records.get_mut(&id.sequence) else {
            return false;
        };
        if record.attempt != id.attempt {
            return false;
        }
        let State::Queued { deadline, waiters } = &mut record.state else {
            return false;
        };
        self.deadlines.remove(&(*deadline, id.sequence));
        let waiters = std::mem::take(waiters);
        record.state = State::Running { waiters };
        self.running += 1;
        true
    }

    /// Handles the refusal of work by its lane. Before [`TicketRegistry::dispatch`], it proves that the work did not
    /// run. After the dispatch it proves nothing, and the outcome becomes unknown.
    pub fn on_refused(&mut self, id: WorkId, reason: RefusalReason, retry_after: Duration, actions: &mut Vec<Action>) {
        match self.state_of(id) {
            Some(State::Queued { .. }) => self.finish(id.sequence, Outcome::NotRun { reason, retry_after }, actions),
            Some(State::Running { .. }) => self.on_connection_lost(id, actions),
            Some(State::Idle | State::Done(_)) | None => {}
        }
    }

    /// Handles the reply of the backend server to dispatched work.
    ///
    /// A status from 200 to 299 means that the work ran. Only [`BackendReply::not_started`] proves that it did not run.
    /// With any other reply the outcome is unknown.
    pub fn on_reply(&mut self, id: WorkId, reply: BackendReply, actions: &mut Vec<Action>) {
        if !matches!(self.state_of(id), Some(State::Running { .. })) {
            return;
        }
        let outcome = if (200..300).contains(&reply.status) {
            Outcome::Executed {
                status: reply.status,
                body: reply.body,
            }
        } else if reply.not_started {
            Outcome::NotRun {
                reason: refusal_reason(reply.status),
                retry_after: reply.retry_after,
            }
        } else {
            Outcome::Unknown {
                reason: refusal_reason(reply.status),
                retry_after: reply.retry_after,
            }
        };
        self.finish(id.sequence, outcome, actions);
    }

    /// Handles the loss of the connection after [`TicketRegistry::dispatch`] and before a complete reply. The request
    /// may have run, even if the write failed.
    pub fn on_connection_lost(&mut self, id: WorkId, actions: &mut Vec<Action>) {
        if matches!(self.state_of(id), Some(State::Running { .. })) {
            let reason = RefusalReason::Unreachable;
            let retry_after = Duration::ZERO;
            self.finish(id.sequence, Outcome::Unknown { reason, retry_after }, actions);
        }
    }

    fn state_of(&self, id: WorkId) -> Option<&State> {
        let record = self.records.get(&id.sequence)?;
        (record.attempt == id.attempt).then_some(&record.state)
    }

    /// Handles the cancellation of a submission. Queued work ends permanently as not run, also for other requests that
    /// wait for the ticket. Dispatched work continues because its outcome can still become known.
    pub fn on_cancel(&mut self, session: SessionId, correlation: CorrelationId, actions: &mut Vec<Action>) {
        let waiter = Waiter { session, correlation };
        let Some(sequence) = self.waiting.get(&waiter).copied() else {
            return;
        };
        let queued = self.records.get(&sequence).is_some_and(|record| !record.is_running());
        if queued {
            self.refuse_queued(sequence, RefusalReason::Cancelled, Duration::ZERO, actions);
        }
    }

    /// Handles the end of a session. Queued work that no other request waits for is withdrawn. Its ticket can be used
    /// again through another entry because no outcome was reported.
    pub fn on_session_closed(&mut self, session: SessionId, actions: &mut Vec<Action>) {
        let closed = self.waiting.extract_if(|waiter, _| waiter.session == session);
        let mut closed: Vec<(u64, Waiter)> = closed.map(|(waiter, sequence)| (sequence, waiter)).collect();
        closed.sort_unstable_by_key(|(sequence, waiter)| (*sequence, waiter.correlation));
        for (sequence, waiter) in closed {
            self.remove_waiter(sequence, waiter, actions);
        }
    }

    fn remove_waiter(&mut self, sequence: u64, waiter: Waiter, actions: &mut Vec<Action>) {
        let Some(record) = self.records.get_mut(&sequence) else {
            return;
        };
        let Some(waiters) = record.waiters_mut() else {
            return;
        };
        waiters.retain(|other| *other != waiter);
        let abandoned = waiters.is_empty();
        if let State::Queued { deadline, .. } = record.state
            && abandoned
        {
            self.deadlines.remove(&(deadline, sequence));
            let attempt = record.attempt;
            record.state = State::Idle;
            actions.push(Action::Withdraw {
                id: WorkId { sequence, attempt },
                searcher: record.searcher.clone(),
            });
        }
    }
}

/// Creates the reply to a rejected submission. Its outcome is unknown because the ticket may have been dispatched by
/// the leaf that issued it, or before it was evicted.
fn rejection_reply(waiter: Waiter, rejection: Rejection) -> Action {
    let (reason, retry_after) = match rejection {
        Rejection::Foreign => (RefusalReason::NotOwner, Duration::ZERO),
        Rejection::Forgotten => (RefusalReason::Expired, Duration::ZERO),
        Rejection::Conflict => (RefusalReason::Unspecified, Duration::ZERO),
        Rejection::Crowded => (RefusalReason::QueueFull, WAITER_LIMIT_RETRY_AFTER),
    };
    let outcome = Outcome::Unknown { reason, retry_after };
    reply_action(waiter, outcome.reply(waiter.correlation, false))
}

/// Maps the status of a backend server's reply to the refusal reason that is reported to callers.
const fn refusal_reason(status: u16) -> RefusalReason {
    match status {
        499 => RefusalReason::Cancelled,
        503 => RefusalReason::Shedding,
        504 => RefusalReason::Expired,
        _ => RefusalReason::Unspecified,
    }
}
