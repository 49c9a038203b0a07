//! A request that must not be written after a moment is not.

use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_http_link::{Link, LinkError, LinkSettings};
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const PATIENCE: Duration = Duration::from_secs(5);

/// The connection comes up after the moment has passed, as it does where the process stood still.
#[tokio::test]
async fn nothing_is_written_after_its_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = LinkSettings {
        connect_timeout: PATIENCE,
        keep_idle: PATIENCE,
        max_idle_connections: 4,
    };
    let link = Link::new(listener.local_addr().unwrap(), settings);
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        // Whether the connection is closed or reset, nothing may come before.
        let _ = stream.read_to_end(&mut bytes).await;
        bytes
    });
    let request = Request::new(Full::new(Bytes::from_static(b"body")));
    let passed = Instant::now() - Duration::from_millis(1);
    let answer = link.send_by(request, passed, PATIENCE).await;
    assert_eq!(answer.err(), Some(LinkError::TooLate));
    assert!(LinkError::TooLate.is_unsent());
    assert!(server.await.unwrap().is_empty());
}
