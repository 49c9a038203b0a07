//! A server in trouble sends bytes without end that are no answer, in place of a head or of a body, until the client
//! closes. The client must notice it long before its timeout, hold little memory, close the connection at once, and not
//! say that the request was not sent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_http_link::{Link, LinkError, LinkSettings};
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Timeout of the requests, far longer than the client needs to notice.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which the client must have closed the connection.
const CLOSE_TIME: Duration = Duration::from_secs(3);
/// Most bytes that the server may get rid of: those that the client reads of a head, and the buffers of both sockets.
const MAX_WRITTEN_BYTES: usize = 16 * 1024 * 1024;
/// Longest body that the client accepts.
const MAX_BODY_BYTES: usize = 100_000;

/// Starts a server that answers each request with `begin` and then with `repeated` without end. The number of bytes that
/// it could write is sent once the client has closed.
async fn endless_server(
    begin: &'static str,
    repeated: &'static str,
) -> (SocketAddr, UnboundedReceiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (closed_sender, closed) = unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, begin, repeated, closed_sender.clone()));
        }
    });
    (address, closed)
}

async fn serve(
    mut stream: tokio::net::TcpStream,
    begin: &'static str,
    repeated: &'static str,
    closed: UnboundedSender<usize>,
) {
    let mut request = [0; 1024];
    if !matches!(stream.read(&mut request).await, Ok(count) if count > 0) {
        return;
    }
    let block = repeated.repeat(16 * 1024 / repeated.len() + 1);
    let mut written = begin.len();
    if stream.write_all(begin.as_bytes()).await.is_ok() {
        while let Ok(count) = stream.write(block.as_bytes()).await {
            written += count;
            tokio::task::yield_now().await;
        }
    }
    let _ = closed.send(written);
}

fn link(address: SocketAddr) -> Link {
    let settings = LinkSettings {
        connect_timeout: REQUEST_TIMEOUT,
        keep_idle: REQUEST_TIMEOUT,
        max_idle_connections: 4,
    };
    Link::new(address, settings)
}

fn request() -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from_static(b"body")));
    *request.uri_mut() = "/path".parse().unwrap();
    request
}

/// Sends a request to such a server; returns its error.
async fn send_to_endless_server(begin: &'static str, repeated: &'static str) -> LinkError {
    let (address, mut closed) = endless_server(begin, repeated).await;
    let link = link(address);
    let began = Instant::now();
    let result = match link.send(request(), REQUEST_TIMEOUT).await {
        Ok(answer) => answer.whole(MAX_BODY_BYTES).await.map(|_| ()),
        Err(error) => Err(error),
    };
    let error = result.expect_err("no answer");
    assert!(!error.is_unsent(), "{error}");
    let written = tokio::time::timeout(CLOSE_TIME, closed.recv()).await;
    let written = written.expect("the client closes the connection").unwrap();
    let took = began.elapsed();
    assert!(took < CLOSE_TIME, "noticed after {took:?}");
    assert!(written < MAX_WRITTEN_BYTES, "{written} bytes were sent");
    error
}

#[tokio::test]
async fn noise_in_place_of_a_head_is_no_answer() {
    let error = send_to_endless_server("\u{1}\u{2}noise", "\u{0}\u{1}\u{2}").await;
    assert_eq!(error, LinkError::Broken);
}

#[tokio::test]
async fn an_endless_status_line_is_no_answer() {
    let error = send_to_endless_server("HTTP/1.1 200 ", "O").await;
    assert_eq!(error, LinkError::Broken);
}

#[tokio::test]
async fn an_endless_header_is_no_answer() {
    let error = send_to_endless_server("HTTP/1.1 200 OK\r\nx: ", "y").await;
    assert_eq!(error, LinkError::Broken);
}

#[tokio::test]
async fn endless_headers_are_no_answer() {
    let error = send_to_endless_server("HTTP/1.1 200 OK\r\n", "x: y\r\n").await;
    assert_eq!(error, LinkError::Broken);
}

#[tokio::test]
async fn endless_empty_lines_are_no_answer() {
    let error = send_to_endless_server("\r\n", "\r\n").await;
    assert_eq!(error, LinkError::Broken);
}

/// Each interim answer is valid by itself, but no final one follows.
#[tokio::test]
async fn endless_interim_answers_are_no_answer() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    let error = send_to_endless_server(interim, interim).await;
    assert_eq!(error, LinkError::Broken);
}

#[tokio::test]
async fn an_endless_body_without_length_is_no_answer() {
    let error = send_to_endless_server("HTTP/1.1 200 OK\r\n\r\n", "x").await;
    assert_eq!(error, LinkError::TooLong);
}

#[tokio::test]
async fn an_endless_body_of_chunks_is_no_answer() {
    let begin = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let error = send_to_endless_server(begin, "4\r\nxxxx\r\n").await;
    assert_eq!(error, LinkError::TooLong);
}

/// The length alone shows that the body is too long.
#[tokio::test]
async fn a_body_with_a_huge_length_is_no_answer() {
    let begin = "HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n";
    let error = send_to_endless_server(begin, "x").await;
    assert_eq!(error, LinkError::TooLong);
}

#[tokio::test]
async fn an_endless_chunk_head_is_no_answer() {
    let begin = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;";
    let error = send_to_endless_server(begin, "x").await;
    assert_eq!(error, LinkError::Broken);
}

#[tokio::test]
async fn endless_trailers_are_no_answer() {
    let begin = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    let error = send_to_endless_server(begin, "x: y\r\n").await;
    assert_eq!(error, LinkError::Broken);
}

/// Bytes that follow a whole answer belong to no request: the connection is closed, and the next request goes over another
/// one.
#[tokio::test]
async fn endless_bytes_after_an_answer_close_the_connection() {
    let begin = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let (address, mut closed) = endless_server(begin, "noise").await;
    let link = link(address);
    let answer = link.send(request(), REQUEST_TIMEOUT).await.unwrap();
    assert_eq!(answer.whole(MAX_BODY_BYTES).await.unwrap().body, "ok");
    let written = tokio::time::timeout(CLOSE_TIME, closed.recv()).await;
    let written = written.expect("the client closes the connection").unwrap();
    assert!(written < MAX_WRITTEN_BYTES, "{written} bytes were sent");
    assert!(!link.has_idle());
}
