//! The fold of a job's stream: which samples reach the trainer.
//!
//! Rules, each decided by offset order alone:
//!
//! * Rules of the job are records of this stream ([`JobRecord::RulesChanged`]), not read from the
//!   configuration, since two readers could apply a configuration change at different offsets of
//!   this stream and then disagree about a sample. Before the first such record no step is open.
//!   Only a higher configuration revision changes anything.
//! * A changed staleness bound, prompt count, step limit or window counts from the record on. A
//!   step that is open keeps its number of samples and its groups, and stays open.
//! * The newest version is the highest one published or named by a well-formed sample: engines can
//!   run a version before its record is read. It never falls.
//! * The first sample for a slot that is well formed, for the slot's prompt and within the bound
//!   at its own offset fills the slot. A rejected sample leaves its slot open.
//! * A step is acknowledged only when it is complete and the oldest one open.

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

/// Most steps kept open at once, whatever the rules say; it bounds the ledger's memory.
pub const MAX_OPEN_STEPS: u32 = 256;

/// Rules in force and the configuration revision they came from.
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
    #[serde(skip)]
    counts_every_commit: bool,
}

/// A [`JobLedger`] in a form to be sent to another node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobSnapshot(JobLedger);

/// A slot that waits for a sample.
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
    /// An empty ledger of `job` at offset 0.
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

    /// Lets every commit count, also for a slot that is filled. For the simulator only: it shows
    /// that samples then reach the trainer more than once.
    pub fn count_every_commit(&mut self) {
        self.counts_every_commit = true;
    }

    /// Goes on from a snapshot.
    pub fn from_snapshot(snapshot: JobSnapshot) -> Self {
        snapshot.0
    }

    /// The whole state with the samples of the open steps, to go on from elsewhere.
    pub fn snapshot(&self) -> JobSnapshot {
        JobSnapshot(self.clone())
    }

    /// Applies the record at `offset`. A record applied before is ignored; a record beyond the
    /// next offset is a [`FoldError::Gap`].
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

    /// Moves past a record that cannot be decoded; it changes nothing else.
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
        match self.judge(sample) {
            Judgement::Accepted => {
                if let Some(step) = self.open.get_mut(&sample.id.step) {
                    step.fill(offset, sample.clone());
                }
                JobEffect::Committed(sample.id.clone())
            }
            Judgement::Repeated => JobEffect::Ignored,
            Judgement::Rejected(reason) => JobEffect::Rejected {
                id: sample.id.clone(),
                attempt: sample.attempt,
                reason,
            },
        }
    }

    /// Decides about a sample and learns the newest version from it.
    fn judge(&mut self, sample: &Sample) -> Judgement {
        let Some(versions) = sample_check::version_range(sample) else {
            return Judgement::Rejected(DropReason::Malformed);
        };
        if sample.id.job != self.job {
            return Judgement::Rejected(DropReason::Malformed);
        }
        let newest = self
            .newest_version
            .map_or(versions.newest, |known| known.max(versions.newest));
        self.newest_version = Some(newest);
        let (Some(in_force), Some(step)) = (&self.in_force, self.open.get(&sample.id.step)) else {
            return Judgement::Rejected(DropReason::StepNotOpen);
        };
        let winner = step.filled_by(sample.id.index);
        if let Some(winner) = winner.filter(|_| !self.counts_every_commit) {
            return judge_late(sample, winner);
        }
        let prompt = step.prompt_index(sample.id.index, in_force.rules.prompt_count);
        if prompt != Some(sample.prompt_index) {
            return Judgement::Rejected(DropReason::RulesChanged);
        }
        let oldest = versions.oldest;
        if StalenessBound(in_force.rules.staleness_bound).is_too_stale(oldest, newest) {
            return Judgement::Rejected(DropReason::TooStale { oldest, newest });
        }
        Judgement::Accepted
    }

    fn acknowledge(&mut self, step: StepNumber) -> JobEffect {
        let complete = self.open.get(&step).is_some_and(OpenStep::is_complete);
        if step != self.oldest_step || !complete {
            return JobEffect::Ignored;
        }
        self.open.remove(&step);
        self.oldest_step = StepNumber(step.0 + 1);
        self.open_window();
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
        self.open_window();
        JobEffect::RulesChanged(revision)
    }

    /// Opens the steps that the rules allow beyond the last acknowledged one.
    fn open_window(&mut self) {
        let Some(RulesInForce { rules, .. }) = &self.in_force else {
            return;
        };
        let window = u64::from(rules.steps_ahead.min(MAX_OPEN_STEPS));
        let end = self.oldest_step.0 + window;
        let end = rules.steps.map_or(end, |steps| end.min(steps));
        let first_closed = self.oldest_step.0 + self.open.len() as u64;
        for number in first_closed..end {
            let step = OpenStep::new(rules, self.opened_groups);
            self.opened_groups = step.end_group();
            self.open.insert(StepNumber(number), step);
        }
    }
}

/// What a commit comes to.
enum Judgement {
    Accepted,
    /// The very commit that filled the slot, appended again.
    Repeated,
    Rejected(DropReason),
}

/// Decides about a sample whose slot `winner` has filled.
fn judge_late(sample: &Sample, winner: AttemptId) -> Judgement {
    if winner == sample.attempt {
        return Judgement::Repeated;
    }
    Judgement::Rejected(DropReason::SlotFilled)
}

/// Whether the fold can work with the rules; the configuration refuses others beforehand.
fn is_usable(rules: &JobRules) -> bool {
    rules.samples_per_step > 0
        && rules.group_size > 0
        && rules.prompt_count > 0
        && rules.steps_ahead > 0
}
