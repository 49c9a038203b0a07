//! Deterministic state machines over two kinds of log stream. A claim stream makes a request that
//! is not repeatable run at most once. A job stream makes every sample reach the trainer exactly
//! once.
//!
//! Such a state machine is called a fold: it applies the records of one stream in offset order. A
//! fold does no I/O and reads no clock. Its state depends only on the records applied, so all
//! readers that have applied the same prefix of a stream give the same results.

pub mod claims;
pub mod error;
pub mod jobs;
mod position;
pub mod staleness;

pub use error::FoldError;
