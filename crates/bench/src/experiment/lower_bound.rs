//! A lower bound for the time of a step, whatever the placement.
//!
//! With the cost model of the engines, in microseconds: an iteration that gives a token to each of
//! `n` sequences takes `i + n * d + c * (sum of their contexts)`. No engine runs more than `B`
//! sequences at once. Then:
//!
//! - *Work:* a token at context `x` takes at least `i / B + d + c * x` of some engine's time. The
//!   sum over all tokens, divided by the number of engines, is the time in which perfectly even,
//!   always full engines would do the work.
//! - *Longest:* a sample alone on an engine takes `i + d + c * x` for every token. The longest one
//!   bounds the step.
//!
//! The bound is the larger of the two. It leaves out prompts (a cache may hold them), live load,
//! swaps, faults, scoring, the log and the network, and that lengths are not known beforehand, so
//! no real step reaches it.

use havenstage_emulator::settings::ComputeCost;
use serde::{Deserialize, Serialize};

const MICROSECONDS: f64 = 1e6;

/// A finished sample as far as the bound needs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SampleWork {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub tokens: u32,
}

/// Lower bounds of one step's time in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LowerBound {
    /// Total work over the capacity of all engines.
    pub work_s: f64,
    /// Longest sample alone on an engine.
    pub longest_s: f64,
}

impl LowerBound {
    /// The bound: the larger of both.
    pub fn seconds(&self) -> f64 {
        self.work_s.max(self.longest_s)
    }
}

/// The lower bound of a step with these samples on `engines` engines that run up to `max_running`
/// sequences each.
pub fn lower_bound(
    samples: &[SampleWork],
    cost: &ComputeCost,
    engines: u32,
    max_running: u32,
) -> LowerBound {
    let batch = f64::from(max_running.max(1));
    let work: f64 = samples
        .iter()
        .map(|sample| decode_us(sample, cost, cost.iteration_us / batch))
        .sum();
    let longest = samples
        .iter()
        .map(|sample| decode_us(sample, cost, cost.iteration_us))
        .fold(0.0, f64::max);
    LowerBound {
        work_s: work * cost.slowness / f64::from(engines.max(1)) / MICROSECONDS,
        longest_s: longest * cost.slowness / MICROSECONDS,
    }
}

/// Time for all tokens of a sample when each bears this share of its iteration.
fn decode_us(sample: &SampleWork, cost: &ComputeCost, iteration_share_us: f64) -> f64 {
    let tokens = f64::from(sample.tokens);
    let mean_context = f64::from(sample.prompt_tokens) + (tokens - 1.0).max(0.0) / 2.0;
    let each = iteration_share_us + cost.decode_sequence_us;
    tokens * (each + cost.decode_context_token_us * mean_context)
}
