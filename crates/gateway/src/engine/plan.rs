//! Gives waiting items their places.

use std::collections::{BTreeMap, HashMap, HashSet};

use havenstage_rollout::Millis;
use havenstage_rollout::event_gap::median;
use havenstage_rollout::fold::{BatchState, ItemState};
use havenstage_rollout::ids::{BackendId, BatchId, GroupId, ItemId, ModelName, PoolName, Version};
use havenstage_rollout::record::{GiveUpReason, OutputEvent};
use havenstage_rollout::route::{Pool, Route, RouteTable};
use havenstage_rollout::schedule::{self, Candidate, Relocation, RunningItem, WaitingItem};
use log::info;
use xxhash_rust::xxh3::xxh3_64;

use super::live::{LiveItem, Phase};
use super::run::ItemKey;
use super::{Carried, DEFAULT_GIVE_UP_MS, Engine, events_of};
use crate::context::Context;

/// Urgency at back ends of items that their step needs.
const NEEDED_URGENCY: u8 = 4;
/// Urgency at back ends of items that their step can do without.
const OPTIONAL_URGENCY: u8 = 7;
/// Time after which an order of which nothing was heard no longer keeps items away.
const ORDER_KEEPS_AWAY_MS: Millis = 4_000;
/// Share of the time after which an end is in force up to which knowledge of a batch is acted on; the
/// rest is for an item's way to its back end.
const ACT_ON_SHARE: f64 = 2.0 / 3.0;
/// Gap between events of a back end whose speed is not known yet.
const USUAL_GAP_MS: f64 = 30.0;
/// Shortest gap that is told apart from none.
const SHORTEST_GAP_MS: f64 = 1.0;

/// Work of this node in one pool.
#[derive(Default)]
struct PoolWork {
    waiting: Vec<WaitingItem>,
    running: Vec<RunningItem>,
}

impl Engine {
    /// Gives waiting items places, and gives up those that are too late.
    pub(super) fn plan(&mut self) {
        if self.has_released {
            return;
        }
        let Some(table) = self.context.routes() else {
            return;
        };
        let now = self.context.now();
        let mut work: BTreeMap<PoolName, PoolWork> = BTreeMap::new();
        let mut too_late = Vec::new();
        let end_in_force_ms = self.context.settings.bounds.end_in_force_ms as f64;
        let most_age_ms = (end_in_force_ms * ACT_ON_SHARE) as Millis;
        for partition in self.context.partitions.needed() {
            // An end that is not read yet must not be in force when an item arrives.
            if !self
                .context
                .partitions
                .at(partition)
                .may_be_acted_on(now, most_age_ms)
            {
                continue;
            }
            self.note_carried(partition);
            let inner = self.context.partitions.at(partition).lock();
            for batch in inner.state.batches().filter(|batch| self.is_own(batch)) {
                let Some(route) = table.batch_route(&batch.host, &batch.path) else {
                    continue;
                };
                if is_too_late(route, batch, now) {
                    too_late.extend(self.open_items(batch));
                    continue;
                }
                self.collect_items(batch, route, &table, now, &mut work);
            }
        }
        for key in too_late {
            if self.prepare(&key, now).is_some() {
                self.give_up(&key, GiveUpReason::TooLate);
            }
        }
        for (pool, work) in work {
            self.place(&table, &pool, work, now);
        }
    }

    /// Whether this node runs the batch's items.
    fn is_own(&self, batch: &BatchState) -> bool {
        !batch.is_closed() && batch.lease.is_held_by(&self.context.node)
    }

    fn note_carried(&mut self, partition: usize) {
        let inner = self.context.partitions.at(partition).lock();
        let new: Vec<(BatchId, Vec<ItemId>)> = inner
            .state
            .batches()
            .filter(|batch| self.is_own(batch) && !self.knows_carried(&batch.id))
            .map(|batch| {
                (
                    batch.id.clone(),
                    batch.items.iter().map(|item| item.id.clone()).collect(),
                )
            })
            .collect();
        drop(inner);
        let is_final = self.context.partitions.know_needed(self.context.now());
        for (batch, items) in new {
            let items = carried_items(&self.context, &batch, items);
            self.carried.insert(batch, Carried { items, is_final });
        }
    }

    /// Whether all earlier batches were looked through for this one's items.
    fn knows_carried(&self, batch: &BatchId) -> bool {
        self.carried
            .get(batch)
            .is_some_and(|carried| carried.is_final)
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
        let carried = self
            .carried
            .get(&batch.id)
            .map_or(&none, |carried| &carried.items);
        let tokens_per_event = route
            .pools
            .first()
            .map_or(1, |first| tokens_per_event(table, &first.pool));
        let optional = schedule::optional_items(batch, carried, tokens_per_event);
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
            let live = self.items.get(&key);
            let item = WaitingItem {
                batch: batch.id.clone(),
                item: item.id.clone(),
                optional: optional.contains(&item.id),
                expected_tokens: item.remaining_after(events_of(live, item), tokens_per_event),
                since: batch.first_seen,
                model: batch.model.clone(),
                minimum_version: batch.minimum_version,
                exact_version: made_by(live, item).filter(|_| route.single_version),
                group: item.group.clone(),
            };
            let Some(live) = live else {
                work.waiting.push(item);
                continue;
            };
            match &live.phase {
                Phase::Waiting => work.waiting.push(item),
                Phase::Running { backend, since, .. } => work.running.push(RunningItem {
                    expected_events: item.expected_tokens.div_ceil(tokens_per_event),
                    item,
                    backend: backend.clone(),
                    running_ms: now.saturating_sub(*since),
                    moves: live.moves,
                }),
                Phase::Scoring { .. } | Phase::Finishing { .. } => {}
            }
        }
    }

    fn place(&mut self, table: &RouteTable, pool: &PoolName, mut work: PoolWork, now: Millis) {
        if work.waiting.is_empty() && work.running.is_empty() {
            return;
        }
        let usual_gap_ms = self.usual_gap_ms(pool, now);
        let oldest = oldest_versions(&work);
        let mut candidates = self.candidates(table.pool(pool), pool, &oldest, usual_gap_ms, now);
        let token_ms = usual_gap_ms / f64::from(tokens_per_event(table, pool));
        schedule::sort_waiting(&mut work.waiting, now, token_ms);
        for item in &work.waiting {
            let Some(chosen) = schedule::choose(item, &candidates) else {
                self.restart_if_version_is_gone(item, pool, now);
                continue;
            };
            let backend = chosen.backend.clone();
            for candidate in candidates.iter_mut().filter(|c| c.backend == backend) {
                candidate.running += 1;
                candidate.groups.extend(item.group.clone());
            }
            self.begin(item, &backend, now);
        }
        for relocation in schedule::relocations(work.running, candidates) {
            self.relocate(&relocation);
        }
    }

    /// An item that is bound to a version which no back end has any more begins anew.
    fn restart_if_version_is_gone(&mut self, item: &WaitingItem, pool: &PoolName, now: Millis) {
        let (Some(exact), Some(model)) = (item.exact_version, &item.model) else {
            return;
        };
        let backends = self.context.backends.lock();
        let mut ready = backends.list.ready_in(pool);
        let is_there = ready.any(|(id, _)| backends.version(id, model) == exact);
        drop(ready);
        drop(backends);
        let key = ItemKey {
            batch: item.batch.clone(),
            item: item.item.clone(),
        };
        if !is_there && self.prepare(&key, now).is_some() {
            self.restart(&key);
        }
    }

    /// Lets an item go on at a faster back end, from the output that is there.
    fn relocate(&mut self, relocation: &Relocation) {
        let item = &relocation.item;
        let key = ItemKey {
            batch: item.batch.clone(),
            item: item.item.clone(),
        };
        let Some(live) = self.items.get_mut(&key) else {
            return;
        };
        info!(event = "item_relocated", request = key.item.as_str(), batch = key.batch.as_str(),
            from = live.running_on().map_or("", BackendId::as_str), to = relocation.to.as_str(),
            events = live.events; "");
        // Ends the run and resets its connection.
        live.phase = Phase::Waiting;
        live.moves += 1;
        let partition = live.partition;
        if let Some(progress) = live.take_progress(&key) {
            self.push(partition, &progress);
        }
        self.start(&key, &relocation.to, urgency(item));
    }

    fn begin(&mut self, item: &WaitingItem, backend: &BackendId, now: Millis) {
        let key = ItemKey {
            batch: item.batch.clone(),
            item: item.item.clone(),
        };
        let is_first_start = !self.items.contains_key(&key);
        if self.prepare(&key, now).is_none() {
            return;
        }
        if is_first_start && self.take_from_earlier_batch(&key, item) {
            return;
        }
        self.start(&key, backend, urgency(item));
    }

    /// Takes over what an earlier batch has of the item; true if that is its whole output.
    fn take_from_earlier_batch(&mut self, key: &ItemKey, waiting: &WaitingItem) -> bool {
        if self.items.get(key).is_none_or(|item| item.events > 0) {
            return false;
        }
        let is_carried = self
            .carried
            .get(&key.batch)
            .is_some_and(|carried| carried.items.contains(&key.item));
        if !is_carried {
            return false;
        }
        let is_single = self
            .context
            .partition_of(&key.batch)
            .lock()
            .state
            .batch(&key.batch)
            .is_some_and(|batch| self.is_single_version(batch));
        let Some(kept) = kept_output(&self.context, key, waiting.minimum_version, is_single) else {
            return false;
        };
        info!(event = "output_kept", request = key.item.as_str(), batch = key.batch.as_str(),
            events = kept.events.len(), is_whole = kept.is_whole; "");
        self.take_kept_output(key, kept.events);
        if kept.is_whole {
            self.text_is_whole(key);
        }
        kept.is_whole
    }

    /// Gap between events that is usual among a pool's back ends.
    fn usual_gap_ms(&self, pool: &PoolName, now: Millis) -> f64 {
        let backends = self.context.backends.lock();
        let ready = backends.list.ready_in(pool);
        let gaps_ms = ready.filter_map(|(id, _)| backends.event_gap_ms(id, now));
        median(gaps_ms.collect()).unwrap_or(USUAL_GAP_MS)
    }

    fn candidates(
        &self,
        pool: Option<&Pool>,
        name: &PoolName,
        oldest: &BTreeMap<ModelName, Version>,
        usual_gap_ms: f64,
        now: Millis,
    ) -> Vec<Candidate> {
        let own_node = &self.context.node;
        let elsewhere = self.context.occupied(|node| node != own_node);
        let groups = self.groups_by_backend();
        let own = self.running_here();
        let control = self.context.control.lock();
        let backends = self.context.backends.lock();
        let models = pool.map(|pool| pool.models.clone()).unwrap_or_default();
        let mut candidates = Vec::new();
        for (id, record) in backends.list.ready_in(name) {
            let is_paused = self.pauses.get(id).is_some_and(|pause| pause.until > now);
            let is_loading = control
                .state
                .pending(id)
                .is_some_and(|order| now.saturating_sub(order.since) < ORDER_KEEPS_AWAY_MS);
            let serves_none = !oldest.is_empty()
                && oldest
                    .iter()
                    .all(|(model, version)| backends.version(id, model) < *version);
            if is_paused || is_loading || serves_none {
                continue;
            }
            let versions = |model: &ModelName| (model.clone(), backends.version(id, model));
            let gap_ms = backends.event_gap_ms(id, now).unwrap_or(usual_gap_ms);
            candidates.push(Candidate {
                backend: id.clone(),
                running: own.get(id).copied().unwrap_or(0)
                    + elsewhere.get(id).copied().unwrap_or(0),
                slots: record.slots,
                event_gap_ms: gap_ms.max(SHORTEST_GAP_MS),
                models: models
                    .iter()
                    .map(versions)
                    .collect::<BTreeMap<ModelName, Version>>(),
                groups: groups.get(id).cloned().unwrap_or_default(),
            });
        }
        candidates
    }

    pub(super) fn running_here(&self) -> BTreeMap<BackendId, u32> {
        let mut running = BTreeMap::new();
        for backend in self.items.values().filter_map(|item| item.running_on()) {
            *running.entry(backend.clone()).or_default() += 1;
        }
        running
    }

    fn groups_by_backend(&self) -> HashMap<BackendId, HashSet<GroupId>> {
        let mut groups: HashMap<BackendId, HashSet<GroupId>> = HashMap::new();
        for item in self.items.values() {
            if let (Some(backend), Some(group)) = (item.running_on(), &item.spec.group) {
                groups
                    .entry(backend.clone())
                    .or_default()
                    .insert(group.clone());
            }
        }
        groups
    }
}

/// The oldest version of each model that any of the items may run on; empty if some item may run on any
/// back end. Most back ends of a large pool serve other models.
fn oldest_versions(work: &PoolWork) -> BTreeMap<ModelName, Version> {
    let running = work.running.iter().map(|running| &running.item);
    let mut oldest: BTreeMap<ModelName, Version> = BTreeMap::new();
    for item in work.waiting.iter().chain(running) {
        let Some(model) = &item.model else {
            return BTreeMap::new();
        };
        let known = oldest.entry(model.clone()).or_insert(item.minimum_version);
        *known = (*known).min(item.minimum_version);
    }
    oldest
}

fn urgency(item: &WaitingItem) -> u8 {
    if item.optional {
        OPTIONAL_URGENCY
    } else {
        NEEDED_URGENCY
    }
}

fn is_too_late(route: &Route, batch: &BatchState, now: Millis) -> bool {
    let limit = route.give_up_after_ms.unwrap_or(DEFAULT_GIVE_UP_MS);
    now.saturating_sub(batch.first_seen) > limit
}

fn tokens_per_event(table: &RouteTable, pool: &PoolName) -> u32 {
    table
        .pool(pool)
        .map_or(1, |pool| pool.tokens_per_event.max(1))
}

/// Version that made the first event there.
fn made_by(live: Option<&LiveItem>, state: &ItemState) -> Option<Version> {
    match live {
        Some(live) => live.made_by,
        None => state.events.first().map(|event| event.version),
    }
}

/// Items of a batch that another batch holds too.
fn carried_items(context: &Context, batch: &BatchId, items: Vec<ItemId>) -> HashSet<ItemId> {
    let mut carried = HashSet::new();
    for index in context.partitions.needed() {
        let inner = context.partitions.at(index).lock();
        for other in inner.state.batches().filter(|other| other.id != *batch) {
            carried.extend(
                items
                    .iter()
                    .filter(|item| other.item(item).is_some())
                    .cloned(),
            );
        }
    }
    carried
}

struct KeptOutput {
    events: Vec<OutputEvent>,
    is_whole: bool,
}

/// The longest output that another batch has of the item, if all its versions are allowed.
fn kept_output(
    context: &Context,
    key: &ItemKey,
    minimum: Version,
    is_single: bool,
) -> Option<KeptOutput> {
    let mut best: Option<KeptOutput> = None;
    for index in context.partitions.needed() {
        let inner = context.partitions.at(index).lock();
        for other in inner.state.batches().filter(|other| other.id != key.batch) {
            let Some(item) = other.item(&key.item) else {
                continue;
            };
            let (events, is_whole) = match &item.result {
                Some(result) => (&result.events, !result.events.is_empty()),
                None => (&item.events, false),
            };
            let first = events.first().map(|event| event.version);
            let is_allowed = events.iter().all(|event| {
                event.version >= minimum && (!is_single || Some(event.version) == first)
            });
            let is_better = best
                .as_ref()
                .is_none_or(|best| events.len() > best.events.len());
            if is_allowed && is_better && !events.is_empty() {
                best = Some(KeptOutput {
                    events: events.clone(),
                    is_whole,
                });
            }
        }
    }
    best
}
