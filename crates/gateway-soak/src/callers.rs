//! Callers that keep their connections until the process closes them, and what they saw.

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
use platform_standin::values;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::fleet::Fleet;

/// Callers for each process.
const PER_PROCESS: usize = 3;

/// Time that a caller waits, which it also states.
const PATIENCE: Duration = Duration::from_millis(1500);

/// Time that a caller waits after the faults. Nothing but a stalled machine needs it.
const CALM_PATIENCE: Duration = Duration::from_secs(8);

/// Rounds over all processes and routes after the faults.
const CALM_ROUNDS: usize = 10;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    All,
    Safe,
    Unsafe,
}

impl Kind {
    pub const fn path(self) -> &'static str {
        match self {
            Self::All => "/all/q",
            Self::Safe => "/safe/q",
            Self::Unsafe => "/unsafe/q",
        }
    }
}

/// Answer as a caller read it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Request with its answer; `None` where the connection ended or the caller gave up.
#[derive(Debug, Clone)]
pub struct Record {
    pub id: String,
    pub kind: Kind,
    pub answer: Option<Answer>,
    pub sent: Instant,
    pub ended: Instant,
}

impl Record {
    /// Makes the record of a request that ends now.
    fn new(id: String, kind: Kind, answer: Option<Answer>, sent: Instant) -> Self {
        Self {
            id,
            kind,
            answer,
            sent,
            ended: Instant::now(),
        }
    }
}

pub struct Callers {
    tasks: JoinSet<Vec<Record>>,
    stop: Arc<AtomicBool>,
}

impl Callers {
    pub fn start(fleet: &Fleet, rng: &mut SmallRng) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for (process, one) in fleet.processes.iter().enumerate() {
            for caller in 0..PER_PROCESS {
                let rng = SmallRng::from_rng(rng);
                tasks.spawn(call(
                    one.callers,
                    process_prefix(process) + &format!("c{caller}"),
                    rng,
                    Arc::clone(&stop),
                ));
            }
        }
        Self { tasks, stop }
    }

    pub async fn stop(mut self) -> Vec<Record> {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Vec::new();
        while let Some(records) = self.tasks.join_next().await {
            all.extend(records.unwrap_or_default());
        }
        all
    }
}

/// Beginning of the identities of requests to a process.
pub fn process_prefix(process: usize) -> String {
    format!("p{process}")
}

async fn call(address: SocketAddr, name: String, mut rng: SmallRng, stop: Arc<AtomicBool>) -> Vec<Record> {
    let mut records = Vec::new();
    let mut kept = None;
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..30))).await;
        let kind = [Kind::All, Kind::Safe, Kind::Unsafe][rng.random_range(0..3)];
        let id = format!("{name}n{}", records.len());
        // Some callers leave early, which must stop the work and never let it run twice.
        let patience = if rng.random_bool(0.05) { PATIENCE / 20 } else { PATIENCE };
        let sent = Instant::now();
        let answer = ask(&mut kept, address, &id, kind, patience).await;
        records.push(Record::new(id, kind, answer, sent));
    }
    records
}

type Connection = SendRequest<Full<Bytes>>;

/// Sends a request over the kept connection, or a new one.
async fn ask(
    kept: &mut Option<Connection>,
    address: SocketAddr,
    id: &str,
    kind: Kind,
    patience: Duration,
) -> Option<Answer> {
    let asking = async {
        let mut connection = match kept.take().filter(SendRequest::is_ready) {
            Some(connection) => connection,
            None => connect(address).await?,
        };
        let method = if kind == Kind::Unsafe { "POST" } else { "GET" };
        let request = Request::builder()
            .method(method)
            .uri(kind.path())
            .header("host", "shop.example")
            .header(values::REQUEST_ID, id)
            .header(values::REMAINING_MS, patience.max(PATIENCE).as_millis().to_string())
            .body(Full::new(Bytes::from_static(b"body")))
            .ok()?;
        let response = connection.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        *kept = Some(connection);
        Some(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    };
    tokio::time::timeout(patience, asking).await.ok().flatten()
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        let _seen_by_the_request = connection.await;
    });
    Some(sender)
}

/// Asks every process for every kind of request, after the faults have ended. The ids begin with `phase`.
pub async fn calm(fleet: &Fleet, phase: &str) -> Vec<Record> {
    // Servers that failed are left alone for up to 2 s, lapsed entries are judged after 2 s, and a read that the store
    // lost ends within 3.7 s.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let mut records = Vec::new();
    for round in 0..CALM_ROUNDS {
        for process in &fleet.processes {
            for kind in [Kind::All, Kind::Safe, Kind::Unsafe] {
                let id = format!("{phase}-{}-{round}-{kind:?}", process.name);
                let sent = Instant::now();
                let answer = ask(&mut None, process.callers, &id, kind, CALM_PATIENCE).await;
                records.push(Record::new(id, kind, answer, sent));
            }
        }
    }
    records
}

/// Stops each process while a request is in flight, and returns the requests with the exit codes.
pub async fn stop_each(fleet: &mut Fleet) -> Result<Vec<(Record, Option<i32>)>> {
    let mut stops = Vec::new();
    for ix in 0..fleet.processes.len() {
        for backend in &fleet.backends {
            backend
                .server
                .enqueue([platform_standin::Behaviour::Delayed(Duration::from_millis(500))]);
        }
        let address = fleet.processes[ix].callers;
        let id = format!("stop-{ix}");
        let asked = id.clone();
        let sent = Instant::now();
        let asking = tokio::spawn(async move { ask(&mut None, address, &asked, Kind::Unsafe, CALM_PATIENCE).await });
        let ran = |fleet: &Fleet| {
            let mut all = fleet.backends.iter().flat_map(|backend| backend.server.executed());
            all.any(|seen| seen.header(values::REQUEST_ID) == Some(&id))
        };
        while !ran(fleet) && !asking.is_finished() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        fleet.signal(ix, "TERM").await?;
        let answer = asking.await?;
        let status = fleet.processes[ix].child.wait().await?;
        let record = Record::new(id, Kind::Unsafe, answer, sent);
        stops.push((record, status.code()));
    }
    Ok(stops)
}
