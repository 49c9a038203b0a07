//! What a shutdown does to requests under way.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use havenstage_http_api::{HttpApiSettings, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

/// Reached only when the long poll is not ended; far below its own wait.
const NEVER: Duration = Duration::from_secs(60);

/// Returns once a request sent after the poll has been answered. All tasks of the test share one
/// thread, so that the poll, which came first, has been read by then.
async fn served(address: SocketAddr) {
    let mut connection = TcpStream::connect(address).await.expect("a connection");
    let probe = b"GET /healthz HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
    connection
        .write_all(probe)
        .await
        .expect("the probe is sent");
    let mut answer = Vec::new();
    connection
        .read_to_end(&mut answer)
        .await
        .expect("an answer");
}

#[tokio::test]
async fn a_long_poll_is_answered_at_shutdown_and_the_server_ends() {
    let settings = HttpApiSettings {
        max_wait_ms: 600_000,
        ..HttpApiSettings::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (shut_down, shutdown) = oneshot::channel::<()>();
    let shutdown = async {
        let _ = shutdown.await;
    };
    let server = tokio::spawn(serve(listener, support::node(), settings, shutdown));

    let mut connection = TcpStream::connect(address).await.expect("a connection");
    let poll = b"GET /apis/v1/watch/Pool?from=7 HTTP/1.1\r\nhost: node\r\n\r\n";
    connection.write_all(poll).await.expect("the poll is sent");
    served(address).await;
    shut_down.send(()).expect("the server runs");

    let mut answer = Vec::new();
    let read = tokio::time::timeout(NEVER, connection.read_to_end(&mut answer)).await;
    read.expect("the poll ends").expect("a whole answer");
    let answer = String::from_utf8(answer).expect("text");
    assert!(answer.contains(r#"{"next":7,"items":[]}"#), "{answer}");
    let ended = tokio::time::timeout(NEVER, server).await;
    ended.expect("the server ends").expect("no panic");
}
