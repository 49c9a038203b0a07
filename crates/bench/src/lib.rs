//! Measurements of the whole system.

pub mod experiment;
pub mod latency;
