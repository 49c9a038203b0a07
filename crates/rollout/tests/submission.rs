//! Batches with an invalid item are rejected as a whole.

mod support;

use havenstage_rollout::batch::InvalidSubmission;
use havenstage_rollout::ids::ItemId;
use support::{item, submission};

#[test]
fn a_valid_batch_is_accepted() {
    assert_eq!(
        submission("batch", vec![item("a", "g", 1), item("b", "g", 1)]).validate(),
        Ok(())
    );
}

#[test]
fn a_batch_without_items_or_with_a_repeated_item_is_rejected() {
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
fn an_item_with_a_path_without_a_leading_slash_is_rejected() {
    let mut malformed = (*item("a", "g", 1)).clone();
    malformed.path = "no slash".to_owned();
    let outcome = submission("batch", vec![std::sync::Arc::new(malformed)]).validate();
    assert_eq!(
        outcome,
        Err(InvalidSubmission::MalformedItem(ItemId::from("a")))
    );
}
