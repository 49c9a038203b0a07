//! Back ends in trouble send bytes without end that are no answer, until the node closes the connection.
//!
//! The head of such an answer may be right, so only its size, its form or the time shows it. If the node read on, it would
//! hold all the bytes in memory, keep the caller until its deadline, and take what began like a rejection for one.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::backend::{BackendChange, BackendRecord};
use havenstage_rollout::ids::{BackendName, ModelName, PoolName};
use support::backend::StandInBackend;
use support::caller::{call, submit, wait_for_results};
use support::deployment::{APPLICATIONS, Deployment, ENGINES, TestNode, listed, settings};
use support::dialect::{MODEL, write_batch};
use support::log::{NodeLog, Versions};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time within which the node closes a connection that is full of bytes without end.
const CLOSE_TIME: Duration = Duration::from_secs(2);
/// Timeout of the routes, and time after it within which callers have their answer.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(3_000);
const ANSWER_TIME_AFTER_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes that the node may take of such an answer, with the buffers of both sockets.
const MAX_TAKEN_BYTES: usize = 16 * 1024 * 1024;

/// A back end that answers every request with a head and then with the same bytes without end, or until it has sent a
/// certain number of them.
struct EndlessBackend {
    address: SocketAddr,
    received: AtomicUsize,
    written: AtomicUsize,
    /// Number of bytes written over connections that are open.
    held: AtomicUsize,
    closed: AtomicUsize,
}

#[derive(Clone, Copy)]
struct EndlessAnswer {
    /// Status line and headers, without the id of the request.
    head: &'static str,
    repeated: &'static str,
    max_bytes: usize,
}

impl EndlessBackend {
    async fn start(answer: EndlessAnswer) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let backend = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            received: AtomicUsize::new(0),
            written: AtomicUsize::new(0),
            held: AtomicUsize::new(0),
            closed: AtomicUsize::new(0),
        });
        let serving = backend.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream, answer));
            }
        });
        backend
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream, answer: EndlessAnswer) {
        let mut request = vec![0; 16 * 1024];
        let Ok(count) = stream.read(&mut request).await else {
            return;
        };
        let request = String::from_utf8_lossy(&request[..count]).to_ascii_lowercase();
        let id = request.split("\r\nx-id: ").nth(1);
        let Some(id) = id.and_then(|rest| rest.split("\r\n").next()) else {
            return;
        };
        self.received.fetch_add(1, Ordering::Relaxed);
        let head = format!("{}x-id: {id}\r\n\r\n", answer.head);
        let block = answer.repeated.repeat(16 * 1024 / answer.repeated.len());
        if stream.write_all(head.as_bytes()).await.is_err() {
            return;
        }
        let mut written = 0;
        while written < answer.max_bytes
            && let Ok(count) = stream.write(block.as_bytes()).await
        {
            written += count;
            self.written.fetch_add(count, Ordering::Relaxed);
            self.held.fetch_add(count, Ordering::Relaxed);
        }
        // Waits until the node closes, if it did not yet.
        let mut byte = [0];
        while matches!(stream.read(&mut byte).await, Ok(1)) {}
        self.held.fetch_sub(written, Ordering::Relaxed);
        self.closed.fetch_add(1, Ordering::Relaxed);
    }

    fn list_in(&self, deployment: &Deployment, pool: &str) {
        let record = BackendRecord {
            pool: PoolName::from(pool),
            address: self.address,
            zone: "zone".to_owned(),
            slots: 64,
            draining: false,
            cold_left_ms: 0,
            models: Versions::from([(ModelName::from(MODEL), 1)]),
            started_at: None,
        };
        deployment
            .log
            .write_backends(DirectoryEntry::Backend(BackendChange {
                name: BackendName::from("endless"),
                record: Some(record),
            }));
    }

    /// Waits until all connections with requests were closed, and checks how much the node took.
    async fn wait_until_closed(&self, since: Instant) {
        let is_closed = || {
            let closed = self.closed.load(Ordering::Relaxed);
            closed > 0 && closed == self.received.load(Ordering::Relaxed)
        };
        while !is_closed() {
            let waited = since.elapsed();
            assert!(waited < CLOSE_TIME, "not closed after {waited:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let taken = self.written.load(Ordering::Relaxed) / self.received.load(Ordering::Relaxed);
        assert!(taken < MAX_TAKEN_BYTES, "{taken} bytes each");
    }
}

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-signature: s\r\nx-version: 1\r\n";
const NOT_RUN_HEAD: &str = "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\n";
const IMPOSSIBLE_HEAD: &str = "HTTP/1.1 422 Unprocessable Content\r\n";

fn without_end(head: &'static str, repeated: &'static str) -> EndlessAnswer {
    EndlessAnswer {
        head,
        repeated,
        max_bytes: usize::MAX,
    }
}

/// Starts a deployment whose only back end of a pool answers without end, and a node.
async fn start(answer: EndlessAnswer, pool: &str) -> (Deployment, Arc<EndlessBackend>, TestNode) {
    let deployment = Deployment::start(0, 0).await;
    let endless = EndlessBackend::start(answer).await;
    endless.list_in(&deployment, pool);
    let node = deployment.node_with_known_backends("a", 1).await;
    (deployment, endless, node)
}

async fn add_sound_backend(deployment: &Deployment, pool: &str) -> Arc<StandInBackend> {
    let sound = StandInBackend::start("sound").await;
    deployment.log.write_backends(listed(&sound, pool, false));
    sound
}

/// Waits until the endless back end has received something.
async fn wait_for_request(endless: &EndlessBackend) -> Instant {
    support::deployment::wait_until("the endless back end has a request", || {
        endless.received.load(Ordering::Relaxed) > 0
    })
    .await;
    Instant::now()
}

/// Submits an item that reaches the endless back end first, and waits until a sound one has completed it.
async fn complete_an_item_beside(answer: EndlessAnswer) {
    let (deployment, endless, node) = start(answer, ENGINES).await;
    let body = write_batch(1, &[("i1", "g1")], false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    let since = wait_for_request(&endless).await;
    let _sound = add_sound_backend(&deployment, ENGINES).await;
    let lines = wait_for_results(node.callers, "batch", 1).await;
    assert!(lines[0].contains("|completed|"), "{lines:?}");
    endless.wait_until_closed(since).await;
}

#[tokio::test]
async fn an_item_goes_on_elsewhere_after_a_line_without_end() {
    complete_an_item_beside(without_end(STREAM_HEAD, "data: x")).await;
}

/// A failure counts only if its answer is whole, so the item is not given up.
#[tokio::test]
async fn an_item_is_not_given_up_for_a_rejection_without_end() {
    complete_an_item_beside(without_end(IMPOSSIBLE_HEAD, "no")).await;
}

#[tokio::test]
async fn a_stream_goes_on_elsewhere_after_a_line_without_end() {
    let endless_line = without_end(STREAM_HEAD, "data: x");
    let (deployment, endless, node) = start(endless_line, ENGINES).await;
    let callers = node.callers;
    let stream = tokio::spawn(async move { call(callers, "stream", "/streams/a").await });
    let since = wait_for_request(&endless).await;
    let sound = add_sound_backend(&deployment, ENGINES).await;
    let answer = stream.await.unwrap();
    assert_eq!(answer.status, 200);
    endless.wait_until_closed(since).await;
    assert!(since.elapsed() < ROUTE_TIMEOUT);
    assert!(sound.seen().len() <= 1);
}

/// The bytes are passed on, as they may be the start of an event, but not beyond the time of the route.
#[tokio::test]
async fn a_stream_that_cannot_be_resumed_ends_at_its_timeout_although_bytes_come() {
    let endless_line = without_end(STREAM_HEAD, ": no event\n\n");
    let (_deployment, endless, node) = start(endless_line, ENGINES).await;
    let since = Instant::now();
    let mut stream = TcpStream::connect(node.callers).await.unwrap();
    let request = "POST /streams/once/a HTTP/1.1\r\nhost: api\r\nx-id: stream\r\nx-deadline: 60000\r\ncontent-length: 0\r\n\r\n";
    let host = request.replace("host: api", &format!("host: {}", support::dialect::HOST));
    stream.write_all(host.as_bytes()).await.unwrap();
    let mut buffer = vec![0; 64 * 1024];
    let mut last = Vec::new();
    while let Ok(Ok(count @ 1..)) =
        tokio::time::timeout(Duration::from_secs(10), stream.read(&mut buffer)).await
    {
        last = buffer[..count].to_vec();
    }
    let took = since.elapsed();
    assert!(
        took < ROUTE_TIMEOUT + ANSWER_TIME_AFTER_TIMEOUT,
        "ended after {took:?}"
    );
    assert!(!last.ends_with(b"0\r\n\r\n"), "it does not look complete");
    assert_eq!(endless.received.load(Ordering::Relaxed), 1);
}

/// A call that may run once is neither sent again nor refused as not run on the word of an answer that is not whole.
#[tokio::test]
async fn a_rejection_without_end_does_not_mean_that_a_call_was_not_run() {
    let rejection = without_end(NOT_RUN_HEAD, "no");
    let (deployment, endless, node) = start(rejection, APPLICATIONS).await;
    let callers = node.callers;
    let since = Instant::now();
    let asked = tokio::spawn(async move { call(callers, "once", "/once/a").await });
    wait_for_request(&endless).await;
    let sound = add_sound_backend(&deployment, APPLICATIONS).await;
    assert_eq!(asked.await.unwrap().status, 502);
    endless.wait_until_closed(since).await;
    assert!(sound.seen().is_empty());
}

/// Memory of the node in the next test, in MB.
const MEMORY_MB: u32 = 64;
/// Number of callers at a time, and length of each answer that is never whole.
const CALLERS: usize = 8;
const ANSWER_BYTES: usize = 24 * 1024 * 1024;
/// Most bytes that the buffers of the sockets of a connection hold.
const SOCKET_BUFFER_BYTES: usize = 7 * 1024 * 1024;

/// Many answers without end at a time do not exceed the memory of the node.
#[tokio::test]
async fn answers_in_progress_hold_a_share_of_the_memory() {
    let deployment = Deployment::start(0, 0).await;
    let long_answer = EndlessAnswer {
        head: "HTTP/1.1 200 OK\r\nx-signature: s\r\n",
        repeated: "x",
        max_bytes: ANSWER_BYTES,
    };
    let endless = EndlessBackend::start(long_answer).await;
    endless.list_in(&deployment, APPLICATIONS);
    let mut settings = settings("a");
    settings.memory_mb = MEMORY_MB;
    let node = TestNode::start_with_settings(NodeLog::new(&deployment.log), settings).await;
    node.wait_until_known(1).await;
    let callers = node.callers;
    let calls = (0..CALLERS).map(|number| {
        tokio::spawn(async move { call(callers, &format!("call-{number}"), "/once/a").await })
    });
    let calls: Vec<_> = calls.collect();
    let mut most = 0;
    while calls.iter().any(|call| !call.is_finished()) {
        most = most.max(endless.held.load(Ordering::Relaxed));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for call in calls {
        assert!(matches!(call.await.unwrap().status.as_u16(), 502 | 504));
    }
    let allowed = MEMORY_MB as usize * 1024 * 1024 / 4 + CALLERS * SOCKET_BUFFER_BYTES;
    assert!(most < allowed, "{most} bytes were held, {allowed} allowed");
    assert!(most < CALLERS * ANSWER_BYTES / 2, "{most} bytes were held");
}
