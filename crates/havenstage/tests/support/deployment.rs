//! A whole deployment of processes on loopback: stand-ins, one engine and one node.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::support::{Ran, file, havenstage};

/// Far above what any step takes; reached only when something never happens.
const NEVER: Duration = Duration::from_secs(60);

/// A running process of the program; it is killed when dropped.
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

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        let killed = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(killed.expect("kill runs").success());
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

/// Reads on after the receiver has gone, so that the process never waits for its reader.
fn read_log(stderr: impl Read + Send + 'static) -> mpsc::Receiver<Value> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            let parsed = serde_json::from_str(&line).unwrap_or(Value::String(line));
            let _ = sender.send(parsed);
        }
    });
    receiver
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

    /// Gives it a command.
    pub fn misbehave(&self, command: &str) {
        let ran = havenstage(&["standin", "misbehave", &self.address.to_string(), command]);
        assert_eq!(ran.code, Some(0), "{}", ran.stderr);
    }
}

/// Stand-ins, one engine and one node.
pub struct Deployment {
    /// The log.
    pub log: Service,
    /// The engine `e1` of pool `p`.
    pub engine: Service,
    /// Settings of the node.
    pub settings: String,
    /// The node.
    pub node: Process,
    /// The node's HTTP address.
    pub server: SocketAddr,
    _others: [Service; 3],
}

impl Deployment {
    /// Starts everything and waits until the node is ready. Files are told apart by `name`.
    pub fn start(name: &str, engine_settings: &str) -> Self {
        let engine_file = file(&format!("{name}-engine.toml"), engine_settings);
        let engine_file = engine_file.to_str().expect("the path is text").to_owned();
        let log = Service::start("log", &[]);
        let engine = Service::start("engine", &["--config", &engine_file]);
        let others = ["machines", "scorer", "weights"].map(|name| Service::start(name, &[]));
        let settings = settings(log.address, &others);
        let settings = file(&format!("{name}-node.toml"), &settings);
        let settings = settings.to_str().expect("the path is text").to_owned();
        let node = Process::start(&["node", "--config", &settings]);
        let server = node.address("node serves", "http_address");
        let deployment = Self {
            log,
            engine,
            settings,
            node,
            server,
            _others: others,
        };
        deployment.wait_until("it is ready", |status| {
            status["ready"] == json!({"Ok": null})
        });
        deployment
    }

    /// Runs `ctl` against the node.
    pub fn ctl(&self, arguments: &[&str]) -> Ran {
        let server = self.server.to_string();
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

    /// Waits until the node's status is as wanted.
    pub fn wait_until(&self, what: &str, wanted: impl Fn(&Value) -> bool) {
        let mut status = Value::Null;
        for _ in 0..NEVER.as_millis() / 50 {
            status = self.ctl_json(&["status"]);
            if wanted(&status) {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("the node never got there: {what}: {status}");
    }

    /// Creates pool and engine, publishes version 1 and waits until the engine has it.
    pub fn create_pool(&self, name: &str) {
        let manifest = format!(
            "[[resource]]\nkind = \"Pool\"\nname = \"p\"\n[resource.spec]\nmodel = \"m\"\n\
             [[resource]]\nkind = \"Engine\"\nname = \"e1\"\n[resource.spec]\npool = \"p\"\n\
             address = \"{}\"\nzone = \"zone-a\"\nkv_capacity_tokens = 100000\n",
            self.engine.address
        );
        let manifest = file(&format!("{name}-pool.toml"), &manifest);
        let manifest = manifest.to_str().expect("the path is text");
        let applied = self.ctl(&["apply", "-f", manifest, "--wait"]);
        assert_eq!(applied.code, Some(0), "{}", applied.stderr);
        let published = self.ctl(&["versions", "publish", "m", "1", "--location", "m/1"]);
        assert_eq!(published.code, Some(0), "{}", published.stderr);
        self.wait_until("the engine has version 1", |status| {
            status["engines"][0]["version"] == 1
        });
    }
}

fn settings(log: SocketAddr, others: &[Service; 3]) -> String {
    let [machines, scorer, weights] = others.each_ref().map(|service| service.address);
    format!(
        "[node]\nname = \"node-1\"\nzone = \"zone-a\"\n\
         peer_address = \"127.0.0.1:0\"\nhttp_address = \"127.0.0.1:0\"\n\
         [platform]\nlog = \"{log}\"\nmachines = \"{machines}\"\n\
         scorer = \"{scorer}\"\nweights = \"{weights}\"\n"
    )
}
