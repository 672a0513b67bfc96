//! Directory of backend servers, and selection of a server.

use std::time::Duration;
use std::time::Instant;

use pimentoflow::ids::SearcherId;
use pimentoflow::process::backends::BackendEntry;
use pimentoflow::process::backends::Directory;
use pimentoflow::process::backends::EntryChange;
use pimentoflow::process::backends::LAPSE_GRACE;
use pimentoflow::process::backends::View;
use pimentoflow::process::backends::choice;
use pimentoflow::process::backends::choice::ProbeBudget;
use pimentoflow::process::backends::selection;
use pimentoflow::process::backends::selection::Requirements;
use pimentoflow::process::backends::selection::Selection;
use pimentoflow::process::backends::server_state::LoadFigures;
use pimentoflow::process::backends::server_state::ServerState;
use pimentoflow::process::discovery::Freshness;
use pimentoflow::process::discovery::ReadOutcome;
use pimentoflow::process::gossip::InstanceCount;
use pimentoflow::request::fanout::Cause;
use pimentoflow::request::fanout::ServerChoice;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Usual latency of the route.
const USUAL_LATENCY: Duration = Duration::from_millis(20);
/// Objective of the route.
const OBJECTIVE: Duration = Duration::from_millis(150);

const ONE_INSTANCE: InstanceCount = InstanceCount { all: 1, local: 1 };

const fn requirements(instances: InstanceCount) -> Requirements {
    Requirements {
        usual: USUAL_LATENCY,
        objective: OBJECTIVE,
        is_outranked: false,
        instances,
    }
}

/// Time without a heartbeat after which the platform removes an entry.
const ENTRY_TTL: Duration = Duration::from_millis(3600);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn entry(id: &str, data_centre: &str) -> BackendEntry {
    BackendEntry {
        id: id.into(),
        service: "shard".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: data_centre.into(),
        slots: 3,
        leaving: false,
        warmup: Duration::ZERO,
        started_ms: 1,
    }
}

/// Returns the ids of the servers that may get requests.
fn ids(directory: &Directory) -> Vec<String> {
    let view = directory.view(None, ONE_INSTANCE);
    let servers = view.servers("shard").iter();
    servers.map(|server| server.entry.id.to_string()).collect()
}

/// Returns a view of one server in the local data centre and two in others.
fn three_servers(now: Instant) -> View {
    let mut directory = Directory::new("here".into(), ENTRY_TTL);
    for (id, data_centre) in [("near", "here"), ("far-1", "there"), ("far-2", "elsewhere")] {
        directory.on_entry(entry(id, data_centre), now);
    }
    directory.view(None, ONE_INSTANCE)
}

fn select_server(view: &View, tried: &[usize], now: Instant) -> Selection {
    let mut rng = SmallRng::seed_from_u64(1);
    selection::select_server(
        view.servers("shard"),
        tried,
        requirements(ONE_INSTANCE),
        true,
        now,
        &mut rng,
    )
}

/// Guards against requests to a server that is leaving or was removed.
#[test]
fn leaving_and_removed_servers_get_no_requests() {
    let now = Instant::now();
    let mut directory = Directory::new("here".into(), ENTRY_TTL);
    assert_eq!(directory.on_entry(entry("a", "here"), now), EntryChange::Joined);
    assert_eq!(directory.on_entry(entry("b", "here"), now), EntryChange::Joined);
    let leaving = BackendEntry {
        leaving: true,
        ..entry("a", "here")
    };
    assert_eq!(directory.on_entry(leaving, now), EntryChange::Leaving);
    assert_eq!(ids(&directory), ["b"]);
    assert_eq!(directory.on_missing("b", now), EntryChange::Removed);
    assert!(ids(&directory).is_empty());
}

/// Guards against the removal of all servers whose entries lapsed during a platform outage, and against servers that
/// are kept forever if their entries do not come back.
#[test]
fn lapsed_entries_have_a_grace_period_after_an_outage() {
    let mut now = Instant::now();
    let mut directory = Directory::new("here".into(), ENTRY_TTL);
    for id in ["a", "b"] {
        directory.on_entry(entry(id, "here"), now);
    }
    directory.on_platform_lost();
    now += Duration::from_secs(5);
    directory.on_platform_read(now);
    assert_eq!(directory.on_missing("a", now), EntryChange::Lapsed);
    assert_eq!(directory.on_missing("b", now), EntryChange::Lapsed);
    assert_eq!(ids(&directory), ["a", "b"]);
    now += LAPSE_GRACE / 2;
    assert_eq!(directory.on_entry(entry("a", "here"), now), EntryChange::Unchanged);
    assert!(directory.remove_lapsed(now, now).is_empty());
    now += LAPSE_GRACE / 2;
    let removed: Vec<SearcherId> = directory
        .remove_lapsed(now, now)
        .iter()
        .map(|removed| removed.entry.id.clone())
        .collect();
    assert_eq!(removed, [Box::from("b")]);
    assert_eq!(ids(&directory), ["a"]);
    assert_eq!(directory.on_missing("a", now), EntryChange::Removed);
}

/// Guards against the removal of servers because of a read from before the end of the grace period. With many changes
/// after an outage, such a read arrives after the end.
#[test]
fn lapsed_entries_are_not_removed_by_an_outdated_read() {
    let start = Instant::now();
    let mut directory = Directory::new("here".into(), ENTRY_TTL);
    directory.on_entry(entry("a", "here"), start);
    directory.on_platform_lost();
    let back = start + Duration::from_secs(5);
    directory.on_platform_read(back);
    assert_eq!(directory.on_missing("a", back), EntryChange::Lapsed);
    let until = directory.grace_until().unwrap();
    assert!(directory.remove_lapsed(until - ms(1), until).is_empty());
    // The entry vanished again in a read from before the end of the grace period, so it still counts as lapsed.
    assert_eq!(directory.on_missing("a", until), EntryChange::Lapsed);
    assert_eq!(
        directory.on_entry(entry("a", "here"), until + ms(900)),
        EntryChange::Unchanged
    );
    assert!(directory.remove_lapsed(until + ms(900), until + ms(900)).is_empty());
    assert_eq!(ids(&directory), ["a"]);
}

/// Returns a directory that knew server `a` in a later state than its entry, at the time when the platform returned
/// from a copy that has the entry.
fn restored(known: impl FnOnce(&mut Directory, Instant), now: Instant) -> Directory {
    let mut directory = Directory::new("here".into(), ENTRY_TTL);
    directory.on_entry(entry("a", "here"), now);
    known(&mut directory, now);
    assert!(ids(&directory).is_empty());
    directory.on_restored(now);
    directory
}

fn leaving() -> BackendEntry {
    BackendEntry {
        leaving: true,
        ..entry("a", "here")
    }
}

/// Guards against a server that is used again because of an entry from before it was removed or reported its departure,
/// and against one that is never used again although its entry stays listed beyond the platform's time to live.
#[test]
fn listed_entries_of_departed_servers_are_deferred_after_a_restore() {
    type Known = fn(&mut Directory, Instant);
    let removed: Known = |directory, now| {
        directory.on_missing("a", now);
    };
    let left: Known = |directory, now| {
        directory.on_entry(leaving(), now);
    };
    let restarted_and_removed: Known = |directory, now| {
        let restarted = BackendEntry {
            started_ms: 2,
            ..entry("a", "here")
        };
        directory.on_entry(restarted, now);
        directory.on_missing("a", now);
    };
    let now = Instant::now();
    let until = now + LAPSE_GRACE + ENTRY_TTL;
    for known in [removed, left, restarted_and_removed] {
        let mut directory = restored(known, now);
        assert_eq!(directory.on_listed(entry("a", "here"), now), EntryChange::Deferred);
        assert!(directory.apply_deferred(until - ms(1), until).is_empty());
        // A second listing in the period, for example after the platform dropped its history.
        assert_eq!(directory.on_listed(entry("a", "here"), now), EntryChange::Deferred);
        assert!(ids(&directory).is_empty());
        assert_eq!(directory.apply_deferred(until, until).len(), 1);
        assert_eq!(ids(&directory), ["a"]);
    }
}

/// Guards against a deferred entry that is applied although the server has written another one since, or was removed.
#[test]
fn a_later_change_replaces_a_deferred_entry() {
    let now = Instant::now();
    let until = now + LAPSE_GRACE + ENTRY_TTL;
    let removed = |directory: &mut Directory, now| {
        directory.on_missing("a", now);
    };
    for is_removed in [true, false] {
        let mut directory = restored(removed, now);
        directory.on_listed(entry("a", "here"), now);
        if is_removed {
            directory.on_missing("a", now);
        } else {
            directory.on_entry(leaving(), now);
        }
        assert!(directory.apply_deferred(until, until).is_empty());
        assert!(ids(&directory).is_empty());
    }
    // The server itself registers again.
    let mut directory = restored(removed, now);
    directory.on_listed(entry("a", "here"), now);
    assert_eq!(directory.on_entry(entry("a", "here"), now), EntryChange::Joined);
    assert_eq!(ids(&directory), ["a"]);
}

/// Guards against a deferred entry that is applied although a later listing no longer has it, because its removal was
/// written again and the platform dropped that change, or another instance relayed the state after it.
#[test]
fn a_later_listing_replaces_the_deferred_entries() {
    let now = Instant::now();
    let until = now + LAPSE_GRACE + ENTRY_TTL;
    let removed = |directory: &mut Directory, now| {
        directory.on_missing("a", now);
    };
    let mut directory = restored(removed, now);
    directory.on_listing();
    directory.on_listed(entry("a", "here"), now);
    directory.on_listing();
    assert!(directory.apply_deferred(until, until).is_empty());
    assert!(ids(&directory).is_empty());
}

/// Guards against a server that registered again and is taken out of use by an instance that has not read this, and
/// against a notice that concerns another incarnation.
#[test]
fn a_peer_defers_only_entries_that_no_change_confirmed() {
    let now = Instant::now();
    let until = now + LAPSE_GRACE + ENTRY_TTL;
    let mut directory = Directory::new("here".into(), ENTRY_TTL);
    directory.on_entry(entry("a", "here"), now);
    directory.on_restored(now);
    directory.on_listed(entry("a", "here"), now);
    assert_eq!(directory.on_peer_outdated("a", 2, now), EntryChange::Unchanged);
    assert_eq!(directory.on_peer_outdated("a", 1, now), EntryChange::Deferred);
    assert!(ids(&directory).is_empty());
    // The next listing does not undo it.
    directory.on_listing();
    assert_eq!(directory.on_listed(entry("a", "here"), now), EntryChange::Deferred);
    assert_eq!(directory.on_entry(entry("a", "here"), now), EntryChange::Joined);
    assert_eq!(directory.on_peer_outdated("a", 1, now), EntryChange::Unchanged);
    assert_eq!(ids(&directory), ["a"]);
    // A second restore may have lost the change.
    directory.on_restored(now);
    directory.on_listed(entry("a", "here"), now);
    assert_eq!(directory.on_peer_outdated("a", 1, now), EntryChange::Deferred);
    assert_eq!(directory.apply_deferred(until, until).len(), 1);
    assert_eq!(ids(&directory), ["a"]);
}

/// Guards against deferred entries of one copy that are applied after the platform returned from another copy without
/// them, and against their use during an outage that outlasts the period.
#[test]
fn a_second_restore_begins_a_new_period() {
    let now = Instant::now();
    let removed = |directory: &mut Directory, now| {
        directory.on_missing("a", now);
    };
    let mut directory = restored(removed, now);
    directory.on_listed(entry("a", "here"), now);
    let second = now + LAPSE_GRACE;
    directory.on_restored(second);
    let until = second + LAPSE_GRACE + ENTRY_TTL;
    assert!(directory.apply_deferred(until, until).is_empty());
    let mut directory = restored(removed, now);
    directory.on_listed(entry("a", "here"), now);
    directory.on_platform_lost();
    assert!(directory.apply_deferred(until, until).is_empty());
    assert_eq!(directory.on_listed(entry("a", "here"), until), EntryChange::Deferred);
}

/// Guards against an earlier incarnation that replaces a restarted server, and against an entry that was removed after
/// the restore and whose server registered again, which nothing contradicts.
#[test]
fn only_entries_from_before_the_restore_are_deferred() {
    let now = Instant::now();
    let mut directory = Directory::new("here".into(), ENTRY_TTL);
    let restarted = BackendEntry {
        started_ms: 2,
        address: ([10, 0, 0, 2], 80).into(),
        ..entry("a", "here")
    };
    directory.on_entry(restarted, now);
    directory.on_entry(entry("b", "here"), now);
    directory.on_restored(now);
    assert_eq!(directory.on_listed(entry("a", "here"), now), EntryChange::Deferred);
    assert_eq!(directory.on_missing("b", now), EntryChange::Lapsed);
    assert_eq!(ids(&directory), ["a", "b"]);
    let end = now + LAPSE_GRACE;
    assert_eq!(directory.remove_lapsed(end, end).len(), 2);
    assert_eq!(
        directory.on_listed(entry("b", "here"), end + ms(1)),
        EntryChange::Joined
    );
    assert_eq!(ids(&directory), ["b"]);
}

/// Guards against reads that wait or pause beyond the end of the grace period, and against a pause after an answer
/// that held only part of the changes.
#[test]
fn reads_follow_at_once_when_behind_or_in_the_grace_period() {
    let now = Instant::now();
    let freshness = Freshness {
        settle_time: Duration::from_secs(4),
        effect_time: Duration::from_secs(3),
    };
    assert_eq!(freshness.wait(None, Duration::ZERO, now), freshness.read_wait());
    assert_eq!(freshness.wait(Some(now + ms(300)), Duration::ZERO, now), ms(300));
    assert!(freshness.wait(Some(now), Duration::ZERO, now + ms(5)) <= ms(1));
    assert_eq!(
        freshness.pause(ReadOutcome::Changed, None, now),
        freshness.change_pause()
    );
    assert_eq!(freshness.pause(ReadOutcome::Changed, Some(now + ms(300)), now), ms(300));
    for outcome in [ReadOutcome::MoreAvailable, ReadOutcome::Unchanged] {
        assert_eq!(freshness.pause(outcome, None, now), Duration::ZERO);
    }
}

/// Guards against the reuse of a previous incarnation's observations and connections for a new one with the same
/// name.
#[test]
fn a_restart_under_the_same_name_is_a_new_server() {
    let now = Instant::now();
    let mut directory = Directory::new("here".into(), ENTRY_TTL);
    directory.on_entry(entry("a", "here"), now);
    let before = directory.view(None, ONE_INSTANCE).servers("shard")[0].clone();
    before.state().on_failure(now);
    let restarted = BackendEntry {
        started_ms: 2,
        ..entry("a", "here")
    };
    assert_eq!(directory.on_entry(restarted, now), EntryChange::Restarted);
    let view = directory.view(None, ONE_INSTANCE);
    assert!(!view.servers("shard")[0].state().is_avoided(now));
}

/// Guards against an undecodable value that keeps its server in use or removes another one.
#[test]
fn an_unreadable_value_removes_only_its_server() {
    let now = Instant::now();
    let mut directory = Directory::new("here".into(), ENTRY_TTL);
    directory.on_entry(entry("a", "here"), now);
    directory.on_entry(entry("b", "here"), now);
    assert_eq!(directory.on_unreadable("foreign", now), EntryChange::Unchanged);
    assert_eq!(directory.on_unreadable("a", now), EntryChange::Removed);
    assert_eq!(ids(&directory), ["b"]);
}

/// Guards against cross-data-centre traffic because of a small difference between servers.
#[test]
fn the_local_server_is_preferred_despite_a_small_disadvantage() {
    let now = Instant::now();
    let view = three_servers(now);
    let near = &view.servers("shard")[0];
    for _ in 0..2 {
        near.state().begin(Cause::First, USUAL_LATENCY, now);
    }
    assert!(matches!(select_server(&view, &[], now), Selection::Server(0, _)));
}

/// Simulates a server that pauses for 200 ms. Guards against further requests to it while the age of those in flight
/// already shows the pause.
#[test]
fn a_paused_server_is_skipped_before_it_answers() {
    let start = Instant::now();
    let view = three_servers(start);
    view.servers("shard")[0]
        .state()
        .begin(Cause::First, USUAL_LATENCY, start);
    let now = start + ms(60);
    assert!(matches!(select_server(&view, &[], now), Selection::Server(1 | 2, _)));
}

/// Simulates a server that is ten times slower than usual. Guards against continued requests to it, and against a
/// server that gets no requests after it recovered.
#[test]
fn a_slow_server_is_skipped_until_its_observations_decay() {
    let now = Instant::now();
    let view = three_servers(now);
    let mut now = now;
    for _ in 0..10 {
        now += ms(100);
        view.servers("shard")[0]
            .state()
            .on_response(ms(200), Some(USUAL_LATENCY), now);
    }
    assert!(matches!(select_server(&view, &[], now), Selection::Server(1 | 2, _)));
    let later = now + Duration::from_secs(10);
    assert!(matches!(select_server(&view, &[], later), Selection::Server(0, _)));
}

/// Simulates a server that crashed. Guards against requests to it while it is down, and against concurrent probes once
/// its avoidance time is over.
#[test]
fn a_failed_server_is_avoided_and_then_probed_once() {
    let now = Instant::now();
    let view = three_servers(now);
    let near = &view.servers("shard")[0];
    near.state().on_failure(now);
    assert!(!matches!(select_server(&view, &[1, 2], now), Selection::Server(..)));
    let later = now + ms(300);
    assert!(matches!(select_server(&view, &[1, 2], later), Selection::Server(0, _)));
    near.state().begin(Cause::First, USUAL_LATENCY, later);
    assert_eq!(select_server(&view, &[1, 2], later), Selection::NoServer);
}

/// Simulates a server that fails half of its requests immediately and looks idle. Guards against requests that it
/// attracts, and against a server that gets no requests after it recovered.
#[test]
fn a_fast_failing_server_is_skipped_until_its_observations_decay() {
    let now = Instant::now();
    let view = three_servers(now);
    for round in 0..10 {
        let mut near = view.servers("shard")[0].state();
        if round % 2 == 0 {
            near.on_response(ms(20), Some(USUAL_LATENCY), now);
        } else {
            near.on_error(now);
        }
    }
    assert!(matches!(select_server(&view, &[], now), Selection::Server(1 | 2, _)));
    let later = now + Duration::from_secs(10);
    assert!(matches!(select_server(&view, &[], later), Selection::Server(0, _)));
}

/// Simulates a server that accepts requests and never answers. Guards against repeated requests to it because abandoned
/// requests are not counted.
#[test]
fn a_long_wait_without_an_answer_counts_as_a_failure() {
    let now = Instant::now();
    let mut state = ServerState::new(3, Duration::ZERO, now);
    state.on_abandoned(ms(60), Some(USUAL_LATENCY), now);
    assert!(!state.is_avoided(now));
    assert!(state.expected(USUAL_LATENCY, now) > USUAL_LATENCY);
    state.on_abandoned(ms(400), Some(USUAL_LATENCY), now);
    assert!(state.is_avoided(now));
}

/// Simulates a shard whose servers are all slow. Guards against more requests in flight, over all instances, than a
/// server can answer within the objective.
#[test]
fn in_flight_limit_follows_the_objective() {
    let now = Instant::now();
    let mut state = ServerState::new(3, Duration::ZERO, now);
    assert_eq!(state.in_flight_limit(USUAL_LATENCY, OBJECTIVE, 4, now), 6);
    let mut now = now;
    for _ in 0..30 {
        now += ms(100);
        state.on_response(ms(180), Some(USUAL_LATENCY), now);
    }
    assert_eq!(state.in_flight_limit(USUAL_LATENCY, OBJECTIVE, 4, now), 1);
}

/// Simulates a server that pauses for 200 ms and answers all requests in flight late. Guards against a server that
/// counts as slow after each pause, so that its requests go to other data centres.
#[test]
fn a_pause_does_not_make_a_server_slow() {
    let start = Instant::now();
    let view = three_servers(start);
    let now = start + ms(1000);
    for late in [200, 190, 180, 170, 160] {
        view.servers("shard")[0]
            .state()
            .on_response(ms(late), Some(USUAL_LATENCY), now);
    }
    assert!(matches!(select_server(&view, &[], now), Selection::Server(0, _)));
}

/// Simulates few requests per server, and a server that refuses a share of them, which makes it look idle. Guards
/// against requests that it attracts.
#[test]
fn a_refusing_server_is_skipped() {
    let now = Instant::now();
    let view = three_servers(now);
    view.servers("shard")[0].state().on_full(now);
    let later = now + Duration::from_secs(1);
    assert!(matches!(select_server(&view, &[], later), Selection::Server(1 | 2, _)));
}

/// Simulates many servers that failed at once. Guards against a request that probes all of them and has no retries left
/// for those that are still down.
#[test]
fn one_request_probes_one_server() {
    let start = Instant::now();
    let view = three_servers(start);
    let servers = view.servers("shard");
    servers[0].state().on_failure(start);
    let now = start + Duration::from_secs(1);
    let mut probes = ProbeBudget::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut choose = || {
        let request = choice::AttemptRequest {
            servers,
            tried: &[],
            cause: Cause::First,
            requirements: requirements(ONE_INSTANCE),
            answer_by: now + OBJECTIVE,
            hedge_after: USUAL_LATENCY,
        };
        choice::choose(request, &mut probes, || true, now, &mut rng)
    };
    assert!(matches!(choose(), ServerChoice::Probe(0, _)));
    assert!(matches!(choose(), ServerChoice::Send(1 | 2, _)));
}

/// Simulates an isolated data centre, where all requests go to its own servers. Guards against a share for instances in
/// other data centres, which cannot reach these servers, at the expense of the local ones.
#[test]
fn local_instances_have_a_larger_share_of_a_server() {
    let now = Instant::now();
    let mut directory = Directory::new("here".into(), ENTRY_TTL);
    directory.on_entry(entry("near", "here"), now);
    directory.on_entry(entry("far", "there"), now);
    let instances = InstanceCount { all: 33, local: 8 };
    let view = directory.view(None, instances);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut in_flight = [0, 0];
    loop {
        let found = selection::select_server(view.servers("shard"), &[], requirements(instances), true, now, &mut rng);
        let Selection::Server(ix, expected) = found else { break };
        view.servers("shard")[ix].state().begin(Cause::First, expected, now);
        in_flight[ix] += 1;
    }
    // 3 slots, an objective of 150 ms and a latency of 20 ms make 22 requests in flight for all instances.
    assert_eq!(in_flight, [3, 1]);
}

/// Simulates routine requests that fill every server of a service. Guards against urgent requests that find no free
/// server.
#[test]
fn routine_requests_leave_capacity_for_urgent_ones() {
    let now = Instant::now();
    let view = three_servers(now);
    let mut rng = SmallRng::seed_from_u64(1);
    let routine = Requirements {
        is_outranked: true,
        ..requirements(ONE_INSTANCE)
    };
    while let Selection::Server(ix, expected) =
        selection::select_server(view.servers("shard"), &[], routine, true, now, &mut rng)
    {
        view.servers("shard")[ix].state().begin(Cause::First, expected, now);
    }
    assert!(matches!(select_server(&view, &[], now), Selection::Server(..)));
}

/// Guards against the use of outdated load figures, and against counting this instance's own requests twice.
#[test]
fn load_of_other_instances_counts_while_fresh() {
    let now = Instant::now();
    let mut state = ServerState::new(3, Duration::ZERO, now);
    state.begin(Cause::First, USUAL_LATENCY, now);
    let idle = state.expected(USUAL_LATENCY, now);
    let load = LoadFigures {
        running: 3,
        waiting: 3,
        slots: 3,
    };
    state.on_load(load, now);
    let busy = state.expected(USUAL_LATENCY, now);
    assert!(busy >= USUAL_LATENCY * 2, "{busy:?}");
    assert_eq!(state.expected(USUAL_LATENCY, now + ms(30)), busy);
    assert!(state.expected(USUAL_LATENCY, now + ms(200)) >= idle);
    state.end(1);
    assert!(state.expected(USUAL_LATENCY, now + ms(200)) <= USUAL_LATENCY);
}
