//! What a group needs to know about the commands it agrees on.

use havenstage_types::claim::{ClaimCommand, ClaimOutcome};

/// Rough bytes of the parts of a command that have a fixed size.
const FIXED_BYTES: usize = 64;

/// A command of a group's users.
pub trait Command: Clone {
    /// Rough bytes it takes in memory and in a batch.
    fn size_bytes(&self) -> usize;

    /// Whether it asks for new work and may be refused when memory runs short. What follows from
    /// work already granted is always taken.
    fn begins_work(&self) -> bool;
}

impl Command for ClaimCommand {
    fn size_bytes(&self) -> usize {
        match self {
            ClaimCommand::Claim(claim) => {
                FIXED_BYTES + claim.key.as_str().len() + claim.request.as_str().len()
            }
            ClaimCommand::Abandon { key, .. } => FIXED_BYTES + key.as_str().len(),
            ClaimCommand::Outcome { key, outcome, .. } => {
                let text = match outcome {
                    ClaimOutcome::Answer(answer) => answer.text.len(),
                    ClaimOutcome::Failed(_) => 0,
                };
                FIXED_BYTES + key.as_str().len() + text
            }
        }
    }

    fn begins_work(&self) -> bool {
        matches!(self, ClaimCommand::Claim(_))
    }
}
