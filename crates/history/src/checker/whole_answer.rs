//! Promise 4: every caller receives the whole answer to its own request.
//!
//! An answer must equal, to its last token, the record of an execution that was made for the same
//! logical request with the same prompt. Every call must end in time, by an answer or a refusal,
//! unless the caller gave up, or the death or freeze of its node or a cut link explains why not.

use thiserror::Error;

use super::bounds::Bounds;
use super::chain::chains;
use super::index::{Call, CallEnding, Execution, HistoryIndex, Seen};
use super::outcome::PromiseReport;
use crate::event::caller::{BrokenCause, CallAnswered, CallBroken, CallId};
use crate::event::engine::{ExecutionEnded, ExecutionOutcome};

/// How the promise of the whole answer was broken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WholeAnswerBroken {
    /// The answer is what an engine produced for another request.
    #[error("call {0} got the answer to another request")]
    OfAnotherRequest(CallId),
    /// The answer is shorter than what the engine produced.
    #[error("call {call} got {told} tokens as a whole answer of {produced}")]
    Truncated {
        /// The call.
        call: CallId,
        /// Tokens told.
        told: u32,
        /// Tokens produced.
        produced: u32,
    },
    /// No engine produced the answer.
    #[error("call {0} got an answer that no engine produced for it")]
    NotProduced(CallId),
    /// The answer continues tokens that were not produced for this request.
    #[error("the answer to call {0} continues tokens of another request")]
    ResumedForeignTokens(CallId),
    /// A call got two endings.
    #[error("call {0} ended twice")]
    EndedTwice(CallId),
    /// A call got neither an answer nor a refusal.
    #[error("call {0} got neither an answer nor a refusal")]
    NoFinalAnswer(CallId),
    /// A final answer came after the deadline and its grace.
    #[error("call {call} got its final answer {late_ms} ms too late")]
    Late {
        /// The call.
        call: CallId,
        /// Milliseconds after the deadline and its grace.
        late_ms: u64,
    },
}

/// Judges the promise.
pub(super) fn judge(history: &HistoryIndex<'_>, bounds: &Bounds) -> PromiseReport {
    let mut report = PromiseReport::default();
    for call in history.calls.values() {
        judge_ending(history, bounds, call, &mut report);
        judge_answers(history, call, &mut report);
    }
    report
}

/// Executions that produced exactly this answer for the logical request of the call.
pub(super) fn producers<'i, 'h>(
    history: &'i HistoryIndex<'h>,
    call: &Call<'h>,
    answered: &CallAnswered,
) -> Vec<&'i Execution<'h>> {
    let mut producers = own_executions(history, call);
    producers.retain(|execution| {
        execution
            .ended
            .is_some_and(|ended| is_answer(execution, ended.what, answered))
    });
    producers
}

/// Latest time, in milliseconds, at which a call must have ended.
pub(super) fn due_ms(call: &Call<'_>, bounds: &Bounds) -> u64 {
    let deadline_ms = call.sent.what.deadline_ms;
    let allowed_ms = deadline_ms.unwrap_or(bounds.default_deadline_ms);
    let deadline_at_ms = call.sent.at_ms.saturating_add(allowed_ms);
    deadline_at_ms.saturating_add(bounds.deadline_grace_ms)
}

fn judge_ending(
    history: &HistoryIndex<'_>,
    bounds: &Bounds,
    call: &Call<'_>,
    report: &mut PromiseReport,
) {
    let due_ms = due_ms(call, bounds);
    let Some(ending) = call.ending() else {
        judge_open_call(history, call, due_ms, report);
        return;
    };
    report.fact();
    if call.endings.len() > 1 {
        let reason = WholeAnswerBroken::EndedTwice(call.sent.what.call.clone());
        report.broken(reason, &call.events());
    }
    if is_excused(history, call, ending.at_ms) {
        return;
    }
    match ending.what {
        CallEnding::Broken(broken) => judge_broken(call, broken, report),
        CallEnding::Answered(_) | CallEnding::Refused(_) if ending.at_ms > due_ms => {
            let reason = WholeAnswerBroken::Late {
                call: call.sent.what.call.clone(),
                late_ms: ending.at_ms - due_ms,
            };
            report.broken(reason, &call.events());
        }
        CallEnding::Answered(_) | CallEnding::Refused(_) => {}
    }
}

fn judge_open_call(
    history: &HistoryIndex<'_>,
    call: &Call<'_>,
    due_ms: u64,
    report: &mut PromiseReport,
) {
    if history.end_ms <= due_ms {
        return;
    }
    report.fact();
    if !is_excused(history, call, history.end_ms) {
        let reason = WholeAnswerBroken::NoFinalAnswer(call.sent.what.call.clone());
        report.broken(reason, &call.events());
    }
}

fn judge_broken(call: &Call<'_>, broken: &CallBroken, report: &mut PromiseReport) {
    match broken.cause {
        BrokenCause::NotConnected | BrokenCause::Abandoned => {}
        BrokenCause::Reset | BrokenCause::StreamTruncated | BrokenCause::TimedOut => {
            let reason = WholeAnswerBroken::NoFinalAnswer(broken.call.clone());
            report.broken(reason, &call.events());
        }
    }
}

fn judge_answers(history: &HistoryIndex<'_>, call: &Call<'_>, report: &mut PromiseReport) {
    for ending in &call.endings {
        let CallEnding::Answered(answered) = ending.what else {
            continue;
        };
        let producers = producers(history, call, answered);
        if producers.is_empty() {
            judge_unproduced(history, call, ending, answered, report);
            continue;
        }
        let is_own = |producer: &&Execution<'_>| chains(history, producer).is_possible();
        if !producers.iter().any(is_own) {
            let reason = WholeAnswerBroken::ResumedForeignTokens(answered.call.clone());
            let mut events = vec![ending.index];
            events.extend(producers.iter().flat_map(|producer| producer.events()));
            report.broken(reason, &events);
        }
    }
}

fn judge_unproduced(
    history: &HistoryIndex<'_>,
    call: &Call<'_>,
    ending: &Seen<CallEnding<'_>>,
    answered: &CallAnswered,
    report: &mut PromiseReport,
) {
    let own = own_executions(history, call);
    let longer = own.iter().find(|execution| {
        let token_count = execution
            .ended
            .map(|ended| whole_count(execution, ended.what));
        token_count.is_some_and(|produced| produced > answered.token_count)
    });
    let foreign = history.executions.values().find(|execution| {
        let text = execution.ended.map(|ended| ended.what.text);
        text == Some(answered.text) && !is_among(execution, &own)
    });
    let call = answered.call.clone();
    if let Some(foreign) = foreign {
        let reason = WholeAnswerBroken::OfAnotherRequest(call);
        report.broken(reason, &[vec![ending.index], foreign.events()].concat());
    } else if let Some(longer) = longer {
        let produced = longer.ended.map(|ended| whole_count(longer, ended.what));
        let reason = WholeAnswerBroken::Truncated {
            call,
            told: answered.token_count,
            produced: produced.unwrap_or(0),
        };
        report.broken(reason, &[vec![ending.index], longer.events()].concat());
    } else {
        let reason = WholeAnswerBroken::NotProduced(call);
        report.broken(reason, &[ending.index]);
    }
}

fn own_executions<'i, 'h>(
    history: &'i HistoryIndex<'h>,
    call: &Call<'h>,
) -> Vec<&'i Execution<'h>> {
    let mut own = history.executions_owned_by(call.owner);
    own.retain(|execution| execution.started.what.prompt == call.sent.what.prompt);
    own
}

fn is_among(execution: &Execution<'_>, others: &[&Execution<'_>]) -> bool {
    others
        .iter()
        .any(|other| other.started.index == execution.started.index)
}

fn is_answer(execution: &Execution<'_>, ended: &ExecutionEnded, answered: &CallAnswered) -> bool {
    ended.outcome == ExecutionOutcome::Finished(answered.finish)
        && ended.text == answered.text
        && whole_count(execution, ended) == answered.token_count
}

fn whole_count(execution: &Execution<'_>, ended: &ExecutionEnded) -> u32 {
    execution.started.what.resumed_tokens + ended.segments.token_count()
}

fn is_excused(history: &HistoryIndex<'_>, call: &Call<'_>, to_ms: u64) -> bool {
    let sent = call.sent.what;
    let from_ms = call.sent.at_ms;
    history
        .faults
        .excuse_call(&sent.call.caller, sent.node, from_ms, to_ms)
}
