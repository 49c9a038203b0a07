//! The interface for operators: what the node believes of pools, routes and engines and how old that is,
//! and versions to be published.

mod error;
mod known;
mod publish;
mod resources;
mod router;
mod versions;

pub(crate) use known::KnownDirectory;
pub use resources::{KnownResource, KnownResources, ResourceKind};
pub(crate) use router::{OperatorState, router};
pub(crate) use versions::NamedVersions;
