//! Whether a process that has ended is told from one that listens, also if it ends while it is checked.

use std::net::SocketAddr;
use std::time::Duration;

use havenstage_http_link::{Link, LinkSettings, Probe};
use socket2::{Domain, Socket, Type};
use tokio::net::TcpStream;

const TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which the listener closes, counted from the start of a check.
const LISTENER_CLOSES_AFTER: Duration = Duration::from_millis(10);

fn link(address: SocketAddr) -> Link {
    let settings = LinkSettings {
        connect_timeout: Duration::from_secs(5),
        keep_idle: Duration::from_secs(5),
        max_idle_connections: 4,
    };
    Link::new(address, settings)
}

/// A listener whose accept queue is full, so that it drops all further attempts, and the connections that fill the queue.
async fn full_listener() -> (Socket, SocketAddr, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any_port.into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let mut queued = Vec::new();
    // A connection is established here before it is in the queue, so only a dropped attempt shows that the queue is full.
    while let Ok(connected) = tokio::time::timeout(TIMEOUT, TcpStream::connect(address)).await {
        queued.push(connected.unwrap());
    }
    (socket, address, queued)
}

/// The system repeats a dropped attempt only after a second; until then the end of the process would go unnoticed.
#[tokio::test]
async fn an_attempt_that_is_dropped_hides_no_closed_listener() {
    let (listener, address, _queued) = full_listener().await;
    let close = async {
        tokio::time::sleep(LISTENER_CLOSES_AFTER).await;
        drop(listener);
    };
    let link = link(address);
    let (probe, ()) = tokio::join!(link.probe(TIMEOUT), close);
    assert!(matches!(probe, Probe::Refused), "{probe:?}");
}

/// Without any answer nothing is known: the machine may be cut off by the network.
#[tokio::test]
async fn attempts_without_an_answer_show_nothing() {
    let (_listener, address, _queued) = full_listener().await;
    let probe = link(address).probe(TIMEOUT).await;
    assert!(matches!(probe, Probe::Unknown), "{probe:?}");
}
