//! The reward call of an item whose output is whole.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::batch::RewardCall;
use havenstage_rollout::concurrency_limit::CallEnd;
use havenstage_rollout::ids::{BatchId, RunId};
use havenstage_rollout::route::{Route, RouteTable};
use http::Method;
use http::header::{HOST, HeaderMap, HeaderValue};
use tokio::sync::mpsc::UnboundedSender;
use xxhash_rust::xxh3::xxh3_64;

use super::run::{ItemKey, RunMessage, RunNews};
use crate::calls::{self, Call, CallOutcome};
use crate::context::Context;

/// Time a reward call has.
const REWARD_DEADLINE: Duration = Duration::from_millis(2_000);
/// Pause after a reward call that every application turned away: about as long as one works on a call.
const TURNED_AWAY_PAUSE: Duration = Duration::from_millis(50);
/// Share of its route's objective within which a reward call is answered that has not waited in a queue.
const SOON_SHARE: f64 = 0.5;
/// Pause before a reward call is made again.
const REWARD_PAUSE: Duration = Duration::from_millis(20);
/// Pause before a reward call that is barred is looked at again: the bar may be lifted.
const REWARD_BARRED_PAUSE: Duration = Duration::from_millis(500);

/// How a reward call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScoreEnd {
    /// It was answered with this signature.
    Score(String),
    /// Back ends failed at it as often as its route allows.
    AttemptsUsed,
}

/// Makes the reward call of an item until it is answered or has failed too often.
pub async fn score(
    context: Arc<Context>,
    key: ItemKey,
    run: RunId,
    reward: RewardCall,
    news: UnboundedSender<RunMessage>,
) {
    let end = score_to_end(&context, &key.batch, &reward).await;
    let _ = news.send(RunMessage {
        key,
        run,
        news: RunNews::Scored(end),
    });
}

/// What one try of a reward call came to.
enum Try {
    /// It was answered with this signature.
    Scored(String),
    /// It was not made: its route changed while it waited for its turn.
    Moved,
    /// It may be made again after a pause.
    Again { pause: Duration },
    /// Back ends failed at it as often as its route allows.
    AttemptsUsed,
}

async fn score_to_end(context: &Arc<Context>, batch: &BatchId, reward: &RewardCall) -> ScoreEnd {
    let mut failures = 0;
    loop {
        // A batch's end holds for reward calls as it does for items.
        context.wait_until_work_may_start(batch).await;
        match try_once(context, batch, reward, &mut failures).await {
            Try::Scored(score) => return ScoreEnd::Score(score),
            Try::AttemptsUsed => return ScoreEnd::AttemptsUsed,
            Try::Moved => {}
            Try::Again { pause } => tokio::time::sleep(pause).await,
        }
    }
}

/// Makes the call once, in its turn.
async fn try_once(
    context: &Arc<Context>,
    batch: &BatchId,
    reward: &RewardCall,
    failures: &mut u32,
) -> Try {
    let routes = context.routes();
    let route = routes
        .as_ref()
        .and_then(|table| table.find(&reward.host, &reward.path));
    let pool = route.and_then(|route| route.pool_for(xxh3_64(reward.id.as_bytes())));
    let (Some(route), Some(pool)) = (route, pool) else {
        return Try::Again {
            pause: REWARD_PAUSE,
        };
    };
    let share = context.share_of_places(pool);
    let permit = context.reward_limiter.acquire(pool, share).await;
    let began = Instant::now();
    if !is_in_force(context, routes.as_deref()) {
        return Try::Moved;
    }
    let Some(call) = reward_call(context, batch, reward) else {
        drop(permit);
        // It can never be made; its item is given up when its time is over.
        return std::future::pending().await;
    };
    let executed = calls::execute(context, route, call).await;
    *failures += executed.server_errors;
    let end = end_for_pace(route, &executed.outcome, began.elapsed());
    if end == CallEnd::Rejected {
        // Its turn is over only then: else the next call would find the same full pool a millisecond later.
        tokio::time::sleep(TURNED_AWAY_PAUSE).await;
    }
    permit.finish(end);
    if let Some(score) = score_in(context, &executed.outcome) {
        return Try::Scored(score);
    }
    if *failures >= route.attempts.max(1) {
        return Try::AttemptsUsed;
    }
    Try::Again {
        pause: pause_after(&executed.outcome),
    }
}

/// The signature of an answer that tells success.
fn score_in(context: &Context, outcome: &CallOutcome) -> Option<String> {
    let CallOutcome::Answered(answer) = outcome else {
        return None;
    };
    let signature = answer.headers.get(&context.dialect.headers().signature)?;
    let is_success = answer.status.is_success();
    is_success.then_some(signature.to_str().ok()?.to_owned())
}

fn pause_after(outcome: &CallOutcome) -> Duration {
    match outcome {
        CallOutcome::Refused { .. } => Duration::ZERO,
        CallOutcome::Barred => REWARD_BARRED_PAUSE,
        CallOutcome::Answered(_) | CallOutcome::Streaming(_) | CallOutcome::Failed { .. } => {
            REWARD_PAUSE
        }
    }
}

/// Whether these are still the routes in force.
fn is_in_force(context: &Context, routes: Option<&RouteTable>) -> bool {
    let version = |table: &RouteTable| table.version();
    context.routes().as_deref().map(version) == routes.map(version)
}

/// What the end of a reward call says of the places of its pool.
fn end_for_pace(route: &Route, outcome: &CallOutcome, took: Duration) -> CallEnd {
    let soon = calls::share_of_objective(route, SOON_SHARE);
    match outcome {
        CallOutcome::Answered(_) if took > soon => CallEnd::AcceptedLate,
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
