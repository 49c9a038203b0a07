//! The configuration of the deployment, as a fold over the configuration stream.
//!
//! Every node reads the same records in offset order and applies them to a [`ConfigState`]. All
//! decisions about a change (does its precondition hold, is its id a repeat, does it fit the other
//! resources) are made at its offset and from the records before it alone, so all nodes decide
//! alike. This crate does no I/O and keeps no time.

pub mod manifest;

mod error;
mod lookup;
mod recent;
mod resources;
mod state;
mod validate;
mod versions;

pub use error::FoldError;
pub use recent::RECENT_CHANGE_LIMIT;
pub use state::{ConfigEvent, ConfigState};
pub use validate::limits;
pub use versions::PublishedVersion;
