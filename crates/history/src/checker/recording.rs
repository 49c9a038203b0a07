//! Contradictions within a recording, which make its verdicts worthless.

use std::collections::{BTreeMap, BTreeSet};

use havenstage_types::ids::{EngineName, VersionNumber};
use thiserror::Error;

use super::index::{HistoryIndex, call_ending};
use crate::event::EventBody;
use crate::event::caller::CallId;
use crate::event::engine::{ExecutionEnded, ExecutionId};

/// A contradiction within the recording.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("event {event}: {kind}")]
pub struct RecordingFault {
    /// Index of the event.
    pub event: usize,
    /// What is wrong with it.
    pub kind: RecordingFaultKind,
}

/// What is wrong with a recorded event.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordingFaultKind {
    /// A call was sent twice under one identity.
    #[error("call {0} is sent a second time")]
    CallSentTwice(CallId),
    /// A call ended that was never sent.
    #[error("call {0} ends but was never sent")]
    CallNeverSent(CallId),
    /// An execution started twice.
    #[error("execution {0} starts a second time")]
    ExecutionStartedTwice(ExecutionId),
    /// An execution ended twice.
    #[error("execution {0} ends a second time")]
    ExecutionEndedTwice(ExecutionId),
    /// An execution ended that never started.
    #[error("execution {0} ends but never started")]
    ExecutionNeverStarted(ExecutionId),
    /// An engine produced tokens with a version that it never reported as current.
    #[error("execution {execution} used version {version}, which was never current on its engine")]
    VersionNeverCurrent {
        /// The execution.
        execution: ExecutionId,
        /// The version.
        version: VersionNumber,
    },
}

/// Finds all contradictions.
pub(super) fn faults(history: &HistoryIndex<'_>) -> Vec<RecordingFault> {
    let current = versions_current(history);
    let mut sent = BTreeSet::new();
    let mut started = BTreeSet::new();
    let mut ended = BTreeSet::new();
    let mut faults = Vec::new();
    for (event, recorded) in history.events.iter().enumerate() {
        let mut fault = |kind| faults.push(RecordingFault { event, kind });
        match &recorded.body {
            EventBody::CallSent(call) if !sent.insert(&call.call) => {
                fault(RecordingFaultKind::CallSentTwice(call.call.clone()));
            }
            EventBody::ExecutionStarted(start) if !started.insert(&start.execution) => {
                let execution = start.execution.clone();
                fault(RecordingFaultKind::ExecutionStartedTwice(execution));
            }
            EventBody::ExecutionEnded(end) => {
                let execution = end.execution.clone();
                if !history.executions.contains_key(&execution) {
                    fault(RecordingFaultKind::ExecutionNeverStarted(execution.clone()));
                }
                if !ended.insert(&end.execution) {
                    fault(RecordingFaultKind::ExecutionEndedTwice(execution.clone()));
                }
                for version in versions_never_current(&current, end) {
                    let execution = execution.clone();
                    fault(RecordingFaultKind::VersionNeverCurrent { execution, version });
                }
            }
            body => {
                let call = call_ending(body).map(|ending| ending.call());
                if let Some(call) = call.filter(|call| !history.calls.contains_key(call)) {
                    fault(RecordingFaultKind::CallNeverSent(call.clone()));
                }
            }
        }
    }
    faults
}

type VersionsCurrent<'h> = BTreeMap<(&'h EngineName, u64), BTreeSet<VersionNumber>>;

/// Versions each engine process ever reported as current. Processes without a report are absent.
fn versions_current<'h>(history: &HistoryIndex<'h>) -> VersionsCurrent<'h> {
    let mut current = VersionsCurrent::new();
    for event in history.events {
        if let EventBody::EngineVersionCurrent(report) = &event.body {
            let versions = current.entry((&report.engine, report.boot)).or_default();
            versions.insert(report.version);
        }
    }
    current
}

/// Versions of an execution that its engine process, if it reported any, never reported.
fn versions_never_current(
    current: &VersionsCurrent<'_>,
    ended: &ExecutionEnded,
) -> Vec<VersionNumber> {
    let process = (&ended.execution.engine, ended.execution.boot);
    let Some(reported) = current.get(&process) else {
        return Vec::new();
    };
    let used = ended.segments.0.iter().map(|segment| segment.version);
    used.filter(|version| !reported.contains(version)).collect()
}
