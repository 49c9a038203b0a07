//! Processes of the program, and `ctl` against a node.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use serde_json::Value;

use crate::support::{Ran, havenstage, read_log};

/// Far above what any step takes; reached only when something never happens.
pub const NEVER: Duration = Duration::from_secs(60);

/// A running process of the program; it is killed when dropped, also while it is stopped by a signal.
pub struct Process {
    child: Child,
    log: mpsc::Receiver<Value>,
}

impl Process {
    /// Starts the program; every line it logs can be waited for.
    pub fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_havenstage"))
            .args(arguments)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = read_log(child.stderr.take().expect("standard error is piped"));
        Self { child, log }
    }

    /// Waits for a log line with this message.
    pub fn logged(&self, message: &str) -> Value {
        loop {
            let line = self.log.recv_timeout(NEVER).expect("the line is logged");
            if line["message"] == message {
                return line;
            }
        }
    }

    /// The address in a log line.
    pub fn address(&self, message: &str, field: &str) -> SocketAddr {
        let line = self.logged(message);
        let text = line[field].as_str().expect("the field is text");
        text.parse().expect("the field is an address")
    }

    /// Sends a signal, named without `SIG`.
    pub fn signal(&self, name: &str) {
        let (signal, pid) = (format!("-{name}"), self.child.id().to_string());
        let sent = Command::new("kill").args([&signal, &pid]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits for the end, and answers the exit code.
    pub fn exit_code(mut self) -> Option<i32> {
        self.child.wait().expect("the process ends").code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only for a process that has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A stand-in with its address.
pub struct Service {
    /// Where it serves.
    pub address: SocketAddr,
    _process: Process,
}

impl Service {
    /// Starts a stand-in on a free port.
    pub fn start(service: &str, more: &[&str]) -> Self {
        let mut arguments = vec!["standin", service, "--listen", "127.0.0.1:0"];
        arguments.extend(more);
        let process = Process::start(&arguments);
        Self {
            address: process.address("stand-in serves", "address"),
            _process: process,
        }
    }
}

/// Runs `ctl` against the node that serves at this address.
pub fn ctl(server: SocketAddr, arguments: &[&str]) -> Ran {
    let server = server.to_string();
    let mut all = vec!["ctl", "--server", &server];
    all.extend(arguments);
    havenstage(&all)
}

/// Runs `ctl`, which must succeed, and reads its JSON.
pub fn ctl_json(server: SocketAddr, arguments: &[&str]) -> Value {
    let mut all = vec!["-o", "json"];
    all.extend(arguments);
    let ran = ctl(server, &all);
    assert_eq!(ran.code, Some(0), "{arguments:?}: {}", ran.stderr);
    serde_json::from_str(&ran.stdout).expect("the output is JSON")
}

/// Waits until the status of a node is as wanted.
pub fn wait_for_status(server: SocketAddr, what: &str, wanted: impl Fn(&Value) -> bool) {
    let mut status = Value::Null;
    for _ in 0..NEVER.as_millis() / 50 {
        status = ctl_json(server, &["status"]);
        if wanted(&status) {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("the node never got there: {what}: {status}");
}
