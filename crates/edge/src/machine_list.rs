//! The platform's list of machines. It lags behind the truth.

use std::net::SocketAddr;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Reads the machine list.
#[async_trait]
pub trait MachineList: Send + Sync {
    /// All machines listed now.
    async fn machines(&self) -> Result<Vec<Machine>, MachineListError>;
}

/// A listed machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// What runs on it.
    pub role: MachineRole,
    /// A node's peer address, or an engine's HTTP address.
    pub address: SocketAddr,
    /// Whether the platform is about to take it away.
    pub state: MachineState,
}

/// What runs on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineRole {
    /// A node of this system.
    Node,
    /// An engine.
    Engine,
}

/// State of a machine according to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In service.
    Live,
    /// About to be taken away.
    Leaving,
}

/// Why the list could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MachineListError {
    /// No answer.
    #[error("the machine list does not answer")]
    Unavailable,
    /// The answer could not be understood.
    #[error("the machine list's answer is malformed")]
    Malformed,
}
