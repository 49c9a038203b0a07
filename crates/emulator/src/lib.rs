//! A model of a continuous-batching engine for language models. It does no I/O: time is passed in,
//! random numbers come from a seed, and everything it puts out is returned by [`Engine::advance`].

pub mod clock;
pub mod content;
pub mod engine;
pub mod output;
pub mod record;
pub mod settings;

pub use clock::EngineTime;
pub use engine::Engine;
pub use output::{EngineOutput, OrderRefusal, SubmitRefusal};
pub use record::{ExecutionOutcome, ExecutionRecord};
pub use settings::{EngineSettings, InvalidEngineSettings};
