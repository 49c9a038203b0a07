//! Runs the items of the batches whose leases this node holds.
//!
//! One task holds all state. Runs and reward calls are tasks that report to it; what they bring is
//! appended to the log in groups, and only the log's fold decides what counts.

mod leases;
mod live;
mod outbox;
mod plan;
mod run;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use havenstage_rollout::Millis;
use havenstage_rollout::fold::{BatchState, ItemState};
use havenstage_rollout::ids::{BackendId, BatchId, ItemId, ModelName};
use havenstage_rollout::record::{BatchRecord, GiveUpReason, Outcome, OutputEvent};
use log::{info, warn};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::Instant;

use crate::context::Context;
use crate::edge::{LogStream, StreamPartition};
use crate::metrics;
use live::{LiveItem, OwnedTask, Phase};
use outbox::{AppendLimits, Outbox};
use run::{ItemKey, RunEnd, RunMessage, RunNews, RunOrder, ScoreEnd};

/// Pause between two looks at the work when nothing runs.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// First pause of a back end that turned an item away.
const TURNED_AWAY_PAUSE_MS: Millis = 60;
/// First pause of a back end that failed at an item; doubles with each further failure.
const FAILED_PAUSE_MS: Millis = 250;
/// Longest pause of a back end.
const LONGEST_PAUSE_MS: Millis = 2_000;
/// Time that a route without a bound of its own gives an item.
const DEFAULT_GIVE_UP_MS: Millis = 60_000;

/// Runs items until the process ends.
pub struct Engine {
    context: Arc<Context>,
    items: BTreeMap<ItemKey, LiveItem>,
    outboxes: BTreeMap<u32, Outbox>,
    claiming: HashSet<BatchId>,
    kept_at: HashMap<BatchId, Millis>,
    has_released: bool,
    pauses: HashMap<BackendId, Pause>,
    carried: HashMap<BatchId, HashSet<ItemId>>,
    news: UnboundedReceiver<RunMessage>,
    news_sender: UnboundedSender<RunMessage>,
    ended: UnboundedReceiver<TaskEnded>,
    ended_sender: UnboundedSender<TaskEnded>,
    needs_plan: bool,
}

/// A back end that gets no items for a while.
#[derive(Debug, Clone, Copy, Default)]
struct Pause {
    until: Millis,
    failures: u32,
}

/// A helper task ended.
enum TaskEnded {
    Append {
        partition: u32,
        is_done: bool,
        took_ms: u64,
    },
    Claim {
        batch: BatchId,
    },
}

impl Engine {
    /// An engine without work.
    pub fn new(context: Arc<Context>) -> Self {
        let (news_sender, news) = mpsc::unbounded_channel();
        let (ended_sender, ended) = mpsc::unbounded_channel();
        Self {
            context,
            items: BTreeMap::new(),
            outboxes: BTreeMap::new(),
            claiming: HashSet::new(),
            kept_at: HashMap::new(),
            has_released: false,
            pauses: HashMap::new(),
            carried: HashMap::new(),
            news,
            news_sender,
            ended,
            ended_sender,
            needs_plan: true,
        }
    }

    /// Works until the process ends.
    pub async fn run(mut self) {
        let context = self.context.clone();
        loop {
            let pause = self.pause();
            tokio::select! {
                Some(message) = self.news.recv() => self.take_news(message),
                Some(ended) = self.ended.recv() => self.take_ended(ended),
                () = context.work.notified() => self.needs_plan = true,
                () = tokio::time::sleep(pause) => self.needs_plan = true,
            }
            while let Ok(message) = self.news.try_recv() {
                self.take_news(message);
            }
            if self.needs_plan {
                self.needs_plan = false;
                self.follow_log();
                self.follow_leases();
                self.plan();
                metrics::items_running(self.items.len());
            }
            self.write_down();
        }
    }

    fn pause(&self) -> Duration {
        let has_work = !self.items.is_empty() || self.outboxes.values().any(|o| !o.is_empty());
        if has_work {
            Duration::from_millis(self.context.settings.tuning.flush_ms)
        } else {
            IDLE_PAUSE
        }
    }

    // The log.

    fn stop_item(&mut self, key: &ItemKey) {
        if let Some(mut item) = self.items.remove(key)
            && let Some(progress) = item.take_progress(key)
        {
            self.push(item.partition, &progress);
        }
    }

    fn take_ended(&mut self, ended: TaskEnded) {
        match ended {
            TaskEnded::Claim { batch } => {
                self.claiming.remove(&batch);
                self.needs_plan = true;
            }
            TaskEnded::Append {
                partition,
                is_done,
                took_ms,
            } => {
                let now = self.context.now();
                self.outbox(partition).finished(is_done, now);
                let outcome = if is_done { "done" } else { "failed" };
                metrics::results_written(outcome, took_ms);
            }
        }
    }

    /// Drops items that the log shows as done, ended, or taken over by another node.
    fn follow_log(&mut self) {
        let mut gone = Vec::new();
        for (key, item) in &self.items {
            let inner = self.context.partitions[item.partition as usize].lock();
            let batch = inner.state.batch(&key.batch).filter(|batch| !batch.ended);
            if batch.is_some_and(|batch| !batch.lease.is_held_by(&self.context.node)) {
                gone.push((key.clone(), "lease_lost"));
                continue;
            }
            let state = batch.and_then(|batch| batch.item(&key.item));
            match state {
                Some(state) if state.result.is_none() && !item.is_overtaken(state) => {}
                Some(state) if state.result.is_none() => gone.push((key.clone(), "overtaken")),
                Some(_) => gone.push((key.clone(), "listed")),
                None => gone.push((key.clone(), "batch_ended")),
            }
        }
        for (key, reason) in gone {
            let item = self.items.remove(&key);
            if reason != "listed" {
                info!(event = "item_dropped", request = key.item.as_str(),
                    batch = key.batch.as_str(), reason = reason,
                    events = item.map_or(0, |item| item.events); "");
            }
        }
    }

    // Runs.

    fn take_news(&mut self, message: RunMessage) {
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

    fn run_ended(&mut self, key: &ItemKey, end: &RunEnd) {
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
            RunEnd::Whole => self.text_is_whole(key),
            RunEnd::Impossible => self.give_up(key, GiveUpReason::Impossible),
            RunEnd::Failed => self.run_failed(key),
            RunEnd::NotRun | RunEnd::Unreachable | RunEnd::Broken | RunEnd::VersionTooOld(_) => {}
        }
    }

    fn judge_backend(
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
            RunEnd::VersionTooOld(version) => {
                if let Some(model) = self.model_of(key) {
                    self.context
                        .backends
                        .lock()
                        .saw_version(backend, &model, *version);
                    self.context.orders_changed.notify_one();
                }
            }
            RunEnd::Broken if made_progress => {}
            RunEnd::Broken | RunEnd::Unreachable => {
                let pause = self.pauses.entry(backend.clone()).or_default();
                let length = FAILED_PAUSE_MS << pause.failures.min(4);
                pause.failures += 1;
                pause.until = now + length.min(LONGEST_PAUSE_MS);
            }
        }
    }

    fn model_of(&self, key: &ItemKey) -> Option<ModelName> {
        let inner = self.context.partition_of(&key.batch).lock();
        inner.state.batch(&key.batch)?.model.clone()
    }

    fn run_failed(&mut self, key: &ItemKey) {
        let attempts = self.attempts_of(key);
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        item.failures += 1;
        if item.failures >= attempts {
            self.give_up(key, GiveUpReason::AttemptsUsed);
        }
    }

    fn attempts_of(&self, key: &ItemKey) -> u32 {
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

    fn text_is_whole(&mut self, key: &ItemKey) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        match item.spec.reward.clone() {
            None => self.finish(key, Outcome::Completed { score: None }),
            Some(reward) => {
                let task = tokio::spawn(run::score(
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

    fn scored(&mut self, key: &ItemKey, end: ScoreEnd) {
        match end {
            ScoreEnd::Score(score) => {
                self.finish(key, Outcome::Completed { score: Some(score) });
            }
            ScoreEnd::AttemptsUsed => self.give_up(key, GiveUpReason::AttemptsUsed),
        }
    }

    fn give_up(&mut self, key: &ItemKey, reason: GiveUpReason) {
        warn!(event = "item_given_up", request = key.item.as_str(), batch = key.batch.as_str(),
            reason = format!("{reason:?}").as_str(); "");
        self.finish(key, Outcome::GivenUp(reason));
    }

    fn finish(&mut self, key: &ItemKey, outcome: Outcome) {
        self.needs_plan = true;
        let now = self.context.now();
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        item.phase = Phase::Finishing;
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

    // Starting items.

    fn start(&mut self, key: &ItemKey, backend_id: &BackendId, urgency: u8) {
        let Some(backend) = self.context.backends.take(backend_id) else {
            return;
        };
        let now = self.context.now();
        let Some(start) = self.prepare(key, now) else {
            return;
        };
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        let run = item.begin_run();
        let order = RunOrder {
            key: key.clone(),
            run,
            spec: item.spec.clone(),
            host: start.host,
            resumed_from: item.resumed_from,
            minimum_version: start.minimum_version,
            deadline: start.deadline,
            urgency,
        };
        let partition = item.partition;
        let resumed_from = item.resumed_from;
        let sender = self.news_sender.clone();
        let task = tokio::spawn(run::make_run(self.context.clone(), backend, order, sender));
        item.phase = Phase::Running {
            backend: backend_id.clone(),
            since: now,
            _task: OwnedTask(task.abort_handle()),
        };
        info!(event = "run_started", request = key.item.as_str(), batch = key.batch.as_str(),
            backend = backend_id.as_str(), resumed_from = resumed_from, urgency = urgency,
            minimum_version = start.minimum_version, batch_age_ms = start.batch_age_ms; "");
        self.push(
            partition,
            &BatchRecord::Started {
                batch: key.batch.clone(),
                item: key.item.clone(),
                run,
                backend: backend_id.clone(),
            },
        );
    }

    /// Makes the item one that this node works on, with the output that is kept of it.
    fn prepare(&mut self, key: &ItemKey, now: Millis) -> Option<StartOfRun> {
        let partition = self.context.partition_of(&key.batch);
        let inner = partition.lock();
        let batch = inner.state.batch(&key.batch)?;
        let state = batch.item(&key.item)?;
        let give_up_ms = self.give_up_ms(batch);
        let age = now.saturating_sub(batch.first_seen);
        let left = Duration::from_millis(give_up_ms.saturating_sub(age));
        let start = StartOfRun {
            host: batch.host.clone(),
            minimum_version: batch.minimum_version,
            deadline: Instant::now() + left,
            batch_age_ms: age,
        };
        if !self.items.contains_key(key) {
            let spec = state.spec.clone()?;
            let item = LiveItem::new(state, spec, partition.id.partition, now);
            drop(inner);
            self.items.insert(key.clone(), item);
        }
        Some(start)
    }

    fn give_up_ms(&self, batch: &BatchState) -> Millis {
        let routes = self.context.routes();
        let route = routes
            .as_ref()
            .and_then(|table| table.batch_route(&batch.host, &batch.path));
        route
            .and_then(|route| route.give_up_after_ms)
            .unwrap_or(DEFAULT_GIVE_UP_MS)
    }

    // Writing down.

    fn write_down(&mut self) {
        let now = self.context.now();
        let tuning = &self.context.settings.tuning;
        let (flush_ms, progress_ms) = (tuning.flush_ms, tuning.progress_ms);
        let partitions: BTreeSet<u32> = self
            .items
            .values()
            .map(|item| item.partition)
            .chain(self.outboxes.keys().copied())
            .collect();
        for partition in partitions {
            let outbox = self.outbox(partition);
            let age = now.saturating_sub(outbox.last_append);
            let is_due = age >= progress_ms || (outbox.is_urgent && age >= flush_ms);
            if is_due {
                self.collect_progress(partition);
                self.append(partition, now);
            }
        }
    }

    fn collect_progress(&mut self, partition: u32) {
        let mut records = Vec::new();
        for (key, item) in &mut self.items {
            if item.partition == partition {
                records.extend(item.take_progress(key));
            }
        }
        for record in records {
            self.push(partition, &record);
        }
    }

    fn append(&mut self, partition: u32, now: Millis) {
        let outbox = self.outbox(partition);
        if !outbox.may_begin(now) {
            return;
        }
        let records = outbox.begin(now);
        let context = self.context.clone();
        let sender = self.ended_sender.clone();
        tokio::spawn(async move {
            let id = StreamPartition {
                stream: LogStream::Batches,
                partition,
            };
            let began = Instant::now();
            let appended = context.log.append(id, records).await;
            let took_ms = began.elapsed().as_millis() as u64;
            if let Err(error) = &appended {
                warn!(event = "results_not_written", partition = partition, took_ms = took_ms,
                    reason = error.to_string().as_str(); "");
            }
            let is_done = appended.is_ok();
            let _ = sender.send(TaskEnded::Append {
                partition,
                is_done,
                took_ms,
            });
        });
    }

    fn push(&mut self, partition: u32, record: &BatchRecord) {
        if !self.outbox(partition).push(record) {
            warn!(event = "record_too_large", batch = record.batch().as_str(); "");
        }
    }

    fn outbox(&mut self, partition: u32) -> &mut Outbox {
        let log = &self.context.settings.log;
        let limits = AppendLimits {
            record_bytes: log.record_bytes,
            call_bytes: log.call_bytes,
        };
        self.outboxes
            .entry(partition)
            .or_insert_with(|| Outbox::new(limits))
    }

    /// Takes over output that an earlier batch kept of the same item.
    fn take_kept_output(&mut self, key: &ItemKey, kept: Vec<OutputEvent>) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        item.begin_run();
        for event in kept {
            item.add_event(event);
        }
        let partition = item.partition;
        if let Some(progress) = item.take_progress(key) {
            self.push(partition, &progress);
        }
    }
}

/// What a run needs to know of its batch.
struct StartOfRun {
    host: String,
    minimum_version: u64,
    deadline: Instant,
    batch_age_ms: Millis,
}

/// Events there of an item that this node may not work on yet.
fn events_of(live: Option<&LiveItem>, state: &ItemState) -> u32 {
    live.map_or(state.events.len() as u32, |item| item.events)
}
