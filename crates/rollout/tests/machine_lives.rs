//! Which process runs on each machine.

mod support;

use havenstage_rollout::machine_lives::MachineLives;
use support::node;

#[test]
fn a_process_is_replaced_once_another_started_on_its_machine() {
    let mut lives = MachineLives::default();
    lives.joined(node("a", 1));
    lives.joined(node("b", 7));
    assert!(!lives.is_replaced(&node("a", 1)));
    lives.joined(node("a", 2));
    assert!(lives.is_replaced(&node("a", 1)));
    assert!(!lives.is_replaced(&node("a", 2)));
    assert!(!lives.is_replaced(&node("b", 7)));
    assert_eq!(lives.machine_count(), 2);
}

#[test]
fn a_record_that_comes_again_late_brings_no_earlier_process_back() {
    let mut lives = MachineLives::default();
    lives.joined(node("a", 1));
    lives.joined(node("a", 2));
    lives.joined(node("a", 1));
    assert!(lives.is_replaced(&node("a", 1)));
    assert!(!lives.is_replaced(&node("a", 2)));
}

#[test]
fn a_process_that_has_not_joined_is_not_taken_for_gone() {
    let mut lives = MachineLives::default();
    lives.joined(node("a", 1));
    assert!(
        !lives.is_replaced(&node("a", 2)),
        "its own record may still be under way"
    );
}
