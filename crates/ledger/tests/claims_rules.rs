//! The rules that decide which attempt holds a key, one test for each.

mod support;

use havenstage_ledger::FoldError;
use havenstage_ledger::claims::ClaimLedger;
use havenstage_types::claim::{ClaimRecord, ClaimVerdict};
use havenstage_types::ids::LogOffset;
use support::{FINGERPRINT, abandon, answer, attempt, claim, failed, key, outcome, tail};

fn fold(log: &[ClaimRecord]) -> ClaimLedger {
    let mut ledger = ClaimLedger::default();
    for (offset, record) in tail(log, LogOffset(0)) {
        ledger.apply(offset, record).unwrap();
    }
    ledger
}

fn verdict(log: &[ClaimRecord], sequence: u64) -> Option<ClaimVerdict> {
    fold(log).verdict(&key(1), attempt(sequence), FINGERPRINT)
}

#[test]
fn first_claim_is_granted_and_the_next_gets_the_holder() {
    let log = [claim(1, 1), claim(1, 2), claim(1, 1)];
    assert_eq!(verdict(&log, 1), Some(ClaimVerdict::Granted));
    assert_eq!(verdict(&log, 2), Some(ClaimVerdict::HeldBy(attempt(1))));
    assert_eq!(verdict(&log[..0], 1), None);
}

#[test]
fn rejected_attempt_never_holds_the_key_after_the_holder_abandons() {
    let log = [claim(1, 1), claim(1, 2), abandon(1, 1), claim(1, 2)];
    assert_eq!(verdict(&log, 2), Some(ClaimVerdict::Abandoned));
    assert_eq!(fold(&log).holder(&key(1)), None);
    let retried = [&log[..], &[claim(1, 3)]].concat();
    assert_eq!(verdict(&retried, 3), Some(ClaimVerdict::Granted));
}

#[test]
fn claim_appended_after_its_abandonment_is_ignored() {
    let log = [abandon(1, 1), claim(1, 1), claim(1, 2)];
    assert_eq!(verdict(&log[..2], 1), Some(ClaimVerdict::Abandoned));
    assert_eq!(verdict(&log, 2), Some(ClaimVerdict::Granted));
}

#[test]
fn abandonment_by_another_attempt_frees_nothing() {
    let log = [claim(1, 1), abandon(1, 2), claim(1, 3)];
    assert_eq!(fold(&log).holder(&key(1)), Some(attempt(1)));
}

#[test]
fn only_the_first_outcome_of_the_holder_is_stored() {
    let log = [
        claim(1, 1),
        outcome(1, 2, failed()),
        outcome(1, 1, answer("first")),
        outcome(1, 1, failed()),
        abandon(1, 1),
        claim(1, 3),
    ];
    let done = Some(ClaimVerdict::Done(answer("first")));
    assert_eq!(verdict(&log[..2], 1), Some(ClaimVerdict::Granted));
    assert_eq!(verdict(&log, 1), done);
    assert_eq!(verdict(&log, 3), done);
}

#[test]
fn key_used_for_another_request_is_detected() {
    let ledger = fold(&[claim(1, 1)]);
    let other = ledger.verdict(&key(1), attempt(2), FINGERPRINT + 1);
    assert_eq!(other, Some(ClaimVerdict::KeyReused));
}

#[test]
fn repeated_offset_is_ignored_and_a_gap_is_an_error() {
    let mut ledger = fold(&[claim(1, 1)]);
    let before = ledger.clone();
    assert_eq!(ledger.apply(LogOffset(0), &abandon(1, 1)), Ok(()));
    let gap = FoldError::Gap {
        expected: LogOffset(1),
        found: LogOffset(2),
    };
    assert_eq!(ledger.apply(LogOffset(2), &abandon(1, 1)), Err(gap));
    assert_eq!(ledger, before);
    ledger.skip(LogOffset(1)).unwrap();
    assert_eq!(ledger.next_offset(), LogOffset(2));
    assert_eq!(ledger.holder(&key(1)), Some(attempt(1)));
}
