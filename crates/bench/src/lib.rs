//! Measurements of the service: what a node adds to a request, how many it serves, and what a
//! large number of nodes costs.

pub mod experiment;
pub mod latency;
pub mod scale;
