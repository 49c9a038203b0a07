//! Promise 6: a request marked as not repeatable runs at most once.
//!
//! Every execution counts, also one that resumed another or failed. With an idempotency key all
//! calls under the key are one request; without one each call stands alone.

use std::collections::BTreeMap;

use havenstage_types::ids::IdempotencyKey;
use thiserror::Error;

use super::index::{Call, Execution, HistoryIndex, LogicalRequest};
use super::outcome::PromiseReport;
use crate::event::caller::CallId;
use crate::event::engine::Subject;

/// How at-most-once was broken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AtMostOnceBroken {
    /// Several executions under one key.
    #[error("the request under key {key} ran {runs} times")]
    KeyRanAgain {
        /// The key.
        key: IdempotencyKey,
        /// Number of executions.
        runs: usize,
    },
    /// Several executions of one call without a key.
    #[error("the request of call {call} ran {runs} times")]
    CallRanAgain {
        /// The call.
        call: CallId,
        /// Number of executions.
        runs: usize,
    },
}

/// Judges the promise.
pub(super) fn judge(history: &HistoryIndex<'_>) -> PromiseReport {
    let mut report = PromiseReport::default();
    for (owner, calls) in not_repeatable_calls(history) {
        for _ in &calls {
            report.fact();
        }
        if let LogicalRequest::Key(key) = owner {
            let executions = history.executions_owned_by(owner);
            let reason = AtMostOnceBroken::KeyRanAgain {
                key: key.clone(),
                runs: executions.len(),
            };
            judge_runs(reason, &calls, &executions, &mut report);
            continue;
        }
        for call in &calls {
            let executions = executions_of_call(history, call, calls.len() == 1);
            let reason = AtMostOnceBroken::CallRanAgain {
                call: call.sent.what.call.clone(),
                runs: executions.len(),
            };
            judge_runs(reason, &[*call], &executions, &mut report);
        }
    }
    report
}

/// Executions of one call without a key: by its request id where the logical request was called
/// several times, since executions for the others are no repeats of this one.
fn executions_of_call<'i, 'h>(
    history: &'i HistoryIndex<'h>,
    call: &Call<'h>,
    is_only_call: bool,
) -> Vec<&'i Execution<'h>> {
    if is_only_call {
        return history.executions_owned_by(call.owner);
    }
    let subject = call.request().cloned().map(Subject::Request);
    subject.map_or_else(Vec::new, |subject| history.executions_for(&subject))
}

fn judge_runs(
    reason: AtMostOnceBroken,
    calls: &[&Call<'_>],
    executions: &[&Execution<'_>],
    report: &mut PromiseReport,
) {
    if executions.len() > 1 {
        let starts = executions.iter().map(|execution| execution.started.index);
        let calls = calls.iter().flat_map(|call| call.events());
        let events: Vec<_> = calls.chain(starts).collect();
        report.broken(reason, &events);
    }
}

fn not_repeatable_calls<'i, 'h>(
    history: &'i HistoryIndex<'h>,
) -> BTreeMap<LogicalRequest<'h>, Vec<&'i Call<'h>>> {
    let mut by_owner = history.calls_by_owner();
    by_owner.retain(|_, calls| {
        calls.retain(|call| call.sent.what.at_most_once);
        !calls.is_empty()
    });
    by_owner
}
