//! A TCP connection with an HTTP/1.1 client, and the task that drives it.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::error::LinkError;
use crate::head_limit::{HeadLimit, LimitedStream};
use crate::silence::ConnectionActivity;

/// Time after which the operating system closes a connection whose peer acknowledges nothing.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the first TCP keep-alive probe, and interval between probes. Without probes, a connection that
/// only reads never detects that its peer is unreachable.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of a connection's read buffer.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of bytes read until a head is complete: a head that fills the buffer, and the body that is read with its
/// end.
const MAX_BYTES_TO_HEAD: usize = 2 * READ_BUFFER_BYTES;

/// Statuses that a final response may have. The HTTP library delivers others too: those up to 999, for which HTTP defines no
/// class, and 101, which no request asks for.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Makes the operating system close a connection whose peer acknowledges nothing, or accepts no data, for `after`,
/// whether or not there is data to be sent. Socket options that can't be set are ignored.
pub fn end_when_unacknowledged(stream: &TcpStream, after: Duration) {
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL);
    // The connection works without these options, but its failure is detected later.
    let _ = socket.set_tcp_user_timeout(Some(after));
    let _ = socket.set_tcp_keepalive(&keep_alive);
}

/// A connection that carries one exchange at a time. Dropping it closes the socket.
pub(crate) struct Connection {
    /// `None` once the driver was seen to have ended.
    sender: Option<SendRequest<Full<Bytes>>>,
    pub(crate) idle_since: Instant,
    pub(crate) idle_timeout: Duration,
    pub(crate) activity: Arc<ConnectionActivity>,
    head_limit: HeadLimit,
    driver: JoinHandle<()>,
}

/// Why a connection delivered no response.
pub(crate) enum ExchangeError {
    /// Nothing was written. Holds the request.
    NotWritten(Box<Request<Full<Bytes>>>),
    /// The connection broke after the request may have been written.
    Broken,
}

impl Connection {
    pub(crate) async fn open(
        address: SocketAddr,
        timeout: Duration,
        idle_timeout: Duration,
        register: impl FnOnce() -> Arc<ConnectionActivity>,
    ) -> Result<Self, LinkError> {
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(timeout, connect)
            .await
            .map_err(|_| LinkError::NotConnected)?
            .map_err(|_| LinkError::NotConnected)?;
        // The connection works without these options, but with higher latency.
        let _ = stream.set_nodelay(true);
        // Closing the socket sends a reset and discards unsent bytes: bytes that a network partition holds up must
        // not reach the server after the request was abandoned.
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        end_when_unacknowledged(&stream, UNACKNOWLEDGED_TIMEOUT);
        let head_limit = HeadLimit::new(MAX_BYTES_TO_HEAD);
        let stream = LimitedStream {
            stream,
            limit: head_limit.clone(),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| LinkError::NotConnected)?;
        let driver = tokio::spawn(async move {
            // The exchange in flight gets the error itself.
            let _ = connection.await;
        });
        Ok(Self {
            sender: Some(sender),
            idle_since: Instant::now(),
            idle_timeout,
            activity: register(),
            head_limit,
            driver,
        })
    }

    /// Whether the connection is open and has not exceeded its idle timeout, so that it can carry another exchange.
    pub(crate) fn is_usable(&self) -> bool {
        let is_ready = self.sender.as_ref().is_some_and(SendRequest::is_ready);
        is_ready && self.idle_since.elapsed() < self.idle_timeout
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let Some(sender) = &mut self.sender else {
            return Err(ExchangeError::NotWritten(Box::new(request)));
        };
        self.head_limit.begin();
        let response = sender.try_send_request(request);
        tokio::pin!(response);
        let response = tokio::select! {
            biased;
            response = response.as_mut() => response,
            _ = &mut self.driver => {
                // A request that is queued just as the driver ends stays in the queue as long as the sender exists.
                // Dropping the sender returns it.
                self.sender = None;
                response.await
            }
        };
        self.head_limit.end();
        let response = response.map_err(|mut failed| match failed.take_message() {
            Some(unsent) => ExchangeError::NotWritten(Box::new(unsent)),
            None => ExchangeError::Broken,
        })?;
        match FINAL_STATUSES.contains(&response.status().as_u16()) {
            true => Ok(response),
            false => Err(ExchangeError::Broken),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
