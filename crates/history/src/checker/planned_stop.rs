//! Promise 8: a planned stop cuts off no request in flight.
//!
//! Every call that a stopping node had when the stop began must end by a whole answer or by a
//! refusal that does not owe itself to the stop, and the node must not exit before. An execution
//! that the node still ran when it exited was cut off too. A kill during the stop ends the
//! promise for what was still in flight.

use havenstage_types::ids::NodeId;
use thiserror::Error;

use super::bounds::Bounds;
use super::index::{Call, CallEnding, Execution, HistoryIndex, Seen};
use super::outcome::PromiseReport;
use super::whole_answer::due_ms;
use crate::event::EventBody;
use crate::event::caller::{BrokenCause, CallId, CallRefused, RefusalCode, ToldExecution};
use crate::event::engine::{ExecutionId, ExecutionOutcome, Subject};

/// How a planned stop cut something off.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlannedStopBroken {
    /// The connection of a call in flight broke.
    #[error("call {call} was cut off by the planned stop of node {node}")]
    CallCut {
        /// The call.
        call: CallId,
        /// The node.
        node: NodeId,
    },
    /// A call in flight was refused after it had run.
    #[error("call {call} ran and was given up by the planned stop of node {node}")]
    GivenUp {
        /// The call.
        call: CallId,
        /// The node.
        node: NodeId,
    },
    /// The node exited before a call in flight had ended.
    #[error("node {node} exited before call {call} had ended")]
    ExitedEarly {
        /// The call.
        call: CallId,
        /// The node.
        node: NodeId,
    },
    /// The node exited while an engine still executed for it.
    #[error("node {node} exited while execution {execution} still ran for it")]
    ExecutionLeft {
        /// The execution.
        execution: ExecutionId,
        /// The node.
        node: NodeId,
    },
}

/// One planned stop.
#[derive(Debug, Clone, Copy)]
struct Stop {
    node: NodeId,
    begun: Seen<()>,
    exited: Option<Seen<()>>,
    killed_ms: Option<u64>,
}

impl Stop {
    fn is_killed_by(&self, at_ms: u64) -> bool {
        self.killed_ms.is_some_and(|killed_ms| killed_ms <= at_ms)
    }

    fn events(&self) -> Vec<usize> {
        let exited = self.exited.map(|exited| exited.index);
        std::iter::once(self.begun.index).chain(exited).collect()
    }
}

/// Judges the promise.
pub(super) fn judge(history: &HistoryIndex<'_>, bounds: &Bounds) -> PromiseReport {
    let mut report = PromiseReport::default();
    for stop in stops(history) {
        let calls = history.calls.values();
        for call in calls.filter(|call| is_in_flight(call, &stop)) {
            report.fact();
            judge_call(history, bounds, &stop, call, &mut report);
        }
        for execution in history.executions.values() {
            judge_execution(bounds, &stop, execution, &mut report);
        }
    }
    report
}

/// Whether the node had the call when the stop began, or took it later and began to answer it.
fn is_in_flight(call: &Call<'_>, stop: &Stop) -> bool {
    if call.sent.what.node != Some(stop.node) {
        return false;
    }
    let ending = call.ending();
    if ending.is_some_and(|ending| ending.position() < stop.begun.position()) {
        return false;
    }
    if call.sent.position() < stop.begun.position() {
        return true;
    }
    match ending.map(|ending| ending.what) {
        Some(CallEnding::Answered(_)) => true,
        Some(CallEnding::Broken(broken)) => broken.received_tokens > 0,
        Some(CallEnding::Refused(_)) | None => false,
    }
}

fn judge_call(
    history: &HistoryIndex<'_>,
    bounds: &Bounds,
    stop: &Stop,
    call: &Call<'_>,
    report: &mut PromiseReport,
) {
    let ending = call.ending();
    let seen_until_ms = ending.map_or(history.end_ms, |ending| ending.at_ms);
    if is_excused(history, stop, call, seen_until_ms) {
        return;
    }
    let call_id = call.sent.what.call.clone();
    let node = stop.node;
    let reason = match ending.map(|ending| ending.what) {
        None if is_surely_lost(history, bounds, stop, call) => PlannedStopBroken::CallCut {
            call: call_id,
            node,
        },
        Some(CallEnding::Broken(broken)) if is_cut(broken.cause) => PlannedStopBroken::CallCut {
            call: call_id,
            node,
        },
        Some(CallEnding::Refused(refused)) if is_given_up(history, stop, refused) => {
            PlannedStopBroken::GivenUp {
                call: call_id,
                node,
            }
        }
        Some(CallEnding::Answered(_) | CallEnding::Refused(_))
            if has_exited(stop, bounds, seen_until_ms) =>
        {
            PlannedStopBroken::ExitedEarly {
                call: call_id,
                node,
            }
        }
        _ => return,
    };
    report.broken(reason, &[stop.events(), call.events()].concat());
}

fn is_cut(cause: BrokenCause) -> bool {
    match cause {
        BrokenCause::Reset | BrokenCause::StreamTruncated | BrokenCause::TimedOut => true,
        BrokenCause::NotConnected | BrokenCause::Abandoned => false,
    }
}

/// Whether a refusal owes itself to the stop although the request had run: it says so itself, or
/// an execution was cancelled during the stop for no other reason that the refusal names.
fn is_given_up(history: &HistoryIndex<'_>, stop: &Stop, refused: &CallRefused) -> bool {
    if refused.execution == ToldExecution::NotRun {
        return false;
    }
    if refused.code.is(RefusalCode::STOPPING) {
        return true;
    }
    let other_reasons = [RefusalCode::DEADLINE_EXCEEDED, RefusalCode::PREEMPTED];
    if other_reasons.iter().any(|code| refused.code.is(code)) {
        return false;
    }
    let Some(request) = &refused.request else {
        return false;
    };
    let subject = Subject::Request(request.clone());
    let executions = history.executions_for(&subject);
    executions.iter().any(|execution| {
        execution.ended.is_some_and(|ended| {
            ended.what.outcome == ExecutionOutcome::Cancelled
                && ended.position() > stop.begun.position()
        })
    })
}

fn has_exited(stop: &Stop, bounds: &Bounds, before_ms: u64) -> bool {
    stop.exited
        .is_some_and(|exited| exited.at_ms.saturating_add(bounds.delivery_slack_ms) < before_ms)
}

fn is_surely_lost(
    history: &HistoryIndex<'_>,
    bounds: &Bounds,
    stop: &Stop,
    call: &Call<'_>,
) -> bool {
    has_exited(stop, bounds, history.end_ms) || history.end_ms > due_ms(call, bounds)
}

fn is_excused(history: &HistoryIndex<'_>, stop: &Stop, call: &Call<'_>, to_ms: u64) -> bool {
    let sent = call.sent.what;
    let from_ms = call.sent.at_ms;
    stop.is_killed_by(to_ms)
        || history
            .faults
            .excuse_call(&sent.call.caller, sent.node, from_ms, to_ms)
}

fn judge_execution(
    bounds: &Bounds,
    stop: &Stop,
    execution: &Execution<'_>,
    report: &mut PromiseReport,
) {
    let started = execution.started;
    let Some(exited) = stop.exited else {
        return;
    };
    if started.what.attempt.node() != Some(stop.node) || started.position() > exited.position() {
        return;
    }
    let Some(ended) = execution
        .ended
        .filter(|ended| ended.position() > stop.begun.position())
    else {
        return;
    };
    report.fact();
    let cancelled_by_exit =
        ended.what.outcome == ExecutionOutcome::Cancelled && ended.position() > exited.position();
    if cancelled_by_exit || has_exited(stop, bounds, ended.at_ms) {
        let reason = PlannedStopBroken::ExecutionLeft {
            execution: started.what.execution.clone(),
            node: stop.node,
        };
        report.broken(reason, &[stop.events(), execution.events()].concat());
    }
}

fn stops(history: &HistoryIndex<'_>) -> Vec<Stop> {
    let begun = history.select(|body| match body {
        EventBody::NodeStopBegun(begun) => Some(begun.node),
        _ => None,
    });
    begun
        .map(|begun| Stop {
            node: begun.what,
            begun: without_body(begun),
            exited: exit_of(history, begun.what),
            killed_ms: kill_of(history, begun.what),
        })
        .collect()
}

fn exit_of(history: &HistoryIndex<'_>, node: NodeId) -> Option<Seen<()>> {
    let mut exits = history.select(|body| match body {
        EventBody::NodeExited(exited) if exited.node == node => Some(()),
        _ => None,
    });
    exits.next()
}

fn kill_of(history: &HistoryIndex<'_>, node: NodeId) -> Option<u64> {
    let mut kills = history.select(|body| match body {
        EventBody::NodeKilled(killed) if killed.node == node => Some(()),
        _ => None,
    });
    kills.next().map(|kill| kill.at_ms)
}

fn without_body<T>(seen: Seen<T>) -> Seen<()> {
    Seen {
        index: seen.index,
        at_ms: seen.at_ms,
        what: (),
    }
}
