//! What the checker found.

use std::collections::BTreeMap;

use thiserror::Error;

use super::at_most_once::AtMostOnceBroken;
use super::config_in_force::ConfigBroken;
use super::exactly_once::ExactlyOnceBroken;
use super::leaving_back_end::LeavingBackEndBroken;
use super::not_run::NotRunBroken;
use super::planned_stop::PlannedStopBroken;
use super::promise::Promise;
use super::recording::RecordingFault;
use super::staleness::StalenessBroken;
use super::true_versions::TrueVersionsBroken;
use super::whole_answer::WholeAnswerBroken;

/// The verdict on a whole history.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CheckReport {
    /// One report for each promise.
    pub promises: BTreeMap<Promise, PromiseReport>,
    /// Contradictions within the recording itself. A history that has any proves nothing.
    pub recording_faults: Vec<RecordingFault>,
    /// Number of executions for live requests that could not be assigned to any call, because
    /// nobody learned the request id and the prompt belongs to no or to several logical requests.
    /// They were not counted for "not run" and at most once. A workload whose logical requests
    /// have prompts of their own, and whose callers all record, leaves none.
    pub unassigned_executions: usize,
}

impl CheckReport {
    /// Whether no promise is broken and the recording is sound. Promises that were not exercised
    /// do not count against it; ask [`CheckReport::not_exercised`] for them.
    pub fn is_clean(&self) -> bool {
        self.recording_faults.is_empty() && self.broken().is_empty()
    }

    /// Promises that are broken.
    pub fn broken(&self) -> Vec<Promise> {
        self.with_verdict(Verdict::Broken)
    }

    /// Promises on which the history says nothing.
    pub fn not_exercised(&self) -> Vec<Promise> {
        self.with_verdict(Verdict::NotExercised)
    }

    /// The verdict on one promise.
    pub fn verdict(&self, promise: Promise) -> Verdict {
        self.promises
            .get(&promise)
            .map_or(Verdict::NotExercised, PromiseReport::verdict)
    }

    fn with_verdict(&self, verdict: Verdict) -> Vec<Promise> {
        self.promises
            .iter()
            .filter(|(_, report)| report.verdict() == verdict)
            .map(|(promise, _)| *promise)
            .collect()
    }
}

/// What was found about one promise.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PromiseReport {
    /// Number of facts that could have broken it.
    pub facts: u64,
    /// What broke it.
    pub violations: Vec<Violation>,
}

impl PromiseReport {
    /// The verdict.
    pub fn verdict(&self) -> Verdict {
        if !self.violations.is_empty() {
            Verdict::Broken
        } else if self.facts == 0 {
            Verdict::NotExercised
        } else {
            Verdict::Kept
        }
    }

    /// Counts one fact that could have broken the promise.
    pub(super) fn fact(&mut self) {
        self.facts += 1;
    }

    /// Adds a violation that the events at `events` show.
    pub(super) fn broken(&mut self, reason: impl Into<Reason>, events: &[usize]) {
        let mut events = events.to_vec();
        events.sort_unstable();
        events.dedup();
        self.violations.push(Violation {
            reason: reason.into(),
            events,
        });
    }
}

/// Verdict on one promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Facts were checked and none broke it.
    Kept,
    /// At least one fact broke it.
    Broken,
    /// No fact could have broken it, so nothing is shown.
    NotExercised,
}

/// One way in which a promise was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// What is wrong.
    pub reason: Reason,
    /// Indices of the events that show it, in ascending order.
    pub events: Vec<usize>,
}

/// What is wrong, by promise.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Reason {
    /// See [`Promise::TrueVersions`].
    #[error(transparent)]
    TrueVersions(#[from] TrueVersionsBroken),
    /// See [`Promise::StalenessBound`].
    #[error(transparent)]
    StalenessBound(#[from] StalenessBroken),
    /// See [`Promise::ExactlyOnce`].
    #[error(transparent)]
    ExactlyOnce(#[from] ExactlyOnceBroken),
    /// See [`Promise::WholeAnswer`].
    #[error(transparent)]
    WholeAnswer(#[from] WholeAnswerBroken),
    /// See [`Promise::NotRunIsTrue`].
    #[error(transparent)]
    NotRun(#[from] NotRunBroken),
    /// See [`Promise::AtMostOnce`].
    #[error(transparent)]
    AtMostOnce(#[from] AtMostOnceBroken),
    /// See [`Promise::LeavingBackEnd`].
    #[error(transparent)]
    LeavingBackEnd(#[from] LeavingBackEndBroken),
    /// See [`Promise::PlannedStop`].
    #[error(transparent)]
    PlannedStop(#[from] PlannedStopBroken),
    /// See [`Promise::ConfigInForce`].
    #[error(transparent)]
    Config(#[from] ConfigBroken),
}
