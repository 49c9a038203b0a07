//! What came of a run, counted from the records of stand-ins and callers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use havenstage_history::checker::{CheckReport, Promise, Reason, WholeAnswerBroken};
use havenstage_history::event::engine::Subject;
use havenstage_history::event::{EventBody, HistoryEvent};
use havenstage_standin::trainer::{DeliveryRecord, TrainerRecord};
use havenstage_types::ids::{IdempotencyKey, RequestId};
use havenstage_types::job::{DropReason, JobRecord};
use hdrhistogram::Histogram;
use serde::Serialize;

use super::callers::CallerRecord;
use super::chaos::ChaosRecord;
use super::evidence::{JobStream, call_end};

/// Highest latency that is told apart, in microseconds.
const HIGHEST_LATENCY_US: u64 = 60_000_000;

/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 3;

/// Violations of one promise that are shown.
const VIOLATIONS_SHOWN: usize = 5;

/// Everything that is told at the end.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// Whether the job ended, nothing was lost or doubled, and no promise is broken.
    pub ok: bool,
    /// Samples of the job.
    pub samples: SampleSummary,
    /// The trainer.
    pub trainer: TrainerSummary,
    /// Live calls.
    pub live: LiveSummary,
    /// Requests that must run at most once.
    pub at_most_once: AtMostOnceSummary,
    /// Faults and planned work during the run; `None` without them.
    pub chaos: Option<ChaosRecord>,
    /// The promises.
    pub promises: Vec<PromiseSummary>,
    /// Contradictions within the recording; with any, the verdicts are worth nothing.
    pub recording_faults: Vec<String>,
}

/// Samples, from the trainer's and the log's records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SampleSummary {
    /// Samples the job was asked for.
    pub wanted: u64,
    /// Different samples that the trainer got.
    pub delivered: u64,
    /// Deliveries of a sample that the trainer had already.
    pub doubled: u64,
    /// Samples that the trainer never got.
    pub lost: u64,
    /// Delivered samples with tokens of more than one version.
    pub crossing_a_swap: u64,
    /// Tokens of delivered samples, by version.
    pub tokens_by_version: BTreeMap<u64, u64>,
    /// Segments of delivered samples, by version.
    pub segments_by_version: BTreeMap<u64, u64>,
    /// Attempts given up, by reason, as the log has them.
    pub dropped: BTreeMap<&'static str, u64>,
    /// Finished samples in the log that did not count (second for their slot, or too stale).
    pub set_aside: u64,
}

/// The trainer, from its own record.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TrainerSummary {
    /// Steps trained.
    pub steps: u64,
    /// Milliseconds it waited for samples.
    pub idle_ms: u64,
    /// Milliseconds it trained.
    pub training_ms: u64,
    /// Share of the time that it waited, from 0 to 1.
    pub idle_share: f64,
    /// Delivered samples by the number of versions their oldest token was behind the trainer.
    pub staleness: BTreeMap<u64, u64>,
}

/// Live calls, from the callers' own records.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LiveSummary {
    /// Requests made.
    pub requests: u64,
    /// Requests that got a whole answer.
    pub answered: u64,
    /// Requests that ended by a refusal, by code.
    pub refused: BTreeMap<String, u64>,
    /// Requests without a final answer.
    pub unanswered: u64,
    /// Calls made again after a refusal as not run.
    pub retries: u64,
    /// Repeats under the same key at another node.
    pub repeats: u64,
    /// Answers that were cut short.
    pub answers_cut: u64,
    /// Answers that belong to another request, or to none.
    pub answers_mixed_up: u64,
    /// Milliseconds to the first text of streamed answers.
    pub first_text_ms: Percentiles,
    /// Milliseconds to the end of answers.
    pub whole_answer_ms: Percentiles,
}

/// Percentiles of a latency, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Percentiles {
    /// Half of all are below.
    pub p50: f64,
    /// Nine of ten are below.
    pub p90: f64,
    /// 99 of 100 are below.
    pub p99: f64,
}

/// Requests that must run at most once, from the engines' records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct AtMostOnceSummary {
    /// Keys used.
    pub keys: u64,
    /// Keys under which nothing ran.
    pub ran_never: u64,
    /// Keys under which one execution ran.
    pub ran_once: u64,
    /// Keys under which more ran.
    pub ran_more: u64,
}

/// One promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PromiseSummary {
    /// The promise.
    pub promise: String,
    /// Kept, BROKEN or not exercised.
    pub verdict: String,
    /// Facts that could have broken it.
    pub facts: u64,
    /// What broke it; the first few.
    pub violations: Vec<String>,
}

/// What a summary is made from.
pub struct Sources<'a> {
    /// Samples the job was asked for.
    pub wanted: u64,
    /// The trainer's record.
    pub trainer: &'a TrainerRecord,
    /// The job's stream.
    pub stream: &'a JobStream,
    /// The callers' records.
    pub callers: &'a CallerRecord,
    /// The whole history.
    pub history: &'a [HistoryEvent],
    /// Its verdict.
    pub report: &'a CheckReport,
    /// Faults and planned work.
    pub chaos: Option<ChaosRecord>,
}

impl Summary {
    /// Counts.
    pub fn new(sources: &Sources<'_>) -> Self {
        let samples = samples(sources);
        let live = live(sources.callers, sources.report);
        let all_there = sources.trainer.finished && samples.lost == 0 && samples.doubled == 0;
        Self {
            ok: all_there && sources.report.is_clean() && live.unanswered == 0,
            samples,
            trainer: trainer(sources.trainer),
            live,
            at_most_once: at_most_once(sources.history),
            chaos: sources.chaos.clone(),
            promises: promises(sources.report),
            recording_faults: sources
                .report
                .recording_faults
                .iter()
                .map(ToString::to_string)
                .collect(),
        }
    }
}

fn samples(sources: &Sources<'_>) -> SampleSummary {
    let deliveries = &sources.trainer.deliveries;
    let mut first: BTreeMap<_, &DeliveryRecord> = BTreeMap::new();
    for delivery in deliveries {
        first.entry(&delivery.sample).or_insert(delivery);
    }
    let delivered = first.len() as u64;
    let mut summary = SampleSummary {
        wanted: sources.wanted,
        delivered,
        doubled: deliveries.len() as u64 - delivered,
        lost: sources.wanted.saturating_sub(delivered),
        crossing_a_swap: 0,
        tokens_by_version: BTreeMap::new(),
        segments_by_version: BTreeMap::new(),
        dropped: dropped(sources.stream),
        set_aside: committed(sources.stream).saturating_sub(delivered),
    };
    for delivery in first.values() {
        let segments = &delivery.segments.0;
        summary.crossing_a_swap += u64::from(segments.len() > 1);
        for segment in segments {
            let version = segment.version.0;
            let tokens = summary.tokens_by_version.entry(version).or_default();
            *tokens += u64::from(segment.token_count);
            *summary.segments_by_version.entry(version).or_default() += 1;
        }
    }
    summary
}

fn committed(stream: &JobStream) -> u64 {
    let records = stream.iter();
    let committed = records.filter(|(_, record)| matches!(record, JobRecord::SampleCommitted(_)));
    committed.count() as u64
}

fn dropped(stream: &JobStream) -> BTreeMap<&'static str, u64> {
    let mut dropped = BTreeMap::new();
    for (_, record) in stream {
        if let JobRecord::SampleDropped(drop) = record {
            *dropped.entry(reason(&drop.reason)).or_default() += 1;
        }
    }
    dropped
}

fn reason(reason: &DropReason) -> &'static str {
    match reason {
        DropReason::TooStale { .. } => "too stale",
        DropReason::SlotFilled => "slot filled by another attempt",
        DropReason::StepNotOpen => "step not open",
        DropReason::EngineFailed(_) => "engine failed",
        DropReason::ScorerFailed => "scorer failed",
        DropReason::JobDeleted => "job deleted",
        DropReason::Malformed => "malformed",
        DropReason::RulesChanged => "rules changed",
    }
}

fn trainer(record: &TrainerRecord) -> TrainerSummary {
    let mut staleness = BTreeMap::new();
    for delivery in &record.deliveries {
        *staleness.entry(delivery.staleness).or_default() += 1;
    }
    TrainerSummary {
        steps: record.steps.len() as u64,
        idle_ms: record.steps.iter().map(|step| step.idle_ms).sum(),
        training_ms: record.steps.iter().map(|step| step.training_ms).sum(),
        idle_share: record.idle_share(),
        staleness,
    }
}

fn live(callers: &CallerRecord, report: &CheckReport) -> LiveSummary {
    let mut cut = 0;
    let mut mixed_up = 0;
    let findings = report.promises.get(&Promise::WholeAnswer);
    for violation in findings.iter().flat_map(|findings| &findings.violations) {
        match &violation.reason {
            Reason::WholeAnswer(WholeAnswerBroken::Truncated { .. }) => cut += 1,
            Reason::WholeAnswer(
                WholeAnswerBroken::OfAnotherRequest(_)
                | WholeAnswerBroken::NotProduced(_)
                | WholeAnswerBroken::ResumedForeignTokens(_),
            ) => mixed_up += 1,
            _ => {}
        }
    }
    LiveSummary {
        requests: callers.requests,
        answered: callers.answered,
        refused: callers.refused.clone(),
        unanswered: callers.unanswered,
        retries: callers.retries,
        repeats: callers.repeats,
        answers_cut: cut,
        answers_mixed_up: mixed_up,
        first_text_ms: percentiles(&callers.first_texts),
        whole_answer_ms: percentiles(&callers.totals),
    }
}

fn percentiles(latencies: &[Duration]) -> Percentiles {
    let Ok(mut histogram) =
        Histogram::<u64>::new_with_bounds(1, HIGHEST_LATENCY_US, LATENCY_DIGITS)
    else {
        return Percentiles::default();
    };
    for latency in latencies {
        let microseconds = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(microseconds);
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        p50: at(0.5),
        p90: at(0.9),
        p99: at(0.99),
    }
}

/// Counts the engines' executions for each key, over all request ids that were called under it.
fn at_most_once(history: &[HistoryEvent]) -> AtMostOnceSummary {
    let keys = keys_by_request(history);
    let mut runs: BTreeMap<&IdempotencyKey, u64> = BTreeMap::new();
    for key in keys.all {
        runs.insert(key, 0);
    }
    for event in history {
        if let EventBody::ExecutionStarted(started) = &event.body
            && let Subject::Request(request) = &started.subject
            && let Some(key) = keys.by_request.get(request)
        {
            *runs.entry(key).or_default() += 1;
        }
    }
    let count = |wanted: fn(u64) -> bool| {
        let counts = runs.values().copied();
        counts.filter(|count| wanted(*count)).count() as u64
    };
    AtMostOnceSummary {
        keys: runs.len() as u64,
        ran_never: count(|runs| runs == 0),
        ran_once: count(|runs| runs == 1),
        ran_more: count(|runs| runs > 1),
    }
}

struct Keys<'a> {
    all: BTreeSet<&'a IdempotencyKey>,
    by_request: BTreeMap<&'a RequestId, &'a IdempotencyKey>,
}

fn keys_by_request(history: &[HistoryEvent]) -> Keys<'_> {
    let mut by_call = BTreeMap::new();
    let mut by_request = BTreeMap::new();
    for event in history {
        if let EventBody::CallSent(sent) = &event.body {
            let key = sent.idempotency_key.as_ref().filter(|_| sent.at_most_once);
            by_call.extend(key.map(|key| (&sent.call, key)));
        }
        if let Some((call, request)) = call_end(&event.body)
            && let Some(key) = by_call.get(call)
        {
            by_request.insert(request, *key);
        }
    }
    Keys {
        all: by_call.into_values().collect(),
        by_request,
    }
}

fn promises(report: &CheckReport) -> Vec<PromiseSummary> {
    let findings = report.promises.iter();
    findings
        .map(|(promise, findings)| PromiseSummary {
            promise: promise.to_string(),
            verdict: findings.verdict().to_string(),
            facts: findings.facts,
            violations: findings
                .violations
                .iter()
                .take(VIOLATIONS_SHOWN)
                .map(ToString::to_string)
                .collect(),
        })
        .collect()
}
