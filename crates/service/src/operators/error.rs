//! Errors of the operators' interface.

use axum::Json;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use serde_json::json;
use thiserror::Error;

use super::resources::UnknownKind;
use super::versions::VersionRefusal;

/// Why an operator's request is not served.
#[derive(Debug, Error)]
pub(crate) enum OperatorError {
    /// There is no such kind.
    #[error(transparent)]
    UnknownKind(#[from] UnknownKind),
    /// There is no such path.
    #[error(
        "path {path}: allowed are /apis/v1/pools, /apis/v1/routes, /apis/v1/engines and /v1/models/MODEL/versions"
    )]
    UnknownPath {
        /// The path.
        path: String,
    },
    /// A body or query cannot be read; the text names the key and what is wrong.
    #[error("the request cannot be read: {reason}")]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// A version is not taken.
    #[error(transparent)]
    Version(#[from] VersionRefusal),
    /// Nothing has been read from the directories yet.
    #[error("the node has not read its directories yet")]
    NothingKnown,
}

impl OperatorError {
    fn status(&self) -> StatusCode {
        match self {
            Self::UnknownKind(_)
            | Self::UnknownPath { .. }
            | Self::Version(VersionRefusal::UnknownModel { .. }) => StatusCode::NOT_FOUND,
            Self::Malformed { .. } => StatusCode::BAD_REQUEST,
            Self::Version(VersionRefusal::Outdated { .. }) => StatusCode::CONFLICT,
            Self::NothingKnown => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Stable name for programs.
    fn code(&self) -> &'static str {
        match self {
            Self::UnknownKind(_) => "unknown_kind",
            Self::UnknownPath { .. } => "unknown_path",
            Self::Malformed { .. } => "malformed",
            Self::Version(VersionRefusal::UnknownModel { .. }) => "unknown_model",
            Self::Version(VersionRefusal::Outdated { .. }) => "conflict",
            Self::NothingKnown => "nothing_known",
        }
    }
}

impl IntoResponse for OperatorError {
    fn into_response(self) -> Response {
        let body = json!({
            "error": {
                "code": self.code(),
                "message": self.to_string(),
                "execution": "not_run",
                "retry_after_ms": null,
            }
        });
        (self.status(), Json(body)).into_response()
    }
}
