//! Records that are in the control stream twice, the second time with a delay of seconds.
//!
//! The log client retries an append over a new connection when the first attempt has no answer. The log may
//! still carry out the first attempt, seconds later and behind newer records.

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

/// A back end with a pending order gets no items, so an order that is done must not become pending again.
#[test]
fn a_delayed_duplicate_of_a_completed_order_does_not_become_pending() {
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
fn a_delayed_duplicate_of_an_observation_does_not_complete_a_newer_order() {
    let mut state = ControlState::new(MachineName::from("b"));
    let records = [ordered(2), observed(2), ordered(3), observed(2)];
    for (at, record) in records.into_iter().enumerate() {
        state.apply(record, 1_000 * at as u64);
    }
    assert!(state.pending(&backend("x")).is_some());
}

#[test]
fn a_delayed_duplicate_of_an_observation_does_not_lower_the_version() {
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

/// The nodes must spread their claims of a reopened batch, since each claim reads the batch's whole partition.
#[test]
fn a_reopened_batch_is_not_claimed_by_all_nodes_at_once() {
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
    index.add(notice.clone(), 1_000);
    index.close(&id, 5_000);
    index.add(notice, 9_000);
    let owner = &index.batch(&id).unwrap().owner;
    let claims = [10, 200, 400].map(|spread| owner.claimable_at(&node("b", 1), 0, &timing(spread)));
    assert!(claims[2] > 9_000, "all may claim at once: {claims:?}");
}

/// A run of this node may have observed a newer version in the meantime, which must not be replaced by an older
/// one.
#[test]
fn a_delayed_duplicate_of_the_newest_observation_is_not_returned_again() {
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
fn a_delayed_duplicate_of_an_order_does_not_replace_a_newer_order() {
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

/// A back end that did not carry out its order still has the old version. Observing that version does not complete
/// the order, so the holder withdraws it.
#[test]
fn an_order_that_was_not_carried_out_is_withdrawn_and_given_again() {
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

/// An engine that restarts has a new id and may serve an older version.
#[test]
fn the_version_of_an_earlier_incarnation_does_not_apply_to_the_next() {
    let mut state = ControlState::new(MachineName::from("b"));
    for record in [ordered(3), observed(3)] {
        state.apply(record, 1_000);
    }
    let next_incarnation = backend("x again");
    state.apply(
        ControlRecord::Ordered {
            holder: node("a", 1),
            backend: next_incarnation.clone(),
            model: ModelName::from("m"),
            version: 2,
        },
        2_000,
    );
    assert_eq!(state.pending(&next_incarnation).unwrap().version, 2);
    state.apply(
        ControlRecord::Observed {
            backend: next_incarnation.clone(),
            model: ModelName::from("m"),
            version: 1,
        },
        3_000,
    );
    assert_eq!(state.pending(&next_incarnation), None);
    assert_eq!(state.take_observed().last().unwrap().version, 1);
}

/// A node that starts between a record and its delayed duplicate must recognize the duplicate by the checkpoint.
#[test]
fn delayed_duplicates_are_ignored_after_a_restore_from_a_checkpoint() {
    let mut writer = ControlState::new(MachineName::from("a"));
    let id = BatchId::from("batch");
    let notice = BatchNotice::of(&submission("batch", vec![item("one", "g", 10)]), None);
    let heartbeat = ControlRecord::Heartbeat {
        node: node("a", 1),
        routes: Vec::new(),
        batches: vec![id.clone()],
    };
    let closed = ControlRecord::BatchClosed { batch: id.clone() };
    let accepted = ControlRecord::BatchAccepted(notice);
    for record in [ordered(3), observed(3), accepted.clone(), heartbeat, closed] {
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

/// An index with a batch that was accepted at 1 s and closed at 5 s.
fn index_with_closed_batch(was_found: bool) -> (BatchIndex, BatchNotice) {
    let notice = BatchNotice::of(
        &submission("batch", vec![item("one", "g", 10)]),
        Some(node("a", 1)),
    );
    let id = notice.batch.clone();
    let mut index = BatchIndex::default();
    index.add(notice.clone(), 1_000);
    if was_found {
        index.record_heartbeat(&node("a", 1), std::slice::from_ref(&id), 2_000);
    }
    index.close(&id, 5_000);
    (index, notice)
}

/// The owner has reported that it runs the batch, so the batch was closed because it was completed.
#[test]
fn a_delayed_duplicate_of_a_notice_does_not_reopen_a_completed_batch() {
    let (mut index, notice) = index_with_closed_batch(true);
    index.add(notice.clone(), 9_000);
    assert!(!index.batch(&notice.batch).unwrap().is_open());
}

/// No node has reported that it runs the batch, so it may have been closed because its items were missing.
#[test]
fn a_second_notice_reopens_a_batch_that_no_node_found() {
    let (mut index, notice) = index_with_closed_batch(false);
    index.add(notice.clone(), 9_000);
    let batch = index.batch(&notice.batch).unwrap();
    assert!(batch.is_open());
    assert_eq!(batch.owner.last_seen(), 9_000);
}

/// The log has dropped the items of the batch, so the batch was closed because its items were missing. Then the
/// client submits it again.
#[test]
fn a_batch_that_is_resubmitted_after_the_log_dropped_its_items_is_reopened() {
    let (mut index, notice) = index_with_closed_batch(true);
    let at = 1_000 + MISSING_ITEMS_TIMEOUT_MS + 1;
    index.add(notice.clone(), at);
    let batch = index.batch(&notice.batch).unwrap();
    assert!(batch.is_open());
    assert_eq!(batch.owner.last_seen(), at);
}
