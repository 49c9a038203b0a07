//! Stable names and HTTP statuses of refusals. Clients may rely on both.

use havenstage_types::refusal::{BadRequest, RefusalReason};
use http::StatusCode;

/// Name of a refusal reason in error bodies.
pub fn refusal_code(reason: &RefusalReason) -> &'static str {
    match reason {
        RefusalReason::ConfigStale => "config_stale",
        RefusalReason::Stopping => "stopping",
        RefusalReason::UnknownPool(_) => "unknown_pool",
        RefusalReason::UnknownJob(_) => "unknown_job",
        RefusalReason::NoEngine(_) => "no_engine",
        RefusalReason::Overloaded(_) => "overloaded",
        RefusalReason::CallerLimit => "caller_limit",
        RefusalReason::DeadlineExceeded => "deadline_exceeded",
        RefusalReason::EngineDraining(_) => "engine_draining",
        RefusalReason::EngineFailed(_) => "engine_failed",
        RefusalReason::EngineUnreachable(_) => "engine_unreachable",
        RefusalReason::VersionTooOld => "version_too_old",
        RefusalReason::LogAway => "log_away",
        RefusalReason::PeerUnreachable => "peer_unreachable",
        RefusalReason::OutcomeUnknown => "outcome_unknown",
        RefusalReason::KeyReused => "key_reused",
        RefusalReason::Preempted => "preempted",
        RefusalReason::BadRequest(BadRequest::BodyTooLarge { .. }) => "body_too_large",
        RefusalReason::BadRequest(BadRequest::Malformed { .. }) => "malformed",
        RefusalReason::BadRequest(BadRequest::Header { .. }) => "bad_header",
    }
}

/// HTTP status of a refusal reason.
pub fn refusal_status(reason: &RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::UnknownPool(_) | RefusalReason::UnknownJob(_) => StatusCode::NOT_FOUND,
        RefusalReason::CallerLimit => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::KeyReused => StatusCode::CONFLICT,
        RefusalReason::EngineFailed(_) => StatusCode::BAD_GATEWAY,
        RefusalReason::DeadlineExceeded | RefusalReason::OutcomeUnknown => {
            StatusCode::GATEWAY_TIMEOUT
        }
        RefusalReason::BadRequest(BadRequest::BodyTooLarge { .. }) => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::BadRequest(_) => StatusCode::BAD_REQUEST,
        RefusalReason::ConfigStale
        | RefusalReason::Stopping
        | RefusalReason::NoEngine(_)
        | RefusalReason::Overloaded(_)
        | RefusalReason::EngineDraining(_)
        | RefusalReason::EngineUnreachable(_)
        | RefusalReason::VersionTooOld
        | RefusalReason::LogAway
        | RefusalReason::PeerUnreachable
        | RefusalReason::Preempted => StatusCode::SERVICE_UNAVAILABLE,
    }
}
