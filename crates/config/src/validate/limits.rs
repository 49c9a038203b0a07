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

/// Steps of a job that ends.
pub const STEPS: RangeInclusive<u64> = 1..=u64::MAX;

/// Steps that may be open at once.
pub const STEPS_AHEAD: RangeInclusive<u32> = 1..=8;

/// Number of prompts of a job; the bytes they may take bound them from above.
pub const PROMPT_COUNT: RangeInclusive<usize> = 1..=PROMPT_BYTES_MAX;

/// Bytes of all prompts of a job together.
pub const PROMPT_BYTES: RangeInclusive<usize> = 0..=PROMPT_BYTES_MAX;

/// Most bytes of all prompts of a job together: 1 MiB.
pub const PROMPT_BYTES_MAX: usize = 1 << 20;

/// Requests an engine may run at once.
pub const MAX_RUNNING_PER_ENGINE: RangeInclusive<u32> = 1..=4096;

/// Requests that may wait at one engine's home.
pub const MAX_QUEUED_PER_ENGINE: RangeInclusive<u32> = 0..=65_536;

/// Percent of the running slots that training never takes.
pub const LIVE_RESERVE_PERCENT: RangeInclusive<u8> = 0..=90;

/// Tokens the KV cache of an engine holds.
pub const KV_CAPACITY_TOKENS: RangeInclusive<u64> = 1..=u64::MAX;

/// Requests of one caller in flight at one node, where a rule limits them.
pub const MAX_IN_FLIGHT_PER_NODE: RangeInclusive<u32> = 1..=u32::MAX;
