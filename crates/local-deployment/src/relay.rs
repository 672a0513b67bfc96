//! TCP relay in front of a program that can delay, hold or close its connections.
//!
//! To its peers, a program behind a relay that holds all bytes looks paused: its connections stay open and are silent.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Size of the buffer of one read.
const CHUNK_BYTES: usize = 16 * 1024;

/// How the relay treats its connections, open and new ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Forwards each chunk after a delay.
    Forward(Duration),
    /// Keeps connections open but forwards nothing.
    Hold,
    /// Closes connections.
    Cut,
}

/// Running relay. Dropping it closes its connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Starts a relay to `target` on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(Mode::Forward(Duration::ZERO));
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, mode.subscribe()));
        Ok(Self {
            address,
            mode,
            _tasks: tasks,
        })
    }

    /// Returns the address on which the relay listens in place of the program.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of all connections, open ones included.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        if let Ok((stream, _)) = listener.accept().await {
            connections.spawn(relay(stream, target, mode.clone()));
        }
    }
}

async fn relay(client: TcpStream, target: SocketAddr, mut mode: watch::Receiver<Mode>) {
    let Ok(program) = TcpStream::connect(target).await else {
        return;
    };
    let _best_effort = (client.set_nodelay(true), program.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (program_read, program_write) = program.into_split();
    tokio::select! {
        () = forward(client_read, program_write, mode.clone()) => {}
        () = forward(program_read, client_write, mode.clone()) => {}
        _cut = mode.wait_for(|mode| *mode == Mode::Cut) => {}
    }
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut mode: watch::Receiver<Mode>) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        let Ok(mode_now) = mode.wait_for(|mode| *mode != Mode::Hold).await.map(|mode| *mode) else {
            return;
        };
        if let Mode::Forward(delay) = mode_now
            && !delay.is_zero()
        {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
