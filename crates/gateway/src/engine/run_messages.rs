//! Handles the messages of runs and reward calls, and finishes items.

use havenstage_rollout::Millis;
use havenstage_rollout::circuit_breaker::CircuitBreaker;
use havenstage_rollout::ids::{BackendId, ModelName};
use havenstage_rollout::record::{BatchRecord, GiveUpReason, Outcome, OutputEvent};
use log::{info, warn};

use super::Engine;
use super::active_item::{AbortOnDrop, Phase};
use super::reward::{self, ScoreEnd};
use super::run::{ItemKey, RunEnd, RunMessage, RunUpdate};
use crate::metrics;

impl Engine {
    pub(super) fn handle_run_message(&mut self, message: RunMessage) {
        let Some(item) = self.items.get(&message.key) else {
            return;
        };
        if item.run != message.run {
            return;
        }
        match message.update {
            RunUpdate::Answered => self.record_answer_head(&message.key),
            RunUpdate::Event(event) => self.record_output_event(&message.key, event),
            RunUpdate::Ended(end) => self.handle_run_end(&message.key, &end),
            RunUpdate::Scored(end) => self.handle_score(&message.key, end),
        }
    }

    /// Records that the head of a response arrived: the run's silence is measured from here on. The circuit breaker
    /// learns nothing yet, since only an output event shows that the back end serves the item.
    fn record_answer_head(&mut self, key: &ItemKey) {
        let now = self.context.now();
        let phase = self.items.get_mut(key).map(|item| &mut item.phase);
        let Some(Phase::Running {
            backend,
            last_event,
            ..
        }) = phase
        else {
            return;
        };
        *last_event = Some(now);
        self.stalls.detector.record_event(backend, None, now);
    }

    fn record_output_event(&mut self, key: &ItemKey, event: OutputEvent) {
        let now = self.context.now();
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        item.add_event(event);
        let is_first = item.events == item.resumed_from + 1;
        let Phase::Running {
            backend,
            since,
            last_event,
            ..
        } = &mut item.phase
        else {
            return;
        };
        let previous_event = last_event.replace(now);
        let since_previous =
            previous_event.map(|previous_event| now.saturating_sub(previous_event));
        let gap_ms = since_previous.filter(|_| !is_first);
        let (backend, began) = (backend.clone(), *since);
        self.stalls.detector.record_event(&backend, gap_ms, now);
        if is_first {
            self.record_backend_answer(&backend, began);
        }
    }

    pub(super) fn handle_run_end(&mut self, key: &ItemKey, end: &RunEnd) {
        self.needs_plan = true;
        let now = self.context.now();
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        let Phase::Running { backend, since, .. } = &item.phase else {
            return;
        };
        let (backend, began) = (backend.clone(), *since);
        let took_ms = now - began;
        metrics::run_ended(end.name(), took_ms);
        info!(event = "run_ended", request = key.item.as_str(), batch = key.batch.as_str(),
            backend = backend.as_str(), outcome = end.name(), resumed_from = item.resumed_from,
            events = item.events, took_ms = took_ms; "");
        let made_progress = item.events > item.resumed_from;
        item.phase = Phase::Waiting;
        item.last_run_ended = Some(now);
        let partition = item.partition;
        if let Some(progress) = item.take_progress(key) {
            self.queue_record(partition, &progress);
        }
        self.record_backend_outcome(key, &backend, end, began, made_progress);
        self.update_backoff(key, end, made_progress);
        match end {
            RunEnd::Whole => {
                self.record_length(key);
                self.score_or_finish(key);
            }
            RunEnd::Impossible => self.give_up(key, GiveUpReason::Impossible),
            RunEnd::Failed => self.handle_run_failure(key),
            RunEnd::NotRun
            | RunEnd::Replaced
            | RunEnd::TooLate
            | RunEnd::Unreachable
            | RunEnd::Broken
            | RunEnd::Stalled
            | RunEnd::WrongVersion(_) => {}
        }
    }

    /// Sets the pause before the next run of an item. Back ends may have crashed under its runs for reasons of their own, so
    /// it is never given up for that.
    fn update_backoff(&mut self, key: &ItemKey, end: &RunEnd, made_progress: bool) {
        let now = self.context.now();
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        if made_progress || *end == RunEnd::Whole {
            item.backoff.record_progress();
        } else if *end == RunEnd::Broken {
            item.backoff.record_failure();
        }
        let pause_ms = item.backoff.pause_ms();
        if *end == RunEnd::Broken && pause_ms > 0 {
            item.paused_until = now + pause_ms;
            info!(event = "item_paused", request = key.item.as_str(), batch = key.batch.as_str(),
                pause_ms = pause_ms, broken_runs = item.backoff.failures(); "");
        }
    }

    pub(super) fn record_backend_outcome(
        &mut self,
        key: &ItemKey,
        backend: &BackendId,
        end: &RunEnd,
        began: Millis,
        made_progress: bool,
    ) {
        let now = self.context.now();
        match end {
            RunEnd::Whole | RunEnd::Failed | RunEnd::Impossible => {
                self.record_backend_answer(backend, began);
            }
            RunEnd::NotRun => {
                self.record_backend_answer(backend, began);
                self.breaker(backend).record_rejection(now);
            }
            // The answer is another back end's, so it says nothing about the breaker of this one.
            RunEnd::Replaced => self.context.backends.record_replaced(backend, now),
            RunEnd::WrongVersion(version) => {
                self.record_backend_answer(backend, began);
                if let Some(model) = self.model_of(key) {
                    self.context
                        .backends
                        .lock()
                        .record_version(backend, &model, *version);
                    self.context.control_changed.notify_one();
                }
            }
            // A run that is too late says nothing about the back end. For a stalled run the failure was recorded
            // when the run was told to end.
            RunEnd::TooLate | RunEnd::Stalled => {}
            RunEnd::Broken if made_progress => {
                let open_ms = self.breaker(backend).record_cut_short(now);
                log_breaker_opened(backend, end.name(), open_ms);
            }
            RunEnd::Broken | RunEnd::Unreachable => {
                if *end == RunEnd::Unreachable {
                    self.stalls.detector.record_connect_failure(backend, now);
                }
                self.record_backend_failure(backend, end.name(), began);
            }
        }
    }

    /// Records a failure of a back end: a run that began at `began` failed without progress, or the back end is
    /// silent now.
    pub(super) fn record_backend_failure(
        &mut self,
        backend: &BackendId,
        cause: &'static str,
        began: Millis,
    ) {
        let now = self.context.now();
        let open_ms = self.breaker(backend).record_failure(began, now);
        log_breaker_opened(backend, cause, open_ms);
    }

    fn breaker(&mut self, backend: &BackendId) -> &mut CircuitBreaker {
        self.breakers.entry(backend.clone()).or_default()
    }

    fn record_backend_answer(&mut self, backend: &BackendId, began: Millis) {
        let Some(breaker) = self.breakers.get_mut(backend) else {
            return;
        };
        if breaker.record_answer(began) {
            info!(event = "breaker_closed", backend = backend.as_str(); "");
        }
    }

    pub(super) fn model_of(&self, key: &ItemKey) -> Option<ModelName> {
        let inner = self.context.partition_of(&key.batch).lock();
        inner.state.batch(&key.batch)?.model.clone()
    }

    pub(super) fn handle_run_failure(&mut self, key: &ItemKey) {
        let attempts = self.attempts_of(key);
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        item.failures += 1;
        if item.failures >= attempts {
            self.give_up(key, GiveUpReason::AttemptsUsed);
        }
    }

    pub(super) fn attempts_of(&self, key: &ItemKey) -> u32 {
        let inner = self.context.partition_of(&key.batch).lock();
        let batch = inner.state.batch(&key.batch);
        let routes = self.context.routes();
        let route = batch.zip(routes.as_ref()).and_then(|(batch, table)| {
            table
                .batch_route(&batch.host, &batch.path)
                .map(|route| route.attempts)
        });
        route.unwrap_or(1).max(1)
    }

    pub(super) fn score_or_finish(&mut self, key: &ItemKey) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        match item.spec.reward.clone() {
            None => self.finish(key, Outcome::Completed { score: None }),
            Some(reward) => {
                let task = tokio::spawn(reward::score(
                    self.context.clone(),
                    key.clone(),
                    item.run,
                    reward,
                    self.run_message_sender.clone(),
                ));
                item.phase = Phase::Scoring {
                    _task: AbortOnDrop(task.abort_handle()),
                };
            }
        }
    }

    pub(super) fn handle_score(&mut self, key: &ItemKey, end: ScoreEnd) {
        match end {
            ScoreEnd::Score(score) => {
                self.finish(key, Outcome::Completed { score: Some(score) });
            }
            ScoreEnd::AttemptsUsed => self.give_up(key, GiveUpReason::AttemptsUsed),
        }
    }

    pub(super) fn give_up(&mut self, key: &ItemKey, reason: GiveUpReason) {
        let reward = self
            .items
            .get(key)
            .and_then(|item| item.spec.reward.as_ref());
        warn!(event = "item_given_up", request = key.item.as_str(), batch = key.batch.as_str(),
            reason = format!("{reason:?}").as_str(),
            reward_call = reward.map_or("", |reward| reward.id.as_str()); "");
        self.finish(key, Outcome::GivenUp(reason));
    }

    pub(super) fn finish(&mut self, key: &ItemKey, outcome: Outcome) {
        self.needs_plan = true;
        let now = self.context.now();
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        item.phase = Phase::Finishing { since: now };
        let partition = item.partition;
        let outcome_name = match &outcome {
            Outcome::Completed { .. } => "completed",
            Outcome::GivenUp(_) => "given_up",
        };
        info!(event = "item_finished", request = key.item.as_str(), batch = key.batch.as_str(),
            outcome = outcome_name, events = item.events, took_ms = now - item.since; "");
        let progress = item.take_progress(key);
        let record = BatchRecord::Finished {
            batch: key.batch.clone(),
            item: key.item.clone(),
            run: item.run,
            resumed_from: item.resumed_from,
            events: item.events,
            outcome,
        };
        if let Some(progress) = progress {
            self.queue_record(partition, &progress);
        }
        self.queue_record(partition, &record);
        self.outbox(partition).is_urgent = true;
    }
}

/// Logs that a circuit breaker opened; `open_ms` is `None` if it did not.
fn log_breaker_opened(backend: &BackendId, cause: &'static str, open_ms: Option<Millis>) {
    let Some(open_ms) = open_ms else { return };
    metrics::breaker_opened(cause);
    info!(event = "breaker_opened", backend = backend.as_str(), cause = cause,
        open_ms = open_ms; "");
}
