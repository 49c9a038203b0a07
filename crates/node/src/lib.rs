//! The node: every machine of the system runs one. This crate joins the state machines to the
//! traits at the edges; it opens no socket itself, so that the same code runs in the simulator.

pub mod environment;
pub mod node;
pub mod settings;
pub mod spawner;
