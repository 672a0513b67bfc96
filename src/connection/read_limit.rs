//! Bound on the bytes that are read from a connection, whatever they are.
//!
//! Load pattern: a server in trouble sends bytes without end, as a head, as interim answers, as lengths of chunks or as a
//! body. The HTTP library bounds the buffer of a head and not the work, so each exchange gets an allowance of bytes, and a
//! connection that exceeds it ends. See "Bytes without end" in `docs/design/large-fleets.md`.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Number of bytes that may still be read from one connection.
#[derive(Debug, Clone)]
pub struct ReadBudget(Arc<AtomicUsize>);

impl ReadBudget {
    /// Makes an allowance of `bytes`.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Sets the number of bytes that may be read from now on.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    fn remaining(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Stream that fails once its allowance is used up. One read may go beyond it by the size of its buffer.
#[derive(Debug)]
pub struct ReadLimited<S> {
    stream: S,
    budget: ReadBudget,
}

impl<S> ReadLimited<S> {
    /// Reads `stream` within `budget`.
    pub const fn new(stream: S, budget: ReadBudget) -> Self {
        Self { stream, budget }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ReadLimited<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let remaining = self.budget.remaining();
        if remaining == 0 {
            return Poll::Ready(Err(io::Error::other("more bytes than an answer may have")));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.budget.set(remaining.saturating_sub(buf.filled().len() - before));
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ReadLimited<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
