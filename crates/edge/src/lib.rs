//! Traits at the edge of the system: one for each outside service and one for the network between
//! nodes. Wire formats live in other crates; the simulator has implementations of its own.

pub mod engine;
pub mod log_service;
pub mod machine_list;
pub mod peer;
pub mod scorer;
pub mod weight_store;
