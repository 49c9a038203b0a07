//! Settings of the model; every field names its unit.

use std::time::Duration;

use havenstage_types::resource::PriorityClass;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Settings of one engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Whether answers and version swaps take no time at all.
    pub instant: bool,
    /// Seed of answers; engines that share it give the same answer to the same subject.
    pub content_seed: u64,
    /// Version loaded at each start of the engine; `None` waits for an order.
    pub initial_version: Option<u64>,
    /// Lengths of answers.
    pub output_length: LengthDistribution,
    /// Share of the variance of log-normal lengths, 0 to 1, that the prompt decides: answers to
    /// one prompt then have similar lengths.
    pub prompt_length_share: f64,
    /// Most tokens put out as one chunk.
    pub tokens_per_chunk: u32,
    /// The same for training requests; `None` is as for the others. Larger chunks make long
    /// simulations cheaper and change nothing but when tokens are seen.
    pub training_tokens_per_chunk: Option<u32>,
    /// Most requests computed at once.
    pub max_running_requests: u32,
    /// Most requests that may wait inside the engine.
    pub max_waiting_requests: u32,
    /// Time that computing takes.
    pub compute: ComputeCost,
    /// KV memory and prefix cache.
    pub kv: KvSettings,
    /// Version swaps.
    pub swap: SwapSettings,
    /// Microseconds by which the load report is behind.
    pub load_report_lag_us: u64,
    /// Ended executions whose records are kept at least, and twice as many at most; `None` keeps all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub most_records: Option<u32>,
}

/// Distribution of answer lengths.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum LengthDistribution {
    /// Always the same length.
    Fixed {
        /// Tokens of every answer.
        tokens: u32,
    },
    /// Log-normal.
    LogNormal {
        /// Median length in tokens.
        median_tokens: f64,
        /// Standard deviation of the length's natural logarithm.
        sigma: f64,
    },
    /// Pareto; the heavier the tail, the closer `shape` is to 1.
    Pareto {
        /// Shortest length in tokens.
        minimum_tokens: f64,
        /// Shape of the tail.
        shape: f64,
    },
}

/// Time that one iteration takes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ComputeCost {
    /// Microseconds of every iteration.
    pub iteration_us: f64,
    /// Microseconds for each prompt token that is not cached.
    pub prefill_token_us: f64,
    /// Most prompt tokens computed in one iteration.
    pub prefill_chunk_tokens: u32,
    /// Microseconds for each sequence that gets a token.
    pub decode_sequence_us: f64,
    /// Microseconds for each token of context of the sequences that get a token.
    pub decode_context_token_us: f64,
    /// Factor on all of these, above 1 for a slow machine.
    pub slowness: f64,
}

/// KV memory and prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KvSettings {
    /// Tokens the memory holds.
    pub capacity_tokens: u64,
    /// Tokens of one block; prefixes are cached in whole blocks.
    pub block_tokens: u32,
    /// What happens when a running sequence finds no free block.
    pub when_full: WhenKvFull,
    /// Microseconds by which cache events are late.
    pub event_lag_us: u64,
    /// Probability that a cache event is lost.
    pub event_loss_probability: f64,
    /// Microseconds to export or import one token of KV memory.
    pub transfer_token_us: f64,
}

/// What happens when a running sequence finds no free block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhenKvFull {
    /// The least urgent sequence loses its memory and is computed again later.
    Preempt,
    /// The engine runs out of memory and crashes.
    Crash,
}

/// Version swaps.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SwapSettings {
    /// Whether weights are fetched by whoever drives the model.
    pub external_fetch: bool,
    /// Microseconds of an internal fetch; the engine computes on meanwhile.
    pub fetch_us: u64,
    /// Microseconds to load fetched weights; the engine computes nothing meanwhile.
    pub load_us: u64,
    /// Probability that a swap fails after its load.
    pub failure_probability: f64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            instant: false,
            content_seed: 0,
            initial_version: None,
            output_length: LengthDistribution::LogNormal {
                median_tokens: 200.0,
                sigma: 1.0,
            },
            prompt_length_share: 0.0,
            tokens_per_chunk: 8,
            training_tokens_per_chunk: None,
            max_running_requests: 64,
            max_waiting_requests: 1_024,
            compute: ComputeCost::default(),
            kv: KvSettings::default(),
            swap: SwapSettings::default(),
            load_report_lag_us: 200_000,
            most_records: None,
        }
    }
}

impl Default for ComputeCost {
    fn default() -> Self {
        Self {
            iteration_us: 4_000.0,
            prefill_token_us: 50.0,
            prefill_chunk_tokens: 512,
            decode_sequence_us: 60.0,
            decode_context_token_us: 0.05,
            slowness: 1.0,
        }
    }
}

impl Default for KvSettings {
    fn default() -> Self {
        Self {
            capacity_tokens: 262_144,
            block_tokens: 16,
            when_full: WhenKvFull::Preempt,
            event_lag_us: 500_000,
            event_loss_probability: 0.01,
            transfer_token_us: 2.0,
        }
    }
}

impl Default for SwapSettings {
    fn default() -> Self {
        Self {
            external_fetch: false,
            fetch_us: 2_000_000,
            load_us: 500_000,
            failure_probability: 0.0,
        }
    }
}

/// A setting outside its allowed range.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum InvalidEngineSettings {
    /// A count that must be at least 1 is zero.
    #[error("{field} must be at least 1")]
    Zero {
        /// Name of the field.
        field: &'static str,
    },
    /// A number is outside its range.
    #[error("{field} is {value}, allowed: {allowed}")]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Value given.
        value: f64,
        /// Allowed range.
        allowed: &'static str,
    },
}

impl EngineSettings {
    /// Checks every field against its allowed range.
    pub fn validate(&self) -> Result<(), InvalidEngineSettings> {
        at_least_one("tokens_per_chunk", self.tokens_per_chunk)?;
        at_least_one("most_records", self.most_records.unwrap_or(1))?;
        if let Some(tokens) = self.training_tokens_per_chunk {
            at_least_one("training_tokens_per_chunk", tokens)?;
        }
        at_least_one("max_running_requests", self.max_running_requests)?;
        at_least_one(
            "compute.prefill_chunk_tokens",
            self.compute.prefill_chunk_tokens,
        )?;
        at_least_one("kv.block_tokens", self.kv.block_tokens)?;
        if self.kv.capacity_tokens < u64::from(self.kv.block_tokens) {
            return Err(InvalidEngineSettings::OutOfRange {
                field: "kv.capacity_tokens",
                value: self.kv.capacity_tokens as f64,
                allowed: "at least one block",
            });
        }
        probability("prompt_length_share", self.prompt_length_share)?;
        probability("kv.event_loss_probability", self.kv.event_loss_probability)?;
        probability("swap.failure_probability", self.swap.failure_probability)?;
        not_negative("kv.transfer_token_us", self.kv.transfer_token_us)?;
        self.compute.validate()?;
        self.output_length.validate()
    }
}

impl EngineSettings {
    /// Most tokens of a chunk for a request of this class.
    pub(crate) fn chunk_tokens(&self, class: PriorityClass) -> usize {
        let tokens = match (class, self.training_tokens_per_chunk) {
            (PriorityClass::Training, Some(tokens)) => tokens,
            _ => self.tokens_per_chunk,
        };
        tokens as usize
    }

    /// Takes away all times that an instant engine does not have.
    pub(crate) fn with_instant_applied(mut self) -> Self {
        if self.instant {
            self.swap.fetch_us = 0;
            self.swap.load_us = 0;
            self.load_report_lag_us = 0;
            self.kv.event_lag_us = 0;
        }
        self
    }
}

impl ComputeCost {
    /// Microseconds to generate one token after `context_tokens`.
    pub(crate) fn decode_us(&self, context_tokens: u32) -> f64 {
        self.decode_sequence_us + self.decode_context_token_us * f64::from(context_tokens)
    }

    /// Microseconds to compute `tokens` of a prompt.
    pub(crate) fn prefill_us(&self, tokens: u32) -> f64 {
        self.prefill_token_us * f64::from(tokens)
    }

    /// The time this machine takes for what takes `microseconds` at normal speed.
    pub(crate) fn scaled(&self, microseconds: f64) -> Duration {
        let scaled = (microseconds * self.slowness).ceil().max(1.0);
        Duration::from_micros(scaled as u64)
    }

    fn validate(&self) -> Result<(), InvalidEngineSettings> {
        positive("compute.iteration_us", self.iteration_us)?;
        not_negative("compute.prefill_token_us", self.prefill_token_us)?;
        not_negative("compute.decode_sequence_us", self.decode_sequence_us)?;
        not_negative(
            "compute.decode_context_token_us",
            self.decode_context_token_us,
        )?;
        positive("compute.slowness", self.slowness)
    }
}

impl LengthDistribution {
    fn validate(&self) -> Result<(), InvalidEngineSettings> {
        match *self {
            Self::Fixed { tokens } => at_least_one("output_length.tokens", tokens),
            Self::LogNormal {
                median_tokens,
                sigma,
            } => {
                positive("output_length.median_tokens", median_tokens)?;
                not_negative("output_length.sigma", sigma)
            }
            Self::Pareto {
                minimum_tokens,
                shape,
            } => {
                positive("output_length.minimum_tokens", minimum_tokens)?;
                positive("output_length.shape", shape)
            }
        }
    }
}

fn at_least_one(field: &'static str, value: u32) -> Result<(), InvalidEngineSettings> {
    if value == 0 {
        return Err(InvalidEngineSettings::Zero { field });
    }
    Ok(())
}

fn in_range(
    field: &'static str,
    value: f64,
    allowed: &'static str,
    holds: bool,
) -> Result<(), InvalidEngineSettings> {
    if holds && value.is_finite() {
        return Ok(());
    }
    Err(InvalidEngineSettings::OutOfRange {
        field,
        value,
        allowed,
    })
}

fn positive(field: &'static str, value: f64) -> Result<(), InvalidEngineSettings> {
    in_range(field, value, "above 0", value > 0.0)
}

fn not_negative(field: &'static str, value: f64) -> Result<(), InvalidEngineSettings> {
    in_range(field, value, "0 or more", value >= 0.0)
}

fn probability(field: &'static str, value: f64) -> Result<(), InvalidEngineSettings> {
    in_range(field, value, "0 to 1", (0.0..=1.0).contains(&value))
}
