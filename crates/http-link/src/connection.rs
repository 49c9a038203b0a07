//! One connection and the task that drives it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::error::LinkError;
use crate::silence::ConnectionActivity;

/// Time after which the system gives up a connection whose peer acknowledges nothing.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Quiet time after which the system asks whether the peer is still there, and time between two
/// questions. Without them a connection that only reads never learns that its peer was cut off.
const KEEP_ALIVE_PAUSE: Duration = Duration::from_secs(1);
/// Largest buffer for what is read from a connection.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Has the system end a connection whose peer acknowledges nothing, or takes nothing, for so long,
/// whether there is something to be sent or not.
pub fn end_when_unacknowledged(stream: &TcpStream, after: Duration) {
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_PAUSE)
        .with_interval(KEEP_ALIVE_PAUSE);
    // A connection works without these options, only its end is noticed late.
    let _ = socket.set_tcp_user_timeout(Some(after));
    let _ = socket.set_tcp_keepalive(&keep_alive);
}

/// A connection that carries one exchange at a time. Dropping it closes the socket.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) idle_since: Instant,
    pub(crate) keep_for: Duration,
    pub(crate) activity: Arc<ConnectionActivity>,
    driver: AbortHandle,
}

impl Connection {
    pub(crate) async fn open(
        address: SocketAddr,
        timeout: Duration,
        keep_for: Duration,
        opened: impl FnOnce() -> Arc<ConnectionActivity>,
    ) -> Result<Self, LinkError> {
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(timeout, connect)
            .await
            .map_err(|_| LinkError::NotConnected)?
            .map_err(|_| LinkError::NotConnected)?;
        // A connection works without these options, only less promptly.
        let _ = stream.set_nodelay(true);
        // Closing resets: bytes that a partition holds up must not arrive after they were given up.
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        end_when_unacknowledged(&stream, UNACKNOWLEDGED_TIMEOUT);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| LinkError::NotConnected)?;
        let driver = tokio::spawn(async move {
            // The exchange under way sees the error itself.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            idle_since: Instant::now(),
            keep_for,
            activity: opened(),
            driver: driver.abort_handle(),
        })
    }

    /// Whether it may carry another exchange.
    pub(crate) fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() < self.keep_for
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
