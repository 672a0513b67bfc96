//! Replay of a load on a virtual clock: instances run the real decisions, servers and links are modelled.

mod load;
mod report;
mod servers;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use pimentoflow::process::backends::BackendEntry;
use pimentoflow::process::backends::Directory;
use pimentoflow::process::backends::View;
use pimentoflow::process::backends::choice;
use pimentoflow::process::backends::choice::ProbeBudget;
use pimentoflow::process::backends::rate_limit;
use pimentoflow::process::backends::rate_limit::LimitNotice;
use pimentoflow::process::backends::rate_limit::Sender;
use pimentoflow::process::backends::selection::Requirements;
use pimentoflow::process::backends::server_state::InFlightId;
use pimentoflow::process::backends::server_state::LoadFigures;
use pimentoflow::process::extra::ExtraBudget;
use pimentoflow::process::extra::ExtraLimits;
use pimentoflow::process::gossip::InstanceCount;
use pimentoflow::process::latency;
use pimentoflow::process::latency::LatencyHistogram;
use pimentoflow::process::ownership::rank::NameHash;
use pimentoflow::process::throttle::Throttle;
use pimentoflow::request::fanout::AttemptOutcome;
use pimentoflow::request::fanout::Cause;
use pimentoflow::request::fanout::Decision;
use pimentoflow::request::fanout::Fanout;
use pimentoflow::request::fanout::Limits;
use pimentoflow::request::fanout::PartSend;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use self::load::Health;
pub use self::load::Kind;
pub use self::load::Load;
pub use self::report::OutcomeCounts;
pub use self::report::Report;

/// One-way delay between an instance and a server, and between a caller and an instance.
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);

/// Slots per server.
const SLOTS: usize = 3;

/// Maximum number of queued requests at a server, which refuses more.
const QUEUE_LIMIT: usize = 20;

/// Duration of the pauses of every server.
const PAUSE: Duration = Duration::from_millis(200);

/// Time from the start of a pause to the start of the next.
const PAUSE_INTERVAL: Duration = Duration::from_millis(4500);

/// Limit on the extra attempts of all instances.
pub const EXTRA: ExtraLimits = ExtraLimits {
    ratio: 0.2,
    allowance: 186.0,
    window: Duration::from_secs(10),
};

/// Time after an answer at which the remaining attempts are abandoned.
const ABANDON_DELAY: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { kind: usize, data_centre: usize },
    Wake { request: usize },
    Deliver { job: usize },
    Done { job: usize },
    Reply { job: usize, reply: Reply },
    Abandon { job: usize },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    /// Success, with the numbers of running and of waiting requests at the server.
    Good(u32, u32),
    /// The server answered with an error.
    Failure,
    /// The connection was closed or reset before an answer.
    Broken,
    /// The server refused the request, which did not run.
    Full,
    /// The server refused the connection.
    Unreachable,
}

/// Attempt for a part of a request at a server.
struct Job {
    request: usize,
    part: usize,
    server: usize,
    sent: Instant,
    in_flight_id: InFlightId,
    is_over: bool,
}

struct Request {
    kind: usize,
    instance: usize,
    started: Instant,
    fanout: Fanout,
    probes: ProbeBudget,
    jobs: Vec<usize>,
    is_over: bool,
}

#[derive(Default)]
struct Server {
    running: Vec<usize>,
    waiting: VecDeque<usize>,
}

struct Instance {
    view: View,
    route_latencies: Vec<LatencyHistogram>,
    throttles: Vec<Throttle>,
    budgets: Vec<ExtraBudget>,
}

struct Replay<'a> {
    load: &'a Load,
    start: Instant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, usize, Event)>>,
    /// Number of scheduled events. Events at the same time are processed in the order in which they were scheduled.
    counter: usize,
    rng: SmallRng,
    instances: Vec<Instance>,
    servers: Vec<Server>,
    jobs: Vec<Job>,
    requests: Vec<Request>,
    report: Report,
    /// Time of the last request from each instance to each server.
    last_requests: IndexMap<(usize, usize), Instant>,
    limits: ExtraLimits,
    count: InstanceCount,
}

/// Servers per shard.
pub const SERVERS_PER_SHARD: usize = 3;

/// Replays a load and reports the outcomes.
pub fn replay(load: &Load) -> Report {
    let start = Instant::now();
    let count = InstanceCount {
        all: load.instances as u32,
        local: load.instances.div_ceil(load.data_centres) as u32,
    };
    let view_of = |instance: usize| {
        let mut directory = Directory::new(data_centre(instance, load), Duration::ZERO);
        for shard in 0..load.shards {
            for server in 0..SERVERS_PER_SHARD {
                directory.on_entry(entry(shard, server, load), start);
            }
        }
        directory.view(None, count)
    };
    let instances = (0..load.instances).map(|instance| Instance {
        view: view_of(instance),
        route_latencies: load.kinds.iter().map(|_| LatencyHistogram::default()).collect(),
        throttles: load.kinds.iter().map(|_| Throttle::default()).collect(),
        budgets: (0..load.shards).map(|_| ExtraBudget::new(start)).collect(),
    });
    let mut replay = Replay {
        start,
        now: start,
        events: BinaryHeap::new(),
        counter: 0,
        rng: SmallRng::seed_from_u64(load.seed),
        instances: instances.collect(),
        servers: (0..load.shards * SERVERS_PER_SHARD)
            .map(|_| Server::default())
            .collect(),
        jobs: Vec::new(),
        requests: Vec::new(),
        report: Report {
            arrival_times: vec![Vec::new(); load.shards],
            server_arrival_times: vec![Vec::new(); load.shards * SERVERS_PER_SHARD],
            extra_attempt_times: vec![Vec::new(); load.shards],
            kinds: load
                .kinds
                .iter()
                .map(|kind| (kind.name, OutcomeCounts::default()))
                .collect(),
        },
        last_requests: IndexMap::new(),
        limits: EXTRA.per_instance(load.instances as u32),
        count,
        load,
    };
    replay.run();
    replay.report
}

fn data_centre(number: usize, load: &Load) -> Box<str> {
    format!("dc{}", number % load.data_centres).into()
}

fn entry(shard: usize, server: usize, load: &Load) -> BackendEntry {
    BackendEntry {
        id: format!("{shard}-{server}").into(),
        service: service(shard),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: data_centre(shard + server, load),
        slots: SLOTS as u32,
        leaving: false,
        warmup: (load.warmup)(server),
        started_ms: 1,
    }
}

fn service(shard: usize) -> Box<str> {
    format!("s{shard}").into()
}

impl Replay<'_> {
    fn schedule(&mut self, after: Duration, event: Event) {
        self.counter += 1;
        self.events.push(Reverse((self.now + after, self.counter, event)));
    }

    fn run(&mut self) {
        for kind in 0..self.load.kinds.len() {
            for data_centre in 0..self.load.data_centres {
                self.schedule_arrival(kind, data_centre);
            }
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            match event {
                Event::Arrival { kind, data_centre } => self.arrive(kind, data_centre),
                Event::Wake { request } => self.step(request),
                Event::Deliver { job } => self.deliver(job),
                Event::Done { job } => self.done(job),
                Event::Reply { job, reply } => self.reply(job, reply),
                Event::Abandon { job } => self.abandon(job),
            }
        }
    }

    fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Schedules the next arrival. Arrivals are a Poisson process, as from many independent callers.
    fn schedule_arrival(&mut self, kind: usize, data_centre: usize) {
        let rate_factor = (self.load.rate_factor)(data_centre, self.elapsed());
        let rate = self.load.kinds[kind].rate / self.load.data_centres as f64 * rate_factor;
        let wait = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        let wait = Duration::from_secs_f64(wait);
        if self.elapsed() + wait < self.load.length {
            self.schedule(wait, Event::Arrival { kind, data_centre });
        }
    }

    fn arrive(&mut self, kind: usize, data_centre: usize) {
        self.schedule_arrival(kind, data_centre);
        let Kind {
            objective,
            time_limit,
            coverage,
            ..
        } = self.load.kinds[kind];
        let members = (self.load.instances - data_centre).div_ceil(self.load.data_centres);
        let instance = self.rng.random_range(0..members) * self.load.data_centres + data_centre;
        let at = self.elapsed();
        for shard in 0..self.load.shards {
            self.report.arrival_times[shard].push(at);
            self.instances[instance].budgets[shard].on_request(&self.limits, self.now);
        }
        let throttle = &mut self.instances[instance].throttles[kind];
        if self.load.kinds[kind].is_outranked && !throttle.admits(self.now, &mut self.rng) {
            return self.record_rejection(kind);
        }
        let limits = Limits {
            parts: self.load.shards,
            min_parts: (coverage * self.load.shards as f64 - 1e-9).ceil() as usize,
            max_attempts: 2,
            repeatable: true,
            objective,
            time_limit,
            trial: None,
        };
        self.requests.push(Request {
            kind,
            instance,
            started: self.now,
            fanout: Fanout::new(limits, self.now),
            probes: ProbeBudget::default(),
            jobs: Vec::new(),
            is_over: false,
        });
        self.step(self.requests.len() - 1);
    }

    fn record_rejection(&mut self, kind: usize) {
        if self.elapsed() >= self.load.report_from {
            let refused = OutcomeCounts {
                requests: 1,
                refused: 1,
                ..OutcomeCounts::default()
            };
            self.report.kinds[self.load.kinds[kind].name].add(&refused);
        }
    }

    /// Advances a request in the same way as the owner of a [`Fanout`] in the gateway.
    fn step(&mut self, ix: usize) {
        if self.requests[ix].is_over {
            return;
        }
        let sends = self.advance(ix);
        let decision = self.requests[ix].fanout.decision(self.now);
        for send in sends {
            self.send(ix, send);
        }
        match decision {
            Decision::Wait(until) => self.schedule(until - self.now, Event::Wake { request: ix }),
            decision => self.finish(ix, decision),
        }
    }

    fn advance(&mut self, ix: usize) -> Vec<PartSend> {
        let request = &mut self.requests[ix];
        let kind = &self.load.kinds[request.kind];
        let instance = &mut self.instances[request.instance];
        let summary = instance.route_latencies[request.kind].summary();
        let requirements = Requirements {
            usual: latency::usual(summary, kind.objective),
            objective: kind.objective,
            is_outranked: kind.is_outranked,
            instances: self.count,
        };
        let hedge_after = latency::hedge_after(summary, kind.objective);
        let answer_by = request.started + kind.objective;
        let now = self.now;
        let probes = &mut request.probes;
        request.fanout.advance(now, |part, cause, tried| {
            let choice = choice::AttemptRequest {
                servers: instance.view.servers(&service(part)),
                tried,
                cause,
                requirements,
                answer_by,
                hedge_after,
            };
            let budget = &mut instance.budgets[part];
            let take_extra = || budget.take(&self.limits, now);
            choice::choose(choice, probes, take_extra, now, &mut self.rng)
        })
    }

    fn send(&mut self, ix: usize, send: PartSend) {
        let request = &mut self.requests[ix];
        let kind = &self.load.kinds[request.kind];
        let instance = &self.instances[request.instance];
        let usual = latency::usual(instance.route_latencies[request.kind].summary(), kind.objective);
        let server = &instance.view.servers(&service(send.part))[send.server];
        let mut state = server.state();
        let expected = state.expected(usual, self.now);
        let in_flight_id = state.begin(send.cause, expected, self.now);
        drop(state);
        if matches!(send.cause, Cause::Hedge | Cause::Retry) {
            let at = self.now - self.start;
            self.report.extra_attempt_times[send.part].push(at);
        }
        let job = self.jobs.len();
        self.jobs.push(Job {
            request: ix,
            part: send.part,
            server: send.part * SERVERS_PER_SHARD + send.server,
            sent: self.now,
            in_flight_id,
            is_over: false,
        });
        request.jobs.push(job);
        self.schedule(ONE_WAY_DELAY, Event::Deliver { job });
    }

    /// Processes the end of an attempt at the instance.
    fn reply(&mut self, job: usize, reply: Reply) {
        let Job {
            request: ix,
            part,
            server,
            sent,
            in_flight_id,
            is_over,
        } = self.jobs[job];
        if is_over {
            return;
        }
        self.jobs[job].is_over = true;
        let (kind, instance) = (self.requests[ix].kind, self.requests[ix].instance);
        if matches!(reply, Reply::Good(..)) {
            self.apply_limit_notice(instance, server, sent);
        }
        let instance = &mut self.instances[instance];
        let latencies = &mut instance.route_latencies[kind];
        let usual = latencies.summary().map(|summary| summary.median);
        let mut state = instance.view.servers(&service(part))[server % SERVERS_PER_SHARD].state();
        state.end(in_flight_id);
        let latency = self.now - sent;
        let outcome = match reply {
            Reply::Good(running, waiting) => {
                let slots = SLOTS as u32;
                let load = LoadFigures {
                    running,
                    waiting,
                    slots,
                };
                state.on_load(load, self.now);
                state.on_response(latency, usual, self.now);
                latencies.observe(latency);
                instance.throttles[kind].on_load(load);
                AttemptOutcome::Answered
            }
            Reply::Failure => {
                state.on_error(self.now);
                AttemptOutcome::Failed
            }
            Reply::Broken => {
                state.on_connection_broken(self.now);
                AttemptOutcome::Failed
            }
            Reply::Full => {
                state.on_full(self.now);
                AttemptOutcome::NotRun
            }
            Reply::Unreachable => {
                state.on_failure(self.now);
                AttemptOutcome::Unsent
            }
        };
        drop(state);
        let request = &mut self.requests[ix];
        if !request.is_over {
            request.fanout.on_attempt_end(part, outcome, self.now);
            self.step(ix);
        }
    }

    /// Applies what the response of a server to a request sent at `sent` announces about its rate limit.
    fn apply_limit_notice(&self, instance: usize, server: usize, sent: Instant) {
        let (shard, ix) = (server / SERVERS_PER_SHARD, server % SERVERS_PER_SHARD);
        let notice = match self.health(server) {
            Health::Limited(rate) => LimitNotice::Limited(rate),
            _ => LimitNotice::Unlimited,
        };
        let servers = self.instances[instance].view.servers(&service(shard));
        let mut state = servers[ix].state();
        let is_new = state.on_limit_notice(notice, sent, self.now).is_some();
        if let Some(rate) = notice.rate().filter(|_| is_new) {
            let located = entry(shard, ix, self.load).data_centre;
            let names: Vec<String> = (0..self.load.instances)
                .map(|number| format!("front-{number}"))
                .collect();
            let senders = names.iter().enumerate().map(|(number, name)| Sender {
                instance: name,
                hash: NameHash::of(name),
                is_local: data_centre(number, self.load) == located,
            });
            let shares = rate_limit::shares(rate, &servers[ix].entry.id, senders);
            let own = shares.iter().find(|(sender, _)| sender.instance == names[instance]);
            state.set_limit_share(own.map_or(0.0, |(_, share)| *share), self.now);
        }
    }

    /// Closes the connection of an attempt that is no longer needed.
    fn abandon(&mut self, job: usize) {
        let Job {
            request: ix,
            part,
            server,
            sent,
            in_flight_id,
            is_over,
        } = self.jobs[job];
        if is_over {
            return;
        }
        self.jobs[job].is_over = true;
        let request = &self.requests[ix];
        let instance = &self.instances[request.instance];
        let usual = instance.route_latencies[request.kind]
            .summary()
            .map(|summary| summary.median);
        let mut state = instance.view.servers(&service(part))[server % SERVERS_PER_SHARD].state();
        state.end(in_flight_id);
        state.on_abandoned(self.now - sent, usual, self.now);
        drop(state);
        self.servers[server].waiting.retain(|other| *other != job);
        self.servers[server].running.retain(|other| *other != job);
        self.serve(server);
    }

    fn finish(&mut self, ix: usize, decision: Decision) {
        let request = &mut self.requests[ix];
        request.is_over = true;
        let kind = &self.load.kinds[request.kind];
        let latency = self.now - request.started;
        let has_attempt = !request.jobs.is_empty();
        let missing = request.fanout.missing();
        let mut outcome = OutcomeCounts {
            requests: 1,
            ..OutcomeCounts::default()
        };
        match decision {
            Decision::Answer => {
                outcome.max_missing = missing;
                if latency + ONE_WAY_DELAY * 2 <= kind.objective {
                    outcome.answered_in_time = 1;
                    let share = 1.0 - missing as f64 / self.load.shards as f64;
                    outcome.total_value = share * share;
                } else {
                    outcome.answered_late = 1;
                }
            }
            Decision::Refuse(_) => outcome.refused = 1,
            Decision::Fail(_) | Decision::TimeOut | Decision::Wait(_) => outcome.failed = 1,
        }
        let is_late = latency > kind.objective / 4 + Duration::from_millis(5);
        if decision != Decision::Answer && is_late {
            outcome.ended_late = 1;
            outcome.refused_late = usize::from(!has_attempt);
        }
        let jobs = request.jobs.clone();
        if request.started - self.start >= self.load.report_from {
            self.report.kinds[kind.name].add(&outcome);
        }
        for job in jobs {
            if !self.jobs[job].is_over {
                self.schedule(ABANDON_DELAY, Event::Abandon { job });
            }
        }
    }
}
