//! Runs one sample from its start to its commit: executions that resume each other, scoring, and
//! the record in the job's stream.

use std::sync::Arc;
use std::time::Duration;

use havenstage_ledger::staleness::StalenessBound;
use havenstage_placement::retry::{Backoff, BackoffSettings};
use havenstage_platform::scorer::ScoreRequest;
use havenstage_types::decision::Decision;
use havenstage_types::ids::{AttemptId, LogOffset, PoolName, SampleId, VersionNumber};
use havenstage_types::job::{DropReason, JobRecord, Sample, SampleDrop};
use havenstage_types::resource::PriorityClass;
use tokio::sync::watch;
use tokio::time::Instant;

use super::owner::OwnedJob;
use crate::context::NodeContext;
use crate::executor::progress::Progress;
use crate::executor::running::{RunningAttempts, StopCause};
use crate::executor::work::Work;
use crate::executor::{ExecutionFailure, Executor};
use crate::locks::lock;

/// Longest time one execution of a sample may take.
const EXECUTION_DEADLINE: Duration = Duration::from_secs(30 * 60);

/// A sample to be run.
pub(super) struct SampleTask {
    pub(super) id: SampleId,
    pub(super) prompt_index: u32,
    pub(super) prompt: String,
    pub(super) pool: PoolName,
    pub(super) max_tokens: u32,
    pub(super) bound: StalenessBound,
    pub(super) straggler: bool,
}

/// Runs samples of one job.
pub(super) struct SampleRunner {
    context: Arc<NodeContext>,
    executor: Arc<Executor>,
    running: Arc<RunningAttempts>,
    owned: Arc<OwnedJob>,
}

impl SampleRunner {
    pub(super) fn new(
        context: Arc<NodeContext>,
        executor: Arc<Executor>,
        running: Arc<RunningAttempts>,
        owned: Arc<OwnedJob>,
    ) -> Self {
        Self {
            context,
            executor,
            running,
            owned,
        }
    }

    /// Runs the sample until its slot is filled, by it or by another.
    pub(super) async fn run(self, task: SampleTask) {
        let (attempt, progress) = self.generate(&task).await;
        let length = u32::try_from(progress.tokens.len()).unwrap_or(u32::MAX);
        lock(&self.owned.lengths).observe(task.prompt_index, length);
        if let Some(reward) = self.score(&task, &progress).await {
            self.commit(&task, attempt, progress, reward).await;
        }
        lock(&self.owned.active).remove(&task.id);
        self.owned.slot_freed.notify_one();
    }

    /// Runs executions until one ends with a whole sample.
    async fn generate(&self, task: &SampleTask) -> (AttemptId, Progress) {
        let mut backoff = Backoff::new(BackoffSettings::default(), self.context.next_seed());
        let mut progress = Progress::default();
        loop {
            let attempt = self.context.next_attempt();
            self.restart_if_stale(task, attempt, &mut progress);
            let work = self.work(task);
            let executed = self.execute(task, &work, attempt, &mut progress).await;
            match executed {
                Ok(()) => return (attempt, progress),
                Err(failure) => self.note_failure(task, attempt, &progress, &failure),
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }

    /// One execution, stopped as soon as its tokens fall behind the bound.
    async fn execute(
        &self,
        task: &SampleTask,
        work: &Work,
        attempt: AttemptId,
        progress: &mut Progress,
    ) -> Result<(), ExecutionFailure> {
        let (oldest, watched) = watch::channel(progress.segments.oldest());
        let watcher = watch_staleness(
            self.running.clone(),
            attempt,
            task.bound,
            watched,
            self.owned.newest.subscribe(),
        );
        let watcher = self.context.environment.spawner.spawn(watcher);
        let mut on_chunk = |chunk: &havenstage_types::engine::TokenChunk| {
            oldest.send_if_modified(|known| {
                let lower = known.is_none_or(|known| chunk.version < known);
                if lower {
                    *known = Some(chunk.version);
                }
                lower
            });
        };
        let result = self
            .executor
            .run(work, attempt, progress, &mut on_chunk)
            .await;
        watcher.abort();
        result
    }

    fn work(&self, task: &SampleTask) -> Work {
        let newest = *self.owned.newest.borrow();
        Work {
            subject: task.id.to_string(),
            pool: task.pool.clone(),
            prompt: task.prompt.clone(),
            max_tokens: task.max_tokens,
            class: PriorityClass::Training,
            deadline: Instant::now() + EXECUTION_DEADLINE,
            queue_patience: Duration::from_millis(self.context.settings.training_patience_ms),
            oldest_version: newest.map(|newest| task.bound.oldest_allowed(newest)),
            straggler: task.straggler,
        }
    }

    /// Tokens behind the bound cannot be used any more: the sample starts over.
    fn restart_if_stale(&self, task: &SampleTask, attempt: AttemptId, progress: &mut Progress) {
        let (Some(oldest), Some(newest)) =
            (progress.segments.oldest(), *self.owned.newest.borrow())
        else {
            return;
        };
        if task.bound.is_too_stale(oldest, newest) {
            let reason = DropReason::TooStale { oldest, newest };
            self.record_drop(task, attempt, progress, reason);
            *progress = Progress::default();
        }
    }

    fn note_failure(
        &self,
        task: &SampleTask,
        attempt: AttemptId,
        progress: &Progress,
        failure: &ExecutionFailure,
    ) {
        let kept_tokens = u32::try_from(progress.tokens.len()).unwrap_or(u32::MAX);
        let decision = match failure.stopped {
            Some(StopCause::Preempted) => Decision::Preempted {
                attempt,
                kept_tokens,
            },
            Some(StopCause::TooStale) => return,
            None => Decision::Refused(failure.refusal.clone()),
        };
        self.context.decide(task.id.to_string(), decision);
    }

    fn record_drop(
        &self,
        task: &SampleTask,
        attempt: AttemptId,
        progress: &Progress,
        reason: DropReason,
    ) {
        let decision = Decision::Dropped {
            attempt,
            reason: reason.clone(),
        };
        self.context.decide(task.id.to_string(), decision);
        let record = JobRecord::SampleDropped(SampleDrop {
            id: task.id.clone(),
            attempt,
            reason,
            wasted_tokens: u32::try_from(progress.tokens.len()).unwrap_or(u32::MAX),
        });
        let committer = self.owned.committer.clone();
        self.context
            .environment
            .spawner
            .spawn(async move { committer.append(&record).await });
    }

    async fn score(&self, task: &SampleTask, progress: &Progress) -> Option<f64> {
        let mut backoff = Backoff::new(BackoffSettings::default(), self.context.next_seed());
        loop {
            let request = ScoreRequest {
                sample: task.id.clone(),
                prompt: task.prompt.clone(),
                text: progress.text.clone(),
            };
            match self.context.environment.scorer.score(request).await {
                Ok(reward) => return Some(reward),
                Err(error) => log::debug!(sample:% = task.id; "not scored yet: {error}"),
            }
            if !self.is_slot_open(&task.id) {
                return None;
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }

    async fn commit(&self, task: &SampleTask, attempt: AttemptId, progress: Progress, reward: f64) {
        let Some(placement) = progress.placement else {
            return;
        };
        let sample = Sample {
            id: task.id.clone(),
            attempt,
            prompt_index: task.prompt_index,
            text: progress.text,
            tokens: progress.tokens,
            log_probabilities: progress.log_probabilities,
            reward,
            segments: progress.segments,
            placement,
        };
        let record = JobRecord::SampleCommitted(Box::new(sample));
        let Some(offset) = self.owned.committer.append(&record).await else {
            return;
        };
        let follower = &self.owned.followed.follower;
        follower.reached(LogOffset(offset.0 + 1)).await;
        if !self.is_slot_open(&task.id) {
            let subject = task.id.to_string();
            self.context
                .decide(subject, Decision::Committed { attempt });
        }
    }

    fn is_slot_open(&self, id: &SampleId) -> bool {
        self.owned.followed.follower.with(|fold| {
            fold.ledger
                .open_slots()
                .any(|slot| slot.step == id.step && slot.index == id.index)
        })
    }
}

/// Stops an execution once a token of it is older than the bound allows.
async fn watch_staleness(
    running: Arc<RunningAttempts>,
    attempt: AttemptId,
    bound: StalenessBound,
    mut oldest: watch::Receiver<Option<VersionNumber>>,
    mut newest: watch::Receiver<Option<VersionNumber>>,
) {
    loop {
        let versions = (*oldest.borrow_and_update(), *newest.borrow_and_update());
        if let (Some(oldest), Some(newest)) = versions
            && bound.is_too_stale(oldest, newest)
        {
            running.stop(attempt, StopCause::TooStale);
            return;
        }
        tokio::select! {
            biased;
            changed = oldest.changed() => if changed.is_err() { return },
            changed = newest.changed() => if changed.is_err() { return },
        }
    }
}
