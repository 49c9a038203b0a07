//! Model engines.

use async_trait::async_trait;
use futures::stream::BoxStream;
use havenstage_types::engine::{
    EngineEndpoint, EngineOrder, GenerateRequest, LoadReport, TokenChunk,
};
use havenstage_types::ids::{AttemptId, FencingToken};
use thiserror::Error;

/// Stream of an engine's output. Dropping it leaves the engine running until it notices; call
/// [`EngineClient::cancel`] to stop it at once.
pub type ChunkStream = BoxStream<'static, Result<TokenChunk, EngineError>>;

/// Speaks to engines in one wire format.
#[async_trait]
pub trait EngineClient: Send + Sync {
    /// Starts generating. Only [`EngineError::NotSent`] proves that nothing ran.
    async fn generate(
        &self,
        engine: &EngineEndpoint,
        request: GenerateRequest,
    ) -> Result<ChunkStream, EngineError>;

    /// Stops an execution; an unknown attempt is no error.
    async fn cancel(&self, engine: &EngineEndpoint, attempt: AttemptId) -> Result<(), EngineError>;

    /// Gives a fenced order.
    async fn order(&self, engine: &EngineEndpoint, order: EngineOrder) -> Result<(), EngineError>;

    /// Asks for the engine's report about itself.
    async fn load(&self, engine: &EngineEndpoint) -> Result<LoadReport, EngineError>;
}

/// Why an engine did not do as asked.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EngineError {
    /// Not one byte of the request was sent.
    #[error("the engine refused the connection")]
    NotSent,
    /// The engine answered before running anything that it will not run the request.
    #[error("the engine refused the request")]
    Rejected,
    /// The connection broke, or the answer did not come in time.
    #[error("the engine broke off")]
    Broken,
    /// The order's token is lower than one the engine has seen.
    #[error("the engine has seen fencing token {highest}")]
    Fenced {
        /// Highest token seen.
        highest: FencingToken,
    },
    /// The answer could not be understood.
    #[error("the engine's answer is malformed")]
    Malformed,
}
