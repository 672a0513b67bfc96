//! Backend servers: which may be asked, and which is best.

use std::time::Duration;
use std::time::Instant;

use pimentoflow::ids::SearcherId;
use pimentoflow::process::backends::BackendEntry;
use pimentoflow::process::backends::Directory;
use pimentoflow::process::backends::Effect;
use pimentoflow::process::backends::LAPSE_GRACE;
use pimentoflow::process::backends::View;
use pimentoflow::process::backends::choice;
use pimentoflow::process::backends::choice::Probes;
use pimentoflow::process::backends::place;
use pimentoflow::process::backends::place::Place;
use pimentoflow::process::backends::place::Wanted;
use pimentoflow::process::backends::standing::LoadFigures;
use pimentoflow::process::backends::standing::Standing;
use pimentoflow::process::catalogue::Freshness;
use pimentoflow::process::catalogue::ReadOutcome;
use pimentoflow::process::census::Count;
use pimentoflow::request::fanout::Cause;
use pimentoflow::request::fanout::ServerChoice;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const USUAL: Duration = Duration::from_millis(20);
const OBJECTIVE: Duration = Duration::from_millis(150);

const ALONE: Count = Count { all: 1, local: 1 };

const fn wanted(instances: Count) -> Wanted {
    Wanted {
        usual: USUAL,
        objective: OBJECTIVE,
        is_outranked: false,
        instances,
    }
}

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
        born: 1,
    }
}

fn ids(directory: &Directory) -> Vec<String> {
    let view = directory.view(None, ALONE);
    let servers = view.servers("shard").iter();
    servers.map(|server| server.entry.id.to_string()).collect()
}

fn three(now: Instant) -> View {
    let mut directory = Directory::new("here".into());
    for (id, data_centre) in [("near", "here"), ("far-1", "there"), ("far-2", "elsewhere")] {
        directory.on_entry(entry(id, data_centre), now);
    }
    directory.view(None, ALONE)
}

fn best(view: &View, asked: &[usize], now: Instant) -> Place {
    let mut rng = SmallRng::seed_from_u64(1);
    place::best(view.servers("shard"), asked, wanted(ALONE), true, now, &mut rng)
}

/// Guards against requests to a server that is leaving, and one that left.
#[test]
fn servers_that_leave_get_no_requests() {
    let now = Instant::now();
    let mut directory = Directory::new("here".into());
    assert_eq!(directory.on_entry(entry("a", "here"), now), Effect::Joined);
    assert_eq!(directory.on_entry(entry("b", "here"), now), Effect::Joined);
    let leaving = BackendEntry {
        leaving: true,
        ..entry("a", "here")
    };
    assert_eq!(directory.on_entry(leaving, now), Effect::Leaving);
    assert_eq!(ids(&directory), ["b"]);
    assert_eq!(directory.on_missing("b"), Effect::Gone);
    assert!(ids(&directory).is_empty());
}

/// Guards against a mass removal of servers whose entries lapsed while the platform was away, and against servers that are
/// kept for ever when they do not come back.
#[test]
fn entries_that_lapse_during_an_outage_get_time_to_come_back() {
    let mut now = Instant::now();
    let mut directory = Directory::new("here".into());
    for id in ["a", "b"] {
        directory.on_entry(entry(id, "here"), now);
    }
    directory.on_platform_lost();
    now += Duration::from_secs(5);
    directory.on_platform_read(now);
    assert_eq!(directory.on_missing("a"), Effect::Lapsed);
    assert_eq!(directory.on_missing("b"), Effect::Lapsed);
    assert_eq!(ids(&directory), ["a", "b"]);
    now += LAPSE_GRACE / 2;
    assert_eq!(directory.on_entry(entry("a", "here"), now), Effect::Unchanged);
    assert!(directory.on_caught_up(now).is_empty());
    now += LAPSE_GRACE / 2;
    let gone: Vec<SearcherId> = directory
        .on_caught_up(now)
        .iter()
        .map(|gone| gone.entry.id.clone())
        .collect();
    assert_eq!(gone, [Box::from("b")]);
    assert_eq!(ids(&directory), ["a"]);
    assert_eq!(directory.on_missing("a"), Effect::Gone);
}

/// Guards against servers that are judged from a view that is older than the time within which their entries come back:
/// with many changes after an outage the view arrives there later.
#[test]
fn lapsed_entries_are_not_judged_from_an_old_view() {
    let start = Instant::now();
    let mut directory = Directory::new("here".into());
    directory.on_entry(entry("a", "here"), start);
    directory.on_platform_lost();
    let back = start + Duration::from_secs(5);
    directory.on_platform_read(back);
    assert_eq!(directory.on_missing("a"), Effect::Lapsed);
    let until = directory.doubtful_until().unwrap();
    assert!(directory.on_caught_up(until - ms(1)).is_empty());
    // The entry vanished again while the view was behind: it is still in doubt.
    assert_eq!(directory.on_missing("a"), Effect::Lapsed);
    assert_eq!(
        directory.on_entry(entry("a", "here"), until + ms(900)),
        Effect::Unchanged
    );
    assert!(directory.on_caught_up(until + ms(900)).is_empty());
    assert_eq!(ids(&directory), ["a"]);
}

/// Guards against reads that are delayed beyond the time at which lapsed entries have to be judged, and against a pause
/// after an answer that held only some of the changes.
#[test]
fn reads_follow_at_once_when_the_view_is_behind_or_in_doubt() {
    let now = Instant::now();
    let freshness = Freshness {
        settled: Duration::from_secs(4),
        effect: Duration::from_secs(3),
    };
    assert_eq!(freshness.wait(None, now), freshness.read_wait());
    assert_eq!(freshness.wait(Some(now + ms(300)), now), ms(300));
    assert!(freshness.wait(Some(now), now + ms(5)) <= ms(1));
    assert_eq!(freshness.pause(ReadOutcome::News, None, now), freshness.change_pause());
    assert_eq!(freshness.pause(ReadOutcome::News, Some(now + ms(300)), now), ms(300));
    for outcome in [ReadOutcome::Behind, ReadOutcome::Quiet] {
        assert_eq!(freshness.pause(outcome, None, now), Duration::ZERO);
    }
}

/// Guards against observations and connections of a former incarnation that are used for a new one with the same name.
#[test]
fn a_restart_under_the_same_name_is_a_new_server() {
    let now = Instant::now();
    let mut directory = Directory::new("here".into());
    directory.on_entry(entry("a", "here"), now);
    let before = directory.view(None, ALONE).servers("shard")[0].clone();
    before.standing().on_failure(now);
    let restarted = BackendEntry {
        born: 2,
        ..entry("a", "here")
    };
    assert_eq!(directory.on_entry(restarted, now), Effect::Restarted);
    let view = directory.view(None, ALONE);
    assert!(!view.servers("shard")[0].standing().is_avoided(now));
}

/// Guards against a value of another writer that keeps a server in use or removes another one.
#[test]
fn a_value_that_cannot_be_read_names_no_server() {
    let now = Instant::now();
    let mut directory = Directory::new("here".into());
    directory.on_entry(entry("a", "here"), now);
    directory.on_entry(entry("b", "here"), now);
    assert_eq!(directory.on_unreadable("foreign"), Effect::Unchanged);
    assert_eq!(directory.on_unreadable("a"), Effect::Gone);
    assert_eq!(ids(&directory), ["b"]);
}

/// Guards against traffic between data centres that a small difference causes.
#[test]
fn the_own_data_centre_is_preferred_while_its_server_is_about_as_good() {
    let now = Instant::now();
    let view = three(now);
    let near = &view.servers("shard")[0];
    for _ in 0..2 {
        near.standing().begin(USUAL, now);
    }
    assert!(matches!(best(&view, &[], now), Place::Server(0, _)));
}

/// Load pattern: a server pauses for 200 ms. Guards against requests that are sent to it while those in flight show the
/// pause.
#[test]
fn a_paused_server_is_passed_over_before_it_answers() {
    let start = Instant::now();
    let view = three(start);
    view.servers("shard")[0].standing().begin(USUAL, start);
    let now = start + ms(60);
    assert!(matches!(best(&view, &[], now), Place::Server(1 | 2, _)));
}

/// Load pattern: one server is ten times as slow. Guards against requests that go on being sent to it, and against one
/// that is never asked again after it recovered.
#[test]
fn a_slow_server_is_passed_over_until_it_may_have_recovered() {
    let now = Instant::now();
    let view = three(now);
    let mut now = now;
    for _ in 0..10 {
        now += ms(100);
        view.servers("shard")[0].standing().on_answer(ms(200), Some(USUAL), now);
    }
    assert!(matches!(best(&view, &[], now), Place::Server(1 | 2, _)));
    let later = now + Duration::from_secs(10);
    assert!(matches!(best(&view, &[], later), Place::Server(0, _)));
}

/// Load pattern: a server crashed. Guards against requests to it while it is down, and against more than one probe at a
/// time when its time is over.
#[test]
fn a_failed_server_is_avoided_and_then_probed_once() {
    let now = Instant::now();
    let view = three(now);
    let near = &view.servers("shard")[0];
    near.standing().on_failure(now);
    assert!(!matches!(best(&view, &[1, 2], now), Place::Server(..)));
    let later = now + ms(300);
    assert!(matches!(best(&view, &[1, 2], later), Place::Server(0, _)));
    near.standing().begin(USUAL, later);
    assert_eq!(best(&view, &[1, 2], later), Place::Nobody);
}

/// Load pattern: a server fails half of its requests at once and looks idle. Guards against requests that it draws, and
/// against one that is never asked again after it recovered.
#[test]
fn a_server_that_fails_fast_is_passed_over_until_it_may_have_recovered() {
    let now = Instant::now();
    let view = three(now);
    for round in 0..10 {
        let mut near = view.servers("shard")[0].standing();
        if round % 2 == 0 {
            near.on_answer(ms(20), Some(USUAL), now);
        } else {
            near.on_error(now);
        }
    }
    assert!(matches!(best(&view, &[], now), Place::Server(1 | 2, _)));
    let later = now + Duration::from_secs(10);
    assert!(matches!(best(&view, &[], later), Place::Server(0, _)));
}

/// Load pattern: a silent server. Guards against one that is asked again and again because requests that were given up
/// leave no trace.
#[test]
fn a_long_wait_without_an_answer_counts_as_a_failure() {
    let now = Instant::now();
    let mut standing = Standing::new(3, Duration::ZERO, now);
    standing.on_abandoned(ms(60), Some(USUAL), now);
    assert!(!standing.is_avoided(now));
    assert!(standing.expected(USUAL, now) > USUAL);
    standing.on_abandoned(ms(400), Some(USUAL), now);
    assert!(standing.is_avoided(now));
}

/// Load pattern: all servers of a shard are slow. Guards against queues of more than what a server answers within the
/// objective, shared by all instances.
#[test]
fn requests_in_flight_are_bounded_by_what_is_answered_in_time() {
    let now = Instant::now();
    let mut standing = Standing::new(3, Duration::ZERO, now);
    assert_eq!(standing.flight_limit(USUAL, OBJECTIVE, 4, now), 6);
    let mut now = now;
    for _ in 0..30 {
        now += ms(100);
        standing.on_answer(ms(180), Some(USUAL), now);
    }
    assert_eq!(standing.flight_limit(USUAL, OBJECTIVE, 4, now), 1);
}

/// Load pattern: a server pauses for 200 ms, and all requests in flight there are answered late. Guards against a server
/// that counts as slow after each pause, so that requests go to other data centres.
#[test]
fn a_pause_does_not_make_a_server_slow() {
    let start = Instant::now();
    let view = three(start);
    let now = start + ms(1000);
    for late in [200, 190, 180, 170, 160] {
        view.servers("shard")[0]
            .standing()
            .on_answer(ms(late), Some(USUAL), now);
    }
    assert!(matches!(best(&view, &[], now), Place::Server(0, _)));
}

/// Load pattern: few requests to each server, and one server refuses a share of them, which makes it look idle. Guards
/// against a server that draws requests by refusing them.
#[test]
fn a_server_that_refuses_is_passed_over() {
    let now = Instant::now();
    let view = three(now);
    view.servers("shard")[0].standing().on_full(now);
    let later = now + Duration::from_secs(1);
    assert!(matches!(best(&view, &[], later), Place::Server(1 | 2, _)));
}

/// Load pattern: many servers failed at one time. Guards against a request that probes all of them, and has no
/// repetitions left for those that are still down.
#[test]
fn one_request_probes_one_server() {
    let start = Instant::now();
    let view = three(start);
    let servers = view.servers("shard");
    servers[0].standing().on_failure(start);
    let now = start + Duration::from_secs(1);
    let mut probes = Probes::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut choose = || {
        let request = choice::Request {
            servers,
            asked: &[],
            cause: Cause::First,
            wanted: wanted(ALONE),
            answer_by: now + OBJECTIVE,
            hedge_after: USUAL,
        };
        choice::choose(request, &mut probes, || true, now, &mut rng)
    };
    assert!(matches!(choose(), ServerChoice::Probe(0, _)));
    assert!(matches!(choose(), ServerChoice::Send(1 | 2, _)));
}

/// Load pattern: a data centre is cut off, and all its requests go to its own servers. Guards against instances elsewhere,
/// which cannot reach these servers, taking the share of the local ones.
#[test]
fn instances_of_the_own_data_centre_share_its_servers() {
    let now = Instant::now();
    let mut directory = Directory::new("here".into());
    directory.on_entry(entry("near", "here"), now);
    directory.on_entry(entry("far", "there"), now);
    let instances = Count { all: 33, local: 8 };
    let view = directory.view(None, instances);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut flights = [0, 0];
    loop {
        let place = place::best(view.servers("shard"), &[], wanted(instances), true, now, &mut rng);
        let Place::Server(ix, expected) = place else { break };
        view.servers("shard")[ix].standing().begin(expected, now);
        flights[ix] += 1;
    }
    // 3 slots, 150 ms and 20 ms each make 22 for all.
    assert_eq!(flights, [3, 1]);
}

/// Load pattern: routine requests fill every server of a service. Guards against urgent requests that find no room then.
#[test]
fn urgent_requests_find_room_when_routine_ones_wait() {
    let now = Instant::now();
    let view = three(now);
    let mut rng = SmallRng::seed_from_u64(1);
    let routine = Wanted {
        is_outranked: true,
        ..wanted(ALONE)
    };
    while let Place::Server(ix, expected) = place::best(view.servers("shard"), &[], routine, true, now, &mut rng) {
        view.servers("shard")[ix].standing().begin(expected, now);
    }
    assert!(matches!(best(&view, &[], now), Place::Server(..)));
}

/// Guards against load figures that are believed long after they came, and against own requests that are counted twice.
#[test]
fn load_figures_of_others_count_while_they_are_fresh() {
    let now = Instant::now();
    let mut standing = Standing::new(3, Duration::ZERO, now);
    standing.begin(USUAL, now);
    let idle = standing.expected(USUAL, now);
    let load = LoadFigures {
        running: 3,
        waiting: 3,
        slots: 3,
    };
    standing.on_load(load, now);
    let busy = standing.expected(USUAL, now);
    assert!(busy >= USUAL * 2, "{busy:?}");
    assert_eq!(standing.expected(USUAL, now + ms(30)), busy);
    assert!(standing.expected(USUAL, now + ms(200)) >= idle);
    standing.end(1);
    assert!(standing.expected(USUAL, now + ms(200)) <= USUAL);
}
