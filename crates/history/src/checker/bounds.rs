//! The times and numbers against which a history is judged.

use std::collections::BTreeMap;

use havenstage_types::ids::{JobName, ModelName};

/// Bounds of a run. They must be those the system ran with, not wishes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// Longest time, in milliseconds, for which a leaving back end may still get work.
    pub leaving_grace_ms: u64,
    /// Time, in milliseconds, after which an accepted change must be in force everywhere.
    pub config_in_force_ms: u64,
    /// Time a call may take when its caller set none, in milliseconds.
    pub default_deadline_ms: u64,
    /// How long after its deadline a call may get its final answer, in milliseconds.
    pub deadline_grace_ms: u64,
    /// Longest time a message needs to a caller or an engine, in milliseconds: what a process
    /// sent before it exited is seen by then.
    pub delivery_slack_ms: u64,
    /// Bounds of each job. A job that is missing here is not judged for staleness and completeness.
    pub jobs: BTreeMap<JobName, JobBounds>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            leaving_grace_ms: 3_000,
            config_in_force_ms: 5_000,
            default_deadline_ms: 60_000,
            deadline_grace_ms: 1_000,
            delivery_slack_ms: 250,
            jobs: BTreeMap::new(),
        }
    }
}

/// Bounds of one job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobBounds {
    /// Model the job trains.
    pub model: ModelName,
    /// How many versions older than the newest one a token may be; the largest value that was
    /// configured during the run.
    pub staleness_bound: u64,
    /// Samples in one step.
    pub samples_per_step: u32,
}
