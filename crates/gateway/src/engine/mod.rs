//! Runs the items of the batches whose leases this node holds.
//!
//! One task owns all state. Each run and each reward call is a task of its own that sends messages to
//! it. The engine appends their output and outcomes to the log in groups. A record counts only once the
//! state that is built from the log accepts it: it ignores, for instance, output of an item that has a result.

mod active_item;
mod candidates;
mod carried_over;
mod claim;
mod ended_batches;
mod flush;
mod heartbeat;
mod item_lengths;
mod leases;
mod outbox;
mod paused_starts;
mod plan;
mod reward;
mod run;
mod run_messages;
mod stalls;
mod start;
mod waits;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::Millis;
use havenstage_rollout::batch_state::ItemState;
use havenstage_rollout::circuit_breaker::CircuitBreaker;
use havenstage_rollout::ids::{BackendId, BatchId, NodeId};
use log::info;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use crate::context::Context;
use crate::metrics;
use crate::work_pace::WorkPace;
use active_item::{ActiveItem, Phase};
use carried_over::CarriedOver;
use claim::ClaimOutcome;
use ended_batches::BATCH_ENDED;
use heartbeat::Heartbeats;
use item_lengths::ItemLengths;
use outbox::Outbox;
use paused_starts::PausedStarts;
use run::{ItemKey, RunMessage};
use stalls::StallWatch;
use waits::WaitLog;

/// Pause after a round of planning, as a multiple of the time that the round took: planning then uses at
/// most a third of one processor.
const PLAN_REST_FACTOR: u32 = 2;
/// Time between two rounds of planning while no item is active and no record waits to be written.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// Time within which an appended outcome of an item must be read back from the log. After it the engine
/// takes the record for one that did not count, and drops the item.
const END_READ_TIMEOUT_MS: Millis = 3_000;
/// Age of a batch at which its unfinished items are given up, for routes that set no limit.
const DEFAULT_GIVE_UP_AFTER_MS: Millis = 60_000;

/// Reason to drop an item: its result is in the log.
const RESULT_LISTED: &str = "listed";
/// Reason to drop an item: the state of its partition does not hold it. The log dropped records before
/// this node read them, or the retention time of the batch is over.
const ITEM_UNKNOWN: &str = "not_known";

/// The task that claims batches and runs their items until the process ends.
pub struct Engine {
    context: Arc<Context>,
    items: BTreeMap<ItemKey, ActiveItem>,
    outboxes: BTreeMap<usize, Outbox>,
    /// Batches that a claim in flight is about.
    claiming: HashSet<BatchId>,
    /// Earliest time of the next claim, for batches whose last claim failed.
    claim_not_before: HashMap<BatchId, Millis>,
    /// For each batch, the node that held its lease at this node's last claim although the index did not
    /// name it.
    unindexed_holders: HashMap<BatchId, NodeId>,
    /// When this node last announced that a batch is closed.
    closed_announced_at: HashMap<BatchId, Millis>,
    heartbeats: Heartbeats,
    has_released: bool,
    /// Batches whose release is announced to all nodes once it is written to their partitions.
    released_batches: Vec<BatchId>,
    is_release_announced: bool,
    breakers: HashMap<BackendId, CircuitBreaker>,
    stalls: StallWatch,
    item_lengths: ItemLengths,
    carried_over: HashMap<BatchId, CarriedOver>,
    paused_starts: BTreeMap<usize, PausedStarts>,
    wait_log: WaitLog,
    run_messages: UnboundedReceiver<RunMessage>,
    run_message_sender: UnboundedSender<RunMessage>,
    task_ends: UnboundedReceiver<TaskEnd>,
    task_end_sender: UnboundedSender<TaskEnd>,
    needs_plan: bool,
    pace: WorkPace,
}

/// Result of a task that the engine started for an append or a claim.
enum TaskEnd {
    Append {
        partition: usize,
        is_done: bool,
        took_ms: u64,
    },
    Claim {
        batch: BatchId,
        outcome: ClaimOutcome,
    },
}

impl Engine {
    /// Creates an engine that has no items yet.
    pub fn new(context: Arc<Context>) -> Self {
        let (run_message_sender, run_messages) = mpsc::unbounded_channel();
        let (task_end_sender, task_ends) = mpsc::unbounded_channel();
        Self {
            context,
            items: BTreeMap::new(),
            outboxes: BTreeMap::new(),
            claiming: HashSet::new(),
            claim_not_before: HashMap::new(),
            unindexed_holders: HashMap::new(),
            closed_announced_at: HashMap::new(),
            heartbeats: Heartbeats::default(),
            has_released: false,
            released_batches: Vec::new(),
            is_release_announced: false,
            breakers: HashMap::new(),
            stalls: StallWatch::default(),
            item_lengths: ItemLengths::default(),
            carried_over: HashMap::new(),
            paused_starts: BTreeMap::new(),
            wait_log: WaitLog::default(),
            run_messages,
            run_message_sender,
            task_ends,
            task_end_sender,
            needs_plan: true,
            pace: WorkPace::new(PLAN_REST_FACTOR),
        }
    }

    /// Runs the engine's loop until the process ends.
    pub async fn run(mut self) {
        let context = self.context.clone();
        loop {
            let pause = self.pause();
            tokio::select! {
                Some(message) = self.run_messages.recv() => self.handle_run_message(message),
                Some(end) = self.task_ends.recv() => self.handle_task_end(end),
                () = context.work.notified() => self.needs_plan = true,
                () = tokio::time::sleep(pause) => self.needs_plan = true,
            }
            while let Ok(message) = self.run_messages.try_recv() {
                self.handle_run_message(message);
            }
            self.end_stalled_runs();
            if self.needs_plan && self.pace.is_due() {
                self.needs_plan = false;
                let began = Instant::now();
                self.drop_settled_items();
                self.update_leases();
                self.context.choose_followed_partitions();
                self.plan();
                metrics::items_running(self.items.len());
                self.pace.done(began);
            }
            self.flush_outboxes();
        }
    }

    fn pause(&self) -> Duration {
        if self.needs_plan {
            return self.pace.wait();
        }
        let has_work = !self.items.is_empty() || self.outboxes.values().any(|o| !o.is_empty());
        if has_work {
            Duration::from_millis(self.context.settings.tuning.flush_ms)
        } else {
            IDLE_PAUSE
        }
    }

    fn stop_item(&mut self, key: &ItemKey) {
        if let Some(mut item) = self.items.remove(key)
            && let Some(progress) = item.take_progress(key)
        {
            self.queue_record(item.partition, &progress);
        }
    }

    /// Whether the item's outcome was written so long ago that the log would show it if it counted.
    fn is_end_overdue(&self, item: &ActiveItem, confirmed: Option<Millis>) -> bool {
        let Phase::Finishing { since } = &item.phase else {
            return false;
        };
        let written = match self.outboxes.get(&item.partition) {
            Some(outbox) => outbox.all_written_at(),
            None => Some(0),
        };
        // The outcome may have waited long before it was written, while the log was unavailable. So the time
        // limit starts when it was written.
        written.zip(confirmed).is_some_and(|(written, confirmed)| {
            confirmed > written.max(*since) + END_READ_TIMEOUT_MS
        })
    }

    fn handle_task_end(&mut self, end: TaskEnd) {
        match end {
            TaskEnd::Claim { batch, outcome } => self.handle_claim_end(batch, outcome),
            TaskEnd::Append {
                partition,
                is_done,
                took_ms,
            } => {
                let now = self.context.now();
                self.outbox(partition).finish_append(is_done, now);
                let outcome = if is_done { "done" } else { "failed" };
                metrics::results_written(outcome, took_ms);
            }
        }
    }

    /// Drops items whose result is in the log, whose batch ended, or that another node took over.
    fn drop_settled_items(&mut self) {
        let items = self.items.iter();
        let gone: Vec<(ItemKey, &'static str)> = items
            .filter_map(|(key, item)| Some((key.clone(), self.reason_to_drop(key, item)?)))
            .collect();
        self.log_ended_batches(&gone);
        for (key, reason) in gone {
            let item = self.items.remove(&key);
            self.wait_log.forget(&key);
            if reason != RESULT_LISTED {
                info!(event = "item_dropped", request = key.item.as_str(),
                    batch = key.batch.as_str(), reason = reason,
                    events = item.map_or(0, |item| item.events); "");
            }
        }
    }

    /// The reason to stop work on an item, as it is logged; `None` if the work goes on.
    fn reason_to_drop(&self, key: &ItemKey, item: &ActiveItem) -> Option<&'static str> {
        let inner = self.context.partitions.at(item.partition).lock();
        let confirmed = inner.confirmed_at();
        let Some(batch) = inner.state.batch(&key.batch) else {
            return Some(ITEM_UNKNOWN);
        };
        if batch.ended {
            return Some(BATCH_ENDED);
        }
        if !batch.lease.is_held_by(&self.context.node) {
            return Some("lease_lost");
        }
        match batch.item(&key.item) {
            None => Some(ITEM_UNKNOWN),
            Some(state) if state.result.is_some() => Some(RESULT_LISTED),
            Some(_) if self.is_end_overdue(item, confirmed) => Some("end_not_taken"),
            Some(state) if item.is_overtaken(state) => Some("overtaken"),
            Some(_) => None,
        }
    }
}

/// Number of output events of an item: those that this node holds if the item is active here, otherwise
/// those in the log.
fn event_count(active_item: Option<&ActiveItem>, state: &ItemState) -> u32 {
    active_item.map_or(state.events.len() as u32, |item| item.events)
}
