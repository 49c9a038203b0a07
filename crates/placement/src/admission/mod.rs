//! Admission control of one engine. It runs on the engine's home node, the only node that decides
//! whether work may be sent to that engine and therefore the only one that knows its exact load.
//!
//! - Urgent requests go before live ones and live ones before training; within a class the order is
//!   first come, first served by default. A request that cannot start is queued for at most its
//!   `patience` and is then refused as not run.
//! - Running requests stay within the engine's slots and within a budget of KV tokens, counted by
//!   their projected size at the end. Training leaves a share of the slots free and is preempted
//!   when live requests are queued.
//! - After a failure of the engine, requests are admitted one at a time until enough of them have
//!   succeeded.
//! - A circuit breaker stops all new work for an engine that cannot be reached until it reports
//!   again.

mod action;
mod advance;
mod engine;
mod health;
mod kv_budget;
mod limits;
mod permits;
mod preemption;
mod queue;
mod recently_ended;
mod refusals;
mod release_rate;

pub use action::AdmissionAction;
pub use advance::DISPATCH_WINDOW;
pub use engine::EngineAdmission;
pub use limits::{AdmissionLimits, TrainingProjection};
