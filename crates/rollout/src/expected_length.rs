//! Estimates the remaining output of an item from the caller's estimate and the finished items of its pool.
//!
//! Lengths have long tails, and callers' estimates are right at the median but often far off. So the
//! remaining length of a running item is the mean remaining length of those finished items that reached
//! the same ratio of generated to estimated tokens. The result grows as an item exceeds its estimate.

use std::collections::VecDeque;

/// Finished items kept in the history of a pool.
const MAX_HISTORY_ITEMS: usize = 256;
/// Minimum number of finished items that got as far as the item in question; the mean of fewer is unreliable.
const MIN_COMPARABLE_ITEMS: usize = 4;
/// Minimum number of finished items before the longest of them bounds the expected length.
const MIN_ITEMS_FOR_BOUND: usize = 64;

/// Lengths of the latest finished items of a pool, relative to the callers' estimates.
#[derive(Debug, Clone, Default)]
pub struct LengthHistory {
    /// Generated tokens and their ratio to the estimate, oldest item first.
    finished: VecDeque<(u32, f64)>,
    /// Ratios in ascending order.
    ratios: Vec<f64>,
    /// Sum of the ratios from each position to the end.
    suffix_sums: Vec<f64>,
    /// Generated tokens of the longest item in the history.
    longest_tokens: u32,
}

impl LengthHistory {
    /// Adds an item whose output is complete. Drops the oldest item if the history is full.
    pub fn record_finished(&mut self, estimated_tokens: u32, generated_tokens: u32) {
        if self.finished.len() == MAX_HISTORY_ITEMS {
            self.finished.pop_front();
        }
        let ratio = f64::from(generated_tokens) / f64::from(estimated_tokens.max(1));
        self.finished.push_back((generated_tokens, ratio));
        self.update_statistics();
    }

    fn update_statistics(&mut self) {
        self.longest_tokens = self
            .finished
            .iter()
            .map(|(generated, _)| *generated)
            .max()
            .unwrap_or(0);
        self.ratios = self.finished.iter().map(|(_, ratio)| *ratio).collect();
        self.ratios.sort_by(f64::total_cmp);
        let mut sum = 0.0;
        let sums = self.ratios.iter().rev().map(|ratio| {
            sum += ratio;
            sum
        });
        self.suffix_sums = sums.collect();
        self.suffix_sums.reverse();
    }

    /// Tokens still expected of an item that generated `generated_tokens` so far; at least 1.
    pub fn expected_remaining(&self, estimated_tokens: u32, generated_tokens: u32) -> u32 {
        let expected = self
            .expected_length(estimated_tokens, generated_tokens)
            .unwrap_or_else(|| estimate_or_double(estimated_tokens, generated_tokens));
        self.limit_to_longest(expected, generated_tokens)
            .saturating_sub(generated_tokens)
            .max(1)
    }

    /// Expected total length: the mean length of finished items that got as far, scaled to the estimate. `None` if
    /// there are too few of them.
    fn expected_length(&self, estimated_tokens: u32, generated_tokens: u32) -> Option<u32> {
        let estimated = f64::from(estimated_tokens.max(1));
        let reached = f64::from(generated_tokens) / estimated;
        let from = self.ratios.partition_point(|ratio| *ratio <= reached);
        let comparable = self.ratios.len() - from;
        if comparable < MIN_COMPARABLE_ITEMS {
            return None;
        }
        Some((estimated * self.suffix_sums[from] / comparable as f64) as u32)
    }

    /// Limits the expected length to that of the longest finished item, unless the item is already as long.
    fn limit_to_longest(&self, expected: u32, generated_tokens: u32) -> u32 {
        if self.finished.len() < MIN_ITEMS_FOR_BOUND || generated_tokens >= self.longest_tokens {
            return expected;
        }
        expected.min(self.longest_tokens)
    }
}

/// Expected total length without finished items to compare with: the caller's estimate, or twice the generated
/// tokens once the item has reached its estimate.
fn estimate_or_double(estimated_tokens: u32, generated_tokens: u32) -> u32 {
    if generated_tokens < estimated_tokens {
        estimated_tokens
    } else {
        generated_tokens.saturating_mul(2)
    }
}
