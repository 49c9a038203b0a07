//! Faults: what can be done to a world, when it is done in a run, and how it is carried out.

pub mod generator;
pub mod injector;
pub mod schedule;
