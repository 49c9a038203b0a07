//! Dispatch order of the open samples of a step, which shortens the step's long tail.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::lengths::RunningLength;

/// An open sample with its expected final length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedSample {
    /// Index of the sample within its step.
    pub index: u32,
    /// Expected final length of the sample, in tokens.
    pub expected_tokens: u32,
}

/// Returns the positions in `samples` in the order in which to dispatch them: the longest expected
/// sample first, the lower sample index first among equals. Starting the longest samples first
/// makes the step end earlier.
pub fn dispatch_order(samples: &[ExpectedSample]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..samples.len()).collect();
    order.sort_by_key(|&position| {
        let sample = samples[position];
        (Reverse(sample.expected_tokens), sample.index, position)
    });
    order
}

/// Estimates sample lengths from finished samples: those of the same prompt group if there are any,
/// otherwise those of all groups. Without any finished sample the estimate is the upper bound.
#[derive(Debug, Clone, Default)]
pub struct LengthEstimator {
    groups: BTreeMap<u32, RunningLength>,
    all: RunningLength,
}

impl LengthEstimator {
    /// Records the length, in tokens, of a finished sample of the prompt `prompt_index`.
    pub fn observe(&mut self, prompt_index: u32, tokens: u32) {
        self.groups.entry(prompt_index).or_default().observe(tokens);
        self.all.observe(tokens);
    }

    /// Expected length, in tokens, of a sample of the prompt `prompt_index`; at most `max_tokens`.
    pub fn expected_tokens(&self, prompt_index: u32, max_tokens: u32) -> u32 {
        let group = self.groups.get(&prompt_index).and_then(RunningLength::mean);
        group
            .or(self.all.mean())
            .map_or(max_tokens, |tokens| tokens.min(max_tokens))
    }
}
