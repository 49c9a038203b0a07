//! Serves callers: checks limits, runs the request, resumes it elsewhere when an engine breaks off,
//! and streams the whole answer.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use havenstage_placement::limits::InFlightLimiter;
use havenstage_placement::retry::{Backoff, BackoffSettings, RetryBudget, RetryBudgetSettings};
use havenstage_types::decision::Decision;
use havenstage_types::engine::TokenChunk;
use havenstage_types::ids::{AttemptId, CallerName};
use havenstage_types::refusal::{Execution, Refusal, RefusalReason};
use havenstage_types::request::{
    AnswerEvent, AnswerSummary, CallerRequest, FinishReason, Repeatability, WholeAnswer,
};
use havenstage_types::resource::PriorityClass;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::at_most_once::{AtMostOnce, Claimed};
use crate::context::NodeContext;
use crate::executor::progress::Progress;
use crate::executor::work::Work;
use crate::executor::{ExecutionFailure, Executor};
use crate::kept_answers;
use crate::locks::lock;
use crate::node::AnswerStream;

/// Events beyond one for each token that an answer may have.
const EXTRA_EVENTS: usize = 8;

/// Wait suggested to a caller of a node that is stopping; another node serves it at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Serves live requests.
pub(crate) struct LiveService {
    context: Arc<NodeContext>,
    executor: Arc<Executor>,
    at_most_once: Arc<AtMostOnce>,
    limiter: Mutex<InFlightLimiter>,
    retry_budget: Mutex<RetryBudget>,
}

/// The caller's end of a running request.
pub(crate) struct AnswerSender {
    started: Option<oneshot::Sender<Result<(), Refusal>>>,
    events: mpsc::Sender<Result<AnswerEvent, Refusal>>,
}

impl AnswerSender {
    /// Sends an event; `false` when the caller has gone.
    pub(crate) fn send(&mut self, event: AnswerEvent) -> bool {
        if let Some(started) = self.started.take() {
            let _ = started.send(Ok(()));
        }
        // The channel holds more events than an answer can have, so it is never full.
        self.events.try_send(Ok(event)).is_ok()
    }

    /// Whether the caller still listens.
    fn is_open(&self) -> bool {
        !self.events.is_closed()
    }

    /// Ends the answer with a refusal: as the request's result if nothing was sent yet, else in
    /// the stream.
    pub(crate) fn refuse(mut self, refusal: Refusal) {
        match self.started.take() {
            Some(started) => {
                let _ = started.send(Err(refusal));
            }
            None => {
                let _ = self.events.try_send(Err(refusal));
            }
        }
    }

    /// Sends a kept answer as a whole.
    pub(crate) fn replay(mut self, answer: WholeAnswer) {
        self.send(AnswerEvent::Text {
            token_count: answer.summary.segments.token_count(),
            text: answer.text,
        });
        self.send(AnswerEvent::Finished(answer.summary));
    }
}

impl LiveService {
    pub(crate) fn new(
        context: Arc<NodeContext>,
        executor: Arc<Executor>,
        at_most_once: Arc<AtMostOnce>,
    ) -> Arc<Self> {
        Arc::new(Self {
            context,
            executor,
            at_most_once,
            limiter: Mutex::new(InFlightLimiter::default()),
            retry_budget: Mutex::new(RetryBudget::new(RetryBudgetSettings::default())),
        })
    }

    /// Starts a request and returns once its first event or its refusal is there.
    pub(crate) async fn complete(
        self: &Arc<Self>,
        request: CallerRequest,
    ) -> Result<AnswerStream, Refusal> {
        let subject = request.id.0.clone();
        let result = self.start(request).await;
        if let Err(refusal) = &result {
            self.context
                .decide(subject, Decision::Refused(refusal.clone()));
        }
        result
    }

    async fn start(self: &Arc<Self>, mut request: CallerRequest) -> Result<AnswerStream, Refusal> {
        if self.context.lifecycle.is_stopping() {
            let reason = RefusalReason::Stopping;
            return Err(Refusal::not_run(reason, Some(STOPPING_RETRY_AFTER)));
        }
        self.check_configuration(&mut request)?;
        let caller = request.caller.clone();
        self.start_counting(&caller)?;
        let capacity = request.max_tokens as usize + EXTRA_EVENTS;
        let (events, stream) = mpsc::channel(capacity);
        let (started, first) = oneshot::channel();
        let sender = AnswerSender {
            started: Some(started),
            events,
        };
        let service = self.clone();
        // Counted from here on, whatever the claim or a look for a kept answer takes.
        let deadline = self.deadline(&request);
        let in_flight = self.context.lifecycle.track();
        self.context.environment.spawner.spawn(async move {
            service.run(request, deadline, sender).await;
            lock(&service.limiter).finish(&caller);
            drop(in_flight);
        });
        match first.await {
            Ok(started) => started.map(|()| stream),
            // The task ended without a word: the process is being killed.
            Err(_gone) => Err(Refusal::unknown(RefusalReason::Stopping)),
        }
    }

    /// Refuses what the configuration cannot serve and applies the caller's rule.
    fn check_configuration(&self, request: &mut CallerRequest) -> Result<(), Refusal> {
        let retry_after = Some(self.context.settings.log_wait());
        self.context
            .check_dispatch()
            .map_err(|reason| Refusal::not_run(reason, retry_after))?;
        let state = self.context.state();
        if state.pool(&request.pool).is_none() {
            let reason = RefusalReason::UnknownPool(request.pool.clone());
            return Err(Refusal::not_run(reason, None));
        }
        if let Some(rule) = state.rule_for(&request.caller) {
            request.class = rule.class;
        }
        if request.class == PriorityClass::Training {
            request.class = PriorityClass::Live;
        }
        Ok(())
    }

    fn start_counting(&self, caller: &CallerName) -> Result<(), Refusal> {
        let state = self.context.state();
        let limit = state
            .rule_for(caller)
            .and_then(|rule| rule.max_in_flight_per_node);
        lock(&self.limiter).try_start(caller, limit)
    }

    async fn run(&self, request: CallerRequest, deadline: Instant, sender: AnswerSender) {
        let work = work(&request, deadline);
        match request.repeatability {
            Repeatability::AtMostOnce => self.run_at_most_once(request, work, sender).await,
            Repeatability::Repeatable => self.run_repeatable(request, work, sender).await,
        }
    }

    async fn run_repeatable(&self, request: CallerRequest, work: Work, mut sender: AnswerSender) {
        if let Some(answer) = kept_answers::fetch(&self.context, &request).await {
            return sender.replay(answer);
        }
        let mut progress = Progress::default();
        // A caller that gave a key may come back for the answer, so it is finished without it.
        let abandonable = request.idempotency_key.is_none();
        let result = self
            .run_until_whole(&work, &mut progress, &mut sender, abandonable)
            .await;
        match result.map(|()| whole_answer(progress)) {
            Ok(Some(answer)) => {
                sender.send(AnswerEvent::Finished(answer.summary.clone()));
                kept_answers::keep(&self.context, &request, answer).await;
            }
            Ok(None) => sender.refuse(Refusal::unknown(RefusalReason::OutcomeUnknown)),
            Err(refusal) => self.give_up(&request, sender, refusal),
        }
    }

    /// Runs executions, each resuming the one before, until the answer is whole.
    async fn run_until_whole(
        &self,
        work: &Work,
        progress: &mut Progress,
        sender: &mut AnswerSender,
        abandonable: bool,
    ) -> Result<(), Refusal> {
        let mut backoff = Backoff::new(BackoffSettings::default(), self.context.next_seed());
        let mut ran = false;
        for _ in 0..self.context.settings.max_executions {
            let attempt = self.context.next_attempt();
            let mut listening = true;
            let mut on_chunk = |chunk: &TokenChunk| listening = forward(sender, chunk);
            let result = self
                .executor
                .run(work, attempt, progress, &mut on_chunk)
                .await;
            let Err(failure) = result else {
                lock(&self.retry_budget).record_success(self.context.now());
                return Ok(());
            };
            ran |= failure.refusal.execution != Execution::NotRun;
            let refusal = truthful(failure, ran);
            if !self.may_retry(work, &refusal) || (abandonable && !sender.is_open()) {
                return Err(refusal);
            }
            pause(backoff.next_delay(), work.deadline).await;
        }
        let reason = RefusalReason::Overloaded(work.pool.clone());
        Err(truthful_reason(reason, ran))
    }

    /// Whether another execution can help and the budget for retries allows it.
    fn may_retry(&self, work: &Work, refusal: &Refusal) -> bool {
        let can_help = matches!(
            refusal.reason,
            RefusalReason::EngineFailed(_)
                | RefusalReason::EngineUnreachable(_)
                | RefusalReason::EngineDraining(_)
                | RefusalReason::PeerUnreachable
                | RefusalReason::Preempted
        );
        can_help
            && Instant::now() < work.deadline
            && lock(&self.retry_budget).try_retry(self.context.now())
    }

    async fn run_at_most_once(&self, request: CallerRequest, work: Work, mut sender: AnswerSender) {
        let claimed = match self.at_most_once.claim(&request, work.deadline).await {
            Ok(claimed) => claimed,
            Err(refusal) => return self.give_up(&request, sender, refusal),
        };
        let grant = match claimed {
            Claimed::Granted(grant) => grant,
            Claimed::Answered(answer) => return sender.replay(answer),
        };
        let attempt = grant.attempt;
        match self.run_once(&work, attempt, &mut sender).await {
            Ok(answer) => {
                sender.send(AnswerEvent::Finished(answer.summary.clone()));
                self.at_most_once.completed(&request, attempt, answer).await;
            }
            Err(refusal) if refusal.execution == Execution::NotRun => {
                // This attempt never dispatched and never will, so the answer is final at once.
                self.at_most_once.abandon(&request, attempt);
                self.give_up(&request, sender, refusal);
            }
            Err(refusal) => {
                self.give_up(&request, sender, refusal.clone());
                self.at_most_once.failed(&request, attempt, refusal).await;
            }
        }
    }

    /// One execution. Only an execution that surely never began may be followed by another.
    async fn run_once(
        &self,
        work: &Work,
        attempt: AttemptId,
        sender: &mut AnswerSender,
    ) -> Result<WholeAnswer, Refusal> {
        let mut progress = Progress::default();
        let mut on_chunk = |chunk: &TokenChunk| {
            forward(sender, chunk);
        };
        let mut backoff = Backoff::new(BackoffSettings::default(), self.context.next_seed());
        loop {
            let result = self
                .executor
                .run(work, attempt, &mut progress, &mut on_chunk)
                .await;
            let Err(failure) = result else {
                let unknown = || Refusal::unknown(RefusalReason::OutcomeUnknown);
                return whole_answer(progress).ok_or_else(unknown);
            };
            let refusal = failure.refusal;
            if refusal.execution != Execution::NotRun || !self.may_retry(work, &refusal) {
                return Err(refusal);
            }
            pause(backoff.next_delay(), work.deadline).await;
        }
    }

    fn give_up(&self, request: &CallerRequest, sender: AnswerSender, refusal: Refusal) {
        if sender.started.is_none() {
            let decision = Decision::Refused(refusal.clone());
            self.context.decide(request.id.as_str(), decision);
        }
        sender.refuse(refusal);
    }

    fn deadline(&self, request: &CallerRequest) -> Instant {
        let default = Duration::from_millis(self.context.settings.default_deadline_ms);
        Instant::now() + request.deadline.unwrap_or(default)
    }
}

fn work(request: &CallerRequest, deadline: Instant) -> Work {
    Work {
        subject: request.id.0.clone(),
        pool: request.pool.clone(),
        prompt: request.prompt.clone(),
        max_tokens: request.max_tokens,
        class: request.class,
        deadline,
        queue_patience: deadline.saturating_duration_since(Instant::now()),
        oldest_version: None,
        straggler: false,
    }
}

/// Waits before another try, but not beyond the deadline.
async fn pause(delay: Duration, deadline: Instant) {
    tokio::time::sleep_until(deadline.min(Instant::now() + delay)).await;
}

fn forward(sender: &mut AnswerSender, chunk: &TokenChunk) -> bool {
    if chunk.tokens.is_empty() {
        return sender.is_open();
    }
    sender.send(AnswerEvent::Text {
        text: chunk.text.clone(),
        token_count: u32::try_from(chunk.tokens.len()).unwrap_or(u32::MAX),
    })
}

/// The refusal of the whole request: it ran if any of its executions did.
fn truthful(failure: ExecutionFailure, ran: bool) -> Refusal {
    let refusal = failure.refusal;
    if ran && refusal.execution == Execution::NotRun {
        return truthful_reason(refusal.reason, ran);
    }
    refusal
}

fn truthful_reason(reason: RefusalReason, ran: bool) -> Refusal {
    Refusal {
        reason,
        execution: if ran {
            Execution::Ran
        } else {
            Execution::NotRun
        },
        retry_after: Some(Duration::from_secs(1)),
    }
}

fn whole_answer(progress: Progress) -> Option<WholeAnswer> {
    let engine = progress.placement?.engine;
    Some(WholeAnswer {
        text: progress.text,
        summary: AnswerSummary {
            engine,
            segments: progress.segments,
            finish: progress.finish.unwrap_or(FinishReason::Stop),
            prompt_tokens: progress.prompt_tokens,
        },
    })
}
