//! Every error the interface answers with, and its JSON form.

use std::time::Duration;

use axum::Json;
use axum::response::{IntoResponse, Response};
use havenstage_config::manifest::ManifestError;
use havenstage_http_server::BodyError;
use havenstage_types::config::ChangeError;
use havenstage_types::ids::{ChangeId, Revision};
use havenstage_types::refusal::{BadRequest, Execution, Refusal, RefusalReason};
use havenstage_types::resource::{InvalidResource, ResourceKey};
use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::error_code::{refusal_code, refusal_status};

/// Why a request got no result.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum ApiError {
    /// The node refused it, or it failed.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The node ended the answer without a last event.
    #[error("the answer was cut off")]
    AnswerCutOff,
    /// No such route.
    #[error("no route {path}")]
    UnknownRoute {
        /// Path asked for.
        path: String,
    },
    /// The route exists, but not with this method.
    #[error("method not allowed on {path}")]
    MethodNotAllowed {
        /// Path asked for.
        path: String,
    },
    /// The body of the request was not received.
    #[error(transparent)]
    BodyNotReceived(BodyError),
    /// A path segment or query parameter could not be read.
    #[error("{detail}")]
    BadParameter {
        /// What is wrong.
        detail: String,
    },
    /// No such kind of resource.
    #[error("there is no kind {kind}; kinds are Job, WeightVersion, Pool, PriorityRule, Engine")]
    UnknownKind {
        /// Kind asked for.
        kind: String,
    },
    /// No such resource.
    #[error("{} {} does not exist", key.kind, key.name)]
    NoResource {
        /// Key asked for.
        key: ResourceKey,
    },
    /// The resource was not at the revision the change was made against.
    #[error("the resource is at another revision: {}", revision_text(.found.as_ref()))]
    Conflict {
        /// Id of the change.
        id: Option<ChangeId>,
        /// Revision found, `None` when the resource did not exist.
        found: Option<Revision>,
    },
    /// The resource is not valid.
    #[error(transparent)]
    Invalid(#[from] InvalidResource),
    /// A resource could not be written as JSON.
    #[error(transparent)]
    Unwritable(#[from] ManifestError),
    /// The outcome of a change is not known yet.
    #[error("the outcome of change {id} is not known yet, repeat it with the same id")]
    ChangeUnknown {
        /// Id to repeat with.
        id: ChangeId,
    },
}

/// The JSON body of every error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong, for programs and people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable name of the error.
    pub code: String,
    /// For people.
    pub message: String,
    /// Whether the request ran.
    pub execution: Execution,
    /// When coming back may help, in milliseconds from now.
    pub retry_after_ms: Option<u64>,
    /// Id of the change, on errors of changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<ChangeId>,
    /// Revision found, on a conflict with an existing resource.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub found_revision: Option<Revision>,
}

impl ApiError {
    /// A body or parameter that cannot be understood.
    pub fn malformed(detail: impl Into<String>) -> Self {
        bad_request(BadRequest::Malformed {
            detail: detail.into(),
        })
    }

    /// A header with a value that is not allowed.
    pub fn header(header: &str, value: impl Into<String>, allowed: &str) -> Self {
        bad_request(BadRequest::Header {
            header: header.to_owned(),
            value: value.into(),
            allowed: allowed.to_owned(),
        })
    }

    /// A body above the limit.
    pub fn body_too_large(limit_bytes: u64) -> Self {
        bad_request(BadRequest::BodyTooLarge { limit_bytes })
    }

    /// Stable name of the error.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Refused(refusal) => refusal_code(&refusal.reason),
            Self::AnswerCutOff => "answer_cut_off",
            Self::UnknownRoute { .. } => "unknown_route",
            Self::MethodNotAllowed { .. } => "method_not_allowed",
            Self::BodyNotReceived(BodyError::TimedOut) => "body_timed_out",
            Self::BodyNotReceived(BodyError::Broken) => "malformed",
            Self::BodyNotReceived(_) => "overloaded",
            Self::BadParameter { .. } => "bad_parameter",
            Self::UnknownKind { .. } => "unknown_kind",
            Self::NoResource { .. } => "no_resource",
            Self::Conflict { .. } => "conflict",
            Self::Invalid(_) => "invalid_resource",
            Self::Unwritable(_) => "unwritable_resource",
            Self::ChangeUnknown { .. } => "outcome_unknown",
        }
    }

    /// HTTP status of the error.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Refused(refusal) => refusal_status(&refusal.reason),
            Self::AnswerCutOff => StatusCode::BAD_GATEWAY,
            Self::UnknownRoute { .. } | Self::UnknownKind { .. } | Self::NoResource { .. } => {
                StatusCode::NOT_FOUND
            }
            Self::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodyNotReceived(error) => error.status(),
            Self::BadParameter { .. } => StatusCode::BAD_REQUEST,
            Self::Conflict { .. } => StatusCode::CONFLICT,
            Self::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Unwritable(_) => StatusCode::INTERNAL_SERVER_ERROR,
            Self::ChangeUnknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Whether the request ran.
    pub fn execution(&self) -> Execution {
        match self {
            Self::Refused(refusal) => refusal.execution,
            Self::AnswerCutOff | Self::ChangeUnknown { .. } => Execution::Unknown,
            _ => Execution::NotRun,
        }
    }

    /// The JSON body.
    pub fn body(&self) -> ErrorBody {
        let (change_id, found_revision) = match self {
            Self::Conflict { id, found } => (id.clone(), *found),
            Self::ChangeUnknown { id } => (Some(id.clone()), None),
            _ => (None, None),
        };
        ErrorBody {
            error: ErrorDetail {
                code: self.code().to_owned(),
                message: self.to_string(),
                execution: self.execution(),
                retry_after_ms: self.retry_after().map(milliseconds),
                change_id,
                found_revision,
            },
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused(refusal) => refusal.retry_after,
            _ => None,
        }
    }
}

impl From<BodyError> for ApiError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLong { max_bytes } => Self::body_too_large(max_bytes as u64),
            error => Self::BodyNotReceived(error),
        }
    }
}

impl From<ChangeError> for ApiError {
    fn from(error: ChangeError) -> Self {
        match error {
            ChangeError::Invalid(invalid) => Self::Invalid(invalid),
            ChangeError::OutcomeUnknown { id } => Self::ChangeUnknown { id },
            ChangeError::Stopping => Self::Refused(Refusal::not_run(RefusalReason::Stopping, None)),
        }
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let mut response = (self.status(), Json(self.body())).into_response();
        if let Some(wait) = self.retry_after() {
            let seconds = milliseconds(wait).div_ceil(1_000);
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

fn bad_request(reason: BadRequest) -> ApiError {
    ApiError::Refused(Refusal::not_run(RefusalReason::BadRequest(reason), None))
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn revision_text(found: Option<&Revision>) -> String {
    found.map_or_else(|| "it does not exist".to_owned(), Revision::to_string)
}
