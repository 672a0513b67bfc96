//! Stand-ins for the cases of the review: the platform's store, backend servers, callers, and gateway processes.
//!
//! Standard library only. Everything listens on 127.0.0.1.

#![allow(dead_code, reason = "each case uses a part of this file")]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Returns whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Log of a case, in its folder.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3}  {text}\n");
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// HTTP request as a stand-in reads it.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// First line, headers and body.
type Message = (String, Vec<(String, String)>, Vec<u8>);

/// Reads a head and a body with a length.
fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    let mut byte = [0_u8];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((first, headers, body))
}

pub fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let (first, headers, body) = read_message(stream)?;
    let mut words = first.split(' ');
    Some(Request {
        method: words.next()?.to_owned(),
        target: words.next()?.to_owned(),
        headers,
        body,
    })
}

fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in data.chunks(3) {
        let bits = (0..3).fold(0_u32, |bits, ix| (bits << 8) | u32::from(*chunk.get(ix).unwrap_or(&0)));
        for ix in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * ix)) as usize & 63] as char;
            text.push(if ix <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    events: Vec<(u64, String, Option<String>)>,
}

/// Stand-in for the platform's store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    /// Whether this address is closed.
    is_closed: Arc<AtomicBool>,
}

impl Store {
    pub fn start() -> Self {
        let state: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        state.0.lock().unwrap().revision = 1;
        Self::listen(state)
    }

    /// Opens another address of the same store.
    pub fn add_address(&self) -> Self {
        Self::listen(Arc::clone(&self.state))
    }

    /// Returns an address of the same store that refuses connections until [`Store::open`] is called.
    pub fn add_closed_address(&self) -> Self {
        let (address, state) = (free_address(), Arc::clone(&self.state));
        Self {
            address,
            state,
            is_closed: Arc::default(),
        }
    }

    fn listen(state: Arc<(Mutex<StoreState>, Condvar)>) -> Self {
        let (address, is_closed) = (free_address(), Arc::default());
        Self {
            address,
            state,
            is_closed,
        }
        .open()
    }

    /// Accepts connections from now on.
    pub fn open(self) -> Self {
        let store = self;
        let listener = TcpListener::bind(store.address).unwrap();
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_closed.load(Ordering::Relaxed) {
                    return;
                }
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Closes this address and its connections. The store goes on at its other addresses.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
        self.state.1.notify_all();
    }

    /// Writes a value, or removes the key. Returning is the acknowledgement.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match value {
            Some(value) => state.items.insert(key.to_owned(), (value.to_owned(), revision)),
            None => state.items.remove(key),
        };
        state
            .events
            .push((revision, key.to_owned(), value.map(ToOwned::to_owned)));
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream) {
            let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
            let value = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs
                    .find(|(key, _)| *key == name)
                    .map_or(String::new(), |(_, value)| value.replace("%2F", "/"))
            };
            let prefix = value("Prefix");
            let body = if path == "/-/kv-watch" {
                let after: u64 = value("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(value("WaitMs").parse().unwrap_or(0));
                match self.watch(&prefix, after, wait) {
                    Some(body) => body,
                    None => return,
                }
            } else {
                self.list(&prefix, &value("after"))
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the events after a revision, or `None` if the address is closed.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<String> {
        let began = Instant::now();
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events = state.events.iter();
            let events: Vec<String> = events
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, value, *revision),
                    None => format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Deleted\":true}}"),
                })
                .collect();
            let waited = began.elapsed();
            if !events.is_empty() || waited >= wait {
                let revision = state.revision;
                return Some(format!(
                    "{{\"events\":[{}],\"StoreRevision\":{revision}}}",
                    events.join(",")
                ));
            }
            if self.is_closed.load(Ordering::Relaxed) {
                return None;
            }
            let left = (wait - waited).min(Duration::from_millis(20));
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn list(&self, prefix: &str, after: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let items = state.items.iter();
        let items: Vec<String> = items
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, (value, revision))| item(key, value, *revision))
            .collect();
        let revision = state.revision;
        format!(
            "{{\"items\":[{}],\"HasMore\":false,\"StoreRevision\":{revision}}}",
            items.join(",")
        )
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    let value = base64(value.as_bytes());
    format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"Created\":{revision},\"Lease\":0}}")
}

/// Returns the present time in Unix milliseconds.
pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

/// What a server does with a request that it begins to run.
#[derive(Debug, Clone)]
pub enum Work {
    /// Runs it for this long and answers it, unless its connection closes.
    Answer(Duration),
    /// Runs it for this long and resets the connection, as a process that crashes.
    Crash(Duration),
}

/// Arrival of a request at a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub server: String,
    pub id: String,
    pub at: Instant,
    /// Whether it ran. A request for another server is refused with 421.
    pub ran: bool,
    pub target: String,
}

type Plan = dyn Fn(&Request) -> Work + Send + Sync;

/// Requests that a server runs at the same time.
const SLOTS: usize = 3;

/// Requests that wait at a server for a slot; it refuses more.
const QUEUE: usize = 18;

/// Requests at a server, in the order in which they came. The first [`SLOTS`] run.
#[derive(Default)]
struct Queue {
    next: u64,
    present: Vec<u64>,
}

/// Place of a request at a server.
struct Place {
    queue: Arc<Mutex<Queue>>,
    number: u64,
}

impl Place {
    /// Returns `None` if the server is full.
    fn take(queue: &Arc<Mutex<Queue>>) -> Option<Self> {
        let mut state = queue.lock().unwrap();
        if state.present.len() >= SLOTS + QUEUE {
            return None;
        }
        state.next += 1;
        let number = state.next;
        state.present.push(number);
        Some(Self {
            queue: Arc::clone(queue),
            number,
        })
    }

    fn may_run(&self) -> bool {
        let state = self.queue.lock().unwrap();
        state.present.iter().take(SLOTS).any(|number| *number == self.number)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.queue
            .lock()
            .unwrap()
            .present
            .retain(|number| *number != self.number);
    }
}

/// Stand-in for a backend server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u128,
    zone: String,
    store: Store,
    record: Record,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    plan: Arc<Plan>,
    queue: Arc<Mutex<Queue>>,
    body: Vec<u8>,
    /// Header lines of all answers.
    headers: Arc<Mutex<String>>,
    has_exited: Arc<AtomicBool>,
}

impl Server {
    /// Starts a server and registers it as ready.
    pub fn start(
        name: (&str, &str, &str),
        store: &Store,
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        plan: impl Fn(&Request) -> Work + Send + Sync + 'static,
    ) -> Self {
        let (id, service, zone) = name;
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            born: unix_ms(),
            zone: zone.to_owned(),
            store: store.clone(),
            record: record.clone(),
            arrivals: Arc::clone(arrivals),
            plan: Arc::new(plan),
            queue: Arc::default(),
            body: format!("body of {service}").into_bytes(),
            headers: Arc::default(),
            has_exited: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_exited.load(Ordering::Relaxed) {
                    return;
                }
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server.report("ready");
        server
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns the entry as the server writes it.
    pub fn entry(&self, state: &str) -> String {
        let Self {
            service,
            address,
            zone,
            born,
            ..
        } = self;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":3,\
             \"State\":\"{state}\",\"WarmupLeftMs\":0,\"Seq\":7,\"born\":{born}}}"
        )
    }

    /// Ends the server: its connections and its listener close, and its entry is removed.
    pub fn exit(&self) {
        self.record.note(&format!("{} exits", self.id));
        self.has_exited.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
        self.store.write(&self.key(), None);
    }

    /// Adds a header to all answers from now on.
    pub fn say(&self, header: &str) {
        self.record
            .note(&format!("{} says in all its answers: {header}", self.id));
        let _ = write!(self.headers.lock().unwrap(), "{header}\r\n");
    }

    /// Writes the entry. Returns when the store has accepted it.
    pub fn report(&self, state: &str) {
        self.store.write(&self.key(), Some(&self.entry(state)));
        self.record.note(&format!(
            "store has accepted {} of {} ({}): {state}",
            self.key(),
            self.service,
            self.address
        ));
    }

    fn serve(self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = read_request(&mut stream) {
            let id = request.header("x-pimentoflow-request-id").to_owned();
            let expected = request.header("x-pimentoflow-expect-instance");
            let ran = expected.is_empty() || expected == self.id;
            let at = Instant::now();
            let (server, service, target) = (self.id.clone(), &self.service, request.target.clone());
            self.record.note(&format!(
                "{server} of {service} gets {id} {target} (expected {expected}, runs {ran})"
            ));
            self.arrivals.lock().unwrap().push(Arrival {
                server,
                id: id.clone(),
                at,
                ran,
                target,
            });
            let left: u64 = request.header("x-pimentoflow-deadline-ms").parse().unwrap_or(60_000);
            let deadline = at + Duration::from_millis(left);
            let outcome = if ran {
                self.run(&request, &stream, deadline)
            } else {
                Outcome::Misdirected
            };
            self.record.note(&format!("{} ends {id}: {outcome:?}", self.id));
            let (status, header, body) = match outcome {
                Outcome::Closed | Outcome::Crashed => return,
                Outcome::Misdirected => ("421 Misdirected Request", String::new(), &b""[..]),
                Outcome::Full => ("503 Full", "X-Pimentoflow-Not-Executed: 1\r\n".to_owned(), &b""[..]),
                Outcome::TooLate => ("504 Deadline", self.stamp(&id), &b""[..]),
                Outcome::Done => ("200 OK", self.stamp(&id), &*self.body),
            };
            let head = format!(
                "HTTP/1.1 {status}\r\nX-Pimentoflow-Request-Id: {id}\r\n{header}{}Content-Length: {}\r\n\r\n",
                self.headers.lock().unwrap(),
                body.len()
            );
            let mut bytes = head.into_bytes();
            bytes.extend(body);
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn stamp(&self, id: &str) -> String {
        format!("X-Pimentoflow-Server-Stamp: {}.{id}\r\n", self.id)
    }

    /// Waits for a slot and runs a request.
    fn run(&self, request: &Request, stream: &TcpStream, deadline: Instant) -> Outcome {
        let Some(place) = Place::take(&self.queue) else {
            return Outcome::Full;
        };
        while !place.may_run() {
            if !self.wait(stream, Duration::from_millis(4)) {
                return Outcome::Closed;
            }
            if Instant::now() >= deadline {
                return Outcome::Full;
            }
        }
        let work = (self.plan)(request);
        let (Work::Answer(time) | Work::Crash(time)) = work;
        let left = deadline.saturating_duration_since(Instant::now());
        match work {
            _ if !self.wait(stream, time.min(left)) => Outcome::Closed,
            _ if time > left => Outcome::TooLate,
            Work::Crash(_) => Outcome::Crashed,
            Work::Answer(_) => Outcome::Done,
        }
    }
}

impl Server {
    /// Waits for `time`. Returns whether the peer kept the connection open and this server did not exit.
    fn wait(&self, stream: &TcpStream, time: Duration) -> bool {
        let end = Instant::now() + time;
        let mut byte = [0];
        loop {
            if self.has_exited.load(Ordering::Relaxed) {
                return false;
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let _ = stream.set_read_timeout(None);
                return true;
            }
            let step = left.min(Duration::from_millis(10)).max(Duration::from_millis(1));
            let _ = stream.set_read_timeout(Some(step));
            if let Ok(0) = stream.peek(&mut byte) {
                return false;
            }
        }
    }
}

/// How a request ends at a server.
#[derive(Debug, Clone, Copy)]
enum Outcome {
    Done,
    Misdirected,
    /// Not run: no room, or the deadline passed in the queue.
    Full,
    TooLate,
    /// The connection was closed, by the gateway or because the server exits.
    Closed,
    Crashed,
}

/// Answer that a caller got; `None` as status if the connection ended without one.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: Option<u16>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// Caller that sends each request on a connection of its own.
#[derive(Clone)]
pub struct Caller {
    pub address: SocketAddr,
    pub record: Record,
}

impl Caller {
    /// Sends a request of `host` and waits for the answer.
    pub fn send(&self, method: &str, target: &str, id: &str, deadline_ms: u64) -> Answer {
        let began = Instant::now();
        self.record.note(&format!(
            "caller sends {id} {method} {target} (deadline {deadline_ms} ms)"
        ));
        self.finish(began, id, self.exchange(method, target, id, deadline_ms))
    }

    /// Sends a request whose body of 20 KB arrives in pieces over `time`, as over a slow link.
    pub fn send_slowly(&self, method: &str, target: &str, id: &str, deadline_ms: u64, time: Duration) -> Answer {
        const PIECES: u32 = 20;
        let began = Instant::now();
        self.record.note(&format!(
            "caller sends {id} {method} {target} (deadline {deadline_ms} ms, body over {} ms)",
            time.as_millis()
        ));
        let upload = || {
            let mut stream = TcpStream::connect(self.address).ok()?;
            let _ = stream.set_read_timeout(Some(Duration::from_millis(deadline_ms) - time));
            let request = format!(
                "{method} {target} HTTP/1.1\r\nHost: review.example\r\nX-Pimentoflow-Request-Id: {id}\r\n\
                 X-Pimentoflow-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n",
                PIECES * 1000
            );
            stream.write_all(request.as_bytes()).ok()?;
            for _ in 0..PIECES {
                thread::sleep(time / PIECES);
                stream.write_all(&[b'x'; 1000]).ok()?;
            }
            self.record.note(&format!("caller has sent the whole body of {id}"));
            read_message(&mut stream)
        };
        self.finish(began, id, upload())
    }

    fn finish(&self, began: Instant, id: &str, answer: Option<Message>) -> Answer {
        let (status, headers, body) = answer.map_or((None, Vec::new(), Vec::new()), |(first, headers, body)| {
            (
                first.split(' ').nth(1).and_then(|status| status.parse().ok()),
                headers,
                body,
            )
        });
        let answer = Answer {
            status,
            headers,
            body,
            took: began.elapsed(),
        };
        self.record.note(&format!(
            "caller gets for {id}: {:?} after {} ms, stamp '{}', body '{}'",
            answer.status,
            answer.took.as_millis(),
            answer.header("x-pimentoflow-server-stamp"),
            String::from_utf8_lossy(&answer.body).trim()
        ));
        answer
    }

    fn exchange(&self, method: &str, target: &str, id: &str, deadline_ms: u64) -> Option<Message> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        let _ = stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)));
        let request = format!(
            "{method} {target} HTTP/1.1\r\nHost: review.example\r\nX-Pimentoflow-Request-Id: {id}\r\n\
             X-Pimentoflow-Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).ok()?;
        read_message(&mut stream)
    }
}

/// Connection of a caller that keeps it open for several requests.
pub struct KeptConnection {
    stream: TcpStream,
    record: Record,
}

impl Caller {
    /// Opens a connection for several requests.
    pub fn connect(&self) -> Option<KeptConnection> {
        let stream = TcpStream::connect(self.address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
        Some(KeptConnection {
            stream,
            record: self.record.clone(),
        })
    }
}

impl KeptConnection {
    /// Sends a request with a head of about `head_bytes` and returns the status of the answer, if there is one.
    pub fn send(&mut self, method: &str, target: &str, id: &str, head_bytes: usize) -> Option<u16> {
        let padding = "p".repeat(head_bytes.saturating_sub(200));
        let request = format!(
            "{method} {target} HTTP/1.1\r\nHost: review.example\r\nX-Pimentoflow-Request-Id: {id}\r\n\
             X-Pimentoflow-Deadline-Ms: 6000\r\nCookie: {padding}\r\nContent-Length: 0\r\n\r\n"
        );
        self.record.note(&format!(
            "caller sends {id} {method} {target} with a head of {} bytes",
            request.len()
        ));
        let sent = self.stream.write_all(request.as_bytes());
        let answer = sent.ok().and_then(|()| read_message(&mut self.stream));
        let status = answer.and_then(|(first, ..)| first.split(' ').nth(1)?.parse().ok());
        self.record.note(&format!("caller gets for {id}: {status:?}"));
        status
    }
}

/// Gateway process, started with the command of the deploy file.
pub struct Gateway {
    pub name: String,
    zone: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    metrics: SocketAddr,
    pub peers: SocketAddr,
    child: Child,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a free port of the loopback address.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Place of the files of the processes, and the addresses reserved for them.
pub struct Deployment {
    folder: PathBuf,
    /// Address of the store in the settings of processes that start, or are told to reload, from now on.
    pub store: SocketAddr,
    seeds: Vec<SocketAddr>,
}

impl Deployment {
    /// Reserves the addresses of `count` gateways.
    pub fn new(store: &Store, count: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Self {
            folder,
            store: store.address,
            seeds: (0..count).map(|_| free_address()).collect(),
        }
    }

    /// Starts gateway `ix` in `zone` and waits until it is ready. Returns `None` if it isn't within 10 s.
    pub fn start(&self, ix: usize, zone: &str) -> Option<Gateway> {
        let gateway = self.spawn(ix, zone)?;
        gateway.wait_until_ready().then_some(gateway)
    }

    /// Starts gateway `ix` in `zone` and waits until it listens.
    pub fn spawn(&self, ix: usize, zone: &str) -> Option<Gateway> {
        let (callers, readiness, metrics) = (free_address(), free_address(), free_address());
        let peers = self.seeds[ix];
        let name = format!("front-{zone}-{ix}");
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, self.settings(&name, zone, [callers, readiness, metrics, peers])).ok()?;
        let port = metrics.port();
        let log = File::create(self.folder.join(format!("{name}.log"))).ok()?;
        let child = Command::new("target/release/pimento-gateway")
            .args(["--metrics-port", &port.to_string()])
            .env("PIMENTOFLOW_SETTINGS", &path)
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()
            .ok()?;
        let zone = zone.to_owned();
        let gateway = Gateway {
            name,
            zone,
            callers,
            readiness,
            metrics,
            peers,
            child,
        };
        let began = Instant::now();
        while TcpStream::connect(gateway.readiness).is_err() {
            if began.elapsed() > Duration::from_secs(10) {
                return None;
            }
            thread::sleep(Duration::from_millis(20));
        }
        Some(gateway)
    }
}

impl Gateway {
    /// Returns whether the gateway is ready within 10 s.
    pub fn wait_until_ready(&self) -> bool {
        let began = Instant::now();
        while !is_ready(self.readiness) {
            if began.elapsed() > Duration::from_secs(10) {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }
}

impl Deployment {
    fn settings(&self, name: &str, zone: &str, addresses: [SocketAddr; 4]) -> String {
        let [callers, readiness, metrics, peers] = addresses;
        let seeds: Vec<String> = self.seeds.iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        let (port, store) = (metrics.port(), self.store);
        format!(
            "{{\"NodeName\":\"{name}\",\"Role\":\"gateway\",\"MachineClass\":\"front\",\"Serves\":[\"front\",\"control\"],\
             \"Ip\":\"127.0.0.1\",\"Zone\":\"{zone}\",\"Region\":\"r\",\"Zones\":{{\"a\":\"r\",\"b\":\"r\",\"c\":\"r\"}},\
             \"Listen\":{{\"Frontend\":\"{callers}\",\"Readiness\":\"{readiness}\",\"Control\":\"{peers}\"}},\
             \"InternalPorts\":[{port},{port}],\"Seeds\":[{seeds}],\"Bootstrap\":true,\
             \"Limits\":{{\"CpuShare\":0.38,\"CpuCores\":1,\"MemoryMb\":390,\"MaxFds\":6150,\"LinkMbps\":1500.0,\"DiskMb\":0}},\
             \"Discovery\":\"platform\",\"Entry\":\"vip\",\"HeartbeatMs\":1200,\
             \"Bounds\":{{\"SeedLagS\":3,\"ReuseAfterS\":2,\"SettleWindowMs\":4000,\"AckMs\":5000,\"CatchUpS\":4,\
             \"DrainMs\":3000,\"GraceS\":6,\"LossSlackMs\":200,\"ConfigMs\":3000,\"RollbackSlackMs\":250,\
             \"SkewMs\":12000,\"RetryBudgetRatio\":0.2,\"BudgetWindowS\":10,\"BudgetSlack\":54,\"RecoverS\":12}},\
             \"platform\":{{\"Address\":\"{store}\",\"form\":\"read\",\"WritesPerS\":400,\"ReadsPerS\":2000,\
             \"HistoryS\":20,\"ValueBytes\":1048576,\"TtlMinMs\":1000}}}}",
            seeds = seeds.join(",")
        )
    }

    /// Writes the settings of a gateway again, in one step, and sends it SIGHUP if `signals` says so.
    pub fn reload(&self, gateway: &Gateway, signals: bool) {
        let Gateway {
            name,
            zone,
            callers,
            readiness,
            metrics,
            peers,
            child,
        } = gateway;
        let new = self.folder.join(format!("{name}.new"));
        let settings = self.settings(name, zone, [*callers, *readiness, *metrics, *peers]);
        std::fs::write(&new, settings).unwrap();
        std::fs::rename(new, self.folder.join(format!("{name}.json"))).unwrap();
        if !signals {
            return;
        }
        let sent = Command::new("sh")
            .args(["-c", &format!("kill -HUP {}", child.id())])
            .status();
        assert!(sent.is_ok_and(|status| status.success()), "SIGHUP can be sent");
    }

    /// Returns what a gateway has logged.
    pub fn log_of(&self, gateway: &Gateway) -> String {
        std::fs::read_to_string(self.folder.join(format!("{}.log", gateway.name))).unwrap_or_default()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Asks a gateway whether it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let request = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let sent = stream.write_all(request.as_bytes());
    sent.is_ok() && read_message(&mut stream).is_some_and(|(first, ..)| first.contains(" 200"))
}

/// `MaxHeaderBytes` of [`configuration`].
pub const MAX_HEADER_BYTES: usize = 16_384;

/// Returns a configuration with one route for each service: `/SERVICE/` of type `safe` or `unsafe`.
pub fn configuration(version: u64, routes: &[(&str, &str)]) -> String {
    configuration_with(version, routes, MAX_HEADER_BYTES)
}

/// Like [`configuration`], with another `MaxHeaderBytes`.
pub fn configuration_with(version: u64, routes: &[(&str, &str)], max_header_bytes: usize) -> String {
    let services: Vec<String> = routes
        .iter()
        .map(|(service, _)| {
            format!("{{\"Name\":\"{service}\",\"HealthPath\":\"/health\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false}}")
        })
        .collect();
    let routes: Vec<String> = routes
        .iter()
        .map(|(service, kind)| {
            format!(
                "{{\"Name\":\"{service}\",\"Host\":\"review.example\",\"Prefix\":\"/{service}/\",\"Type\":\"{kind}\",\
                 \"Priority\":2,\"TimeoutMs\":6000,\"TargetLatencyMs\":600,\"Attempts\":2,\"Service\":\"{service}\"}}"
            )
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":{max_header_bytes},\
         \"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Notes the result and returns the exit code of a case.
pub fn finish(record: &Record, rule: &str, breaches: &[String]) -> i32 {
    for breach in breaches {
        record.note(&format!("{rule} BROKEN: {breach}"));
    }
    record.note(&format!(
        "{rule}: {}",
        if breaches.is_empty() { "held" } else { "broken" }
    ));
    if breaches.is_empty() { HELD } else { BROKEN }
}
