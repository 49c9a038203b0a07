//! A model of a continuous-batching engine for language models. It does no I/O: time is passed in,
//! random numbers come from a seed, and everything it puts out is returned by [`Engine::advance`].
//!
//! Time goes by in iterations. Each one computes a part of some prompts (prefill) and one more
//! token of every sequence whose context is computed (decode). KV memory is held in blocks; whole
//! blocks are shared between sequences with the same prefix and stay cached until memory is short.

mod batch;
pub mod cache_events;
pub mod clock;
pub mod content;
pub mod engine;
mod kv_memory;
mod load_history;
pub mod output;
pub mod record;
mod sequence;
pub mod settings;
mod swap;

pub use clock::EngineTime;
pub use engine::{Engine, KvExport};
pub use output::{EngineOutput, OrderRefusal, SubmitRefusal};
pub use record::{ExecutionOutcome, ExecutionRecord};
pub use settings::{EngineSettings, InvalidEngineSettings};
