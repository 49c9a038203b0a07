//! Queue of admission requests at an engine's home node: urgent before live before training.

use std::collections::BTreeMap;

use havenstage_types::clock::Moment;
use havenstage_types::ids::{AttemptId, NodeId};
use havenstage_types::peer::AdmitRequest;
use havenstage_types::resource::PriorityClass;

/// Sort key of the queue; the lowest is granted next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    class: PriorityClass,
    /// Zero by default. With longest training first: lower for a larger `max_new_tokens`.
    length_order: u32,
    arrival: u64,
}

/// A queued admission request.
#[derive(Debug, Clone)]
pub(super) struct QueuedRequest {
    pub request: AdmitRequest,
    pub arrived_at: Moment,
    /// When the maximum wait (`patience`) of the request ends.
    pub expires_at: Moment,
}

/// The queue in the order of grants, with an index by attempt.
#[derive(Debug, Clone, Default)]
pub(super) struct AdmissionQueue {
    entries: BTreeMap<QueueKey, QueuedRequest>,
    keys: BTreeMap<AttemptId, QueueKey>,
    arrivals: u64,
}

impl AdmissionQueue {
    pub fn push(&mut self, now: Moment, request: AdmitRequest, longest_training_first: bool) {
        self.arrivals += 1;
        let sort_by_length = longest_training_first && !request.class.is_live();
        let key = QueueKey {
            class: request.class,
            length_order: if sort_by_length {
                u32::MAX - request.max_new_tokens
            } else {
                0
            },
            arrival: self.arrivals,
        };
        self.keys.insert(request.attempt, key);
        let entry = QueuedRequest {
            arrived_at: now,
            expires_at: now + request.patience,
            request,
        };
        self.entries.insert(key, entry);
    }

    /// Extends the wait of a queued request that was sent again; returns `false` when the request
    /// is not queued here.
    pub fn renew(&mut self, now: Moment, request: &AdmitRequest) -> bool {
        let Some(key) = self.keys.get(&request.attempt) else {
            return false;
        };
        if let Some(entry) = self.entries.get_mut(key) {
            entry.expires_at = entry.expires_at.max(now + request.patience);
        }
        true
    }

    pub fn first(&self) -> Option<&QueuedRequest> {
        self.entries.values().next()
    }

    pub fn pop_first(&mut self) -> Option<QueuedRequest> {
        let (_, entry) = self.entries.pop_first()?;
        self.keys.remove(&entry.request.attempt);
        Some(entry)
    }

    pub fn pop_last(&mut self) -> Option<QueuedRequest> {
        let (_, entry) = self.entries.pop_last()?;
        self.keys.remove(&entry.request.attempt);
        Some(entry)
    }

    pub fn remove(&mut self, attempt: AttemptId) -> Option<QueuedRequest> {
        let key = self.keys.remove(&attempt)?;
        self.entries.remove(&key)
    }

    /// Queued live and urgent requests in queue order.
    pub fn live(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.entries
            .values()
            .take_while(|entry| entry.request.class.is_live())
    }

    /// Attempts whose maximum wait has ended, in queue order.
    pub fn expired(&self, now: Moment) -> Vec<AttemptId> {
        self.entries
            .values()
            .filter(|entry| entry.expires_at <= now)
            .map(|entry| entry.request.attempt)
            .collect()
    }

    pub fn requested_by(&self, node: NodeId) -> Vec<AttemptId> {
        self.keys
            .keys()
            .copied()
            .filter(|attempt| attempt.node == node)
            .collect()
    }

    pub fn len(&self) -> u32 {
        self.entries.len() as u32
    }
}
