//! Counts the connections whose peer has not yet taken what was written to them.
//!
//! A process that ends while an answer is in its buffers cuts the answer, so a planned stop waits for these connections.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Stream that counts as unsent while its last write waits for the peer.
#[derive(Debug)]
pub(super) struct CountUnsent<S> {
    stream: S,
    counter: Arc<AtomicUsize>,
    is_waiting: bool,
}

impl<S> CountUnsent<S> {
    pub(super) const fn new(stream: S, counter: Arc<AtomicUsize>) -> Self {
        Self {
            stream,
            counter,
            is_waiting: false,
        }
    }

    fn set_waiting(&mut self, is_waiting: bool) {
        match (self.is_waiting, is_waiting) {
            (false, true) => self.counter.fetch_add(1, Ordering::Relaxed),
            (true, false) => self.counter.fetch_sub(1, Ordering::Relaxed),
            (true, true) | (false, false) => return,
        };
        self.is_waiting = is_waiting;
    }
}

impl<S> Drop for CountUnsent<S> {
    fn drop(&mut self) {
        self.set_waiting(false);
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountUnsent<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountUnsent<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.set_waiting(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.set_waiting(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
