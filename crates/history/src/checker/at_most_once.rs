//! Promise 6: a request marked as not repeatable runs at most once.
//!
//! Every execution counts, also one that resumed another or failed. With an idempotency key all
//! calls under the key are one request; without one each call stands alone.

use std::collections::BTreeMap;

use havenstage_types::ids::{IdempotencyKey, RequestId};
use thiserror::Error;

use super::index::{Execution, HistoryIndex, LogicalRequest};
use super::outcome::PromiseReport;
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
    /// Several executions of one request without a key.
    #[error("request {request} ran {runs} times")]
    RequestRanAgain {
        /// The request.
        request: RequestId,
        /// Number of executions.
        runs: usize,
    },
}

/// Judges the promise.
pub(super) fn judge(history: &HistoryIndex<'_>) -> PromiseReport {
    let mut report = PromiseReport::default();
    let mut keys: BTreeMap<&IdempotencyKey, Vec<usize>> = BTreeMap::new();
    let not_repeatable = history
        .calls
        .values()
        .filter(|call| call.sent.what.at_most_once);
    for call in not_repeatable {
        report.fact();
        if let LogicalRequest::Key(key) = call.owner {
            keys.entry(key).or_default().extend(call.events());
        } else if let Some(request) = call.request() {
            let executions = history.executions_for(&Subject::Request(request.clone()));
            let reason = AtMostOnceBroken::RequestRanAgain {
                request: request.clone(),
                runs: executions.len(),
            };
            judge_runs(reason, call.events(), &executions, &mut report);
        }
    }
    for (key, events) in keys {
        let executions = history.executions_owned_by(LogicalRequest::Key(key));
        let reason = AtMostOnceBroken::KeyRanAgain {
            key: key.clone(),
            runs: executions.len(),
        };
        judge_runs(reason, events, &executions, &mut report);
    }
    report
}

fn judge_runs(
    reason: AtMostOnceBroken,
    mut events: Vec<usize>,
    executions: &[&Execution<'_>],
    report: &mut PromiseReport,
) {
    if executions.len() > 1 {
        let starts = executions.iter().map(|execution| execution.started.index);
        events.extend(starts);
        report.broken(reason, &events);
    }
}
