//! How much output an item still gives, from the caller's guess and what items of its pool gave.
//!
//! Lengths have long tails, and guesses are right at the median but often far off. So what is left
//! of an item that has not ended is the mean of what was left, at the same share of their guesses,
//! of finished items that got that far. It rises as an item outgrows its guess.

use std::collections::VecDeque;

/// Finished items that are remembered for each pool.
const MOST_REMEMBERED: usize = 256;
/// Finished items that got as far, without which their mean says nothing.
const FEWEST_COMPARABLE: usize = 4;
/// Finished items from which on the longest of them bounds what is expected.
const FEWEST_FOR_BOUND: usize = 64;

/// Lengths of the finished items of a pool, relative to what was guessed of them.
#[derive(Debug, Clone, Default)]
pub struct LengthHistory {
    /// Tokens made and their ratio to the guess, in the order of their ends.
    finished: VecDeque<(u32, f64)>,
    /// Ratios in rising order.
    ratios: Vec<f64>,
    /// Sum of the ratios from each position on.
    sums_from: Vec<f64>,
    longest: u32,
}

impl LengthHistory {
    /// An item ended whole.
    pub fn record_finished(&mut self, guessed_tokens: u32, made_tokens: u32) {
        if self.finished.len() == MOST_REMEMBERED {
            self.finished.pop_front();
        }
        let ratio = f64::from(made_tokens) / f64::from(guessed_tokens.max(1));
        self.finished.push_back((made_tokens, ratio));
        self.prepare();
    }

    fn prepare(&mut self) {
        self.longest = self
            .finished
            .iter()
            .map(|(made, _)| *made)
            .max()
            .unwrap_or(0);
        self.ratios = self.finished.iter().map(|(_, ratio)| *ratio).collect();
        self.ratios.sort_by(f64::total_cmp);
        let mut sum = 0.0;
        let sums = self.ratios.iter().rev().map(|ratio| {
            sum += ratio;
            sum
        });
        self.sums_from = sums.collect();
        self.sums_from.reverse();
    }

    /// Tokens still expected of an item that made so many; at least one.
    pub fn expected_remaining(&self, guessed_tokens: u32, made_tokens: u32) -> u32 {
        let expected = self
            .expected_whole(guessed_tokens, made_tokens)
            .unwrap_or_else(|| guess_or_double(guessed_tokens, made_tokens));
        self.bounded(expected, made_tokens)
            .saturating_sub(made_tokens)
            .max(1)
    }

    /// Mean length of finished items that got as far, scaled to the guess.
    fn expected_whole(&self, guessed_tokens: u32, made_tokens: u32) -> Option<u32> {
        let guessed = f64::from(guessed_tokens.max(1));
        let reached = f64::from(made_tokens) / guessed;
        let from = self.ratios.partition_point(|ratio| *ratio <= reached);
        let comparable = self.ratios.len() - from;
        if comparable < FEWEST_COMPARABLE {
            return None;
        }
        Some((guessed * self.sums_from[from] / comparable as f64) as u32)
    }

    /// No item is expected to be longer than all that ended, unless it already is.
    fn bounded(&self, expected: u32, made_tokens: u32) -> u32 {
        if self.finished.len() < FEWEST_FOR_BOUND || made_tokens >= self.longest {
            return expected;
        }
        expected.min(self.longest)
    }
}

/// Without finished items to compare with, an item that has outgrown its guess is expected to go on
/// for as long again as it already has.
fn guess_or_double(guessed_tokens: u32, made_tokens: u32) -> u32 {
    if made_tokens < guessed_tokens {
        guessed_tokens
    } else {
        made_tokens.saturating_mul(2)
    }
}
