//! Keys and answers of a claim stream are forgotten after a number of further records.

mod support;

use havenstage_ledger::claims::{ClaimLedger, ClaimLedgerSettings, InvalidClaimLedgerSettings};
use havenstage_types::claim::{ClaimOutcome, ClaimVerdict};
use havenstage_types::ids::LogOffset;
use havenstage_types::refusal::Execution;
use support::{FINGERPRINT, abandon, answer, attempt, claim, key, outcome};

const SETTINGS: ClaimLedgerSettings = ClaimLedgerSettings {
    retention_records: 10,
    answer_retention_records: 4,
};

fn skip_until(ledger: &mut ClaimLedger, next: u64) {
    for offset in ledger.next_offset().0..next {
        ledger.skip(LogOffset(offset)).unwrap();
    }
}

fn verdict(ledger: &ClaimLedger) -> Option<ClaimVerdict> {
    ledger.verdict(&key(1), attempt(2), FINGERPRINT)
}

#[test]
fn held_key_is_remembered_for_the_whole_retention() {
    let mut ledger = ClaimLedger::new(SETTINGS).unwrap();
    ledger.apply(LogOffset(0), &claim(1, 1)).unwrap();
    skip_until(&mut ledger, 10);
    assert_eq!(verdict(&ledger), Some(ClaimVerdict::HeldBy(attempt(1))));
    skip_until(&mut ledger, 11);
    assert_eq!(verdict(&ledger), None);
    assert_eq!(ledger.key_count(), 0);
}

#[test]
fn outcome_renews_retention_and_its_text_is_forgotten_first() {
    let mut ledger = ClaimLedger::new(SETTINGS).unwrap();
    ledger.apply(LogOffset(0), &claim(1, 1)).unwrap();
    skip_until(&mut ledger, 5);
    ledger
        .apply(LogOffset(5), &outcome(1, 1, answer("text")))
        .unwrap();
    skip_until(&mut ledger, 9);
    assert_eq!(verdict(&ledger), Some(ClaimVerdict::Done(answer("text"))));
    skip_until(&mut ledger, 15);
    let Some(ClaimVerdict::Done(ClaimOutcome::Failed(refusal))) = verdict(&ledger) else {
        panic!("the key must be done: {:?}", verdict(&ledger));
    };
    assert_eq!(refusal.execution, Execution::Ran);
    skip_until(&mut ledger, 16);
    assert_eq!(verdict(&ledger), None);
}

#[test]
fn delayed_duplicate_renews_the_retention_of_an_abandoned_attempt() {
    let mut ledger = ClaimLedger::new(SETTINGS).unwrap();
    ledger.apply(LogOffset(0), &abandon(1, 1)).unwrap();
    skip_until(&mut ledger, 8);
    ledger.apply(LogOffset(8), &claim(1, 1)).unwrap();
    skip_until(&mut ledger, 15);
    ledger.apply(LogOffset(15), &claim(1, 1)).unwrap();
    assert_eq!(ledger.holder(&key(1)), None);
}

#[test]
fn settings_out_of_range_are_rejected() {
    let none = ClaimLedgerSettings {
        retention_records: 0,
        answer_retention_records: 0,
    };
    let too_long = ClaimLedgerSettings {
        answer_retention_records: 11,
        ..SETTINGS
    };
    assert_eq!(
        none.validate(),
        Err(InvalidClaimLedgerSettings::NoRetention)
    );
    assert_eq!(
        too_long.validate(),
        Err(InvalidClaimLedgerSettings::AnswerOutlivesKey)
    );
}
