//! Why a scale run failed.

use havenstage_edge::log_service::LogError;
use havenstage_peer_net::BindError;
use havenstage_standin::StandinError;
use havenstage_types::codec::CodecError;
use havenstage_types::config::ChangeError;
use thiserror::Error;

use super::settings::InvalidScaleSettings;

/// Why a scale run failed.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// A setting is outside its range.
    #[error(transparent)]
    InvalidSettings(#[from] InvalidScaleSettings),
    /// A file or socket failed.
    #[error("input or output: {0}")]
    Io(#[from] std::io::Error),
    /// A file below `/proc` does not read as expected.
    #[error("a file below /proc does not read as expected")]
    UnreadableProcFile,
    /// A node's sockets could not be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// A stand-in of the platform did not start.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// The first configuration could not be written.
    #[error("the first configuration was not written: {0}")]
    Log(#[from] LogError),
    /// A record could not be encoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// A change was not decided.
    #[error("a configuration change failed: {0}")]
    Change(#[from] ChangeError),
    /// A change was decided otherwise than asked.
    #[error("a configuration change was not accepted")]
    ChangeNotAccepted,
    /// A task of the run itself ended early.
    #[error("a task of the run ended early: {0}")]
    Task(#[from] tokio::task::JoinError),
    /// The nodes did not come to agree in time.
    #[error("{agreeing} of {nodes} nodes agreed on the members and the configuration in time")]
    NotConverged {
        /// Nodes that did.
        agreeing: usize,
        /// All nodes.
        nodes: usize,
    },
    /// Too few results for what was to be worked out.
    #[error("no node is left to measure")]
    NoNodes,
}
