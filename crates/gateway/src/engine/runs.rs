//! What runs and reward calls bring, and how an item ends.

use havenstage_rollout::Millis;
use havenstage_rollout::ids::{BackendId, ModelName};
use havenstage_rollout::record::{BatchRecord, GiveUpReason, Outcome};
use log::{info, warn};

use super::Engine;
use super::live::{OwnedTask, Phase};
use super::reward::{self, ScoreEnd};
use super::run::{ItemKey, RunEnd, RunMessage, RunNews};
use crate::metrics;

/// First pause of a back end that turned an item away.
const TURNED_AWAY_PAUSE_MS: Millis = 60;
/// First pause of a back end that failed at an item; doubles with each further failure.
const FAILED_PAUSE_MS: Millis = 250;
/// Longest pause of a back end.
const LONGEST_PAUSE_MS: Millis = 2_000;

impl Engine {
    pub(super) fn take_news(&mut self, message: RunMessage) {
        let Some(item) = self.items.get_mut(&message.key) else {
            return;
        };
        if item.run != message.run {
            return;
        }
        match message.news {
            RunNews::Event(event) => item.add_event(event),
            RunNews::Ended(end) => self.run_ended(&message.key, &end),
            RunNews::Scored(end) => self.scored(&message.key, end),
        }
    }

    pub(super) fn run_ended(&mut self, key: &ItemKey, end: &RunEnd) {
        self.needs_plan = true;
        let now = self.context.now();
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        let Phase::Running { backend, since, .. } = &item.phase else {
            return;
        };
        let (backend, took_ms) = (backend.clone(), now - since);
        metrics::run_ended(end.name(), took_ms);
        info!(event = "run_ended", request = key.item.as_str(), batch = key.batch.as_str(),
            backend = backend.as_str(), outcome = end.name(), resumed_from = item.resumed_from,
            events = item.events, took_ms = took_ms; "");
        let made_progress = item.events > item.resumed_from;
        item.phase = Phase::Waiting;
        let partition = item.partition;
        if let Some(progress) = item.take_progress(key) {
            self.push(partition, &progress);
        }
        self.judge_backend(key, &backend, end, made_progress);
        match end {
            RunEnd::Whole => {
                self.note_length(key);
                self.text_is_whole(key);
            }
            RunEnd::Impossible => self.give_up(key, GiveUpReason::Impossible),
            RunEnd::Failed => self.run_failed(key),
            RunEnd::NotRun
            | RunEnd::TooLate
            | RunEnd::Unreachable
            | RunEnd::Broken
            | RunEnd::WrongVersion(_) => {}
        }
    }

    pub(super) fn judge_backend(
        &mut self,
        key: &ItemKey,
        backend: &BackendId,
        end: &RunEnd,
        made_progress: bool,
    ) {
        let now = self.context.now();
        match end {
            RunEnd::Whole | RunEnd::Failed | RunEnd::Impossible => {
                self.pauses.remove(backend);
            }
            RunEnd::NotRun => {
                let pause = self.pauses.entry(backend.clone()).or_default();
                pause.until = pause.until.max(now + TURNED_AWAY_PAUSE_MS);
            }
            RunEnd::WrongVersion(version) => {
                if let Some(model) = self.model_of(key) {
                    self.context
                        .backends
                        .lock()
                        .saw_version(backend, &model, *version);
                    self.context.control_changed.notify_one();
                }
            }
            RunEnd::TooLate => {}
            RunEnd::Broken if made_progress => {}
            RunEnd::Broken | RunEnd::Unreachable => {
                let pause = self.pauses.entry(backend.clone()).or_default();
                let length = FAILED_PAUSE_MS << pause.failures.min(4);
                pause.failures += 1;
                pause.until = now + length.min(LONGEST_PAUSE_MS);
            }
        }
    }

    pub(super) fn model_of(&self, key: &ItemKey) -> Option<ModelName> {
        let inner = self.context.partition_of(&key.batch).lock();
        inner.state.batch(&key.batch)?.model.clone()
    }

    pub(super) fn run_failed(&mut self, key: &ItemKey) {
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

    pub(super) fn text_is_whole(&mut self, key: &ItemKey) {
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
                    self.news_sender.clone(),
                ));
                item.phase = Phase::Scoring {
                    _task: OwnedTask(task.abort_handle()),
                };
            }
        }
    }

    pub(super) fn scored(&mut self, key: &ItemKey, end: ScoreEnd) {
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
            self.push(partition, &progress);
        }
        self.push(partition, &record);
        self.outbox(partition).is_urgent = true;
    }
}
