//! The HTTP interface for operators: reads what the node knows about pools, routes and engines, with the
//! age of that knowledge, and changes them.

mod changes;
mod configuration;
mod error;
mod explain;
mod manifest;
mod publish;
mod recording_directory;
mod resources;
mod router;
mod versions;

pub(crate) use configuration::Configuration;
pub use manifest::{EngineSpec, EngineState, ServedManifest};
pub(crate) use recording_directory::RecordingDirectory;
pub use resources::{KnownResource, KnownResources, ResourceKind, WatchAnswer};
pub(crate) use router::{OperatorState, router};
pub(crate) use versions::NamedVersions;
