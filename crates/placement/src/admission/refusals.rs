//! Refusals that admission gives.

use std::time::Duration;

use havenstage_types::ids::{EngineName, PoolName};
use havenstage_types::refusal::{Refusal, RefusalReason};

/// When an asker may come back to an engine whose version is not known or too old.
const VERSION_RETRY: Duration = Duration::from_secs(1);

pub(super) fn overloaded(pool: &PoolName, retry_after: Option<Duration>) -> Refusal {
    Refusal::not_run(RefusalReason::Overloaded(pool.clone()), retry_after)
}

pub(super) fn version_too_old() -> Refusal {
    Refusal::not_run(RefusalReason::VersionTooOld, Some(VERSION_RETRY))
}

/// The asker ended the attempt before its ask was decided.
pub(super) fn ask_ended() -> Refusal {
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
