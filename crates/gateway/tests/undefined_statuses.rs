//! Back ends in trouble that answer with a status that HTTP does not define for an answer, such as 000 or 700. Such bytes
//! are no answer: callers get none of them, and what may be repeated is sent to another back end.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::backend::{BackendChange, BackendRecord};
use havenstage_rollout::ids::{BackendName, ModelName, PoolName};
use support::backend::StandInBackend;
use support::caller::{call, submit, text, wait_for_results};
use support::deployment::{APPLICATIONS, Deployment, ENGINES, TestNode, listed, wait_until};
use support::dialect::{MODEL, write_batch};
use support::log::Versions;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const NAME: &str = "undefined";
const BODY: &str = "no answer";
/// Statuses outside 200 to 599 that can stand in the first line of an answer.
const STATUSES: [&str; 9] = ["000", "00", "0", "099", "101", "199", "600", "700", "999"];
/// Header lines beside the request's id: of an answer that counts, of one that says that the request was not run, and none.
const HEADERS: [&str; 3] = ["x-signature: s\r\n", "x-not-run: 1\r\n", ""];

/// A back end that answers with an undefined status, from its second answer on a connection if `whole_first`.
struct Undefined {
    address: SocketAddr,
    requests: AtomicUsize,
    status: &'static str,
    headers: &'static str,
    whole_first: bool,
}

impl Undefined {
    async fn start(status: &'static str, headers: &'static str, whole_first: bool) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let backend = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            requests: AtomicUsize::new(0),
            status,
            headers,
            whole_first,
        });
        let serving = backend.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = serving.clone();
                tokio::spawn(async move { serving.serve(stream).await });
            }
        });
        backend
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut is_whole = self.whole_first;
        loop {
            let mut request = vec![0; 16 * 1024];
            let Ok(count @ 1..) = stream.read(&mut request).await else {
                return;
            };
            self.requests.fetch_add(1, Ordering::Relaxed);
            let request = String::from_utf8_lossy(&request[..count]).to_ascii_lowercase();
            let id = request.split("\r\nx-id: ").nth(1);
            let id = id.and_then(|rest| rest.split("\r\n").next()).unwrap_or("");
            let (status, headers) = match std::mem::take(&mut is_whole) {
                true => ("200", "x-signature: s\r\n"),
                false => (self.status, self.headers),
            };
            let length = BODY.len();
            let answer = format!(
                "HTTP/1.1 {status} Word\r\nx-id: {id}\r\n{headers}content-length: {length}\r\n\r\n{BODY}"
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            if status != "200" {
                let _ = stream.shutdown().await;
                return;
            }
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

async fn start(
    pool: &str,
    status: &'static str,
    headers: &'static str,
    whole_first: bool,
) -> (Deployment, Arc<Undefined>, TestNode) {
    let deployment = Deployment::start(0, 0).await;
    let backend = Undefined::start(status, headers, whole_first).await;
    backend.list_in(&deployment, pool);
    let node = deployment.node_with_known_backends("a", 1).await;
    (deployment, backend, node)
}

#[tokio::test]
async fn no_caller_gets_an_undefined_status() {
    for status in STATUSES {
        for headers in HEADERS {
            for (pool, path) in [
                (APPLICATIONS, "/calls/a"),
                (APPLICATIONS, "/once/a"),
                (ENGINES, "/streams/once/a"),
                (ENGINES, "/streams/a"),
            ] {
                let (_deployment, _backend, node) = start(pool, status, headers, false).await;
                let answer = call(node.callers, "call", path).await;
                let case = format!("{status} {headers:?} {path}");
                assert_eq!(answer.status, 502, "{case}");
                assert_ne!(text(&answer), BODY, "{case}");
            }
        }
    }
}

#[tokio::test]
async fn a_call_that_may_run_once_is_not_sent_again_after_an_undefined_status() {
    for status in STATUSES {
        for headers in HEADERS {
            let (_deployment, backend, node) = start(APPLICATIONS, status, headers, true).await;
            assert_eq!(call(node.callers, "first", "/once/a").await.status, 200);
            let answer = call(node.callers, "second", "/once/b").await;
            assert_eq!(answer.status, 502, "{status} {headers:?}");
            assert_eq!(backend.requests(), 2, "{status} {headers:?}");
        }
    }
}

#[tokio::test]
async fn a_call_that_may_be_repeated_goes_elsewhere_after_an_undefined_status() {
    for status in STATUSES {
        let (deployment, _backend, node) = start(APPLICATIONS, status, HEADERS[0], false).await;
        let sound = StandInBackend::start("sound").await;
        deployment
            .log
            .write_backends(listed(&sound, APPLICATIONS, false));
        node.wait_until_known(2).await;
        let answer = call(node.callers, "beside", "/calls/a").await;
        assert_eq!(answer.status, 200, "{status}");
        assert!(text(&answer).contains("sound answers beside"), "{status}");
    }
}

/// The item and its reward call meet a back end that answers with undefined statuses, and are done by sound ones.
#[tokio::test]
async fn items_and_reward_calls_go_on_elsewhere_after_undefined_statuses() {
    for status in ["000", "600"] {
        for (pool, other_pool) in [(ENGINES, APPLICATIONS), (APPLICATIONS, ENGINES)] {
            let (deployment, backend, node) = start(pool, status, HEADERS[0], false).await;
            let other = StandInBackend::start("other").await;
            let log = &deployment.log;
            log.write_backends(listed(&other, other_pool, false));
            let body = write_batch(1, &[("i1", "g1")], true);
            assert_eq!(submit(node.callers, "batch", &body).await, 202);
            wait_until("it is tried there", || backend.requests() > 0).await;
            let sound = StandInBackend::start("sound").await;
            log.write_backends(listed(&sound, pool, false));
            let lines = wait_for_results(node.callers, "batch", 1).await;
            assert!(lines[0].contains("|completed|"), "{status}: {lines:?}");
        }
    }
}
