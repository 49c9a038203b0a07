//! The state of one idempotency key.

use std::collections::BTreeMap;

use havenstage_types::claim::{Claim, ClaimOutcome, ClaimVerdict};
use havenstage_types::ids::AttemptId;
use havenstage_types::refusal::{Execution, Refusal, RefusalReason};
use serde::{Deserialize, Serialize};

use super::retention::RecordNumber;

/// The attempt that may run the request of a key, and its outcome once it has one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Holder {
    pub(super) attempt: AttemptId,
    fingerprint: u64,
    outcome: Option<ClaimOutcome>,
    /// Record number of the claim or, once there is one, of the outcome. Retention starts here.
    recorded_at: RecordNumber,
}

/// The attempt that holds a key, and the attempts that can never hold it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(super) struct KeyEntry {
    pub(super) holder: Option<Holder>,
    /// Attempts that were abandoned or whose claim was rejected, with the number of the last record
    /// that closed them.
    closed: BTreeMap<AttemptId, RecordNumber>,
}

impl KeyEntry {
    /// Applies a claim. It gets a free key; if another attempt holds the key, the claiming attempt
    /// is closed permanently. A delayed duplicate of a closed attempt's claim restarts the
    /// retention of the entry that closes the attempt.
    pub(super) fn claim(&mut self, number: RecordNumber, claim: &Claim) {
        if self.is_closed(claim.attempt) {
            self.close(number, claim.attempt);
            return;
        }
        match &self.holder {
            Some(holder) if holder.attempt == claim.attempt => {}
            Some(_) => self.close(number, claim.attempt),
            None => {
                self.holder = Some(Holder {
                    attempt: claim.attempt,
                    fingerprint: claim.fingerprint,
                    outcome: None,
                    recorded_at: number,
                });
            }
        }
    }

    /// Closes an attempt, and frees the key if the attempt holds it. A holder with an outcome can
    /// no longer be abandoned, since it has run.
    pub(super) fn abandon(&mut self, number: RecordNumber, attempt: AttemptId) {
        if let Some(holder) = self.held_by(attempt) {
            if holder.outcome.is_some() {
                return;
            }
            self.holder = None;
        }
        self.close(number, attempt);
    }

    /// Stores the outcome if it is the first one of the holder. Returns whether it was stored.
    pub(super) fn complete(
        &mut self,
        number: RecordNumber,
        attempt: AttemptId,
        outcome: &ClaimOutcome,
    ) -> bool {
        let Some(holder) = self.held_by(attempt) else {
            return false;
        };
        if holder.outcome.is_some() {
            return false;
        }
        holder.outcome = Some(outcome.clone());
        holder.recorded_at = number;
        true
    }

    /// Forgets the effect of record `number` on `attempt`, unless a later record has renewed it.
    pub(super) fn forget(&mut self, number: RecordNumber, attempt: AttemptId) {
        if self
            .held_by(attempt)
            .is_some_and(|holder| holder.recorded_at == number)
        {
            self.holder = None;
        }
        if self.closed.get(&attempt) == Some(&number) {
            self.closed.remove(&attempt);
        }
    }

    /// Forgets the text of the answer of `attempt` if it holds the key, but not that it ran.
    pub(super) fn forget_answer(&mut self, attempt: AttemptId) {
        if let Some(holder) = self.held_by(attempt) {
            holder.outcome = Some(ClaimOutcome::Failed(Refusal {
                reason: RefusalReason::OutcomeUnknown,
                execution: Execution::Ran,
                retry_after: None,
            }));
        }
    }

    /// Returns what `attempt` may do, or `None` when no attempt holds the key and `attempt` is not
    /// closed.
    pub(super) fn verdict(&self, attempt: AttemptId, fingerprint: u64) -> Option<ClaimVerdict> {
        let Some(holder) = &self.holder else {
            return self.is_closed(attempt).then_some(ClaimVerdict::Abandoned);
        };
        if holder.fingerprint != fingerprint {
            return Some(ClaimVerdict::KeyReused);
        }
        if let Some(outcome) = &holder.outcome {
            return Some(ClaimVerdict::Done(outcome.clone()));
        }
        if holder.attempt == attempt {
            return Some(ClaimVerdict::Granted);
        }
        Some(ClaimVerdict::HeldBy(holder.attempt))
    }

    /// Whether the key has neither a holder nor closed attempts, so that the entry can be removed.
    pub(super) fn is_empty(&self) -> bool {
        self.holder.is_none() && self.closed.is_empty()
    }

    fn is_closed(&self, attempt: AttemptId) -> bool {
        self.closed.contains_key(&attempt)
    }

    fn close(&mut self, number: RecordNumber, attempt: AttemptId) {
        self.closed.insert(attempt, number);
    }

    fn held_by(&mut self, attempt: AttemptId) -> Option<&mut Holder> {
        self.holder
            .as_mut()
            .filter(|holder| holder.attempt == attempt)
    }
}
