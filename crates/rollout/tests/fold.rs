//! The fold of a partition: what counts of repeated, late and competing records.

mod support;

use havenstage_rollout::fold::{FoldOutcome, PartitionState};
use havenstage_rollout::ids::{BatchId, ItemId};
use havenstage_rollout::record::{BatchRecord, GiveUpReason, Outcome};
use proptest::prelude::*;
use support::{finished, item, node, progress, submitted};

fn state_with_item() -> PartitionState {
    let mut state = PartitionState::default();
    let record = submitted("batch", vec![item("item", "group", 10)], Some(node("a", 1)));
    assert_eq!(state.apply(record, 0), FoldOutcome::Applied);
    state
}

fn texts(state: &PartitionState) -> Vec<String> {
    let batch = state.batch(&BatchId::from("batch")).unwrap();
    let item = batch.item(&ItemId::from("item")).unwrap();
    let events = item
        .result
        .as_ref()
        .map_or(&item.events, |result| &result.events);
    events
        .iter()
        .map(|event| String::from_utf8(event.data.to_vec()).unwrap())
        .collect()
}

#[test]
fn a_batch_is_taken_once() {
    let mut state = state_with_item();
    let again = submitted("batch", vec![item("other", "group", 10)], None);
    assert_eq!(state.apply(again, 5), FoldOutcome::Ignored);
    let batch = state.batch(&BatchId::from("batch")).unwrap();
    assert_eq!(batch.items.len(), 1);
    assert!(batch.lease.is_held_by(&node("a", 1)));
}

#[test]
fn progress_that_was_appended_twice_counts_once() {
    let mut state = state_with_item();
    let record = progress(1, 0, 0, &["one", "two"]);
    assert_eq!(state.apply(record.clone(), 1), FoldOutcome::Applied);
    assert_eq!(state.apply(record, 2), FoldOutcome::Ignored);
    assert_eq!(texts(&state), ["one", "two"]);
}

/// An owner that was replaced wakes and writes down what it made: nothing of it may be joined to
/// what the new owner's run made.
#[test]
fn outputs_of_two_runs_are_never_joined() {
    let mut state = state_with_item();
    state.apply(progress(1, 0, 0, &["one"]), 1);
    state.apply(progress(2, 1, 1, &["two of the second"]), 2);
    assert_eq!(
        state.apply(progress(1, 0, 1, &["two of the first"]), 3),
        FoldOutcome::Ignored
    );
    assert_eq!(
        state.apply(progress(1, 0, 2, &["three of the first"]), 4),
        FoldOutcome::Ignored
    );
    assert_eq!(texts(&state), ["one", "two of the second"]);
}

/// The first run's late record fits by its count alone; it was not asked to go on from there.
#[test]
fn a_run_may_only_go_on_from_where_it_was_resumed() {
    let mut state = state_with_item();
    state.apply(progress(1, 0, 0, &["one", "two"]), 1);
    state.apply(progress(2, 2, 2, &["three of the second"]), 2);
    assert_eq!(
        state.apply(progress(3, 1, 3, &["four of a third"]), 3),
        FoldOutcome::Ignored
    );
    assert_eq!(texts(&state), ["one", "two", "three of the second"]);
}

#[test]
fn an_end_counts_only_for_the_output_that_stands_there() {
    let mut state = state_with_item();
    state.apply(progress(1, 0, 0, &["one"]), 1);
    assert_eq!(state.apply(finished(1, 0, 2), 2), FoldOutcome::Ignored);
    assert_eq!(state.apply(finished(2, 0, 1), 3), FoldOutcome::Ignored);
    assert_eq!(state.apply(finished(1, 0, 1), 4), FoldOutcome::Applied);
    assert_eq!(state.apply(finished(1, 0, 1), 5), FoldOutcome::Ignored);
    let batch = state.batch(&BatchId::from("batch")).unwrap();
    assert_eq!(batch.listed, [0]);
}

#[test]
fn a_run_that_found_nothing_more_may_end_the_output() {
    let mut state = state_with_item();
    state.apply(progress(1, 0, 0, &["one"]), 1);
    assert_eq!(state.apply(finished(2, 1, 1), 2), FoldOutcome::Applied);
}

#[test]
fn a_listed_result_does_not_change() {
    let mut state = state_with_item();
    state.apply(progress(1, 0, 0, &["one"]), 1);
    state.apply(finished(1, 0, 1), 2);
    let before = texts(&state);
    state.apply(progress(1, 0, 1, &["two"]), 3);
    let given_up = BatchRecord::Finished {
        batch: BatchId::from("batch"),
        item: ItemId::from("item"),
        run: havenstage_rollout::ids::RunId(9),
        resumed_from: 0,
        events: 0,
        outcome: Outcome::GivenUp(GiveUpReason::TooLate),
    };
    assert_eq!(state.apply(given_up, 4), FoldOutcome::Ignored);
    assert_eq!(texts(&state), before);
}

#[test]
fn an_ended_batch_keeps_what_is_listed_and_drops_bodies() {
    let mut state = state_with_item();
    let ended = BatchRecord::Ended {
        batch: BatchId::from("batch"),
    };
    assert_eq!(state.apply(ended.clone(), 1), FoldOutcome::Applied);
    assert_eq!(state.apply(ended, 2), FoldOutcome::Ignored);
    let batch = state.batch(&BatchId::from("batch")).unwrap();
    assert!(batch.is_closed());
    assert!(batch.item(&ItemId::from("item")).unwrap().spec.is_none());
}

/// Two owners that each append every record up to twice, in their own order, interleaved at will.
fn two_owners() -> impl Strategy<Value = Vec<BatchRecord>> {
    let first = vec![
        progress(1, 0, 0, &["a1", "a2"]),
        progress(1, 0, 2, &["a3"]),
        progress(1, 0, 3, &["a4"]),
        finished(1, 0, 4),
    ];
    let second = vec![
        progress(2, 2, 2, &["b3"]),
        progress(2, 2, 3, &["b4", "b5"]),
        finished(2, 2, 5),
    ];
    proptest::collection::vec((any::<bool>(), any::<bool>()), 24).prop_map(move |choices| {
        let (mut at_first, mut at_second) = (0, 0);
        let mut records = Vec::new();
        for (is_first, is_repeated) in choices {
            let (list, at) = match is_first {
                true => (&first, &mut at_first),
                false => (&second, &mut at_second),
            };
            if let Some(record) = list.get(*at) {
                records.push(record.clone());
                *at += usize::from(!is_repeated);
            }
        }
        records
    })
}

proptest! {
    #[test]
    fn any_interleaving_gives_the_output_of_one_lineage(records in two_owners()) {
        let mut state = state_with_item();
        let mut longest: Vec<String> = Vec::new();
        for (now, record) in records.into_iter().enumerate() {
            state.apply(record, now as u64);
            let texts = texts(&state);
            prop_assert!(texts.starts_with(&longest), "{longest:?} became {texts:?}");
            longest = texts;
        }
        let whole = ["a1 a2 a3 a4", "a1 a2 b3 b4 b5"];
        let made = longest.join(" ");
        prop_assert!(whole.iter().any(|whole| whole.starts_with(&made)), "{made}");
        let batch = state.batch(&BatchId::from("batch")).unwrap();
        if !batch.listed.is_empty() {
            prop_assert!(whole.contains(&made.as_str()), "{made} is listed");
        }
    }
}

#[test]
fn dropped_output_is_begun_anew_and_a_late_copy_drops_nothing() {
    let mut state = state_with_item();
    state.apply(progress(1, 0, 0, &["old"]), 1);
    let restarted = BatchRecord::Restarted {
        batch: BatchId::from("batch"),
        item: ItemId::from("item"),
        run: havenstage_rollout::ids::RunId(1),
        events: 1,
    };
    assert_eq!(state.apply(restarted.clone(), 2), FoldOutcome::Applied);
    assert_eq!(
        state.apply(progress(1, 0, 1, &["late"]), 3),
        FoldOutcome::Ignored
    );
    state.apply(progress(2, 0, 0, &["new"]), 4);
    assert_eq!(state.apply(restarted, 5), FoldOutcome::Ignored);
    assert_eq!(texts(&state), ["new"]);
}

/// An item whose result must come from one version was begun anew because that version was gone. The copy of
/// its first record of output came seconds late and put the dropped output back, so that the output of the
/// run that had begun anew did not count.
#[test]
fn a_late_copy_of_dropped_output_puts_nothing_back() {
    let mut state = state_with_item();
    let first = progress(1, 0, 0, &["old"]);
    state.apply(first.clone(), 1);
    let restarted = BatchRecord::Restarted {
        batch: BatchId::from("batch"),
        item: ItemId::from("item"),
        run: havenstage_rollout::ids::RunId(1),
        events: 1,
    };
    state.apply(restarted, 2);
    assert_eq!(state.apply(first, 3), FoldOutcome::Ignored);
    state.apply(progress(2, 0, 0, &["new"]), 4);
    assert_eq!(texts(&state), ["new"]);
}

/// Positions are promised until a time after a batch was handed in, and as long as it is open.
#[test]
fn only_closed_batches_are_forgotten() {
    let mut state = state_with_item();
    state.forget_before(1_000);
    assert!(state.batch(&BatchId::from("batch")).is_some(), "it is open");
    let batch = BatchId::from("batch");
    state.apply(BatchRecord::Ended { batch }, 2_000);
    state.forget_before(0);
    assert!(
        state.batch(&BatchId::from("batch")).is_some(),
        "its retention is not over"
    );
    state.forget_before(3_000);
    assert!(state.batch(&BatchId::from("batch")).is_none());
}

/// A batch whose records were missed may lie in the log for as long as batches are promised: the gap counts
/// until then, also when nothing is kept of the partition.
#[test]
fn a_gap_counts_until_batches_handed_in_before_it_are_past_their_retention() {
    let mut state = state_with_item();
    assert!(!state.has_missed_records());
    state.drop_incomplete_batches(1_000);
    assert!(state.batch(&BatchId::from("batch")).is_none());
    assert!(state.has_missed_records());
    state.forget_before(1_000);
    assert!(state.has_missed_records(), "its retention is not over");
    assert!(!state.is_older_than(1_000), "it may not be forgotten yet");
    assert!(state.is_older_than(1_001));
    state.forget_before(1_001);
    assert!(!state.has_missed_records());
}

#[test]
fn a_batch_handed_in_after_a_gap_is_kept() {
    let mut state = state_with_item();
    state.drop_incomplete_batches(1_000);
    let record = submitted("later", vec![item("item", "group", 10)], None);
    assert_eq!(state.apply(record, 1_001), FoldOutcome::Applied);
    assert!(state.batch(&BatchId::from("later")).is_some());
}
