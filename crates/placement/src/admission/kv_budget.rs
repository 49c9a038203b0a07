//! Projected and reported use of an engine's KV cache, in tokens.

use havenstage_types::engine::LoadReport;
use havenstage_types::peer::AdmitRequest;

use super::limits::{AdmissionLimits, TrainingProjection};
use crate::lengths::RunningLength;

/// Projects the KV use of requests and stores the last reported use and capacity.
#[derive(Debug, Clone, Default)]
pub(super) struct KvBudget {
    training_lengths: RunningLength,
    reported_used: u64,
    reported_capacity: u64,
}

impl KvBudget {
    /// Records the length of a finished training output, in tokens.
    pub fn observe_training_length(&mut self, tokens: u32) {
        self.training_lengths.observe(tokens);
    }

    /// Stores the KV use and capacity that the engine reports; reports lag behind its state.
    pub fn observe_report(&mut self, report: &LoadReport) {
        self.reported_used = report.kv_used_tokens;
        self.reported_capacity = report.kv_capacity_tokens;
    }

    /// Upper bound of the projected use, in tokens: the smaller of the configured and the reported
    /// capacity, minus the safety share. A reported capacity of zero counts as not reported.
    pub fn budget_tokens(&self, limits: &AdmissionLimits) -> u64 {
        let capacity = match self.reported_capacity {
            0 => limits.kv_capacity_tokens,
            reported => reported.min(limits.kv_capacity_tokens),
        };
        let usable_percent = 100 - u64::from(limits.kv_safety_percent.min(100));
        capacity / 100 * usable_percent + capacity % 100 * usable_percent / 100
    }

    /// Tokens that `request` is projected to use when it ends: its context plus its output. The
    /// output is the maximum for live requests and an estimate from finished requests for training.
    pub fn projected_tokens(&self, request: &AdmitRequest, limits: &AdmissionLimits) -> u64 {
        let output = if request.class.is_live() {
            request.max_new_tokens
        } else {
            self.expected_training_output(request.max_new_tokens, limits)
        };
        u64::from(request.context_tokens) + u64::from(output)
    }

    /// Whether the reported use exceeds the budget, which means that the projection was too low.
    pub fn is_under_pressure(&self, limits: &AdmissionLimits) -> bool {
        self.reported_used > self.budget_tokens(limits)
    }

    fn expected_training_output(&self, max_new_tokens: u32, limits: &AdmissionLimits) -> u32 {
        let fixed_share =
            u64::from(max_new_tokens) * u64::from(limits.expected_output_percent.min(100)) / 100;
        let observed = match limits.training_projection {
            TrainingProjection::ShareOfBound => None,
            TrainingProjection::ObservedCautious => self.training_lengths.cautious(),
            TrainingProjection::ObservedMean => self.training_lengths.mean(),
        };
        observed.unwrap_or(fixed_share as u32).min(max_new_tokens)
    }
}
