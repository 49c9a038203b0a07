//! Settings of a simulated world.

use std::time::Duration;

use havenstage_emulator::EngineSettings;
use havenstage_node::mechanisms::Mechanisms;
use havenstage_node::settings::NodeSettings;

use crate::deployment::{Deployment, DeploymentSettings};

/// Settings of a world.
#[derive(Debug, Clone)]
pub struct WorldSettings {
    /// Zones, distances and pools.
    pub deployment: DeploymentSettings,
    /// Nodes in each zone.
    pub nodes_per_zone: u32,
    /// Behaviour of the nodes.
    pub node: NodeSettings,
    /// Mechanisms of the nodes that work; tests switch one off.
    pub mechanisms: Mechanisms,
    /// Behaviour of all engines. The version they start with and their speed may be overridden
    /// one by one through [`super::engines::SimulatedEngine`].
    pub engine: EngineSettings,
    /// The network.
    pub network: NetworkSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Whether the history keeps the token ids that engines produced, for the strictest check of
    /// resumed work.
    pub record_tokens: bool,
}

/// How the network behaves when nothing is cut.
#[derive(Debug, Clone, PartialEq)]
pub struct NetworkSettings {
    /// One-way latency within a zone.
    pub local_latency: Duration,
    /// Largest addition to any latency, drawn evenly.
    pub jitter: Duration,
    /// Probability that a datagram is lost.
    pub datagram_loss: f64,
    /// Probability that a datagram comes twice.
    pub datagram_duplication: f64,
    /// Time after which a connection attempt that meets silence is given up.
    pub connect_timeout: Duration,
    /// Time after which a request to a platform service or an engine is given up.
    pub request_timeout: Duration,
    /// Time without any output after which an engine's stream is given up.
    pub stream_idle_timeout: Duration,
}

/// How the platform's services behave.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    /// One-way latency to every platform service.
    pub latency: Duration,
    /// Time the log takes for an append.
    pub append_time: Duration,
    /// Time by which the machine list is behind.
    pub machine_list_lag: Duration,
    /// Time the scorer takes for a sample.
    pub score_time: Duration,
    /// Weight fetches that the store starts in a second.
    pub weight_fetches_per_second: u32,
    /// Time one weight fetch takes.
    pub weight_fetch_time: Duration,
    /// Time a crashed engine takes to start again.
    pub engine_restart_time: Duration,
}

impl WorldSettings {
    /// The settings of a deployment, with engines of ordinary speed.
    pub fn new(deployment: Deployment) -> Self {
        Self::with_deployment(deployment.settings())
    }

    /// The same with zones, distances and pools of one's own.
    pub fn with_deployment(deployment: DeploymentSettings) -> Self {
        let mut engine = EngineSettings {
            initial_version: Some(1),
            ..EngineSettings::default()
        };
        engine.swap.external_fetch = true;
        Self {
            deployment,
            nodes_per_zone: 1,
            node: NodeSettings::default(),
            mechanisms: Mechanisms::default(),
            engine,
            network: NetworkSettings::default(),
            platform: PlatformSettings::default(),
            record_tokens: true,
        }
    }
}

impl Default for NetworkSettings {
    fn default() -> Self {
        Self {
            local_latency: Duration::from_micros(100),
            jitter: Duration::from_micros(200),
            datagram_loss: 0.001,
            datagram_duplication: 0.0005,
            connect_timeout: Duration::from_secs(1),
            request_timeout: Duration::from_secs(5),
            stream_idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            latency: Duration::from_millis(1),
            append_time: Duration::from_millis(3),
            machine_list_lag: Duration::from_secs(5),
            score_time: Duration::from_millis(20),
            weight_fetches_per_second: 200,
            weight_fetch_time: Duration::from_millis(800),
            engine_restart_time: Duration::from_secs(2),
        }
    }
}
