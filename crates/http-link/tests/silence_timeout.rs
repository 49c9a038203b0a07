//! An exchange waits for its own silence timeout, even if another one has marked its connection as silent.
//!
//! Guards against this failure: two exchanges waited for one server, which read a long input and sent nothing for
//! 0.4 s. One had a silence timeout of 0.6 s, as its work would have to be restarted; the other had the usual 0.25 s. After
//! 0.27 s the second marked the server's connections as silent, which ended the first in the middle of its work.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use havenstage_http_link::{Answer, Link, LinkError, LinkSettings, SendOptions};
use http::{Request, Response};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Time for which the server sends nothing: longer than the default silence timeout, shorter than the longer one.
const PAUSE: Duration = Duration::from_millis(400);
/// Time for which the server sends nothing, longer than the longer silence timeout.
const LONG_PAUSE: Duration = Duration::from_millis(900);
/// Silence timeout of the exchange whose work would have to be restarted.
const LONG_SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of both exchanges, far longer than the answer takes.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that answers requests to `/long` and `/longer` after a pause and all others at once.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(|request: Request<hyper::body::Incoming>| async move {
                let pause = match request.uri().path() {
                    "/long" => PAUSE,
                    "/longer" => LONG_PAUSE,
                    _ => Duration::ZERO,
                };
                tokio::time::sleep(pause).await;
                Ok::<_, std::convert::Infallible>(Response::new(Full::new(Bytes::from("answer"))))
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    address
}

fn request(path: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().unwrap();
    request
}

/// Runs an exchange with the default silence timeout and, at the same time, one with a longer timeout; returns the
/// result of the latter.
async fn run_both(default_path: &str, long_timeout_path: &str) -> Result<Answer, LinkError> {
    let settings = LinkSettings {
        connect_timeout: TIMEOUT,
        keep_idle: Duration::from_secs(60),
        max_idle_connections: 16,
    };
    let link = Link::new(start_server().await, settings);
    let opened = join_all((0..2).map(|_| link.send(request("/"), TIMEOUT))).await;
    for answer in opened {
        answer.unwrap().whole(1024).await.unwrap();
    }
    let with_long_timeout = SendOptions::within(TIMEOUT)
        .min_silence_timeout(LONG_SILENCE_TIMEOUT)
        .abort_when_silent();
    let with_default_timeout = async {
        let sending = SendOptions::within(TIMEOUT);
        let answer = link.send_as(request(default_path), sending).await;
        answer.unwrap().whole(1024).await.unwrap();
    };
    let (with_long_timeout, ()) = tokio::join!(
        link.send_as(request(long_timeout_path), with_long_timeout),
        with_default_timeout
    );
    with_long_timeout
}

#[tokio::test]
async fn an_exchange_is_not_ended_by_another_with_a_shorter_silence_timeout() {
    let with_long_timeout = run_both("/long", "/long").await;
    assert!(with_long_timeout.is_ok(), "{:?}", with_long_timeout.err());
}

/// The connection that was marked as silent delivers its answer after 0.4 s. This is before the silence timeout of the
/// other exchange, so the mark is disproved in time.
#[tokio::test]
async fn a_disproved_silence_mark_ends_no_exchange() {
    let with_long_timeout = run_both("/long", "/longer").await;
    assert!(with_long_timeout.is_ok(), "{:?}", with_long_timeout.err());
}
