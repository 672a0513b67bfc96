//! Model of the leaf and the searcher around one lane. It tracks the actual state of connections and work, and checks
//! each action against the invariants.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use pimentoflow::connection::lane::Lane;
use pimentoflow::connection::lane::work::Action;
use pimentoflow::connection::lane::work::HANDOVER_PERIOD;
use pimentoflow::connection::lane::work::LaneConfig;
use pimentoflow::connection::lane::work::OpenFailure;
use pimentoflow::connection::lane::work::Outcome;
use pimentoflow::connection::lane::work::Refusal;
use pimentoflow::connection::lane::work::Reply;
use pimentoflow::connection::lane::work::ReplyResult;
use pimentoflow::connection::lane::work::Work;
use pimentoflow::connection::share::Role;
use pimentoflow::connection::share::Share;
use pimentoflow::version::tables::Claims;
use pimentoflow::wire::proto::Class;
use pimentoflow::wire::proto::RefusalReason;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use self::step::Step;

mod invariants;
mod step;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Usage {
    Opening,
    Idle,
    Work(u64),
    Control,
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    usage: Usage,
    closing: bool,
}

#[derive(Debug)]
struct Item {
    work: Work,
    dispatches: u32,
    /// Whether the server or the transport proved that the dispatched request did not run.
    proved_not_run: bool,
    outcomes: Vec<Outcome>,
}

/// Model of one lane and its surroundings. See the module documentation.
#[derive(Debug)]
pub struct Model {
    pub lane: Lane,
    pub now: Instant,
    slots: u32,
    share: Share,
    role: Role,
    handover_until: Option<Instant>,
    draining: bool,
    suspended: bool,
    connections: IndexMap<u64, Connection>,
    items: IndexMap<u64, Item>,
    pub actions: Vec<Action>,
}

impl Model {
    pub fn new(slots: u32, cap: u32, capacity: usize) -> Self {
        let claims = Claims {
            tolerated_views: 4,
            remote_reserve: 4,
        };
        let share = Share::from_cap(slots, cap, claims).expect("the caps of the tests are large enough");
        let config = LaneConfig {
            slots,
            share,
            queue_capacity: capacity,
            routine_share: 0.05,
            handover_period: HANDOVER_PERIOD,
        };
        let now = Instant::now();
        Self {
            lane: Lane::new(config, SmallRng::seed_from_u64(1), now),
            now,
            slots,
            share,
            role: Role::None,
            handover_until: None,
            draining: false,
            suspended: false,
            connections: IndexMap::new(),
            items: IndexMap::new(),
            actions: Vec::new(),
        }
    }

    /// Creates an owner whose connections are all open and whose limit has reached the slots.
    pub fn warm(slots: u32, capacity: usize) -> Self {
        let mut model = Self::new(slots, 30, capacity);
        model.step(Step::Role {
            role: 1,
            handover: false,
        });
        for _ in 0..slots + 2 {
            model.step(Step::Opened(0));
        }
        for _ in 0..4 * slots {
            model.offer(Class::Urgent, 1000, true);
            model.step(Step::Reply {
                pick: 0,
                ms: 20,
                kind: 0,
                draining: false,
            });
        }
        assert_eq!(model.lane.state(model.now).limit, slots);
        model
    }

    /// Offers work that needs a slot and returns its identifier.
    pub fn offer(&mut self, class: Class, ms: u64, idempotent: bool) -> u64 {
        let id = self.items.len() as u64;
        let deadline = self.now + Duration::from_millis(ms);
        self.offer_work(Work {
            id,
            class,
            deadline,
            idempotent,
            slotted: true,
            fallback: false,
        });
        id
    }

    /// Returns the result of an item, if it has ended.
    pub fn outcome(&self, id: u64) -> Option<Outcome> {
        self.items[&id].outcomes.first().copied()
    }

    /// Returns the refusal of an item, if it was refused.
    pub fn refusal(&self, id: u64) -> Option<Refusal> {
        match self.outcome(id)? {
            Outcome::Refused(refusal) => Some(refusal),
            Outcome::Answered => None,
        }
    }

    /// Returns the position, among all connections, of the first that carries work.
    pub fn busy_position(&self) -> u8 {
        let position = self
            .connections
            .values()
            .position(|c| matches!(c.usage, Usage::Work(_)));
        position.expect("a request is in flight") as u8
    }

    /// Closes all idle connections as if the server had dropped them.
    pub fn close_idle(&mut self) {
        while let Some(position) = self.connections.values().position(|c| c.usage == Usage::Idle) {
            let pick = position as u8;
            self.step(Step::Closed { pick, written: false });
        }
    }

    /// Returns the number of connections that the lane has asked to close.
    pub fn closing(&self) -> usize {
        self.connections.values().filter(|c| c.closing).count()
    }

    /// Returns the number of requests at the searcher.
    pub fn in_flight(&self) -> u32 {
        let slotted = |c: &&Connection| matches!(c.usage, Usage::Work(id) if self.items[&id].work.slotted);
        self.connections.values().filter(slotted).count() as u32
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Offer {
                urgent,
                ms,
                idempotent,
                unslotted,
                fallback,
            } => {
                let class = if urgent { Class::Urgent } else { Class::Routine };
                let id = self.items.len() as u64;
                let deadline = self.now + Duration::from_millis(u64::from(ms) * 4);
                self.offer_work(Work {
                    id,
                    class,
                    deadline,
                    idempotent,
                    slotted: !unslotted,
                    fallback,
                });
            }
            Step::Cancel(pick) => {
                if let Some((id, _)) = self.items.get_index(usize::from(pick) % self.items.len().max(1)) {
                    let id = *id;
                    self.lane.on_cancel(id, self.now, &mut self.actions);
                }
            }
            Step::Opened(pick) => self.opened(pick),
            Step::OpenFailed { pick, cap } => self.open_failed(pick, cap),
            Step::Closed { pick, written } => self.closed(pick, written),
            Step::Reply {
                pick,
                ms,
                kind,
                draining,
            } => self.reply(pick, ms, kind, draining),
            Step::CancelReply(pick) => {
                if let Some(id) = self.select(pick, |usage| usage == Usage::Control) {
                    self.connections[&id].usage = Usage::Idle;
                    self.lane.on_cancel_reply(id, self.now, &mut self.actions);
                }
            }
            Step::Role { role, handover } => self.change_role(role, handover),
            Step::Draining => {
                self.draining = true;
                self.lane.on_draining(self.now, &mut self.actions);
            }
            Step::Returned => {
                self.draining = false;
                self.lane.on_returned(self.now, &mut self.actions);
            }
            Step::Advance(ms) => {
                self.now += Duration::from_millis(u64::from(ms));
                self.lane.on_tick(None, self.now, &mut self.actions);
            }
            Step::Pause => {
                self.now += Duration::from_millis(900);
                self.suspended = true;
            }
            Step::Confirm => {
                let gap = self.suspended.then_some(Duration::from_millis(900));
                self.lane.on_tick(gap, self.now, &mut self.actions);
                self.check();
                self.suspended = false;
                self.lane.on_views_confirmed(self.now, &mut self.actions);
            }
        }
        self.check();
        self.check_excess();
        let wakeup = self.lane.next_wakeup();
        let live = !self.suspended;
        assert!(
            !live || wakeup.is_none_or(|at| at > self.now),
            "the next wakeup must be in the future after {step:?}"
        );
    }

    /// Closes the lane and checks that each item has exactly one final result.
    pub fn end(&mut self) {
        self.lane.on_close(self.now, &mut self.actions);
        self.check();
        for (id, item) in &self.items {
            assert_eq!(item.outcomes.len(), 1, "item {id} must end exactly once: {item:?}");
        }
    }

    fn offer_work(&mut self, work: Work) {
        let item = Item {
            work,
            dispatches: 0,
            proved_not_run: false,
            outcomes: Vec::new(),
        };
        self.items.insert(work.id, item);
        self.lane.on_work(work, self.now, &mut self.actions);
        self.check();
    }

    /// Returns the connection with index `pick`, modulo their number, among those whose usage matches.
    fn select(&self, pick: u8, predicate: impl Fn(Usage) -> bool) -> Option<u64> {
        let ids: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, c)| predicate(c.usage))
            .map(|(id, _)| *id)
            .collect();
        ids.get(usize::from(pick) % ids.len().max(1)).copied()
    }

    /// Reports to the lane that a connection was opened.
    fn opened(&mut self, pick: u8) {
        if let Some(id) = self.select(pick, |usage| usage == Usage::Opening) {
            self.connections[&id].usage = Usage::Idle;
            self.lane.on_opened(id, self.now, &mut self.actions);
        }
    }

    /// Reports to the lane that a connection could not be opened.
    fn open_failed(&mut self, pick: u8, cap: bool) {
        if let Some(id) = self.select(pick, |usage| usage == Usage::Opening) {
            self.connections.swap_remove(&id);
            let failure = if cap {
                OpenFailure::CapReached
            } else {
                OpenFailure::Unreachable
            };
            self.lane.on_open_failed(id, failure, self.now, &mut self.actions);
        }
    }

    /// Reports to the lane that a connection was lost. `written` is whether a request may have reached the server.
    fn closed(&mut self, pick: u8, written: bool) {
        let Some(id) = self.select(pick, |_| true) else {
            return;
        };
        let connection = self.connections.swap_remove(&id).expect("the connection was picked");
        if let Usage::Work(work) = connection.usage {
            self.items[&work].proved_not_run = !written;
        }
        self.lane.on_closed(id, written, self.now, &mut self.actions);
    }

    /// Delivers the reply to a request. `kind` selects an answer or the reason of a refusal.
    fn reply(&mut self, pick: u8, ms: u8, kind: u8, draining: bool) {
        let Some(id) = self.select(pick, |usage| matches!(usage, Usage::Work(_))) else {
            return;
        };
        let Usage::Work(work) = self.connections[&id].usage else {
            return;
        };
        let not_started = kind & 4 != 0;
        let reasons = [
            RefusalReason::Shedding,
            RefusalReason::SnapshotGone,
            RefusalReason::Cancelled,
        ];
        let result = match kind % 4 {
            0 => ReplyResult::Answered {
                service_time: Duration::from_millis(u64::from(ms)),
            },
            n => ReplyResult::Refused {
                reason: reasons[usize::from(n) - 1],
                not_started,
                retry_after: Duration::from_millis(u64::from(ms)),
            },
        };
        self.items[&work].proved_not_run = !kind.is_multiple_of(4) && not_started;
        self.draining |= draining;
        self.connections[&id].usage = Usage::Idle;
        self.lane
            .on_reply(id, Reply { result, draining }, self.now, &mut self.actions);
    }

    fn change_role(&mut self, role: u8, handover: bool) {
        let roles = [Role::None, Role::Owner, Role::Successor, Role::Remote];
        self.role = roles[usize::from(role) % roles.len()];
        if self.role == Role::Owner && handover {
            self.handover_until = Some(self.now + HANDOVER_PERIOD);
        }
        self.lane.on_role(self.role, handover, self.now, &mut self.actions);
    }
}
