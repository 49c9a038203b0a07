//! Back ends that stop amid an answer and close: amid its head, or amid a body whose end is marked by the close alone.
//!
//! Such an answer is not whole. If the node passed it on, its caller would take the beginning of an answer for all of it.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::backend::{BackendChange, BackendRecord};
use havenstage_rollout::ids::{BackendId, BackendName, ModelName, PoolName};
use socket2::SockRef;
use support::backend::StandInBackend;
use support::caller::{call, submit, text, wait_for_results};
use support::deployment::{APPLICATIONS, Deployment, ENGINES, TestNode, listed, wait_until};
use support::dialect::{MODEL, write_batch};
use support::log::Versions;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const NAME: &str = "cut";
const BODY: &str = "the whole body";
/// Bytes between two positions at which heads are cut.
const POSITION_STEP: usize = 7;
/// Time for which a back end that stops amid a head waits before it closes.
const PAUSE: Duration = Duration::from_millis(5);

/// How a back end ends the connection of an answer that it cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Close,
    Reset,
    /// It closes its writing side only.
    HalfClose,
    /// Its process ends: it closes the connection, and nobody listens any more.
    ProcessEnd,
}

/// How a back end answers.
#[derive(Debug, Clone, Copy)]
struct Cut {
    /// Status line and headers, without the id of the request.
    head: &'static str,
    /// Number of bytes of the answer that are sent.
    bytes: usize,
    ending: Ending,
    /// Number of answers on each connection that are whole, before the one that is cut.
    whole_before: usize,
}

const CALL_HEAD: &str = "HTTP/1.1 200 OK\r\nx-signature: s\r\ncontent-length: 14\r\n";
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-signature: s\r\nx-version: 1\r\ntransfer-encoding: chunked\r\n";
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\nx-signature: s\r\n";

/// A back end that cuts its answers off.
struct CutBackend {
    address: SocketAddr,
    requests: AtomicUsize,
}

impl CutBackend {
    async fn start(cut: Cut) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let backend = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            requests: AtomicUsize::new(0),
        });
        let serving = backend.clone();
        tokio::spawn(async move {
            if cut.ending == Ending::ProcessEnd {
                let (stream, _) = listener.accept().await.unwrap();
                return serving.serve(stream, cut, Some(listener)).await;
            }
            while let Ok((stream, _)) = listener.accept().await {
                let serving = serving.clone();
                tokio::spawn(async move { serving.serve(stream, cut, None).await });
            }
        });
        backend
    }

    async fn serve(&self, mut stream: TcpStream, cut: Cut, listener: Option<TcpListener>) {
        for number in 0.. {
            let mut request = vec![0; 16 * 1024];
            let Ok(count @ 1..) = stream.read(&mut request).await else {
                return;
            };
            self.requests.fetch_add(1, Ordering::Relaxed);
            let request = String::from_utf8_lossy(&request[..count]).to_ascii_lowercase();
            let id = request.split("\r\nx-id: ").nth(1);
            let id = id.and_then(|rest| rest.split("\r\n").next()).unwrap_or("");
            let answer = format!("{}x-id: {id}\r\n\r\n{BODY}", cut.head);
            if number < cut.whole_before {
                stream.write_all(answer.as_bytes()).await.unwrap();
                continue;
            }
            let bytes = &answer.as_bytes()[..cut.bytes.min(answer.len())];
            stream.write_all(bytes).await.unwrap();
            tokio::time::sleep(PAUSE).await;
            drop(listener);
            match cut.ending {
                Ending::Close | Ending::ProcessEnd => {}
                Ending::Reset => {
                    let socket = SockRef::from(&stream);
                    socket.set_linger(Some(Duration::ZERO)).unwrap();
                }
                Ending::HalfClose => {
                    stream.shutdown().await.unwrap();
                    let _ = stream.read(&mut [0; 16]).await;
                }
            }
            return;
        }
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    fn list_in(&self, deployment: &Deployment, pool: &str) {
        let record = BackendRecord {
            pool: PoolName::from(pool),
            address: self.address,
            zone: "zone".to_owned(),
            slots: 8,
            draining: false,
            cold_left_ms: 0,
            models: Versions::from([(ModelName::from(MODEL), 1)]),
            started_at: None,
        };
        let change = BackendChange {
            name: BackendName::from(NAME),
            record: Some(record),
        };
        deployment
            .log
            .write_backends(DirectoryEntry::Backend(change));
    }
}

async fn start(cut: Cut, pool: &str) -> (Deployment, Arc<CutBackend>, TestNode) {
    let deployment = Deployment::start(0, 0).await;
    let backend = CutBackend::start(cut).await;
    backend.list_in(&deployment, pool);
    let node = deployment.node_with_known_backends("a", 1).await;
    (deployment, backend, node)
}

/// Every few bytes of a head, and its last byte: all positions lie before its end.
fn positions(head: &str) -> impl Iterator<Item = usize> {
    let end = head.len() + "\r\n".len();
    (1..end).step_by(POSITION_STEP).chain([end - 1])
}

const ENDINGS: [Ending; 3] = [Ending::Close, Ending::Reset, Ending::HalfClose];

/// Guards against the beginning of a head that is taken for an answer without a body; the connection has carried a whole
/// answer before.
#[tokio::test]
async fn a_head_that_is_cut_off_is_no_answer_to_a_call_that_may_run_once() {
    for ending in ENDINGS {
        for bytes in positions(CALL_HEAD) {
            let cut = Cut {
                head: CALL_HEAD,
                bytes,
                ending,
                whole_before: 1,
            };
            let (_deployment, backend, node) = start(cut, APPLICATIONS).await;
            let whole = call(node.callers, "first", "/once/a").await;
            assert_eq!((whole.status.as_u16(), text(&whole).as_str()), (200, BODY));
            let answer = call(node.callers, "second", "/once/b").await;
            assert_eq!(answer.status, 502, "{cut:?}");
            assert_eq!(backend.requests(), 2, "{cut:?}");
        }
    }
}

#[tokio::test]
async fn a_call_that_may_be_repeated_goes_elsewhere_after_a_head_that_is_cut_off() {
    for ending in ENDINGS {
        let cut = Cut {
            head: CALL_HEAD,
            bytes: CALL_HEAD.len() / 2,
            ending,
            whole_before: 0,
        };
        let (deployment, _backend, node) = start(cut, APPLICATIONS).await;
        assert_eq!(call(node.callers, "alone", "/calls/a").await.status, 502);
        let sound = StandInBackend::start("sound").await;
        deployment
            .log
            .write_backends(listed(&sound, APPLICATIONS, false));
        node.wait_until_known(2).await;
        let answer = call(node.callers, "beside", "/calls/a").await;
        assert_eq!(answer.status, 200, "{cut:?}");
        assert!(text(&answer).contains("sound answers beside"), "{cut:?}");
    }
}

#[tokio::test]
async fn a_head_that_is_cut_off_begins_no_stream() {
    for ending in ENDINGS {
        for bytes in positions(STREAM_HEAD).step_by(4) {
            let cut = Cut {
                head: STREAM_HEAD,
                bytes,
                ending,
                whole_before: 0,
            };
            let (_deployment, _backend, node) = start(cut, ENGINES).await;
            let answer = call(node.callers, "stream", "/streams/once/a").await;
            assert_eq!(answer.status, 502, "{cut:?}");
        }
    }
}

/// The item and its reward call meet a back end that cuts its heads off, and are done by sound ones.
#[tokio::test]
async fn items_and_reward_calls_go_on_elsewhere_after_heads_that_are_cut_off() {
    for (head, pool, other_pool) in [
        (STREAM_HEAD, ENGINES, APPLICATIONS),
        (CALL_HEAD, APPLICATIONS, ENGINES),
    ] {
        let cut = Cut {
            head,
            bytes: head.len() - 1,
            ending: Ending::Close,
            whole_before: 0,
        };
        let (deployment, backend, node) = start(cut, pool).await;
        let other = StandInBackend::start("other").await;
        let log = &deployment.log;
        log.write_backends(listed(&other, other_pool, false));
        let body = write_batch(1, &[("i1", "g1")], true);
        assert_eq!(submit(node.callers, "batch", &body).await, 202);
        wait_until("it is tried there", || backend.requests() > 0).await;
        let sound = StandInBackend::start("sound").await;
        log.write_backends(listed(&sound, pool, false));
        let lines = wait_for_results(node.callers, "batch", 1).await;
        assert!(lines[0].contains("|completed|"), "{lines:?}");
    }
}

/// An order whose answer's head is cut off is not taken for one that the back end carried out.
#[tokio::test]
async fn an_order_whose_answer_is_cut_off_changes_no_version() {
    let cut = Cut {
        head: "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n",
        bytes: 20,
        ending: Ending::Close,
        whole_before: 0,
    };
    let (deployment, backend, node) = start(cut, ENGINES).await;
    let model = ModelName::from(MODEL);
    deployment
        .log
        .write_operators(DirectoryEntry::NamedVersion {
            model: model.clone(),
            version: 2,
        });
    wait_until("it was asked", || backend.requests() >= 2).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let backends = node.context().backends.lock();
    assert_eq!(backends.version(&BackendId::from(NAME), &model), 1);
}

/// Guards against a short body that is passed on as a whole one: the body has neither a length nor chunks, and the process
/// ends amid it, so that its connection closes as after a whole body.
#[tokio::test]
async fn an_unmarked_body_is_not_whole_if_the_process_that_sent_it_has_ended() {
    let head_bytes = UNFRAMED_HEAD.len() + "x-id: call\r\n\r\n".len();
    let cut = Cut {
        head: UNFRAMED_HEAD,
        bytes: head_bytes + BODY.len() / 2,
        ending: Ending::ProcessEnd,
        whole_before: 0,
    };
    for path in ["/once/a", "/calls/a"] {
        let (_deployment, backend, node) = start(cut, APPLICATIONS).await;
        let answer = call(node.callers, "call", path).await;
        // A call that may be repeated is tried until its time is up.
        let is_failure = matches!(answer.status.as_u16(), 502 | 504);
        assert!(is_failure, "{path}: {} {:?}", answer.status, text(&answer));
        assert_eq!(backend.requests(), 1, "{path}");
    }
}

#[tokio::test]
async fn an_unmarked_body_of_a_living_back_end_is_passed_on() {
    let cut = Cut {
        head: UNFRAMED_HEAD,
        bytes: usize::MAX,
        ending: Ending::Close,
        whole_before: 0,
    };
    let (_deployment, _backend, node) = start(cut, APPLICATIONS).await;
    let answer = call(node.callers, "call", "/once/a").await;
    assert_eq!(
        (answer.status.as_u16(), text(&answer).as_str()),
        (200, BODY)
    );
}
