//! Connections that tell whether the process at an address lives.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// What came of a new connection.
#[derive(Debug)]
pub enum Probe {
    /// Nobody listens at the address.
    Refused,
    /// The connection was reset as soon as it came up.
    Reset,
    /// Somebody listens there; not known who.
    Open(OpenProbe),
    /// No connection came up in time: the way there may be cut.
    Unknown,
}

/// A connection over which nothing is sent. It closes when the process at its other end ends.
#[derive(Debug)]
pub struct OpenProbe(pub(crate) TcpStream);

impl OpenProbe {
    /// Whether it closes within a time.
    pub async fn closes_within(&mut self, time: Duration) -> bool {
        let mut byte = [0];
        let read = tokio::time::timeout(time, self.0.read(&mut byte)).await;
        matches!(read, Ok(Ok(0) | Err(_)))
    }
}
