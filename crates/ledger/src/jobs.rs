//! The fold of a job stream. It decides which samples reach the trainer.
//!
//! Each rule depends only on the order of the offsets:
//!
//! * The rules of the job are records of this stream ([`JobRecord::RulesChanged`]). They are not
//!   read from the configuration, since two readers could apply a configuration change at different
//!   offsets of this stream and then disagree about a sample. Before the first such record no step
//!   is open. A rules record is ignored unless its configuration revision is higher than that of
//!   the rules in force.
//! * A changed staleness bound, prompt count, step limit or number of steps ahead takes effect with
//!   its record. A step that is open keeps its number of samples and its groups, and stays open.
//! * The newest version is the highest one published or named by a well-formed sample, since
//!   engines can run a version before its record is read. It never decreases.
//! * A slot is filled by the first sample for it that is well formed, answers the slot's prompt and
//!   is within the staleness bound at its own offset. A rejected sample leaves its slot open.
//! * A step can be acknowledged only when it is complete and is the oldest open step.

mod effect;
mod sample_check;
mod step;
mod view;

use std::collections::BTreeMap;

use havenstage_types::ids::{AttemptId, JobName, LogOffset, Revision, StepNumber, VersionNumber};
use havenstage_types::job::{DropReason, JobRecord, JobRules, Sample};
use serde::{Deserialize, Serialize};

pub use self::effect::JobEffect;
use self::step::OpenStep;
use crate::error::FoldError;
use crate::position::{Arrival, StreamPosition};
use crate::staleness::StalenessBound;

/// Maximum number of open steps, regardless of the rules. It bounds the memory of the ledger.
pub const MAX_OPEN_STEPS: u32 = 256;

/// Rules in force, and the configuration revision that set them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RulesInForce {
    revision: Revision,
    rules: JobRules,
}

/// The state of a job's stream after a prefix of its records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobLedger {
    job: JobName,
    position: StreamPosition,
    in_force: Option<RulesInForce>,
    newest_version: Option<VersionNumber>,
    /// The oldest step not acknowledged.
    oldest_step: StepNumber,
    /// Groups in all steps opened so far.
    opened_groups: u64,
    /// Steps from `oldest_step` on, without gaps.
    open: BTreeMap<StepNumber, OpenStep>,
    /// Whether a commit for a filled slot is accepted too; true only in simulations.
    #[serde(skip)]
    counts_every_commit: bool,
}

/// The state of a [`JobLedger`], in a form that can be sent to another node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobSnapshot(JobLedger);

/// A slot of an open step that has no sample yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OpenSlot {
    /// Step of the slot.
    pub step: StepNumber,
    /// Index within the step.
    pub index: u32,
    /// Index of the prompt to sample.
    pub prompt_index: u32,
}

impl JobLedger {
    /// Creates an empty ledger of `job` at offset 0.
    pub fn new(job: JobName) -> Self {
        Self {
            job,
            position: StreamPosition::default(),
            in_force: None,
            newest_version: None,
            oldest_step: StepNumber(0),
            opened_groups: 0,
            open: BTreeMap::new(),
            counts_every_commit: false,
        }
    }

    /// Accepts every commit, even for a slot that is filled. This is for simulations only, which
    /// show that samples then reach the trainer more than once.
    pub fn count_every_commit(&mut self) {
        self.counts_every_commit = true;
    }

    /// Restores the ledger from a snapshot.
    pub fn from_snapshot(snapshot: JobSnapshot) -> Self {
        snapshot.0
    }

    /// Copies the whole state, including the samples of the open steps, from which another reader
    /// can continue.
    pub fn snapshot(&self) -> JobSnapshot {
        JobSnapshot(self.clone())
    }

    /// Applies the record at `offset`. A record that was applied before is ignored.
    ///
    /// # Errors
    ///
    /// [`FoldError::Gap`] when `offset` is beyond the next offset; nothing is changed then.
    pub fn apply(&mut self, offset: LogOffset, record: &JobRecord) -> Result<JobEffect, FoldError> {
        if self.position.advance(offset)? == Arrival::Duplicate {
            return Ok(JobEffect::Ignored);
        }
        Ok(match record {
            JobRecord::VersionPublished(version) => self.publish(*version),
            JobRecord::SampleCommitted(sample) => self.commit(offset, sample),
            JobRecord::SampleDropped(drop) => JobEffect::Dropped(drop.clone()),
            JobRecord::StepAcknowledged { step, .. } => self.acknowledge(*step),
            JobRecord::RulesChanged { revision, rules } => self.change_rules(*revision, rules),
        })
    }

    /// Moves past a record that cannot be decoded. The record has no other effect.
    ///
    /// # Errors
    ///
    /// [`FoldError::Gap`] when `offset` is beyond the next offset; nothing is changed then.
    pub fn skip(&mut self, offset: LogOffset) -> Result<(), FoldError> {
        self.position.advance(offset).map(|_| ())
    }

    fn publish(&mut self, version: VersionNumber) -> JobEffect {
        if self.newest_version.is_some_and(|newest| newest >= version) {
            return JobEffect::Ignored;
        }
        self.newest_version = Some(version);
        JobEffect::VersionAdvanced(version)
    }

    fn commit(&mut self, offset: LogOffset, sample: &Sample) -> JobEffect {
        match self.decide_commit(sample) {
            CommitDecision::Accepted => {
                if let Some(step) = self.open.get_mut(&sample.id.step) {
                    step.fill(offset, sample.clone());
                }
                JobEffect::Committed(sample.id.clone())
            }
            CommitDecision::Repeated => JobEffect::Ignored,
            CommitDecision::Rejected(reason) => JobEffect::Rejected {
                id: sample.id.clone(),
                attempt: sample.attempt,
                reason,
            },
        }
    }

    /// Decides whether a sample is accepted. A well-formed sample also raises the newest version.
    fn decide_commit(&mut self, sample: &Sample) -> CommitDecision {
        let Some(versions) = sample_check::version_range(sample) else {
            return CommitDecision::Rejected(DropReason::Malformed);
        };
        if sample.id.job != self.job {
            return CommitDecision::Rejected(DropReason::Malformed);
        }
        let newest = self
            .newest_version
            .map_or(versions.newest, |known| known.max(versions.newest));
        self.newest_version = Some(newest);
        let (Some(in_force), Some(step)) = (&self.in_force, self.open.get(&sample.id.step)) else {
            return CommitDecision::Rejected(DropReason::StepNotOpen);
        };
        let filling_attempt = step.filled_by(sample.id.index);
        if let Some(filling_attempt) = filling_attempt.filter(|_| !self.counts_every_commit) {
            return decide_for_filled_slot(sample, filling_attempt);
        }
        let prompt = step.prompt_index(sample.id.index, in_force.rules.prompt_count);
        if prompt != Some(sample.prompt_index) {
            return CommitDecision::Rejected(DropReason::RulesChanged);
        }
        let oldest = versions.oldest;
        if StalenessBound(in_force.rules.staleness_bound).is_too_stale(oldest, newest) {
            return CommitDecision::Rejected(DropReason::TooStale { oldest, newest });
        }
        CommitDecision::Accepted
    }

    fn acknowledge(&mut self, step: StepNumber) -> JobEffect {
        let complete = self.open.get(&step).is_some_and(OpenStep::is_complete);
        if step != self.oldest_step || !complete {
            return JobEffect::Ignored;
        }
        self.open.remove(&step);
        self.oldest_step = StepNumber(step.0 + 1);
        self.open_allowed_steps();
        JobEffect::StepAcknowledged(step)
    }

    fn change_rules(&mut self, revision: Revision, rules: &JobRules) -> JobEffect {
        let is_newer = self
            .in_force
            .as_ref()
            .is_none_or(|in_force| revision > in_force.revision);
        if !is_newer || !is_usable(rules) {
            return JobEffect::Ignored;
        }
        self.in_force = Some(RulesInForce {
            revision,
            rules: rules.clone(),
        });
        self.open_allowed_steps();
        JobEffect::RulesChanged(revision)
    }

    /// Opens every step that the rules allow and that is not open yet.
    fn open_allowed_steps(&mut self) {
        let Some(RulesInForce { rules, .. }) = &self.in_force else {
            return;
        };
        let window = u64::from(rules.steps_ahead.min(MAX_OPEN_STEPS));
        let end = self.oldest_step.0 + window;
        let end = rules.steps.map_or(end, |steps| end.min(steps));
        let first_unopened = self.oldest_step.0 + self.open.len() as u64;
        for number in first_unopened..end {
            let step = OpenStep::new(rules, self.opened_groups);
            self.opened_groups = step.end_group();
            self.open.insert(StepNumber(number), step);
        }
    }
}

/// The decision about a commit.
enum CommitDecision {
    Accepted,
    /// The commit is a duplicate of the one that filled the slot.
    Repeated,
    Rejected(DropReason),
}

/// Decides about a sample whose slot was filled by the attempt `filling_attempt`.
fn decide_for_filled_slot(sample: &Sample, filling_attempt: AttemptId) -> CommitDecision {
    if filling_attempt == sample.attempt {
        return CommitDecision::Repeated;
    }
    CommitDecision::Rejected(DropReason::SlotFilled)
}

/// Whether the fold can apply the rules. The configuration accepts no others, so this is a second
/// check.
fn is_usable(rules: &JobRules) -> bool {
    rules.samples_per_step > 0
        && rules.group_size > 0
        && rules.prompt_count > 0
        && rules.steps_ahead > 0
}
