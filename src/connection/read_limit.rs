//! Limit on the number of bytes read from a connection.
//!
//! A faulty server may send bytes without end, as headers, interim (1xx) responses, chunk lengths or a body. The HTTP
//! library bounds the size of its header buffer but not the total number of bytes that it reads, so each exchange gets
//! a byte budget and a connection that exceeds it fails. See "Bytes without end" in `docs/design/large-fleets.md`.

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

/// Number of bytes that may still be read from one connection. Clones share the same budget.
#[derive(Debug, Clone)]
pub struct ReadBudget(Arc<AtomicUsize>);

impl ReadBudget {
    /// Creates a budget of `bytes`.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Replaces the remaining budget with `bytes`.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    fn remaining(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Stream whose reads fail once its budget is exhausted. A single read may exceed the budget by up to the size of its
/// buffer.
#[derive(Debug)]
pub struct ReadLimited<S> {
    stream: S,
    budget: ReadBudget,
}

impl<S> ReadLimited<S> {
    /// Wraps `stream`, limiting its reads to `budget`.
    pub const fn new(stream: S, budget: ReadBudget) -> Self {
        Self { stream, budget }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ReadLimited<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let remaining = self.budget.remaining();
        if remaining == 0 {
            return Poll::Ready(Err(io::Error::other("the response exceeds its byte limit")));
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
