//! Settings of a scale run.

use std::time::Duration;

use havenstage_node::settings::NodeSettings;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Seconds of a day.
const SECONDS_PER_DAY: f64 = 86_400.0;

/// How many nodes and engines one part of the run has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterSize {
    /// Nodes.
    pub nodes: usize,
    /// Engines.
    pub engines: usize,
}

/// What is measured at each size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Nothing happens but the nodes' own traffic.
    Idle,
    /// Single configuration changes until they are in force everywhere.
    ConfigChanges,
    /// Configuration changes at a steady rate.
    ChangeRate,
    /// A new weight version until every engine of its model has it.
    Version,
    /// Live requests at a steady rate.
    Requests,
    /// Live requests that may run only once, at a steady rate.
    AtMostOnceRequests,
    /// A step of a training job.
    TrainingStep,
    /// A node's death until its roles have new owners.
    NodeDeath,
    /// Replacements of nodes at a steady rate.
    Replacements,
    /// A zone's cut and return.
    ZoneCut,
}

impl Phase {
    /// All phases in the order in which they run.
    pub const ALL: [Phase; 10] = [
        Phase::Idle,
        Phase::ConfigChanges,
        Phase::ChangeRate,
        Phase::Version,
        Phase::Requests,
        Phase::AtMostOnceRequests,
        Phase::TrainingStep,
        Phase::NodeDeath,
        Phase::Replacements,
        Phase::ZoneCut,
    ];
}

/// Settings of a scale run. Durations are milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ScaleSettings {
    /// Sizes, measured one after the other, each with new nodes.
    pub sizes: Vec<ClusterSize>,
    /// What is measured at each size.
    pub phases: Vec<Phase>,
    /// Zones that nodes and engines are spread over.
    pub zones: usize,
    /// Pools, each with a model of its own, that the engines are spread over.
    pub pools: usize,
    /// Threads that run the nodes.
    pub node_threads: usize,
    /// Threads that run the platform's stand-ins, the engines included.
    pub platform_threads: usize,
    /// Pause between the starts of two nodes.
    pub start_interval_ms: u64,
    /// Longest wait for the nodes to agree.
    pub converge_timeout_ms: u64,
    /// Quiet time after the nodes agree and before the first figure.
    pub settle_ms: u64,
    /// Length of each window in which rates are measured.
    pub window_ms: u64,
    /// Single configuration changes timed.
    pub timed_changes: usize,
    /// Configuration changes a day whose steady rate is imitated.
    pub changes_per_day: f64,
    /// Node replacements a day whose steady rate is imitated.
    pub replacements_per_day: f64,
    /// Factor by which the rate of changes is compressed.
    pub change_speedup: f64,
    /// Factor by which the rate of replacements is compressed.
    pub replacement_speedup: f64,
    /// Live requests a second, from all nodes together.
    pub requests_per_second: f64,
    /// Tokens of every answer.
    pub answer_tokens: u32,
    /// Samples of the training step.
    pub samples_per_step: u32,
    /// Time that a zone stays cut off.
    pub cut_ms: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Settings of every node.
    pub node: NodeSettings,
}

impl Default for ScaleSettings {
    fn default() -> Self {
        Self {
            sizes: vec![ClusterSize {
                nodes: 24,
                engines: 43,
            }],
            phases: Phase::ALL.to_vec(),
            zones: 4,
            pools: 6,
            node_threads: 5,
            platform_threads: 2,
            start_interval_ms: 50,
            converge_timeout_ms: 180_000,
            settle_ms: 5_000,
            window_ms: 20_000,
            timed_changes: 5,
            changes_per_day: 3_500.0,
            replacements_per_day: 150.0,
            change_speedup: 50.0,
            replacement_speedup: 100.0,
            requests_per_second: 100.0,
            answer_tokens: 450,
            samples_per_step: 512,
            cut_ms: 15_000,
            seed: 1,
            node: NodeSettings::default(),
        }
    }
}

/// A setting outside its range.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidScaleSettings {
    /// A number that must be positive is not.
    #[error("{field} must be above 0")]
    NotPositive {
        /// Name of the field.
        field: &'static str,
    },
    /// A node setting is outside its range.
    #[error(transparent)]
    Node(#[from] havenstage_node::settings::InvalidSetting),
}

impl ScaleSettings {
    /// Checks every field against its allowed range.
    pub fn validate(&self) -> Result<(), InvalidScaleSettings> {
        let fields = [
            ("sizes", self.sizes.len() as f64),
            ("zones", self.zones as f64),
            ("pools", self.pools as f64),
            ("node_threads", self.node_threads as f64),
            ("platform_threads", self.platform_threads as f64),
            ("window_ms", self.window_ms as f64),
            ("changes_per_day", self.changes_per_day),
            ("replacements_per_day", self.replacements_per_day),
            ("change_speedup", self.change_speedup),
            ("replacement_speedup", self.replacement_speedup),
            ("requests_per_second", self.requests_per_second),
            ("samples_per_step", f64::from(self.samples_per_step)),
        ];
        if let Some((field, _)) = fields.into_iter().find(|(_, value)| *value <= 0.0) {
            return Err(InvalidScaleSettings::NotPositive { field });
        }
        if self.sizes.iter().any(|size| size.nodes == 0) {
            return Err(InvalidScaleSettings::NotPositive {
                field: "sizes.nodes",
            });
        }
        self.node.validate()?;
        Ok(())
    }

    /// Time between two configuration changes.
    pub fn change_interval(&self) -> Duration {
        interval(self.changes_per_day * self.change_speedup)
    }

    /// Time between two replacements.
    pub fn replacement_interval(&self) -> Duration {
        interval(self.replacements_per_day * self.replacement_speedup)
    }

    /// [`Self::window_ms`] as a duration.
    pub fn window(&self) -> Duration {
        Duration::from_millis(self.window_ms)
    }
}

fn interval(per_day: f64) -> Duration {
    Duration::from_secs_f64(SECONDS_PER_DAY / per_day)
}
