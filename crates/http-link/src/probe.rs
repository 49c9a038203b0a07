//! Connections that show whether the process at an address is alive.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Outcome of an attempt to open a connection.
#[derive(Debug)]
pub enum Probe {
    /// The connection was refused: no process listens at the address.
    Refused,
    /// The connection was reset as soon as it was established.
    Reset,
    /// The connection was established. Which process listens there is unknown.
    Open(OpenProbe),
    /// No connection was established in time, or the attempt failed otherwise: the network may be partitioned.
    Unknown,
}

/// A connection over which nothing is sent. It closes when the process at the other end exits.
#[derive(Debug)]
pub struct OpenProbe(pub(crate) TcpStream);

impl OpenProbe {
    /// Waits until the connection closes, for at most `time`; returns whether it closed.
    pub async fn closes_within(&mut self, time: Duration) -> bool {
        let mut byte = [0];
        let read = tokio::time::timeout(time, self.0.read(&mut byte)).await;
        matches!(read, Ok(Ok(0) | Err(_)))
    }
}
