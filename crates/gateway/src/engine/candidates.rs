//! Lists the back ends of a pool that may run items now, with their free slots, memory and speed.

use std::collections::{BTreeMap, HashMap, HashSet};

use havenstage_rollout::Millis;
use havenstage_rollout::back_end_speed::{expected_gap_ms, median};
use havenstage_rollout::circuit_breaker::Admission;
use havenstage_rollout::ids::{BackendId, GroupId, ModelName, PoolName, Version};
use havenstage_rollout::route::Pool;
use havenstage_rollout::schedule::{Candidate, TokenMemory};
use havenstage_rollout::slow_start::Sender;

use super::Engine;
use super::plan::PoolWork;
use crate::crash_guard;

/// Time after which an unanswered order to load a version no longer excludes its back end from items.
pub(super) const LOAD_ORDER_TIMEOUT_MS: Millis = 4_000;
/// Time between two events of a stream, assumed while no back end of the pool has a measured one.
const DEFAULT_EVENT_GAP_MS: f64 = 30.0;
/// Lower bound of the gap between events that the scheduler calculates with, so that it is never zero.
const MIN_EVENT_GAP_MS: f64 = 1.0;

/// Number of listed back ends of a pool that may run no items now, by reason.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ExcludedBackends {
    pub(super) cold: usize,
    pub(super) breaker_open: usize,
    pub(super) loading: usize,
    pub(super) too_old: usize,
    pub(super) ended: usize,
}

impl Engine {
    /// Median over a pool's back ends of the time between two events of a stream.
    pub(super) fn median_gap_ms(&self, pool: &PoolName, now: Millis) -> f64 {
        let backends = self.context.backends.lock();
        let ready = backends.list.ready_in(pool);
        let gaps_ms = ready.filter_map(|(id, _)| Some(backends.event_gap(id, now)?.gap_ms));
        median(gaps_ms.collect()).unwrap_or(DEFAULT_EVENT_GAP_MS)
    }

    /// Back ends that may run items now and whose weights are new enough for at least one of them. Excludes
    /// back ends whose circuit breaker is open, that load a version, that ended a moment ago, or that are cold while
    /// others are warm.
    /// `oldest` is the oldest version of each model that any item may run on; if it is empty, no back end is excluded for
    /// its version. Also returns how many are excluded for which reason.
    pub(super) fn candidates(
        &self,
        pool: Option<&Pool>,
        name: &PoolName,
        oldest: &BTreeMap<ModelName, Version>,
        median_gap_ms: f64,
        now: Millis,
    ) -> (Vec<Candidate>, ExcludedBackends) {
        let own_node = &self.context.node;
        let other_nodes_running = self.context.occupied(|node| node != own_node);
        let reported_gaps_ms = self.context.reported_event_gaps_ms(|node| node != own_node);
        let other_nodes_tokens = self.other_nodes_tokens();
        let capacity = pool.and_then(|pool| pool.memory_tokens);
        let groups = self.groups_by_backend();
        let own_running = self.own_running_by_backend();
        let owners = self.context.batch_owners();
        let sender = Sender::Item {
            node: own_node,
            owners: &owners,
        };
        let ended = crash_guard::recently_ended_backends(&self.context);
        let control = self.context.control.lock();
        let backends = self.context.backends.lock();
        let models = pool.map(|pool| pool.models.clone()).unwrap_or_default();
        let mut candidates = Vec::new();
        let mut excluded = ExcludedBackends::default();
        let has_warm = backends.has_warm(name, now);
        for (id, record) in backends.list.ready_in(name) {
            if has_warm && backends.is_cold(id, now) {
                excluded.cold += 1;
                continue;
            }
            let admission = self
                .breakers
                .get(id)
                .map_or(Admission::All, |breaker| breaker.admission(now));
            let is_loading = control
                .state
                .pending(id)
                .is_some_and(|order| now.saturating_sub(order.since) < LOAD_ORDER_TIMEOUT_MS);
            let serves_none = !oldest.is_empty()
                && oldest
                    .iter()
                    .all(|(model, version)| backends.version(id, model) < *version);
            let reason = if admission == Admission::None {
                Some(&mut excluded.breaker_open)
            } else if is_loading {
                Some(&mut excluded.loading)
            } else if serves_none {
                Some(&mut excluded.too_old)
            } else if ended.contains(id) {
                Some(&mut excluded.ended)
            } else {
                None
            };
            if let Some(count) = reason {
                *count += 1;
                continue;
            }
            let versions = |model: &ModelName| (model.clone(), backends.version(id, model));
            let own_gap = backends.event_gap(id, now);
            let gap_ms = expected_gap_ms(own_gap, reported_gaps_ms.get(id).copied(), median_gap_ms);
            let running = own_running.get(id).copied().unwrap_or(0)
                + other_nodes_running.get(id).copied().unwrap_or(0);
            let allowance = match admission {
                Admission::Probe => Some(1),
                Admission::All | Admission::None => None,
            };
            let cold_allowance = backends.cold_allowance(id, sender, now);
            let allowance = allowance.into_iter().chain(cold_allowance).min();
            candidates.push(Candidate {
                backend: id.clone(),
                region: backends.region_of(record).cloned(),
                running,
                slots: allowance.map_or(record.slots, |more| record.slots.min(running + more)),
                memory: TokenMemory {
                    capacity,
                    other_nodes_tokens: other_nodes_tokens.get(id).copied().unwrap_or(0),
                    items: self.item_lengths.items_on(id),
                },
                event_gap_ms: gap_ms.max(MIN_EVENT_GAP_MS),
                is_half_open: admission == Admission::Probe,
                models: models
                    .iter()
                    .map(versions)
                    .collect::<BTreeMap<ModelName, Version>>(),
                groups: groups.get(id).cloned().unwrap_or_default(),
            });
        }
        (candidates, excluded)
    }

    /// Number of this node's running items on each back end.
    pub(super) fn own_running_by_backend(&self) -> BTreeMap<BackendId, u32> {
        let mut running = BTreeMap::new();
        for backend in self.items.values().filter_map(|item| item.running_on()) {
            *running.entry(backend.clone()).or_default() += 1;
        }
        running
    }

    /// Tokens that other nodes' items are expected to hold on each back end, by the reports of those nodes.
    fn other_nodes_tokens(&self) -> BTreeMap<BackendId, u32> {
        let own_node = &self.context.node;
        self.context.expected_tokens(|node| node != own_node)
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

/// The oldest version of each model that any of the items may run on; empty if some item names no model and
/// so may run on any back end. Most back ends of a large pool serve other models, and this excludes them.
pub(super) fn oldest_versions(work: &PoolWork) -> BTreeMap<ModelName, Version> {
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
