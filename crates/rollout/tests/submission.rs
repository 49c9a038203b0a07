//! Batches that cannot be kept are refused whole.

mod support;

use havenstage_rollout::batch::InvalidSubmission;
use havenstage_rollout::ids::ItemId;
use support::{item, submission};

#[test]
fn a_proper_batch_is_taken() {
    assert_eq!(
        submission("batch", vec![item("a", "g", 1), item("b", "g", 1)]).validate(),
        Ok(())
    );
}

#[test]
fn a_batch_without_items_or_with_an_item_twice_is_not() {
    assert_eq!(
        submission("batch", Vec::new()).validate(),
        Err(InvalidSubmission::Empty)
    );
    let twice = submission("batch", vec![item("a", "g", 1), item("a", "g", 1)]).validate();
    assert_eq!(
        twice,
        Err(InvalidSubmission::RepeatedItem(ItemId::from("a")))
    );
}

#[test]
fn an_item_whose_path_cannot_be_sent_is_not() {
    let mut malformed = (*item("a", "g", 1)).clone();
    malformed.path = "no slash".to_owned();
    let outcome = submission("batch", vec![std::sync::Arc::new(malformed)]).validate();
    assert_eq!(
        outcome,
        Err(InvalidSubmission::MalformedItem(ItemId::from("a")))
    );
}
