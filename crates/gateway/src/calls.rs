//! Calls passed through whole: a back end is chosen, the call is sent, and its answer is returned
//! unchanged.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_http_link::{Answer, WholeAnswer};
use havenstage_rollout::crash_ledger::Fingerprint;
use havenstage_rollout::ids::{BatchId, PoolName, TenantName};
use havenstage_rollout::residency::Residency;
use havenstage_rollout::route::Route;
use http::header::{HeaderMap, HeaderValue};
use http::{Method, StatusCode, Uri};
use xxhash_rust::xxh3::xxh3_64;

use crate::backends::ChosenBackend;
use crate::call_progress::CallProgress;
use crate::context::Context;
use crate::crash_guard::SuspectSlot;
use crate::fingerprint;

/// Time after which a caller may come back whom no back end had a place for.
const COME_BACK: Duration = Duration::from_millis(50);
/// Share of the objective after which a caller may come back whose pool has no back end that takes calls.
const ABSENT_SHARE: f64 = 0.25;

/// Answer to a call that is barred. Final, and without a time to come back; it says nothing of whether an
/// earlier try ran, as a 503 would.
pub const BARRED_STATUS: StatusCode = StatusCode::BAD_GATEWAY;

/// A call, read whole.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its request id.
    pub id: HeaderValue,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers that go along, without those of the connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// The tenant whose key its caller presented; `None` where no key was asked for, and for the system's own
    /// calls.
    pub tenant: Option<TenantName>,
    /// The batch for which it is made: nothing of it is written once that may have ended.
    pub batch: Option<BatchId>,
    /// Its fingerprint, once it was asked for.
    pub fingerprint: OnceLock<Fingerprint>,
}

impl Call {
    /// What stays the same of it when its caller tries again; worked out only when it is needed.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| fingerprint::of_call(self))
    }

    /// Its request id as text.
    pub(crate) fn id_text(&self) -> String {
        String::from_utf8_lossy(self.id.as_bytes()).into_owned()
    }

    /// Time after which nothing of it may be written, if it must be over at `ends`; `None` if nothing
    /// may be written at all.
    pub(crate) fn write_by(&self, context: &Context, ends: Instant) -> Option<Instant> {
        match &self.batch {
            Some(batch) => context.write_deadline(batch).map(|at| at.min(ends)),
            None => Some(ends),
        }
    }
}

/// How a call ended.
pub enum CallOutcome {
    /// A back end answered; the answer is passed on as it is.
    Answered(WholeAnswer),
    /// A back end answers with a stream.
    Streaming(Box<StreamingAnswer>),
    /// It did not run and will not; its caller may come back after the pause.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
    /// It may have run, and no answer can be given.
    Failed {
        /// Status to answer with.
        status: StatusCode,
    },
    /// Back ends end under it: it is not sent any more. An earlier send of it may have run, so this is no
    /// word that it has not.
    Barred,
}

/// How a call ended, and how often back ends failed at it on the way.
pub struct Executed {
    /// How it ended.
    pub outcome: CallOutcome,
    /// Answers of back ends that they failed.
    pub server_errors: u32,
}

/// A stream that a back end has begun.
pub struct StreamingAnswer {
    /// The call, for a run that goes on elsewhere.
    pub call: Call,
    /// Pool that serves it.
    pub pool: PoolName,
    /// Where it may be served.
    pub residency: Residency,
    /// Back ends it was sent to so far.
    pub sends: u32,
    /// When it must be over.
    pub ends: Instant,
    /// The answer.
    pub answer: Answer,
    /// Where it runs.
    pub backend: ChosenBackend,
    pub(crate) slot: Option<SuspectSlot>,
}

/// Passes a call on by its route and returns how it ended.
pub async fn execute(context: &Arc<Context>, route: &Route, call: Call) -> Executed {
    let began = Instant::now();
    let Some(pool) = route.pool_for(xxh3_64(call.id.as_bytes())) else {
        return Executed {
            outcome: refused_for_want_of_back_ends(route),
            server_errors: 0,
        };
    };
    let mut progress = CallProgress::new(context, route, &call, pool, began);
    let outcome = progress.run().await;
    progress.report(&outcome);
    Executed {
        outcome,
        server_errors: progress.server_errors,
    }
}

/// The end of a call that nobody took.
pub(crate) fn refused() -> CallOutcome {
    CallOutcome::Refused {
        retry_after: COME_BACK,
    }
}

/// The end of a call whose pool has no back end that takes calls. Places free up all the time, but a pool
/// that is gone is away for longer.
pub(crate) fn refused_for_want_of_back_ends(route: &Route) -> CallOutcome {
    CallOutcome::Refused {
        retry_after: share_of_objective(route, ABSENT_SHARE).max(COME_BACK),
    }
}

/// A share of the time in which a route's calls are to be answered.
pub(crate) fn share_of_objective(route: &Route, share: f64) -> Duration {
    Duration::from_secs_f64(route.objective_ms as f64 * share / 1_000.0)
}
