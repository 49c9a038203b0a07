//! Claim streams with replica groups: what a fold takes from batches, and what it says of a loss.

mod support;

use havenstage_ledger::FoldError;
use havenstage_ledger::claims::ClaimLedger;
use havenstage_types::claim::{Claim, ClaimCommand, ClaimRecord, ClaimVerdict};
use havenstage_types::ids::{EntryIndex, LogOffset, NodeId, RequestId, Term, Zone};
use havenstage_types::replica::{EntryPayload, GroupMember, SequencedEntry};
use support::{FINGERPRINT, attempt, claim, failed, key};

type Entry = SequencedEntry<ClaimCommand>;

fn members(first: u64) -> Vec<GroupMember> {
    let members = (first..first + 3).map(|id| GroupMember {
        id: NodeId(id),
        zone: Zone::new("zone"),
        peer_address: ([127, 0, 0, 1], 1).into(),
    });
    members.collect()
}

fn formed(previous: Option<u64>, vouched_by: Option<u64>) -> ClaimRecord {
    ClaimRecord::GroupFormed {
        previous: previous.map(LogOffset),
        members: members(10),
        vouched_by: vouched_by.map(NodeId),
    }
}

fn doubted(generation: u64) -> ClaimRecord {
    ClaimRecord::GroupDoubted {
        generation: LogOffset(generation),
    }
}

fn entry(payload: EntryPayload<ClaimCommand>) -> Entry {
    let term = Term(1);
    SequencedEntry { term, payload }
}

fn claim_entry(name: u64, sequence: u64) -> Entry {
    entry(EntryPayload::Command(ClaimCommand::Claim(Claim {
        key: key(name),
        attempt: attempt(sequence),
        request: RequestId::new("request"),
        fingerprint: FINGERPRINT,
    })))
}

fn outcome_entry(name: u64, sequence: u64) -> Entry {
    entry(EntryPayload::Command(ClaimCommand::Outcome {
        key: key(name),
        attempt: attempt(sequence),
        outcome: failed(),
    }))
}

fn batch(generation: u64, first_index: u64, entries: Vec<Entry>) -> ClaimRecord {
    ClaimRecord::Batch {
        generation: LogOffset(generation),
        first_index: EntryIndex(first_index),
        entries,
    }
}

fn folded(records: &[ClaimRecord]) -> ClaimLedger {
    let mut ledger = ClaimLedger::default();
    for (offset, record) in (0..).map(LogOffset).zip(records) {
        ledger.apply(offset, record).unwrap();
    }
    ledger
}

fn holder(ledger: &ClaimLedger, name: u64) -> Option<u64> {
    ledger.holder(&key(name)).map(|holder| holder.sequence)
}

#[test]
fn entries_count_once_and_in_order_however_they_are_batched() {
    let ledger = folded(&[
        formed(None, None),
        batch(0, 1, vec![claim_entry(1, 1)]),
        batch(0, 3, vec![claim_entry(2, 3)]),
        batch(0, 1, vec![claim_entry(1, 1), claim_entry(2, 2)]),
        batch(0, 2, vec![claim_entry(2, 2), claim_entry(3, 3)]),
    ]);
    let held = [1, 2, 3].map(|name| holder(&ledger, name));
    assert_eq!(held, [Some(1), Some(2), Some(3)]);
    assert_eq!(ledger.group().unwrap().logged, EntryIndex(3));
}

#[test]
fn once_a_group_is_in_force_claims_count_only_through_it() {
    let ledger = folded(&[claim(1, 1), formed(None, None), claim(2, 2)]);
    assert_eq!(holder(&ledger, 1), Some(1));
    assert_eq!(holder(&ledger, 2), None);
}

#[test]
fn batches_of_a_replaced_group_are_ignored() {
    let ledger = folded(&[
        formed(None, None),
        doubted(0),
        formed(Some(0), Some(10)),
        batch(0, 1, vec![claim_entry(1, 1)]),
        batch(2, 1, vec![claim_entry(1, 2)]),
    ]);
    assert_eq!(holder(&ledger, 1), Some(2));
    assert_eq!(ledger.open_loss(), None);
}

#[test]
fn a_group_that_answers_a_doubt_is_not_replaced() {
    let undoubted = folded(&[formed(None, None), formed(Some(0), None)]);
    assert_eq!(undoubted.group().unwrap().generation, LogOffset(0));
    let answered = folded(&[
        formed(None, None),
        doubted(0),
        batch(0, 1, vec![entry(EntryPayload::StillInForce)]),
        formed(Some(0), None),
    ]);
    assert_eq!(answered.group().unwrap().generation, LogOffset(0));
    assert_eq!(answered.open_loss(), None);
}

#[test]
fn of_two_records_that_replace_the_same_group_the_first_counts() {
    let ledger = folded(&[
        formed(None, None),
        formed(None, None),
        formed(Some(1), None),
    ]);
    assert_eq!(ledger.group().unwrap().generation, LogOffset(0));
    assert_eq!(ledger.open_loss(), None);
}

#[test]
fn a_sealed_group_hands_over_completely() {
    let seal = entry(EntryPayload::Seal {
        successor: members(20),
    });
    let ledger = folded(&[
        formed(None, None),
        batch(0, 1, vec![claim_entry(1, 1), seal, claim_entry(2, 2)]),
        batch(1, 1, vec![claim_entry(2, 3)]),
    ]);
    let group = ledger.group().unwrap();
    assert_eq!(
        (group.generation, group.members[0].id),
        (LogOffset(1), NodeId(20))
    );
    assert_eq!(holder(&ledger, 2), Some(3));
    assert_eq!(ledger.open_loss(), None);
}

#[test]
fn after_a_loss_free_keys_are_unknown_until_it_is_settled() {
    let settled = entry(EntryPayload::LossSettled {
        generation: LogOffset(3),
    });
    let mut ledger = folded(&[
        formed(None, None),
        batch(0, 1, vec![claim_entry(1, 1)]),
        doubted(0),
        formed(Some(0), None),
    ]);
    let verdict = |ledger: &ClaimLedger, name, sequence| {
        ledger.verdict(&key(name), attempt(sequence), FINGERPRINT)
    };
    assert_eq!(
        verdict(&ledger, 1, 5),
        Some(ClaimVerdict::HeldBy(attempt(1)))
    );
    assert_eq!(verdict(&ledger, 2, 5), Some(ClaimVerdict::Unknown));
    let during = batch(3, 1, vec![claim_entry(2, 5), outcome_entry(3, 6)]);
    ledger.apply(LogOffset(4), &during).unwrap();
    assert_eq!(holder(&ledger, 2), None);
    assert_eq!(verdict(&ledger, 3, 7), Some(ClaimVerdict::Done(failed())));
    let after = batch(3, 3, vec![settled, claim_entry(2, 8)]);
    ledger.apply(LogOffset(5), &after).unwrap();
    assert_eq!(verdict(&ledger, 2, 8), Some(ClaimVerdict::Granted));
}

#[test]
fn a_member_ahead_of_the_log_reaches_the_same_state_as_a_reader() {
    let entries = vec![claim_entry(1, 1), claim_entry(1, 2), outcome_entry(1, 1)];
    let mut ahead = folded(&[formed(None, None)]);
    for (index, entry) in (1..).map(EntryIndex).zip(&entries) {
        assert!(ahead.apply_entry(LogOffset(0), index, entry));
        assert!(!ahead.apply_entry(LogOffset(0), index, entry));
    }
    let record = batch(0, 1, entries);
    ahead.apply(LogOffset(1), &record).unwrap();
    assert_eq!(ahead, folded(&[formed(None, None), record]));
}

#[test]
fn a_member_ahead_of_the_log_cannot_go_on_after_a_loss() {
    let mut ahead = folded(&[formed(None, None)]);
    ahead.apply_entry(LogOffset(0), EntryIndex(1), &claim_entry(1, 1));
    ahead.apply(LogOffset(1), &doubted(0)).unwrap();
    let replaced = ahead.apply(LogOffset(2), &formed(Some(0), None));
    let expected = FoldError::AheadOfLog {
        generation: LogOffset(0),
        logged: EntryIndex(0),
    };
    assert_eq!(replaced, Err(expected));
}
