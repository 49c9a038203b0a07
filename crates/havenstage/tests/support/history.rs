//! What callers, engines and the trainer of real processes saw, as one history for the checker.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use havenstage_emulator::content::{Answer, text_of};
use havenstage_emulator::settings::LengthDistribution;
use havenstage_emulator::{ExecutionOutcome as RecordedOutcome, ExecutionRecord};
use havenstage_history::event::caller::CallId;
use havenstage_history::event::engine::{
    AttemptLabel, ExecutionEnded, ExecutionId, ExecutionOutcome, ExecutionStarted, Finish, Subject,
};
use havenstage_history::event::trainer::{JobDrained, SampleReceived, StepAcknowledged};
use havenstage_history::event::{EventBody, EventSource, HistoryEvent};
use havenstage_history::fingerprint::Fingerprint;
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings};
use havenstage_standin::trainer::TrainerRecord;
use havenstage_types::ids::{JobName, LogOffset, RequestId, StepNumber, TrainerName};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::cluster::EngineProcess;

/// Length of the engines' answers when no caller wants fewer tokens, as in their settings.
const ANSWER_LENGTH: LengthDistribution = LengthDistribution::Fixed { tokens: 1_000 };

/// Collects events on one clock.
pub struct Recorder {
    started: Instant,
    events: Mutex<Vec<HistoryEvent>>,
}

impl Recorder {
    /// An empty history whose clock starts now.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            events: Mutex::default(),
        })
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Records an event that happens now.
    pub fn record(&self, source: EventSource, body: EventBody) {
        self.record_at(self.now_ms(), source, body);
    }

    /// All events so far.
    pub fn events(&self) -> Vec<HistoryEvent> {
        self.events.lock().expect("no recording panicked").clone()
    }

    fn record_at(&self, at_ms: u64, source: EventSource, body: EventBody) {
        let event = HistoryEvent {
            at_ms,
            source,
            body,
        };
        let mut events = self.events.lock().expect("no recording panicked");
        events.push(event);
    }

    /// Adds what an engine ran, with its times on this clock.
    pub async fn add_executions(&self, engine: &EngineProcess) {
        let record: Value = record(engine.service.address).await;
        let records: Vec<ExecutionRecord> =
            serde_json::from_value(record["executions"].clone()).expect("a list of executions");
        let prompts = prompts(&self.events());
        for (sequence, record) in records.iter().enumerate() {
            let execution = ExecutionId {
                engine: engine.name.clone(),
                boot: record.boot,
                sequence: sequence as u64,
            };
            let source = EventSource::Engine(engine.name.clone());
            let at_ms = |time_us: u64| engine.started_ms + time_us / 1_000;
            let started = started(&execution, record, &prompts);
            self.record_at(at_ms(record.started.0), source.clone(), started);
            if let Some((time, ended)) = record.ended.zip(ended(execution, record)) {
                self.record_at(at_ms(time.0), source, ended);
            }
        }
    }

    /// Adds what the trainer got. It notes no times: everything is recorded as now, in its order.
    pub fn add_deliveries(&self, record: &TrainerRecord) {
        let trainer = TrainerName::new("trainer");
        let job = JobName::new("j");
        let source = EventSource::Trainer(trainer.clone());
        for (read, delivery) in record.deliveries.iter().enumerate() {
            let received = SampleReceived {
                trainer: trainer.clone(),
                read: read as u64,
                cursor: LogOffset(0),
                offset: delivery.offset,
                sample: delivery.sample.clone(),
                attempt: AttemptLabel(delivery.attempt.to_string()),
                segments: delivery.segments.clone(),
                tokens: Fingerprint(delivery.tokens_hash),
            };
            self.record(source.clone(), EventBody::SampleReceived(received));
        }
        for step in &record.steps {
            let acknowledged = StepAcknowledged {
                trainer: trainer.clone(),
                job: job.clone(),
                step: StepNumber(step.step.0),
            };
            self.record(source.clone(), EventBody::StepAcknowledged(acknowledged));
        }
        let steps = record.steps.len() as u64;
        self.record(source, EventBody::JobDrained(JobDrained { job, steps }));
    }
}

/// What a stand-in saw.
pub async fn record<R: DeserializeOwned>(standin: SocketAddr) -> R {
    let client = HttpClient::new(HttpClientSettings::default());
    let record = client.get(standin, "/record").await.expect("a record");
    record.json().expect("the record is JSON")
}

/// Prompts by request id, as far as callers learned the ids.
fn prompts(history: &[HistoryEvent]) -> BTreeMap<RequestId, Fingerprint> {
    let mut sent: BTreeMap<&CallId, Fingerprint> = BTreeMap::new();
    let mut prompts = BTreeMap::new();
    for event in history {
        let (call, request) = match &event.body {
            EventBody::CallSent(call) => {
                sent.insert(&call.call, call.prompt);
                continue;
            }
            EventBody::CallAnswered(answered) => (&answered.call, &answered.request),
            EventBody::CallRefused(refused) => (&refused.call, &refused.request),
            EventBody::CallBroken(broken) => (&broken.call, &broken.request),
            _ => continue,
        };
        if let Some(request) = request {
            prompts.insert(request.clone(), sent[call]);
        }
    }
    prompts
}

fn started(
    execution: &ExecutionId,
    record: &ExecutionRecord,
    prompts: &BTreeMap<RequestId, Fingerprint>,
) -> EventBody {
    let subject = Subject::from_text(&record.subject);
    let prompt = match &subject {
        Subject::Request(request) => prompts.get(request).copied(),
        Subject::Sample(_) => None,
    };
    EventBody::ExecutionStarted(ExecutionStarted {
        execution: execution.clone(),
        attempt: AttemptLabel(record.attempt.to_string()),
        subject,
        prompt: prompt.unwrap_or(Fingerprint(0)),
        resumed_tokens: record.resumed_tokens,
        resumed: None,
    })
}

/// The engine records no tokens, but they follow from the subject alone.
fn ended(execution: ExecutionId, record: &ExecutionRecord) -> Option<EventBody> {
    let outcome = match record.outcome {
        RecordedOutcome::Running => return None,
        // No caller and no job wants as many tokens as an answer has.
        RecordedOutcome::Finished => ExecutionOutcome::Finished(Finish::Length),
        RecordedOutcome::Cancelled => ExecutionOutcome::Cancelled,
        RecordedOutcome::Crashed => ExecutionOutcome::Crashed,
    };
    let answer = Answer::new(0, &record.subject, &ANSWER_LENGTH, u32::MAX);
    let token_count = record.resumed_tokens + record.tokens;
    let tokens: Vec<u32> = (0..token_count).map(|index| answer.token(index)).collect();
    Some(EventBody::ExecutionEnded(ExecutionEnded {
        execution,
        outcome,
        segments: record.versions.clone(),
        text: Fingerprint::of_text(&text_of(&tokens)),
        tokens: Fingerprint::of_tokens(&tokens),
        produced: Some(tokens[record.resumed_tokens as usize..].to_vec()),
    }))
}
