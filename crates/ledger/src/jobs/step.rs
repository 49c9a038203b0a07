//! The slots and samples of one open step of a job.

use std::collections::BTreeMap;

use havenstage_types::ids::{AttemptId, LogOffset};
use havenstage_types::job::{DeliveredSample, JobRules, Sample, SampleBatch};
use serde::{Deserialize, Serialize};

/// An open step. It keeps the number of samples and the group size with which it was opened, even
/// when the rules change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct OpenStep {
    samples_per_step: u32,
    group_size: u32,
    /// Number of groups in all steps before this one.
    first_group: u64,
    /// Offset of the sample in each filled slot.
    slots: BTreeMap<u32, LogOffset>,
    samples: BTreeMap<LogOffset, Sample>,
}

impl OpenStep {
    /// Creates an empty step. `first_group` is the number of groups in all steps before it.
    pub(super) fn new(rules: &JobRules, first_group: u64) -> Self {
        Self {
            samples_per_step: rules.samples_per_step,
            group_size: rules.group_size,
            first_group,
            slots: BTreeMap::new(),
            samples: BTreeMap::new(),
        }
    }

    /// Number of groups in this step and all steps before it.
    pub(super) fn end_group(&self) -> u64 {
        let groups = self.samples_per_step.div_ceil(self.group_size);
        self.first_group + u64::from(groups)
    }

    /// Index of the prompt to sample for slot `index`, or `None` when the step has no such slot.
    pub(super) fn prompt_index(&self, index: u32, prompt_count: u32) -> Option<u32> {
        if index >= self.samples_per_step {
            return None;
        }
        let group = self.first_group + u64::from(index / self.group_size);
        u32::try_from(group % u64::from(prompt_count)).ok()
    }

    /// Whether every slot is filled.
    pub(super) fn is_complete(&self) -> bool {
        self.slots.len() as u64 == u64::from(self.samples_per_step)
    }

    /// Indexes of the slots without a sample, in ascending order.
    pub(super) fn empty_slots(&self) -> impl Iterator<Item = u32> {
        (0..self.samples_per_step).filter(|index| !self.slots.contains_key(index))
    }

    /// The attempt whose sample fills slot `index`, or `None` when the slot is empty.
    pub(super) fn filled_by(&self, index: u32) -> Option<AttemptId> {
        let offset = self.slots.get(&index)?;
        let sample = self.samples.get(offset)?;
        Some(sample.attempt)
    }

    /// Stores `sample`, read at `offset`, in its slot. The caller checks that the slot is empty,
    /// except when every commit counts: the slot then refers to the newest sample, and the samples
    /// before it are delivered too.
    pub(super) fn fill(&mut self, offset: LogOffset, sample: Sample) {
        self.slots.insert(sample.id.index, offset);
        self.samples.insert(offset, sample);
    }

    /// Returns up to `max` samples whose offset is at least `cursor`, in offset order.
    pub(super) fn batch(&self, cursor: LogOffset, max: usize) -> SampleBatch {
        let samples: Vec<DeliveredSample> = self
            .samples
            .range(cursor..)
            .take(max)
            .map(|(offset, sample)| DeliveredSample {
                offset: *offset,
                sample: sample.clone(),
            })
            .collect();
        let next_cursor = samples
            .last()
            .map_or(cursor, |last| LogOffset(last.offset.0 + 1));
        let none_left = self.samples.range(next_cursor..).next().is_none();
        SampleBatch {
            samples,
            next_cursor,
            step_complete: none_left && self.is_complete(),
        }
    }
}
