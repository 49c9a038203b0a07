//! Requests that are sent at the moment at which their connection closes.

use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_http_link::{Link, LinkError, LinkSettings};
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Number of clients that send requests at the same time.
const CLIENTS: u64 = 48;
/// Number of times that each client sends a request, mostly over a connection that is about to close.
const ROUNDS: u64 = 600;
/// The server closes a connection, and the client sends its next request, up to this long after an answer.
const MAX_DELAY_US: u64 = 400;
/// Timeout of a request, of which the server answers each at once or closes its connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

fn request() -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from_static(b"body")));
    *request.uri_mut() = "/path".parse().unwrap();
    request
}

/// A delay that differs from step to step and covers the whole range.
fn delay(step: u64) -> Duration {
    Duration::from_micros(step.wrapping_mul(2_654_435_761) % MAX_DELAY_US)
}

/// Waits without a timer, whose resolution is too coarse here.
async fn wait(delay: Duration) {
    let began = Instant::now();
    while began.elapsed() < delay {
        tokio::task::yield_now().await;
    }
}

/// Answers one request, then closes the connection.
async fn serve_one(mut stream: TcpStream, number: u64) {
    let mut bytes = [0; 1024];
    if !matches!(stream.read(&mut bytes).await, Ok(count) if count > 0) {
        return;
    }
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    // Fails only if the client has closed the connection.
    let _ = stream.write_all(answer).await;
    wait(delay(number)).await;
}

async fn send(link: &Link) -> Result<(), LinkError> {
    let answer = link.send(request(), REQUEST_TIMEOUT).await?;
    answer.whole(1024).await?;
    Ok(())
}

/// The HTTP library keeps a request whose connection closes while it is queued until the sending side is dropped. The
/// link must not wait for its answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn a_request_queued_while_its_connection_closes_does_not_wait_for_its_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for number in 0.. {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve_one(stream, number));
        }
    });
    let settings = LinkSettings {
        connect_timeout: Duration::from_secs(5),
        keep_idle: Duration::from_secs(5),
        max_idle_connections: 1,
    };
    let clients = (0..CLIENTS).map(|client| {
        tokio::spawn(async move {
            let link = Link::new(address, settings);
            let mut timeouts = 0;
            for round in 0..ROUNDS {
                let outcome = send(&link).await;
                timeouts += usize::from(outcome == Err(LinkError::TimedOut));
                wait(delay(client * ROUNDS + round)).await;
            }
            timeouts
        })
    });
    let mut timeouts = 0;
    for client in clients.collect::<Vec<_>>() {
        timeouts += client.await.unwrap();
    }
    assert_eq!(timeouts, 0);
}
