//! What the trainer saw.

use std::collections::BTreeMap;
use std::time::Duration;

use havenstage_types::ids::{AttemptId, LogOffset, SampleId, StepNumber, VersionNumber};
use havenstage_types::job::DeliveredSample;
use havenstage_types::version::VersionSegments;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Everything a trainer saw.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TrainerRecord {
    /// Every delivery in the order it came, repeated ones included.
    pub deliveries: Vec<DeliveryRecord>,
    /// Every step that was trained.
    pub steps: Vec<StepRecord>,
    /// Whether all steps of the settings are done.
    pub finished: bool,
}

/// One delivered sample.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeliveryRecord {
    /// Slot of the sample.
    pub sample: SampleId,
    /// Offset in the job's stream.
    pub offset: LogOffset,
    /// Attempt that filled the slot.
    pub attempt: AttemptId,
    /// Hash of the token ids.
    pub tokens_hash: u64,
    /// Number of tokens.
    pub token_count: u32,
    /// Versions that produced them.
    pub segments: VersionSegments,
    /// Version the trainer trained from when the sample came.
    pub version_in_use: VersionNumber,
    /// How many versions the oldest token is behind that.
    pub staleness: u64,
}

/// One trained step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// The step.
    pub step: StepNumber,
    /// Milliseconds the trainer waited for its samples.
    pub idle_ms: u64,
    /// Milliseconds it trained.
    pub training_ms: u64,
    /// Version it published after it.
    pub published: VersionNumber,
}

impl TrainerRecord {
    /// Notes a batch.
    pub(super) fn take(&mut self, samples: Vec<DeliveredSample>, version_in_use: VersionNumber) {
        let deliveries = samples
            .into_iter()
            .map(|delivered| delivery_record(delivered, version_in_use));
        self.deliveries.extend(deliveries);
    }

    /// Notes the end of a step.
    pub(super) fn end_step(
        &mut self,
        step: StepNumber,
        idle: Duration,
        training: Duration,
        published: VersionNumber,
    ) {
        self.steps.push(StepRecord {
            step,
            idle_ms: idle.as_millis() as u64,
            training_ms: training.as_millis() as u64,
            published,
        });
    }

    /// Share of the time that the trainer waited, from 0 to 1.
    pub fn idle_share(&self) -> f64 {
        let idle: u64 = self.steps.iter().map(|step| step.idle_ms).sum();
        let training: u64 = self.steps.iter().map(|step| step.training_ms).sum();
        idle as f64 / (idle + training).max(1) as f64
    }

    /// Slots that were delivered as two different samples; exactly-once delivery means none.
    pub fn conflicting_deliveries(&self) -> Vec<&SampleId> {
        let mut first: BTreeMap<&SampleId, &DeliveryRecord> = BTreeMap::new();
        let mut conflicts = Vec::new();
        for delivery in &self.deliveries {
            let known = *first.entry(&delivery.sample).or_insert(delivery);
            if known.offset != delivery.offset || known.attempt != delivery.attempt {
                conflicts.push(&delivery.sample);
            }
        }
        conflicts
    }
}

fn delivery_record(delivered: DeliveredSample, version_in_use: VersionNumber) -> DeliveryRecord {
    let sample = delivered.sample;
    let token_bytes: Vec<u8> = sample
        .tokens
        .iter()
        .flat_map(|token| token.to_le_bytes())
        .collect();
    let oldest = sample.segments.oldest().unwrap_or(version_in_use);
    DeliveryRecord {
        sample: sample.id,
        offset: delivered.offset,
        attempt: sample.attempt,
        tokens_hash: xxh3_64(&token_bytes),
        token_count: sample.tokens.len() as u32,
        segments: sample.segments,
        version_in_use,
        staleness: version_in_use.0.saturating_sub(oldest.0),
    }
}
