//! Errors of the operators' interface.

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
    /// There is no such kind.
    #[error(transparent)]
    UnknownKind(#[from] UnknownKind),
    /// There is no such path.
    #[error(
        "path {path}: allowed are /apis/v1/KIND, /apis/v1/KIND/NAME, /apis/v1/watch/KIND, \
         /apis/v1/explain/SUBJECT and /v1/models/MODEL/versions"
    )]
    UnknownPath {
        /// The path.
        path: String,
    },
    /// The node knows no such resource.
    #[error("{name}: the node knows none of that name")]
    UnknownName {
        /// The name.
        name: String,
    },
    /// There is no such engine in this process.
    #[error(transparent)]
    UnknownEngine(#[from] UnknownEngine),
    /// Engines come and go by themselves.
    #[error("engines are not deleted; allowed is to drain them")]
    EnginesAreNotDeleted,
    /// A change is not made.
    #[error(transparent)]
    Change(#[from] ChangeRefusal),
    /// A version is not taken.
    #[error(transparent)]
    Version(#[from] VersionRefusal),
    /// The log cannot be read.
    #[error("the log: {0}")]
    Log(#[from] LogError),
    /// Nothing has been read from the directories yet.
    #[error("the node has not read its directories yet")]
    NothingKnown,
}

impl OperatorError {
    /// Status, and a stable name for programs.
    fn kind(&self) -> (StatusCode, &'static str) {
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
            Self::NothingKnown => (StatusCode::SERVICE_UNAVAILABLE, "nothing_known"),
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
        let (status, code) = self.kind();
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
