//! Promise 1: every sample and every answer names the weight versions that produced it.
//!
//! The engines' own records are the truth. What a trainer or caller was told must equal the
//! record of the execution that finished it, joined to the used parts of those it resumed.
//! Answers that no execution produced are left to [`super::whole_answer`].

use havenstage_types::ids::SampleId;
use havenstage_types::version::VersionSegments;
use thiserror::Error;

use super::chain::chains;
use super::index::{Call, CallEnding, Execution, HistoryIndex, Seen};
use super::outcome::PromiseReport;
use super::whole_answer::producers;
use crate::event::EventBody;
use crate::event::caller::CallId;
use crate::event::engine::{AttemptLabel, ExecutionOutcome, Subject};
use crate::event::trainer::SampleReceived;

/// How the promise of true versions was broken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TrueVersionsBroken {
    /// No engine finished this sample under the attempt named.
    #[error("no engine produced these tokens of sample {sample} under attempt {attempt}")]
    SampleNotProduced {
        /// The sample.
        sample: SampleId,
        /// The attempt named.
        attempt: AttemptLabel,
    },
    /// A trainer was told other versions than the engines used.
    #[error("sample {sample} names other versions than those that produced it")]
    SampleVersions {
        /// The sample.
        sample: SampleId,
        /// Versions told.
        told: VersionSegments,
    },
    /// A caller was told other versions than the engines used.
    #[error("the answer to call {call} names other versions than those that produced it")]
    AnswerVersions {
        /// The call.
        call: CallId,
        /// Versions told.
        told: VersionSegments,
    },
}

/// Judges the promise.
pub(super) fn judge(history: &HistoryIndex<'_>) -> PromiseReport {
    let mut report = PromiseReport::default();
    let samples = history.select(|body| match body {
        EventBody::SampleReceived(received) => Some(received),
        _ => None,
    });
    for received in samples {
        judge_sample(history, received, &mut report);
    }
    for call in history.calls.values() {
        judge_answer(history, call, &mut report);
    }
    report
}

fn judge_sample(
    history: &HistoryIndex<'_>,
    received: Seen<&SampleReceived>,
    report: &mut PromiseReport,
) {
    report.fact();
    let told = received.what;
    let producers = sample_producers(history, told);
    if producers.is_empty() {
        let reason = TrueVersionsBroken::SampleNotProduced {
            sample: told.sample.clone(),
            attempt: told.attempt.clone(),
        };
        report.broken(reason, &[received.index]);
        return;
    }
    if all_rule_out(history, &producers, &told.segments) {
        let reason = TrueVersionsBroken::SampleVersions {
            sample: told.sample.clone(),
            told: told.segments.clone(),
        };
        report.broken(reason, &with_events(vec![received.index], &producers));
    }
}

fn judge_answer(history: &HistoryIndex<'_>, call: &Call<'_>, report: &mut PromiseReport) {
    for ending in &call.endings {
        let CallEnding::Answered(answered) = ending.what else {
            continue;
        };
        report.fact();
        let producers = producers(history, call, answered);
        if !producers.is_empty() && all_rule_out(history, &producers, &answered.segments) {
            let reason = TrueVersionsBroken::AnswerVersions {
                call: answered.call.clone(),
                told: answered.segments.clone(),
            };
            report.broken(reason, &with_events(vec![ending.index], &producers));
        }
    }
}

/// Executions that finished the sample under the attempt named with exactly these tokens.
pub(super) fn sample_producers<'i, 'h>(
    history: &'i HistoryIndex<'h>,
    received: &SampleReceived,
) -> Vec<&'i Execution<'h>> {
    let subject = Subject::Sample(received.sample.clone());
    let mut producers = history.executions_for(&subject);
    producers.retain(|execution| {
        let is_attempt = execution.started.what.attempt == received.attempt;
        is_attempt
            && execution.ended.is_some_and(|ended| {
                matches!(ended.what.outcome, ExecutionOutcome::Finished(_))
                    && ended.what.tokens == received.tokens
            })
    });
    producers
}

fn all_rule_out(
    history: &HistoryIndex<'_>,
    producers: &[&Execution<'_>],
    told: &VersionSegments,
) -> bool {
    producers
        .iter()
        .all(|producer| chains(history, producer).rule_out(told))
}

fn with_events(mut events: Vec<usize>, executions: &[&Execution<'_>]) -> Vec<usize> {
    events.extend(executions.iter().flat_map(|execution| execution.events()));
    events
}
