//! Model of the servers: faults, queueing and service times.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use super::Event;
use super::Health;
use super::ONE_WAY_DELAY;
use super::PAUSE;
use super::PAUSE_INTERVAL;
use super::QUEUE_LIMIT;
use super::Replay;
use super::Reply;
use super::SERVERS_PER_SHARD;
use super::SLOTS;

impl Replay<'_> {
    pub(super) fn health(&self, server: usize) -> Health {
        (self.load.health)(server / SERVERS_PER_SHARD, server % SERVERS_PER_SHARD, self.elapsed())
    }

    /// Processes the arrival of a request at its server.
    pub(super) fn deliver(&mut self, job: usize) {
        let server = self.jobs[job].server;
        if self.jobs[job].is_over {
            return;
        }
        let instance = self.requests[self.jobs[job].request].instance;
        let at = self.elapsed();
        self.report.server_arrival_times[server].push(at);
        let last_request = self.last_requests.insert((instance, server), self.now);
        let is_full = self.servers[server].waiting.len() >= QUEUE_LIMIT;
        let reply = match self.health(server) {
            Health::Silent => return,
            Health::Down => Some(Reply::Unreachable),
            Health::Failing(share) if self.rng.random_bool(share) => Some(Reply::Failure),
            Health::Shedding(share) if self.rng.random_bool(share) => Some(Reply::Full),
            Health::FailingFor(every) if instance.is_multiple_of(every) => Some(Reply::Failure),
            Health::DropsIdle(idle) if is_idle_too_long(last_request, self.now, idle) => Some(Reply::Broken),
            _ if is_full => Some(Reply::Full),
            _ => None,
        };
        if let Some(reply) = reply {
            return self.schedule(ONE_WAY_DELAY, Event::Reply { job, reply });
        }
        self.servers[server].waiting.push_back(job);
        self.serve(server);
    }

    /// Starts queued requests in free slots.
    pub(super) fn serve(&mut self, server: usize) {
        while self.servers[server].running.len() < SLOTS {
            let Some(job) = self.servers[server].waiting.pop_front() else {
                return;
            };
            let request = &self.requests[self.jobs[job].request];
            let service_time = self.load.kinds[request.kind].service_time;
            let factor = match self.health(server) {
                Health::Slow(factor) => factor,
                _ => 1.0,
            };
            let time = service_time.mul_f64(factor * self.rng.random_range(0.6..1.4));
            let time = time + self.pause(server, time);
            self.servers[server].running.push(job);
            self.schedule(time, Event::Done { job });
        }
    }

    /// Returns the delay that the pauses of the server add to work that begins now and takes `time`.
    fn pause(&self, server: usize, time: Duration) -> Duration {
        // Multiples of the golden ratio spread the pauses of different servers, including those of one shard.
        let offset = PAUSE_INTERVAL.mul_f64((server as f64 * 0.618_034).fract());
        let phase = (self.elapsed() + offset).as_nanos() % PAUSE_INTERVAL.as_nanos();
        let phase = Duration::from_nanos(phase as u64);
        if phase < PAUSE {
            PAUSE - phase
        } else if phase + time > PAUSE_INTERVAL {
            PAUSE
        } else {
            Duration::ZERO
        }
    }

    /// Ends a request at its server, unless it was abandoned, and sends the reply.
    pub(super) fn done(&mut self, job: usize) {
        let server = self.jobs[job].server;
        let before = self.servers[server].running.len();
        self.servers[server].running.retain(|other| *other != job);
        if self.servers[server].running.len() == before {
            return;
        }
        self.serve(server);
        let state = &self.servers[server];
        let good = Reply::Good(state.running.len() as u32, state.waiting.len() as u32);
        let reply = match self.health(server) {
            Health::Silent | Health::Down => return,
            Health::Losing(share) if self.rng.random_bool(share) => Reply::Broken,
            _ => good,
        };
        self.schedule(ONE_WAY_DELAY, Event::Reply { job, reply });
    }
}

/// Returns whether a connection that was last used at `before` has been idle for too long.
fn is_idle_too_long(before: Option<Instant>, now: Instant, idle: Duration) -> bool {
    before.is_some_and(|before| now - before > idle)
}
