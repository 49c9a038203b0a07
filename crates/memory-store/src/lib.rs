//! The traits of [`havenstage_gateway::edge`] in the memory of one process: the shared log, the
//! checkpoints and the directories.
//!
//! It serves gateways that run in the same process, and tests. Its log keeps what the gateway relies on:
//! appends are conditional on nothing and taken whole or not at all, a repeated append stands there
//! twice, offsets of a partition rise by one, and records are dropped some time after they were
//! appended. Nothing outlives the process.

mod entry_log;
mod entry_name;
mod partition;
mod records;
mod settings;
mod store;

pub use settings::{InvalidStoreSetting, MemoryStoreSettings};
pub use store::MemoryStore;
