//! What happens inside the engine as time goes by.

use havenstage_types::engine::TokenChunk;
use havenstage_types::ids::{AttemptId, FencingToken, VersionNumber};
use rand::RngCore;

use super::{Engine, RunningIteration};
use crate::batch::{Batch, Iteration};
use crate::cache_events::CacheEventQueue;
use crate::clock::EngineTime;
use crate::output::EngineOutput;
use crate::record::ExecutionOutcome;
use crate::sequence::Sequence;
use crate::swap::{Swap, SwapEnd, SwapTarget};

impl Engine {
    pub(super) fn next_internal_event(&self) -> Option<EngineTime> {
        [
            self.iteration.as_ref().map(|iteration| iteration.ends_at),
            self.swap.next_event_at(),
            self.cache_events.next_event_at(),
            self.imports.keys().next().copied(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    pub(super) fn run_until(&mut self, now: EngineTime) {
        while let Some(event_at) = self.next_internal_event()
            && event_at <= now
        {
            self.now = self.now.max(event_at);
            self.handle_due();
        }
        self.now = self.now.max(now);
    }

    fn handle_due(&mut self) {
        if let Some(running) = self
            .iteration
            .take_if(|running| running.ends_at <= self.now)
        {
            self.end_iteration(running.iteration);
        }
        self.swap.end_due_fetch(self.now);
        let end = self.swap.end_due_load(self.now, &mut self.random);
        self.end_swap(end);
        self.end_due_imports();
        while let Some(event) = self.cache_events.pop_due(self.now) {
            self.outputs.push(EngineOutput::Cache(event));
        }
        self.start_next();
    }

    /// Starts what comes next unless an iteration or a load is under way.
    pub(super) fn start_next(&mut self) {
        if self.iteration.is_none() && self.swap.is_fetched() {
            self.put_out_everything();
            self.swap.begin_load(self.now);
        }
        if self.iteration.is_none() && !self.swap.is_loading() {
            self.start_iteration();
        }
        self.note_cache_changes();
        self.note_load();
    }

    fn start_iteration(&mut self) {
        let Some(version) = self.version else {
            return;
        };
        let planned = self.batch.plan(version, &self.settings.compute);
        for attempt in self.batch.take_preempted() {
            self.log.preempted(attempt);
        }
        match planned {
            Ok(Some(iteration)) => {
                self.iteration = Some(RunningIteration {
                    ends_at: self.now + iteration.duration,
                    iteration,
                });
            }
            Ok(None) => {}
            Err(_) => self.restart(),
        }
    }

    fn end_iteration(&mut self, iteration: Iteration) {
        let Some(version) = self.version else {
            return;
        };
        for attempt in self.batch.apply(iteration) {
            let Some(sequence) = self.batch.sequence_mut(attempt) else {
                continue;
            };
            if sequence.is_complete() {
                if let Some(mut sequence) = self.batch.remove(attempt) {
                    self.put_out(version, &mut sequence);
                }
            } else if sequence.pending_tokens() >= sequence.chunk_tokens {
                let chunk = sequence.take_chunk(version);
                self.push_chunk(attempt, chunk);
            }
        }
    }

    pub(super) fn put_out(&mut self, version: VersionNumber, sequence: &mut Sequence) {
        let chunk = sequence.take_chunk(version);
        self.push_chunk(sequence.attempt, chunk);
    }

    /// Puts out all pending tokens, so that they carry the version that generated them.
    fn put_out_everything(&mut self) {
        let Some(version) = self.version else {
            return;
        };
        let chunks: Vec<_> = self
            .batch
            .sequences_mut()
            .map(|sequence| (sequence.attempt, sequence.take_chunk(version)))
            .collect();
        for (attempt, chunk) in chunks {
            self.push_chunk(attempt, chunk);
        }
    }

    fn push_chunk(&mut self, attempt: AttemptId, chunk: Option<TokenChunk>) {
        let Some(chunk) = chunk else {
            return;
        };
        self.log.put_out(self.now, attempt, &chunk);
        self.outputs.push(EngineOutput::Chunk { attempt, chunk });
    }

    pub(super) fn order_swap(&mut self, target: SwapTarget) {
        if let Some(wanted) = self.swap.order(self.now, target, self.version) {
            self.outputs.push(EngineOutput::FetchWanted {
                version: wanted.version,
                location: wanted.location,
            });
        }
    }

    pub(super) fn end_swap(&mut self, end: Option<SwapEnd>) {
        match end {
            Some(SwapEnd::Loaded(version)) => {
                self.version = Some(version);
                self.outputs.push(EngineOutput::VersionLoaded(version));
            }
            Some(SwapEnd::Failed(version)) => {
                self.outputs.push(EngineOutput::SwapFailed(version));
            }
            None => return,
        }
        if let Some(target) = self.swap.take_next() {
            self.order_swap(target);
        }
    }

    fn end_due_imports(&mut self) {
        while let Some(entry) = self.imports.first_entry()
            && *entry.key() <= self.now
        {
            for hash in entry.remove() {
                self.batch.memory.store_idle(hash);
            }
        }
    }

    fn note_cache_changes(&mut self) {
        for change in self.batch.memory.take_changes() {
            self.cache_events.push(self.now, change, &mut self.random);
        }
    }

    pub(super) fn note_load(&mut self) {
        let report = self.true_load();
        self.load_history.push(self.now, report);
    }

    pub(super) fn restart(&mut self) {
        for attempt in self.batch.attempts() {
            self.log.end(self.now, attempt, ExecutionOutcome::Crashed);
            self.outputs.push(EngineOutput::Broken { attempt });
        }
        self.log.forget_attempts();
        self.boot = self.random.next_u64();
        self.version = self.settings.initial_version.map(VersionNumber);
        self.highest_token = FencingToken(0);
        self.leaving = false;
        self.prefilled_before += self.batch.prefilled_tokens;
        self.batch = Batch::new(&self.settings);
        self.iteration = None;
        self.swap = Swap::new(self.settings.swap);
        self.cache_events = CacheEventQueue::new(&self.settings.kv);
        self.imports.clear();
        self.outputs.push(EngineOutput::Crashed { boot: self.boot });
        self.note_load();
    }
}
