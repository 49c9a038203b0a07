//! Records of the control stream that stand there twice, the second copy seconds late.
//!
//! A log's driver makes an append again over a new connection when the first one has no answer. The
//! first one may be done all the same, seconds later and behind newer records.

mod support;

use havenstage_rollout::batch_index::{BatchIndex, BatchNotice, MISSING_ITEMS_TIMEOUT_MS};
use havenstage_rollout::checkpoint::ControlCheckpoint;
use havenstage_rollout::control::ControlState;
use havenstage_rollout::control_record::ControlRecord;
use havenstage_rollout::ids::{BatchId, MachineName, ModelName};
use havenstage_rollout::lease::ClaimTiming;
use havenstage_rollout::stored::Stored;
use support::{backend, item, node, submission};

fn ordered(version: u64) -> ControlRecord {
    ControlRecord::Ordered {
        holder: node("a", 1),
        backend: backend("x"),
        model: ModelName::from("m"),
        version,
    }
}

fn observed(version: u64) -> ControlRecord {
    ControlRecord::Observed {
        backend: backend("x"),
        model: ModelName::from("m"),
        version,
    }
}

/// Items are kept away from a back end while it carries out an order.
#[test]
fn a_late_copy_of_an_order_that_is_done_puts_none_under_way() {
    let mut state = ControlState::new(MachineName::from("b"));
    for (at, record) in [ordered(2), observed(2), ordered(2)]
        .into_iter()
        .enumerate()
    {
        state.apply(record, 1_000 * at as u64);
    }
    assert_eq!(state.pending(&backend("x")), None);
}

#[test]
fn a_late_copy_of_an_observation_ends_no_newer_order() {
    let mut state = ControlState::new(MachineName::from("b"));
    let records = [ordered(2), observed(2), ordered(3), observed(2)];
    for (at, record) in records.into_iter().enumerate() {
        state.apply(record, 1_000 * at as u64);
    }
    assert!(state.pending(&backend("x")).is_some());
}

#[test]
fn a_late_copy_of_an_observation_takes_no_version_back() {
    let mut state = ControlState::new(MachineName::from("b"));
    let records = [
        ordered(2),
        observed(2),
        ordered(3),
        observed(3),
        observed(2),
    ];
    for (at, record) in records.into_iter().enumerate() {
        state.apply(record, 1_000 * at as u64);
    }
    let last = state.take_observed().pop().unwrap();
    assert_eq!(last.version, 3);
}

/// A batch that is open again after a while is claimed by one node after the other, not by all at once:
/// each reads the batch's whole partition.
#[test]
fn a_late_copy_of_a_notice_is_not_claimed_by_all_nodes_at_once() {
    let timing = |spread_ms| ClaimTiming {
        silence_ms: 1_300,
        spread_ms,
    };
    let id = BatchId::from("batch");
    let notice = BatchNotice::of(
        &submission("batch", vec![item("one", "g", 10)]),
        Some(node("a", 1)),
    );
    let mut index = BatchIndex::default();
    index.accepted(notice.clone(), 1_000);
    index.closed(&id, 5_000);
    index.accepted(notice, 9_000);
    let owner = &index.batch(&id).unwrap().owner;
    let claims = [10, 200, 400].map(|spread| owner.claimable_at(&node("b", 1), 0, &timing(spread)));
    assert!(claims[2] > 9_000, "all may claim at once: {claims:?}");
}

/// A node's own run may have shown a newer version meanwhile, which must not be taken back.
#[test]
fn a_late_copy_of_the_newest_observation_is_not_told_again() {
    let mut state = ControlState::new(MachineName::from("b"));
    for (at, record) in [ordered(2), observed(2), observed(2)]
        .into_iter()
        .enumerate()
    {
        state.apply(record, 1_000 * at as u64);
    }
    assert_eq!(state.take_observed().len(), 1);
}

#[test]
fn a_late_copy_of_an_order_takes_no_newer_one_back() {
    let mut state = ControlState::new(MachineName::from("b"));
    let withdrawn = ControlRecord::Withdrawn {
        backend: backend("x"),
    };
    let records = [ordered(2), withdrawn, ordered(3), ordered(2)];
    for (at, record) in records.into_iter().enumerate() {
        state.apply(record, 1_000 * at as u64);
    }
    assert_eq!(state.pending(&backend("x")).unwrap().version, 3);
}

/// An order that its back end did not take: what it has is nothing new, so the order is withdrawn.
#[test]
fn an_order_that_was_not_taken_is_withdrawn_and_given_again() {
    let mut state = ControlState::new(MachineName::from("b"));
    let withdrawn = ControlRecord::Withdrawn {
        backend: backend("x"),
    };
    for record in [ordered(2), observed(2), ordered(3), observed(2), withdrawn] {
        state.apply(record, 1_000);
    }
    assert_eq!(state.pending(&backend("x")), None);
    state.apply(ordered(3), 2_000);
    assert_eq!(state.pending(&backend("x")).unwrap().version, 3);
    state.apply(observed(3), 3_000);
    assert_eq!(state.pending(&backend("x")), None);
}

/// An engine that starts again has a new id and may have an older version.
#[test]
fn what_a_former_life_of_an_engine_had_says_nothing_of_the_next() {
    let mut state = ControlState::new(MachineName::from("b"));
    for record in [ordered(3), observed(3)] {
        state.apply(record, 1_000);
    }
    let next_life = backend("x again");
    state.apply(
        ControlRecord::Ordered {
            holder: node("a", 1),
            backend: next_life.clone(),
            model: ModelName::from("m"),
            version: 2,
        },
        2_000,
    );
    assert_eq!(state.pending(&next_life).unwrap().version, 2);
    state.apply(
        ControlRecord::Observed {
            backend: next_life.clone(),
            model: ModelName::from("m"),
            version: 1,
        },
        3_000,
    );
    assert_eq!(state.pending(&next_life), None);
    assert_eq!(state.take_observed().last().unwrap().version, 1);
}

/// A node that starts between a record and its late copy.
#[test]
fn a_checkpoint_tells_which_late_copies_change_nothing() {
    let mut writer = ControlState::new(MachineName::from("a"));
    let id = BatchId::from("batch");
    let notice = BatchNotice::of(&submission("batch", vec![item("one", "g", 10)]), None);
    let serves = ControlRecord::Heartbeat {
        node: node("a", 1),
        routes: Vec::new(),
        batches: vec![id.clone()],
    };
    let closed = ControlRecord::BatchClosed { batch: id.clone() };
    let accepted = ControlRecord::BatchAccepted(notice);
    for record in [ordered(3), observed(3), accepted.clone(), serves, closed] {
        writer.apply(record, 1_000);
    }
    let read = ControlCheckpoint::decode(&writer.checkpoint(5).encode()).unwrap();
    let mut state = ControlState::restored(MachineName::from("b"), read, 2_000);
    for record in [ordered(3), observed(2), accepted] {
        state.apply(record, 3_000);
    }
    assert_eq!(state.pending(&backend("x")), None);
    assert!(state.take_observed().is_empty());
    assert!(!state.index().batch(&id).unwrap().is_open());
}

/// An index with a batch that was noticed at 1 s and closed at 5 s.
fn index_with_closed_batch(was_found: bool) -> (BatchIndex, BatchNotice) {
    let notice = BatchNotice::of(
        &submission("batch", vec![item("one", "g", 10)]),
        Some(node("a", 1)),
    );
    let id = notice.batch.clone();
    let mut index = BatchIndex::default();
    index.accepted(notice.clone(), 1_000);
    if was_found {
        index.held(&node("a", 1), std::slice::from_ref(&id), 2_000);
    }
    index.closed(&id, 5_000);
    (index, notice)
}

/// Its owner said that it runs the batch, so the batch was closed because it was done.
#[test]
fn a_late_copy_of_a_notice_opens_no_batch_that_is_done() {
    let (mut index, notice) = index_with_closed_batch(true);
    index.accepted(notice.clone(), 9_000);
    assert!(!index.batch(&notice.batch).unwrap().is_open());
}

/// Nobody said so: it may have been closed because its items never came.
#[test]
fn a_batch_that_nobody_found_is_open_again() {
    let (mut index, notice) = index_with_closed_batch(false);
    index.accepted(notice.clone(), 9_000);
    let batch = index.batch(&notice.batch).unwrap();
    assert!(batch.is_open());
    assert_eq!(batch.owner.last_seen(), 9_000);
}

/// The log no longer has its items, so that it was taken for one that never came, and it is handed in again.
#[test]
fn a_batch_that_is_handed_in_again_after_its_items_were_dropped_is_open_again() {
    let (mut index, notice) = index_with_closed_batch(true);
    let at = 1_000 + MISSING_ITEMS_TIMEOUT_MS + 1;
    index.accepted(notice.clone(), at);
    let batch = index.batch(&notice.batch).unwrap();
    assert!(batch.is_open());
    assert_eq!(batch.owner.last_seen(), at);
}
