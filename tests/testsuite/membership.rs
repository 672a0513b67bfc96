//! Tests of the membership: local observations correct the list, and signals spread the state of leaving searchers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::membership::Action;
use pimentoflow::process::membership::ItemKind;
use pimentoflow::process::membership::ListItem;
use pimentoflow::process::membership::Membership;
use pimentoflow::process::membership::PlatformList;
use pimentoflow::process::membership::Role;
use pimentoflow::process::membership::Settings;
use pimentoflow::process::membership::State;
use pimentoflow::process::membership::View;
use pimentoflow::wire::proto;
use pimentoflow::wire::proto::Hello;
use pimentoflow::wire::proto::Signals;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 7000);

fn listed(id: &str, kind: ItemKind, leaving: bool) -> ListItem {
    ListItem {
        id: id.into(),
        kind,
        data_centre: "dc-a".into(),
        address: ADDRESS.into(),
        leaving,
    }
}

/// Creates a list of leaves, and of the searcher s1 if `searcher_leaving` is set. Its value is whether the list marks
/// s1 as leaving.
fn list(version: u64, instances: &[&str], searcher_leaving: Option<bool>) -> PlatformList {
    let leaf = ItemKind::Instance(Role::Leaf);
    let mut entries: Vec<ListItem> = instances.iter().map(|id| listed(id, leaf, false)).collect();
    entries.extend(searcher_leaving.map(|leaving| listed("s1", ItemKind::Searcher, leaving)));
    PlatformList { version, entries }
}

fn hello(id: &str, incarnation: u64) -> Hello {
    Hello {
        protocol: 1,
        instance: id.into(),
        incarnation,
        data_centre: "dc-a".into(),
        role: proto::Role::Leaf.into(),
        revision: 1,
    }
}

/// One process with simulated time. Sent signals are collected.
struct Process {
    machine: Membership,
    now: Instant,
    view: Arc<View>,
    sent: Vec<(Box<str>, Signals)>,
    changes: Vec<State>,
}

impl Process {
    fn new(own: &str) -> Self {
        let now = Instant::now();
        let settings = Settings {
            instance: own.into(),
            role: Role::Leaf,
            data_centre: "dc-a".into(),
            address: ADDRESS.into(),
            incarnation: 1,
        };
        Self {
            machine: Membership::new(settings, SmallRng::seed_from_u64(7), now),
            now,
            view: Arc::default(),
            sent: Vec::new(),
            changes: Vec::new(),
        }
    }

    fn call(&mut self, change: impl FnOnce(&mut Membership, Instant, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        change(&mut self.machine, self.now, &mut actions);
        for action in actions {
            match action {
                Action::Publish(view) => {
                    if view.state("b") != self.view.state("b") {
                        self.changes.push(view.state("b"));
                    }
                    self.view = view;
                }
                Action::Send { to, signals } => self.sent.push((to, signals)),
            }
        }
    }

    /// Advances time in steps of 50 ms.
    fn wait(&mut self, time: Duration) {
        let step = Duration::from_millis(50);
        let end = self.now + time;
        while self.now < end {
            self.now += step;
            self.call(|machine, now, actions| machine.on_tick(now, None, actions));
        }
    }

    fn list(&mut self, list: PlatformList) {
        self.call(|machine, now, actions| machine.on_list(list, now, actions));
    }

    fn mark_leaving(&mut self, searcher: &str) {
        self.call(|machine, now, actions| machine.on_searcher_leaving(searcher, now, actions));
    }

    fn receive(&mut self, from: &str, signals: &Signals) {
        self.call(|machine, now, actions| machine.on_signals(from, signals, now, actions));
    }
}

/// Creates the process a, which has a session with the leaf b. The list also has the searcher s1, not marked as
/// leaving.
fn process_with_peer_up() -> Process {
    let mut process = Process::new("a");
    process.list(list(1, &["a", "b"], Some(false)));
    process.call(|machine, now, actions| machine.on_session_opened(&hello("b", 1), now, actions));
    process.wait(Duration::from_millis(100));
    assert_eq!(process.view.state("b"), State::Up);
    process
}

/// Guards against a process that trusts the delayed list over its own observations, in both directions.
#[test]
fn observations_correct_the_list_both_ways() {
    let mut process = process_with_peer_up();
    process.call(|machine, now, actions| machine.on_session_lost("b", now, actions));
    assert_eq!(process.view.state("b"), State::Suspect);
    process.wait(Duration::from_secs(4));
    assert_eq!(
        process.view.state("b"),
        State::Down,
        "an observed failure overrides the list"
    );
    process.call(|machine, now, actions| machine.on_session_opened(&hello("b", 2), now, actions));
    for _ in 0..20 {
        process.wait(Duration::from_millis(100));
        process.call(|machine, now, actions| machine.on_heard("b", now, actions));
    }
    assert_eq!(process.view.state("b"), State::Up);
    process.list(list(2, &["a"], None));
    process.wait(Duration::from_millis(500));
    assert_eq!(process.view.state("b"), State::Up, "the session is still open");
    process.list(list(1, &["a", "x"], None));
    assert_eq!(
        process.view.state("x"),
        State::Down,
        "a list with a lower version is ignored"
    );
}

/// Guards against flapping: a session that is lost and reopened about three times a second must not change the state
/// each time.
#[test]
fn an_unstable_session_does_not_flap() {
    let mut process = process_with_peer_up();
    process.changes.clear();
    for _ in 0..60 {
        process.call(|machine, now, actions| machine.on_session_lost("b", now, actions));
        process.wait(Duration::from_millis(150));
        process.call(|machine, now, actions| machine.on_session_opened(&hello("b", 1), now, actions));
        process.wait(Duration::from_millis(150));
    }
    assert!(process.changes.len() <= 2, "{:?}", process.changes);
}

/// Guards against a silent session that counts as up, and against a process that considers all peers down after it was
/// paused itself.
#[test]
fn silence_makes_a_peer_suspect_but_a_local_pause_does_not() {
    let mut process = process_with_peer_up();
    process.wait(Duration::from_secs(3));
    assert_eq!(process.view.state("b"), State::Suspect);
    let mut paused = process_with_peer_up();
    let gap = Duration::from_secs(30);
    paused.now += gap;
    paused.call(|machine, now, actions| machine.on_tick(now, Some(gap), actions));
    assert_eq!(paused.view.state("b"), State::Up);
}

/// Guards against the announced stop of a peer (`GoAway`) that is dropped while the list still shows the instance as
/// live, and against one that blocks its next incarnation.
#[test]
fn a_go_away_lasts_until_the_next_incarnation() {
    let mut process = process_with_peer_up();
    process.call(|machine, now, actions| machine.on_go_away("b", now, actions));
    assert_eq!(process.view.state("b"), State::Leaving);
    process.list(list(2, &["a", "b"], None));
    process.call(|machine, now, actions| machine.on_heard("b", now, actions));
    assert_eq!(process.view.state("b"), State::Leaving);
    process.call(|machine, now, actions| machine.on_session_opened(&hello("b", 2), now, actions));
    assert_eq!(process.view.state("b"), State::Up);
}

/// Guards against the return of a leaving searcher on outdated evidence: a reply in an exchange that started before the
/// sign of leaving, a list that still shows it as live, an older list, or a delayed signal.
#[test]
fn a_leaving_searcher_returns_only_on_newer_evidence() {
    let mut process = process_with_peer_up();
    let before = process.now;
    process.wait(Duration::from_millis(100));
    process.call(|machine, now, actions| machine.on_searcher_leaving("s1", now, actions));
    assert!(process.view.is_leaving("s1"));
    process.call(|machine, now, actions| machine.on_searcher_usable("s1", before, now, actions));
    process.list(list(2, &["a", "b"], Some(false)));
    assert!(
        process.view.is_leaving("s1"),
        "an unchanged list is no evidence of a return"
    );
    process.list(list(3, &["a", "b"], Some(true)));
    process.wait(Duration::from_secs(2));
    process.list(list(4, &["a", "b"], Some(false)));
    assert!(
        !process.view.is_leaving("s1"),
        "a newer list no longer marks it as leaving"
    );
    process.list(list(3, &["a", "b"], Some(true)));
    let stale = Signals {
        signals: vec![proto::Signal {
            kind: proto::SignalKind::SearcherLeaving.into(),
            subject: "s1".into(),
            incarnation: 1,
            age_us: 0,
            list_version: 3,
        }],
        ..Signals::default()
    };
    process.receive("b", &stale);
    assert!(!process.view.is_leaving("s1"), "a delayed signal is ignored");
    process.call(|machine, now, actions| machine.on_searcher_leaving("s1", now, actions));
    assert!(process.view.is_leaving("s1"));
    process.wait(Duration::from_secs(5));
    let now = process.now;
    process.call(|machine, _, actions| machine.on_searcher_usable("s1", now, now, actions));
    assert!(!process.view.is_leaving("s1"), "a later exchange proves it usable");
}

/// Guards against new work right after a pause: the view becomes current only after a reply to a probe sent since, or
/// after the maximum wait if no peer replies.
#[test]
fn a_view_is_not_current_after_a_pause_until_confirmed() {
    let mut process = process_with_peer_up();
    process.wait(Duration::from_secs(3));
    assert!(process.view.current);
    let gap = Duration::from_secs(8);
    process.now += gap;
    process.sent.clear();
    process.call(|machine, now, actions| machine.on_tick(now, Some(gap), actions));
    assert!(!process.view.current);
    let ask = process
        .sent
        .iter()
        .map(|(_, signals)| signals.ask)
        .find(|ask| *ask != 0);
    let ask = ask.expect("the process probes its peers");
    let reply = |answer, current| Signals {
        answer,
        current,
        ..Signals::default()
    };
    process.receive("b", &reply(0, true));
    process.receive("b", &reply(ask.wrapping_add(1), true));
    process.receive("b", &reply(ask, false));
    assert!(!process.view.current);
    process.receive("b", &reply(ask, true));
    assert!(process.view.current);
}

/// Guards against instances that disagree permanently about a searcher. Whatever the order of observations and
/// whichever messages are lost, one full exchange makes all states equal, and a later state is never replaced by an
/// earlier one.
#[test]
fn signals_converge_in_any_order() {
    property_check::check()
        .with_iterations(300)
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|steps| {
            let names = ["a", "b", "c"];
            let mut processes: Vec<Process> = names.iter().map(|name| Process::new(name)).collect();
            processes
                .iter_mut()
                .for_each(|process| process.list(list(1, &names, Some(false))));
            for (step, value) in steps {
                let at = usize::from(step % 3);
                let searcher = if value % 2 == 0 { "s1" } else { "s2" };
                match step / 3 % 4 {
                    0 => processes[at].mark_leaving(searcher),
                    1 => processes[at]
                        .call(|machine, now, actions| machine.on_searcher_usable(searcher, now, now, actions)),
                    2 => processes
                        .iter_mut()
                        .for_each(|process| process.wait(Duration::from_secs(u64::from(value % 4)))),
                    _ => exchange(&mut processes, *value),
                }
            }
            for _ in 0..3 {
                processes
                    .iter_mut()
                    .for_each(|process| process.wait(Duration::from_millis(1300)));
                while processes.iter().any(|process| !process.sent.is_empty()) {
                    exchange(&mut processes, 0);
                }
            }
            assert_eq!(processes[0].view.leaving, processes[1].view.leaving);
            assert_eq!(processes[0].view.leaving, processes[2].view.leaving);
        });
}

/// Delivers all queued messages except every `skip`-th.
fn exchange(processes: &mut [Process], skip: u8) {
    let names = ["a", "b", "c"];
    for from in 0..processes.len() {
        for (ix, (to, signals)) in std::mem::take(&mut processes[from].sent).into_iter().enumerate() {
            let is_lost = skip > 1 && ix % usize::from(skip) == 0;
            let target = names.iter().position(|name| **name == *to);
            if let Some(target) = target.filter(|_| !is_lost) {
                processes[target].receive(names[from], &signals);
            }
        }
    }
}

/// Guards against an instance that never learns of a leaving searcher because all signals to it were lost: the
/// comparison of checksums must recover them.
#[test]
fn checksum_comparison_repairs_lost_signals() {
    let names = ["a", "b", "c"];
    let mut processes: Vec<Process> = names.iter().map(|name| Process::new(name)).collect();
    processes
        .iter_mut()
        .for_each(|process| process.list(list(1, &names, Some(false))));
    processes[0].mark_leaving("s1");
    processes
        .iter_mut()
        .for_each(|process| process.wait(Duration::from_secs(3)));
    processes.iter_mut().for_each(|process| process.sent.clear());
    assert!(!processes[1].view.is_leaving("s1"));
    for _ in 0..20 {
        processes
            .iter_mut()
            .for_each(|process| process.wait(Duration::from_millis(500)));
        exchange(&mut processes, 0);
    }
    assert!(processes.iter().all(|process| process.view.is_leaving("s1")));
}
