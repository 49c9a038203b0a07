//! Records of the control stream that stand there twice, the second copy seconds late.
//!
//! A log's driver makes an append again over a new connection when the first one has no answer. The
//! first one may be done all the same, seconds later and behind newer records.

mod support;

use havenstage_rollout::batch_index::{BatchIndex, BatchNotice};
use havenstage_rollout::control::{ControlRecord, ControlState};
use havenstage_rollout::ids::{BatchId, MachineName, ModelName};
use havenstage_rollout::lease::ClaimTiming;
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
