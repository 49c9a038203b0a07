//! The routes, one module for each kind of client.

pub mod callers;
pub mod operators;
pub mod probes;
pub mod trainers;
pub mod watch;
