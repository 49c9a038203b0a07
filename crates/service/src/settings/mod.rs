//! Settings of `serve`: a TOML file whose every key has a default, read with errors that name file,
//! key, value and what is allowed.

mod check;
mod deployment;
mod file;
mod gateway;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use havenstage_emulator::EngineSettings;
use serde::Deserialize;

pub use check::InvalidServeSetting;
pub use file::{ServeSettingsError, SettingsFileError, read, read_file};

/// All settings.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServeSettings {
    /// Name of the node.
    pub node: String,
    /// Zone it stands in.
    pub zone: String,
    /// Hosts that callers name.
    pub hosts: Vec<String>,
    /// Seconds from the signal to stop until the process ends.
    pub stop_grace_s: f64,
    /// Lines of the log a second, warnings apart.
    pub log_lines_per_s: u32,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// What the store in memory keeps.
    pub store: StoreSettings,
    /// Pools of engines.
    pub pools: Vec<PoolSettings>,
    /// Routes of callers and trainers.
    pub routes: Vec<RouteSettings>,
}

/// Addresses to listen on.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers and trainers.
    pub callers: SocketAddr,
    /// Operators.
    pub operators: SocketAddr,
    /// Whoever asks whether the node takes requests.
    pub ready: SocketAddr,
    /// Metrics; none are served without it.
    pub metrics: Option<SocketAddr>,
}

/// What the store in memory keeps.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Seconds for which a batch can be read after it was handed in.
    pub retention_s: f64,
    /// Most megabytes that records of batches may take.
    pub most_mb: u32,
}

/// A pool of engines.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// Its name.
    pub name: String,
    /// The model that its engines serve.
    pub model: String,
    /// Most connections that one engine accepts from all callers.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Emulated engines that are started for it in this process.
    #[serde(default)]
    pub emulated_engines: u32,
    /// How they behave.
    #[serde(default = "default_engine")]
    pub engine: EngineSettings,
}

/// What a route is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Calls that may run more than once.
    Call,
    /// Calls that run at most once for each attempt of a caller.
    CallOnce,
    /// Streams that may go on at another engine.
    Stream,
    /// Batches of samples.
    Batch,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSettings {
    /// Its name.
    pub name: String,
    /// Beginning of the path; starts and ends with a slash.
    pub path_prefix: String,
    /// What it is for.
    pub kind: RouteKind,
    /// Pools that serve it.
    pub pools: Vec<RoutePoolSettings>,
    /// Longest time a request is held, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Time within which an answer is on time, in milliseconds.
    #[serde(default = "default_objective_ms")]
    pub objective_ms: u64,
    /// Most engines that one request may run on.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// 0 is the most urgent.
    #[serde(default)]
    pub priority: u32,
}

/// A pool's share of a route.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePoolSettings {
    /// The pool.
    pub pool: String,
    /// Its share, relative to the other weights.
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

/// An engine that holds the first version, and tells each token by itself, so that a run is resumed
/// behind any of them.
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

/// One pool of two emulated engines, a route for batches and one for completions.
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
