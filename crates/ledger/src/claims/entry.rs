//! What is remembered of one idempotency key.

use std::collections::BTreeMap;

use havenstage_types::claim::{Claim, ClaimOutcome, ClaimVerdict};
use havenstage_types::ids::AttemptId;
use havenstage_types::refusal::{Execution, Refusal, RefusalReason};
use serde::{Deserialize, Serialize};

use super::retention::RecordNumber;

/// The attempt that may run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Holder {
    pub(super) attempt: AttemptId,
    fingerprint: u64,
    outcome: Option<ClaimOutcome>,
    /// Number of the claim or, once there is one, of the outcome; retention counts from here.
    recorded_at: RecordNumber,
}

/// What is remembered of one key: who holds it, and which attempts never will.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(super) struct KeyEntry {
    pub(super) holder: Option<Holder>,
    /// Attempts that were abandoned or lost, with the number of the last record that says so.
    closed: BTreeMap<AttemptId, RecordNumber>,
}

impl KeyEntry {
    /// Applies a claim: it takes a free key, and else closes its attempt for good. A late copy of a
    /// closed attempt's claim renews the memory that it is closed.
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

    /// Closes an attempt and frees the key if the attempt holds it. An attempt with an outcome
    /// has run and can no longer be abandoned.
    pub(super) fn abandon(&mut self, number: RecordNumber, attempt: AttemptId) {
        if let Some(holder) = self.held_by(attempt) {
            if holder.outcome.is_some() {
                return;
            }
            self.holder = None;
        }
        self.close(number, attempt);
    }

    /// Keeps the first outcome of the holder; returns whether this is it.
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

    /// Forgets what the record `number` said about `attempt`, unless a later record renewed it.
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

    /// Forgets the text of the holder's answer but not that it ran.
    pub(super) fn forget_answer(&mut self, attempt: AttemptId) {
        if let Some(holder) = self.held_by(attempt) {
            holder.outcome = Some(ClaimOutcome::Failed(Refusal {
                reason: RefusalReason::OutcomeUnknown,
                execution: Execution::Ran,
                retry_after: None,
            }));
        }
    }

    /// What `attempt` may do.
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

    /// Whether nothing is remembered.
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
