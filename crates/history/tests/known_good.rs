//! Histories that keep the promises, among them the ones that only look like a breach.

mod common;

use common::good::{Sizes, good};
use common::{FINISHED, History, NODE, Run, assert_kept, bounds, found};
use havenstage_history::checker::{Bounds, Promise, check};
use havenstage_history::event::EventBody;
use havenstage_history::event::caller::BrokenCause;
use havenstage_history::event::engine::{
    BackEndReturned, ExecutionOutcome, LeavingOrigin, Subject,
};
use havenstage_history::event::node::{NodeEvent, ReadResult};
use havenstage_history::event::operator::ChangeOutcome;
use havenstage_types::ids::{EngineName, NodeId, Revision};

#[test]
fn an_empty_history_exercises_nothing() {
    let report = check(&[], &Bounds::default());
    assert!(report.is_clean());
    assert_eq!(report.not_exercised(), Promise::ALL);
}

#[test]
fn a_history_with_all_that_is_allowed_keeps_all_nine() {
    let sizes = Sizes {
        rounds_of_calls: 2,
        steps: 3,
        samples_per_step: 2,
        changes: 3,
    };
    let report = check(&good(&sizes).events, &bounds(2));
    for promise in Promise::ALL {
        assert_kept(&report, promise);
    }
}

#[test]
fn the_order_of_recording_does_not_matter() {
    let sizes = Sizes {
        rounds_of_calls: 1,
        steps: 2,
        samples_per_step: 2,
        changes: 2,
    };
    let mut history = good(&sizes);
    history.events.reverse();
    let report = history.check();
    assert!(report.is_clean(), "{report}");
}

#[test]
fn a_killed_node_excuses_its_calls() {
    let mut history = History::default();
    history.sent(0, 1, 1, None);
    history.run(&Run::of_request(1, 1, 5, 20));
    history.push(10, EventBody::NodeKilled(NodeEvent { node: NODE }));
    history.broken(11, 1, 1, BrokenCause::Reset);
    assert_kept(&history.check(), Promise::WholeAnswer);
}

#[test]
fn a_kill_during_a_planned_stop_excuses_what_was_in_flight() {
    let mut history = History::default();
    history.sent(0, 1, 1, None);
    history.run(&Run::of_request(1, 1, 5, 20));
    history.stop_begun(8, NODE);
    history.push(10, EventBody::NodeKilled(NodeEvent { node: NODE }));
    history.broken(11, 1, 1, BrokenCause::Reset);
    assert_kept(&history.check(), Promise::PlannedStop);
}

#[test]
fn a_stale_node_may_refuse_reads() {
    let mut history = History::default();
    history.proposed(10, "c1", None, "a");
    history.change_answered(20, "c1", ChangeOutcome::Accepted(Revision(4)));
    history.read(30, NODE, ReadResult::Absent);
    history.read(9_000, NODE, ReadResult::RefusedStale);
    history.read(9_500, NODE, found(4, "a"));
    assert_kept(&history.check(), Promise::ConfigInForce);
}

#[test]
fn a_read_that_was_under_way_may_answer_with_the_state_before() {
    let mut history = History::default();
    history.proposed(10, "c1", None, "a");
    history.change_answered(20, "c1", ChangeOutcome::Accepted(Revision(4)));
    history.proposed(9_000, "c2", Some(4), "b");
    history.change_answered(9_010, "c2", ChangeOutcome::Accepted(Revision(5)));
    history.read(9_050, NODE, found(5, "b"));
    history.read(9_052, NODE, found(4, "a"));
    assert_kept(&history.check(), Promise::ConfigInForce);
}

#[test]
fn a_returned_back_end_may_get_work() {
    let mut history = History::default();
    let engine = EngineName::new("e1");
    let origin = LeavingOrigin::MachineList;
    let leaving = havenstage_history::event::engine::BackEndLeaving {
        engine: engine.clone(),
        origin,
    };
    history.push(0, EventBody::BackEndLeaving(leaving));
    let returned = BackEndReturned { engine, origin };
    history.push(5_000, EventBody::BackEndReturned(returned));
    history.sent(6_000, 1, 1, None);
    history.run(&Run::of_request(1, 1, 6_005, 6_020));
    history.answered(6_030, 1, 1, &[11, 12, 13], &[(1, 3)]);
    assert_kept(&history.check(), Promise::LeavingBackEnd);
}

#[test]
fn versions_are_joined_over_three_engines() {
    let mut history = History::default();
    history.sent(0, 1, 1, None);
    let mut first = Run::of_request(1, 1, 5, 20);
    first.outcome = ExecutionOutcome::Cancelled;
    history.run(&first);
    let mut second = Run::of_request(1, 2, 25, 40);
    second.resumed = &[11, 12];
    second.produced = &[(2, 22), (3, 23)];
    second.outcome = ExecutionOutcome::Crashed;
    history.run(&second);
    let mut third = Run::of_request(1, 3, 45, 60);
    third.resumed = &[11, 12, 22];
    third.produced = &[(3, 33)];
    third.outcome = FINISHED;
    history.run(&third);
    let versions = [(1, 2), (2, 1), (3, 1)];
    history.answered(70, 1, 1, &[11, 12, 22, 33], &versions);
    assert_kept(&history.check(), Promise::TrueVersions);
}

#[test]
fn subjects_are_read_from_text() {
    let of_sample = Subject::Sample(common::sample(3, 1));
    assert_eq!(Subject::from_text(&of_sample.to_string()), of_sample);
    let of_request = Subject::Request(common::request_id(3, 1));
    assert_eq!(Subject::from_text(&of_request.to_string()), of_request);
    assert_eq!(common::attempt(5).node(), Some(NodeId(1)));
}
