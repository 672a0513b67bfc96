//! Progress of the request of a ticket: submission, dispatch, cancellation and outcome.

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

/// Retry-after time when too many requests wait for one ticket.
const WAITER_LIMIT_RETRY_AFTER: Duration = Duration::from_millis(100);

impl TicketRegistry {
    /// Takes a submission. Work that was not seen before is admitted, a repeat joins or gets the recorded outcome.
    ///
    /// `ready` tells whether the leaf may queue new work for the searcher of the ticket; an error (no connections,
    /// draining, unknown searcher) refuses a ticket that was not used yet, for good. Repeats are answered in any case. A
    /// leaf that is no longer the owner but still holds connections should stay ready for the tickets that it issued.
    ///
    /// # Errors
    ///
    /// Returns why the submission was rejected. The reply, with outcome unknown, is among the actions.
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

    /// Finds the ticket of a submission among those remembered and binds it to the content of the submission.
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

    /// Ends queued work whose deadline has passed.
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
            // A session that uses one number for two tickets breaks the protocol; the second one is not dispatched.
            actions.push(rejection_reply(waiter, Rejection::Conflict));
            return;
        }
        // A ticket past its lifetime gets a deadline in the past, and is refused below like any expired request.
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

    /// Asks for leave to write the work to a backend server. `true` records the dispatch, and the caller must write at
    /// once and then report [`TicketRegistry::on_reply`] or [`TicketRegistry::on_connection_lost`]. With `false` the work must be dropped; it
    /// was withdrawn, was dispatched before, or its deadline passed while it was queued or the process paused.
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

    /// Takes the report that a lane refused or dropped the work before its dispatch, which is proof that it did not run.
    /// After [`TicketRegistry::dispatch`] it is no proof, and the outcome becomes unknown.
    pub fn on_refused(&mut self, id: WorkId, reason: RefusalReason, retry_after: Duration, actions: &mut Vec<Action>) {
        match self.state_of(id) {
            Some(State::Queued { .. }) => self.finish(id.sequence, Outcome::NotRun { reason, retry_after }, actions),
            Some(State::Running { .. }) => self.on_connection_lost(id, actions),
            Some(State::Idle | State::Done(_)) | None => {}
        }
    }

    /// Takes the reply of the backend server to dispatched work.
    ///
    /// A status in 200 to 299 means that it ran. Only the server's own word that it did not start is proof of the
    /// opposite; any other status leaves the outcome unknown.
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

    /// Takes the report that the connection failed after [`TicketRegistry::dispatch`], before a complete reply was read. The
    /// request may have run, also when the write itself failed.
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

    /// Takes the cancellation of a submission. Queued work ends as not run, for good and for everyone who waits for the
    /// ticket. Dispatched work goes on, since its outcome can still be learnt.
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

    /// Takes the end of a session. Queued work for which no one else waits is withdrawn. As no one was told an outcome,
    /// its ticket can be used again through another entry.
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

/// Makes the reply to a submission that is neither admitted nor known. Unknown is the only truthful outcome: the ticket
/// may have been dispatched by the leaf that it names, or before it was forgotten.
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

/// Returns the reason that callers see for a refusal of a backend server.
const fn refusal_reason(status: u16) -> RefusalReason {
    match status {
        499 => RefusalReason::Cancelled,
        503 => RefusalReason::Shedding,
        504 => RefusalReason::Expired,
        _ => RefusalReason::Unspecified,
    }
}
