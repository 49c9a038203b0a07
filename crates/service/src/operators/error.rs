//! Errors of the operators' interface, and the HTTP responses that report them.

use axum::Json;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use havenstage_gateway::edge::LogError;
use serde_json::json;
use thiserror::Error;

use super::configuration::ChangeRefusal;
use super::resources::UnknownKind;
use super::versions::VersionRefusal;
use crate::engines::UnknownEngine;

/// Why an operator's request is not served.
#[derive(Debug, Error)]
pub(crate) enum OperatorError {
    /// The path names an unknown kind of resource.
    #[error(transparent)]
    UnknownKind(#[from] UnknownKind),
    /// The interface has no such path.
    #[error(
        "path {path}: allowed are /apis/v1/KIND, /apis/v1/KIND/NAME, /apis/v1/watch/KIND, \
         /apis/v1/explain/SUBJECT and /v1/models/MODEL/versions"
    )]
    UnknownPath {
        /// Path of the request.
        path: String,
    },
    /// The node knows no resource of that name.
    #[error("{name}: the node knows none of that name")]
    UnknownName {
        /// Name in the request's path.
        name: String,
    },
    /// No emulated engine of this process has that name.
    #[error(transparent)]
    UnknownEngine(#[from] UnknownEngine),
    /// Operators cannot delete engines, only drain them.
    #[error("engines are not deleted; allowed is to drain them")]
    EnginesAreNotDeleted,
    /// A change of the configuration is rejected.
    #[error(transparent)]
    Change(#[from] ChangeRefusal),
    /// A published version is rejected.
    #[error(transparent)]
    Version(#[from] VersionRefusal),
    /// Reading the log failed.
    #[error("the log: {0}")]
    Log(#[from] LogError),
    /// The node has not finished its first read of a directory yet.
    #[error("the node has not read its directories yet")]
    DirectoriesNotRead,
}

impl OperatorError {
    /// Returns the HTTP status and the error code of the response body.
    fn status_and_code(&self) -> (StatusCode, &'static str) {
        match self {
            Self::UnknownKind(_) => (StatusCode::NOT_FOUND, "unknown_kind"),
            Self::UnknownPath { .. } => (StatusCode::NOT_FOUND, "unknown_path"),
            Self::UnknownName { .. } => (StatusCode::NOT_FOUND, "unknown_name"),
            Self::UnknownEngine(_) => (StatusCode::NOT_FOUND, "unknown_engine"),
            Self::EnginesAreNotDeleted => (StatusCode::METHOD_NOT_ALLOWED, "not_deleted"),
            Self::Change(refusal) => match refusal {
                ChangeRefusal::Malformed { .. } => (StatusCode::BAD_REQUEST, "malformed"),
                ChangeRefusal::NotAllowed(_) => (StatusCode::UNPROCESSABLE_ENTITY, "not_allowed"),
                ChangeRefusal::Conflict { .. } => (StatusCode::CONFLICT, "conflict"),
                ChangeRefusal::Engines(_) => {
                    (StatusCode::INTERNAL_SERVER_ERROR, "engines_not_started")
                }
            },
            Self::Version(VersionRefusal::UnknownModel { .. }) => {
                (StatusCode::NOT_FOUND, "unknown_model")
            }
            Self::Version(VersionRefusal::Outdated { .. }) => (StatusCode::CONFLICT, "conflict"),
            Self::Log(_) => (StatusCode::SERVICE_UNAVAILABLE, "log_not_read"),
            Self::DirectoriesNotRead => (StatusCode::SERVICE_UNAVAILABLE, "nothing_known"),
        }
    }

    fn found_revision(&self) -> Option<u64> {
        match self {
            Self::Change(ChangeRefusal::Conflict { found, .. }) => *found,
            _ => None,
        }
    }
}

impl IntoResponse for OperatorError {
    fn into_response(self) -> Response {
        let (status, code) = self.status_and_code();
        let mut error = json!({
            "code": code,
            "message": self.to_string(),
            "execution": "not_run",
            "retry_after_ms": null,
        });
        if let Some(found) = self.found_revision() {
            error["found_revision"] = found.into();
        }
        (status, Json(json!({ "error": error }))).into_response()
    }
}
