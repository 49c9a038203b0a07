//! If all idle connections fall silent at once, one call times out, not one call per connection.
//!
//! Guards against this failure: all open connections of a machine fell silent at once, without a reset, while new ones
//! worked. A link keeps up to 16 idle connections. Each call reused one of them, waited for its whole timeout and
//! discarded only that connection. So a node could not reach the store for as many timeouts as there were idle
//! connections, although a new connection would have been answered in a millisecond.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use havenstage_clock::Instant;
use havenstage_http_link::{Link, LinkError, LinkSettings, SendOptions};
use http::{Request, Response};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use support::silencing_proxy::SilencingProxy;
use tokio::net::TcpListener;

const IDLE_CONNECTIONS: usize = 16;
/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_millis(600);
/// Far longer than an answer over loopback takes on a busy machine, far shorter than [`TIMEOUT`].
const PROMPT_LIMIT: Duration = Duration::from_millis(300);

/// Starts a server that answers requests to `/soon` and `/slow` after a pause and all others at once.
async fn start_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(|request: Request<hyper::body::Incoming>| async move {
                let pause = match request.uri().path() {
                    "/slow" => 2 * TIMEOUT,
                    "/soon" => Duration::from_millis(50),
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

async fn call(link: &Link, path: &str) -> Result<Bytes, LinkError> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().unwrap();
    let answer = link.send(request, TIMEOUT).await?;
    Ok(answer.whole(1024).await?.body)
}

/// Returns a link through a proxy, with [`IDLE_CONNECTIONS`] idle connections.
async fn link_with_idle_connections() -> (SilencingProxy, Link) {
    let proxy = SilencingProxy::start(start_server().await).await;
    let settings = LinkSettings {
        connect_timeout: Duration::from_secs(5),
        keep_idle: Duration::from_secs(60),
        max_idle_connections: IDLE_CONNECTIONS,
    };
    let link = Link::new(proxy.address, settings);
    for answer in join_all((0..IDLE_CONNECTIONS).map(|_| call(&link, "/"))).await {
        answer.unwrap();
    }
    assert_eq!(
        proxy.opened(),
        IDLE_CONNECTIONS,
        "each call opens its own connection"
    );
    (proxy, link)
}

#[tokio::test]
async fn silent_connections_cost_only_one_timeout() {
    let (proxy, link) = link_with_idle_connections().await;
    proxy.silence();
    assert_eq!(call(&link, "/").await, Err(LinkError::TimedOut));
    for _ in 0..IDLE_CONNECTIONS {
        let began = Instant::now();
        assert_eq!(call(&link, "/").await, Ok(Bytes::from("answer")));
        assert!(began.elapsed() < PROMPT_LIMIT, "{:?}", began.elapsed());
    }
}

/// The silence is also detected if the caller drops the call shortly before the link's own timeout.
#[tokio::test]
async fn a_dropped_call_also_detects_silent_connections() {
    let (proxy, link) = link_with_idle_connections().await;
    proxy.silence();
    let dropped = tokio::time::timeout(TIMEOUT - Duration::from_millis(50), call(&link, "/")).await;
    assert!(dropped.is_err());
    assert_eq!(call(&link, "/").await, Ok(Bytes::from("answer")));
}

/// The timeout of a slow call closes no connection that received something after the call started.
#[tokio::test]
async fn a_slow_call_closes_no_active_connection() {
    let (proxy, link) = link_with_idle_connections().await;
    let slow = tokio::spawn({
        let link = link.clone();
        async move { call(&link, "/slow").await }
    });
    let began = Instant::now();
    while began.elapsed() < TIMEOUT + PROMPT_LIMIT {
        call(&link, "/").await.unwrap();
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(slow.await.unwrap(), Err(LinkError::TimedOut));
    join_all((0..IDLE_CONNECTIONS - 1).map(|_| call(&link, "/"))).await;
    assert_eq!(proxy.opened(), IDLE_CONNECTIONS);
}

fn request() -> Request<Full<Bytes>> {
    Request::new(Full::new(Bytes::new()))
}

/// A request that can be repeated need not wait for its timeout. The silent connection may still have delivered it to
/// the server, so it does not count as unsent.
#[tokio::test]
async fn a_silent_exchange_ends_early_on_request_and_does_not_count_as_unsent() {
    let (proxy, link) = link_with_idle_connections().await;
    proxy.silence();
    let began = Instant::now();
    let sending = SendOptions::within(10 * TIMEOUT).abort_when_silent();
    let error = link.send_as(request(), sending).await.err().unwrap();
    assert_eq!(error, LinkError::Silent);
    assert!(!error.is_unsent());
    assert!(began.elapsed() < TIMEOUT, "{:?}", began.elapsed());
}

/// Sends a request, and once more if its connection is found silent.
async fn send_with_retry(link: &Link) -> Result<Bytes, LinkError> {
    let sending = SendOptions::within(Duration::from_secs(1)).abort_when_silent();
    let answer = match link.send_as(request(), sending).await {
        Err(LinkError::Silent) => link.send_as(request(), sending).await?,
        answer => answer?,
    };
    Ok(answer.whole(1024).await?.body)
}

/// When a server becomes slow, the first request is sent twice, and later ones once, as the longer response time is
/// then known. No answer that arrives within its timeout is lost.
#[tokio::test]
async fn a_server_that_became_slow_gets_only_one_request_twice() {
    const CALLS: usize = 6;
    let pause_ms = Arc::new(AtomicU64::new(0));
    let requests = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = LinkSettings {
        connect_timeout: TIMEOUT,
        keep_idle: Duration::from_secs(60),
        max_idle_connections: IDLE_CONNECTIONS,
    };
    let link = Link::new(listener.local_addr().unwrap(), settings);
    let (server_pause_ms, received) = (pause_ms.clone(), requests.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (pause_ms, received) = (server_pause_ms.clone(), received.clone());
            let service = service_fn(move |_: Request<hyper::body::Incoming>| {
                received.fetch_add(1, Ordering::Relaxed);
                let pause = Duration::from_millis(pause_ms.load(Ordering::Relaxed));
                async move {
                    tokio::time::sleep(pause).await;
                    Ok::<_, std::convert::Infallible>(Response::new(Full::new(Bytes::new())))
                }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    for pause in [400, 700, 900] {
        pause_ms.store(0, Ordering::Relaxed);
        // Enough fast answers for the recent maximum response time to decay.
        for _ in 0..40 {
            call(&link, "/").await.unwrap();
        }
        requests.store(0, Ordering::Relaxed);
        pause_ms.store(pause, Ordering::Relaxed);
        for at in 0..CALLS {
            let body = send_with_retry(&link).await;
            assert_eq!(body, Ok(Bytes::new()), "call {at} at {pause} ms");
        }
        let requests = requests.load(Ordering::Relaxed);
        assert!(requests <= CALLS + 1, "{requests} requests at {pause} ms");
    }
}

/// If a request has been unanswered since a moment, a connection that has been idle since is not reused.
#[tokio::test]
async fn an_idle_connection_without_recent_data_is_skipped_on_request() {
    let (proxy, link) = link_with_idle_connections().await;
    let moment = Instant::now();
    for _ in 0..2 {
        let sending = SendOptions::within(TIMEOUT).over_connection_active_since(moment);
        let answer = link.send_as(request(), sending).await.unwrap();
        answer.whole(1024).await.unwrap();
    }
    assert_eq!(
        proxy.opened(),
        IDLE_CONNECTIONS + 1,
        "the new connection is reused"
    );
}

/// The process is paused for longer than any answer takes. Answers that arrived during the pause are read before a
/// connection counts as silent.
#[tokio::test]
async fn a_paused_process_finds_no_connection_silent() {
    let (to_test, from_server) = std::sync::mpsc::channel();
    // The server has its own thread, so that it answers during the pause.
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async move {
            to_test.send(start_server().await).unwrap();
            std::future::pending::<()>().await;
        });
    });
    let settings = LinkSettings {
        connect_timeout: TIMEOUT,
        keep_idle: Duration::from_secs(60),
        max_idle_connections: IDLE_CONNECTIONS,
    };
    let link = Link::new(from_server.recv().unwrap(), settings);
    call(&link, "/").await.unwrap();
    for _ in 0..10 {
        let sending = SendOptions::within(Duration::from_secs(1)).abort_when_silent();
        let sent = tokio::spawn({
            let link = link.clone();
            let mut request = request();
            *request.uri_mut() = "/soon".parse().unwrap();
            async move { link.send_as(request, sending).await }
        });
        // The request is written, then the thread of the link is blocked.
        tokio::time::sleep(Duration::from_millis(10)).await;
        std::thread::sleep(Duration::from_millis(400));
        let answer = sent.await.unwrap().expect("an answer");
        answer.whole(1024).await.unwrap();
    }
    assert_eq!(link.traffic().opened.load(Ordering::Relaxed), 1);
}

/// A long poll of 0.6 s detects the silence. A connection that was opened after the poll started has received data
/// since, which says nothing about the older ones: an exchange over one of those still fails as silent.
#[tokio::test]
async fn a_new_connection_does_not_hide_that_older_ones_are_silent() {
    let (proxy, link) = link_with_idle_connections().await;
    proxy.silence();
    let started = |path: &str, sending: SendOptions| {
        let mut request = request();
        *request.uri_mut() = path.parse().unwrap();
        let link = link.clone();
        tokio::spawn(async move { link.send_as(request, sending).await.err() })
    };
    let long_options = SendOptions::within(5 * TIMEOUT).abort_when_silent();
    let long_poll = started("/slow", long_options.expect_answer_after(TIMEOUT));
    tokio::time::sleep(Duration::from_millis(20)).await;
    let new_connection_options =
        SendOptions::within(TIMEOUT).over_connection_active_since(Instant::now());
    let new_connection_traffic = async {
        loop {
            let mut request = request();
            *request.uri_mut() = "/soon".parse().unwrap();
            let answer = link.send_as(request, new_connection_options).await.unwrap();
            answer.whole(1024).await.unwrap();
        }
    };
    let silence_found = async {
        // Starts while the new connection is in use, so that this exchange takes an older one.
        tokio::time::sleep(Duration::from_millis(25)).await;
        let began = Instant::now();
        let error = started("/slow", long_options).await.unwrap();
        assert_eq!(error, Some(LinkError::Silent));
        assert!(began.elapsed() < 2 * TIMEOUT, "{:?}", began.elapsed());
    };
    tokio::select! {
        () = new_connection_traffic => {}
        () = silence_found => {}
    }
    assert_eq!(long_poll.await.unwrap(), Some(LinkError::Silent));
    assert_eq!(proxy.opened(), IDLE_CONNECTIONS + 1);
}
