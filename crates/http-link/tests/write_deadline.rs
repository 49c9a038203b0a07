//! Nothing of a request is written after its write deadline.

use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_http_link::{Link, LinkError, LinkSettings};
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);

/// The connection is established after the write deadline, as happens after a pause of the process.
#[tokio::test]
async fn nothing_is_written_after_the_write_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = LinkSettings {
        connect_timeout: TIMEOUT,
        keep_idle: TIMEOUT,
        max_idle_connections: 4,
    };
    let link = Link::new(listener.local_addr().unwrap(), settings);
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        // No bytes may arrive, whether the connection is then closed or reset.
        let _ = stream.read_to_end(&mut bytes).await;
        bytes
    });
    let request = Request::new(Full::new(Bytes::from_static(b"body")));
    let write_deadline = Instant::now() - Duration::from_millis(1);
    let answer = link.send_by(request, write_deadline, TIMEOUT).await;
    assert_eq!(answer.err(), Some(LinkError::TooLate));
    assert!(LinkError::TooLate.is_unsent());
    assert!(server.await.unwrap().is_empty());
}
