//! Forwards calls: reads a call whole, chooses a back end, sends the call there and returns the answer
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

/// Retry delay for a caller whose call was rejected because every back end had all its slots in use.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Retry delay, as a share of the route's objective, for a caller whose pool has no back end that accepts calls.
const NO_BACKEND_RETRY_SHARE: f64 = 0.25;

/// Status of the answer to a barred call. It is final and names no retry delay. It is not 503, because a 503
/// states that the call did not run, and an earlier try of a barred call may have run.
pub const BARRED_STATUS: StatusCode = StatusCode::BAD_GATEWAY;

/// A call whose head and body were read whole.
#[derive(Debug, Clone)]
pub struct Call {
    /// Request id. Back ends repeat it in their answers, which shows that an answer belongs to this call.
    pub id: HeaderValue,
    /// HTTP method, forwarded unchanged.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub uri: Uri,
    /// Headers to forward, without those that concern only the caller's connection.
    pub headers: HeaderMap,
    /// Body, forwarded unchanged.
    pub body: Bytes,
    /// Time at which the caller stops waiting for the answer.
    pub deadline: Instant,
    /// Tenant whose key the caller presented; `None` where no key is required, and for calls that the node makes
    /// itself.
    pub tenant: Option<TenantName>,
    /// Batch for which the node makes the call; `None` for a caller's call. Nothing of the call is written to a
    /// connection once this batch may have ended.
    pub batch: Option<BatchId>,
    /// Cached fingerprint; empty until it is first needed.
    pub fingerprint: OnceLock<Fingerprint>,
}

impl Call {
    /// Hash over the parts of the call that stay the same when the caller retries it. It is computed on first use.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| fingerprint::of_call(self))
    }

    /// Whether back ends that end under the call count against it. Not for a reward call: its item is still owed, so it is
    /// made until it is answered.
    pub(crate) fn can_be_barred(&self) -> bool {
        self.batch.is_none()
    }

    pub(crate) fn id_text(&self) -> String {
        String::from_utf8_lossy(self.id.as_bytes()).into_owned()
    }

    /// Time after which nothing of the call may be written to a connection, if the call must end by `deadline`;
    /// `None` if nothing may be written at all.
    pub(crate) fn write_by(&self, context: &Context, deadline: Instant) -> Option<Instant> {
        match &self.batch {
            Some(batch) => context.write_deadline(batch).map(|at| at.min(deadline)),
            None => Some(deadline),
        }
    }
}

/// How a call ended.
pub enum CallOutcome {
    /// A back end answered. The answer is forwarded unchanged.
    Answered(WholeAnswer),
    /// A back end has begun to answer with an event stream.
    Streaming(Box<StreamingAnswer>),
    /// The call did not run and will not run. The caller may retry it.
    Refused {
        /// Time that the caller is asked to wait before it retries.
        retry_after: Duration,
    },
    /// The call may have run, and there is no answer to return.
    Failed {
        /// HTTP status for the caller: 502 after failed sends, 504 after the deadline.
        status: StatusCode,
    },
    /// Back ends crash while they run the call, so it is not sent any more. An earlier send of it may have run, so
    /// this outcome does not mean that the call has not run.
    Barred,
}

/// Outcome of a call, with the number of failures of back ends before it.
pub struct Executed {
    /// Outcome for the caller.
    pub outcome: CallOutcome,
    /// Number of answers with status 500 that back ends gave to the call.
    pub server_errors: u32,
}

/// A stream that a back end has begun, with all that is needed to resume it at another back end.
pub struct StreamingAnswer {
    /// The call, which is sent again when the stream is resumed.
    pub call: Call,
    /// Pool whose back ends may serve the stream.
    pub pool: PoolName,
    /// Regions in which the stream may be served.
    pub residency: Residency,
    /// Number of sends of the call so far.
    pub sends: u32,
    /// Time by which the stream is to end; it is not resumed after it.
    pub deadline: Instant,
    /// Time at which the route's timeout ends the stream. Until then events are forwarded also after the deadline, as long
    /// as the caller reads them.
    pub ends_at: Instant,
    /// The back end's answer, whose head has been received.
    pub answer: Answer,
    /// Back end that produces the stream.
    pub backend: ChosenBackend,
    pub(crate) slot: Option<SuspectSlot>,
}

/// Sends a call to a pool of its route, retries it where that is allowed, and returns the outcome.
pub async fn execute(context: &Arc<Context>, route: &Route, call: Call) -> Executed {
    let started_at = Instant::now();
    let Some(pool) = route.pool_for(xxh3_64(call.id.as_bytes())) else {
        return Executed {
            outcome: refused_without_backends(route),
            server_errors: 0,
        };
    };
    let mut progress = CallProgress::new(context, route, &call, pool, started_at);
    let outcome = progress.run().await;
    progress.report(&outcome);
    Executed {
        outcome,
        server_errors: progress.server_errors,
    }
}

/// Outcome of a call that no back end accepted.
pub(crate) fn refused() -> CallOutcome {
    CallOutcome::Refused {
        retry_after: BUSY_RETRY_AFTER,
    }
}

/// Outcome of a call whose pool has no back end that accepts calls. The retry delay is longer than for busy
/// back ends: slots free up all the time, but an absent pool stays away for longer.
pub(crate) fn refused_without_backends(route: &Route) -> CallOutcome {
    CallOutcome::Refused {
        retry_after: share_of_objective(route, NO_BACKEND_RETRY_SHARE).max(BUSY_RETRY_AFTER),
    }
}

/// A share of the route's objective, which is the time within which its calls are to be answered.
pub(crate) fn share_of_objective(route: &Route, share: f64) -> Duration {
    Duration::from_secs_f64(route.objective_ms as f64 * share / 1_000.0)
}
