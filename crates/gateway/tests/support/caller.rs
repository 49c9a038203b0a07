//! A caller of a node that opens a new connection for each request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use havenstage_http_link::{Link, LinkError, LinkSettings, WholeAnswer};
use http::{Method, Request};
use http_body_util::Full;

use super::dialect::HOST;

/// Time limit of requests, and of waits for results.
const TIMEOUT: Duration = Duration::from_secs(20);

fn link(address: SocketAddr) -> Link {
    Link::new(
        address,
        LinkSettings {
            connect_timeout: TIMEOUT,
            keep_idle: TIMEOUT,
            max_idle_connections: 0,
        },
    )
}

/// Sends a request and reads its whole answer, of at most 1 MiB.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<WholeAnswer, LinkError> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).unwrap();
    link(address)
        .send(request, TIMEOUT)
        .await?
        .whole(1 << 20)
        .await
}

/// Makes a call with a deadline of 5 seconds; panics if no whole answer comes.
pub async fn call(address: SocketAddr, id: &str, path: &str) -> WholeAnswer {
    let headers = [("x-id", id), ("x-deadline", "5000")];
    send(address, Method::POST, path, &headers, "call")
        .await
        .unwrap()
}

/// Submits a batch on the default route and returns the status.
pub async fn submit(address: SocketAddr, batch: &str, body: &str) -> u16 {
    submit_to(address, "/batches/b", batch, body).await
}

pub async fn submit_to(address: SocketAddr, path: &str, batch: &str, body: &str) -> u16 {
    let headers = [("x-id", batch)];
    let answer = send(address, Method::POST, path, &headers, body.to_owned()).await;
    answer.unwrap().status.as_u16()
}

pub fn text(answer: &WholeAnswer) -> String {
    String::from_utf8(answer.body.to_vec()).unwrap()
}

/// Status and lines of the results from a position on, without the first line of the answer, after a wait of up to
/// 200 ms.
pub async fn results(address: SocketAddr, batch: &str, from: usize) -> (u16, Vec<String>) {
    let path = format!("/results/{batch}?from={from}");
    let answer = send(address, Method::GET, &path, &[("x-wait", "200")], "")
        .await
        .unwrap();
    let lines = text(&answer).lines().skip(1).map(str::to_owned).collect();
    (answer.status.as_u16(), lines)
}

/// Reads results until there are at least `count` of them, and returns them; panics after the time limit.
pub async fn wait_for_results(address: SocketAddr, batch: &str, count: usize) -> Vec<String> {
    let deadline = havenstage_clock::Instant::now() + TIMEOUT;
    loop {
        let (_, lines) = results(address, batch, 0).await;
        if lines.len() >= count {
            return lines;
        }
        let left = deadline.saturating_duration_since(havenstage_clock::Instant::now());
        assert!(!left.is_zero(), "only {lines:?} of {count} results arrived");
    }
}
