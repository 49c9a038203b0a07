//! The two deployments at the sizes they have today.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use havenstage_types::ids::{ModelName, PoolName, Zone};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A deployment known by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// The utilities in northern Spain.
    Cobrasur,
    /// The delivery network in the Po valley.
    PoValley,
}

/// A name that is no deployment's.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("no deployment is called {name}; known: cobrasur, po-valley")]
pub struct UnknownDeployment {
    /// Name given.
    pub name: String,
}

impl fmt::Display for Deployment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Cobrasur => "cobrasur",
            Self::PoValley => "po-valley",
        })
    }
}

impl FromStr for Deployment {
    type Err = UnknownDeployment;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "cobrasur" => Ok(Self::Cobrasur),
            "po-valley" => Ok(Self::PoValley),
            _ => Err(UnknownDeployment {
                name: name.to_owned(),
            }),
        }
    }
}

/// Zones, distances and pools of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct DeploymentSettings {
    /// Zones, each with nodes of its own.
    pub zones: Vec<Zone>,
    /// One-way latency between two zones.
    pub zone_latency: Duration,
    /// One-way latency to callers, trainers and operators.
    pub client_latency: Duration,
    /// Pools; the first one is trained, the others serve live calls only.
    pub pools: Vec<PoolSettings>,
}

/// One pool of engines, spread over the zones in turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSettings {
    /// Name of the pool.
    pub name: PoolName,
    /// Model that its engines serve.
    pub model: ModelName,
    /// Number of engines.
    pub engines: u32,
}

impl Deployment {
    /// Both deployments.
    pub const ALL: [Deployment; 2] = [Deployment::Cobrasur, Deployment::PoValley];

    /// Its zones, distances and pools.
    pub fn settings(self) -> DeploymentSettings {
        match self {
            Self::Cobrasur => DeploymentSettings {
                zones: zones(["bilbao-a", "bilbao-b", "oviedo-c"]),
                zone_latency: Duration::from_micros(500),
                client_latency: Duration::from_millis(1),
                pools: vec![pool("tono-llm", "tono", 8), pool("aviso-app", "aviso", 3)],
            },
            Self::PoValley => DeploymentSettings {
                zones: zones(["sala-lodi", "sala-cremona", "sala-piacenza"]),
                zone_latency: Duration::from_micros(1_500),
                client_latency: Duration::from_millis(3),
                pools: vec![
                    pool("modelli-rotta", "rotta", 9),
                    pool("dispaccio", "dispaccio", 4),
                ],
            },
        }
    }
}

fn zones(names: [&str; 3]) -> Vec<Zone> {
    names.into_iter().map(Zone::new).collect()
}

fn pool(name: &str, model: &str, engines: u32) -> PoolSettings {
    PoolSettings {
        name: PoolName::new(name),
        model: ModelName::new(model),
        engines,
    }
}
