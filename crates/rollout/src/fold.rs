//! The state of one log partition that holds batches: a fold over its records in the order of the log.
//!
//! The fold alone decides which records count. A record that was appended twice, with a delay, or by an owner
//! that has been replaced either continues the item's output exactly at its current end or is ignored. So
//! correctness does not depend on leases: they only keep two nodes from doing the same work.

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
    /// The record is a duplicate, is out of date, or names an unknown batch or item.
    Ignored,
}

/// The batches of one partition.
#[derive(Debug, Default)]
pub struct PartitionState {
    batches: BTreeMap<BatchId, BatchState>,
    /// When this node last found that the log had dropped records before it read them; `None` if it never did.
    /// Then a batch that is not in `batches` may still be in the log.
    missed_at: Option<Millis>,
}

impl PartitionState {
    /// Applies the next record of the log, read at `now` on this node's clock.
    pub fn apply(&mut self, record: BatchRecord, now: Millis) -> FoldOutcome {
        let applied = match record {
            BatchRecord::Submitted { submission, owner } => {
                self.apply_submission(&submission, None, owner, now)
            }
            BatchRecord::SubmittedFor {
                tenant,
                submission,
                owner,
            } => self.apply_submission(&submission, Some(tenant), owner, now),
            BatchRecord::Claimed { batch, term, owner } => {
                self.change_lease(&batch, |lease| lease.claim(term, owner, now))
            }
            BatchRecord::Released { batch, term } => {
                self.change_lease(&batch, |lease| lease.release(term, now))
            }
            BatchRecord::Progress {
                batch,
                item,
                run,
                resumed_from,
                from,
                events,
            } => self
                .unfinished_item(&batch, &item)
                .is_some_and(|state| continue_output(state, run, resumed_from, from, events)),
            BatchRecord::Restarted {
                batch,
                item,
                run,
                events,
            } => self
                .unfinished_item(&batch, &item)
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
                self.apply_result(&batch, &item, last, outcome, now)
            }
            BatchRecord::Ended { batch } => self.apply_end(&batch, now),
            BatchRecord::EndedFor { tenants, batch } => {
                self.may_be_ended_for(&batch, &tenants) && self.apply_end(&batch, now)
            }
        };
        if applied {
            FoldOutcome::Applied
        } else {
            FoldOutcome::Ignored
        }
    }

    /// Looks a batch up by its id.
    pub fn batch(&self, id: &BatchId) -> Option<&BatchState> {
        self.batches.get(id)
    }

    /// Iterates over all batches, in the order of their ids.
    pub fn batches(&self) -> impl Iterator<Item = &BatchState> {
        self.batches.values()
    }

    /// Whether the state holds no batch.
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Removes closed batches first seen before `before`, so that memory stays bounded. Open batches are retained
    /// for as long as they are open. Missed records that were detected before `before` no longer matter: the
    /// retention of the batches submitted before them is over, unless a node still names these batches.
    pub fn forget_before(&mut self, before: Millis) {
        self.missed_at = self.missed_at.filter(|at| *at >= before);
        self.batches
            .retain(|_, batch| !batch.is_closed() || batch.first_seen >= before);
    }

    /// Handles a gap: the log dropped records before this node read them. Results in the gap are unknown here, so a
    /// later result would get a position that other nodes have given to another result. Only batches in which
    /// every item has a result are kept.
    pub fn drop_incomplete_batches(&mut self, now: Millis) {
        self.missed_at = Some(now);
        self.batches.retain(|_, batch| batch.is_fully_listed());
    }

    /// Whether records were missed, so that a batch that is not in this state may still be in the log.
    pub fn has_missed_records(&self) -> bool {
        self.missed_at.is_some()
    }

    /// Whether all batches were first seen before `before`, and no missed records were detected since then.
    pub fn is_older_than(&self, before: Millis) -> bool {
        let mut batches = self.batches.values();
        batches.all(|batch| batch.first_seen < before)
            && self.missed_at.is_none_or(|at| at < before)
    }

    fn change_lease(
        &mut self,
        batch: &BatchId,
        change: impl FnOnce(&mut LeaseState) -> bool,
    ) -> bool {
        self.batches
            .get_mut(batch)
            .is_some_and(|batch| change(&mut batch.lease))
    }

    fn apply_submission(
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

    fn unfinished_item(&mut self, batch: &BatchId, item: &ItemId) -> Option<&mut ItemState> {
        let batch = self.batches.get_mut(batch)?;
        let at = *batch.index.get(item)?;
        let state = &mut batch.items[at];
        state.result.is_none().then_some(state)
    }

    fn apply_result(
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
        state.result = Some(take_result(state, outcome));
        state.spec = None;
        batch.listed.push(at);
        batch.update_closed_at(now);
        true
    }

    /// Whether a known batch belongs to one of `tenants`, or to no tenant.
    fn may_be_ended_for(&self, batch: &BatchId, tenants: &[TenantName]) -> bool {
        let owner = self.batches.get(batch).map(|batch| &batch.tenant);
        owner.is_some_and(|owner| owner.as_ref().is_none_or(|owner| tenants.contains(owner)))
    }

    fn apply_end(&mut self, batch: &BatchId, now: Millis) -> bool {
        match self.batches.get_mut(batch) {
            Some(batch) if !batch.ended => {
                batch.end();
                batch.update_closed_at(now);
                true
            }
            _ => false,
        }
    }
}

/// Drops the output if it is exactly the output that the record names: by this run, with this number of events.
/// A delayed duplicate finds other output and changes nothing.
fn drop_output(state: &mut ItemState, run: RunId, events: u32) -> bool {
    let is_named_output = state.run == Some(run) && state.events.len() as u32 == events;
    if is_named_output {
        state.events.clear();
        state.run = None;
    }
    is_named_output
}

/// The position of a run when it reports that the output is complete.
struct RunPosition {
    run: RunId,
    resumed_from: u32,
    events: u32,
}

impl RunPosition {
    /// Whether the stored output is the run's complete output: it has as many events, and the run produced the
    /// last of them or resumed behind all of them and added none.
    fn matches(&self, state: &ItemState) -> bool {
        let stored = state.events.len() as u32;
        stored == self.events && (state.run == Some(self.run) || self.resumed_from == stored)
    }
}

/// Appends events if they continue the output: either they come from the run that produced the last event, or
/// they are the first events of a new run that resumed from exactly the stored events. A run whose output was
/// applied before is not new.
fn continue_output(
    state: &mut ItemState,
    run: RunId,
    resumed_from: u32,
    from: u32,
    events: Vec<OutputEvent>,
) -> bool {
    let stored = state.events.len() as u32;
    let is_same_run = state.run == Some(run);
    let is_new_run = from == resumed_from && !state.applied_runs.contains(&run);
    if from != stored || !(is_same_run || is_new_run) {
        return false;
    }
    if !is_same_run {
        state.applied_runs.push(run);
    }
    state.run = Some(run);
    state.events.extend(events);
    true
}

/// Takes the output out of an item's state and builds its result.
fn take_result(state: &mut ItemState, outcome: Outcome) -> ItemResult {
    let output = std::mem::take(&mut state.events);
    let events = match outcome {
        Outcome::Completed { .. } => output,
        Outcome::GivenUp(_) => Vec::new(),
    };
    ItemResult { outcome, events }
}
