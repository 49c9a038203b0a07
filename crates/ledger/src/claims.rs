//! The fold of a claim stream: which attempt may run a not-repeatable request.
//!
//! Rules, each decided by offset order alone:
//!
//! * The first claim for a free key holds it. A claim by another attempt while the key is held
//!   loses, and its attempt is closed for good: it does not queue. When the holder abandons, the
//!   next *new* attempt's claim wins. Once an attempt's claim has lost it can therefore never come
//!   to hold the key unnoticed, not even when a copy of the claim is appended late.
//!   An attempt that was told [`ClaimVerdict::HeldBy`] before its own claim was read back, and
//!   goes away, must be abandoned by its claimant, since that claim may still arrive first.
//! * An abandoned attempt is closed for good, also when its abandonment is appended before its
//!   claim. An abandonment counts as long as the attempt has no outcome; the claimant writes it
//!   only when it has not dispatched and never will.
//! * Only the holder's first outcome counts.
//!
//! At-most-once horizon: a key is forgotten [`ClaimLedgerSettings::retention_records`] records
//! after its claim or outcome. Up to there no second attempt is granted a key whose holder did not
//! abandon; a repeat that comes later runs again. A holder that was granted but has not dispatched
//! must not dispatch once that many records have followed its claim.

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
    /// Number of the next record that counts for retention.
    next_number: RecordNumber,
    keys: BTreeMap<IdempotencyKey, KeyEntry>,
    remembered: RetentionQueue,
    answers: RetentionQueue,
}

/// A [`ClaimLedger`] in a form to be sent to another node, with its settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimSnapshot(ClaimLedger);

impl ClaimLedger {
    /// An empty ledger at offset 0.
    pub fn new(settings: ClaimLedgerSettings) -> Result<Self, InvalidClaimLedgerSettings> {
        settings.validate()?;
        Ok(Self {
            settings,
            ..Self::default()
        })
    }

    /// Goes on from a snapshot.
    pub fn from_snapshot(snapshot: ClaimSnapshot) -> Self {
        snapshot.0
    }

    /// The whole state, to go on from elsewhere.
    pub fn snapshot(&self) -> ClaimSnapshot {
        ClaimSnapshot(self.clone())
    }

    /// Offset of the next record to apply.
    pub fn next_offset(&self) -> LogOffset {
        self.position.next()
    }

    /// Applies the record at `offset`. A record applied before is ignored; a record beyond the
    /// next offset is a [`FoldError::Gap`].
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

    /// Moves past a record that cannot be decoded; it changes nothing else.
    pub fn skip(&mut self, offset: LogOffset) -> Result<(), FoldError> {
        if self.position.advance(offset)? == Arrival::New {
            self.count_record();
        }
        Ok(())
    }

    /// What `attempt` may do, as of the records applied.
    ///
    /// `Granted` comes only after the attempt's own claim was applied. `Abandoned` means that the
    /// attempt will never hold the key and that nobody holds it now: a new attempt may claim.
    /// `None` means that nobody holds the key and this attempt's claim has not been seen.
    pub fn verdict(
        &self,
        key: &IdempotencyKey,
        attempt: AttemptId,
        fingerprint: u64,
    ) -> Option<ClaimVerdict> {
        self.keys.get(key)?.verdict(attempt, fingerprint)
    }

    /// The attempt that holds the key, finished or not.
    pub fn holder(&self, key: &IdempotencyKey) -> Option<AttemptId> {
        let entry = self.keys.get(key)?;
        entry.holder.as_ref().map(|holder| holder.attempt)
    }

    /// Number of keys remembered.
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
        let is_kept = entry.is_some_and(|entry| entry.complete(number, attempt, outcome));
        if !is_kept {
            return;
        }
        self.remembered.push(number, key, attempt);
        if matches!(outcome, ClaimOutcome::Answer(_)) {
            self.answers.push(number, key, attempt);
        }
    }

    /// Takes the next record number and forgets what has thereby grown too old.
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
