//! Kept connections that fall silent all at once cost one call its time, not one call each.
//!
//! What happened: at a moment all open connections of a machine fell silent, without a reset, while new
//! ones worked. A link keeps up to 16 resting connections. Each call took one of them, wrote its request
//! into it, waited out its whole time-out and threw away that one connection only. So a node was without
//! the store for as many time-outs as connections rested, though a new connection would have been
//! answered in a millisecond.

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

const KEPT: usize = 16;
/// Time a call has.
const TIMEOUT: Duration = Duration::from_millis(600);
/// Far longer than an answer over loopback takes on a busy machine, far shorter than a time-out.
const PROMPT: Duration = Duration::from_millis(300);

/// A server that answers each request at once, but those to `/soon` and `/slow` after a while.
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

/// A link through a proxy, with so many connections that rest.
async fn link_with_kept_connections() -> (SilencingProxy, Link) {
    let proxy = SilencingProxy::start(start_server().await).await;
    let settings = LinkSettings {
        connect_timeout: Duration::from_secs(5),
        keep_idle: Duration::from_secs(60),
        max_idle_connections: KEPT,
    };
    let link = Link::new(proxy.address, settings);
    for answer in join_all((0..KEPT).map(|_| call(&link, "/"))).await {
        answer.unwrap();
    }
    assert_eq!(
        proxy.opened(),
        KEPT,
        "each call has a connection of its own"
    );
    (proxy, link)
}

#[tokio::test]
async fn one_time_out_is_all_that_silenced_connections_cost() {
    let (proxy, link) = link_with_kept_connections().await;
    proxy.silence();
    assert_eq!(call(&link, "/").await, Err(LinkError::TimedOut));
    for _ in 0..KEPT {
        let began = Instant::now();
        assert_eq!(call(&link, "/").await, Ok(Bytes::from("answer")));
        assert!(began.elapsed() < PROMPT, "{:?}", began.elapsed());
    }
}

/// A caller that gives up itself, a little before the link's own time-out, tells the same.
#[tokio::test]
async fn a_call_that_is_dropped_after_its_time_tells_the_same() {
    let (proxy, link) = link_with_kept_connections().await;
    proxy.silence();
    let dropped = tokio::time::timeout(TIMEOUT - Duration::from_millis(50), call(&link, "/")).await;
    assert!(dropped.is_err());
    assert_eq!(call(&link, "/").await, Ok(Bytes::from("answer")));
}

/// A time-out of one call says nothing about connections that were heard from after it began.
#[tokio::test]
async fn a_slow_call_costs_no_connection_that_is_heard_from() {
    let (proxy, link) = link_with_kept_connections().await;
    let slow = tokio::spawn({
        let link = link.clone();
        async move { call(&link, "/slow").await }
    });
    let began = Instant::now();
    while began.elapsed() < TIMEOUT + PROMPT {
        call(&link, "/").await.unwrap();
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(slow.await.unwrap(), Err(LinkError::TimedOut));
    join_all((0..KEPT - 1).map(|_| call(&link, "/"))).await;
    assert_eq!(proxy.opened(), KEPT);
}

fn request() -> Request<Full<Bytes>> {
    Request::new(Full::new(Bytes::new()))
}

/// A request that may be sent again need not wait for its time to pass. The connection on which nothing
/// is heard may have brought it all the same.
#[tokio::test]
async fn an_exchange_ends_early_if_its_sender_wants_and_is_never_called_unsent() {
    let (proxy, link) = link_with_kept_connections().await;
    proxy.silence();
    let began = Instant::now();
    let sending = SendOptions::within(10 * TIMEOUT).abort_when_silent();
    let error = link.send_as(request(), sending).await.err().unwrap();
    assert_eq!(error, LinkError::Silent);
    assert!(!error.is_unsent());
    assert!(began.elapsed() < TIMEOUT, "{:?}", began.elapsed());
}

/// Asks once more where the connection fell silent.
async fn ask(link: &Link) -> Result<Bytes, LinkError> {
    let sending = SendOptions::within(Duration::from_secs(1)).abort_when_silent();
    let answer = match link.send_as(request(), sending).await {
        Err(LinkError::Silent) => link.send_as(request(), sending).await?,
        answer => answer?,
    };
    Ok(answer.whole(1024).await?.body)
}

/// A server that becomes slow is asked once more at first, and not again once that is known; no
/// answer that comes in its time is lost to that.
#[tokio::test]
async fn a_server_that_became_slow_is_not_asked_twice_for_long() {
    const CALLS: usize = 6;
    let pause_ms = Arc::new(AtomicU64::new(0));
    let requests = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = LinkSettings {
        connect_timeout: TIMEOUT,
        keep_idle: Duration::from_secs(60),
        max_idle_connections: KEPT,
    };
    let link = Link::new(listener.local_addr().unwrap(), settings);
    let (told_pause_ms, seen) = (pause_ms.clone(), requests.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (pause_ms, seen) = (told_pause_ms.clone(), seen.clone());
            let service = service_fn(move |_: Request<hyper::body::Incoming>| {
                seen.fetch_add(1, Ordering::Relaxed);
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
        // Until the slow answers are forgotten.
        for _ in 0..40 {
            call(&link, "/").await.unwrap();
        }
        requests.store(0, Ordering::Relaxed);
        pause_ms.store(pause, Ordering::Relaxed);
        for at in 0..CALLS {
            let body = ask(&link).await;
            assert_eq!(body, Ok(Bytes::new()), "call {at} at {pause} ms");
        }
        let requests = requests.load(Ordering::Relaxed);
        assert!(requests <= CALLS + 1, "{requests} requests at {pause} ms");
    }
}

/// Where something has no answer since a moment, a connection that rested since is not trusted.
#[tokio::test]
async fn a_kept_connection_can_be_asked_to_have_been_heard_from() {
    let (proxy, link) = link_with_kept_connections().await;
    let moment = Instant::now();
    for _ in 0..2 {
        let sending = SendOptions::within(TIMEOUT).over_connection_active_since(moment);
        let answer = link.send_as(request(), sending).await.unwrap();
        answer.whole(1024).await.unwrap();
    }
    assert_eq!(proxy.opened(), KEPT + 1, "the new one is used again");
}

/// This process stood still for longer than any answer takes: what arrived meanwhile is read before
/// anything is called silent.
#[tokio::test]
async fn a_process_that_stood_still_calls_nothing_silent() {
    let (to_test, from_server) = std::sync::mpsc::channel();
    // The server has a thread of its own, so that it answers meanwhile.
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
        max_idle_connections: KEPT,
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
        // The request is written, then the process stands still.
        tokio::time::sleep(Duration::from_millis(10)).await;
        std::thread::sleep(Duration::from_millis(400));
        let answer = sent.await.unwrap().expect("an answer");
        answer.whole(1024).await.unwrap();
    }
    assert_eq!(link.traffic().opened.load(Ordering::Relaxed), 1);
}

/// A question that the server was asked to think about for 0.6 s shows the silence. A connection that was
/// opened after the question began was heard from since, which shows nothing of the older ones: an exchange
/// over one of those is told all the same.
#[tokio::test]
async fn a_new_connection_does_not_hide_that_the_older_ones_are_silent() {
    let (proxy, link) = link_with_kept_connections().await;
    proxy.silence();
    let started = |path: &str, sending: SendOptions| {
        let mut request = request();
        *request.uri_mut() = path.parse().unwrap();
        let link = link.clone();
        tokio::spawn(async move { link.send_as(request, sending).await.err() })
    };
    let lasting = SendOptions::within(5 * TIMEOUT).abort_when_silent();
    let question = started("/slow", lasting.expect_answer_after(TIMEOUT));
    tokio::time::sleep(Duration::from_millis(20)).await;
    let over_new_one = SendOptions::within(TIMEOUT).over_connection_active_since(Instant::now());
    let talk = async {
        loop {
            let mut request = request();
            *request.uri_mut() = "/soon".parse().unwrap();
            let answer = link.send_as(request, over_new_one).await.unwrap();
            answer.whole(1024).await.unwrap();
        }
    };
    let told = async {
        // While the new connection is in use, so that this one takes an older one.
        tokio::time::sleep(Duration::from_millis(25)).await;
        let began = Instant::now();
        let error = started("/slow", lasting).await.unwrap();
        assert_eq!(error, Some(LinkError::Silent));
        assert!(began.elapsed() < 2 * TIMEOUT, "{:?}", began.elapsed());
    };
    tokio::select! {
        () = talk => {}
        () = told => {}
    }
    assert_eq!(question.await.unwrap(), Some(LinkError::Silent));
    assert_eq!(proxy.opened(), KEPT + 1);
}
