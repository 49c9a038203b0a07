//! Promise 3: every sample reaches the trainer exactly once.
//!
//! A trainer reads by cursor, so it may see a sample again when it asks again from an earlier
//! cursor; then it must be the same sample at the same offset. No two samples may fill one slot,
//! and no slot may be missing in a step that was reported complete, was acknowledged, or belongs
//! to a drained job. Trainers of one job are taken together, since a replaced trainer goes on
//! where the one before it stopped.

use std::collections::{BTreeMap, BTreeSet};

use havenstage_types::ids::{JobName, LogOffset, SampleId, StepNumber, TrainerName};
use thiserror::Error;

use super::bounds::Bounds;
use super::index::{HistoryIndex, Seen};
use super::outcome::PromiseReport;
use crate::event::EventBody;
use crate::event::engine::AttemptLabel;
use crate::event::trainer::SampleReceived;

/// How the promise of exactly once was broken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ExactlyOnceBroken {
    /// Two different samples filled one slot.
    #[error("slot {sample} was delivered with attempt {first} and again with attempt {second}")]
    TwoSamples {
        /// The slot.
        sample: SampleId,
        /// Attempt delivered first.
        first: AttemptLabel,
        /// Attempt delivered later.
        second: AttemptLabel,
    },
    /// One sample was delivered at two offsets.
    #[error("sample {sample} was delivered at offset {first} and again at offset {second}")]
    TwoOffsets {
        /// The slot.
        sample: SampleId,
        /// First offset.
        first: LogOffset,
        /// Later offset.
        second: LogOffset,
    },
    /// One offset held two samples.
    #[error("offset {offset} held sample {first} and later sample {second}")]
    OffsetReused {
        /// The offset.
        offset: LogOffset,
        /// Sample delivered first.
        first: SampleId,
        /// Sample delivered later.
        second: SampleId,
    },
    /// A sample came again although the trainer's cursor had passed it.
    #[error("sample {sample} at offset {offset} came although the trainer asked from {cursor} on")]
    BeforeCursor {
        /// The slot.
        sample: SampleId,
        /// Its offset.
        offset: LogOffset,
        /// Cursor asked with.
        cursor: LogOffset,
    },
    /// One read held a sample twice.
    #[error("sample {0} came twice in one read")]
    TwiceInOneRead(SampleId),
    /// Another sample was delivered than the one that fills the slot in the job's stream.
    #[error(
        "sample {sample} was delivered with attempt {delivered}, but its slot is filled by attempt {committed}"
    )]
    NotTheCommitted {
        /// The slot.
        sample: SampleId,
        /// Attempt delivered.
        delivered: AttemptLabel,
        /// Attempt in the stream.
        committed: AttemptLabel,
    },
    /// A sample has an index that its step does not have.
    #[error("sample {0} lies outside its step")]
    NoSuchSlot(SampleId),
    /// A step was called complete, acknowledged or drained while samples were missing.
    #[error(
        "step {step} of job {job} lacks {missing} of its samples, the first at index {first_missing}"
    )]
    StepIncomplete {
        /// The job.
        job: JobName,
        /// The step.
        step: StepNumber,
        /// Number of samples missing.
        missing: usize,
        /// Lowest index missing.
        first_missing: u32,
    },
}

/// Judges the promise.
pub(super) fn judge(history: &HistoryIndex<'_>, bounds: &Bounds) -> PromiseReport {
    let mut deliveries: Vec<_> = history
        .select(|body| match body {
            EventBody::SampleReceived(received) => Some(received),
            _ => None,
        })
        .collect();
    deliveries.sort_by_key(Seen::position);
    let mut report = PromiseReport::default();
    judge_deliveries(&deliveries, &mut report);
    judge_commits(history, &deliveries, &mut report);
    judge_indices(&deliveries, bounds, &mut report);
    judge_steps(history, &deliveries, bounds, &mut report);
    report
}

fn judge_deliveries(deliveries: &[Seen<&SampleReceived>], report: &mut PromiseReport) {
    let mut by_slot: BTreeMap<&SampleId, Seen<&SampleReceived>> = BTreeMap::new();
    let mut by_offset: BTreeMap<(&JobName, LogOffset), Seen<&SampleReceived>> = BTreeMap::new();
    let mut by_read: BTreeMap<(&TrainerName, u64, &SampleId), usize> = BTreeMap::new();
    for delivery in deliveries {
        report.fact();
        let received = delivery.what;
        let first = *by_slot.entry(&received.sample).or_insert(*delivery);
        judge_same_slot(first, *delivery, report);
        let place = (&received.sample.job, received.offset);
        let first = *by_offset.entry(place).or_insert(*delivery);
        judge_same_offset(first, *delivery, report);
        judge_cursor(*delivery, report);
        let in_read = (&received.trainer, received.read, &received.sample);
        if let Some(first) = by_read.insert(in_read, delivery.index) {
            let reason = ExactlyOnceBroken::TwiceInOneRead(received.sample.clone());
            report.broken(reason, &[first, delivery.index]);
        }
    }
}

fn judge_same_slot(
    first: Seen<&SampleReceived>,
    later: Seen<&SampleReceived>,
    report: &mut PromiseReport,
) {
    let sample = later.what.sample.clone();
    let same_attempt = first.what.attempt == later.what.attempt;
    if !same_attempt || first.what.tokens != later.what.tokens {
        let reason = ExactlyOnceBroken::TwoSamples {
            sample,
            first: first.what.attempt.clone(),
            second: later.what.attempt.clone(),
        };
        report.broken(reason, &[first.index, later.index]);
    } else if first.what.offset != later.what.offset {
        let reason = ExactlyOnceBroken::TwoOffsets {
            sample,
            first: first.what.offset,
            second: later.what.offset,
        };
        report.broken(reason, &[first.index, later.index]);
    }
}

fn judge_same_offset(
    first: Seen<&SampleReceived>,
    later: Seen<&SampleReceived>,
    report: &mut PromiseReport,
) {
    if first.what.sample != later.what.sample {
        let reason = ExactlyOnceBroken::OffsetReused {
            offset: later.what.offset,
            first: first.what.sample.clone(),
            second: later.what.sample.clone(),
        };
        report.broken(reason, &[first.index, later.index]);
    }
}

fn judge_cursor(delivery: Seen<&SampleReceived>, report: &mut PromiseReport) {
    let received = delivery.what;
    if received.offset < received.cursor {
        let reason = ExactlyOnceBroken::BeforeCursor {
            sample: received.sample.clone(),
            offset: received.offset,
            cursor: received.cursor,
        };
        report.broken(reason, &[delivery.index]);
    }
}

fn judge_commits(
    history: &HistoryIndex<'_>,
    deliveries: &[Seen<&SampleReceived>],
    report: &mut PromiseReport,
) {
    let mut committed = BTreeMap::new();
    for (index, event) in history.events.iter().enumerate() {
        if let EventBody::JobStreamCommitObserved(commit) = &event.body {
            committed.insert(&commit.sample, (index, commit));
        }
    }
    for delivery in deliveries {
        let Some((index, commit)) = committed.get(&delivery.what.sample) else {
            continue;
        };
        if commit.attempt != delivery.what.attempt {
            let reason = ExactlyOnceBroken::NotTheCommitted {
                sample: delivery.what.sample.clone(),
                delivered: delivery.what.attempt.clone(),
                committed: commit.attempt.clone(),
            };
            report.broken(reason, &[*index, delivery.index]);
        }
    }
}

fn judge_indices(
    deliveries: &[Seen<&SampleReceived>],
    bounds: &Bounds,
    report: &mut PromiseReport,
) {
    for delivery in deliveries {
        let sample = &delivery.what.sample;
        let job = bounds.jobs.get(&sample.job);
        if job.is_some_and(|job| sample.index >= job.samples_per_step) {
            let reason = ExactlyOnceBroken::NoSuchSlot(sample.clone());
            report.broken(reason, &[delivery.index]);
        }
    }
}

fn judge_steps(
    history: &HistoryIndex<'_>,
    deliveries: &[Seen<&SampleReceived>],
    bounds: &Bounds,
    report: &mut PromiseReport,
) {
    let arrivals = first_arrivals(deliveries);
    for claim in completeness_claims(history) {
        let (job, step) = claim.what;
        let Some(job_bounds) = bounds.jobs.get(job) else {
            continue;
        };
        report.fact();
        let arrived: BTreeSet<u32> = arrivals
            .get(&(job, step))
            .into_iter()
            .flatten()
            .filter(|(_, position)| **position <= claim.position())
            .map(|(index, _)| *index)
            .collect();
        let missing: Vec<u32> = (0..job_bounds.samples_per_step)
            .filter(|index| !arrived.contains(index))
            .collect();
        if let Some(first_missing) = missing.first() {
            let reason = ExactlyOnceBroken::StepIncomplete {
                job: job.clone(),
                step,
                missing: missing.len(),
                first_missing: *first_missing,
            };
            report.broken(reason, &[claim.index]);
        }
    }
}

type Arrivals<'h> = BTreeMap<(&'h JobName, StepNumber), BTreeMap<u32, (u64, usize)>>;

/// When each index of each step first arrived. `deliveries` are in order of time.
fn first_arrivals<'h>(deliveries: &[Seen<&'h SampleReceived>]) -> Arrivals<'h> {
    let mut arrivals: Arrivals<'h> = BTreeMap::new();
    for delivery in deliveries {
        let sample = &delivery.what.sample;
        let step = arrivals.entry((&sample.job, sample.step)).or_default();
        step.entry(sample.index).or_insert(delivery.position());
    }
    arrivals
}

/// Steps that somebody called complete, with the event that did.
fn completeness_claims<'h>(history: &HistoryIndex<'h>) -> Vec<Seen<(&'h JobName, StepNumber)>> {
    let mut claims = Vec::new();
    for (index, event) in history.events.iter().enumerate() {
        let mut claim = |job, step| {
            claims.push(Seen {
                index,
                at_ms: event.at_ms,
                what: (job, step),
            });
        };
        match &event.body {
            EventBody::StepReportedComplete(reported) => claim(&reported.job, reported.step),
            EventBody::StepAcknowledged(acknowledged) => {
                claim(&acknowledged.job, acknowledged.step);
            }
            EventBody::JobDrained(drained) => {
                for step in 0..drained.steps {
                    claim(&drained.job, StepNumber(step));
                }
            }
            _ => {}
        }
    }
    claims
}
