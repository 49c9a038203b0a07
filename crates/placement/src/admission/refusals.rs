//! Constructors of the refusals that admission returns.

use std::time::Duration;

use havenstage_types::ids::{EngineName, PoolName};
use havenstage_types::refusal::{Refusal, RefusalReason};

/// Retry delay for an engine whose version is unknown or too old.
const VERSION_RETRY_AFTER: Duration = Duration::from_secs(1);

pub(super) fn overloaded(pool: &PoolName, retry_after: Option<Duration>) -> Refusal {
    Refusal::not_run(RefusalReason::Overloaded(pool.clone()), retry_after)
}

pub(super) fn version_too_old() -> Refusal {
    Refusal::not_run(RefusalReason::VersionTooOld, Some(VERSION_RETRY_AFTER))
}

/// The requester released the attempt, or died, before the admission request was decided.
pub(super) fn request_ended() -> Refusal {
    Refusal::not_run(RefusalReason::DeadlineExceeded, None)
}

pub(super) fn stopped(engine: &EngineName, unreachable: bool) -> Refusal {
    let reason = if unreachable {
        RefusalReason::EngineUnreachable(engine.clone())
    } else {
        RefusalReason::EngineDraining(engine.clone())
    };
    Refusal::not_run(reason, None)
}
