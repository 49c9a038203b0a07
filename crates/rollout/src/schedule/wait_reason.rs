//! Why an item that waits was placed on no back end.

use super::{Candidate, WaitingItem};

/// What keeps an item from every back end that may run items now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// No back end of the pool may run items now.
    NoBackEnd,
    /// Those that may are only probed.
    OnlyProbes,
    /// None is in a region in which the item may run.
    Region,
    /// None of those has weights that the item allows.
    Version,
    /// All of those run as many items as they can.
    NoFreeSlot,
    /// A back end was free, but the run could not be started there.
    NotStarted,
}

impl WaitReason {
    /// Name of the reason in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoBackEnd => "no_back_end",
            Self::OnlyProbes => "only_probes",
            Self::Region => "region",
            Self::Version => "version",
            Self::NoFreeSlot => "no_free_slot",
            Self::NotStarted => "not_started",
        }
    }
}

/// Whether a candidate meets a condition for an item.
type Condition = fn(&Candidate, &WaitingItem) -> bool;

/// The first condition that no candidate meets for an item that was not placed.
pub fn wait_reason(item: &WaitingItem, candidates: &[Candidate]) -> WaitReason {
    if candidates.is_empty() {
        return WaitReason::NoBackEnd;
    }
    let mut left: Vec<&Candidate> = candidates.iter().collect();
    let conditions: [(Condition, WaitReason); 4] = [
        (
            |candidate, _| !candidate.is_half_open,
            WaitReason::OnlyProbes,
        ),
        (Candidate::is_in_region_of, WaitReason::Region),
        (Candidate::has_version_for, WaitReason::Version),
        (Candidate::accepts, WaitReason::NoFreeSlot),
    ];
    for (is_met, reason) in conditions {
        left.retain(|candidate| is_met(candidate, item));
        if left.is_empty() {
            return reason;
        }
    }
    WaitReason::NotStarted
}
