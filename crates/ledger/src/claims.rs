//! The fold of a claim stream. It decides which attempt may run a request that is not repeatable.
//!
//! Each rule depends only on the order of the offsets:
//!
//! * The first claim for a free key makes its attempt the holder of the key. A claim by another
//!   attempt while the key is held is rejected, and that attempt is closed permanently: it does
//!   not wait in a queue. When the holder abandons the key, the next claim by an attempt that is
//!   not closed gets it. An attempt whose claim was rejected can therefore never become the holder
//!   unnoticed, even when a delayed duplicate of its claim is appended.
//!   A claimant that received [`ClaimVerdict::HeldBy`] before it read back its own claim, and that
//!   stops waiting, must abandon its attempt, since its claim may still arrive while the key is
//!   free.
//! * An abandoned attempt is closed permanently, even when its abandonment is appended before its
//!   claim. An abandonment is effective as long as the attempt has no outcome. The claimant
//!   appends it only when it has not dispatched the request and never will.
//! * Only the first outcome of the holder is effective.
//!
//! The at-most-once guarantee is limited: a key is forgotten
//! [`ClaimLedgerSettings::retention_records`] records after its claim or outcome. Until then no
//! second attempt is granted a key whose holder did not abandon it. A repeat of the request after
//! that runs again. A holder that was granted the key but has not dispatched the request must not
//! dispatch it once that many records have followed its claim.

mod entry;
mod retention;
mod settings;

use std::collections::BTreeMap;

use havenstage_types::claim::{Claim, ClaimOutcome, ClaimRecord, ClaimVerdict};
use havenstage_types::ids::{AttemptId, IdempotencyKey, LogOffset};
use serde::{Deserialize, Serialize};

use self::entry::KeyEntry;
use self::retention::{RecordNumber, RetentionQueue};
pub use self::settings::{ClaimLedgerSettings, InvalidClaimLedgerSettings};
use crate::error::FoldError;
use crate::position::{Arrival, StreamPosition};

/// The state of a claim stream after a prefix of its records.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ClaimLedger {
    settings: ClaimLedgerSettings,
    position: StreamPosition,
    /// Number that the next record gets; retention is measured in these numbers.
    next_number: RecordNumber,
    keys: BTreeMap<IdempotencyKey, KeyEntry>,
    /// Claims, abandonments and outcomes whose keys are not yet due to be forgotten.
    remembered: RetentionQueue,
    /// Outcomes whose answers are not yet due to be forgotten.
    answers: RetentionQueue,
}

/// The state and the settings of a [`ClaimLedger`], in a form that can be sent to another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimSnapshot(ClaimLedger);

impl ClaimLedger {
    /// Creates an empty ledger at offset 0.
    ///
    /// # Errors
    ///
    /// [`InvalidClaimLedgerSettings`] when `settings` are out of range.
    pub fn new(settings: ClaimLedgerSettings) -> Result<Self, InvalidClaimLedgerSettings> {
        settings.validate()?;
        Ok(Self {
            settings,
            ..Self::default()
        })
    }

    /// Restores the ledger from a snapshot.
    pub fn from_snapshot(snapshot: ClaimSnapshot) -> Self {
        snapshot.0
    }

    /// Copies the whole state, from which another reader can continue.
    pub fn snapshot(&self) -> ClaimSnapshot {
        ClaimSnapshot(self.clone())
    }

    /// Offset of the next record to apply.
    pub fn next_offset(&self) -> LogOffset {
        self.position.next()
    }

    /// Applies the record at `offset`. A record that was applied before is ignored.
    ///
    /// # Errors
    ///
    /// [`FoldError::Gap`] when `offset` is beyond the next offset; nothing is changed then.
    pub fn apply(&mut self, offset: LogOffset, record: &ClaimRecord) -> Result<(), FoldError> {
        if self.position.advance(offset)? == Arrival::Duplicate {
            return Ok(());
        }
        match record {
            ClaimRecord::Claim(claim) => self.claim(claim),
            ClaimRecord::Abandon { key, attempt } => self.abandon(key, *attempt),
            ClaimRecord::Outcome {
                key,
                attempt,
                outcome,
            } => self.complete(key, *attempt, outcome),
        }
        Ok(())
    }

    /// Moves past a record that cannot be decoded. The record counts for retention and has no
    /// other effect.
    ///
    /// # Errors
    ///
    /// [`FoldError::Gap`] when `offset` is beyond the next offset; nothing is changed then.
    pub fn skip(&mut self, offset: LogOffset) -> Result<(), FoldError> {
        if self.position.advance(offset)? == Arrival::New {
            self.count_record();
        }
        Ok(())
    }

    /// Returns what `attempt` may do, according to the records applied.
    ///
    /// `Granted` is returned only after the attempt's own claim was applied. `Abandoned` means that
    /// the attempt will never hold the key and that no attempt holds it now: a new attempt may
    /// claim it. `None` means that no attempt holds the key and that the ledger remembers no record
    /// that closed `attempt`.
    pub fn verdict(
        &self,
        key: &IdempotencyKey,
        attempt: AttemptId,
        fingerprint: u64,
    ) -> Option<ClaimVerdict> {
        self.keys.get(key)?.verdict(attempt, fingerprint)
    }

    /// The attempt that holds the key, whether or not it has an outcome.
    pub fn holder(&self, key: &IdempotencyKey) -> Option<AttemptId> {
        let entry = self.keys.get(key)?;
        entry.holder.as_ref().map(|holder| holder.attempt)
    }

    /// Number of keys that the ledger remembers.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    fn claim(&mut self, claim: &Claim) {
        let number = self.count_record();
        let entry = self.keys.entry(claim.key.clone()).or_default();
        entry.claim(number, claim);
        self.remembered.push(number, &claim.key, claim.attempt);
    }

    fn abandon(&mut self, key: &IdempotencyKey, attempt: AttemptId) {
        let number = self.count_record();
        let entry = self.keys.entry(key.clone()).or_default();
        entry.abandon(number, attempt);
        self.remembered.push(number, key, attempt);
    }

    fn complete(&mut self, key: &IdempotencyKey, attempt: AttemptId, outcome: &ClaimOutcome) {
        let number = self.count_record();
        let entry = self.keys.get_mut(key);
        let is_first_outcome = entry.is_some_and(|entry| entry.complete(number, attempt, outcome));
        if !is_first_outcome {
            return;
        }
        self.remembered.push(number, key, attempt);
        if matches!(outcome, ClaimOutcome::Answer(_)) {
            self.answers.push(number, key, attempt);
        }
    }

    /// Assigns the next record number, and forgets keys and answers whose retention ends with it.
    fn count_record(&mut self) -> RecordNumber {
        let number = self.next_number;
        self.next_number = RecordNumber(number.0 + 1);
        self.forget_answers();
        self.forget_keys();
        number
    }

    fn forget_answers(&mut self) {
        let retention = self.settings.answer_retention_records;
        while let Some(expired) = self.answers.pop_expired(self.next_number, retention) {
            if let Some(entry) = self.keys.get_mut(&expired.key) {
                entry.forget_answer(expired.attempt);
            }
        }
    }

    fn forget_keys(&mut self) {
        let retention = self.settings.retention_records;
        while let Some(expired) = self.remembered.pop_expired(self.next_number, retention) {
            let Some(entry) = self.keys.get_mut(&expired.key) else {
                continue;
            };
            entry.forget(expired.recorded_at, expired.attempt);
            if entry.is_empty() {
                self.keys.remove(&expired.key);
            }
        }
    }
}
