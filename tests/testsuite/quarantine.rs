//! Tests of the decisions about requests under which servers crashed.

use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::quarantine::Admission;
use pimentoflow::process::quarantine::Change;
use pimentoflow::process::quarantine::MAX_RECORDS;
use pimentoflow::process::quarantine::Quarantine;
use pimentoflow::process::quarantine::TrialLimits;
use pimentoflow::request::fingerprint::Fingerprint;
use pimentoflow::wire::proto;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

const CRASHING: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);

/// Time from the last crash to a trial.
const SETTLE_TIME: Duration = Duration::from_secs(1);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a quarantine that suspects the crashing request, and may begin a trial at `now`, after crashes of servers 1 and
/// 2.
fn suspecting(now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::new(0.0);
    let crashed = now - SETTLE_TIME;
    assert_eq!(quarantine.on_crash(CRASHING, 1, false, crashed), None);
    assert_eq!(
        quarantine.on_crash(CRASHING, 2, false, crashed),
        Some(Change::Suspected)
    );
    quarantine
}

/// Returns a quarantine that refuses the crashing request after trials that crashed servers 3 and 4.
fn quarantining(now: Instant) -> Quarantine {
    let mut quarantine = suspecting(now - ms(2000));
    for (server, now) in [(3, now - ms(2000)), (4, now)] {
        assert_eq!(quarantine.admit(CRASHING, now, |_| true), Admission::Trial);
        let change = quarantine.on_crash(CRASHING, server, true, now);
        assert!(matches!(change, Some(Change::Quarantined(_))));
    }
    quarantine
}

/// Guards against a request that is refused since it was running at a server that crashed. Most crashes have another
/// cause.
#[test]
fn a_single_crash_does_not_make_a_request_suspect() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(0.0);
    for _ in 0..5 {
        quarantine.on_crash(CRASHING, 1, false, now);
        assert_eq!(quarantine.admit(CRASHING, now, |_| true), Admission::Run);
    }
    assert_eq!(quarantine.admit(OTHER, now, |_| true), Admission::Run);
}

/// Guards against a request that crashed two servers and is sent to all servers again, or to several at a time.
#[test]
fn a_suspected_request_runs_as_one_trial_at_a_time() {
    let now = Instant::now();
    let mut quarantine = suspecting(now);
    assert_eq!(quarantine.admit(CRASHING, now, |_| true), Admission::Trial);
    assert!(matches!(quarantine.admit(CRASHING, now + ms(100), |_| true), Admission::Refuse(time) if time < ms(1000)));
    quarantine.on_trial_end(CRASHING);
    assert_eq!(quarantine.admit(CRASHING, now + ms(200), |_| true), Admission::Trial);
    // The result of the trial was lost, for example with the instance that made it.
    assert_eq!(quarantine.admit(CRASHING, now + ms(5000), |_| true), Admission::Trial);
}

/// Guards against a trial that takes the last server of a shard, since the instance does not know yet that the others have
/// crashed.
#[test]
fn a_trial_waits_until_crashed_servers_are_known() {
    let now = Instant::now();
    let mut quarantine = suspecting(now);
    quarantine.on_crash(CRASHING, 3, false, now);
    for time in [ms(0), ms(999)] {
        let expected = Admission::Refuse(SETTLE_TIME - time);
        assert_eq!(quarantine.admit(CRASHING, now + time, |_| true), expected);
    }
    assert_eq!(
        quarantine.admit(CRASHING, now + SETTLE_TIME, |_| true),
        Admission::Trial
    );
}

/// Guards against a quarantine for crashes of one moment, which a frequent request sees at several servers.
#[test]
fn only_a_trial_leads_to_quarantine() {
    let now = Instant::now();
    let mut quarantine = suspecting(now);
    for server in 3..10 {
        assert_eq!(quarantine.on_crash(CRASHING, server, false, now), None);
    }
    let settled = now + SETTLE_TIME;
    assert_eq!(quarantine.quarantined(settled), 0);
    assert_eq!(quarantine.admit(CRASHING, settled, |_| true), Admission::Trial);
}

/// Guards against a trial that takes the last server of a shard, against one that waits for a server that never returns,
/// and against two trials that may share a server. If it crashes, both requests would be refused.
#[test]
fn trials_wait_for_each_other_and_for_a_spare_server() {
    let now = Instant::now();
    let mut quarantine = suspecting(now);
    quarantine.on_crash(OTHER, 1, false, now);
    quarantine.on_crash(OTHER, 2, false, now);
    let spare = TrialLimits {
        crashed: vec![1, 2],
        min_available: 2,
    };
    assert!(matches!(
        quarantine.admit(CRASHING, now, |limits| *limits != spare),
        Admission::Refuse(_)
    ));
    let any = TrialLimits {
        crashed: Vec::new(),
        min_available: 1,
    };
    let later = now + ms(10_000);
    assert!(matches!(
        quarantine.admit(CRASHING, later, |_| false),
        Admission::Refuse(_)
    ));
    assert_eq!(
        quarantine.admit(CRASHING, later, |limits| *limits == any),
        Admission::Trial
    );
    assert!(matches!(quarantine.admit(OTHER, later, |_| true), Admission::Refuse(_)));
    quarantine.on_answer(CRASHING, later + ms(20));
    assert_eq!(quarantine.admit(OTHER, later + ms(20), |_| true), Admission::Trial);
}

/// Guards against trials of one request at several instances at once, and against a trial that is awaited forever since its
/// instance was killed.
#[test]
fn a_trial_of_another_instance_is_awaited() {
    let now = Instant::now();
    let mut first = suspecting(now);
    let mut second = Quarantine::new(0.5);
    let crashed = now - SETTLE_TIME;
    second.on_reports(&first.take_news(crashed), crashed);
    assert_eq!(first.admit(CRASHING, now, |_| true), Admission::Trial);
    second.on_reports(&first.take_news(now), now);
    assert!(matches!(
        second.admit(CRASHING, now + ms(100), |_| true),
        Admission::Refuse(_)
    ));
    assert_eq!(second.admit(CRASHING, now + ms(1100), |_| true), Admission::Trial);
}

/// Guards against a request that crashes the only server of a service again and again, which keeps its name and whose new
/// start time is not known yet, and against one crash that counts several times since several runs saw it.
#[test]
fn crashes_of_one_server_count_once_each() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(0.0);
    for run in 0..4 {
        quarantine.on_crash(CRASHING, 1, false, now + ms(run));
    }
    assert_eq!(quarantine.admit(CRASHING, now + ms(10), |_| true), Admission::Run);
    assert_eq!(
        quarantine.on_crash(CRASHING, 1, false, now + ms(3000)),
        Some(Change::Suspected)
    );
}

/// Guards against a trial that was admitted before another instance's trial failed, and is sent after it.
#[test]
fn a_quarantined_request_is_refused_also_if_it_was_admitted_before() {
    let now = Instant::now();
    let mut waiting = suspecting(now);
    assert_eq!(waiting.admit(CRASHING, now, |_| true), Admission::Trial);
    assert!(!waiting.is_refused(CRASHING, now));
    waiting.on_reports(&quarantining(now).reports(now), now + ms(1));
    assert!(waiting.is_refused(CRASHING, now + ms(1)));
}

/// Guards against a request that escapes since another one, which was running at some of the same servers, is
/// quarantined first. The one under which the most servers crashed is the likely cause.
#[test]
fn crashes_of_a_request_with_more_of_them_still_count() {
    let now = Instant::now();
    let mut quarantine = suspecting(now);
    for server in 3..5 {
        quarantine.on_crash(CRASHING, server, false, now);
    }
    quarantine.on_crash(OTHER, 1, false, now);
    quarantine.on_crash(OTHER, 2, false, now);
    let settled = now + SETTLE_TIME;
    assert_eq!(quarantine.admit(OTHER, settled, |_| true), Admission::Trial);
    quarantine.on_crash(OTHER, 3, true, settled);
    assert_eq!(quarantine.admit(CRASHING, settled, |_| true), Admission::Trial);
    assert!(matches!(
        quarantine.on_crash(CRASHING, 12, true, settled),
        Some(Change::Quarantined(_))
    ));
}

/// Guards against a request that stays suspect after a server answered it, such as a frequent one that was running at
/// several servers of a rack that lost power.
#[test]
fn an_answer_clears_a_request() {
    let now = Instant::now();
    let mut quarantine = suspecting(now);
    assert_eq!(quarantine.admit(CRASHING, now, |_| true), Admission::Trial);
    assert_eq!(quarantine.on_answer(CRASHING, now + ms(20)), Some(Change::Cleared));
    assert_eq!(quarantine.admit(CRASHING, now + ms(20), |_| true), Admission::Run);
    let mut quarantine = quarantining(now);
    assert_eq!(quarantine.on_answer(CRASHING, now + ms(20)), Some(Change::Cleared));
    assert_eq!(quarantine.admit(CRASHING, now + ms(20), |_| true), Admission::Run);
}

/// Guards against a quarantine that ends while the request still crashes servers, and against one that never ends.
#[test]
fn trials_become_rarer_with_each_one_that_fails() {
    let start = Instant::now();
    let mut quarantine = suspecting(start);
    assert_eq!(quarantine.admit(CRASHING, start, |_| true), Admission::Trial);
    quarantine.on_crash(CRASHING, 3, true, start);
    let mut now = start;
    let mut times = Vec::new();
    for server in 10..17 {
        let Admission::Refuse(time) = quarantine.admit(CRASHING, now, |_| true) else {
            panic!("admitted {:?} after the last trial", now - start);
        };
        times.push(time.as_secs());
        assert!(matches!(
            quarantine.admit(CRASHING, now + time - ms(1), |_| true),
            Admission::Refuse(_)
        ));
        now += time;
        assert_eq!(quarantine.admit(CRASHING, now, |_| true), Admission::Trial);
        quarantine.on_crash(CRASHING, server, true, now);
    }
    assert_eq!(times, [2, 60, 120, 240, 480, 600, 600]);
}

/// Guards against a request that is suspected for crashes that another one caused.
#[test]
fn crashes_of_a_quarantined_request_do_not_count_against_others() {
    let now = Instant::now();
    let mut quarantine = suspecting(now);
    quarantine.on_crash(OTHER, 1, false, now);
    assert_eq!(quarantine.on_crash(OTHER, 2, false, now), Some(Change::Suspected));
    assert_eq!(quarantine.admit(CRASHING, now, |_| true), Admission::Trial);
    quarantine.on_crash(CRASHING, 3, true, now);
    assert_eq!(quarantine.admit(OTHER, now, |_| true), Admission::Run);
    // The report of its crash may come after the quarantine.
    quarantine.on_crash(OTHER, 3, false, now);
    quarantine.on_crash(OTHER, 4, false, now);
    assert_eq!(quarantine.admit(OTHER, now, |_| true), Admission::Run);
}

/// Guards against a request that crashes a server at each instance, of which each sees one crash.
#[test]
fn crashes_at_different_instances_count_together() {
    let now = Instant::now();
    let mut first = Quarantine::new(0.0);
    let mut second = Quarantine::new(0.0);
    first.on_crash(CRASHING, 1, false, now);
    assert!(!first.has_news(), "the request may still be answered");
    first.on_unanswered(CRASHING);
    second.on_reports(&first.take_news(now), now + ms(1));
    assert_eq!(second.admit(CRASHING, now + ms(2), |_| true), Admission::Run);
    assert_eq!(
        second.on_crash(CRASHING, 2, false, now + ms(3)),
        Some(Change::Suspected)
    );
    first.on_reports(&second.take_news(now + ms(4)), now + ms(4));
    assert!(matches!(
        first.admit(CRASHING, now + ms(5), |_| true),
        Admission::Refuse(_)
    ));
    let settled = now + ms(4) + SETTLE_TIME;
    assert_eq!(first.admit(CRASHING, settled, |_| true), Admission::Trial);
}

/// Guards against an instance that runs the request since it was started after the others had seen it crash servers.
#[test]
fn a_new_instance_learns_of_the_quarantine() {
    let now = Instant::now();
    let known = quarantining(now);
    let mut started = Quarantine::new(0.5);
    let later = now + ms(10_000);
    let changes = started.on_reports(&known.reports(later), later);
    assert!(matches!(changes[..], [(CRASHING, Change::Quarantined(_))]));
    let Admission::Refuse(time) = started.admit(CRASHING, later, |_| true) else {
        panic!("admitted")
    };
    // Its own trials come later than those of the first, by half of 60 s.
    assert_eq!(time.as_secs(), 80);
}

/// Guards against instances that send the same report around without end, since each computes slightly different times
/// from its age.
#[test]
fn a_report_that_says_nothing_new_is_not_passed_on() {
    let now = Instant::now();
    let mut first = quarantining(now);
    first.on_answer(CRASHING, now + ms(1));
    let mut second = Quarantine::new(0.0);
    let reports = quarantining(now).take_news(now);
    second.on_reports(&reports, now + ms(2));
    second.take_news(now + ms(2));
    for round in 0..10 {
        let at = now + ms(10 + 30 * round);
        second.on_reports(&first.reports(at), at + ms(15));
        first.on_reports(&second.reports(at + ms(15)), at + ms(30));
    }
    assert_eq!(second.admit(CRASHING, now + ms(500), |_| true), Admission::Run);
    first.take_news(now + ms(500));
    second.take_news(now + ms(500));
    let at = now + ms(600);
    second.on_reports(&first.reports(at), at + ms(15));
    first.on_reports(&second.reports(at), at + ms(15));
    assert!(!first.has_news() && !second.has_news());
}

/// Guards against reports that take memory without bound or times beyond the clock, and against an outdated report that
/// replaces newer evidence.
#[test]
fn malformed_and_outdated_reports_are_bounded() {
    let now = Instant::now();
    let mut quarantine = quarantining(now);
    let crash = |server| proto::ServerCrash {
        server,
        occurrence: u32::MAX,
    };
    let mut reports = vec![proto::SuspectRequest {
        fingerprint: CRASHING.0,
        epoch: 0,
        crashes: (0..10_000).map(crash).collect(),
        trials: u32::MAX,
        trial_age_us: Some(u64::MAX),
        failed_trials: u32::MAX,
        failed_age_us: u64::MAX,
    }];
    reports.extend((10..10_000).map(|fingerprint| proto::SuspectRequest {
        fingerprint,
        crashes: vec![crash(1_000 + fingerprint)],
        ..proto::SuspectRequest::default()
    }));
    quarantine.on_reports(&reports, now);
    assert!(matches!(
        quarantine.admit(CRASHING, now, |_| true),
        Admission::Refuse(_)
    ));
    assert!(quarantine.len() <= 64);
    assert!(quarantine.reports(now).iter().all(|report| report.crashes.len() <= 16));
    let mut cleared = suspecting(now);
    let outdated = cleared.take_news(now);
    cleared.on_answer(CRASHING, now + ms(1));
    cleared.on_reports(&outdated, now + ms(2));
    assert_eq!(cleared.admit(CRASHING, now + ms(2), |_| true), Admission::Run);
}

/// Guards against memory that grows with the number of requests under which servers crashed, and against the loss of a
/// quarantine or of the latest evidence among them.
#[test]
fn evidence_is_bounded_and_a_quarantine_outlives_the_rest() {
    let now = Instant::now();
    let mut quarantine = quarantining(now);
    for number in 0..10_000 {
        quarantine.on_crash(Fingerprint(100 + number), 100 + number, false, now + ms(number));
    }
    assert_eq!(quarantine.len(), MAX_RECORDS);
    assert!(matches!(
        quarantine.admit(CRASHING, now + ms(10_000), |_| true),
        Admission::Refuse(_)
    ));
    let late = now + ms(10_000);
    assert_eq!(
        quarantine.on_crash(Fingerprint(100 + 9_998), 99, false, late),
        Some(Change::Suspected)
    );
    quarantine.on_tick(now + Duration::from_secs(7200));
    assert!(quarantine.is_empty());
}

/// Fleet in which messages are lost and delayed, servers crash by themselves, and one request crashes each server that
/// runs it.
struct Simulation {
    instances: Vec<Quarantine>,
    /// Messages in flight: receiver, arrival and content.
    messages: Vec<(usize, Instant, Vec<proto::SuspectRequest>)>,
    /// Request, instance, server and end of each run; whether it is a trial, and whether its server has crashed.
    runs: Vec<Run>,
    next_server: u64,
    crashing_runs: Vec<Instant>,
    /// Refusals of other requests than the crashing request for longer than until a second trial.
    wrong_refusals: u32,
    refusals: u32,
    other_arrivals: u32,
    rng: SmallRng,
}

struct Run {
    request: Fingerprint,
    instance: usize,
    server: u64,
    end: Instant,
    is_trial: bool,
}

impl Simulation {
    fn new(instances: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            instances: (0..instances).map(|_| Quarantine::new(rng.random())).collect(),
            messages: Vec::new(),
            runs: Vec::new(),
            next_server: 0,
            crashing_runs: Vec::new(),
            wrong_refusals: 0,
            refusals: 0,
            other_arrivals: 0,
            rng,
        }
    }

    fn arrive(&mut self, request: Fingerprint, now: Instant) {
        let instance = self.rng.random_range(0..self.instances.len());
        let is_crashing = request == CRASHING;
        self.other_arrivals += u32::from(!is_crashing);
        let is_trial = match self.instances[instance].admit(request, now, |_| true) {
            Admission::Run => false,
            Admission::Trial => true,
            Admission::Refuse(time) => {
                self.refusals += u32::from(!is_crashing);
                self.wrong_refusals += u32::from(!is_crashing && time > ms(4000));
                return;
            }
        };
        if is_crashing {
            self.crashing_runs.push(now);
        }
        let server = self.rng.random_range(0..30) + 1000 * self.next_server;
        let end = now + ms(self.rng.random_range(5..60));
        self.runs.push(Run {
            request,
            instance,
            server,
            end,
            is_trial,
        });
    }

    /// Ends the runs that are due, and crashes the servers that `crashed` selects together with all their runs.
    fn step(&mut self, now: Instant, crashed: impl Fn(u64) -> bool) {
        let due = self.runs.iter().filter(|run| run.request == CRASHING && run.end <= now);
        let lost: Vec<u64> = due.map(|run| run.server).collect();
        for run in std::mem::take(&mut self.runs) {
            let quarantine = &mut self.instances[run.instance];
            if lost.contains(&run.server) || crashed(run.server) {
                quarantine.on_crash(run.request, run.server, run.is_trial, now);
                quarantine.on_unanswered(run.request);
                if run.is_trial {
                    quarantine.on_trial_end(run.request);
                }
            } else if run.end <= now {
                quarantine.on_answer(run.request, now);
            } else {
                self.runs.push(run);
            }
        }
        self.exchange(now);
    }

    fn exchange(&mut self, now: Instant) {
        let messages = std::mem::take(&mut self.messages);
        let (due, later): (Vec<_>, Vec<_>) = messages.into_iter().partition(|(_, at, _)| *at <= now);
        self.messages = later;
        for (receiver, _, reports) in due {
            self.instances[receiver].on_reports(&reports, now);
        }
        for sender in 0..self.instances.len() {
            let reports = self.instances[sender].take_news(now);
            if reports.is_empty() {
                continue;
            }
            for _ in 0..4 {
                let receiver = self.rng.random_range(0..self.instances.len());
                if self.rng.random_bool(0.9) {
                    let at = now + ms(self.rng.random_range(1..20));
                    self.messages.push((receiver, at, reports.clone()));
                }
            }
        }
    }
}

/// Load: on each of 10 seeds, 30 instances share 30 servers. Every 250 ms comes a request that crashes the server that
/// runs it, every 5 ms four of three requests that come often and one that comes once. Each second, a third of the
/// servers crash at once for another reason. Guards against more than three runs of the crashing request after its third crash,
/// and against the refusal of any other request for longer than a trial takes: 60 ms, and 20 ms for the news, in each
/// second. One that was running at a server that crashed during its trial waits for a second trial, for 4 s at most.
#[test]
fn a_fleet_stops_the_crashing_request_and_serves_all_others() {
    for seed in 0..10 {
        let mut fleet = Simulation::new(30, seed);
        let frequent: Vec<Fingerprint> = (10..13).map(Fingerprint).collect();
        let start = Instant::now();
        for step in 0..4_000_u64 {
            let now = start + ms(5 * step);
            if step % 50 == 0 {
                fleet.arrive(CRASHING, now);
            }
            for _ in 0..4 {
                let request = *frequent.choose(&mut fleet.rng).expect("not empty");
                fleet.arrive(request, now);
            }
            fleet.arrive(Fingerprint(1_000 + step), now);
            // A crashed server comes back as another incarnation.
            fleet.next_server += u64::from(step % 200 == 199);
            let rack = fleet.rng.random_range(0..3);
            fleet.step(now, |server| step % 200 == 100 && server % 3 == rack);
        }
        let runs = fleet.crashing_runs.len();
        assert!(runs <= 3 + 3, "seed {seed}: {runs} runs of the crashing request");
        assert_eq!(fleet.wrong_refusals, 0, "seed {seed}");
        let share = f64::from(fleet.refusals) / f64::from(fleet.other_arrivals);
        assert!(share <= 0.08, "seed {seed}: {share} of other requests refused");
    }
}
