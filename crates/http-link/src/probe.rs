//! Connections that show whether the process at an address is alive.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Time after which a second connection is attempted while the first attempt has no outcome: some three round trips
/// between zones. A listener that closes while a connection is being established can drop the attempt without an answer,
/// and the operating system repeats it only after a second.
const SECOND_ATTEMPT_DELAY: Duration = Duration::from_millis(30);

/// Outcome of an attempt to open a connection.
#[derive(Debug)]
pub enum Probe {
    /// The connection was refused: no process listens at the address.
    Refused,
    /// The connection was reset as soon as it was established.
    Reset,
    /// The connection was established. Which process listens there is unknown, and also whether one still does: if the
    /// listener closes at that moment, the connection can stay open on this side for good.
    Open(OpenProbe),
    /// No connection was established in time, or the attempt failed otherwise: the network may be partitioned.
    Unknown,
}

/// A connection over which nothing is sent. It closes when the process at the other end exits.
#[derive(Debug)]
pub struct OpenProbe(TcpStream);

impl OpenProbe {
    /// Waits until the connection closes, for at most `time`; returns whether it closed.
    pub async fn closes_within(&mut self, time: Duration) -> bool {
        let mut byte = [0];
        let read = tokio::time::timeout(time, self.0.read(&mut byte)).await;
        matches!(read, Ok(Ok(0) | Err(_)))
    }
}

/// Opens a connection to an address, with a second attempt if the first one gets no answer.
pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> Probe {
    let second_attempt = async {
        tokio::time::sleep(SECOND_ATTEMPT_DELAY).await;
        attempt(address).await
    };
    let first_outcome = async {
        tokio::select! {
            outcome = attempt(address) => outcome,
            outcome = second_attempt => outcome,
        }
    };
    let outcome = tokio::time::timeout(timeout, first_outcome).await;
    outcome.unwrap_or(Probe::Unknown)
}

async fn attempt(address: SocketAddr) -> Probe {
    match TcpStream::connect(address).await {
        Ok(stream) => Probe::Open(OpenProbe(stream)),
        Err(error) => match error.kind() {
            ErrorKind::ConnectionRefused => Probe::Refused,
            // The listener closed while this connection was in its accept queue, or it accepts no more connections.
            ErrorKind::ConnectionReset => Probe::Reset,
            _ => Probe::Unknown,
        },
    }
}
