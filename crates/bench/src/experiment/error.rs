//! Why an experiment could not be read, run or shown.

use std::io;
use std::path::PathBuf;

use havenstage_simulator::runtime::RuntimeError;
use havenstage_simulator::world::WorldError;
use thiserror::Error;

/// What went wrong with an experiment.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file is not an experiment.
    #[error("{path}: {source}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// What the parser said.
        source: Box<toml::de::Error>,
    },
    /// A setting is outside its allowed range.
    #[error("{setting} is {value}, allowed: {allowed}")]
    OutOfRange {
        /// Name of the setting.
        setting: &'static str,
        /// Value given.
        value: String,
        /// Allowed range.
        allowed: &'static str,
    },
    /// The world refuses the settings.
    #[error(transparent)]
    World(#[from] WorldError),
    /// The nodes did not become ready.
    #[error("the nodes were not ready after {seconds} virtual seconds")]
    NotReady {
        /// Time waited.
        seconds: u64,
    },
    /// The job did not end.
    #[error("the job did not end within {seconds} virtual seconds; {steps} steps were complete")]
    Unfinished {
        /// Time allowed.
        seconds: f64,
        /// Steps that were complete.
        steps: usize,
    },
    /// The virtual clock stopped, or there is no runtime.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
    /// A thread cannot be had.
    #[error("thread: {0}")]
    Thread(io::Error),
    /// A run panicked.
    #[error("a run panicked")]
    Panicked,
    /// The report cannot be drawn.
    #[error("drawing: {reason}")]
    Drawing {
        /// What the plotting library said.
        reason: String,
    },
}
