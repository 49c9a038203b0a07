//! The fold over a partition: which of duplicate, delayed and competing records it applies.

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

fn output_texts(state: &PartitionState) -> Vec<String> {
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
fn a_second_submission_of_a_batch_is_ignored() {
    let mut state = state_with_item();
    let second = submitted("batch", vec![item("other", "group", 10)], None);
    assert_eq!(state.apply(second, 5), FoldOutcome::Ignored);
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
    assert_eq!(output_texts(&state), ["one", "two"]);
}

/// Guards against mixed output: an owner that was replaced resumes and appends output of its own run. None of it
/// may be joined to the output of the new owner's run.
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
    assert_eq!(output_texts(&state), ["one", "two of the second"]);
}

/// The record of the third run starts at the current number of events, but the run resumed from fewer events, so
/// its output does not continue the stored output.
#[test]
fn a_run_may_only_continue_from_the_position_it_resumed_from() {
    let mut state = state_with_item();
    state.apply(progress(1, 0, 0, &["one", "two"]), 1);
    state.apply(progress(2, 2, 2, &["three of the second"]), 2);
    assert_eq!(
        state.apply(progress(3, 1, 3, &["four of a third"]), 3),
        FoldOutcome::Ignored
    );
    assert_eq!(output_texts(&state), ["one", "two", "three of the second"]);
}

#[test]
fn a_finish_counts_only_for_the_stored_output() {
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
fn a_resumed_run_that_adds_no_output_may_finish_the_item() {
    let mut state = state_with_item();
    state.apply(progress(1, 0, 0, &["one"]), 1);
    assert_eq!(state.apply(finished(2, 1, 1), 2), FoldOutcome::Applied);
}

#[test]
fn a_listed_result_does_not_change() {
    let mut state = state_with_item();
    state.apply(progress(1, 0, 0, &["one"]), 1);
    state.apply(finished(1, 0, 1), 2);
    let before = output_texts(&state);
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
    assert_eq!(output_texts(&state), before);
}

#[test]
fn ending_a_batch_closes_it_and_drops_its_requests() {
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

/// Records of two owners that each append their records in order, some of them several times, in an arbitrary
/// interleaving.
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
    fn any_interleaving_gives_the_output_of_one_chain_of_runs(records in two_owners()) {
        let mut state = state_with_item();
        let mut longest: Vec<String> = Vec::new();
        for (now, record) in records.into_iter().enumerate() {
            state.apply(record, now as u64);
            let texts = output_texts(&state);
            prop_assert!(texts.starts_with(&longest), "{longest:?} became {texts:?}");
            longest = texts;
        }
        let complete = ["a1 a2 a3 a4", "a1 a2 b3 b4 b5"];
        let output = longest.join(" ");
        prop_assert!(complete.iter().any(|text| text.starts_with(&output)), "{output}");
        let batch = state.batch(&BatchId::from("batch")).unwrap();
        if !batch.listed.is_empty() {
            prop_assert!(complete.contains(&output.as_str()), "{output} is listed");
        }
    }
}

#[test]
fn dropped_output_is_replaced_and_a_delayed_duplicate_drops_nothing() {
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
    assert_eq!(output_texts(&state), ["new"]);
}

/// Guards against lost output: an item whose result must come from one version of the weights was restarted
/// because no back end had that version any more. A duplicate of its first progress record, seconds late, restored
/// the dropped output, so that the output of the new run was ignored.
#[test]
fn a_delayed_duplicate_does_not_restore_dropped_output() {
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
    assert_eq!(output_texts(&state), ["new"]);
}

/// Clients may read results by position as long as a batch is open, and until its retention since the submission
/// is over.
#[test]
fn only_closed_batches_past_their_retention_are_removed() {
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

/// A batch whose records were missed may be in the log until its retention is over. Until then the state must
/// report missed records, even if it holds no batch.
#[test]
fn missed_records_are_reported_until_the_retention_of_earlier_batches_is_over() {
    let mut state = state_with_item();
    assert!(!state.has_missed_records());
    state.drop_incomplete_batches(1_000);
    assert!(state.batch(&BatchId::from("batch")).is_none());
    assert!(state.has_missed_records());
    state.forget_before(1_000);
    assert!(state.has_missed_records(), "its retention is not over");
    assert!(!state.is_older_than(1_000), "it may not be removed yet");
    assert!(state.is_older_than(1_001));
    state.forget_before(1_001);
    assert!(!state.has_missed_records());
}

#[test]
fn a_batch_submitted_after_missed_records_is_kept() {
    let mut state = state_with_item();
    state.drop_incomplete_batches(1_000);
    let record = submitted("later", vec![item("item", "group", 10)], None);
    assert_eq!(state.apply(record, 1_001), FoldOutcome::Applied);
    assert!(state.batch(&BatchId::from("later")).is_some());
}
