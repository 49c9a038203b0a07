//! A caller's connection whose close is detected even while unread bytes are buffered.
//!
//! The HTTP library detects a close by reading. It does not read while bytes of a next request are in its
//! buffer, so a back end would continue a call whose caller has left. The operating system reports the
//! close in any case, also behind bytes that were not read.

use std::io::{self, ErrorKind, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Reads and writes the bytes of a caller's connection.
pub(crate) struct CallerStream(Arc<TcpStream>);

/// Waits for the close of the same connection.
pub(crate) struct CloseWatch(Arc<TcpStream>);

/// Splits a connection into its byte stream and a watch for its close.
pub(crate) fn split_with_close_watch(stream: TcpStream) -> (CallerStream, CloseWatch) {
    let stream = Arc::new(stream);
    (CallerStream(stream.clone()), CloseWatch(stream))
}

impl CloseWatch {
    /// The byte stream of the connection, for use once the one that was split off is dropped.
    pub(crate) fn stream(&self) -> CallerStream {
        CallerStream(self.0.clone())
    }

    /// Returns once the caller has closed or reset the connection or shut down its writing side. A shutdown of the
    /// writing side cannot be told apart from a close here, so it counts as one.
    pub(crate) async fn closed(&self) {
        // Interest in urgent data is not triggered by ordinary data, but a close triggers it too. Interest in
        // ordinary data would be triggered again and again while unread bytes are buffered.
        while let Ok(ready) = self.0.ready(Interest::PRIORITY).await {
            if ready.is_read_closed() {
                return;
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read_buf(buffer) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(|_| ())),
            }
        }
    }
}

impl CallerStream {
    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match write(&self.0) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Does nothing: writes are not buffered here.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shut_down = SockRef::from(self.0.as_ref()).shutdown(Shutdown::Write);
        Poll::Ready(match shut_down {
            // The caller has reset the connection, so there is nothing left to shut down.
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(()),
            result => result,
        })
    }
}
