//! The index of batches: which node runs each batch, and which facts are available without reading the batch's
//! partition.

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

fn open_batch_ids(index: &BatchIndex) -> Vec<&str> {
    index
        .open()
        .map(|batch| batch.notice.batch.as_str())
        .collect()
}

#[test]
fn a_notice_sums_up_the_items_of_a_batch() {
    let notice = notice("batch", 3, None);
    assert_eq!((notice.items, notice.expected_tokens), (2, 42));
    assert_eq!((notice.step, notice.minimum_version), (Some(3), 2));
}

#[test]
fn an_open_batch_that_is_submitted_again_keeps_its_owner() {
    let mut index = BatchIndex::default();
    index.add(notice("batch", 1, Some(node("a", 1))), 10);
    index.add(notice("batch", 1, Some(node("b", 1))), 20);
    let batch = index.batch(&BatchId::from("batch")).unwrap();
    assert!(batch.owner.is_held_by(&node("a", 1)));
    assert_eq!(batch.first_seen, 10);
}

/// A batch that was closed because its items were missing is reopened when it is submitted again.
#[test]
fn a_closed_batch_that_is_submitted_again_is_reopened() {
    let mut index = BatchIndex::default();
    index.add(notice("batch", 1, None), 10);
    index.close(&BatchId::from("batch"), 20);
    assert!(open_batch_ids(&index).is_empty());
    index.add(notice("batch", 1, None), 30);
    assert_eq!(open_batch_ids(&index), ["batch"]);
}

/// Guards against closing a reopened batch too early. A batch whose items had been missing was submitted again and
/// reopened. A node that had read the second notice but not yet the batch's partition counted the time since the
/// first notice, found the items missing for too long, and closed the batch for all nodes.
#[test]
fn a_reopened_batch_gets_the_full_timeout_for_its_items() {
    let mut index = BatchIndex::default();
    let batch = BatchId::from("batch");
    index.add(notice("batch", 1, None), 10);
    index.close(&batch, 10 + MISSING_ITEMS_TIMEOUT_MS);
    index.add(notice("batch", 1, None), 20_000);
    assert_eq!(index.batch(&batch).unwrap().first_seen, 20_000);
}

#[test]
fn the_owner_is_the_node_with_the_newest_heartbeat() {
    let mut index = BatchIndex::default();
    let batch = BatchId::from("batch");
    index.add(notice("batch", 1, Some(node("a", 1))), 10);
    index.record_heartbeat(
        &node("b", 1),
        &[batch.clone(), BatchId::from("unknown")],
        50,
    );
    let owner = &index.batch(&batch).unwrap().owner;
    assert!(owner.is_held_by(&node("b", 1)));
    assert_eq!(owner.last_seen(), 50);
}

/// A node that has been replaced as the owner may still release the batch; that must not affect the new owner.
#[test]
fn only_the_owner_can_release_a_batch() {
    let mut index = BatchIndex::default();
    let batch = BatchId::from("batch");
    index.add(notice("batch", 1, Some(node("a", 1))), 10);
    index.release(&node("b", 1), std::slice::from_ref(&batch), 20);
    assert!(index.batch(&batch).unwrap().owner.is_held_by(&node("a", 1)));
    index.release(&node("a", 1), std::slice::from_ref(&batch), 30);
    assert_eq!(index.batch(&batch).unwrap().owner.holder(), None);
}

#[test]
fn the_newest_batches_of_a_trainer_are_found_by_their_notices() {
    let mut index = BatchIndex::default();
    for (step, name) in ["first", "second", "third"].iter().enumerate() {
        index.add(notice(name, step as u64, None), 10);
    }
    let mut other_model = notice("other", 9, None);
    other_model.model = Some(ModelName::from("another"));
    index.add(other_model.clone(), 10);
    let same_trainer = index.newest_of_same_trainer(&notice("third", 2, None), 2);
    let names: Vec<&str> = same_trainer
        .iter()
        .map(|notice| notice.batch.as_str())
        .collect();
    assert_eq!(names, ["third", "second"]);
    let newest = index.newest_of_model(&ModelName::from("model")).unwrap();
    assert_eq!(newest.batch, BatchId::from("third"));
    let model = other_model.model.unwrap();
    assert_eq!(index.newest_of_model(&model).unwrap().step, Some(9));
}

#[test]
fn closed_batches_past_their_retention_are_removed() {
    let mut index = BatchIndex::default();
    index.add(notice("old", 1, None), 10);
    index.add(notice("old and open", 1, None), 10);
    index.add(notice("new", 2, None), 90);
    index.add(notice("new and closed", 2, None), 90);
    index.close(&BatchId::from("old"), 20);
    index.close(&BatchId::from("new and closed"), 95);
    index.forget_before(50);
    let known: Vec<&str> = index
        .batches()
        .map(|batch| batch.notice.batch.as_str())
        .collect();
    assert_eq!(known, ["new", "new and closed", "old and open"]);
    index.close(&BatchId::from("old and open"), 100);
    index.forget_before(50);
    assert!(index.batch(&BatchId::from("old and open")).is_none());
}
