//! Decides on which back ends waiting items run, and moves running items to faster ones.

use std::collections::{BTreeMap, HashMap, HashSet};

use havenstage_rollout::Millis;
use havenstage_rollout::batch_state::{BatchState, ItemState};
use havenstage_rollout::ids::{BackendId, PoolName, Version};
use havenstage_rollout::record::GiveUpReason;
use havenstage_rollout::route::{Route, RouteTable};
use havenstage_rollout::schedule::{self, Candidate, Claim, Relocation, RunningItem, WaitingItem};
use log::info;
use xxhash_rust::xxh3::xxh3_64;

use super::active_item::{ActiveItem, Phase};
use super::candidates::oldest_versions;
use super::run::ItemKey;
use super::waits::{PoolState, UnplacedItems};
use super::{DEFAULT_GIVE_UP_AFTER_MS, Engine, event_count};
use crate::metrics;

/// Unfinished items of this node that one pool runs.
#[derive(Default)]
pub(super) struct PoolWork {
    pub(super) waiting: Vec<WaitingItem>,
    pub(super) running: Vec<RunningItem>,
}

impl Engine {
    /// Starts waiting items on free slots, and gives up the items of batches that are too old.
    pub(super) fn plan(&mut self) {
        if self.has_released {
            return;
        }
        let Some(table) = self.context.routes() else {
            return;
        };
        let now = self.context.now();
        self.context.backends.lock().list.expire_replaced(now);
        let mut work: BTreeMap<PoolName, PoolWork> = BTreeMap::new();
        let mut expired = Vec::new();
        let needed = self.context.partitions.needed();
        self.paused_starts
            .retain(|partition, _| needed.contains(partition));
        for partition in needed {
            // The state of the partition is too old: a batch may have been ended in the meantime, and no item of
            // it may reach a back end once that end is in force.
            if self.are_starts_paused(partition, now) {
                continue;
            }
            self.find_carried_over(partition);
            let inner = self.context.partitions.at(partition).lock();
            for batch in inner.state.batches().filter(|batch| self.is_own(batch)) {
                let Some(route) = table.batch_route(&batch.host, &batch.path) else {
                    continue;
                };
                if is_past_deadline(route, batch, now) {
                    expired.extend(self.open_items(batch));
                    continue;
                }
                self.collect_items(batch, route, &table, now, &mut work);
            }
        }
        for key in expired {
            if self.prepare_item(&key, now).is_some() {
                self.give_up(&key, GiveUpReason::TooLate);
            }
        }
        self.item_lengths.clear_backends();
        for (pool, work) in work {
            self.place_items(&table, &pool, work, now);
        }
    }

    /// Whether the batch is open and this node holds its lease.
    pub(super) fn is_own(&self, batch: &BatchState) -> bool {
        !batch.is_closed() && batch.lease.is_held_by(&self.context.node)
    }

    fn open_items(&self, batch: &BatchState) -> Vec<ItemKey> {
        let open = batch.items.iter().filter(|item| item.result.is_none());
        open.map(|item| ItemKey {
            batch: batch.id.clone(),
            item: item.id.clone(),
        })
        .filter(|key| {
            let phase = self.items.get(key).map(|item| &item.phase);
            !matches!(phase, Some(Phase::Finishing { .. }))
        })
        .collect()
    }

    fn collect_items(
        &self,
        batch: &BatchState,
        route: &Route,
        table: &RouteTable,
        now: Millis,
        work: &mut BTreeMap<PoolName, PoolWork>,
    ) {
        let none = HashSet::new();
        let carried_over = self
            .carried_over
            .get(&batch.id)
            .map_or(&none, |carried_over| &carried_over.items);
        let Some(first) = route.pools.first() else {
            return;
        };
        let tokens_per_event = tokens_per_event(table, &first.pool);
        let optional = schedule::optional_items(batch, carried_over, |item| {
            let produced_tokens = (item.events.len() as u32).saturating_mul(tokens_per_event);
            self.item_lengths
                .expected_remaining(&first.pool, item, produced_tokens)
        });
        let residency = table.residency(route, batch.tenant.as_ref());
        let claim = scheduling_claim(batch, route, table);
        for item in batch.items.iter().filter(|item| item.result.is_none()) {
            let hash = xxh3_64(item.id.as_str().as_bytes());
            let Some(pool) = route.pool_for(hash) else {
                continue;
            };
            let work = work.entry(pool.clone()).or_default();
            let key = ItemKey {
                batch: batch.id.clone(),
                item: item.id.clone(),
            };
            let active_item = self.items.get(&key);
            let produced_tokens = event_count(active_item, item).saturating_mul(tokens_per_event);
            let spec = item.spec.as_ref();
            let prompt_tokens = spec.map_or(0, |spec| self.context.dialect.prompt_tokens(spec));
            let item = WaitingItem {
                batch: batch.id.clone(),
                item: item.id.clone(),
                is_optional: optional.contains(&item.id),
                claim: claim.clone(),
                expected_tokens: self
                    .item_lengths
                    .expected_remaining(pool, item, produced_tokens),
                held_tokens: prompt_tokens.saturating_add(produced_tokens),
                batch_first_seen: batch.first_seen,
                waiting_since: active_item
                    .and_then(|item| item.last_run_ended)
                    .unwrap_or(batch.first_seen),
                model: batch.model.clone(),
                minimum_version: batch.minimum_version,
                exact_version: first_version(active_item, item).filter(|_| route.single_version),
                group: item.group.clone(),
                residency: residency.clone(),
            };
            let Some(active_item) = active_item else {
                work.waiting.push(item);
                continue;
            };
            match &active_item.phase {
                Phase::Waiting => work.waiting.push(item),
                Phase::Running { backend, since, .. } => work.running.push(RunningItem {
                    expected_events: item.expected_tokens.div_ceil(tokens_per_event),
                    item,
                    backend: backend.clone(),
                    running_ms: now.saturating_sub(*since),
                    moves: active_item.moves,
                }),
                Phase::Scoring { .. } | Phase::Finishing { .. } => {}
            }
        }
    }

    fn place_items(
        &mut self,
        table: &RouteTable,
        pool: &PoolName,
        mut work: PoolWork,
        now: Millis,
    ) {
        if work.waiting.is_empty() && work.running.is_empty() {
            return;
        }
        let median_gap_ms = self.median_gap_ms(pool, now);
        let oldest = oldest_versions(&work);
        self.item_lengths.add_running(&work.running);
        let (mut candidates, excluded) =
            self.candidates(table.pool(pool), pool, &oldest, median_gap_ms, now);
        let token_ms = median_gap_ms / f64::from(tokens_per_event(table, pool));
        let free_slots = candidates.iter().map(Candidate::free_slots).sum();
        let running = &work.running;
        schedule::prioritize_waiting(&mut work.waiting, running, free_slots, now, token_ms);
        let (paused, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut work.waiting)
            .into_iter()
            .partition(|item| self.is_paused(item, now));
        work.waiting = waiting;
        let mut without_place = Vec::new();
        let probes: HashMap<usize, BackendId> = schedule::assign_probes(&work.waiting, &candidates)
            .into_iter()
            .collect();
        for (at, item) in work.waiting.iter().enumerate() {
            let probed = probes.get(&at);
            let probed = probed.and_then(|id| candidates.iter().find(|c| c.backend == *id));
            let chosen = probed.or_else(|| schedule::choose_backend(item, &candidates));
            let Some(chosen) = chosen else {
                self.restart_if_version_is_gone(item, pool, now);
                without_place.push(item);
                continue;
            };
            let backend = chosen.backend.clone();
            log_if_memory_is_short(item, chosen);
            for candidate in candidates.iter_mut().filter(|c| c.backend == backend) {
                candidate.add_item(item);
            }
            self.item_lengths.add_item(&backend, item.tokens());
            self.start_item(item, &backend, now);
        }
        let state = PoolState {
            pool: pool.as_str(),
            candidates: &candidates,
            excluded,
        };
        let unplaced = UnplacedItems {
            without_place: &without_place,
            paused: &paused,
        };
        self.wait_log.log(&unplaced, &state, now);
        let are_all_taken = candidates.iter().all(|c| c.running >= c.slots);
        if are_all_taken && !candidates.is_empty() {
            self.context.backends.want_more(pool);
        }
        for relocation in schedule::plan_relocations(work.running, candidates) {
            self.relocate(&relocation);
        }
    }

    /// Whether an item waits for the end of a pause, as its last runs broke off without progress.
    fn is_paused(&self, item: &WaitingItem, now: Millis) -> bool {
        let active_item = self.items.get(&key_of(item));
        active_item.is_some_and(|active_item| now < active_item.paused_until)
    }

    /// Restarts an item without its output if all its events must come from one version and no back end
    /// serves that version any more.
    fn restart_if_version_is_gone(&mut self, item: &WaitingItem, pool: &PoolName, now: Millis) {
        let (Some(exact), Some(model)) = (item.exact_version, &item.model) else {
            return;
        };
        let backends = self.context.backends.lock();
        let mut ready = backends.list.ready_in(pool);
        let is_available = ready.any(|(id, _)| backends.version(id, model) == exact);
        drop(ready);
        drop(backends);
        let key = key_of(item);
        if !is_available && self.prepare_item(&key, now).is_some() {
            self.restart(&key);
        }
    }

    /// Moves an item to a faster back end, where it continues after the events that it has.
    fn relocate(&mut self, relocation: &Relocation) {
        let item = &relocation.item;
        let key = key_of(item);
        let Some(active_item) = self.items.get_mut(&key) else {
            return;
        };
        info!(event = "item_relocated", request = key.item.as_str(), batch = key.batch.as_str(),
            from = active_item.running_on().map_or("", BackendId::as_str), to = relocation.to.as_str(),
            events = active_item.events; "");
        // Drops the task of the run, which ends the run and resets its connection.
        active_item.phase = Phase::Waiting;
        active_item.moves += 1;
        let partition = active_item.partition;
        if let Some(progress) = active_item.take_progress(&key) {
            self.queue_record(partition, &progress);
        }
        self.start(&key, &relocation.to, urgency(item));
    }

    fn start_item(&mut self, item: &WaitingItem, backend: &BackendId, now: Millis) {
        let key = key_of(item);
        let is_first_start = !self.items.contains_key(&key);
        if self.prepare_item(&key, now).is_none() {
            return;
        }
        self.wait_log.forget(&key);
        if is_first_start && self.reuse_output(&key, item) {
            return;
        }
        self.start(&key, backend, urgency(item));
    }
}

/// Logs an item that is placed on a back end whose memory is expected to run out. This happens if no other back
/// end has both a free slot and enough memory.
fn log_if_memory_is_short(item: &WaitingItem, chosen: &Candidate) {
    let tokens = item.tokens();
    if chosen.memory.fits(tokens) {
        return;
    }
    metrics::placed_short_of_memory();
    info!(event = "item_placed_short_of_memory", request = item.item.as_str(), batch = item.batch.as_str(),
        backend = chosen.backend.as_str(), tokens = tokens.tokens_at_end(), expected_tokens = chosen.memory.expected_tokens(),
        memory_tokens = chosen.memory.capacity; "");
}

pub(super) fn key_of(item: &WaitingItem) -> ItemKey {
    ItemKey {
        batch: item.batch.clone(),
        item: item.item.clone(),
    }
}

fn urgency(item: &WaitingItem) -> u8 {
    schedule::urgency(item.claim.rank, item.is_optional)
}

/// The rank, claimant and maximum wait that the scheduler uses for a batch's items.
fn scheduling_claim(batch: &BatchState, route: &Route, table: &RouteTable) -> Claim {
    let tenant = batch.tenant.as_ref();
    let claimant = tenant.map_or(route.name.as_str(), |tenant| tenant.as_str());
    Claim {
        rank: table.priority(route, tenant),
        claimant: claimant.into(),
        max_wait_ms: route.give_up_after_ms.unwrap_or(DEFAULT_GIVE_UP_AFTER_MS),
    }
}

fn is_past_deadline(route: &Route, batch: &BatchState, now: Millis) -> bool {
    let limit = route.give_up_after_ms.unwrap_or(DEFAULT_GIVE_UP_AFTER_MS);
    now.saturating_sub(batch.first_seen) > limit
}

pub(super) fn tokens_per_event(table: &RouteTable, pool: &PoolName) -> u32 {
    table
        .pool(pool)
        .map_or(1, |pool| pool.tokens_per_event.max(1))
}

/// The version that produced the first event of an item's output; `None` if there is no output.
fn first_version(active_item: Option<&ActiveItem>, state: &ItemState) -> Option<Version> {
    match active_item {
        Some(active_item) => active_item.first_version,
        None => state.events.first().map(|event| event.version),
    }
}
