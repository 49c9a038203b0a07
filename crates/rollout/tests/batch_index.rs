//! The index of batches: who runs which, and what is known of them without reading them.

mod support;

use havenstage_rollout::batch_index::{BatchIndex, BatchNotice, MISSING_ITEMS_TIMEOUT_MS};
use havenstage_rollout::ids::{BatchId, ModelName, NodeId};
use support::{item, node, submission};

fn notice(batch: &str, step: u64, owner: Option<NodeId>) -> BatchNotice {
    let items = vec![item("one", "g", 10), item("two", "g", 32)];
    let mut submission = submission(batch, items);
    submission.step = Some(step);
    BatchNotice::of(&submission, owner)
}

fn open(index: &BatchIndex) -> Vec<&str> {
    index
        .open()
        .map(|batch| batch.notice.batch.as_str())
        .collect()
}

#[test]
fn a_notice_tells_the_work_of_a_batch() {
    let notice = notice("batch", 3, None);
    assert_eq!((notice.items, notice.expected_tokens), (2, 42));
    assert_eq!((notice.step, notice.minimum_version), (Some(3), 2));
}

#[test]
fn a_batch_that_is_handed_in_again_keeps_its_owner() {
    let mut index = BatchIndex::default();
    index.accepted(notice("batch", 1, Some(node("a", 1))), 10);
    index.accepted(notice("batch", 1, Some(node("b", 1))), 20);
    let batch = index.batch(&BatchId::from("batch")).unwrap();
    assert!(batch.owner.is_held_by(&node("a", 1)));
    assert_eq!(batch.first_seen, 10);
}

/// A batch that was closed because its items never came is open again when they come after all.
#[test]
fn a_batch_that_is_handed_in_again_is_open_again() {
    let mut index = BatchIndex::default();
    index.accepted(notice("batch", 1, None), 10);
    index.closed(&BatchId::from("batch"), 20);
    assert!(open(&index).is_empty());
    index.accepted(notice("batch", 1, None), 30);
    assert_eq!(open(&index), ["batch"]);
}

/// A batch that never came was handed in again and opened. A node that had read the notice but not yet the
/// batch's partition took it at once for one that never came, as its first notice was long ago, and closed it
/// for all.
#[test]
fn a_batch_that_is_open_again_has_its_whole_time_to_come() {
    let mut index = BatchIndex::default();
    let batch = BatchId::from("batch");
    index.accepted(notice("batch", 1, None), 10);
    index.closed(&batch, 10 + MISSING_ITEMS_TIMEOUT_MS);
    index.accepted(notice("batch", 1, None), 20_000);
    assert_eq!(index.batch(&batch).unwrap().first_seen, 20_000);
}

#[test]
fn the_owner_is_the_node_that_last_said_so() {
    let mut index = BatchIndex::default();
    let batch = BatchId::from("batch");
    index.accepted(notice("batch", 1, Some(node("a", 1))), 10);
    index.held(
        &node("b", 1),
        &[batch.clone(), BatchId::from("unknown")],
        50,
    );
    let owner = &index.batch(&batch).unwrap().owner;
    assert!(owner.is_held_by(&node("b", 1)));
    assert_eq!(owner.last_seen(), 50);
}

/// A node that was replaced gives up what is no longer its own.
#[test]
fn only_the_owner_can_give_a_batch_up() {
    let mut index = BatchIndex::default();
    let batch = BatchId::from("batch");
    index.accepted(notice("batch", 1, Some(node("a", 1))), 10);
    index.released(&node("b", 1), std::slice::from_ref(&batch), 20);
    assert!(index.batch(&batch).unwrap().owner.is_held_by(&node("a", 1)));
    index.released(&node("a", 1), std::slice::from_ref(&batch), 30);
    assert_eq!(index.batch(&batch).unwrap().owner.holder(), None);
}

#[test]
fn a_trainers_newest_batches_are_found_without_reading_them() {
    let mut index = BatchIndex::default();
    for (step, name) in ["first", "second", "third"].iter().enumerate() {
        index.accepted(notice(name, step as u64, None), 10);
    }
    let mut of_another = notice("other", 9, None);
    of_another.model = Some(ModelName::from("another"));
    index.accepted(of_another.clone(), 10);
    let alike = index.newest_of_same_trainer(&notice("third", 2, None), 2);
    let names: Vec<&str> = alike.iter().map(|notice| notice.batch.as_str()).collect();
    assert_eq!(names, ["third", "second"]);
    let newest = index.newest_of_model(&ModelName::from("model")).unwrap();
    assert_eq!(newest.batch, BatchId::from("third"));
    let model = of_another.model.unwrap();
    assert_eq!(index.newest_of_model(&model).unwrap().step, Some(9));
}

#[test]
fn batches_past_their_retention_are_forgotten() {
    let mut index = BatchIndex::default();
    index.accepted(notice("old", 1, None), 10);
    index.accepted(notice("old and open", 1, None), 10);
    index.accepted(notice("new", 2, None), 90);
    index.accepted(notice("new and closed", 2, None), 90);
    index.closed(&BatchId::from("old"), 20);
    index.closed(&BatchId::from("new and closed"), 95);
    index.forget_before(50);
    let known: Vec<&str> = index
        .batches()
        .map(|batch| batch.notice.batch.as_str())
        .collect();
    assert_eq!(known, ["new", "new and closed", "old and open"]);
    index.closed(&BatchId::from("old and open"), 100);
    index.forget_before(50);
    assert!(index.batch(&BatchId::from("old and open")).is_none());
}
