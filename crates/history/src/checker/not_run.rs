//! Promise 5: a request that was refused as "not run" did not run, neither before the refusal nor
//! after it.
//!
//! Judged by the request id of the refusal. Where all calls of a logical request were told "not
//! run", no execution for that logical request may exist under whatever request id.

use havenstage_types::ids::RequestId;
use thiserror::Error;

use super::index::{Call, Execution, HistoryIndex, LogicalRequest};
use super::outcome::PromiseReport;
use crate::event::caller::CallId;
use crate::event::engine::{ExecutionId, Subject};

/// How a "not run" was untrue.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NotRunBroken {
    /// The request of the refused call ran.
    #[error("call {call} was told \"not run\" but execution {execution} ran it")]
    RequestRan {
        /// The call.
        call: CallId,
        /// The execution.
        execution: ExecutionId,
    },
    /// All calls were told "not run", yet an execution was made for them.
    #[error(
        "call {call} and all its retries were told \"not run\" but execution {execution} ran one"
    )]
    LogicalRequestRan {
        /// The first call.
        call: CallId,
        /// The execution.
        execution: ExecutionId,
    },
}

/// Judges the promise.
pub(super) fn judge(history: &HistoryIndex<'_>) -> PromiseReport {
    let mut report = PromiseReport::default();
    let by_owner = history.calls_by_owner();
    for call in history.calls.values().filter(|call| call.is_told_not_run()) {
        report.fact();
        if let Some(request) = call.request() {
            let others = by_owner.get(&call.owner).map_or(&[][..], Vec::as_slice);
            judge_request(history, call, request, others, &mut report);
        }
    }
    for (owner, calls) in &by_owner {
        if calls.iter().all(|call| call.is_told_not_run()) {
            judge_logical_request(history, *owner, calls, &mut report);
        }
    }
    report
}

fn judge_request(
    history: &HistoryIndex<'_>,
    call: &Call<'_>,
    request: &RequestId,
    others: &[&Call<'_>],
    report: &mut PromiseReport,
) {
    let subject = Subject::Request(request.clone());
    for execution in history.executions_for(&subject) {
        let explained = others
            .iter()
            .any(|other| explains(other, request, execution));
        if explained {
            continue;
        }
        let reason = NotRunBroken::RequestRan {
            call: call.sent.what.call.clone(),
            execution: execution.started.what.execution.clone(),
        };
        report.broken(reason, &[call.events(), execution.events()].concat());
    }
}

/// Whether an execution can have been made for another call that shares the request id and was
/// not told "not run".
fn explains(other: &Call<'_>, request: &RequestId, execution: &Execution<'_>) -> bool {
    other.request() == Some(request)
        && !other.is_told_not_run()
        && other.sent.position() <= execution.started.position()
}

fn judge_logical_request<'h>(
    history: &HistoryIndex<'h>,
    owner: LogicalRequest<'h>,
    calls: &[&Call<'h>],
    report: &mut PromiseReport,
) {
    let Some(first) = calls.first() else {
        return;
    };
    for execution in history.executions_owned_by(owner) {
        let subject = &execution.started.what.subject;
        let judged_by_request = calls.iter().any(|call| is_subject(call, subject));
        if judged_by_request {
            continue;
        }
        let reason = NotRunBroken::LogicalRequestRan {
            call: first.sent.what.call.clone(),
            execution: execution.started.what.execution.clone(),
        };
        let mut events = execution.events();
        events.extend(calls.iter().flat_map(|call| call.events()));
        report.broken(reason, &events);
    }
}

fn is_subject(call: &Call<'_>, subject: &Subject) -> bool {
    matches!(subject, Subject::Request(request) if call.request() == Some(request))
}
