//! Makes the reward call of an item whose output is whole.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::backoff::Backoff;
use havenstage_rollout::batch::RewardCall;
use havenstage_rollout::concurrency_limit::CallEnd;
use havenstage_rollout::ids::{BatchId, RunId};
use havenstage_rollout::route::{Route, RouteTable};
use http::header::{HOST, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use tokio::sync::mpsc::UnboundedSender;
use xxhash_rust::xxh3::xxh3_64;

use super::run::{ItemKey, RunMessage, RunUpdate};
use crate::calls::{self, Call, CallOutcome};
use crate::context::Context;

/// Time within which one attempt of a reward call must be answered.
const REWARD_DEADLINE: Duration = Duration::from_millis(2_000);
/// Pause after a reward call that every application rejected: about as long as an application works on one call.
const REJECTED_PAUSE: Duration = Duration::from_millis(50);
/// Share of the route's latency objective within which a reward call is answered if it did not wait in a queue of
/// the application.
const UNQUEUED_SHARE: f64 = 0.5;
/// Pause before a failed reward call is retried.
const REWARD_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// How a reward call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScoreEnd {
    /// An application answered with this signature.
    Score(String),
    /// As many attempts failed with a server error as the route allows.
    AttemptsUsed,
}

/// Makes the reward call of an item until it is answered or has failed as often as its route allows. Sends the
/// result to the engine.
pub async fn score(
    context: Arc<Context>,
    key: ItemKey,
    run: RunId,
    reward: RewardCall,
    messages: UnboundedSender<RunMessage>,
) {
    let end = score_with_retries(&context, &key.batch, &reward).await;
    let _ = messages.send(RunMessage {
        key,
        run,
        update: RunUpdate::Scored(end),
    });
}

/// Failed attempts of a reward call.
#[derive(Default)]
struct Failures {
    /// Number of answers with status 500.
    server_errors: u32,
    /// Counts the attempts in a row in which all sends broke.
    backoff: Backoff,
}

/// Result of one attempt of a reward call.
enum AttemptOutcome {
    /// An application answered with this signature.
    Scored(String),
    /// The call was not made: the routes changed while it waited for a permit.
    RoutesChanged,
    /// The call may be retried after a pause.
    Retry { pause: Duration },
    /// As many attempts failed with a server error as the route allows.
    AttemptsUsed,
}

async fn score_with_retries(
    context: &Arc<Context>,
    batch: &BatchId,
    reward: &RewardCall,
) -> ScoreEnd {
    let mut failures = Failures::default();
    loop {
        // Once the end of a batch is in force, no reward call may be made for it, as no item may be run.
        context.wait_until_work_may_start(batch).await;
        match attempt_call(context, batch, reward, &mut failures).await {
            AttemptOutcome::Scored(score) => return ScoreEnd::Score(score),
            AttemptOutcome::AttemptsUsed => return ScoreEnd::AttemptsUsed,
            AttemptOutcome::RoutesChanged => {}
            AttemptOutcome::Retry { pause } => tokio::time::sleep(pause).await,
        }
    }
}

/// Waits for a permit and makes the call once.
async fn attempt_call(
    context: &Arc<Context>,
    batch: &BatchId,
    reward: &RewardCall,
    failures: &mut Failures,
) -> AttemptOutcome {
    let routes = context.routes();
    let route = routes
        .as_ref()
        .and_then(|table| table.find(&reward.host, &reward.path));
    let pool = route.and_then(|route| route.pool_for(xxh3_64(reward.id.as_bytes())));
    let (Some(route), Some(pool)) = (route, pool) else {
        return AttemptOutcome::Retry {
            pause: REWARD_RETRY_PAUSE,
        };
    };
    let share = context.fair_slot_share(pool);
    let permit = context.reward_limiter.acquire(pool, share).await;
    let began = Instant::now();
    if !are_routes_current(context, routes.as_deref()) {
        return AttemptOutcome::RoutesChanged;
    }
    let Some(call) = reward_call(context, batch, reward) else {
        drop(permit);
        // No valid request can be made from this reward call. The item is given up once its batch is too old.
        return std::future::pending().await;
    };
    let executed = calls::execute(context, route, call).await;
    failures.server_errors += executed.server_errors;
    let end = pace_outcome(route, &executed.outcome, began.elapsed());
    if end == CallEnd::Rejected {
        // The permit is returned only after the pause. Otherwise the next call would find the same full pool a
        // millisecond later.
        tokio::time::sleep(REJECTED_PAUSE).await;
    }
    permit.finish(end);
    if let Some(score) = signature_of(context, &executed.outcome) {
        return AttemptOutcome::Scored(score);
    }
    if failures.server_errors >= route.attempts.max(1) {
        return AttemptOutcome::AttemptsUsed;
    }
    AttemptOutcome::Retry {
        pause: pause_after(&executed.outcome, &mut failures.backoff),
    }
}

/// The signature in a successful response; `None` if the call failed or the response has no signature.
fn signature_of(context: &Context, outcome: &CallOutcome) -> Option<String> {
    let CallOutcome::Answered(answer) = outcome else {
        return None;
    };
    let signature = answer.headers.get(&context.dialect.headers().signature)?;
    let is_success = answer.status.is_success();
    is_success.then_some(signature.to_str().ok()?.to_owned())
}

fn pause_after(outcome: &CallOutcome, backoff: &mut Backoff) -> Duration {
    match outcome {
        CallOutcome::Refused { .. } => Duration::ZERO,
        CallOutcome::Failed { status } if *status == StatusCode::BAD_GATEWAY => {
            backoff.record_failure();
            REWARD_RETRY_PAUSE.max(Duration::from_millis(backoff.pause_ms()))
        }
        CallOutcome::Answered(_) | CallOutcome::Streaming(_) => {
            backoff.record_progress();
            REWARD_RETRY_PAUSE
        }
        CallOutcome::Failed { .. } | CallOutcome::Barred => REWARD_RETRY_PAUSE,
    }
}

/// Whether these routes are still the current ones.
fn are_routes_current(context: &Context, routes: Option<&RouteTable>) -> bool {
    let version = |table: &RouteTable| table.version();
    context.routes().as_deref().map(version) == routes.map(version)
}

/// What the end of a reward call shows about free slots of its pool, for the concurrency limit of the pool.
fn pace_outcome(route: &Route, outcome: &CallOutcome, took: Duration) -> CallEnd {
    let unqueued_limit = calls::share_of_objective(route, UNQUEUED_SHARE);
    match outcome {
        CallOutcome::Answered(_) if took > unqueued_limit => CallEnd::AcceptedLate,
        CallOutcome::Answered(_) | CallOutcome::Streaming(_) => CallEnd::Accepted,
        CallOutcome::Refused { .. } => CallEnd::Rejected,
        CallOutcome::Failed { .. } | CallOutcome::Barred => CallEnd::Unknown,
    }
}

fn reward_call(context: &Context, batch: &BatchId, reward: &RewardCall) -> Option<Call> {
    let names = context.dialect.headers();
    let id = HeaderValue::from_str(&reward.id).ok()?;
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_str(&reward.host).ok()?);
    headers.insert(names.request_id.clone(), id.clone());
    Some(Call {
        id,
        method: Method::POST,
        uri: reward.path.parse().ok()?,
        headers,
        body: reward.body.clone(),
        deadline: Instant::now() + REWARD_DEADLINE,
        tenant: None,
        batch: Some(batch.clone()),
        fingerprint: OnceLock::new(),
    })
}
