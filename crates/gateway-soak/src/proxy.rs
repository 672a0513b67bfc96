//! TCP proxy on the loopback interface that can delay, hold or reset the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of the buffer of one read.
const CHUNK_BYTES: usize = 16 * 1024;

/// How the proxy treats the bytes that it reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Forwards them.
    Forward,
    /// Forwards each chunk after a delay.
    Delay(Duration),
    /// Holds them back in both directions.
    Hold,
    /// Holds back those from the server.
    HoldAnswers,
    /// Resets all connections.
    Reset,
}

/// Proxy in front of one address. Dropping it closes the listener.
#[derive(Debug)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy to `target` on a free port.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(Mode::Forward));
        let mode_changes = Arc::clone(&mode);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, target, mode_changes.subscribe()));
            }
        });
        Ok(Self { address, mode, task })
    }

    /// Sets the mode of all connections, open ones included.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn relay(client: TcpStream, target: SocketAddr, mut mode_changes: watch::Receiver<Mode>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = forward(client_read, server_write, mode_changes.clone(), false);
    let answers = forward(server_read, client_write, mode_changes.clone(), true);
    tokio::select! {
        () = requests => {}
        () = answers => {}
        // Dropping sockets with unread bytes resets the connection.
        _reset = mode_changes.wait_for(|mode| *mode == Mode::Reset) => {}
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode_changes: watch::Receiver<Mode>,
    is_from_server: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count) = from.read(&mut chunk).await else { return };
        if count == 0 {
            return;
        }
        let is_held =
            move |mode: &Mode| matches!(mode, Mode::Hold) || (is_from_server && matches!(mode, Mode::HoldAnswers));
        if mode_changes.wait_for(|mode| !is_held(mode)).await.is_err() {
            return;
        }
        let mode = *mode_changes.borrow();
        if let Mode::Delay(time) = mode {
            tokio::time::sleep(time).await;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
