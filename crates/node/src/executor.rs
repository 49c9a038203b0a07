//! Runs one execution of live or training work: places it, asks the engine's home for a permit,
//! dispatches, follows the stream and gives the permit back.

mod held_permit;
mod placement;
pub(crate) mod progress;
pub(crate) mod running;
pub(crate) mod work;

use std::sync::Arc;
use std::time::Duration;

use futures::{FutureExt, StreamExt};
use havenstage_edge::engine::{ChunkStream, EngineError};
use havenstage_types::decision::{CandidateScore, Decision};
use havenstage_types::engine::{EngineEndpoint, GenerateRequest, TokenChunk};
use havenstage_types::ids::{AttemptId, EngineName, NodeId};
use havenstage_types::job::Placement;
use havenstage_types::peer::{
    AdmitRequest, PeerFailure, PeerRequestBody, PeerResponseBody, Permit, ReleaseReason,
};
use havenstage_types::refusal::{Execution, Refusal, RefusalReason};
use havenstage_types::resource::{EngineDesiredState, PolicyName};
use tokio::time::{Instant, timeout_at};

use crate::context::{CallError, NodeContext};
use crate::homes::Homes;
use crate::mechanisms::Mechanisms;
use held_permit::HeldPermit;
use placement::Placer;
pub(crate) use placement::live_engines_of;
use progress::Progress;
use running::{RunningAttempts, StopCause};
use work::Work;

/// Wait suggested to a caller whose refusal came without one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time an engine has to end a stream after its last chunk, before the connection is given up.
const REST_PATIENCE: Duration = Duration::from_secs(1);

/// Runs work on engines.
pub(crate) struct Executor {
    context: Arc<NodeContext>,
    homes: Arc<Homes>,
    running: Arc<RunningAttempts>,
    placer: Placer,
}

/// How an execution ended without a whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ExecutionFailure {
    /// Why, and whether this execution ran.
    pub(crate) refusal: Refusal,
    /// What stopped it, when it was stopped from this side.
    pub(crate) stopped: Option<StopCause>,
}

/// A permit together with what is needed to use it.
struct Admitted {
    permit: Permit,
    held: HeldPermit,
    asked_at: Instant,
    candidates: Vec<CandidateScore>,
    policy: PolicyName,
}

impl Executor {
    pub(crate) fn new(
        context: Arc<NodeContext>,
        homes: Arc<Homes>,
        running: Arc<RunningAttempts>,
    ) -> Arc<Self> {
        let placer = Placer::new(context.clone());
        Arc::new(Self {
            context,
            homes,
            running,
            placer,
        })
    }

    /// Runs one execution under `attempt`. Chunks are added to `progress` and then shown to
    /// `on_chunk`.
    pub(crate) async fn run(
        &self,
        work: &Work,
        attempt: AttemptId,
        progress: &mut Progress,
        on_chunk: &mut (dyn FnMut(&TokenChunk) + Send),
    ) -> Result<(), ExecutionFailure> {
        let admitted = timeout_at(work.deadline, self.admit(work, attempt, progress))
            .await
            .unwrap_or_else(|_elapsed| Err(not_run(RefusalReason::DeadlineExceeded)))?;
        self.dispatch(work, attempt, admitted, progress, on_chunk)
            .await
    }

    /// Asks the candidates' homes in turn. All but the last pass are asked without patience, so
    /// that a full engine does not hold up work that another could start at once.
    async fn admit(
        &self,
        work: &Work,
        attempt: AttemptId,
        progress: &Progress,
    ) -> Result<Admitted, ExecutionFailure> {
        self.context.check_dispatch().map_err(not_run)?;
        let (policy, candidates) = self.placer.candidates(work)?;
        let mut refusal = not_run(RefusalReason::NoEngine(work.pool.clone()));
        for patience in [Duration::ZERO, work.patience()] {
            for candidate in &candidates {
                let ask = AdmitRequest {
                    attempt,
                    engine: candidate.engine.clone(),
                    class: work.class,
                    context_tokens: work.context_tokens(progress),
                    max_new_tokens: work.remaining_tokens(progress),
                    oldest_version: work.oldest_version,
                    patience,
                };
                match self.ask_home(ask).await {
                    Ok((permit, held, asked_at)) => {
                        return Ok(Admitted {
                            permit,
                            held,
                            asked_at,
                            candidates,
                            policy,
                        });
                    }
                    Err(failure) => refusal = failure,
                }
            }
            if work.patience().is_zero() {
                break;
            }
        }
        Err(refusal)
    }

    async fn ask_home(
        &self,
        ask: AdmitRequest,
    ) -> Result<(Permit, HeldPermit, Instant), ExecutionFailure> {
        let asked_at = Instant::now();
        let home = self
            .placer
            .home_of(&ask.engine)
            .ok_or_else(|| not_run(RefusalReason::PeerUnreachable))?;
        let engine = ask.engine.clone();
        let held = HeldPermit::new(
            self.context.clone(),
            self.homes.clone(),
            home,
            ask.attempt,
            engine.clone(),
        );
        let answer = self.call_home(home, ask).await;
        match answer {
            Ok(PeerResponseBody::Admitted(permit)) => {
                self.placer.learn(&engine, permit.load);
                Ok((permit, held, asked_at))
            }
            Ok(PeerResponseBody::Refused { refusal, load }) => {
                self.placer.learn(&engine, load);
                held.refused();
                Err(ExecutionFailure {
                    refusal,
                    stopped: None,
                })
            }
            Ok(PeerResponseBody::Failed(PeerFailure::NotOwner)) => {
                Err(not_run(RefusalReason::PeerUnreachable))
            }
            // The home may have granted the permit although its answer was lost: `held` gives it
            // back.
            Ok(_) | Err(_) => Err(not_run(RefusalReason::PeerUnreachable)),
        }
    }

    async fn call_home(
        &self,
        home: NodeId,
        ask: AdmitRequest,
    ) -> Result<PeerResponseBody, CallError> {
        if home == self.context.node_id() {
            return Ok(self.homes.admit(ask).await);
        }
        let timeout = ask.patience + self.context.settings.peer_timeout();
        self.context
            .call_within(home, PeerRequestBody::Admit(ask), timeout)
            .await
    }

    async fn dispatch(
        &self,
        work: &Work,
        attempt: AttemptId,
        mut admitted: Admitted,
        progress: &mut Progress,
        on_chunk: &mut (dyn FnMut(&TokenChunk) + Send),
    ) -> Result<(), ExecutionFailure> {
        let endpoint = self.check_before_dispatch(work, attempt, &admitted)?;
        self.record_placement(work, attempt, &admitted);
        let request = GenerateRequest {
            attempt,
            subject: work.subject.clone(),
            prompt: work.prompt.clone(),
            resume_tokens: progress.tokens.clone(),
            max_tokens: work.max_tokens,
            class: work.class,
        };
        let stop = self.running.start(attempt);
        admitted.held.sent_to(endpoint.clone());
        let generate = self
            .context
            .environment
            .engines
            .generate(&endpoint, request);
        let result = tokio::select! {
            biased;
            cause = stop.stopped() => Err(stopped_failure(cause)),
            () = tokio::time::sleep_until(work.deadline) => {
                Err(ran(RefusalReason::DeadlineExceeded))
            }
            followed = async {
                let stream = generate
                    .await
                    .map_err(|error| self.start_failure(&endpoint.name, &error))?;
                progress.placement = Some(Placement {
                    engine: endpoint.name.clone(),
                    policy: admitted.policy,
                    node: self.context.node_id(),
                });
                let mechanisms = self.context.mechanisms;
                let rest =
                    follow(&endpoint.name, stream, mechanisms, progress, on_chunk).await?;
                self.read_to_end(rest);
                Ok(())
            } => followed,
        };
        settle(&mut admitted.held, &result, progress);
        result
    }

    /// Checked again right before the request leaves: the process may have been frozen since the
    /// permit was asked for.
    fn check_before_dispatch(
        &self,
        work: &Work,
        attempt: AttemptId,
        admitted: &Admitted,
    ) -> Result<EngineEndpoint, ExecutionFailure> {
        self.context.check_dispatch().map_err(not_run)?;
        let engine = &admitted.permit.engine;
        let expired = admitted.asked_at.elapsed() > admitted.permit.dispatch_within;
        let state = self.context.state();
        let spec = state
            .engine(engine)
            .filter(|spec| spec.desired_state == EngineDesiredState::Active)
            .ok_or_else(|| not_run(RefusalReason::EngineDraining(engine.clone())))?;
        // A node that was declared dead has lost its permits together with its old identity.
        let identity_lost = attempt.node != self.context.node_id();
        if expired || identity_lost {
            return Err(not_run(RefusalReason::Overloaded(work.pool.clone())));
        }
        if work.is_too_late() {
            return Err(not_run(RefusalReason::DeadlineExceeded));
        }
        Ok(EngineEndpoint {
            name: engine.clone(),
            address: spec.address,
        })
    }

    /// Only a connection that was refused, or the engine's own word, proves that nothing ran.
    fn start_failure(&self, engine: &EngineName, error: &EngineError) -> ExecutionFailure {
        let reason = RefusalReason::EngineFailed(engine.clone());
        match error {
            EngineError::NotSent => not_run(RefusalReason::EngineUnreachable(engine.clone())),
            EngineError::Rejected => not_run(RefusalReason::EngineDraining(engine.clone())),
            EngineError::Broken | EngineError::Fenced { .. } | EngineError::Malformed => {
                if !self.context.mechanisms.doubt_is_told {
                    return not_run(reason);
                }
                ExecutionFailure {
                    refusal: Refusal::unknown(reason),
                    stopped: None,
                }
            }
        }
    }

    /// Reads what follows the last chunk, the stream's end mark, without holding up the answer. A
    /// connection that is dropped before its end cannot be used again.
    fn read_to_end(&self, mut rest: ChunkStream) {
        if rest.next().now_or_never().is_some() {
            return;
        }
        self.context
            .environment
            .spawner
            .spawn(tokio::time::timeout(REST_PATIENCE, async move {
                while rest.next().await.is_some() {}
            }));
    }

    fn record_placement(&self, work: &Work, attempt: AttemptId, admitted: &Admitted) {
        self.context.decide(
            work.subject.as_str(),
            Decision::Placed {
                attempt,
                policy: admitted.policy,
                class: work.class,
                candidates: admitted.candidates.clone(),
                chosen: admitted.permit.engine.clone(),
                version: admitted.permit.version,
                queued_ms: admitted.permit.queued_ms,
            },
        );
    }
}

/// Reads the stream to its last chunk, and answers what follows that.
async fn follow(
    engine: &EngineName,
    mut stream: ChunkStream,
    mechanisms: Mechanisms,
    progress: &mut Progress,
    on_chunk: &mut (dyn FnMut(&TokenChunk) + Send),
) -> Result<ChunkStream, ExecutionFailure> {
    while let Some(Ok(mut chunk)) = stream.next().await {
        if !mechanisms.version_of_every_chunk {
            chunk.version = progress.first_version().unwrap_or(chunk.version);
        }
        progress.add(&chunk);
        on_chunk(&chunk);
        if progress.finish.is_some() {
            return Ok(stream);
        }
    }
    // The stream broke, or ended without its last chunk.
    if !mechanisms.finishing_chunk {
        return Ok(stream);
    }
    Err(ran(RefusalReason::EngineFailed(engine.clone())))
}

fn not_run(reason: RefusalReason) -> ExecutionFailure {
    ExecutionFailure {
        refusal: Refusal::not_run(reason, Some(DEFAULT_RETRY_AFTER)),
        stopped: None,
    }
}

fn ran(reason: RefusalReason) -> ExecutionFailure {
    ExecutionFailure {
        refusal: Refusal {
            reason,
            execution: Execution::Ran,
            retry_after: Some(DEFAULT_RETRY_AFTER),
        },
        stopped: None,
    }
}

fn stopped_failure(cause: StopCause) -> ExecutionFailure {
    ExecutionFailure {
        stopped: Some(cause),
        ..ran(RefusalReason::Preempted)
    }
}

/// Tells the permit how its execution ended.
fn settle(held: &mut HeldPermit, result: &Result<(), ExecutionFailure>, progress: &Progress) {
    let Err(failure) = result else {
        held.finished(progress.token_count());
        return;
    };
    if failure.refusal.execution == Execution::NotRun {
        held.ended();
    }
    match failure.refusal.reason {
        RefusalReason::EngineUnreachable(_) => held.set_reason(ReleaseReason::EngineUnreachable),
        RefusalReason::EngineFailed(_) => held.set_reason(ReleaseReason::EngineFailed),
        _ => {}
    }
}
