//! Limits of the fields of resources. They are part of the fold: nodes with different limits would
//! disagree on which changes are valid.

use std::ops::RangeInclusive;

/// Length of a name, in characters.
pub const NAME_LENGTH: RangeInclusive<usize> = 1..=63;

/// Length of the place of a weight version in the weight store, in bytes.
pub const LOCATION_LENGTH: RangeInclusive<usize> = 1..=1024;

/// Samples drawn from one prompt.
pub const GROUP_SIZE: RangeInclusive<u32> = 1..=SAMPLES_PER_STEP_MAX;

/// Samples in one step.
pub const SAMPLES_PER_STEP: RangeInclusive<u32> = 1..=SAMPLES_PER_STEP_MAX;

/// Most samples in one step.
pub const SAMPLES_PER_STEP_MAX: u32 = 65_536;

/// Versions a token may be older than the newest one.
pub const STALENESS_BOUND: RangeInclusive<u64> = 0..=1000;

/// Generated tokens of one sample.
pub const MAX_TOKENS: RangeInclusive<u32> = 1..=1_000_000;

/// Fewest steps of a job that ends.
pub const STEPS_MIN: u64 = 1;

/// Steps that may be open at once.
pub const STEPS_AHEAD: RangeInclusive<u32> = 1..=8;

/// Fewest prompts of a job.
pub const PROMPT_COUNT_MIN: usize = 1;

/// Bytes of all prompts of a job together, at most 1 MiB.
pub const PROMPT_BYTES: RangeInclusive<usize> = 0..=1 << 20;

/// Requests an engine may run at once.
pub const MAX_RUNNING_PER_ENGINE: RangeInclusive<u32> = 1..=4096;

/// Requests that may wait at one engine's home.
pub const MAX_QUEUED_PER_ENGINE: RangeInclusive<u32> = 0..=65_536;

/// Percent of the running slots that training never takes.
pub const LIVE_RESERVE_PERCENT: RangeInclusive<u8> = 0..=90;

/// Fewest tokens the KV cache of an engine holds.
pub const KV_CAPACITY_TOKENS_MIN: u64 = 1;

/// Lowest limit a rule may set on the requests of one caller in flight at one node.
pub const MAX_IN_FLIGHT_PER_NODE_MIN: u32 = 1;
