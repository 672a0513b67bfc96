//! Simulation of searches at an entry, with fake callers, network and backend servers.
//!
//! There are no leaves: an attempt reaches its searcher after the one-way delay and waits there for a slot. The
//! [`audit`] checks each answer against the delivered results and shares no code with the library.

pub mod audit;
pub mod server;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use eyre::bail;
use indexmap::IndexMap;
use pimentoflow::error::RequestError;
use pimentoflow::process::fleet::Fleet;
use pimentoflow::process::holdings::PinnedSnapshot;
use pimentoflow::request::plan::Plan;
use pimentoflow::request::plan::plan;
use pimentoflow::request::query::Action;
use pimentoflow::request::query::Answer;
use pimentoflow::request::query::Cause;
use pimentoflow::request::query::Query;
use pimentoflow::request::query::Request;
use pimentoflow::request::query::SendAttempt;
use pimentoflow::wire::proto::PartResult;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::events::EventQueue;
use crate::experiment::Options;
use crate::report::Latencies;
use crate::report::Report;
use crate::scenarios::search::audit::Audit;
use crate::scenarios::search::server::Job;
use crate::scenarios::search::server::Server;

/// Reads the setting `policy`, which is `on` by default.
///
/// # Errors
///
/// Returns an error if the value is neither `on` nor `off`.
pub fn policy_on(options: &Options) -> Result<bool> {
    match &*options.get("policy", "on".to_owned())? {
        "on" => Ok(true),
        "off" => Ok(false),
        other => bail!("unknown policy `{other}`; use on or off"),
    }
}

/// Workload of the callers, and network delays.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Services that each search queries.
    pub services: Vec<Box<str>>,
    /// Maximum number of hits in an answer.
    pub limit: u32,
    /// Deadline of each search.
    pub deadline: Duration,
    /// Mean time between searches, which arrive as a Poisson process.
    pub interval: Duration,
    /// Number of searches.
    pub queries: u32,
    /// Number of searches at the start that do not count for latencies, coverage and extra load.
    pub warmup: u32,
    /// One-way delay within the data centre.
    pub local_delay: Duration,
    /// One-way delay to another data centre.
    pub remote_delay: Duration,
    /// Whether searches pin the newest snapshot that any server holds, in place of the one that the library selects.
    pub pin_newest: bool,
    /// Whether all attempts except first ones and hedges are refused.
    pub no_retries: bool,
}

/// Event of a simulation. Jobs come with the index of their searcher.
#[derive(Debug)]
pub enum Event {
    /// A search with this number arrives.
    Arrive(u32),
    /// A job reaches a server.
    Receive(u32, Job),
    /// A server finishes a job.
    Done(u32, Job),
    /// A cancellation reaches a server.
    Cancel(u32, Job),
    /// A result reaches the entry.
    Deliver(Box<PartResult>),
    /// A query reaches its next wakeup.
    Tick(u64),
    /// A change that the scenario scheduled is due.
    Change(u32),
}

#[derive(Debug)]
struct RunningQuery {
    query: Query,
    arrived_at: Instant,
    deadline: Instant,
    jobs: IndexMap<(u32, u32), (u32, Job)>,
}

/// Simulation of one run.
#[derive(Debug)]
pub struct Simulation {
    /// Tables, replica states and holdings that new searches use.
    pub fleet: Arc<Fleet>,
    /// Backend servers by searcher index.
    pub servers: Vec<Server>,
    /// Scheduled events and the virtual clock.
    pub events: EventQueue<Event>,
    /// Random number generator of the fakes.
    pub rng: SmallRng,
    /// Invariant checks.
    pub audit: Audit,
    /// Number of sub-queries sent to each server.
    pub received: Vec<u64>,
    settings: Settings,
    running: IndexMap<u64, RunningQuery>,
    latencies: Latencies,
    planned: u64,
    sent: u64,
    coverage: f64,
    complete: u64,
    restarts: u64,
    denied: u64,
    refusals: IndexMap<Box<str>, u64>,
}

impl Simulation {
    /// Creates a simulation in which the entry knows the snapshots of all servers.
    #[must_use]
    pub fn new(fleet: Arc<Fleet>, servers: Vec<Server>, settings: Settings, seed: u64) -> Self {
        let mut simulation = Self {
            received: vec![0; servers.len()],
            audit: Audit::default(),
            events: EventQueue::new(),
            rng: SmallRng::seed_from_u64(seed),
            running: IndexMap::new(),
            latencies: Latencies::new(),
            planned: 0,
            sent: 0,
            coverage: 0.0,
            complete: 0,
            restarts: 0,
            denied: 0,
            refusals: IndexMap::new(),
            fleet,
            servers,
            settings,
        };
        let now = simulation.events.now();
        for (searcher, server) in simulation.servers.iter().enumerate() {
            simulation
                .fleet
                .holdings
                .on_reply(searcher as u32, &server.snapshots, now);
        }
        simulation.events.push(Duration::ZERO, Event::Arrive(0));
        simulation
    }

    /// Runs until all searches have finished. `change` is called for each [`Event::Change`] that is due before.
    pub fn run(&mut self, mut change: impl FnMut(&mut Self, u32)) {
        while let Some(event) = self.events.pop() {
            match event {
                Event::Arrive(number) => self.arrive(number),
                Event::Receive(searcher, job) => self.receive(searcher, job),
                Event::Done(searcher, job) => self.done(searcher, job),
                Event::Cancel(searcher, job) => self.receive_cancel(searcher, job),
                Event::Deliver(result) => self.deliver(*result),
                Event::Tick(correlation) => self.input(correlation, Query::on_tick),
                Event::Change(number) if self.is_active() => change(self, number),
                Event::Change(_) => {}
            }
        }
        self.audit.violations += self.running.len() as u64;
    }

    /// Sets the figures that all search scenarios share.
    pub fn report(&self, report: &mut Report) {
        report.set_latencies(&self.latencies);
        report.coverage = self.coverage / report.answered.max(1) as f64;
        report.extra_load = self.sent as f64 / self.planned.max(1) as f64 - 1.0;
        report.refusals.clone_from(&self.refusals);
        report.violations = self.audit.violations;
        report.set_figure("complete", self.complete as f64 / report.answered.max(1) as f64);
        report.set_figure("restarts", self.restarts as f64);
        report.set_figure("denied", self.denied as f64);
    }

    /// Returns whether searches are in progress or still to arrive. Periodic changes end with them.
    #[must_use]
    pub fn is_active(&self) -> bool {
        !self.running.is_empty() || self.audit.arrivals < self.settings.queries
    }

    fn arrive(&mut self, number: u32) {
        self.audit.arrivals = number + 1;
        if number + 1 < self.settings.queries {
            let draw: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            let wait = self.settings.interval.mul_f64(-draw.ln());
            self.events.push(wait, Event::Arrive(number + 1));
        }
        match self.start(u64::from(number)) {
            Ok(()) => self.input(u64::from(number), Query::on_start),
            Err(error) => *self.refusals.entry(error.kind.as_str().into()).or_default() += 1,
        }
    }

    fn start(&mut self, correlation: u64) -> Result<(), RequestError> {
        let now = self.events.now();
        let names: Vec<&str> = self.settings.services.iter().map(|name| &**name).collect();
        let plan = plan(&self.fleet.tables, &names, self.settings.limit)?;
        let pin = self.pin(&plan, now)?;
        if correlation >= u64::from(self.settings.warmup) {
            self.planned += plan.parts.len() as u64;
        }
        let request = Request {
            correlation,
            deadline: now + self.settings.deadline,
            min_coverage: 0.0,
        };
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let running = RunningQuery {
            query: Query::new(Arc::clone(&self.fleet), plan, pin, request, rng),
            arrived_at: now,
            deadline: request.deadline,
            jobs: IndexMap::new(),
        };
        self.running.insert(correlation, running);
        Ok(())
    }

    fn pin(&self, plan: &Plan, now: Instant) -> Result<PinnedSnapshot, RequestError> {
        let pin = self.fleet.pin(plan, &[], now)?;
        let newest = self
            .servers
            .iter()
            .filter_map(|server| server.snapshots.iter().max())
            .max();
        let newest = newest.copied().filter(|_| self.settings.pin_newest);
        Ok(PinnedSnapshot {
            snapshot: newest.unwrap_or(pin.snapshot),
            ..pin
        })
    }

    fn input(&mut self, correlation: u64, call: impl FnOnce(&mut Query, Instant, &mut Vec<Action>)) {
        let now = self.events.now();
        let Some(running) = self.running.get_mut(&correlation) else {
            return;
        };
        let before = running.query.next_wakeup();
        let mut out = Vec::new();
        call(&mut running.query, now, &mut out);
        let after = running.query.next_wakeup();
        for action in out {
            match action {
                Action::Send(send) => self.send(correlation, send),
                Action::Cancel(cancel) => self.cancel(correlation, (cancel.part, cancel.attempt)),
                Action::Finish(answer) => self.finish(correlation, &answer),
            }
        }
        if let Some(at) = after.filter(|at| before != Some(*at) || *at <= now) {
            self.events.push_at(at, Event::Tick(correlation));
        }
    }

    fn send(&mut self, correlation: u64, send: SendAttempt) {
        let delay = self.delay(send.searcher);
        let Some(running) = self.running.get_mut(&correlation) else {
            self.audit.violations += 1;
            return;
        };
        if correlation >= u64::from(self.settings.warmup) {
            self.sent += 1;
        }
        let planned = running.query.plan().parts[send.part as usize];
        let job = Job {
            correlation,
            part: send.part,
            attempt: send.attempt,
            service: planned.service,
            range: send.range,
            snapshot: send.snapshot,
        };
        running.jobs.insert((send.part, send.attempt), (send.searcher, job));
        if self.settings.no_retries && !matches!(send.cause, Cause::First | Cause::Hedge) {
            let refused = self.servers[send.searcher as usize].refuse_unknown(job);
            self.events.push(Duration::ZERO, Event::Deliver(Box::new(refused)));
            return;
        }
        self.received[send.searcher as usize] += 1;
        self.events.push(delay, Event::Receive(send.searcher, job));
    }

    fn cancel(&mut self, correlation: u64, attempt: (u32, u32)) {
        let running = self.running.get_mut(&correlation);
        let job = running.and_then(|running| running.jobs.swap_remove(&attempt));
        let Some((searcher, job)) = job else {
            self.audit.violations += 1;
            return;
        };
        self.events.push(self.delay(searcher), Event::Cancel(searcher, job));
    }

    fn finish(&mut self, correlation: u64, answer: &Answer) {
        let now = self.events.now();
        let Some(running) = self.running.swap_remove(&correlation) else {
            self.audit.violations += 1;
            return;
        };
        self.audit.check(correlation, answer, self.settings.limit);
        self.audit.violations += u64::from(now >= running.deadline);
        self.restarts += u64::from(answer.extra.restarts);
        self.denied += u64::from(answer.extra.denied);
        if correlation < u64::from(self.settings.warmup) {
            return;
        }
        self.latencies.record(now - running.arrived_at);
        self.coverage += answer.coverage.fraction();
        self.complete += u64::from(answer.coverage.is_complete());
    }

    fn receive(&mut self, searcher: u32, job: Job) {
        if let Some(result) = self.servers[searcher as usize].check_snapshot(job) {
            self.events.push(self.delay(searcher), Event::Deliver(Box::new(result)));
            return;
        }
        self.servers[searcher as usize].queue.push_back(job);
        self.fill_slots(searcher);
    }

    fn fill_slots(&mut self, searcher: u32) {
        let server = &mut self.servers[searcher as usize];
        while let Some((job, time)) = server.start_next(&mut self.rng) {
            self.events.push(time, Event::Done(searcher, job));
        }
    }

    fn done(&mut self, searcher: u32, job: Job) {
        let server = &mut self.servers[searcher as usize];
        if !server.finish(&job) {
            return;
        }
        let result = server
            .check_snapshot(job)
            .unwrap_or_else(|| server.answer(job, self.settings.limit));
        self.events.push(self.delay(searcher), Event::Deliver(Box::new(result)));
        self.fill_slots(searcher);
    }

    fn receive_cancel(&mut self, searcher: u32, job: Job) {
        self.servers[searcher as usize].cancel(&job);
        self.fill_slots(searcher);
    }

    fn deliver(&mut self, result: PartResult) {
        let correlation = result.correlation;
        let Some(running) = self.running.get_mut(&correlation) else {
            return;
        };
        running.jobs.swap_remove(&(result.part, result.attempt));
        let service = running.query.plan().parts[result.part as usize].service;
        self.audit.on_delivered(service, &result);
        self.input(correlation, |query, now, out| query.on_result(result, now, out));
    }

    fn delay(&self, searcher: u32) -> Duration {
        if self.fleet.replicas.is_local(searcher) {
            self.settings.local_delay
        } else {
            self.settings.remote_delay
        }
    }
}
