//! The interface for operators: what the node believes of pools, routes and engines and how old that is,
//! and their changes.

mod changes;
mod configuration;
mod error;
mod explain;
mod known;
mod manifest;
mod publish;
mod resources;
mod router;
mod versions;

pub(crate) use configuration::Configuration;
pub(crate) use known::KnownDirectory;
pub use manifest::{EngineSpec, EngineState, ServedManifest};
pub use resources::{KnownResource, KnownResources, ResourceKind, WatchAnswer};
pub(crate) use router::{OperatorState, router};
pub(crate) use versions::NamedVersions;
