//! Measurements of the whole system.

pub mod latency;
