//! Judges a history against the nine promises.
//!
//! The checker reports only sure violations: whatever the recorded events leave open counts in
//! favour of the system. A promise that no event touched is reported as not exercised.

mod at_most_once;
mod bounds;
mod chain;
mod config_in_force;
mod config_index;
mod exactly_once;
mod fault_index;
mod index;
mod leaving_back_end;
mod not_run;
mod outcome;
mod planned_stop;
mod promise;
mod recording;
mod staleness;
mod true_versions;
mod whole_answer;

pub use at_most_once::AtMostOnceBroken;
pub use bounds::{Bounds, JobBounds};
pub use config_in_force::ConfigBroken;
pub use exactly_once::ExactlyOnceBroken;
pub use leaving_back_end::LeavingBackEndBroken;
pub use not_run::NotRunBroken;
pub use outcome::{CheckReport, PromiseReport, Reason, Verdict, Violation};
pub use planned_stop::PlannedStopBroken;
pub use promise::Promise;
pub use recording::{RecordingFault, RecordingFaultKind};
pub use staleness::StalenessBroken;
pub use true_versions::TrueVersionsBroken;
pub use whole_answer::WholeAnswerBroken;

use crate::event::HistoryEvent;
use index::HistoryIndex;

/// Judges `events` against all nine promises. The events may come in any order; their times
/// decide, and for equal times their order.
pub fn check(events: &[HistoryEvent], bounds: &Bounds) -> CheckReport {
    let history = HistoryIndex::new(events);
    let mut report = CheckReport {
        recording_faults: recording::faults(&history),
        unassigned_executions: history.unassigned_executions(),
        ..CheckReport::default()
    };
    for promise in Promise::ALL {
        let findings = judge(promise, &history, bounds);
        report.promises.insert(promise, findings);
    }
    report
}

fn judge(promise: Promise, history: &HistoryIndex<'_>, bounds: &Bounds) -> PromiseReport {
    match promise {
        Promise::TrueVersions => true_versions::judge(history),
        Promise::StalenessBound => staleness::judge(history, bounds),
        Promise::ExactlyOnce => exactly_once::judge(history, bounds),
        Promise::WholeAnswer => whole_answer::judge(history, bounds),
        Promise::NotRunIsTrue => not_run::judge(history),
        Promise::AtMostOnce => at_most_once::judge(history),
        Promise::LeavingBackEnd => leaving_back_end::judge(history, bounds),
        Promise::PlannedStop => planned_stop::judge(history, bounds),
        Promise::ConfigInForce => config_in_force::judge(history, bounds),
    }
}
