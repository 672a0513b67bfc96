//! HTTP clients of the gateway processes. They reuse their connections and record every request with its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use eyre::Result;
use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use platform_standin::values;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::crashes::CrashingRequest;
use crate::fleet::Fleet;

/// Number of concurrent callers of each process.
const CALLERS_PER_PROCESS: usize = 3;

/// Time that a caller waits for an answer. Requests carry it in the header [`values::REMAINING_MS`].
const CALLER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time that a caller waits for an answer when no faults are injected. Only a stalled machine comes close to it.
const PROBE_TIMEOUT: Duration = Duration::from_secs(8);

/// Share of the crashing request in the requests of a caller.
const CRASHING_SHARE: f64 = 0.05;

/// Requests that [`probe_all`] sends to each process on each route.
const PROBE_ROUNDS: usize = 10;

/// Route that a request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Request to all shards, whose answers are merged.
    All,
    /// Request to one server, which may be repeated.
    Safe,
    /// Request to one server, which must run at most once.
    Unsafe,
}

impl Kind {
    /// Returns the target of the usual requests.
    pub const fn target(self) -> &'static str {
        match self {
            Self::All => "/all/q",
            Self::Safe => "/safe/q",
            Self::Unsafe => "/unsafe/q",
        }
    }
}

/// Complete HTTP response as read by a caller.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Request with its answer.
#[derive(Debug, Clone)]
pub struct Exchange {
    pub id: String,
    pub kind: Kind,
    pub target: &'static str,
    /// `None` if the connection ended without an answer or the caller timed out.
    pub answer: Option<Answer>,
    pub sent: Instant,
    pub ended: Instant,
}

impl Exchange {
    /// Creates the record of a request that ends now.
    fn new(call: Call, answer: Option<Answer>, sent: Instant) -> Self {
        Self {
            id: call.id,
            kind: call.kind,
            target: call.target,
            answer,
            sent,
            ended: Instant::now(),
        }
    }
}

/// Request to send.
#[derive(Debug, Clone)]
struct Call {
    id: String,
    kind: Kind,
    target: &'static str,
    timeout: Duration,
}

impl Call {
    /// Creates a usual request of a kind.
    const fn new(id: String, kind: Kind, timeout: Duration) -> Self {
        Self {
            id,
            kind,
            target: kind.target(),
            timeout,
        }
    }
}

/// Returns the exchanges by the ids of their requests.
pub fn by_id(exchanges: &[Exchange]) -> IndexMap<&str, &Exchange> {
    let named = exchanges.iter().map(|exchange| (exchange.id.as_str(), exchange));
    named.collect()
}

/// Running callers of all processes.
pub struct Callers {
    tasks: JoinSet<Vec<Exchange>>,
    stop: Arc<AtomicBool>,
}

impl Callers {
    /// Starts [`CALLERS_PER_PROCESS`] callers for each process. Some of their requests are `crashing`, if there is one.
    pub fn start(fleet: &Fleet, crashing: Option<CrashingRequest>, rng: &mut SmallRng) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for (ix, process) in fleet.processes.iter().enumerate() {
            for caller in 0..CALLERS_PER_PROCESS {
                let rng = SmallRng::from_rng(rng);
                let name = process_prefix(ix) + &format!("c{caller}");
                tasks.spawn(run_caller(process.callers, name, crashing, rng, Arc::clone(&stop)));
            }
        }
        Self { tasks, stop }
    }

    /// Stops all callers and returns what they recorded.
    pub async fn stop(mut self) -> Vec<Exchange> {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Vec::new();
        while let Some(exchanges) = self.tasks.join_next().await {
            all.extend(exchanges.unwrap_or_default());
        }
        all
    }
}

/// Returns the prefix of the ids of all requests to a process.
pub fn process_prefix(process: usize) -> String {
    format!("p{process}")
}

async fn run_caller(
    address: SocketAddr,
    name: String,
    crashing: Option<CrashingRequest>,
    mut rng: SmallRng,
    stop: Arc<AtomicBool>,
) -> Vec<Exchange> {
    let mut exchanges = Vec::new();
    let mut idle = None;
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..30))).await;
        let kind = [Kind::All, Kind::Safe, Kind::Unsafe][rng.random_range(0..3)];
        let id = format!("{name}n{}", exchanges.len());
        // Some callers time out early. That must cancel the request and never run it twice.
        let timeout = if rng.random_bool(0.05) {
            CALLER_TIMEOUT / 20
        } else {
            CALLER_TIMEOUT
        };
        let mut call = Call::new(id, kind, timeout);
        if let Some(crashing) = crashing.filter(|_| rng.random_bool(CRASHING_SHARE)) {
            call.kind = crashing.kind;
            call.target = crashing.target();
        }
        let sent = Instant::now();
        let answer = send(&mut idle, address, &call).await;
        exchanges.push(Exchange::new(call, answer, sent));
    }
    exchanges
}

type Connection = SendRequest<Full<Bytes>>;

/// Sends a request over the idle connection if it is still usable, or else over a new one.
async fn send(idle: &mut Option<Connection>, address: SocketAddr, call: &Call) -> Option<Answer> {
    let sending = async {
        let mut connection = match idle.take().filter(SendRequest::is_ready) {
            Some(connection) => connection,
            None => connect(address).await?,
        };
        let method = if call.kind == Kind::Unsafe { "POST" } else { "GET" };
        let request = Request::builder()
            .method(method)
            .uri(call.target)
            .header("host", "shop.example")
            .header(values::REQUEST_ID, &call.id)
            .header(
                values::REMAINING_MS,
                call.timeout.max(CALLER_TIMEOUT).as_millis().to_string(),
            )
            .body(Full::new(Bytes::from_static(b"body")))
            .ok()?;
        let response = connection.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        *idle = Some(connection);
        Some(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    };
    tokio::time::timeout(call.timeout, sending).await.ok().flatten()
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        let _result = connection.await;
    });
    Some(sender)
}

/// Sends requests of every kind to every process after the faults have ended. The ids start with `phase`.
pub async fn probe_all(fleet: &Fleet, phase: &str) -> Vec<Exchange> {
    // A process avoids a failed server for up to 2 s, evaluates an expired entry after 2 s, and gives up a read that
    // the store does not answer within 3.7 s.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let mut exchanges = Vec::new();
    for round in 0..PROBE_ROUNDS {
        for process in &fleet.processes {
            for kind in [Kind::All, Kind::Safe, Kind::Unsafe] {
                let id = format!("{phase}-{}-{round}-{kind:?}", process.name);
                let call = Call::new(id, kind, PROBE_TIMEOUT);
                let sent = Instant::now();
                let answer = send(&mut None, process.callers, &call).await;
                exchanges.push(Exchange::new(call, answer, sent));
            }
        }
    }
    exchanges
}

/// Stops each process with SIGTERM while a request is in flight.
///
/// Returns these requests with the exit codes of the processes.
pub async fn stop_each(fleet: &mut Fleet) -> Result<Vec<(Exchange, Option<i32>)>> {
    let mut stops = Vec::new();
    for ix in 0..fleet.processes.len() {
        for backend in &fleet.backends {
            backend
                .server
                .enqueue([platform_standin::Behaviour::Delayed(Duration::from_millis(500))]);
        }
        let address = fleet.processes[ix].callers;
        let call = Call::new(format!("stop-{ix}"), Kind::Unsafe, PROBE_TIMEOUT);
        let request = call.clone();
        let sent = Instant::now();
        let sending = tokio::spawn(async move { send(&mut None, address, &request).await });
        let has_run = |fleet: &Fleet| {
            let mut requests = fleet.backends.iter().flat_map(|backend| backend.server.executed());
            requests.any(|request| request.header(values::REQUEST_ID) == Some(&call.id))
        };
        while !has_run(fleet) && !sending.is_finished() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        fleet.signal(ix, "TERM").await?;
        let answer = sending.await?;
        let status = fleet.processes[ix].child.wait().await?;
        let exchange = Exchange::new(call, answer, sent);
        stops.push((exchange, status.code()));
    }
    Ok(stops)
}
