//! Settings of `serve`. They are read from a TOML file in which each top-level key has a default. Errors
//! name the file, the key, the value and what is allowed.

mod check;
mod deployment;
mod file;
mod gateway;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use havenstage_emulator::EngineSettings;
use serde::Deserialize;

pub use check::InvalidServeSetting;
pub use file::{ServeSettingsError, SettingsFileError, read, read_file};

/// All settings of `serve`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServeSettings {
    /// Name of the node.
    pub node: String,
    /// Zone in which the node and its emulated engines run.
    pub zone: String,
    /// Host names in requests of callers and trainers; each route is served at each of them.
    pub hosts: Vec<String>,
    /// Seconds from the stop signal until the process ends.
    pub stop_grace_s: f64,
    /// Maximum number of log lines per second; warnings are not limited.
    pub log_lines_per_s: u32,
    /// Memory that the process may use in addition to the store, in megabytes.
    pub memory_mb: u32,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Bounds of the store in memory.
    pub store: StoreSettings,
    /// Pools of engines.
    pub pools: Vec<PoolSettings>,
    /// Routes for the requests of callers and trainers.
    pub routes: Vec<RouteSettings>,
}

/// Addresses to listen on.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers and trainers.
    pub callers: SocketAddr,
    /// Address of the operators' interface.
    pub operators: SocketAddr,
    /// Address for readiness checks, which ask whether the node can accept requests.
    pub ready: SocketAddr,
    /// Address for metrics; `None` serves no metrics.
    pub metrics: Option<SocketAddr>,
}

/// Bounds of the store in memory.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Seconds for which a batch can be read after it was submitted.
    pub retention_s: f64,
    /// Maximum size of the batches' records, in megabytes.
    pub most_mb: u32,
}

/// A pool of engines.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// Name of the pool, unique among pools.
    pub name: String,
    /// Model that the pool's engines serve.
    pub model: String,
    /// Maximum number of connections that one engine accepts from all callers.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Number of emulated engines that are started for the pool in this process.
    #[serde(default)]
    pub emulated_engines: u32,
    /// Settings of the pool's emulated engines.
    #[serde(default = "default_engine")]
    pub engine: EngineSettings,
}

/// Kind of the requests that a route serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Calls that may run more than once.
    Call,
    /// Calls that run at most once for each attempt of a caller: they are not retried once they may have run.
    CallOnce,
    /// Streams that may be resumed on another engine.
    Stream,
    /// Batches of samples.
    Batch,
}

/// A route from a path prefix to pools.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSettings {
    /// Name of the route, unique among routes.
    pub name: String,
    /// Prefix of the paths that the route serves, unique among routes; starts and ends with a slash.
    pub path_prefix: String,
    /// Kind of the requests that the route serves.
    pub kind: RouteKind,
    /// Pools that serve the route, with their weights.
    pub pools: Vec<RoutePoolSettings>,
    /// Maximum time that the gateway holds a request before it answers, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Latency objective: time within which an answer counts as on time, in milliseconds.
    #[serde(default = "default_objective_ms")]
    pub objective_ms: u64,
    /// Maximum number of engines that one request may run on.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Rank of the requests, where 0 is the most urgent.
    #[serde(default)]
    pub priority: u32,
}

/// Share of a route's requests that a pool serves.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePoolSettings {
    /// Name of the pool.
    pub pool: String,
    /// Weight of the pool relative to the other pools of the route.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_timeout_ms() -> u64 {
    60_000
}

fn default_objective_ms() -> u64 {
    10_000
}

fn default_attempts() -> u32 {
    3
}

fn default_connections() -> u32 {
    256
}

fn default_weight() -> u32 {
    1
}

/// An engine that starts with version 1 and sends each token in its own event, so that a run can be resumed
/// after any token.
fn default_engine() -> EngineSettings {
    EngineSettings {
        initial_version: Some(1),
        tokens_per_chunk: 1,
        ..EngineSettings::default()
    }
}

const fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

impl Default for ListenSettings {
    fn default() -> Self {
        Self {
            callers: loopback(7_800),
            operators: loopback(7_801),
            ready: loopback(7_802),
            metrics: None,
        }
    }
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            retention_s: 600.0,
            most_mb: 256,
        }
    }
}

/// One pool of two emulated engines, one route for batches and one for completions.
impl Default for ServeSettings {
    fn default() -> Self {
        let pool = PoolSettings {
            name: "policy".to_owned(),
            model: "policy".to_owned(),
            connections: default_connections(),
            emulated_engines: 2,
            engine: default_engine(),
        };
        let route = |name: &str, path_prefix: &str, kind| RouteSettings {
            name: name.to_owned(),
            path_prefix: path_prefix.to_owned(),
            kind,
            pools: vec![RoutePoolSettings {
                pool: "policy".to_owned(),
                weight: default_weight(),
            }],
            timeout_ms: default_timeout_ms(),
            objective_ms: default_objective_ms(),
            attempts: default_attempts(),
            priority: 0,
        };
        Self {
            node: "node-1".to_owned(),
            zone: "zone-1".to_owned(),
            hosts: vec!["localhost".to_owned(), "127.0.0.1".to_owned()],
            stop_grace_s: 10.0,
            log_lines_per_s: 200,
            memory_mb: 256,
            listen: ListenSettings::default(),
            store: StoreSettings::default(),
            pools: vec![pool],
            routes: vec![
                route("batches", "/v1/batches/", RouteKind::Batch),
                route("completions", "/v1/", RouteKind::Stream),
            ],
        }
    }
}
