//! The platform's store of weights. Engines fetch from it; the system only asks what is there.

use async_trait::async_trait;
use havenstage_types::ids::{ModelName, VersionNumber};
use thiserror::Error;

/// Asks the weight store about versions.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Whether the version is stored whole.
    async fn exists(
        &self,
        model: &ModelName,
        version: VersionNumber,
    ) -> Result<bool, WeightStoreError>;
}

/// Why the weight store did not answer as asked.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WeightStoreError {
    /// No answer.
    #[error("the weight store does not answer")]
    Unavailable,
    /// The rate limit is used up.
    #[error("the weight store's rate limit is used up")]
    RateLimited,
    /// The answer could not be understood.
    #[error("the weight store's answer is malformed")]
    Malformed,
}
