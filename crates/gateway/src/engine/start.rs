//! Starts runs of items, which continue after the output that an item already has.

use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_rollout::Millis;
use havenstage_rollout::batch_state::BatchState;
use havenstage_rollout::ids::{BackendId, GroupId, TenantName};
use havenstage_rollout::record::OutputEvent;
use havenstage_rollout::slow_start::Sender;
use log::info;
use tokio::sync::Notify;

use super::active_item::{AbortOnDrop, ActiveItem, Phase};
use super::run::{self, ItemKey, RunParameters, VersionRule};
use super::{DEFAULT_GIVE_UP_AFTER_MS, Engine};
use crate::metrics;

/// Properties of a batch that a run of one of its items needs.
pub(super) struct BatchParameters {
    host: String,
    tenant: Option<TenantName>,
    minimum_version: u64,
    is_single_version: bool,
    deadline: Instant,
    batch_age_ms: Millis,
}

impl Engine {
    pub(super) fn start(&mut self, key: &ItemKey, backend_id: &BackendId, urgency: u8) {
        let Some(write_deadline) = self.context.write_deadline(&key.batch) else {
            return;
        };
        let now = self.context.now();
        let owners = self.context.batch_owners();
        let sender = Sender::Item {
            node: &self.context.node,
            owners: &owners,
        };
        let Some(backend) = self
            .context
            .backends
            .take_for_request(backend_id, sender, now)
        else {
            return;
        };
        let Some(start) = self.prepare_item(key, now) else {
            return;
        };
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        let run = item.begin_run();
        let stall_signal = Arc::new(Notify::new());
        let parameters = RunParameters {
            key: key.clone(),
            run,
            spec: item.spec.clone(),
            host: start.host,
            tenant: start.tenant,
            resumed_from: item.resumed_from,
            versions: VersionRule {
                minimum: start.minimum_version,
                is_single: start.is_single_version,
                first_version: item.first_version,
            },
            deadline: start.deadline,
            write_deadline,
            urgency,
            stall_signal: stall_signal.clone(),
        };
        let resumed_from = item.resumed_from;
        let known_age_ms = self
            .context
            .known_age_ms(self.context.partitions.at(item.partition));
        let backends_age_ms = self.context.backends.age_ms(now);
        let group = item.spec.group.clone();
        let expected_tokens = item.spec.expected_tokens;
        let sender = self.run_message_sender.clone();
        let task = tokio::spawn(run::run_item(
            self.context.clone(),
            backend,
            parameters,
            sender,
        ));
        item.phase = Phase::Running {
            backend: backend_id.clone(),
            since: now,
            last_event: None,
            stall_signal: Some(stall_signal),
            _task: AbortOnDrop(task.abort_handle()),
        };
        self.breakers
            .entry(backend_id.clone())
            .or_default()
            .record_start(now);
        // The age is unknown only for a partition that was never read to its end, and no item of such a
        // partition is started.
        if let Some(known_age_ms) = known_age_ms {
            metrics::run_started(known_age_ms);
        }
        info!(event = "run_started", request = key.item.as_str(), batch = key.batch.as_str(),
            backend = backend_id.as_str(), resumed_from = resumed_from, urgency = urgency,
            group = group.as_ref().map_or("", GroupId::as_str), expected_tokens = expected_tokens,
            minimum_version = start.minimum_version, batch_age_ms = start.batch_age_ms,
            known_age_ms = known_age_ms, backends_age_ms = backends_age_ms; "");
    }

    /// Adds the item to the active items, with the output that the log holds, if it is not one of them yet.
    /// Returns what a run needs of the batch; `None` if the state of the partition lacks the batch, the item, or
    /// the item's request.
    pub(super) fn prepare_item(&mut self, key: &ItemKey, now: Millis) -> Option<BatchParameters> {
        let index = self.context.partitions.index_of(&key.batch);
        let inner = self.context.partitions.at(index).lock();
        let batch = inner.state.batch(&key.batch)?;
        let state = batch.item(&key.item)?;
        let give_up_after_ms = self.give_up_after_ms(batch);
        let age = now.saturating_sub(batch.first_seen);
        let left = Duration::from_millis(give_up_after_ms.saturating_sub(age));
        let start = BatchParameters {
            host: batch.host.clone(),
            tenant: batch.tenant.clone(),
            minimum_version: batch.minimum_version,
            is_single_version: self.is_single_version(batch),
            deadline: Instant::now() + left,
            batch_age_ms: age,
        };
        if !self.items.contains_key(key) {
            let spec = state.spec.clone()?;
            let item = ActiveItem::new(state, spec, index, now);
            drop(inner);
            self.items.insert(key.clone(), item);
        }
        Some(start)
    }

    pub(super) fn give_up_after_ms(&self, batch: &BatchState) -> Millis {
        let routes = self.context.routes();
        let route = routes
            .as_ref()
            .and_then(|table| table.batch_route(&batch.host, &batch.path));
        route
            .and_then(|route| route.give_up_after_ms)
            .unwrap_or(DEFAULT_GIVE_UP_AFTER_MS)
    }

    /// Whether every event of a result must come from the same version.
    pub(super) fn is_single_version(&self, batch: &BatchState) -> bool {
        let routes = self.context.routes();
        let route = routes
            .as_ref()
            .and_then(|table| table.batch_route(&batch.host, &batch.path));
        route.is_some_and(|route| route.single_version)
    }

    /// Drops the output of an item because no back end serves the version that produced it any more.
    pub(super) fn restart(&mut self, key: &ItemKey) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        let partition = item.partition;
        info!(event = "item_restarted", request = key.item.as_str(), batch = key.batch.as_str(),
            events = item.events, version = item.first_version; "");
        let progress = item.take_progress(key);
        let record = item.restart(key);
        if let Some(progress) = progress {
            self.queue_record(partition, &progress);
        }
        self.queue_record(partition, &record);
    }

    /// Uses output of the same item in another batch as the output of a run of this item.
    pub(super) fn adopt_output(&mut self, key: &ItemKey, reusable: Vec<OutputEvent>) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        item.begin_run();
        for event in reusable {
            item.add_event(event);
        }
        let partition = item.partition;
        if let Some(progress) = item.take_progress(key) {
            self.queue_record(partition, &progress);
        }
    }
}
