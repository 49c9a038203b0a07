//! A listener that can be shut: a closed gate refuses connections and breaks the open ones, as
//! the death of a process does.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use axum::serve::Listener;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens and closes the listener it belongs to.
#[derive(Debug, Clone)]
pub struct Gate {
    state: Arc<watch::Sender<GateState>>,
    listening: Arc<watch::Sender<bool>>,
}

#[derive(Debug, Clone)]
struct GateState {
    open: bool,
    connections: CancellationToken,
}

impl Default for Gate {
    fn default() -> Self {
        Self::new()
    }
}

impl Gate {
    /// An open gate.
    pub fn new() -> Self {
        let state = GateState {
            open: true,
            connections: CancellationToken::new(),
        };
        Self {
            state: Arc::new(watch::Sender::new(state)),
            listening: Arc::new(watch::Sender::new(true)),
        }
    }

    /// Breaks all connections and refuses new ones; the listener closes a moment later.
    pub fn close(&self) {
        self.state.send_modify(|state| {
            state.open = false;
            state.connections.cancel();
        });
    }

    /// Closes and waits until connections are refused.
    pub async fn closed(&self) {
        self.close();
        let mut listening = self.listening.subscribe();
        // The sender is a field of `self`, so the wait cannot fail.
        let _ = listening.wait_for(|listening| !listening).await;
    }

    /// Takes connections again.
    pub fn open(&self) {
        self.state.send_modify(|state| {
            state.open = true;
            state.connections = CancellationToken::new();
        });
    }

    /// Closes after `delay`, and opens again `outage` later.
    pub fn schedule_outage(&self, delay: Duration, outage: Duration) {
        let gate = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            gate.close();
            tokio::time::sleep(outage).await;
            gate.open();
        });
    }
}

/// A TCP listener behind a [`Gate`].
#[derive(Debug)]
pub struct GatedListener {
    address: SocketAddr,
    listener: Option<TcpListener>,
    gate: Gate,
    state: watch::Receiver<GateState>,
}

impl GatedListener {
    /// Puts `listener` behind `gate`.
    pub fn new(listener: TcpListener, gate: Gate) -> io::Result<Self> {
        Ok(Self {
            address: listener.local_addr()?,
            listener: Some(listener),
            state: gate.state.subscribe(),
            gate,
        })
    }

    async fn wait_until_open(&mut self) -> CancellationToken {
        loop {
            let state = self.state.borrow_and_update().clone();
            if state.open {
                return state.connections;
            }
            self.listener = None;
            self.gate.listening.send_replace(false);
            if self.state.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    async fn accept_one(&mut self) -> io::Result<Option<(TcpStream, SocketAddr)>> {
        let listener = match &mut self.listener {
            Some(listener) => listener,
            closed => closed.insert(TcpListener::bind(self.address).await?),
        };
        self.gate.listening.send_replace(true);
        tokio::select! {
            accepted = TcpListener::accept(listener) => accepted.map(Some),
            _ = self.state.changed() => Ok(None),
        }
    }
}

impl Listener for GatedListener {
    type Io = GatedStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        loop {
            let connections = self.wait_until_open().await;
            match self.accept_one().await {
                Ok(Some((stream, peer))) if stream.set_nodelay(true).is_ok() => {
                    return (GatedStream::new(stream, connections), peer);
                }
                Ok(_) => {}
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    fn local_addr(&self) -> io::Result<Self::Addr> {
        Ok(self.address)
    }
}

/// A connection that breaks when its gate closes.
pub struct GatedStream {
    stream: TcpStream,
    broken: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl GatedStream {
    fn new(stream: TcpStream, connections: CancellationToken) -> Self {
        Self {
            stream,
            broken: Box::pin(connections.cancelled_owned()),
        }
    }

    fn check(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        match self.broken.as_mut().poll(context) {
            Poll::Ready(()) => Err(io::ErrorKind::ConnectionReset.into()),
            Poll::Pending => Ok(()),
        }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(context)?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(context)?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check(context)?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
