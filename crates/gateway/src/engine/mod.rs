//! Runs the items of the batches whose leases this node holds.
//!
//! One task holds all state. Runs and reward calls are tasks that report to it; what they bring is
//! appended to the log in groups, and only the log's fold decides what counts.

mod barred;
mod candidates;
mod carried;
mod claim;
mod ends_seen;
mod heartbeat;
mod held_back;
mod leases;
mod lengths;
mod live;
mod outbox;
mod plan;
mod reward;
mod run;
mod runs;
mod stalls;
mod start;
mod writing;

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
use carried::Carried;
use claim::ClaimOutcome;
use ends_seen::BATCH_ENDED;
use heartbeat::Heartbeats;
use held_back::HeldBack;
use lengths::Lengths;
use live::{LiveItem, Phase};
use outbox::Outbox;
use run::{ItemKey, RunMessage};
use stalls::StallWatch;

/// Rest after a plan, as a multiple of the time it took: planning uses at most a third of the processor.
const PLAN_REST: u32 = 2;
/// Pause between two looks at the work when nothing runs.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// Time after which an end that was written down must be seen in the log.
const END_SEEN_AFTER_MS: Millis = 3_000;
/// Time that a route without a bound of its own gives an item.
const DEFAULT_GIVE_UP_MS: Millis = 60_000;

/// Why an item is dropped whose result is listed.
const LISTED: &str = "listed";
/// Why an item is dropped that is no longer known: records of its partition were dropped before they were
/// read here, or its batch is past its retention.
const NOT_KNOWN: &str = "not_known";

/// Runs items until the process ends.
pub struct Engine {
    context: Arc<Context>,
    items: BTreeMap<ItemKey, LiveItem>,
    outboxes: BTreeMap<usize, Outbox>,
    claiming: HashSet<BatchId>,
    not_claimed_before: HashMap<BatchId, Millis>,
    /// Nodes that held a lease when this one tried to claim it, unknown to the index.
    rivals: HashMap<BatchId, NodeId>,
    told_closed: HashMap<BatchId, Millis>,
    heartbeats: Heartbeats,
    has_released: bool,
    /// Batches whose release is to be told once it is written.
    releases: Vec<BatchId>,
    has_told_release: bool,
    breakers: HashMap<BackendId, CircuitBreaker>,
    stalls: StallWatch,
    lengths: Lengths,
    carried: HashMap<BatchId, Carried>,
    held_back: BTreeMap<usize, HeldBack>,
    /// Items of which it was told that they are barred.
    told_barred: HashSet<ItemKey>,
    news: UnboundedReceiver<RunMessage>,
    news_sender: UnboundedSender<RunMessage>,
    ended: UnboundedReceiver<TaskEnded>,
    ended_sender: UnboundedSender<TaskEnded>,
    needs_plan: bool,
    pace: WorkPace,
}

/// A helper task ended.
enum TaskEnded {
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
    /// An engine without work.
    pub fn new(context: Arc<Context>) -> Self {
        let (news_sender, news) = mpsc::unbounded_channel();
        let (ended_sender, ended) = mpsc::unbounded_channel();
        Self {
            context,
            items: BTreeMap::new(),
            outboxes: BTreeMap::new(),
            claiming: HashSet::new(),
            not_claimed_before: HashMap::new(),
            rivals: HashMap::new(),
            told_closed: HashMap::new(),
            heartbeats: Heartbeats::default(),
            has_released: false,
            releases: Vec::new(),
            has_told_release: false,
            breakers: HashMap::new(),
            stalls: StallWatch::default(),
            lengths: Lengths::default(),
            carried: HashMap::new(),
            held_back: BTreeMap::new(),
            told_barred: HashSet::new(),
            news,
            news_sender,
            ended,
            ended_sender,
            needs_plan: true,
            pace: WorkPace::new(PLAN_REST),
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
            self.end_stalled_runs();
            if self.needs_plan && self.pace.is_due() {
                self.needs_plan = false;
                let began = Instant::now();
                self.follow_log();
                self.follow_leases();
                self.context.choose_followed_partitions();
                self.plan();
                metrics::items_running(self.items.len());
                self.pace.done(began);
            }
            self.write_down();
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
            self.push(item.partition, &progress);
        }
    }

    /// Whether an end was written down long enough ago to be seen, if it had counted.
    fn was_not_taken(&self, item: &LiveItem, confirmed: Option<Millis>) -> bool {
        let Phase::Finishing { since } = &item.phase else {
            return false;
        };
        let written = match self.outboxes.get(&item.partition) {
            Some(outbox) => outbox.all_written_at(),
            None => Some(0),
        };
        // It may have waited long to be written, while the log was away.
        written
            .zip(confirmed)
            .is_some_and(|(written, confirmed)| confirmed > written.max(*since) + END_SEEN_AFTER_MS)
    }

    fn take_ended(&mut self, ended: TaskEnded) {
        match ended {
            TaskEnded::Claim { batch, outcome } => self.claim_ended(batch, outcome),
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
        let items = self.items.iter();
        let gone: Vec<(ItemKey, &'static str)> = items
            .filter_map(|(key, item)| Some((key.clone(), self.reason_to_drop(key, item)?)))
            .collect();
        self.tell_ends_seen(&gone);
        for (key, reason) in gone {
            let item = self.items.remove(&key);
            if reason != LISTED {
                info!(event = "item_dropped", request = key.item.as_str(),
                    batch = key.batch.as_str(), reason = reason,
                    events = item.map_or(0, |item| item.events); "");
            }
        }
    }

    /// Why an item is not worked on any more; `None` if it is.
    fn reason_to_drop(&self, key: &ItemKey, item: &LiveItem) -> Option<&'static str> {
        let inner = self.context.partitions.at(item.partition).lock();
        let confirmed = inner.confirmed_at();
        let Some(batch) = inner.state.batch(&key.batch) else {
            return Some(NOT_KNOWN);
        };
        if batch.ended {
            return Some(BATCH_ENDED);
        }
        if !batch.lease.is_held_by(&self.context.node) {
            return Some("lease_lost");
        }
        match batch.item(&key.item) {
            None => Some(NOT_KNOWN),
            Some(state) if state.result.is_some() => Some(LISTED),
            Some(_) if self.was_not_taken(item, confirmed) => Some("end_not_taken"),
            Some(state) if item.is_overtaken(state) => Some("overtaken"),
            Some(_) => None,
        }
    }
}

/// Events there of an item that this node may not work on yet.
fn events_of(live: Option<&LiveItem>, state: &ItemState) -> u32 {
    live.map_or(state.events.len() as u32, |item| item.events)
}
