//! Admission at the home of one engine: the one place that decides whether work may be sent to
//! that engine, and so the one place that knows its load exactly.
//!
//! - Urgent work comes before live work and live work before training; first come, first served
//!   within a class. A request that cannot start waits in the queue as long as its asker is ready
//!   to wait, and is then refused as not run.
//! - Running work stays within the engine's slots and within a budget of KV tokens, counted by
//!   what each request may still grow to. Training leaves a share of the slots free and is
//!   preempted when live work waits.
//! - After a failure of the engine work is admitted one at a time until it has proved itself.
//! - An engine that cannot be reached gets nothing until it reports again (a circuit breaker).

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
