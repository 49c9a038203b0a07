//! The long tail of a step: which open samples start first.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::lengths::RunningLength;

/// An open sample with the length it is expected to reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedSample {
    /// Index of the sample within its step.
    pub index: u32,
    /// Tokens it is expected to have at its end.
    pub expected_tokens: u32,
}

/// Positions in `samples` in the order to dispatch them: the longest expected first, the lower
/// sample index first among equals. Starting the longest first shortens the end of the step.
pub fn dispatch_order(samples: &[ExpectedSample]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..samples.len()).collect();
    order.sort_by_key(|&position| {
        let sample = samples[position];
        (Reverse(sample.expected_tokens), sample.index, position)
    });
    order
}

/// Expects lengths from those of finished samples: of the same prompt group if there are any,
/// else of all groups, else the upper bound.
#[derive(Debug, Clone, Default)]
pub struct LengthEstimator {
    groups: BTreeMap<u32, RunningLength>,
    all: RunningLength,
}

impl LengthEstimator {
    /// Takes in a finished sample of the prompt `prompt_index`.
    pub fn observe(&mut self, prompt_index: u32, tokens: u32) {
        self.groups.entry(prompt_index).or_default().observe(tokens);
        self.all.observe(tokens);
    }

    /// Expected tokens of a sample of the prompt `prompt_index`, at most `max_tokens`.
    pub fn expected_tokens(&self, prompt_index: u32, max_tokens: u32) -> u32 {
        let group = self.groups.get(&prompt_index).and_then(RunningLength::mean);
        group
            .or(self.all.mean())
            .map_or(max_tokens, |tokens| tokens.min(max_tokens))
    }
}
