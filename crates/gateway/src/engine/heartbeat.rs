//! Writes this node's heartbeats, which name the batches that it runs, and reports which slots of back ends its
//! items take.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use havenstage_rollout::Millis;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::ids::{BackendId, BatchId};
use havenstage_rollout::occupancy::{BackendDetail, OccupancyRecord};

use super::Engine;
use super::leases::{HeldBatch, open_ids};
use crate::context::{CONTROL, OCCUPANCY};
use crate::log_writes::append_or_warn;

/// Time after which unchanged occupancy is reported again: well below the age up to which a report counts.
const OCCUPANCY_REFRESH_MS: Millis = 1_000;

/// Time after which this node's address is announced again, for nodes that missed it.
const ADDRESS_REFRESH_MS: Millis = 20_000;
/// The same while this node has not read its own announcement from the control stream: the record may be lost.
const ADDRESS_RETRY_MS: Millis = 1_000;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

/// What this node last reported, and when.
#[derive(Debug, Default)]
pub(super) struct Heartbeats {
    heartbeat_at: Millis,
    batches: BTreeSet<BatchId>,
    is_sending: Arc<AtomicBool>,
    address_at: Option<Millis>,
    occupancy_at: Millis,
    last_occupancy: Option<OccupancyRecord>,
}

impl Engine {
    /// Sends a heartbeat that names the open ones of the held batches, if one is due or a batch is new. Only one
    /// is in flight at a time.
    pub(super) fn send_heartbeat(&mut self, held: &[HeldBatch], now: Millis) {
        self.report_occupancy(now);
        let batches = open_ids(held);
        let keep_ms = self.context.settings.tuning.keep_ms;
        let has_new = !batches.is_subset(&self.heartbeats.batches);
        let is_due = has_new || now.saturating_sub(self.heartbeats.heartbeat_at) >= keep_ms;
        if held.is_empty() || !is_due || !try_begin(&self.heartbeats.is_sending) {
            return;
        }
        self.announce_address(now);
        self.heartbeats.heartbeat_at = now;
        self.heartbeats.batches = batches.clone();
        let record = ControlRecord::Heartbeat {
            node: self.context.node.clone(),
            routes: self.served_routes(held),
            batches: batches.into_iter().collect(),
        };
        let (context, is_sending) = (self.context.clone(), self.heartbeats.is_sending.clone());
        tokio::spawn(async move {
            append_or_warn(context, CONTROL, record).await;
            is_sending.store(false, Ordering::Release);
        });
    }

    /// Announces the address where this node answers questions about the batches that it runs. Repeats it sooner
    /// if the control stream does not show the announcement.
    fn announce_address(&mut self, now: Millis) {
        let Some(address) = self.context.peers.own_address() else {
            return;
        };
        let node = &self.context.node;
        let is_known = self.context.control.lock().state.peers().of(node).is_some();
        let pause_ms = match is_known {
            true => ADDRESS_REFRESH_MS,
            false => ADDRESS_RETRY_MS,
        };
        let last_at = self.heartbeats.address_at;
        if last_at.is_some_and(|at| now.saturating_sub(at) < pause_ms) {
            return;
        }
        self.heartbeats.address_at = Some(now);
        let record = ControlRecord::PeerListens {
            node: node.clone(),
            address,
        };
        tokio::spawn(append_or_warn(self.context.clone(), CONTROL, record));
    }

    /// Names of the routes of the held batches, so that new batches of these routes are submitted to this node;
    /// none while it stops.
    fn served_routes(&self, held: &[HeldBatch]) -> Vec<String> {
        let Some(table) = self.context.routes() else {
            return Vec::new();
        };
        if self.context.is_stopping() {
            return Vec::new();
        }
        let routes: BTreeSet<String> = held
            .iter()
            .filter_map(|held| table.batch_route(&held.host, &held.path))
            .map(|route| route.name.clone())
            .collect();
        routes.into_iter().collect()
    }

    /// Details on back ends that run items of this node, and on those whose speed it measured recently: other nodes
    /// avoid a slow back end also when no item runs there any more.
    fn backend_details(&self, now: Millis) -> BTreeMap<BackendId, BackendDetail> {
        let mut details: BTreeMap<BackendId, BackendDetail> = BTreeMap::new();
        for (backend, tokens) in self.item_lengths.expected_tokens() {
            details.entry(backend.clone()).or_default().expected_tokens = tokens;
        }
        let backends = self.context.backends.lock();
        for (backend, gap) in backends.event_gaps(now).filter(|(_, gap)| gap.is_fresh()) {
            let detail = details.entry(backend.clone()).or_default();
            detail.event_gap_us = Some((gap.gap_ms * US_PER_MS) as u32);
        }
        details
    }

    fn report_occupancy(&mut self, now: Millis) {
        let record = OccupancyRecord {
            node: self.context.node.clone(),
            running: self.own_running_by_backend(),
            details: self.backend_details(now),
        };
        // Expected tokens change with each event, so a change of them alone does not trigger a report.
        let last = self.heartbeats.last_occupancy.as_ref();
        let is_same = last.map_or(record.running.is_empty(), |last| {
            last.running == record.running
        });
        let age = now.saturating_sub(self.heartbeats.occupancy_at);
        let pause_ms = match is_same {
            true if record.running.is_empty() => return,
            true => OCCUPANCY_REFRESH_MS,
            false => self.context.settings.tuning.keep_ms,
        };
        if age < pause_ms {
            return;
        }
        self.heartbeats.occupancy_at = now;
        self.heartbeats.last_occupancy = Some(record.clone());
        tokio::spawn(append_or_warn(self.context.clone(), OCCUPANCY, record));
    }
}

/// Marks a heartbeat as in flight. Returns false if one already is.
fn try_begin(is_sending: &AtomicBool) -> bool {
    !is_sending.swap(true, Ordering::Acquire)
}
