//! A whole deployment of processes on loopback: stand-ins, one engine and one node.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::process::{Process, Service, ctl, ctl_json, wait_for_status};
use crate::support::{Ran, file, havenstage};

impl Process {
    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal("TERM");
    }
}

impl Service {
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
        ctl(self.server, arguments)
    }

    /// Runs `ctl`, which must succeed, and reads its JSON.
    pub fn ctl_json(&self, arguments: &[&str]) -> Value {
        ctl_json(self.server, arguments)
    }

    /// Waits until the node's status is as wanted.
    pub fn wait_until(&self, what: &str, wanted: impl Fn(&Value) -> bool) {
        wait_for_status(self.server, what, wanted);
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
