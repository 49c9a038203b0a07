//! Promise 7: a back end that is leaving receives no new work after the grace time.
//!
//! The grace time runs from each word of leaving (operator, machine list, the engine's own) until
//! that word is withdrawn. An execution that resumes another counts as new work.

use std::collections::BTreeMap;

use havenstage_types::ids::EngineName;
use thiserror::Error;

use super::bounds::Bounds;
use super::index::{HistoryIndex, Seen};
use super::outcome::PromiseReport;
use crate::event::EventBody;
use crate::event::engine::{ExecutionId, LeavingOrigin, WorkWhileLeaving};

/// How the promise about leaving back ends was broken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LeavingBackEndBroken {
    /// An execution started after the grace time.
    #[error("execution {execution} started {after_ms} ms after its engine was to leave")]
    NewWork {
        /// The execution.
        execution: ExecutionId,
        /// Milliseconds since the word of leaving.
        after_ms: u64,
    },
    /// The engine complains of new work after the grace time.
    #[error("engine was asked for {execution} {after_ms} ms after it said that it leaves")]
    EngineComplained {
        /// The execution asked for.
        execution: ExecutionId,
        /// Milliseconds since its word.
        after_ms: u64,
    },
}

/// A period in which an engine was to leave.
#[derive(Debug, Clone, Copy)]
struct Leaving {
    from_ms: u64,
    until_ms: Option<u64>,
    event: usize,
    origin: LeavingOrigin,
}

impl Leaving {
    fn forbids_work_at(&self, at_ms: u64, bounds: &Bounds) -> bool {
        let grace_over_ms = self.from_ms.saturating_add(bounds.leaving_grace_ms);
        at_ms > grace_over_ms && self.until_ms.is_none_or(|until_ms| at_ms < until_ms)
    }
}

/// Judges the promise.
pub(super) fn judge(history: &HistoryIndex<'_>, bounds: &Bounds) -> PromiseReport {
    let mut report = PromiseReport::default();
    let periods = leaving_periods(history);
    for leaving in periods.values().flatten() {
        let last_ms = leaving.until_ms.unwrap_or(history.end_ms);
        if last_ms > leaving.from_ms.saturating_add(bounds.leaving_grace_ms) {
            report.fact();
        }
    }
    for execution in history.executions.values() {
        let started = execution.started;
        let id = &started.what.execution;
        let forbidding = periods
            .get(&id.engine)
            .into_iter()
            .flatten()
            .find(|leaving| leaving.forbids_work_at(started.at_ms, bounds));
        if let Some(leaving) = forbidding {
            let reason = LeavingBackEndBroken::NewWork {
                execution: id.clone(),
                after_ms: started.at_ms - leaving.from_ms,
            };
            report.broken(reason, &[leaving.event, started.index]);
        }
    }
    judge_complaints(history, bounds, &mut report);
    report
}

fn judge_complaints(history: &HistoryIndex<'_>, bounds: &Bounds, report: &mut PromiseReport) {
    let complaints = history.select(|body| match body {
        EventBody::WorkWhileLeaving(complaint) => Some(complaint),
        _ => None,
    });
    for complaint in complaints {
        let complaint: Seen<&WorkWhileLeaving> = complaint;
        report.fact();
        if complaint.what.leaving_for_ms > bounds.leaving_grace_ms {
            let reason = LeavingBackEndBroken::EngineComplained {
                execution: complaint.what.execution.clone(),
                after_ms: complaint.what.leaving_for_ms,
            };
            report.broken(reason, &[complaint.index]);
        }
    }
}

fn leaving_periods<'h>(history: &HistoryIndex<'h>) -> BTreeMap<&'h EngineName, Vec<Leaving>> {
    let mut ordered: Vec<_> = history.events.iter().enumerate().collect();
    ordered.sort_by_key(|(index, event)| (event.at_ms, *index));
    let mut periods: BTreeMap<_, Vec<Leaving>> = BTreeMap::new();
    for (index, event) in ordered {
        match &event.body {
            EventBody::BackEndLeaving(leaving) => {
                let known = periods.entry(&leaving.engine).or_default();
                if !known.iter().any(|open| is_open(open, leaving.origin)) {
                    known.push(Leaving {
                        from_ms: event.at_ms,
                        until_ms: None,
                        event: index,
                        origin: leaving.origin,
                    });
                }
            }
            EventBody::BackEndReturned(returned) => {
                let known = periods.entry(&returned.engine).or_default();
                let open = known.iter_mut().find(|open| is_open(open, returned.origin));
                if let Some(open) = open {
                    open.until_ms = Some(event.at_ms);
                }
            }
            _ => {}
        }
    }
    periods
}

fn is_open(leaving: &Leaving, origin: LeavingOrigin) -> bool {
    leaving.origin == origin && leaving.until_ms.is_none()
}
