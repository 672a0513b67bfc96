//! Loopback proxy that delays, resets, silences or cuts one way the connections through it.

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

/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// What the proxy does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Passes them on.
    Pass,
    /// Passes them on after a time.
    Delay(Duration),
    /// Holds all back, in both directions.
    Silent,
    /// Holds back what comes from the server.
    OneWay,
    /// Resets all connections.
    Reset,
}

/// Proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    /// Address on which it listens.
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
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(Mode::Pass));
        let modes = Arc::clone(&mode);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, target, modes.subscribe()));
            }
        });
        Ok(Self { address, mode, task })
    }

    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn relay(near: TcpStream, target: SocketAddr, mut modes: watch::Receiver<Mode>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forth = pump(near_read, far_write, modes.clone(), false);
    let back = pump(far_read, near_write, modes.clone(), true);
    tokio::select! {
        () = forth => {}
        () = back => {}
        // Dropping both sides with bytes unread resets the connection.
        _reset = modes.wait_for(|mode| *mode == Mode::Reset) => {}
    }
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut modes: watch::Receiver<Mode>, is_answer: bool) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count) = from.read(&mut chunk).await else { return };
        if count == 0 {
            return;
        }
        let holds = move |mode: &Mode| matches!(mode, Mode::Silent) || (is_answer && matches!(mode, Mode::OneWay));
        if modes.wait_for(|mode| !holds(mode)).await.is_err() {
            return;
        }
        let mode = *modes.borrow();
        if let Mode::Delay(time) = mode {
            tokio::time::sleep(time).await;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
