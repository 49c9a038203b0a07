//! Read access to the state of a [`JobLedger`].

use havenstage_types::ids::{
    AttemptId, JobName, LogOffset, Revision, SampleId, StepNumber, VersionNumber,
};
use havenstage_types::job::{JobRules, SampleBatch};

use super::step::OpenStep;
use super::{JobLedger, OpenSlot};

impl JobLedger {
    /// Offset of the next record to apply.
    pub fn next_offset(&self) -> LogOffset {
        self.position.next()
    }

    /// Job to which the stream belongs.
    pub fn job(&self) -> &JobName {
        &self.job
    }

    /// Rules in force, or `None` before the first rules record.
    pub fn rules(&self) -> Option<&JobRules> {
        self.in_force.as_ref().map(|in_force| &in_force.rules)
    }

    /// Configuration revision of the rules in force, or `None` before the first rules record. The
    /// owner of the job appends a rules record when the configuration has a higher revision.
    pub fn rules_revision(&self) -> Option<Revision> {
        self.in_force.as_ref().map(|in_force| in_force.revision)
    }

    /// The newest version that a record has named, or `None` before the first one.
    pub fn newest_version(&self) -> Option<VersionNumber> {
        self.newest_version
    }

    /// Slots of open steps without a sample, in order of step and index.
    pub fn open_slots(&self) -> impl Iterator<Item = OpenSlot> {
        self.open.iter().flat_map(|(number, step)| {
            step.empty_slots().filter_map(|index| {
                let prompt_index = self.prompt_index(*number, index)?;
                Some(OpenSlot {
                    step: *number,
                    index,
                    prompt_index,
                })
            })
        })
    }

    /// Whether the slot belongs to an open step and has no sample yet.
    pub fn is_open(&self, step: StepNumber, index: u32) -> bool {
        self.prompt_index(step, index).is_some() && self.filled_by(step, index).is_none()
    }

    /// The attempt whose sample fills a slot of an open step, or `None` when the slot is empty,
    /// does not exist or belongs to a step that is not open.
    pub fn filled_by(&self, step: StepNumber, index: u32) -> Option<AttemptId> {
        self.open.get(&step)?.filled_by(index)
    }

    /// Builds the identifier of a slot of this job.
    pub fn sample_id(&self, step: StepNumber, index: u32) -> SampleId {
        SampleId {
            job: self.job.clone(),
            step,
            index,
        }
    }

    /// Index of the prompt to sample for a slot of an open step, or `None` when the step is not
    /// open or has no such slot.
    pub fn prompt_index(&self, step: StepNumber, index: u32) -> Option<u32> {
        let prompt_count = self.rules()?.prompt_count;
        self.open.get(&step)?.prompt_index(index, prompt_count)
    }

    /// Steps that accept samples or wait for their acknowledgement, in order.
    pub fn open_steps(&self) -> impl Iterator<Item = StepNumber> {
        self.open.keys().copied()
    }

    /// Whether every slot of the step is filled. Also true for acknowledged steps.
    pub fn step_complete(&self, step: StepNumber) -> bool {
        step < self.oldest_step || self.open.get(&step).is_some_and(OpenStep::is_complete)
    }

    /// Whether all steps of the job are acknowledged.
    pub fn is_complete(&self) -> bool {
        let steps = self.rules().and_then(|rules| rules.steps);
        self.open.is_empty() && steps.is_some_and(|steps| self.oldest_step.0 >= steps)
    }

    /// The last acknowledged step, or `None` before the first acknowledgement.
    pub fn acknowledged_through(&self) -> Option<StepNumber> {
        self.oldest_step.0.checked_sub(1).map(StepNumber)
    }

    /// Returns up to `max` accepted samples of `step` with an offset of at least `cursor`, in
    /// offset order. The sequence is the same on every node.
    ///
    /// A cursor belongs to one step and starts at offset 0 for each step, because the stream
    /// interleaves the samples of steps that are open at the same time. For an acknowledged step
    /// the batch is empty and complete; for a step that is not open yet it is empty and incomplete.
    pub fn deliver(&self, step: StepNumber, cursor: LogOffset, max: usize) -> SampleBatch {
        match self.open.get(&step) {
            Some(open) => open.batch(cursor, max),
            None => SampleBatch {
                samples: Vec::new(),
                next_cursor: cursor,
                step_complete: step < self.oldest_step,
            },
        }
    }
}
