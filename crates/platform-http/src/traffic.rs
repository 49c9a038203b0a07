//! Counts the bytes that a client's connections carry, without the headers of TCP and IP.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use http::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tower::Service;

/// Counters of one client. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct HttpTraffic {
    counters: Arc<Counters>,
}

#[derive(Debug, Default)]
struct Counters {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    connections: AtomicU64,
}

/// The counters at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HttpTrafficSnapshot {
    /// Bytes written, HTTP heads included.
    pub sent_bytes: u64,
    /// Bytes read, HTTP heads included.
    pub received_bytes: u64,
    /// Connections opened.
    pub connections: u64,
}

impl HttpTraffic {
    /// The counters now.
    pub fn snapshot(&self) -> HttpTrafficSnapshot {
        HttpTrafficSnapshot {
            sent_bytes: self.counters.sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.counters.received_bytes.load(Ordering::Relaxed),
            connections: self.counters.connections.load(Ordering::Relaxed),
        }
    }
}

/// Connects and counts what the connections carry.
#[derive(Debug, Clone)]
pub(crate) struct CountingConnector {
    connector: HttpConnector,
    traffic: HttpTraffic,
}

impl CountingConnector {
    pub(crate) fn new(connector: HttpConnector, traffic: HttpTraffic) -> Self {
        Self { connector, traffic }
    }
}

impl Service<Uri> for CountingConnector {
    type Response = TokioIo<CountedStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.connector.call(uri);
        let counters = self.traffic.counters.clone();
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            counters.connections.fetch_add(1, Ordering::Relaxed);
            Ok(TokioIo::new(CountedStream { stream, counters }))
        })
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    counters: Arc<Counters>,
}

impl Connection for CountedStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        self.counters
            .received_bytes
            .fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl CountedStream {
    fn count_sent(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.counters
                .sent_bytes
                .fetch_add(*bytes as u64, Ordering::Relaxed);
        }
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.count_sent(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.count_sent(&written);
        written
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
