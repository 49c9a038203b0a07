//! Settings of placement, admission and job driving that were chosen by measurement.

use havenstage_placement::admission::TrainingProjection;
use serde::{Deserialize, Serialize};

use crate::settings::InvalidSetting;

/// The page on routing says what each value was measured to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementTuning {
    /// Whether training goes to the least loaded engine whatever its prompt.
    pub training_by_load: bool,
    /// How the output of training requests is projected.
    pub training_projection: TrainingProjection,
    /// Share of the KV cache, in percent, that projected use never reaches into.
    pub kv_safety_percent: u8,
    /// Successes, one at a time, that an engine needs after a failure before it is filled again.
    pub recovery_successes: u32,
    /// Share of a trained pool's engines, in percent, that live calls go to first; rounded to the
    /// nearest number of engines.
    pub live_engines_percent: u8,
    /// Share of the slots of such an engine, in percent, that training may take.
    pub training_on_live_engines_percent: u8,
    /// Whether live calls avoid engines that are about to load a version.
    pub live_avoids_swaps: bool,
    /// Samples of one job assigned at once, in percent of the pool's slots.
    pub assigned_percent: u32,
}

impl Default for PlacementTuning {
    fn default() -> Self {
        Self {
            training_by_load: true,
            training_projection: TrainingProjection::ObservedMean,
            kv_safety_percent: 15,
            recovery_successes: 0,
            live_engines_percent: 20,
            training_on_live_engines_percent: 4,
            live_avoids_swaps: true,
            assigned_percent: 100,
        }
    }
}

impl PlacementTuning {
    /// Checks every value against its allowed range.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        let percents = [
            ("placement.kv_safety_percent", self.kv_safety_percent),
            ("placement.live_engines_percent", self.live_engines_percent),
            (
                "placement.training_on_live_engines_percent",
                self.training_on_live_engines_percent,
            ),
        ];
        for (key, percent) in percents {
            require(percent <= 100, key, u32::from(percent), "0 to 100")?;
        }
        let assigned = self.assigned_percent;
        let in_range = (1..=10_000).contains(&assigned);
        require(
            in_range,
            "placement.assigned_percent",
            assigned,
            "1 to 10000",
        )
    }
}

fn require(
    holds: bool,
    key: &'static str,
    value: u32,
    allowed: &'static str,
) -> Result<(), InvalidSetting> {
    if holds {
        return Ok(());
    }
    Err(InvalidSetting {
        key,
        value: value.to_string(),
        allowed,
    })
}
