//! Deterministic simulation of whole deployments: the real node code of many nodes in one process,
//! on tokio's paused clock, with everything outside the nodes modelled in memory.
//!
//! A run follows from its seed alone. [`world`] holds the model of the outside (network, log
//! service, engines, machine list, scorer, weight store) and the processes of the nodes; it can be
//! used on its own, for instance by benchmarks. [`clients`] use the system and record what they
//! see, [`faults`] are drawn from the seed, [`search`] runs many seeds and judges their histories.

pub mod clients;
pub mod deployment;
pub mod faults;
pub mod random;
pub mod recorder;
pub mod runtime;
pub mod scenario;
pub mod search;
pub mod world;
