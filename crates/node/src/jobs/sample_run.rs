//! One sample from its start to its record in the job's stream: executions that resume each other,
//! scoring, and the commit.

use std::sync::Arc;
use std::time::Duration;

use havenstage_edge::scorer::ScoreRequest;
use havenstage_ledger::staleness::StalenessBound;
use havenstage_placement::retry::{Backoff, BackoffSettings};
use havenstage_types::decision::Decision;
use havenstage_types::engine::TokenChunk;
use havenstage_types::ids::{AttemptId, VersionNumber};
use havenstage_types::job::{DropReason, JobRecord, Sample, SampleDrop};
use havenstage_types::peer::{SampleAssignment, SampleEnd, SampleProgress};
use havenstage_types::resource::PriorityClass;
use tokio::sync::watch;
use tokio::time::Instant;

use super::committer::Committer;
use crate::context::NodeContext;
use crate::executor::progress::Progress;
use crate::executor::running::{RunningAttempts, StopCause};
use crate::executor::work::Work;
use crate::executor::{ExecutionFailure, Executor};

/// Longest time one execution of a sample may take.
const EXECUTION_DEADLINE: Duration = Duration::from_secs(30 * 60);

/// The run of one sample.
pub(super) struct SampleRun {
    context: Arc<NodeContext>,
    executor: Arc<Executor>,
    running: Arc<RunningAttempts>,
    committer: Committer,
    assignment: SampleAssignment,
    subject: String,
    bound: StalenessBound,
    backoff: Backoff,
}

impl SampleRun {
    pub(super) fn new(
        context: Arc<NodeContext>,
        executor: Arc<Executor>,
        running: Arc<RunningAttempts>,
        committer: Committer,
        assignment: SampleAssignment,
    ) -> Self {
        let seed = context.next_seed();
        Self {
            backoff: Backoff::new(BackoffSettings::default(), seed),
            context,
            executor,
            running,
            committer,
            subject: assignment.id.to_string(),
            bound: StalenessBound(assignment.staleness_bound),
            assignment,
        }
    }

    /// Runs the sample until its record is in the job's stream, or until a planned stop.
    pub(super) async fn finish(mut self) -> SampleEnd {
        let mut progress = Progress::from(std::mem::take(&mut self.assignment.progress));
        let attempt = loop {
            if self.context.lifecycle.is_stopping() {
                return SampleEnd::Suspended(progress.into());
            }
            if !self.is_runnable() {
                return SampleEnd::NotRunnable;
            }
            let attempt = self.context.next_attempt();
            self.restart_if_stale(attempt, &mut progress);
            if self.execute(attempt, &mut progress).await {
                break attempt;
            }
        };
        let Some(reward) = self.score(&progress).await else {
            return SampleEnd::NotRunnable;
        };
        self.commit(attempt, progress, reward).await
    }

    fn is_runnable(&self) -> bool {
        let state = self.context.state();
        state.job(&self.assignment.id.job).is_some() && state.pool(&self.assignment.pool).is_some()
    }

    /// One execution; whether it ended with a whole sample.
    async fn execute(&mut self, attempt: AttemptId, progress: &mut Progress) -> bool {
        let tokens_before = progress.token_count();
        let work = self.work();
        let executed = tokio::select! {
            biased;
            () = self.context.lifecycle.stop_begun() => return false,
            executed = self.execute_watched(&work, attempt, progress) => executed,
        };
        let Err(failure) = executed else {
            return true;
        };
        self.note_failure(attempt, progress, &failure);
        if progress.token_count() > tokens_before {
            self.backoff.reset();
        }
        tokio::time::sleep(self.pause_after(&failure)).await;
        false
    }

    /// One execution, stopped as soon as its tokens fall behind the bound.
    async fn execute_watched(
        &self,
        work: &Work,
        attempt: AttemptId,
        progress: &mut Progress,
    ) -> Result<(), ExecutionFailure> {
        let (oldest, watched) = watch::channel(progress.segments.oldest());
        let mut on_chunk = |chunk: &TokenChunk| {
            oldest.send_if_modified(|known| {
                let lower = known.is_none_or(|known| chunk.version < known);
                if lower {
                    *known = Some(chunk.version);
                }
                lower
            });
        };
        let mut run = std::pin::pin!(self.executor.run(work, attempt, progress, &mut on_chunk));
        tokio::select! {
            biased;
            result = &mut run => return result,
            () = self.fell_behind(watched) => {}
        }
        self.running.stop(attempt, StopCause::TooStale);
        run.await
    }

    /// Returns when a token of the execution is older than the bound allows.
    async fn fell_behind(&self, mut oldest: watch::Receiver<Option<VersionNumber>>) {
        let mut config = self.context.config.subscribe();
        loop {
            config.borrow_and_update();
            let known = *oldest.borrow_and_update();
            if self.is_too_stale(known) {
                return;
            }
            tokio::select! {
                biased;
                changed = config.changed() => if changed.is_err() { break },
                changed = oldest.changed() => if changed.is_err() { break },
            }
        }
        std::future::pending().await
    }

    fn is_too_stale(&self, oldest: Option<VersionNumber>) -> bool {
        match (oldest, self.newest_version()) {
            (Some(oldest), Some(newest)) => self.bound.is_too_stale(oldest, newest),
            _ => false,
        }
    }

    fn newest_version(&self) -> Option<VersionNumber> {
        let state = self.context.state();
        let pool = state.pool(&self.assignment.pool)?;
        state
            .newest_version(&pool.model)
            .map(|version| version.number)
    }

    fn work(&self) -> Work {
        Work {
            subject: self.subject.clone(),
            pool: self.assignment.pool.clone(),
            prompt: self.assignment.prompt.clone(),
            max_tokens: self.assignment.max_tokens,
            class: PriorityClass::Training,
            deadline: Instant::now() + EXECUTION_DEADLINE,
            queue_patience: Duration::from_millis(self.context.settings.training_patience_ms),
            oldest_version: self
                .newest_version()
                .map(|newest| self.bound.oldest_allowed(newest)),
            straggler: self.assignment.straggler,
        }
    }

    /// Work that was stopped from here resumes at once; full or failing engines are given the more
    /// time the longer nothing comes of it.
    fn pause_after(&mut self, failure: &ExecutionFailure) -> Duration {
        if failure.stopped.is_some() {
            return Duration::ZERO;
        }
        self.backoff.next_delay()
    }

    /// Tokens behind the bound cannot be used any more: the sample starts over.
    fn restart_if_stale(&self, attempt: AttemptId, progress: &mut Progress) {
        let (Some(oldest), Some(newest)) = (progress.segments.oldest(), self.newest_version())
        else {
            return;
        };
        if !self.bound.is_too_stale(oldest, newest) {
            return;
        }
        let reason = DropReason::TooStale { oldest, newest };
        self.record_drop(attempt, progress, reason);
        *progress = Progress::default();
    }

    fn note_failure(&self, attempt: AttemptId, progress: &Progress, failure: &ExecutionFailure) {
        let decision = match failure.stopped {
            Some(StopCause::Preempted) => Decision::Preempted {
                attempt,
                kept_tokens: progress.token_count(),
            },
            Some(StopCause::TooStale) => return,
            None => Decision::Refused(failure.refusal.clone()),
        };
        self.context.decide(self.subject.as_str(), decision);
    }

    fn record_drop(&self, attempt: AttemptId, progress: &Progress, reason: DropReason) {
        let decision = Decision::Dropped {
            attempt,
            reason: reason.clone(),
        };
        self.context.decide(self.subject.as_str(), decision);
        let record = JobRecord::SampleDropped(SampleDrop {
            id: self.assignment.id.clone(),
            attempt,
            reason,
            wasted_tokens: progress.token_count(),
        });
        let committer = self.committer.clone();
        self.context
            .environment
            .spawner
            .spawn(async move { committer.append(&record).await });
    }

    /// Asks the scorer until it answers; `None` when the job is gone.
    async fn score(&self, progress: &Progress) -> Option<f64> {
        let mut backoff = Backoff::new(BackoffSettings::default(), self.context.next_seed());
        while self.is_runnable() {
            let request = ScoreRequest {
                sample: self.assignment.id.clone(),
                prompt: self.assignment.prompt.clone(),
                text: progress.text.clone(),
            };
            match self.context.environment.scorer.score(request).await {
                Ok(reward) => return Some(reward),
                Err(error) => {
                    log::debug!(sample = self.subject.as_str(); "not scored yet: {error}");
                }
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
        None
    }

    async fn commit(&self, attempt: AttemptId, progress: Progress, reward: f64) -> SampleEnd {
        let token_count = progress.token_count();
        let Some(placement) = progress.placement else {
            return SampleEnd::NotRunnable;
        };
        let sample = Sample {
            id: self.assignment.id.clone(),
            attempt,
            prompt_index: self.assignment.prompt_index,
            text: progress.text,
            tokens: progress.tokens,
            log_probabilities: progress.log_probabilities,
            reward,
            segments: progress.segments,
            placement,
        };
        let record = JobRecord::SampleCommitted(Box::new(sample));
        match self.committer.append(&record).await {
            Some(offset) => SampleEnd::Committed {
                offset,
                token_count,
            },
            None => SampleEnd::NotRunnable,
        }
    }
}

impl From<SampleProgress> for Progress {
    fn from(progress: SampleProgress) -> Self {
        Self {
            tokens: progress.tokens,
            log_probabilities: progress.log_probabilities,
            text: progress.text,
            segments: progress.segments,
            ..Self::default()
        }
    }
}

impl From<Progress> for SampleProgress {
    fn from(progress: Progress) -> Self {
        Self {
            tokens: progress.tokens,
            log_probabilities: progress.log_probabilities,
            text: progress.text,
            segments: progress.segments,
        }
    }
}
