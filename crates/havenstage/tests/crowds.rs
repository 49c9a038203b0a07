//! Crowds of clients that misuse the limits of the programs: each process lives, stays within the memory and the
//! descriptors of its machine, and answers ordinary requests.

#[allow(dead_code)]
#[path = "support/crowd.rs"]
mod crowd;
#[path = "support/measured.rs"]
mod measured;
#[allow(dead_code)]
#[path = "support/process.rs"]
mod process;
#[allow(dead_code)]
mod support;

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crowd::{Crowd, End, Framing, Shape};
use measured::Measured;
use process::{NEVER, Service};
use serde_json::Value;
use support::{file, read_log};

const PROGRAM: &str = env!("CARGO_BIN_EXE_havenstage");
/// Descriptors of a process in tests that are not about them.
const MANY_DESCRIPTORS: u64 = 4_096;
/// Descriptors of a process in tests that are about them.
const FEW_DESCRIPTORS: u64 = 256;
/// Descriptors that must be left while a crowd stands.
const SPARE_DESCRIPTORS: u64 = 16;
const MB: usize = 1024 * 1024;

/// Memory of the machine of `serve`, in megabytes, of which the store has a part.
const SERVE_MEMORY_MB: u64 = 192;
const SERVE_SETTINGS: &str = "memory_mb = 160\n[store]\nmost_mb = 32\n";
/// Memory of the machine of a node, in megabytes.
const NODE_MEMORY_MB: u64 = 128;
const NODE_SETTINGS: &str = "[http]\nmax_held_body_bytes = 16777216\n";
/// Memory of the machine of a stand-in, in megabytes.
const STANDIN_MEMORY_MB: u64 = 400;

/// Held by the test that runs: a crowd needs the machine for itself.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    // A test that failed leaves nothing behind.
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A process under test.
struct Tested {
    process: Measured,
    memory_mb: u64,
    descriptors: u64,
    /// Where ordinary requests are sent, and what they ask for.
    ordinary_address: SocketAddr,
    ordinary_request: fn(u64) -> Vec<u8>,
    /// Services that the process needs.
    _services: Vec<Service>,
}

impl Tested {
    fn ordinary_request(&self) {
        crowd::ordinary_request(self.ordinary_address, self.ordinary_request);
    }

    /// Plays a crowd against a listener twice, and checks the process while it stands and after it has left.
    fn play(&mut self, address: SocketAddr, members: usize, shape: &Shape) {
        for _ in 0..2 {
            let crowd = Crowd::arrive(address, members, shape.clone());
            self.process.wait_until_memory_settles();
            self.process.assert_alive();
            let most = (self.descriptors - SPARE_DESCRIPTORS) as usize;
            self.process.assert_descriptors_within(most);
            self.ordinary_request();
            let (_, statuses) = crowd.leave();
            println!("answers by status: {:?}", crowd::count(&statuses));
            self.process.wait_until_memory_settles();
            self.process.assert_alive();
            self.ordinary_request();
            self.process.assert_memory_within(self.memory_mb);
        }
    }
}

/// Waits for a log line in which a field has a value.
fn wait_for_line(process: &mut Measured, field: &str, value: &str) -> Value {
    let log = read_log(process.output());
    loop {
        let line = log.recv_timeout(NEVER).expect("the line is logged");
        if line[field] == value {
            return line;
        }
    }
}

fn address(line: &Value, field: &str) -> SocketAddr {
    let text = line[field].as_str().expect("the field is text");
    text.parse().expect("the field is an address")
}

/// Starts `serve`; returns it with the address of the operators' interface.
fn serve(settings: &str, memory_mb: u64, descriptors: u64) -> (Tested, SocketAddr) {
    let path = file("crowds-serve.toml", settings);
    let arguments = [
        "serve",
        "--config",
        path.to_str().unwrap(),
        "--callers",
        "127.0.0.1:0",
        "--operators",
        "127.0.0.1:0",
        "--ready",
        "127.0.0.1:0",
    ];
    let mut process = Measured::start(PROGRAM, &arguments, descriptors);
    let line = wait_for_line(&mut process, "event", "serving");
    let tested = Tested {
        process,
        memory_mb,
        descriptors,
        ordinary_address: address(&line, "callers"),
        ordinary_request: |number| completion(&format!("ordinary-{number}"), "hello"),
        _services: Vec::new(),
    };
    tested.ordinary_request();
    (tested, address(&line, "operators"))
}

fn completion(id: &str, prompt: &str) -> Vec<u8> {
    let body = format!(r#"{{"model":"policy","max_tokens":2,"prompt":"{prompt}"}}"#);
    let length = body.len();
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: 127.0.0.1\r\nconnection: close\r\nx-request-id: {id}\r\n\
content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// A completion with a prompt of one long word.
fn completions(body_bytes: usize, framing: Framing, end: End) -> Shape {
    Shape {
        first_line: "POST /v1/completions",
        host: "127.0.0.1",
        id_header: "x-request-id",
        headers: String::new(),
        prefix: r#"{"model":"policy","max_tokens":200,"prompt":""#,
        filling: "x",
        suffix: r#""}"#,
        body_bytes,
        framing,
        end,
    }
}

fn play_serve(descriptors: u64, members: usize, shape: &Shape) {
    let (mut tested, _) = serve(SERVE_SETTINGS, SERVE_MEMORY_MB, descriptors);
    tested.play(tested.ordinary_address, members, shape);
}

#[test]
fn serve_whole_large_bodies_at_once() {
    let _alone = alone();
    let shape = completions(20 * MB, Framing::Length, End::Nowhere);
    play_serve(MANY_DESCRIPTORS, 12, &shape);
}

#[test]
fn serve_many_whole_bodies_that_wait_for_an_engine() {
    let _alone = alone();
    let shape = completions(3 * MB / 2, Framing::Length, End::Nowhere);
    play_serve(MANY_DESCRIPTORS, 200, &shape);
}

#[test]
fn serve_bodies_in_large_chunks_that_stop_short_of_their_end() {
    let _alone = alone();
    let shape = completions(20 * MB, Framing::Chunks(64 * 1024), End::InBody);
    play_serve(MANY_DESCRIPTORS, 12, &shape);
}

#[test]
fn serve_bodies_in_very_small_chunks_that_stop_short_of_their_end() {
    let _alone = alone();
    let shape = completions(2 * MB, Framing::Chunks(1), End::InBody);
    play_serve(MANY_DESCRIPTORS, 4, &shape);
}

#[test]
fn serve_more_small_bodies_that_stop_short_of_their_end_than_descriptors() {
    let _alone = alone();
    let shape = completions(10_000, Framing::Length, End::InBody);
    play_serve(FEW_DESCRIPTORS, 400, &shape);
}

#[test]
fn serve_batches_of_very_many_small_values() {
    let _alone = alone();
    let mut shape = completions(8 * MB, Framing::Length, End::Nowhere);
    shape.first_line = "POST /v1/batches/";
    shape.prefix = r#"{"model":"policy","samples":[{"id":"a","prompt":"p","max_tokens":1,"score":{"id":"s","host":"h","path":"/","body":[1"#;
    shape.filling = ",1";
    shape.suffix = "]}}]}";
    play_serve(MANY_DESCRIPTORS, 8, &shape);
}

/// A publication of a version at the operators' interface.
fn publications(end: End) -> Shape {
    let mut shape = completions(2 * MB, Framing::Length, end);
    shape.first_line = "POST /v1/models/policy/versions";
    shape
}

#[test]
fn serve_large_bodies_at_the_operators_listener() {
    let _alone = alone();
    let (mut tested, operators) = serve(SERVE_SETTINGS, SERVE_MEMORY_MB, MANY_DESCRIPTORS);
    tested.play(operators, 150, &publications(End::InBody));
}

#[test]
fn serve_more_heads_at_the_operators_listener_than_descriptors() {
    let _alone = alone();
    let (mut tested, operators) = serve(SERVE_SETTINGS, SERVE_MEMORY_MB, FEW_DESCRIPTORS);
    tested.play(operators, 400, &publications(End::InHead));
}

#[test]
fn serve_answers_one_large_request_in_calm() {
    let _alone = alone();
    let (tested, _) = serve("", 512, MANY_DESCRIPTORS);
    for body_bytes in [3_000_000, 31 * MB] {
        let prompt = "x".repeat(body_bytes - 100);
        let request = completion("large", &prompt);
        let answer = crowd::exchange(tested.ordinary_address, &request).unwrap();
        assert_eq!(answer.status, Some(200), "{body_bytes}: {answer:?}");
    }
    tested.process.assert_memory_within(512);
}

/// Starts a node; returns it with its address for peers.
fn node(descriptors: u64) -> (Tested, SocketAddr) {
    let names = ["log", "machines", "scorer", "weights"];
    let services: Vec<Service> = names.map(|name| Service::start(name, &[])).into();
    let settings = file("crowds-node.toml", NODE_SETTINGS);
    let mut arguments: Vec<String> = ["node", "--config", settings.to_str().unwrap()]
        .map(str::to_owned)
        .into();
    for (name, service) in names.iter().zip(&services) {
        arguments.extend([format!("--{name}-address"), service.address.to_string()]);
    }
    for (option, value) in [
        ("--name", "n"),
        ("--zone", "z"),
        ("--peer-address", "127.0.0.1:0"),
        ("--http-address", "127.0.0.1:0"),
    ] {
        arguments.extend([option.to_owned(), value.to_owned()]);
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let mut process = Measured::start(PROGRAM, &arguments, descriptors);
    let line = wait_for_line(&mut process, "message", "node serves");
    let tested = Tested {
        process,
        memory_mb: NODE_MEMORY_MB,
        descriptors,
        ordinary_address: address(&line, "http_address"),
        ordinary_request: |_| get("/metrics"),
        _services: services,
    };
    tested.ordinary_request();
    (tested, address(&line, "peer_address"))
}

fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").into_bytes()
}

#[test]
fn node_whole_large_bodies_at_once() {
    let _alone = alone();
    let (mut tested, _) = node(MANY_DESCRIPTORS);
    let shape = completions(4 * MB, Framing::Length, End::Nowhere);
    tested.play(tested.ordinary_address, 60, &shape);
}

#[test]
fn node_bodies_with_a_length_that_stop_short_of_their_end() {
    let _alone = alone();
    let (mut tested, _) = node(MANY_DESCRIPTORS);
    let shape = completions(4 * MB, Framing::Length, End::InBody);
    tested.play(tested.ordinary_address, 60, &shape);
}

#[test]
fn node_bodies_in_very_small_chunks_that_stop_short_of_their_end() {
    let _alone = alone();
    let (mut tested, _) = node(MANY_DESCRIPTORS);
    let shape = completions(2 * MB, Framing::Chunks(1), End::InBody);
    tested.play(tested.ordinary_address, 4, &shape);
}

#[test]
fn node_more_heads_that_stop_short_of_their_end_than_descriptors() {
    let _alone = alone();
    let (mut tested, _) = node(FEW_DESCRIPTORS);
    let shape = completions(10, Framing::Length, End::InHead);
    tested.play(tested.ordinary_address, 400, &shape);
}

#[test]
fn node_large_frames_at_the_peers_listener_that_stop_short_of_their_end() {
    let _alone = alone();
    let (mut tested, peers) = node(MANY_DESCRIPTORS);
    tested.play(peers, 30, &frames(8_300_000));
}

#[test]
fn node_more_frames_at_the_peers_listener_than_descriptors() {
    let _alone = alone();
    let (mut tested, peers) = node(FEW_DESCRIPTORS);
    tested.play(peers, 400, &frames(1_000));
}

/// Bytes that a listener for frames takes for one that is a little longer. The first line and what follows it stand in
/// place of a length: the first four bytes announce the frame.
fn frames(bytes: usize) -> Shape {
    let mut shape = completions(bytes, Framing::Length, End::InBody);
    shape.first_line = "\0\u{7f}POST /";
    shape
}

#[test]
fn standin_large_bodies_that_stop_short_of_their_end() {
    let _alone = alone();
    let arguments = ["standin", "log", "--listen", "127.0.0.1:0"];
    let mut process = Measured::start(PROGRAM, &arguments, MANY_DESCRIPTORS);
    let line = wait_for_line(&mut process, "message", "stand-in serves");
    let log = address(&line, "address");
    let mut tested = Tested {
        process,
        memory_mb: STANDIN_MEMORY_MB,
        descriptors: MANY_DESCRIPTORS,
        ordinary_address: log,
        ordinary_request: |_| get("/record"),
        _services: Vec::new(),
    };
    tested.ordinary_request();
    let mut shape = completions(32 * MB, Framing::Length, End::InBody);
    shape.first_line = "POST /v1/append";
    shape.headers = "content-type: application/json\r\n".to_owned();
    tested.play(log, 20, &shape);
}
