//! The node's copy of the configuration and the raw records it can hand to peers that are behind.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use havenstage_config::{ConfigEvent, ConfigState};
use havenstage_types::codec;
use havenstage_types::config::{ConfigRecord, ConfigSnapshot};
use havenstage_types::ids::LogOffset;
use havenstage_types::peer::RawRecord;
use tokio::sync::watch;

use crate::locks::lock;

/// Raw records kept for peers that are behind.
const KEPT_RECORDS: usize = 2_048;

/// Records handed to a peer in one answer.
const RECORDS_PER_ANSWER: usize = 256;

/// Holds the configuration fold; readers get a cheap shared copy.
pub(crate) struct ConfigStore {
    inner: Mutex<Inner>,
    applied: watch::Sender<LogOffset>,
}

struct Inner {
    state: Arc<ConfigState>,
    recent: VecDeque<RawRecord>,
}

/// What a peer that is behind is sent.
pub(crate) struct CatchUp {
    pub(crate) snapshot: Option<ConfigSnapshot>,
    pub(crate) records: Vec<RawRecord>,
}

impl ConfigStore {
    pub(crate) fn new() -> Self {
        Self {
            inner: Mutex::new(Inner {
                state: Arc::new(ConfigState::default()),
                recent: VecDeque::new(),
            }),
            applied: watch::Sender::new(LogOffset(0)),
        }
    }

    pub(crate) fn state(&self) -> Arc<ConfigState> {
        lock(&self.inner).state.clone()
    }

    pub(crate) fn next_offset(&self) -> LogOffset {
        *self.applied.borrow()
    }

    /// Changes whenever records have been applied.
    pub(crate) fn subscribe(&self) -> watch::Receiver<LogOffset> {
        self.applied.subscribe()
    }

    /// Applies records in order; ones already applied are skipped, a gap ends the batch.
    pub(crate) fn apply(&self, records: &[RawRecord]) -> Vec<ConfigEvent> {
        let mut events = Vec::new();
        let mut inner = lock(&self.inner);
        for record in records {
            match inner.apply_one(record) {
                Some(mut more) => events.append(&mut more),
                None => break,
            }
        }
        let next = inner.state.next_offset();
        drop(inner);
        self.applied.send_if_modified(|applied| {
            let changed = *applied != next;
            *applied = next;
            changed
        });
        events
    }

    /// Takes a snapshot if it is ahead of what has been applied.
    pub(crate) fn restore(&self, snapshot: ConfigSnapshot) {
        let mut inner = lock(&self.inner);
        if snapshot.through <= inner.state.next_offset() {
            return;
        }
        let through = snapshot.through;
        inner.state = Arc::new(ConfigState::from_snapshot(snapshot));
        inner.recent.clear();
        drop(inner);
        self.applied.send_replace(through);
    }

    /// What a peer needs that has applied everything below `from`.
    pub(crate) fn catch_up(&self, from: LogOffset) -> CatchUp {
        let inner = lock(&self.inner);
        let kept_from = inner
            .recent
            .front()
            .map_or(inner.state.next_offset(), |record| record.offset);
        if from < kept_from {
            return CatchUp {
                snapshot: Some(inner.state.snapshot()),
                records: Vec::new(),
            };
        }
        let records = inner
            .recent
            .iter()
            .filter(|record| record.offset >= from)
            .take(RECORDS_PER_ANSWER)
            .cloned()
            .collect();
        CatchUp {
            snapshot: None,
            records,
        }
    }
}

impl Inner {
    /// `None` when the record does not follow what has been applied.
    fn apply_one(&mut self, record: &RawRecord) -> Option<Vec<ConfigEvent>> {
        if record.offset < self.state.next_offset() {
            return Some(Vec::new());
        }
        let state = Arc::make_mut(&mut self.state);
        let events = match codec::decode::<ConfigRecord>(&record.payload) {
            Ok(decoded) => state.apply(record.offset, &decoded).ok()?,
            Err(error) => {
                log::warn!(offset = record.offset.0; "configuration record skipped: {error}");
                state.skip(record.offset).ok()?;
                Vec::new()
            }
        };
        self.recent.push_back(record.clone());
        if self.recent.len() > KEPT_RECORDS {
            self.recent.pop_front();
        }
        Some(events)
    }
}
