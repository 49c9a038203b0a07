//! Bounds the bytes that a connection reads before the head of an answer is complete.
//!
//! The HTTP library limits the size of a head, but not the number of interim answers before the final one.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counts what is read while the head of an answer is awaited. Clones share the count.
#[derive(Debug, Clone)]
pub(crate) struct HeadLimit(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    max_bytes: usize,
    is_awaited: AtomicBool,
    read_bytes: AtomicUsize,
}

impl HeadLimit {
    /// Creates a limit; what is read of a body together with the end of its head counts too.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self(Arc::new(Inner {
            max_bytes,
            is_awaited: AtomicBool::new(false),
            read_bytes: AtomicUsize::new(0),
        }))
    }

    /// Counts from zero, until [`Self::end`].
    pub(crate) fn begin(&self) {
        self.0.read_bytes.store(0, Ordering::Relaxed);
        self.0.is_awaited.store(true, Ordering::Relaxed);
    }

    /// Stops to count: the head is complete.
    pub(crate) fn end(&self) {
        self.0.is_awaited.store(false, Ordering::Relaxed);
    }

    fn record_read(&self, bytes: usize) -> io::Result<()> {
        if !self.0.is_awaited.load(Ordering::Relaxed) {
            return Ok(());
        }
        let read = self.0.read_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        match read > self.0.max_bytes {
            true => Err(io::Error::new(
                ErrorKind::InvalidData,
                "no answer in the bytes that a head may have",
            )),
            false => Ok(()),
        }
    }
}

/// A TCP stream whose reads fail beyond a [`HeadLimit`].
pub(crate) struct LimitedStream {
    pub(crate) stream: TcpStream,
    pub(crate) limit: HeadLimit,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        Poll::Ready(self.limit.record_read(read))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
