//! Tells other nodes which batches this one runs, and which places its items take.

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

/// Time after which places that are taken are told again though nothing changed: well within the age
/// up to which they count.
const TELL_PLACES_AGAIN_MS: Millis = 1_000;

/// Time after which this node's address is told again, for nodes that missed it.
const TELL_ADDRESS_AGAIN_MS: Millis = 20_000;
/// The same while it was not read back: the record may be lost.
const ADDRESS_UNREAD_MS: Millis = 1_000;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

/// What was last told, and when.
#[derive(Debug, Default)]
pub(super) struct Heartbeats {
    served_at: Millis,
    batches: BTreeSet<BatchId>,
    is_telling: Arc<AtomicBool>,
    address_at: Option<Millis>,
    occupied_at: Millis,
    occupied: Option<OccupancyRecord>,
}

impl Engine {
    /// Says that this node is alive and runs these batches, when it is due or they have changed.
    pub(super) fn tell_what_runs(&mut self, held: &[HeldBatch], now: Millis) {
        self.tell_places(now);
        let batches = open_ids(held);
        let keep_ms = self.context.settings.tuning.keep_ms;
        let has_new = !batches.is_subset(&self.heartbeats.batches);
        let is_due = has_new || now.saturating_sub(self.heartbeats.served_at) >= keep_ms;
        if held.is_empty() || !is_due || !begin(&self.heartbeats.is_telling) {
            return;
        }
        self.tell_address(now);
        self.heartbeats.served_at = now;
        self.heartbeats.batches = batches.clone();
        let record = ControlRecord::Heartbeat {
            node: self.context.node.clone(),
            routes: self.served_routes(held),
            batches: batches.into_iter().collect(),
        };
        let (context, is_telling) = (self.context.clone(), self.heartbeats.is_telling.clone());
        tokio::spawn(async move {
            append_or_warn(context, CONTROL, record).await;
            is_telling.store(false, Ordering::Release);
        });
    }

    /// Says where this node answers questions about the batches that it runs, once more if that cannot be read
    /// in the control stream.
    fn tell_address(&mut self, now: Millis) {
        let Some(address) = self.context.peers.own_address() else {
            return;
        };
        let node = &self.context.node;
        let is_known = self.context.control.lock().state.peers().of(node).is_some();
        let pause_ms = match is_known {
            true => TELL_ADDRESS_AGAIN_MS,
            false => ADDRESS_UNREAD_MS,
        };
        let told_at = self.heartbeats.address_at;
        if told_at.is_some_and(|at| now.saturating_sub(at) < pause_ms) {
            return;
        }
        self.heartbeats.address_at = Some(now);
        let record = ControlRecord::PeerListens {
            node: node.clone(),
            address,
        };
        tokio::spawn(append_or_warn(self.context.clone(), CONTROL, record));
    }

    /// Routes of the batches, so that this node is handed their next ones; none while it stops.
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

    /// Back ends with items of this node, and those of which it has lately seen how quick they are: others are
    /// to leave a slow one alone also when no item runs there any more.
    fn backend_details(&self, now: Millis) -> BTreeMap<BackendId, BackendDetail> {
        let mut details: BTreeMap<BackendId, BackendDetail> = BTreeMap::new();
        for (backend, tokens) in self.lengths.expected_tokens() {
            details.entry(backend.clone()).or_default().expected_tokens = tokens;
        }
        let backends = self.context.backends.lock();
        for (backend, gap) in backends.event_gaps(now).filter(|(_, gap)| gap.is_fresh()) {
            let detail = details.entry(backend.clone()).or_default();
            detail.event_gap_us = Some((gap.gap_ms * US_PER_MS) as u32);
        }
        details
    }

    fn tell_places(&mut self, now: Millis) {
        let record = OccupancyRecord {
            node: self.context.node.clone(),
            running: self.running_here(),
            details: self.backend_details(now),
        };
        // Expected tokens change with each event; they go along when the places are told.
        let told = self.heartbeats.occupied.as_ref();
        let is_same = told.map_or(record.running.is_empty(), |told| {
            told.running == record.running
        });
        let age = now.saturating_sub(self.heartbeats.occupied_at);
        let pause_ms = match is_same {
            true if record.running.is_empty() => return,
            true => TELL_PLACES_AGAIN_MS,
            false => self.context.settings.tuning.keep_ms,
        };
        if age < pause_ms {
            return;
        }
        self.heartbeats.occupied_at = now;
        self.heartbeats.occupied = Some(record.clone());
        tokio::spawn(append_or_warn(self.context.clone(), OCCUPANCY, record));
    }
}

/// Whether no heartbeat is under way; if so, one is from now on.
fn begin(is_telling: &AtomicBool) -> bool {
    !is_telling.swap(true, Ordering::Acquire)
}
