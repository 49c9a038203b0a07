//! Pure folds of the log streams that decide what counts: claim streams (a not-repeatable request
//! runs at most once) and job streams (every sample reaches the trainer exactly once).
//!
//! A fold does no I/O and knows no time. Its state depends only on the records applied, so every
//! reader that has applied the same prefix of a stream answers alike.

pub mod claims;
pub mod error;
pub mod jobs;
mod position;
pub mod staleness;

pub use error::FoldError;
