//! The service that gives samples their reward.

use async_trait::async_trait;
use havenstage_types::ids::SampleId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Scores finished samples.
#[async_trait]
pub trait Scorer: Send + Sync {
    /// Reward of a sample; scoring twice does no harm.
    async fn score(&self, request: ScoreRequest) -> Result<f64, ScorerError>;
}

/// A sample to be scored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoreRequest {
    /// Slot of the sample.
    pub sample: SampleId,
    /// Prompt text.
    pub prompt: String,
    /// Generated text.
    pub text: String,
}

/// Why a sample got no reward.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ScorerError {
    /// No answer.
    #[error("the scorer does not answer")]
    Unavailable,
    /// The answer could not be understood.
    #[error("the scorer's answer is malformed")]
    Malformed,
}
