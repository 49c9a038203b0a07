//! Measurements of the service: what a node adds to a request, and how many it serves.

pub mod latency;
