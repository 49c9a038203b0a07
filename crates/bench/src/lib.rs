//! Measurements of the whole system.

pub mod scale;
