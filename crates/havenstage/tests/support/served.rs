//! A running `havenstage serve`, and calls to it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use serde_json::Value;

use crate::support::{Ran, havenstage, read_log};

/// Far above what any step takes; reached only when something never happens.
const NEVER: Duration = Duration::from_secs(60);

/// A running service; it is killed when dropped.
pub struct Served {
    child: Child,
    /// Where callers and trainers are served.
    pub callers: SocketAddr,
    /// Where operators are served.
    pub operators: SocketAddr,
}

/// An answer of the service.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its head.
    pub head: String,
    /// Its body, without the framing in chunks.
    pub body: String,
}

impl Answer {
    /// The body as JSON.
    pub fn json(&self) -> Value {
        let parsed = serde_json::from_str(&self.body);
        parsed.unwrap_or_else(|error| panic!("not JSON: {error}: {self:?}"))
    }
}

impl Served {
    /// Starts the program on free ports and waits until it serves.
    pub fn start(arguments: &[&str]) -> Self {
        let mut all = vec!["serve", "--callers", "127.0.0.1:0"];
        all.extend(["--operators", "127.0.0.1:0", "--ready", "127.0.0.1:0"]);
        all.extend(arguments);
        let mut child = Command::new(env!("CARGO_BIN_EXE_havenstage"))
            .args(all)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = read_log(child.stdout.take().expect("standard output is piped"));
        let serving = loop {
            let line = log.recv_timeout(NEVER).expect("the program serves");
            if line["event"] == "serving" {
                break line;
            }
        };
        let address = |field: &str| {
            let text = serving[field].as_str().expect("the field is text");
            text.parse().expect("the field is an address")
        };
        Self {
            child,
            callers: address("callers"),
            operators: address("operators"),
        }
    }

    /// Makes a call and reads the answer to its end.
    pub fn call(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
        call(self.callers, method, path, headers, body)
    }

    /// Runs `ctl`.
    pub fn ctl(&self, arguments: &[&str]) -> Ran {
        let server = self.operators.to_string();
        let mut all = vec!["ctl", "--server", &server];
        all.extend(arguments);
        havenstage(&all)
    }

    /// Runs `ctl`, which must succeed, and reads its JSON.
    pub fn ctl_json(&self, arguments: &[&str]) -> Value {
        let mut all = vec!["-o", "json"];
        all.extend(arguments);
        let ran = self.ctl(&all);
        assert_eq!(ran.code, Some(0), "{arguments:?}: {}", ran.stderr);
        serde_json::from_str(&ran.stdout).expect("the output is JSON")
    }

    /// Starts `ctl watch` of a kind.
    pub fn watch(&self, kind: &str) -> Watch {
        let server = self.operators.to_string();
        let mut child = Command::new(env!("CARGO_BIN_EXE_havenstage"))
            .args(["ctl", "--server", &server, "-o", "json", "watch", kind])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = read_log(child.stdout.take().expect("standard output is piped"));
        Watch { child, lines }
    }

    /// Waits until so many engines are known.
    pub fn wait_for_engines(&self, count: usize) {
        for _ in 0..NEVER.as_millis() / 50 {
            let ran = self.ctl(&["-o", "json", "get", "engines"]);
            let known: Value = serde_json::from_str(&ran.stdout).unwrap_or_default();
            if known["items"].as_array().map(Vec::len) == Some(count) {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("{count} engines are never known");
    }

    /// Sends SIGTERM and waits for the end; answers the exit code.
    pub fn stop(mut self) -> Option<i32> {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.expect("kill runs").success());
        self.child.wait().expect("the process ends").code()
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        // Fails only for a process that has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Makes a call to an address and reads the answer to its end.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let mut stream = TcpStream::connect(address).expect("connections are taken");
    stream
        .set_read_timeout(Some(NEVER))
        .expect("a time-out can be set");
    let length = body.len();
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {length}\r\n"
    );
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str("\r\n");
    request.push_str(body);
    stream
        .write_all(request.as_bytes())
        .expect("the request is taken");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("the answer ends");
    read_answer(&text)
}

/// A running `ctl watch`; it is killed when dropped.
pub struct Watch {
    child: Child,
    lines: mpsc::Receiver<Value>,
}

impl Watch {
    /// The next line.
    pub fn next(&self) -> Value {
        self.lines
            .recv_timeout(NEVER)
            .expect("there is a next line")
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        // Fails only for a process that has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_answer(text: &str) -> Answer {
    let (head, body) = text.split_once("\r\n\r\n").expect("the head ends");
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
    let is_chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    Answer {
        status: status.expect("a status"),
        head: head.to_owned(),
        body: match is_chunked {
            true => without_chunks(body),
            false => body.to_owned(),
        },
    }
}

/// The body of chunks; one without its last chunk is not whole.
fn without_chunks(mut rest: &str) -> String {
    let mut body = String::new();
    loop {
        let (length, after) = rest.split_once("\r\n").expect("a chunk's length");
        let length = usize::from_str_radix(length, 16).expect("a number");
        if length == 0 {
            return body;
        }
        body.push_str(&after[..length]);
        rest = &after[length + 2..];
    }
}
