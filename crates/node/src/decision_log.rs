//! Recent decisions in memory, and the batches of them still to be sent to the log.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

use havenstage_types::decision::{Decision, DecisionRecord};
use havenstage_types::ids::NodeId;
use xxhash_rust::xxh3::xxh3_64;

use crate::locks::lock;

/// Decisions waiting for the log, at most; beyond it the oldest are given up and counted.
const MAX_UNSENT: usize = 100_000;

/// Remembers decisions.
pub(crate) struct DecisionLog {
    inner: Mutex<Inner>,
    capacity: usize,
    shards: u64,
}

#[derive(Default)]
struct Inner {
    recent: VecDeque<DecisionRecord>,
    unsent: VecDeque<DecisionRecord>,
    sequence: u64,
}

impl DecisionLog {
    pub(crate) fn new(capacity: usize, shards: u64) -> Self {
        Self {
            inner: Mutex::new(Inner::default()),
            capacity,
            shards,
        }
    }

    /// Records a decision made by `node`.
    pub(crate) fn record(
        &self,
        node: NodeId,
        wall_clock_ms: u64,
        subject: String,
        decision: Decision,
    ) {
        let mut inner = lock(&self.inner);
        inner.sequence += 1;
        let record = DecisionRecord {
            subject,
            node,
            sequence: inner.sequence,
            wall_clock_ms,
            decision,
        };
        inner.recent.push_back(record.clone());
        if inner.recent.len() > self.capacity {
            inner.recent.pop_front();
        }
        inner.unsent.push_back(record);
        if inner.unsent.len() > MAX_UNSENT {
            inner.unsent.pop_front();
            metrics::counter!("havenstage_decisions_lost_total").increment(1);
        }
    }

    /// Recent decisions about a subject, oldest first.
    pub(crate) fn about(&self, subject: &str) -> Vec<DecisionRecord> {
        lock(&self.inner)
            .recent
            .iter()
            .filter(|record| record.subject == subject)
            .cloned()
            .collect()
    }

    /// Takes all unsent decisions, by shard.
    pub(crate) fn take_unsent(&self) -> BTreeMap<u64, Vec<DecisionRecord>> {
        let unsent = std::mem::take(&mut lock(&self.inner).unsent);
        let mut by_shard: BTreeMap<u64, Vec<DecisionRecord>> = BTreeMap::new();
        for record in unsent {
            let shard = self.shard_of(&record.subject);
            by_shard.entry(shard).or_default().push(record);
        }
        by_shard
    }

    /// Puts decisions back that the log did not take.
    pub(crate) fn put_back(&self, records: Vec<DecisionRecord>) {
        let mut inner = lock(&self.inner);
        for record in records.into_iter().rev() {
            inner.unsent.push_front(record);
        }
        inner.unsent.truncate(MAX_UNSENT);
    }

    /// Number of decisions not yet in the log.
    pub(crate) fn unsent(&self) -> usize {
        lock(&self.inner).unsent.len()
    }

    /// Stream shard that holds the decisions about a subject.
    pub(crate) fn shard_of(&self, subject: &str) -> u64 {
        xxh3_64(subject.as_bytes()) % self.shards
    }
}
