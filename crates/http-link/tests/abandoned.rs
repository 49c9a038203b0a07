//! A request that its sender has abandoned must not reach the server later.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use havenstage_http_link::{Link, LinkError, LinkSettings};
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

fn settings() -> LinkSettings {
    LinkSettings {
        connect_timeout: Duration::from_secs(5),
        keep_idle: Duration::from_secs(5),
        max_idle_connections: 4,
    }
}

fn request() -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from_static(b"body")));
    *request.uri_mut() = "/path".parse().unwrap();
    request
}

/// After a plain close, the system still retransmits unacknowledged bytes: once a network partition heals, the server
/// would receive a request that its sender abandoned long ago. A reset discards them.
#[tokio::test]
async fn an_abandoned_request_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = Link::new(listener.local_addr().unwrap(), settings());
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        stream
            .read_to_end(&mut bytes)
            .await
            .map_err(|error| error.kind())
    });
    let answer = link.send(request(), Duration::from_millis(50)).await;
    assert_eq!(answer.err(), Some(LinkError::TimedOut));
    assert_eq!(server.await.unwrap(), Err(ErrorKind::ConnectionReset));
}
