//! Limits of the fields of resources: ranges of allowed values, or the lowest allowed value. All
//! nodes must use the same limits: nodes with different ones would disagree on which changes are
//! valid.

use std::ops::RangeInclusive;

/// Length of a name, in characters.
pub const NAME_LENGTH: RangeInclusive<usize> = 1..=63;

/// Length of the location of a weight version in the weight store, in bytes.
pub const LOCATION_LENGTH: RangeInclusive<usize> = 1..=1024;

/// Number of samples in one group, all generated from the same prompt.
pub const GROUP_SIZE: RangeInclusive<u32> = 1..=SAMPLES_PER_STEP_MAX;

/// Samples in one step.
pub const SAMPLES_PER_STEP: RangeInclusive<u32> = 1..=SAMPLES_PER_STEP_MAX;

/// Maximum number of samples in one step.
pub const SAMPLES_PER_STEP_MAX: u32 = 65_536;

/// Maximum number of versions by which a token may lag behind the newest version.
pub const STALENESS_BOUND: RangeInclusive<u64> = 0..=1000;

/// Maximum number of tokens generated for one sample.
pub const MAX_TOKENS: RangeInclusive<u32> = 1..=1_000_000;

/// Minimum number of steps of a job with a step limit.
pub const STEPS_MIN: u64 = 1;

/// Maximum number of steps of a job that are open at once.
pub const STEPS_AHEAD: RangeInclusive<u32> = 1..=8;

/// Minimum number of prompts of a job.
pub const PROMPT_COUNT_MIN: usize = 1;

/// Total length of all prompts of a job, in bytes; at most 1 MiB.
pub const PROMPT_BYTES: RangeInclusive<usize> = 0..=1 << 20;

/// Maximum number of requests that an engine runs at once.
pub const MAX_RUNNING_PER_ENGINE: RangeInclusive<u32> = 1..=4096;

/// Maximum number of requests that wait for one engine, at the node that admits requests for it.
pub const MAX_QUEUED_PER_ENGINE: RangeInclusive<u32> = 0..=65_536;

/// Share of the running slots that training never uses, in percent.
pub const LIVE_RESERVE_PERCENT: RangeInclusive<u8> = 0..=90;

/// Minimum capacity of the KV cache of an engine, in tokens.
pub const KV_CAPACITY_TOKENS_MIN: u64 = 1;

/// Minimum of the limit that a priority rule sets on the requests of one caller in flight at one
/// node.
pub const MAX_IN_FLIGHT_PER_NODE_MIN: u32 = 1;
