//! Invariants that each action of a lane must keep.

use pimentoflow::connection::lane::work::Action;
use pimentoflow::connection::lane::work::Outcome;
use pimentoflow::connection::share::Role;

use super::Connection;
use super::Model;
use super::Usage;

impl Model {
    /// Applies the actions to the model and checks each against the invariants.
    pub fn check(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Open { connection } => self.check_open(connection),
                Action::Close { connection } => {
                    let state = self
                        .connections
                        .get_mut(&connection)
                        .expect("only held connections are closed");
                    assert!(
                        !std::mem::replace(&mut state.closing, true),
                        "a connection is closed once"
                    );
                }
                Action::Dispatch { connection, work, .. } => self.check_dispatch(connection, work),
                Action::SendCancel { connection, work } => {
                    let runs = self.connections.values().any(|c| c.usage == Usage::Work(work));
                    assert!(runs, "only a request in flight is cancelled");
                    self.occupy(connection, Usage::Control);
                }
                Action::Finish { work, outcome } => self.check_finish(work, outcome),
                Action::CloseAll => self.connections.clear(),
            }
        }
    }

    /// Checks that without a role, and while the searcher is leaving, at most one idle connection is kept besides those
    /// in use, plus one for each request whose connection is being closed.
    pub(super) fn check_excess(&self) {
        if self.share.connections(self.role) > 0 && !self.draining {
            return;
        }
        let busy = self.connections.values().filter(|c| matches!(c.usage, Usage::Work(_)));
        let (closing, used): (Vec<&Connection>, Vec<&Connection>) = busy.partition(|c| c.closing);
        let kept = closing.len() + usize::from(!used.is_empty() || !closing.is_empty());
        let free = |c: &&Connection| !c.closing && matches!(c.usage, Usage::Idle | Usage::Opening);
        let free = self.connections.values().filter(free).count();
        assert!(free <= kept, "{free} unused connections are kept as {:?}", self.role);
    }

    fn check_open(&mut self, connection: u64) {
        let state = Connection {
            usage: Usage::Opening,
            closing: false,
        };
        assert!(
            self.connections.insert(connection, state).is_none(),
            "connection identifiers are not reused"
        );
        let held = self.connections.len() as u32;
        assert!(
            held <= self.share.connections(self.role),
            "{held} connections exceed the share as {:?}",
            self.role
        );
        assert!(!self.draining, "no connection is opened to a searcher that is leaving");
        assert!(!self.suspended, "no connection is opened on an outdated view");
    }

    fn check_dispatch(&mut self, connection: u64, id: u64) {
        self.occupy(connection, Usage::Work(id));
        let in_flight = self.in_flight();
        let single_slot = self.role != Role::Owner || self.handover_until.is_some_and(|until| self.now < until);
        let item = &mut self.items[&id];
        item.dispatches += 1;
        assert_eq!(item.dispatches, 1, "an item is dispatched at most once");
        assert!(item.outcomes.is_empty(), "an item that has ended is not dispatched");
        assert!(
            item.work.deadline > self.now,
            "nothing is dispatched after its deadline"
        );
        assert!(!self.draining, "nothing is dispatched while the searcher is leaving");
        assert!(
            !self.suspended,
            "nothing is dispatched after a pause before the views are confirmed"
        );
        assert!(self.role != Role::None, "nothing is dispatched without a role");
        if item.work.slotted {
            assert!(in_flight <= self.slots, "{in_flight} requests exceed the slots");
            assert!(
                !single_slot || in_flight == 1,
                "only one slot may be used as {:?} or in the handover period",
                self.role
            );
        }
    }

    fn occupy(&mut self, connection: u64, usage: Usage) {
        let state = self
            .connections
            .get_mut(&connection)
            .expect("only held connections are used");
        assert_eq!(state.usage, Usage::Idle, "a connection carries one request at a time");
        assert!(!state.closing, "a connection that is being closed is not used");
        state.usage = usage;
    }

    fn check_finish(&mut self, id: u64, outcome: Outcome) {
        let item = &mut self.items[&id];
        item.outcomes.push(outcome);
        assert_eq!(item.outcomes.len(), 1, "an item ends once: {item:?}");
        if let Outcome::Refused(refusal) = outcome {
            let may_have_run = item.dispatches > 0 && !item.proved_not_run;
            assert!(
                refusal.may_have_run || !may_have_run,
                "an item that may have run is reported as such: {item:?}"
            );
            assert!(
                !refusal.may_have_run || item.dispatches > 0,
                "an item that was never dispatched did not run: {item:?}"
            );
        }
    }
}
