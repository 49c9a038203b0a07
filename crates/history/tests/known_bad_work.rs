//! Histories of calls, samples and engines that break a promise; the checker must name it.

mod common;

use common::{History, NODE, Run, assert_broken, assert_shown, attempt, bounds, model, sample};
use havenstage_history::checker::{Promise, check};
use havenstage_history::event::EventBody;
use havenstage_history::event::caller::{BrokenCause, ToldExecution};
use havenstage_history::event::engine::{
    BackEndLeaving, ExecutionId, ExecutionOutcome, LeavingOrigin, Subject, WorkWhileLeaving,
};
use havenstage_history::event::operator::VersionPublished;
use havenstage_history::event::trainer::{JobDrained, JobStreamCommitObserved, StepAcknowledged};
use havenstage_types::ids::{
    EngineName, JobName, LogOffset, NodeId, StepNumber, TrainerName, VersionNumber,
};

const TOKENS: [u32; 3] = [11, 12, 13];
const PRODUCED: [(u64, u32); 3] = [(1, 11), (1, 12), (1, 13)];

fn run_of_sample(step: u64, index: u32, sequence: u64, from_ms: u64) -> Run<'static> {
    let mut run = Run::of_request(0, sequence, from_ms, from_ms + 50);
    run.subject = Subject::Sample(sample(step, index));
    run
}

#[test]
fn true_versions_a_sample_names_the_version_ordered_and_not_the_one_used() {
    let mut history = History::default();
    let run = history.run(&run_of_sample(0, 0, 1, 10));
    let received = history.received(100, &sample(0, 0), 1, 1, &[(2, 11), (2, 12), (2, 13)]);
    let events = [run, run + 1, received];
    assert_broken(&history.check(), Promise::TrueVersions, &events);
}

#[test]
fn true_versions_an_answer_forgets_the_version_before_the_resume() {
    let mut history = History::default();
    history.sent(0, 1, 1, None);
    let mut first = Run::of_request(1, 1, 5, 20);
    first.outcome = ExecutionOutcome::Crashed;
    history.run(&first);
    let mut second = Run::of_request(1, 2, 25, 40);
    second.resumed = &[11, 12];
    second.produced = &[(2, 23)];
    let second = history.run(&second);
    let answered = history.answered(50, 1, 1, &[11, 12, 23], &[(2, 3)]);
    let events = [second, second + 1, answered];
    assert_broken(&history.check(), Promise::TrueVersions, &events);
}

#[test]
fn true_versions_a_sample_of_an_attempt_that_no_engine_ran() {
    let mut history = History::default();
    history.run(&run_of_sample(0, 0, 1, 10));
    let received = history.received(100, &sample(0, 0), 2, 1, &PRODUCED);
    assert_broken(&history.check(), Promise::TrueVersions, &[received]);
}

fn publish(history: &mut History, at_ms: u64, version: u64) -> usize {
    let body = VersionPublished {
        model: model(),
        version: VersionNumber(version),
    };
    history.push(at_ms, EventBody::VersionPublished(body))
}

#[test]
fn staleness_a_sample_starts_on_a_version_two_behind_the_one_in_force() {
    let mut history = History::default();
    publish(&mut history, 0, 2);
    let published = publish(&mut history, 1_000, 3);
    history.run(&run_of_sample(0, 0, 1, 7_000));
    let received = history.received(8_000, &sample(0, 0), 1, 1, &PRODUCED);
    let events = [published, received];
    assert_broken(&history.check(), Promise::StalenessBound, &events);
}

#[test]
fn staleness_a_sample_grows_too_old_before_its_commit() {
    let mut history = History::default();
    history.run(&run_of_sample(0, 0, 1, 10));
    let commit = JobStreamCommitObserved {
        sample: sample(0, 0),
        attempt: attempt(1),
        offset: LogOffset(9),
        newest: VersionNumber(3),
    };
    let commit = history.push(70, EventBody::JobStreamCommitObserved(commit));
    let received = history.received(100, &sample(0, 0), 1, 9, &PRODUCED);
    let events = [commit, received];
    assert_broken(&history.check(), Promise::StalenessBound, &events);
}

#[test]
fn exactly_once_two_attempts_fill_one_slot() {
    let mut history = History::default();
    history.run(&run_of_sample(0, 0, 1, 10));
    history.run(&run_of_sample(0, 0, 2, 10));
    let first = history.received(100, &sample(0, 0), 1, 1, &PRODUCED);
    let second = history.received(110, &sample(0, 0), 2, 2, &PRODUCED);
    assert_broken(&history.check(), Promise::ExactlyOnce, &[first, second]);
}

#[test]
fn exactly_once_one_sample_comes_at_two_offsets() {
    let mut history = History::default();
    history.run(&run_of_sample(0, 0, 1, 10));
    let first = history.received(100, &sample(0, 0), 1, 1, &PRODUCED);
    let second = history.received(110, &sample(0, 0), 1, 2, &PRODUCED);
    assert_broken(&history.check(), Promise::ExactlyOnce, &[first, second]);
}

#[test]
fn exactly_once_a_sample_comes_again_behind_the_cursor() {
    let mut history = History::default();
    history.run(&run_of_sample(0, 0, 1, 10));
    history.received(100, &sample(0, 0), 1, 1, &PRODUCED);
    let second = history.received(110, &sample(0, 0), 1, 1, &PRODUCED);
    if let EventBody::SampleReceived(received) = &mut history.events[second].body {
        received.cursor = LogOffset(2);
    }
    assert_broken(&history.check(), Promise::ExactlyOnce, &[second]);
}

#[test]
fn exactly_once_an_acknowledged_step_lacks_a_sample_that_comes_later() {
    let mut history = History::default();
    history.run(&run_of_sample(0, 0, 1, 10));
    history.run(&run_of_sample(0, 1, 2, 10));
    history.received(100, &sample(0, 0), 1, 1, &PRODUCED);
    let acknowledged = StepAcknowledged {
        trainer: TrainerName::new("trainer-0"),
        job: JobName::new("tono"),
        step: StepNumber(0),
    };
    let acknowledged = history.push(110, EventBody::StepAcknowledged(acknowledged));
    history.received(120, &sample(0, 1), 2, 2, &PRODUCED);
    assert_broken(&history.check(), Promise::ExactlyOnce, &[acknowledged]);
}

#[test]
fn exactly_once_a_drained_job_lost_a_whole_step() {
    let mut history = History::default();
    let drained = JobDrained {
        job: JobName::new("tono"),
        steps: 1,
    };
    let drained = history.push(100, EventBody::JobDrained(drained));
    assert_broken(&history.check(), Promise::ExactlyOnce, &[drained]);
}

#[test]
fn whole_answer_two_callers_get_each_others_answers() {
    let mut history = History::default();
    history.sent(0, 1, 1, None);
    history.sent(0, 2, 1, None);
    let mut first = Run::of_request(1, 1, 5, 20);
    first.produced = &[(1, 21)];
    let first = history.run(&first);
    let mut second = Run::of_request(2, 2, 5, 20);
    second.produced = &[(1, 22)];
    let second = history.run(&second);
    let to_first = history.answered(30, 1, 1, &[22], &[(1, 1)]);
    let to_second = history.answered(30, 2, 1, &[21], &[(1, 1)]);
    let report = history.check();
    assert_broken(
        &report,
        Promise::WholeAnswer,
        &[second, second + 1, to_first],
    );
    assert_shown(
        &report,
        Promise::WholeAnswer,
        &[first, first + 1, to_second],
    );
}

#[test]
fn whole_answer_a_truncated_answer_passes_for_whole() {
    let mut history = History::default();
    history.sent(0, 1, 1, None);
    let run = history.run(&Run::of_request(1, 1, 5, 20));
    let answered = history.answered(30, 1, 1, &[11, 12], &[(1, 2)]);
    let events = [run, run + 1, answered];
    assert_broken(&history.check(), Promise::WholeAnswer, &events);
}

#[test]
fn whole_answer_a_resume_continues_the_tokens_of_another_request() {
    let mut history = History::default();
    history.sent(0, 1, 1, None);
    let mut lost = Run::of_request(1, 1, 5, 20);
    lost.outcome = ExecutionOutcome::Crashed;
    history.run(&lost);
    let mut resumed = Run::of_request(1, 2, 30, 40);
    resumed.resumed = &[77, 78];
    let resumed = history.run(&resumed);
    let tokens = [77, 78, 11, 12, 13];
    let answered = history.answered(50, 1, 1, &tokens, &[(1, 5)]);
    let events = [resumed, resumed + 1, answered];
    assert_shown(&history.check(), Promise::WholeAnswer, &events);
}

#[test]
fn whole_answer_a_call_is_never_answered_or_too_late_or_twice() {
    let mut history = History::default();
    let open = history.sent(0, 1, 1, None);
    let late = history.sent(0, 2, 1, None);
    history.run(&Run::of_request(2, 2, 5, 20));
    let late_answer = history.answered(31_001, 2, 1, &TOKENS, &[(1, 3)]);
    let twice = history.sent(0, 3, 1, None);
    history.run(&Run::of_request(3, 3, 5, 20));
    let first = history.answered(30, 3, 1, &TOKENS, &[(1, 3)]);
    let second = history.answered(40, 3, 1, &TOKENS, &[(1, 3)]);
    let reset = history.sent(0, 4, 1, None);
    let reset_end = history.broken(10, 4, 1, BrokenCause::Reset);
    history.pass_all_deadlines();
    let report = history.check();
    assert_broken(&report, Promise::WholeAnswer, &[open]);
    assert_shown(&report, Promise::WholeAnswer, &[late, late_answer]);
    assert_shown(&report, Promise::WholeAnswer, &[twice, first, second]);
    assert_shown(&report, Promise::WholeAnswer, &[reset, reset_end]);
}

#[test]
fn not_run_the_request_ran_after_the_refusal() {
    let mut history = History::default();
    let sent = history.sent(0, 1, 1, None);
    let refused = history.refused(10, 1, 1, "overloaded", ToldExecution::NotRun);
    let run = history.run(&Run::of_request(1, 1, 500, 600));
    let events = [sent, refused, run, run + 1];
    assert_broken(&history.check(), Promise::NotRunIsTrue, &events);
}

#[test]
fn not_run_a_refusal_without_request_id_is_judged_by_the_prompt() {
    let mut history = History::default();
    let sent = history.sent(0, 1, 1, None);
    let refused = history.refused(10, 1, 1, "stopping", ToldExecution::NotRun);
    if let EventBody::CallRefused(refused) = &mut history.events[refused].body {
        refused.request = None;
    }
    let run = history.run(&Run::of_request(1, 1, 5, 600));
    let events = [sent, refused, run, run + 1];
    assert_broken(&history.check(), Promise::NotRunIsTrue, &events);
}

#[test]
fn at_most_once_a_retry_runs_the_request_again() {
    let mut history = History::default();
    let first = history.sent(0, 1, 1, Some("notice"));
    let first_run = history.run(&Run::of_request(1, 1, 5, 20));
    let unknown = history.refused(25, 1, 1, "engine_failed", ToldExecution::Unknown);
    let second = history.sent(30, 1, 2, Some("notice"));
    let mut run = Run::of_request(1, 2, 35, 50);
    run.subject = Subject::Request(common::request_id(1, 2));
    let second_run = history.run(&run);
    let answered = history.answered(60, 1, 2, &TOKENS, &[(1, 3)]);
    let events = [first, first_run, unknown, second, second_run, answered];
    assert_broken(&history.check(), Promise::AtMostOnce, &events);
}

#[test]
fn at_most_once_two_homes_run_a_request_whose_caller_learned_no_id() {
    let mut history = History::default();
    let sent = history.sent(0, 1, 1, Some("notice"));
    let first = history.run(&Run::of_request(1, 1, 5, 20));
    let mut other = Run::of_request(1, 2, 6, 21);
    other.engine = "e2";
    let second = history.run(&other);
    let abandoned = history.broken(30, 1, 1, BrokenCause::Abandoned);
    let events = [sent, first, second, abandoned];
    assert_broken(&history.check(), Promise::AtMostOnce, &events);
}

#[test]
fn at_most_once_a_call_without_a_key_runs_twice_and_its_caller_learns_no_id() {
    let mut history = History::default();
    let sent = history.sent(0, 1, 1, None);
    if let EventBody::CallSent(sent) = &mut history.events[sent].body {
        sent.at_most_once = true;
    }
    let first = history.run(&Run::of_request(1, 1, 5, 20));
    let second = history.run(&Run::of_request(1, 2, 6, 21));
    let abandoned = history.broken(30, 1, 1, BrokenCause::Abandoned);
    let events = [sent, first, second, abandoned];
    assert_broken(&history.check(), Promise::AtMostOnce, &events);
}

#[test]
fn an_execution_that_nobody_asked_for_is_counted() {
    let mut history = History::default();
    history.run(&Run::of_request(1, 1, 5, 20));
    let report = history.check();
    assert_eq!(report.unassigned_executions, 1);
    assert!(
        report
            .to_string()
            .starts_with("executions that belong to no known call: 1\n")
    );
}

fn leaving(history: &mut History, at_ms: u64, origin: LeavingOrigin) -> usize {
    let engine = EngineName::new("e1");
    let leaving = BackEndLeaving { engine, origin };
    history.push(at_ms, EventBody::BackEndLeaving(leaving))
}

#[test]
fn leaving_back_end_gets_work_after_the_grace_time() {
    let origins = [
        LeavingOrigin::Operator,
        LeavingOrigin::MachineList,
        LeavingOrigin::Engine,
    ];
    for origin in origins {
        let mut history = History::default();
        let order = leaving(&mut history, 1_000, origin);
        let run = history.run(&run_of_sample(0, 0, 1, 4_001));
        assert_broken(&history.check(), Promise::LeavingBackEnd, &[order, run]);
    }
}

#[test]
fn leaving_back_end_a_second_word_does_not_renew_the_grace_time() {
    let mut history = History::default();
    let order = leaving(&mut history, 1_000, LeavingOrigin::Operator);
    leaving(&mut history, 3_000, LeavingOrigin::Operator);
    let run = history.run(&run_of_sample(0, 0, 1, 4_001));
    assert_broken(&history.check(), Promise::LeavingBackEnd, &[order, run]);
}

#[test]
fn leaving_back_end_complains() {
    let mut history = History::default();
    let complaint = WorkWhileLeaving {
        execution: ExecutionId {
            engine: EngineName::new("e1"),
            boot: 7,
            sequence: 1,
        },
        leaving_for_ms: 3_001,
    };
    let complaint = history.push(9_000, EventBody::WorkWhileLeaving(complaint));
    assert_broken(&history.check(), Promise::LeavingBackEnd, &[complaint]);
}

#[test]
fn planned_stop_cuts_a_stream() {
    let mut history = History::default();
    let sent = history.sent(0, 1, 1, None);
    let begun = history.stop_begun(10, NODE);
    let broken = history.broken(20, 1, 1, BrokenCause::StreamTruncated);
    let exited = history.exited(21, NODE);
    let events = [sent, begun, broken, exited];
    assert_shown(&history.check(), Promise::PlannedStop, &events);
}

#[test]
fn planned_stop_gives_up_what_ran() {
    let mut history = History::default();
    let sent = history.sent(0, 1, 1, None);
    let begun = history.stop_begun(10, NODE);
    let mut run = Run::of_request(1, 1, 5, 15);
    run.outcome = ExecutionOutcome::Cancelled;
    history.run(&run);
    let refused = history.refused(20, 1, 1, "engine_failed", ToldExecution::Ran);
    let exited = history.exited(21, NODE);
    let events = [sent, begun, refused, exited];
    assert_broken(&history.check(), Promise::PlannedStop, &events);
}

#[test]
fn planned_stop_exits_while_an_engine_works_for_it() {
    let mut history = History::default();
    let mut run = run_of_sample(0, 0, 1, 5);
    run.outcome = ExecutionOutcome::Cancelled;
    run.to_ms = 31;
    let run = history.run(&run);
    let begun = history.stop_begun(10, NODE);
    let exited = history.exited(30, NODE);
    let events = [run, run + 1, begun, exited];
    assert_broken(&history.check(), Promise::PlannedStop, &events);
}

#[test]
fn planned_stop_of_one_node_is_no_excuse_for_another() {
    let mut history = History::default();
    history.stop_begun(5, NodeId(2));
    let sent = history.sent(0, 1, 1, None);
    let broken = history.broken(20, 1, 1, BrokenCause::Reset);
    assert_broken(&history.check(), Promise::WholeAnswer, &[sent, broken]);
}

#[test]
fn an_index_outside_its_step_is_no_slot() {
    let mut history = History::default();
    history.run(&run_of_sample(0, 2, 1, 10));
    let received = history.received(100, &sample(0, 2), 1, 1, &PRODUCED);
    let report = check(&history.events, &bounds(2));
    assert_broken(&report, Promise::ExactlyOnce, &[received]);
}
