//! Limits that the admission of one engine enforces.

use std::time::Duration;

use havenstage_types::ids::PoolName;
use havenstage_types::resource::{EngineSpec, PoolSpec};

use serde::{Deserialize, Serialize};

use crate::settings::InvalidSetting;

/// How the output length of a training request is projected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TrainingProjection {
    /// A fixed share of the request's upper bound.
    ShareOfBound,
    /// The mean length of finished outputs plus twice their mean deviation.
    #[default]
    ObservedCautious,
    /// The mean length of finished outputs: many requests together need their mean, and the safety
    /// share of the KV cache covers deviations.
    ObservedMean,
}

/// Limits of one engine. Some come from the operator's pool and engine resources, the others have
/// defaults.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Pool of the engine; named in refusals.
    pub pool: PoolName,
    /// Maximum number of requests running at once.
    pub max_running: u32,
    /// Maximum number of queued requests, of all classes together.
    pub max_queued: u32,
    /// Share of the slots, in percent, that training never occupies.
    pub live_reserve_percent: u8,
    /// Capacity of the engine's KV cache, in tokens.
    pub kv_capacity_tokens: u64,
    /// Share of the KV cache, in percent, that projected use leaves free.
    pub kv_safety_percent: u8,
    /// Share of a training request's upper bound, in percent, that it is expected to generate
    /// as long as no length of a finished request is known.
    pub expected_output_percent: u8,
    /// How the output of training requests is projected.
    pub training_projection: TrainingProjection,
    /// Whether training requests are preempted when live requests are queued.
    pub preempt: bool,
    /// Whether queued training starts with the largest `max_new_tokens` instead of the oldest.
    pub longest_training_first: bool,
    /// Maximum age of a permit; ends permits whose release was lost.
    pub max_permit_age: Duration,
    /// Requests that must succeed one at a time after a failure before requests run concurrently
    /// again.
    pub recovery_successes: u32,
    /// Failures to reach the engine in a row after which it counts as unreachable.
    pub unreachable_failures: u32,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self {
            pool: PoolName::new("default"),
            max_running: 64,
            max_queued: 128,
            live_reserve_percent: 10,
            kv_capacity_tokens: 1_000_000,
            kv_safety_percent: 15,
            expected_output_percent: 50,
            training_projection: TrainingProjection::default(),
            preempt: true,
            longest_training_first: false,
            max_permit_age: Duration::from_secs(30 * 60),
            recovery_successes: 5,
            unreachable_failures: 3,
        }
    }
}

impl From<(&PoolSpec, &EngineSpec)> for AdmissionLimits {
    fn from((pool, engine): (&PoolSpec, &EngineSpec)) -> Self {
        Self {
            pool: engine.pool.clone(),
            max_running: pool.max_running_per_engine,
            max_queued: pool.max_queued_per_engine,
            live_reserve_percent: pool.live_reserve_percent,
            kv_capacity_tokens: engine.kv_capacity_tokens,
            ..Self::default()
        }
    }
}

impl AdmissionLimits {
    /// Checks the ranges of the limits.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is outside its range.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        let percents = [
            ("admission.live_reserve_percent", self.live_reserve_percent),
            ("admission.kv_safety_percent", self.kv_safety_percent),
            (
                "admission.expected_output_percent",
                self.expected_output_percent,
            ),
        ];
        for (setting, percent) in percents {
            InvalidSetting::unless(percent <= 100, setting, percent, "0 to 100")?;
        }
        let counts = [
            ("admission.max_running", self.max_running),
            ("admission.unreachable_failures", self.unreachable_failures),
        ];
        for (setting, count) in counts {
            InvalidSetting::unless(count >= 1, setting, count, "at least 1")?;
        }
        InvalidSetting::unless(
            !self.max_permit_age.is_zero(),
            "admission.max_permit_age",
            format!("{:?}", self.max_permit_age),
            "above 0",
        )
    }

    /// Number of slots that training may occupy: all but the live reserve, and at least one unless
    /// the reserve is the whole engine, because a one-slot engine would otherwise never train.
    pub fn training_slots(&self) -> u32 {
        let share = 100 - u64::from(self.live_reserve_percent.min(100));
        if share == 0 {
            return 0;
        }
        let slots = u64::from(self.max_running) * share / 100;
        slots.max(1) as u32
    }
}
