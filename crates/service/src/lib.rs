//! `havenstage serve`: the gateway in one process with a store in memory, behind havenstage's own
//! dialect, with resources for operators and, where asked for, emulated engines.
//!
//! It decides nothing about requests: the gateway does. This crate translates settings, calls and
//! resources, and tells what the gateway's node was told by its directories.

pub mod dialect;
mod engines;
pub mod explain;
pub mod operators;
mod serve;
pub mod settings;

pub use serve::{RunningService, ServeError, run, start};
