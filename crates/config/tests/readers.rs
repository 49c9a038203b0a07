//! Readers that receive the stream with duplicates, from a snapshot or in full reach the same
//! state, and delayed duplicates or snapshot records do not revert it.

mod common;
#[path = "common/stream.rs"]
mod stream;

use common::fixed_cases;
use havenstage_config::{ConfigState, FoldError};
use havenstage_types::config::{ConfigRecord, ConfigSnapshot};
use havenstage_types::ids::LogOffset;
use proptest::prelude::*;
use stream::{deliver, fold, streams};

const STREAM_LENGTH_LIMIT: usize = 60;

proptest! {
    #![proptest_config(fixed_cases(256, 1))]

    #[test]
    fn duplicated_deliveries_lead_to_the_same_state(
        stream in streams(STREAM_LENGTH_LIMIT),
        batches in prop::collection::vec((0..20usize, 1..10usize), 1..40),
    ) {
        let mut reader = ConfigState::default();
        for (back, forward) in batches {
            let next = reader.next_offset().0 as usize;
            let end = (next + forward).min(stream.len());
            (next.saturating_sub(back)..end).for_each(|offset| deliver(&mut reader, &stream, offset));
        }
        let reached = reader.next_offset().0 as usize;
        prop_assert_eq!(reader, fold(&stream, reached));
    }

    #[test]
    fn delayed_duplicates_revert_nothing(stream in streams(STREAM_LENGTH_LIMIT), late in 0..STREAM_LENGTH_LIMIT) {
        let full = fold(&stream, stream.len());
        let mut reader = full.clone();
        deliver(&mut reader, &stream, late % stream.len());
        prop_assert_eq!(reader, full);
    }

    #[test]
    fn snapshot_and_tail_equal_the_full_fold(
        stream in streams(STREAM_LENGTH_LIMIT),
        cut in 0..STREAM_LENGTH_LIMIT,
    ) {
        let cut = cut % stream.len();
        let bytes = postcard::to_stdvec(&fold(&stream, cut).snapshot()).expect("encodes");
        let snapshot: ConfigSnapshot = postcard::from_bytes(&bytes).expect("decodes");
        let mut reader = ConfigState::from_snapshot(snapshot);
        (cut..stream.len()).for_each(|offset| deliver(&mut reader, &stream, offset));
        prop_assert_eq!(reader, fold(&stream, stream.len()));
    }

    #[test]
    fn snapshots_in_the_stream_equal_the_fold_of_the_records_below(
        stream in streams(STREAM_LENGTH_LIMIT),
    ) {
        for entry in &stream {
            let Some(ConfigRecord::Snapshot(snapshot)) = entry else { continue };
            let through = snapshot.through.0 as usize;
            prop_assert_eq!(ConfigState::from_snapshot(snapshot.clone()), fold(&stream, through));
        }
    }
}

#[test]
fn a_snapshot_record_reverts_nothing() {
    let mut state = common::state_with_pool("pool");
    let before = state.clone();
    let events = common::append(
        &mut state,
        ConfigRecord::Snapshot(ConfigSnapshot::default()),
    );
    assert_eq!(events, []);
    assert_eq!(state.next_offset(), LogOffset(2));
    assert_eq!(state.snapshot().resources, before.snapshot().resources);
}

#[test]
fn a_gap_is_rejected_and_changes_nothing() {
    let mut state = common::state_with_pool("pool");
    let before = state.clone();
    let gap = FoldError::Gap {
        expected: LogOffset(1),
        found: LogOffset(2),
    };
    let refused = state.apply(LogOffset(2), &common::members(1, 1));
    assert_eq!(refused, Err(gap.clone()));
    assert_eq!(state.skip(LogOffset(2)), Err(gap));
    assert_eq!(state, before);
}
