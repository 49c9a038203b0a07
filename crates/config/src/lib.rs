//! The configuration of the deployment, as a fold over the configuration stream: a state machine
//! that applies the records of the stream in offset order.
//!
//! Every node applies the same records to a [`ConfigState`]. The checks of a change (whether its
//! precondition holds, whether its id is a repeat, whether it is consistent with the other
//! resources) run at its offset and depend only on the records before it, so all nodes reach the
//! same decision. This crate does no I/O and reads no clock.

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
