//! The sequences that wait and run: admission by priority, preemption when memory or slots are
//! short, and the work of one iteration.

use std::collections::BTreeMap;
use std::time::Duration;

use havenstage_types::ids::{AttemptId, VersionNumber};
use havenstage_types::resource::PriorityClass;

use crate::kv_memory::KvMemory;
use crate::sequence::{QueueKey, Sequence};
use crate::settings::{ComputeCost, EngineSettings, WhenKvFull};

/// The work of one iteration.
#[derive(Debug)]
pub(crate) struct Iteration {
    pub(crate) duration: Duration,
    work: Vec<Work>,
}

#[derive(Debug, Clone, Copy)]
struct Work {
    key: QueueKey,
    tokens: u32,
}

/// Why no iteration could be planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OutOfMemory;

/// Sequences that wait and run, with the memory they hold.
#[derive(Debug)]
pub(crate) struct Batch {
    max_running: usize,
    when_full: WhenKvFull,
    waiting: BTreeMap<QueueKey, Sequence>,
    running: BTreeMap<QueueKey, Sequence>,
    keys: BTreeMap<AttemptId, QueueKey>,
    next_arrival: u64,
    pub(crate) memory: KvMemory,
    /// Attempts that lost their memory since the last look.
    preempted: Vec<AttemptId>,
    /// Context tokens computed in prefill, repeated ones included.
    pub(crate) prefilled_tokens: u64,
}

impl Batch {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            max_running: settings.max_running_requests as usize,
            when_full: settings.kv.when_full,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            keys: BTreeMap::new(),
            next_arrival: 0,
            memory: KvMemory::new(&settings.kv),
            preempted: Vec::new(),
            prefilled_tokens: 0,
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Attempts that wait or run.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = AttemptId> {
        self.keys.keys().copied()
    }

    /// Attempts preempted since the last call.
    pub(crate) fn take_preempted(&mut self) -> Vec<AttemptId> {
        std::mem::take(&mut self.preempted)
    }

    /// Adds a sequence to the queue.
    pub(crate) fn push(&mut self, class: PriorityClass, sequence: Sequence) {
        let key = QueueKey {
            class,
            arrival: self.next_arrival,
        };
        self.next_arrival += 1;
        self.keys.insert(sequence.attempt, key);
        self.waiting.insert(key, sequence);
    }

    /// Takes a sequence out and frees its memory.
    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<Sequence> {
        let key = self.keys.remove(&attempt)?;
        let mut sequence = self
            .running
            .remove(&key)
            .or_else(|| self.waiting.remove(&key))?;
        self.memory.release(std::mem::take(&mut sequence.lease));
        Some(sequence)
    }

    pub(crate) fn sequence(&self, attempt: AttemptId) -> Option<&Sequence> {
        let key = self.keys.get(&attempt)?;
        self.running.get(key).or_else(|| self.waiting.get(key))
    }

    /// Running and waiting sequences, in order of urgency within each.
    pub(crate) fn sequences_mut(&mut self) -> impl Iterator<Item = &mut Sequence> {
        self.running.values_mut().chain(self.waiting.values_mut())
    }

    /// Decides the next iteration; `None` when there is nothing to compute.
    pub(crate) fn plan(
        &mut self,
        version: VersionNumber,
        cost: &ComputeCost,
    ) -> Result<Option<Iteration>, OutOfMemory> {
        self.grow_running(version)?;
        self.admit_waiting(version);
        let mut prefill_budget = cost.prefill_chunk_tokens;
        let mut work = Vec::new();
        let mut microseconds = cost.iteration_us;
        for (key, sequence) in &self.running {
            let uncomputed = sequence.uncomputed();
            let tokens = if uncomputed == 1 {
                microseconds += cost.decode_us(sequence.context_tokens());
                1
            } else {
                let tokens = uncomputed.min(prefill_budget);
                prefill_budget -= tokens;
                microseconds += cost.prefill_us(tokens);
                tokens
            };
            if tokens > 0 {
                work.push(Work { key: *key, tokens });
            }
        }
        if work.is_empty() {
            return Ok(None);
        }
        let duration = cost.scaled(microseconds);
        Ok(Some(Iteration { duration, work }))
    }

    /// Applies a planned iteration and returns the attempts that got a token. Sequences that were
    /// taken out meanwhile are skipped.
    pub(crate) fn apply(&mut self, iteration: Iteration) -> Vec<AttemptId> {
        let mut advanced = Vec::new();
        for work in iteration.work {
            let Some(sequence) = self.running.get_mut(&work.key) else {
                continue;
            };
            sequence.computed += work.tokens;
            if work.tokens > 1 {
                self.prefilled_tokens += u64::from(work.tokens);
            }
            share_whole_blocks(&mut self.memory, sequence);
            if sequence.uncomputed() == 0 {
                sequence.generate_one();
                advanced.push(sequence.attempt);
            }
        }
        advanced
    }

    pub(crate) fn sequence_mut(&mut self, attempt: AttemptId) -> Option<&mut Sequence> {
        let key = self.keys.get(&attempt)?;
        self.running.get_mut(key)
    }

    /// Makes sure that every running sequence has memory for its whole context.
    fn grow_running(&mut self, version: VersionNumber) -> Result<(), OutOfMemory> {
        let keys: Vec<QueueKey> = self.running.keys().copied().collect();
        for key in keys {
            while !self.grow_one(key) {
                if self.when_full == WhenKvFull::Crash {
                    return Err(OutOfMemory);
                }
                self.preempt_last(version);
            }
        }
        Ok(())
    }

    /// Whether the sequence has the memory it needs, or runs no more.
    fn grow_one(&mut self, key: QueueKey) -> bool {
        let Some(sequence) = self.running.get_mut(&key) else {
            return true;
        };
        let tokens = u64::from(sequence.context_tokens());
        self.memory.extend(&mut sequence.lease, tokens)
    }

    /// Admits in order of urgency; training gives way to live work when there is no room.
    fn admit_waiting(&mut self, version: VersionNumber) {
        while let Some((key, mut sequence)) = self.waiting.pop_first() {
            if self.running.len() < self.max_running && self.try_admit(&mut sequence, version) {
                self.running.insert(key, sequence);
                continue;
            }
            self.waiting.insert(key, sequence);
            let gives_way = self
                .running
                .last_key_value()
                .is_some_and(|(last, _)| last.class > key.class);
            if !gives_way {
                break;
            }
            self.preempt_last(version);
        }
    }

    fn try_admit(&mut self, sequence: &mut Sequence, version: VersionNumber) -> bool {
        sequence.restart_computing(version);
        let block_tokens = self.memory.block_tokens();
        let mut lease = self.memory.lease_prefix(sequence.chain(block_tokens));
        let cached_tokens = lease.shared_blocks() * block_tokens;
        let tokens = u64::from(sequence.context_tokens());
        if !self.memory.extend(&mut lease, tokens) {
            self.memory.release(lease);
            return false;
        }
        sequence.lease = lease;
        sequence.admitted_with_cached(cached_tokens as u32);
        true
    }

    /// Moves the least urgent running sequence back to the queue without its memory.
    fn preempt_last(&mut self, version: VersionNumber) {
        if let Some((key, mut sequence)) = self.running.pop_last() {
            self.memory.release(std::mem::take(&mut sequence.lease));
            sequence.restart_computing(version);
            self.preempted.push(sequence.attempt);
            self.waiting.insert(key, sequence);
        }
    }
}

/// Shares the blocks of a sequence that are computed whole.
fn share_whole_blocks(memory: &mut KvMemory, sequence: &mut Sequence) {
    let block_tokens = memory.block_tokens();
    let whole_blocks = sequence.computed as usize / block_tokens;
    while sequence.lease.shared_blocks() < whole_blocks {
        let index = sequence.lease.shared_blocks();
        let hash = sequence.chain(block_tokens)[index];
        memory.share_next(&mut sequence.lease, hash);
    }
}
