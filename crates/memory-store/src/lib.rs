//! In-memory implementation of the traits of [`havenstage_gateway::edge`]: the shared log, the checkpoints and the
//! directories.
//!
//! It serves gateways that run in the same process, and tests. Its log has the properties that the gateway relies on:
//! appends are unconditional and atomic, a repeated append adds its records twice, offsets in a partition increase by
//! one, and records are dropped some time after they were appended. Nothing is kept when the process exits.

mod entry_log;
mod entry_name;
mod partition;
mod records;
mod settings;
mod store;

pub use settings::{InvalidStoreSetting, MemoryStoreSettings};
pub use store::MemoryStore;
