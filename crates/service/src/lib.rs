//! `havenstage serve`: the gateway in one process, with a store in memory, an HTTP protocol for callers,
//! trainers and engines, an HTTP interface for operators and, if configured, emulated engines.
//!
//! The gateway makes all decisions about requests. This crate translates settings, calls and resources,
//! and shows operators what the gateway's node has read from its directories.

pub mod dialect;
mod engines;
pub mod explain;
pub mod operators;
mod serve;
pub mod settings;

pub use serve::{RunningService, ServeError, run, start};
