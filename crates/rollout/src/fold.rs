//! The state of one partition of batches: a fold over its records in the order of the log.
//!
//! The fold alone decides what counts. A record that was appended twice, late, or by an owner that
//! has been replaced either continues the item's output exactly where it stands or is ignored, so
//! no lease is needed for correctness: leases only keep two nodes from doing the same work.

use std::collections::BTreeMap;

use crate::Millis;
use crate::batch::Submission;
use crate::batch_state::{BatchState, ItemResult, ItemState};
use crate::ids::{BatchId, ItemId, NodeId, RunId, TenantName};
use crate::lease::LeaseState;
use crate::record::{BatchRecord, Outcome, OutputEvent};

/// What a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The state changed.
    Applied,
    /// The record repeats, comes too late, or concerns something unknown.
    Ignored,
}

/// The batches of one partition.
#[derive(Debug, Default)]
pub struct PartitionState {
    batches: BTreeMap<BatchId, BatchState>,
    /// When it was last found that records had been missed: a batch that is not here may lie in the log.
    missed_at: Option<Millis>,
}

impl PartitionState {
    /// Takes the next record of the log.
    pub fn apply(&mut self, record: BatchRecord, now: Millis) -> FoldOutcome {
        let applied = match record {
            BatchRecord::Submitted { submission, owner } => {
                self.submitted(&submission, None, owner, now)
            }
            BatchRecord::SubmittedFor {
                tenant,
                submission,
                owner,
            } => self.submitted(&submission, Some(tenant), owner, now),
            BatchRecord::Claimed { batch, term, owner } => {
                self.lease(&batch, |lease| lease.claim(term, owner, now))
            }
            BatchRecord::Released { batch, term } => {
                self.lease(&batch, |lease| lease.release(term, now))
            }
            BatchRecord::Progress {
                batch,
                item,
                run,
                resumed_from,
                from,
                events,
            } => self
                .open_item(&batch, &item)
                .is_some_and(|state| continue_output(state, run, resumed_from, from, events)),
            BatchRecord::Restarted {
                batch,
                item,
                run,
                events,
            } => self
                .open_item(&batch, &item)
                .is_some_and(|state| drop_output(state, run, events)),
            BatchRecord::Finished {
                batch,
                item,
                run,
                resumed_from,
                events,
                outcome,
            } => {
                let last = RunPosition {
                    run,
                    resumed_from,
                    events,
                };
                self.finished(&batch, &item, last, outcome, now)
            }
            BatchRecord::Ended { batch } => self.ended(&batch, now),
            BatchRecord::EndedFor { tenants, batch } => {
                self.belongs_to_one_of(&batch, &tenants) && self.ended(&batch, now)
            }
        };
        if applied {
            FoldOutcome::Applied
        } else {
            FoldOutcome::Ignored
        }
    }

    /// A batch by id.
    pub fn batch(&self, id: &BatchId) -> Option<&BatchState> {
        self.batches.get(id)
    }

    /// All batches, in the order of their ids.
    pub fn batches(&self) -> impl Iterator<Item = &BatchState> {
        self.batches.values()
    }

    /// Whether no batch is kept.
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Forgets closed batches first seen before `before`, so that memory stays bounded. Open ones are promised
    /// for as long as they are open. A gap found before then counts no more: what is promised of the batches
    /// handed in before it is over, unless a node still names them.
    pub fn forget_before(&mut self, before: Millis) {
        self.missed_at = self.missed_at.filter(|at| *at >= before);
        self.batches
            .retain(|_, batch| !batch.is_closed() || batch.first_seen >= before);
    }

    /// Records were dropped before they were read here. What they would have changed is not known, so a later
    /// result would be listed at a position that other nodes have given to another one: only batches that
    /// are listed whole stay.
    pub fn drop_incomplete_batches(&mut self, now: Millis) {
        self.missed_at = Some(now);
        self.batches.retain(|_, batch| batch.is_fully_listed());
    }

    /// Whether a batch that is not here may lie in the log all the same, since records were missed.
    pub fn has_missed_records(&self) -> bool {
        self.missed_at.is_some()
    }

    /// Whether all batches were first seen before `before`, and no gap was found since.
    pub fn is_older_than(&self, before: Millis) -> bool {
        let mut batches = self.batches.values();
        batches.all(|batch| batch.first_seen < before)
            && self.missed_at.is_none_or(|at| at < before)
    }

    fn lease(&mut self, batch: &BatchId, change: impl FnOnce(&mut LeaseState) -> bool) -> bool {
        self.batches
            .get_mut(batch)
            .is_some_and(|batch| change(&mut batch.lease))
    }

    fn submitted(
        &mut self,
        submission: &Submission,
        tenant: Option<TenantName>,
        owner: Option<NodeId>,
        now: Millis,
    ) -> bool {
        if self.batches.contains_key(&submission.id) {
            return false;
        }
        self.batches.insert(
            submission.id.clone(),
            BatchState::new(submission, tenant, owner, now),
        );
        true
    }

    fn open_item(&mut self, batch: &BatchId, item: &ItemId) -> Option<&mut ItemState> {
        let batch = self.batches.get_mut(batch)?;
        let at = *batch.index.get(item)?;
        let state = &mut batch.items[at];
        state.result.is_none().then_some(state)
    }

    fn finished(
        &mut self,
        batch: &BatchId,
        item: &ItemId,
        last: RunPosition,
        outcome: Outcome,
        now: Millis,
    ) -> bool {
        let Some(batch) = self.batches.get_mut(batch) else {
            return false;
        };
        let Some(at) = batch.index.get(item).copied() else {
            return false;
        };
        let state = &mut batch.items[at];
        if state.result.is_some() {
            return false;
        }
        if matches!(outcome, Outcome::Completed { .. }) && !last.matches(state) {
            return false;
        }
        state.result = Some(result_of(state, outcome));
        state.spec = None;
        batch.listed.push(at);
        batch.note_if_closed(now);
        true
    }

    fn belongs_to_one_of(&self, batch: &BatchId, tenants: &[TenantName]) -> bool {
        let owner = self.batches.get(batch).map(|batch| &batch.tenant);
        owner.is_some_and(|owner| owner.as_ref().is_none_or(|owner| tenants.contains(owner)))
    }

    fn ended(&mut self, batch: &BatchId, now: Millis) -> bool {
        match self.batches.get_mut(batch) {
            Some(batch) if !batch.ended => {
                batch.end();
                batch.note_if_closed(now);
                true
            }
            _ => false,
        }
    }
}

/// Drops the output if it is exactly the one that is meant; a late copy finds another.
fn drop_output(state: &mut ItemState, run: RunId, events: u32) -> bool {
    let is_meant = state.run == Some(run) && state.events.len() as u32 == events;
    if is_meant {
        state.events.clear();
        state.run = None;
    }
    is_meant
}

/// Where a run stands when it says that the output is whole.
struct RunPosition {
    run: RunId,
    resumed_from: u32,
    events: u32,
}

impl RunPosition {
    fn matches(&self, state: &ItemState) -> bool {
        let kept = state.events.len() as u32;
        kept == self.events && (state.run == Some(self.run) || self.resumed_from == kept)
    }
}

/// Appends events if they continue the output: either the same run goes on, or a new run goes on
/// from exactly the events that stand here. A run that has begun before is not new.
fn continue_output(
    state: &mut ItemState,
    run: RunId,
    resumed_from: u32,
    from: u32,
    events: Vec<OutputEvent>,
) -> bool {
    let kept = state.events.len() as u32;
    let same_run = state.run == Some(run);
    let begins_here = from == resumed_from && !state.begun.contains(&run);
    if from != kept || !(same_run || begins_here) {
        return false;
    }
    if !same_run {
        state.begun.push(run);
    }
    state.run = Some(run);
    state.events.extend(events);
    true
}

fn result_of(state: &mut ItemState, outcome: Outcome) -> ItemResult {
    let made = std::mem::take(&mut state.events);
    let events = match outcome {
        Outcome::Completed { .. } => made,
        Outcome::GivenUp(_) => Vec::new(),
    };
    ItemResult { outcome, events }
}
