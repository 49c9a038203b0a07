//! Turns the stand-ins' own records into events, so that the history checker can judge the run.

use std::collections::BTreeMap;
use std::time::Duration;

use havenstage_emulator::content::{self, Answer};
use havenstage_emulator::{EngineSettings, ExecutionOutcome as RecordedOutcome, ExecutionRecord};
use havenstage_history::event::caller::CallId;
use havenstage_history::event::engine::{
    AttemptLabel, ExecutionEnded, ExecutionId, ExecutionOutcome, ExecutionStarted, Finish, Subject,
};
use havenstage_history::event::trainer::{JobStreamCommitObserved, SampleReceived};
use havenstage_history::event::{EventBody, EventSource, HistoryEvent};
use havenstage_history::fingerprint::Fingerprint;
use havenstage_standin::trainer::DeliveryRecord;
use havenstage_types::ids::{LogOffset, RequestId, TrainerName, VersionNumber};
use havenstage_types::job::JobRecord;

use super::platform::{DemoEngine, engine_settings};
use super::recorder::milliseconds;

/// A record of the job's stream with its offset.
pub type JobStream = Vec<(LogOffset, JobRecord)>;

/// Prompts by request id, as the callers sent them.
type Prompts = BTreeMap<RequestId, Fingerprint>;

/// Events of everything the engines ran. `history` holds what the callers recorded.
///
/// An engine's record names subject, attempt, versions and number of tokens. The tokens follow
/// from the subject alone, so their fingerprints are computed here. The prompt that the engine got
/// is not in its record; the prompt of the call that the subject names stands in for it.
pub fn executions(engines: &[DemoEngine], history: &[HistoryEvent]) -> Vec<HistoryEvent> {
    let prompts = prompts(history);
    let settings = engine_settings();
    let mut events = Vec::new();
    for engine in engines {
        let records = engine.standin.record().executions;
        for (index, record) in records.iter().enumerate() {
            let id = ExecutionId {
                engine: engine.name.clone(),
                boot: record.boot,
                sequence: index as u64,
            };
            let bodies = [
                (record.started.0, Some(started(&id, record, &prompts))),
                (
                    record.ended.map_or(0, |ended| ended.0),
                    ended(&id, record, &settings),
                ),
            ];
            for (time_us, body) in bodies {
                events.extend(body.map(|body| HistoryEvent {
                    at_ms: milliseconds(engine.started + Duration::from_micros(time_us)),
                    source: EventSource::Engine(engine.name.clone()),
                    body,
                }));
            }
        }
    }
    events
}

/// The call that an event ends, and the request id that its caller learned.
pub fn call_end(body: &EventBody) -> Option<(&CallId, &RequestId)> {
    let (call, request) = match body {
        EventBody::CallAnswered(answered) => (&answered.call, &answered.request),
        EventBody::CallRefused(refused) => (&refused.call, &refused.request),
        EventBody::CallBroken(broken) => (&broken.call, &broken.request),
        _ => return None,
    };
    request.as_ref().map(|request| (call, request))
}

/// Prompts by request id.
fn prompts(history: &[HistoryEvent]) -> Prompts {
    let mut sent: BTreeMap<&CallId, Fingerprint> = BTreeMap::new();
    let mut prompts = Prompts::new();
    for event in history {
        if let EventBody::CallSent(call) = &event.body {
            sent.insert(&call.call, call.prompt);
        }
        let Some((call, request)) = call_end(&event.body) else {
            continue;
        };
        if let Some(prompt) = sent.get(call) {
            prompts.insert(request.clone(), *prompt);
        }
    }
    prompts
}

fn started(id: &ExecutionId, record: &ExecutionRecord, prompts: &Prompts) -> EventBody {
    let subject = Subject::from_text(&record.subject);
    let prompt = match &subject {
        Subject::Request(request) => prompts.get(request).copied(),
        Subject::Sample(_) => None,
    };
    EventBody::ExecutionStarted(ExecutionStarted {
        execution: id.clone(),
        attempt: AttemptLabel(record.attempt.to_string()),
        subject,
        prompt: prompt.unwrap_or(Fingerprint(0)),
        resumed_tokens: record.resumed_tokens,
        resumed: None,
    })
}

fn ended(
    id: &ExecutionId,
    record: &ExecutionRecord,
    settings: &EngineSettings,
) -> Option<EventBody> {
    let answer = Answer::new(
        settings.content_seed,
        &record.subject,
        &settings.output_length,
        u32::MAX,
    );
    let token_count = record.resumed_tokens + record.tokens;
    let outcome = match record.outcome {
        RecordedOutcome::Running => return None,
        RecordedOutcome::Finished if token_count == answer.length() => {
            ExecutionOutcome::Finished(Finish::Stop)
        }
        RecordedOutcome::Finished => ExecutionOutcome::Finished(Finish::Length),
        RecordedOutcome::Cancelled => ExecutionOutcome::Cancelled,
        RecordedOutcome::Crashed => ExecutionOutcome::Crashed,
    };
    let tokens: Vec<u32> = (0..token_count).map(|index| answer.token(index)).collect();
    Some(EventBody::ExecutionEnded(ExecutionEnded {
        execution: id.clone(),
        outcome,
        segments: record.versions.clone(),
        text: Fingerprint::of_text(&content::text_of(&tokens)),
        tokens: Fingerprint::of_tokens(&tokens),
        produced: Some(tokens[record.resumed_tokens as usize..].to_vec()),
    }))
}

/// The event of one delivery to the trainer. The stand-in records no batches and no cursors; within
/// a step its cursor always moves past what it was given, so the least it can have asked from is
/// the offset after the delivery before.
pub fn delivery(
    trainer: &TrainerName,
    number: usize,
    before: Option<&DeliveryRecord>,
    delivery: &DeliveryRecord,
) -> EventBody {
    let before = before.filter(|before| before.sample.step == delivery.sample.step);
    let cursor = before.map_or(LogOffset(0), |before| LogOffset(before.offset.0 + 1));
    EventBody::SampleReceived(SampleReceived {
        trainer: trainer.clone(),
        read: number as u64,
        cursor,
        offset: delivery.offset,
        sample: delivery.sample.clone(),
        attempt: AttemptLabel(delivery.attempt.to_string()),
        segments: delivery.segments.clone(),
        tokens: Fingerprint(delivery.tokens_hash),
    })
}

/// The first record of each slot in the job's stream that is within the staleness bound.
pub fn commits(stream: &JobStream, staleness_bound: u64) -> Vec<EventBody> {
    let mut newest = VersionNumber(0);
    let mut filled = BTreeMap::new();
    for (offset, record) in stream {
        match record {
            JobRecord::VersionPublished(version) => newest = newest.max(*version),
            JobRecord::SampleCommitted(sample) => {
                let oldest = sample.segments.oldest().unwrap_or_default();
                if oldest.0 + staleness_bound < newest.0 {
                    continue;
                }
                let commit = JobStreamCommitObserved {
                    sample: sample.id.clone(),
                    attempt: AttemptLabel(sample.attempt.to_string()),
                    offset: *offset,
                    newest,
                };
                filled.entry(sample.id.clone()).or_insert(commit);
            }
            JobRecord::SampleDropped(_)
            | JobRecord::StepAcknowledged { .. }
            | JobRecord::RulesChanged { .. } => {}
        }
    }
    let commits = filled.into_values();
    commits.map(EventBody::JobStreamCommitObserved).collect()
}
