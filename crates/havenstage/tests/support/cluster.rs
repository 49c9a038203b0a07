//! Three nodes, one a zone, with three engines and the stand-ins, each a process on loopback.

use std::net::SocketAddr;
use std::time::Duration;

use havenstage_types::ids::{EngineName, NodeId};
use serde_json::{Value, json};

use crate::history::Recorder;
use crate::process::{NEVER, Process, Service, ctl, ctl_json, wait_for_status};
use crate::support::file;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Engines that give a token every 20 milliseconds, so that faults find work in flight.
const ENGINE: &str = "[engine]\ntokens_per_chunk = 1\n\
    output_length = { fixed = { tokens = 1000 } }\n[engine.compute]\niteration_us = 20000.0\n";

const JOB: &str = "kind = \"Job\"\nname = \"j\"\n[spec]\npool = \"p\"\n\
    prompts = [\"a\", \"b\", \"c\", \"d\"]\ngroup_size = 2\nsamples_per_step = 8\n\
    staleness_bound = 1\nmax_tokens = 40\nsteps = 4\n";

/// A node's process.
pub struct NodeProcess {
    /// Identity of the process.
    pub id: NodeId,
    /// Where it serves callers, trainers and operators.
    pub http_address: SocketAddr,
    /// The process.
    pub process: Process,
    peer_address: SocketAddr,
}

/// An engine's process.
pub struct EngineProcess {
    /// Its name.
    pub name: EngineName,
    /// The stand-in.
    pub service: Service,
    /// When it began to serve, and its own clock with it, on the history's clock.
    pub started_ms: u64,
}

/// Everything but the trainer.
pub struct Cluster {
    /// Nodes, in the order of their zones.
    pub nodes: Vec<NodeProcess>,
    /// Engines `e1`, `e2` and `e3` of pool `p`.
    pub engines: Vec<EngineProcess>,
    _platform: [Service; 4],
}

impl Cluster {
    /// Starts everything, creates the pool and waits until all engines have version 1.
    pub fn start(recorder: &Recorder) -> Self {
        let platform =
            ["log", "machines", "scorer", "weights"].map(|name| Service::start(name, &[]));
        let engine_settings = text_file("faults-engine.toml", ENGINE);
        let engine = |number: usize| EngineProcess {
            name: EngineName(format!("e{number}")),
            service: Service::start("engine", &["--config", &engine_settings]),
            started_ms: recorder.now_ms(),
        };
        let engines = (1..=ZONES.len()).map(engine).collect();
        let mut nodes: Vec<NodeProcess> = Vec::new();
        for zone in ZONES {
            nodes.push(start_node(zone, &nodes, &platform));
        }
        let cluster = Self {
            nodes,
            engines,
            _platform: platform,
        };
        cluster.create_pool();
        cluster
    }

    /// Creates the job and starts its trainer.
    pub fn start_job(&self) -> Service {
        let job = text_file("faults-job.toml", JOB);
        self.operate(&["apply", "-f", &job]);
        let nodes: Vec<SocketAddr> = self.nodes.iter().map(|node| node.http_address).collect();
        let settings = format!(
            "name = \"trainer\"\njob = \"j\"\nmodel = \"m\"\nsteps = 4\ntraining_ms = 2000\n\
             nodes = {}\n",
            json!(nodes)
        );
        let settings = text_file("faults-trainer.toml", &settings);
        Service::start("trainer", &["--config", &settings])
    }

    /// Runs `ctl` against the first node; it must succeed.
    pub fn operate(&self, arguments: &[&str]) {
        let ran = ctl(self.nodes[0].http_address, arguments);
        assert_eq!(ran.code, Some(0), "{arguments:?}: {}", ran.stderr);
    }

    fn create_pool(&self) {
        for node in &self.nodes {
            wait_for_status(node.http_address, "it is ready", |status| {
                status["ready"] == json!({"Ok": null})
            });
        }
        let mut manifest =
            "[[resource]]\nkind = \"Pool\"\nname = \"p\"\n[resource.spec]\nmodel = \"m\"\n"
                .to_owned();
        for (engine, zone) in self.engines.iter().zip(ZONES) {
            manifest += &format!(
                "[[resource]]\nkind = \"Engine\"\nname = \"{}\"\n[resource.spec]\npool = \"p\"\n\
                 address = \"{}\"\nzone = \"{zone}\"\nkv_capacity_tokens = 100000\n",
                engine.name, engine.service.address
            );
        }
        self.operate(&[
            "apply",
            "-f",
            &text_file("faults-pool.toml", &manifest),
            "--wait",
        ]);
        self.operate(&["versions", "publish", "m", "1", "--location", "m/1"]);
        self.wait_for_version();
    }

    /// Each node tells of the engines whose home it is.
    fn wait_for_version(&self) {
        let has_version = |engine: &&Value| engine["version"] == 1;
        let ready_engines = |node: &NodeProcess| {
            let status = ctl_json(node.http_address, &["status"]);
            let engines = status["engines"].as_array().expect("a list of engines");
            engines.iter().filter(has_version).count()
        };
        for _ in 0..NEVER.as_millis() / 50 {
            if self.nodes.iter().map(ready_engines).sum::<usize>() == ZONES.len() {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("the engines never had version 1");
    }
}

fn start_node(zone: &str, others: &[NodeProcess], platform: &[Service; 4]) -> NodeProcess {
    let [log, machines, scorer, weights] = platform.each_ref().map(|service| service.address);
    let seeds: Vec<SocketAddr> = others.iter().map(|node| node.peer_address).collect();
    let settings = format!(
        "[node]\nname = \"node-{zone}\"\nzone = \"{zone}\"\nseeds = {}\n\
         peer_address = \"127.0.0.1:0\"\nhttp_address = \"127.0.0.1:0\"\n\
         [platform]\nlog = \"{log}\"\nmachines = \"{machines}\"\n\
         scorer = \"{scorer}\"\nweights = \"{weights}\"\n",
        json!(seeds)
    );
    let settings = text_file(&format!("faults-{zone}.toml"), &settings);
    let process = Process::start(&["node", "--config", &settings]);
    let line = process.logged("node serves");
    let field = |name: &str| line[name].as_str().expect("the field is text");
    let id = u64::from_str_radix(field("node"), 16).expect("the identity is a hexadecimal number");
    let address = |name: &str| field(name).parse().expect("the field is an address");
    NodeProcess {
        id: NodeId(id),
        http_address: address("http_address"),
        peer_address: address("peer_address"),
        process,
    }
}

fn text_file(name: &str, content: &str) -> String {
    let path = file(name, content);
    path.to_str().expect("the path is text").to_owned()
}
