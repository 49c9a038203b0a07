//! What happened in a run, told from the outside, and a checker that judges it.
//!
//! Callers, engines, trainers, operators and the platform each record what they saw as
//! [`event::HistoryEvent`]s. [`checker::check`] reads the whole history and decides for each of
//! the nine [`checker::Promise`]s whether it was kept, broken or not exercised. The checker knows
//! nothing of how the nodes work, so a fault in their logic cannot hide itself here.

pub mod checker;
pub mod event;
pub mod file;
pub mod fingerprint;
mod report;
