//! The claimant's side of at-most-once requests: claims the key through the partition's owner
//! before anything is dispatched, and records what came of it.

use std::sync::Arc;
use std::time::Duration;

use havenstage_membership::ownership;
use havenstage_placement::retry::{Backoff, BackoffSettings};
use havenstage_types::claim::{Claim, ClaimOutcome, ClaimVerdict};
use havenstage_types::ids::{AttemptId, IdempotencyKey};
use havenstage_types::member::MemberState;
use havenstage_types::peer::{PeerFailure, PeerRequestBody, PeerResponseBody};
use havenstage_types::refusal::{Refusal, RefusalReason};
use havenstage_types::request::{CallerRequest, WholeAnswer};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::context::NodeContext;

/// How long a claim is tried while the log or the owner does not answer. After it the caller is
/// told at once that nothing ran.
const CLAIM_PATIENCE: Duration = Duration::from_secs(4);

/// Longest wait for one answer: what an owner may take to read a claim back, and the way.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for one try at recording an outcome or an abandonment.
const RECORD_PATIENCE: Duration = Duration::from_secs(6);

/// Pause before asking again about a key that another attempt holds.
const HELD_POLL: Duration = Duration::from_millis(200);

/// Tries to hand an outcome or an abandonment to the partition's owner.
const RECORD_TRIES: u32 = 40;

/// Claims keys and records outcomes.
pub(crate) struct AtMostOnce {
    context: Arc<NodeContext>,
}

/// Leave to dispatch.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Grant {
    /// Attempt that may dispatch.
    pub(crate) attempt: AttemptId,
}

/// What a claim led to.
pub(crate) enum Claimed {
    /// This attempt may dispatch.
    Granted(Grant),
    /// The request has run before; this is its answer.
    Answered(WholeAnswer),
}

/// Hash of the parts of a request that decide its answer.
pub(crate) fn fingerprint(request: &CallerRequest) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(request.pool.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(request.prompt.as_bytes());
    hasher.update(&[0]);
    hasher.update(&request.max_tokens.to_le_bytes());
    hasher.digest()
}

/// The caller's key, or one of its own for a request without.
fn key_of(request: &CallerRequest) -> IdempotencyKey {
    request
        .idempotency_key
        .clone()
        .unwrap_or_else(|| IdempotencyKey(format!("request-{}", request.id)))
}

impl AtMostOnce {
    pub(crate) fn new(context: Arc<NodeContext>) -> Arc<Self> {
        Arc::new(Self { context })
    }

    /// Claims the request's key. Every refusal is true: an attempt that is not granted is never
    /// dispatched.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        request: &CallerRequest,
        deadline: Instant,
    ) -> Result<Claimed, Refusal> {
        let mut backoff = Backoff::new(BackoffSettings::default(), self.context.next_seed());
        let mut give_up_at = deadline.min(Instant::now() + CLAIM_PATIENCE);
        let mut attempt = self.context.next_attempt();
        if !self.context.mechanisms.claims {
            return Ok(Claimed::Granted(Grant { attempt }));
        }
        // Whether a claim of `attempt` may be in the log without having been read back.
        let mut uncertain = false;
        loop {
            match self.ask(request, attempt, give_up_at).await {
                Ok(ClaimVerdict::Granted) => return Ok(Claimed::Granted(Grant { attempt })),
                Ok(ClaimVerdict::Done(outcome)) => return answered(outcome),
                Ok(ClaimVerdict::KeyReused) => {
                    return Err(Refusal::not_run(RefusalReason::KeyReused, None));
                }
                Ok(ClaimVerdict::HeldBy(holder)) => {
                    if std::mem::take(&mut uncertain) {
                        self.abandon(request, attempt);
                    }
                    self.check_holder(holder, deadline)?;
                    attempt = self.context.next_attempt();
                    tokio::time::sleep(HELD_POLL).await;
                    give_up_at = deadline.min(Instant::now() + CLAIM_PATIENCE);
                }
                Ok(ClaimVerdict::Abandoned) => attempt = self.context.next_attempt(),
                Err(reason) if Instant::now() >= give_up_at => {
                    self.abandon(request, attempt);
                    let retry_after = Some(self.context.settings.log_retry());
                    return Err(Refusal::not_run(reason, retry_after));
                }
                Err(_reason) => {
                    uncertain = true;
                    let next = Instant::now() + backoff.next_delay();
                    tokio::time::sleep_until(next.min(give_up_at)).await;
                }
            }
        }
    }

    /// While the holder lives its outcome will come; when it is gone nobody can tell any more.
    fn check_holder(&self, holder: AttemptId, deadline: Instant) -> Result<(), Refusal> {
        let unknown = || Refusal::unknown(RefusalReason::OutcomeUnknown);
        let view = self.context.view();
        let lives = view
            .members
            .get(&holder.node)
            .is_some_and(|member| member.state != MemberState::Dead);
        if !lives || Instant::now() >= deadline {
            return Err(unknown());
        }
        Ok(())
    }

    async fn ask(
        &self,
        request: &CallerRequest,
        attempt: AttemptId,
        by: Instant,
    ) -> Result<ClaimVerdict, RefusalReason> {
        let key = key_of(request);
        let claim = Claim {
            key: key.clone(),
            attempt,
            request: request.id.clone(),
            fingerprint: fingerprint(request),
        };
        let body = PeerRequestBody::Claim(claim);
        match self.call_decider(&key, body, by).await {
            Some(PeerResponseBody::Claim(verdict)) => Ok(verdict),
            Some(PeerResponseBody::Failed(PeerFailure::LogAway)) => Err(RefusalReason::LogAway),
            _ => Err(RefusalReason::PeerUnreachable),
        }
    }

    /// Asks whoever decides about the key; the answer must come by then.
    async fn call_decider(
        &self,
        key: &IdempotencyKey,
        body: PeerRequestBody,
        by: Instant,
    ) -> Option<PeerResponseBody> {
        let partition = ownership::partition_of(key, self.context.settings.partitions);
        let owner = ownership::owner_of_partition(&self.context.view(), partition)?;
        let call = self.context.call_within(owner, body, call_timeout(by));
        let answer = call.await;
        answer.ok()
    }

    /// Records that the attempt will never dispatch; tried in the background.
    pub(crate) fn abandon(self: &Arc<Self>, request: &CallerRequest, attempt: AttemptId) {
        let service = self.clone();
        let key = key_of(request);
        let in_flight = self.context.lifecycle.track();
        self.context.environment.spawner.spawn(async move {
            let body = PeerRequestBody::AbandonClaim {
                key: key.clone(),
                attempt,
            };
            service.record(&key, body).await;
            drop(in_flight);
        });
    }

    /// Records the whole answer, so that a retry at any node gets it.
    pub(crate) async fn completed(
        &self,
        request: &CallerRequest,
        attempt: AttemptId,
        answer: WholeAnswer,
    ) {
        self.record_outcome(request, attempt, ClaimOutcome::Answer(answer))
            .await;
    }

    /// Records that the attempt failed after it may have run.
    pub(crate) async fn failed(
        &self,
        request: &CallerRequest,
        attempt: AttemptId,
        refusal: Refusal,
    ) {
        self.record_outcome(request, attempt, ClaimOutcome::Failed(refusal))
            .await;
    }

    async fn record_outcome(
        &self,
        request: &CallerRequest,
        attempt: AttemptId,
        outcome: ClaimOutcome,
    ) {
        let key = key_of(request);
        let body = PeerRequestBody::CompleteClaim {
            key: key.clone(),
            attempt,
            outcome,
        };
        self.record(&key, body).await;
    }

    /// Hands a record to the partition's owner until it is in the log.
    async fn record(&self, key: &IdempotencyKey, body: PeerRequestBody) {
        let mut backoff = Backoff::new(BackoffSettings::default(), self.context.next_seed());
        for _ in 0..RECORD_TRIES {
            let by = Instant::now() + RECORD_PATIENCE;
            let answer = self.call_decider(key, body.clone(), by).await;
            if matches!(answer, Some(PeerResponseBody::Done)) {
                return;
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
        log::warn!(key = key.as_str(); "claim record given up");
    }
}

fn call_timeout(by: Instant) -> Duration {
    by.saturating_duration_since(Instant::now())
        .min(CALL_TIMEOUT)
}

fn answered(outcome: ClaimOutcome) -> Result<Claimed, Refusal> {
    match outcome {
        ClaimOutcome::Answer(answer) => Ok(Claimed::Answered(answer)),
        ClaimOutcome::Failed(refusal) => Err(refusal),
    }
}
