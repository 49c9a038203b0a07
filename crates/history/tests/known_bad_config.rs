//! Histories of configuration that break the ninth promise; the checker must name it.

mod common;

use common::{History, NODE, Run, assert_broken, assert_shown, found, sample};
use havenstage_history::checker::Promise;
use havenstage_history::event::EventBody;
use havenstage_history::event::engine::Subject;
use havenstage_history::event::node::ReadResult;
use havenstage_history::event::operator::{ChangeInForce, ChangeOutcome};
use havenstage_types::ids::{ChangeId, NodeId, Revision};

const OTHER_NODE: NodeId = NodeId(2);

/// Change `c1` accepted as revision 4 at 20 ms and `c2` as revision 5 at 1 000 ms.
fn two_changes() -> (History, usize) {
    let mut history = History::default();
    history.proposed(10, "c1", None, "a");
    history.change_answered(20, "c1", ChangeOutcome::Accepted(Revision(4)));
    history.proposed(990, "c2", Some(4), "b");
    let accepted = ChangeOutcome::Accepted(Revision(5));
    let accepted = history.change_answered(1_000, "c2", accepted);
    (history, accepted)
}

#[test]
fn a_node_lacks_a_change_after_the_bound() {
    let (mut history, accepted) = two_changes();
    let read = history.read(6_010, NODE, found(4, "a"));
    let events = [accepted, read];
    assert_broken(&history.check(), Promise::ConfigInForce, &events);
}

#[test]
fn a_node_lacks_a_change_that_was_called_in_force() {
    let (mut history, accepted) = two_changes();
    let told = ChangeInForce {
        change: ChangeId::new("c2"),
        revision: Revision(5),
    };
    history.push(1_100, EventBody::ChangeInForce(told));
    let read = history.read(1_200, NODE, ReadResult::Absent);
    let events = [accepted, read];
    assert_broken(&history.check(), Promise::ConfigInForce, &events);
}

#[test]
fn a_node_goes_back_within_the_bound() {
    let (mut history, _) = two_changes();
    let new = history.read(1_100, NODE, found(5, "b"));
    history.read(1_150, OTHER_NODE, found(4, "a"));
    let old = history.read(1_200, NODE, found(4, "a"));
    assert_broken(&history.check(), Promise::ConfigInForce, &[new, old]);
}

#[test]
fn two_changes_win_against_one_revision() {
    let (mut history, first) = two_changes();
    history.proposed(990, "c3", Some(4), "c");
    let second = ChangeOutcome::Accepted(Revision(6));
    let second = history.change_answered(1_010, "c3", second);
    let events = [first, second];
    assert_broken(&history.check(), Promise::ConfigInForce, &events);
}

#[test]
fn a_refused_change_takes_effect() {
    let (mut history, _) = two_changes();
    history.proposed(990, "c3", Some(4), "c");
    let conflict = history.change_answered(1_010, "c3", ChangeOutcome::Conflict);
    let read = history.read(1_100, NODE, found(6, "c"));
    let events = [conflict, read];
    assert_broken(&history.check(), Promise::ConfigInForce, &events);
}

#[test]
fn a_change_is_called_accepted_and_refused() {
    let (mut history, accepted) = two_changes();
    let conflict = history.change_answered(1_010, "c2", ChangeOutcome::Conflict);
    let events = [accepted, conflict];
    assert_broken(&history.check(), Promise::ConfigInForce, &events);
}

#[test]
fn a_node_has_another_value_under_the_revision() {
    let (mut history, accepted) = two_changes();
    let read = history.read(6_100, NODE, found(5, "z"));
    let events = [accepted - 1, accepted, read];
    assert_broken(&history.check(), Promise::ConfigInForce, &events);
}

#[test]
fn a_node_serves_new_work_without_a_change_that_was_due() {
    let (mut history, accepted) = two_changes();
    let mut run = Run::of_request(0, 1, 7_000, 7_050);
    run.subject = Subject::Sample(sample(0, 0));
    let run = history.run(&run);
    let read = history.read(8_000, NODE, found(4, "a"));
    let report = history.check();
    assert_broken(&report, Promise::ConfigInForce, &[accepted, read]);
    assert_shown(&report, Promise::ConfigInForce, &[accepted, run, read]);
}

#[test]
fn a_revision_is_given_twice() {
    let (mut history, first) = two_changes();
    history.proposed(1_500, "c3", Some(5), "c");
    let second = ChangeOutcome::Accepted(Revision(5));
    let second = history.change_answered(1_510, "c3", second);
    let report = history.check();
    assert_broken(&report, Promise::ConfigInForce, &[first, second]);
    assert_shown(&report, Promise::ConfigInForce, &[second - 1, second]);
}
