//! Small HTTP servers that take the platform's place in tests and demonstrations, and a trainer
//! that pulls from nodes as a client. Each one can
//! misbehave on command (`POST /misbehave`) and shows what it saw (`GET /record`).

pub mod engine;
pub mod gate;
pub mod log_service;
pub mod machine_list;
pub mod scorer;
pub mod server;
pub mod trainer;
pub mod weight_store;

pub use server::{Intake, Running, Standin, StandinError};
