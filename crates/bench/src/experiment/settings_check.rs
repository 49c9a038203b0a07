//! Checks that the settings of an experiment lie in their ranges.

use super::error::ExperimentError;
use super::settings::{Experiment, FaultRates, JobSettings, LiveSettings};

impl Experiment {
    /// Checks the ranges that are not checked by the engines' and nodes' own settings.
    ///
    /// # Errors
    /// The first setting out of range.
    pub fn validate(&self) -> Result<(), ExperimentError> {
        within("scale_percent", self.scale_percent, 1, 100)?;
        within("nodes_per_zone", self.nodes_per_zone, 1, 1_000)?;
        positive("duration_s", self.duration_s)?;
        self.job.validate()?;
        positive("trainer.train_s", self.trainer.train_s)?;
        within(
            "trainer.steps_per_version",
            self.trainer.steps_per_version,
            1,
            1_000,
        )?;
        within("trainer.batch", self.trainer.batch, 1, 65_536)?;
        self.live.iter().try_for_each(LiveSettings::validate)?;
        for fault in &self.faults {
            not_negative("faults.at_s", fault.at_s)?;
            positive("faults.for_s", fault.for_s)?;
        }
        self.fault_rates.validate()
    }
}

impl JobSettings {
    fn validate(&self) -> Result<(), ExperimentError> {
        within("job.prompts", self.prompts, 1, 1_000_000)?;
        within("job.own_words", self.own_words, 1, 1_000_000)?;
        within("job.group_size", self.group_size, 1, 65_536)?;
        within("job.samples_per_step", self.samples_per_step, 1, 1_000_000)?;
        within("job.max_tokens", self.max_tokens, 1, 1_000_000)?;
        within("job.steps", self.steps, 1, 1_000_000)?;
        within("job.steps_ahead", self.steps_ahead, 1, 256)?;
        if !self.samples_per_step.is_multiple_of(self.group_size) {
            return Err(ExperimentError::OutOfRange {
                setting: "job.samples_per_step",
                value: self.samples_per_step.to_string(),
                allowed: "a multiple of job.group_size",
            });
        }
        Ok(())
    }
}

impl LiveSettings {
    fn validate(&self) -> Result<(), ExperimentError> {
        positive("live.rate_per_s", self.rate_per_s)?;
        positive("live.deadline_s", self.deadline_s)?;
        within("live.prefixes", self.prefixes, 1, 1_000_000)?;
        within("live.max_tokens", self.max_tokens, 1, 1_000_000)?;
        let Some(burst) = &self.burst else {
            return Ok(());
        };
        positive("live.burst.every_s", burst.every_s)?;
        not_negative("live.burst.length_s", burst.length_s)?;
        positive("live.burst.factor", burst.factor)
    }
}

impl FaultRates {
    fn validate(&self) -> Result<(), ExperimentError> {
        let rates = [
            self.engine_crashes_per_hour,
            self.node_crashes_per_hour,
            self.swap_failures_per_hour,
        ];
        for rate in rates {
            not_negative("fault_rates", rate)?;
        }
        positive("fault_rates.for_s", self.for_s)
    }
}

fn within<T: PartialOrd + ToString>(
    setting: &'static str,
    value: T,
    lowest: T,
    highest: T,
) -> Result<(), ExperimentError> {
    let holds = value >= lowest && value <= highest;
    require(holds, setting, value, "at least 1, within reason")
}

fn positive(setting: &'static str, value: f64) -> Result<(), ExperimentError> {
    let holds = value > 0.0 && value.is_finite();
    require(holds, setting, value, "above 0")
}

fn not_negative(setting: &'static str, value: f64) -> Result<(), ExperimentError> {
    let holds = value >= 0.0 && value.is_finite();
    require(holds, setting, value, "0 or more")
}

fn require(
    holds: bool,
    setting: &'static str,
    value: impl ToString,
    allowed: &'static str,
) -> Result<(), ExperimentError> {
    if holds {
        return Ok(());
    }
    Err(ExperimentError::OutOfRange {
        setting,
        value: value.to_string(),
        allowed,
    })
}
