//! Builds small histories for the tests.
#![allow(dead_code)] // each test file uses its own part of it

pub mod good;

use havenstage_history::checker::{Bounds, CheckReport, JobBounds, Promise, Verdict, check};
use havenstage_history::event::caller::{
    BrokenCause, CallAnswered, CallBroken, CallClass, CallId, CallRefused, CallSent, RefusalCode,
    ToldExecution,
};
use havenstage_history::event::engine::{
    AttemptLabel, ExecutionEnded, ExecutionId, ExecutionOutcome, ExecutionStarted, Finish, Subject,
};
use havenstage_history::event::node::{ConfigRead, NodeEvent, NodeExited, ReadResult};
use havenstage_history::event::operator::{
    ChangeAnswered, ChangeOutcome, ChangeProposed, ConfigKey,
};
use havenstage_history::event::trainer::SampleReceived;
use havenstage_history::event::{EventBody, EventSource, HistoryEvent};
use havenstage_history::fingerprint::Fingerprint;
use havenstage_types::ids::{
    CallerName, ChangeId, EngineName, IdempotencyKey, JobName, LogOffset, ModelName, NodeId,
    PoolName, RequestId, Revision, SampleId, StepNumber, TrainerName, VersionNumber,
};
use havenstage_types::version::VersionSegments;

pub const FINISHED: ExecutionOutcome = ExecutionOutcome::Finished(Finish::Stop);
pub const NODE: NodeId = NodeId(1);
pub const LATE_MS: u64 = 1_000_000;

/// A history under construction.
#[derive(Default)]
pub struct History {
    pub events: Vec<HistoryEvent>,
}

/// One execution to record.
pub struct Run<'a> {
    pub engine: &'a str,
    pub sequence: u64,
    pub from_ms: u64,
    pub to_ms: u64,
    pub subject: Subject,
    pub prompt: Fingerprint,
    /// Tokens resumed from an earlier execution.
    pub resumed: &'a [u32],
    /// Tokens produced, each with its version.
    pub produced: &'a [(u64, u32)],
    pub outcome: ExecutionOutcome,
}

impl Run<'_> {
    /// A finished execution of call number `request` on engine `e1`.
    pub fn of_request(request: u64, sequence: u64, from_ms: u64, to_ms: u64) -> Run<'static> {
        Run {
            engine: "e1",
            sequence,
            from_ms,
            to_ms,
            subject: Subject::Request(request_id(request, 1)),
            prompt: prompt(request),
            resumed: &[],
            produced: &[(1, 11), (1, 12), (1, 13)],
            outcome: FINISHED,
        }
    }

    pub fn all_tokens(&self) -> Vec<u32> {
        let own = self.produced.iter().map(|(_, token)| *token);
        self.resumed.iter().copied().chain(own).collect()
    }
}

impl History {
    pub fn push(&mut self, at_ms: u64, body: EventBody) -> usize {
        let source = EventSource::Harness;
        self.events.push(HistoryEvent {
            at_ms,
            source,
            body,
        });
        self.events.len() - 1
    }

    pub fn sent(&mut self, at_ms: u64, request: u64, call: u32, key: Option<&str>) -> usize {
        self.sent_to(NODE, at_ms, request, call, key)
    }

    /// A call with a key is not repeatable.
    pub fn sent_to(
        &mut self,
        node: NodeId,
        at_ms: u64,
        request: u64,
        call: u32,
        key: Option<&str>,
    ) -> usize {
        let body = CallSent {
            call: call_id(request, call),
            node: Some(node),
            pool: PoolName::new("aviso-app"),
            at_most_once: key.is_some(),
            idempotency_key: key.map(IdempotencyKey::new),
            prompt: prompt(request),
            class: CallClass::Live,
            deadline_ms: Some(30_000),
        };
        self.push(at_ms, EventBody::CallSent(body))
    }

    pub fn answered(
        &mut self,
        at_ms: u64,
        request: u64,
        call: u32,
        tokens: &[u32],
        versions: &[(u64, u32)],
    ) -> usize {
        let body = CallAnswered {
            call: call_id(request, call),
            request: Some(request_id(request, call)),
            text: text_of(tokens),
            token_count: tokens.len() as u32,
            segments: segments(versions),
            finish: Finish::Stop,
        };
        self.push(at_ms, EventBody::CallAnswered(body))
    }

    pub fn refused(
        &mut self,
        at_ms: u64,
        request: u64,
        call: u32,
        code: &str,
        execution: ToldExecution,
    ) -> usize {
        let body = CallRefused {
            call: call_id(request, call),
            request: Some(request_id(request, call)),
            code: RefusalCode(code.to_owned()),
            execution,
            retry_after_ms: None,
        };
        self.push(at_ms, EventBody::CallRefused(body))
    }

    pub fn broken(&mut self, at_ms: u64, request: u64, call: u32, cause: BrokenCause) -> usize {
        let body = CallBroken {
            call: call_id(request, call),
            request: None,
            cause,
            received_tokens: 0,
        };
        self.push(at_ms, EventBody::CallBroken(body))
    }

    pub fn run(&mut self, run: &Run<'_>) -> usize {
        let execution = ExecutionId {
            engine: EngineName::new(run.engine),
            boot: 7,
            sequence: run.sequence,
        };
        let started = ExecutionStarted {
            execution: execution.clone(),
            attempt: attempt(run.sequence),
            subject: run.subject.clone(),
            prompt: run.prompt,
            resumed_tokens: run.resumed.len() as u32,
            resumed: Some(Fingerprint::of_tokens(run.resumed)),
        };
        let index = self.push(run.from_ms, EventBody::ExecutionStarted(started));
        let versions: Vec<_> = run
            .produced
            .iter()
            .map(|(version, _)| (*version, 1))
            .collect();
        let ended = ExecutionEnded {
            execution,
            outcome: run.outcome,
            segments: segments(&versions),
            text: text_of(&run.all_tokens()),
            tokens: Fingerprint::of_tokens(&run.all_tokens()),
            produced: Some(run.produced.iter().map(|(_, token)| *token).collect()),
        };
        self.push(run.to_ms, EventBody::ExecutionEnded(ended));
        index
    }

    pub fn received(
        &mut self,
        at_ms: u64,
        sample: &SampleId,
        sequence: u64,
        offset: u64,
        produced: &[(u64, u32)],
    ) -> usize {
        let tokens: Vec<_> = produced.iter().map(|(_, token)| *token).collect();
        let versions: Vec<_> = produced.iter().map(|(version, _)| (*version, 1)).collect();
        let body = SampleReceived {
            trainer: TrainerName::new("trainer-0"),
            read: at_ms,
            cursor: LogOffset(0),
            offset: LogOffset(offset),
            sample: sample.clone(),
            attempt: attempt(sequence),
            segments: segments(&versions),
            tokens: Fingerprint::of_tokens(&tokens),
        };
        self.push(at_ms, EventBody::SampleReceived(body))
    }

    pub fn proposed(&mut self, at_ms: u64, change: &str, base: Option<u64>, value: &str) -> usize {
        let body = ChangeProposed {
            change: ChangeId::new(change),
            key: key(),
            base: base.map(Revision),
            value: Some(Fingerprint::of_text(value)),
        };
        self.push(at_ms, EventBody::ChangeProposed(body))
    }

    pub fn change_answered(&mut self, at_ms: u64, change: &str, outcome: ChangeOutcome) -> usize {
        let body = ChangeAnswered {
            change: ChangeId::new(change),
            outcome,
        };
        self.push(at_ms, EventBody::ChangeAnswered(body))
    }

    pub fn read(&mut self, at_ms: u64, node: NodeId, result: ReadResult) -> usize {
        let body = ConfigRead {
            node,
            asked_at_ms: at_ms - 5,
            key: key(),
            result,
        };
        self.push(at_ms, EventBody::ConfigRead(body))
    }

    pub fn stop_begun(&mut self, at_ms: u64, node: NodeId) -> usize {
        self.push(at_ms, EventBody::NodeStopBegun(NodeEvent { node }))
    }

    pub fn exited(&mut self, at_ms: u64, node: NodeId) -> usize {
        let code = Some(0);
        self.push(at_ms, EventBody::NodeExited(NodeExited { node, code }))
    }

    /// Lets so much time pass that every deadline is over.
    pub fn pass_all_deadlines(&mut self) {
        self.read(LATE_MS, NodeId(99), ReadResult::RefusedStale);
    }

    pub fn check(&self) -> CheckReport {
        check(&self.events, &bounds(2))
    }
}

/// Bounds with a job `tono` of `samples_per_step` samples a step that may lag one version.
pub fn bounds(samples_per_step: u32) -> Bounds {
    let job = JobBounds {
        model: model(),
        staleness_bound: 1,
        samples_per_step,
    };
    Bounds {
        jobs: [(JobName::new("tono"), job)].into(),
        ..Bounds::default()
    }
}

pub fn model() -> ModelName {
    ModelName::new("tono-llm")
}

pub fn key() -> ConfigKey {
    ConfigKey("pool/tono-llm".to_owned())
}

pub fn call_id(request: u64, call: u32) -> CallId {
    CallId {
        caller: CallerName::new("portal"),
        request,
        call,
    }
}

pub fn request_id(request: u64, call: u32) -> RequestId {
    RequestId(format!("r{request}-{call}"))
}

pub fn prompt(request: u64) -> Fingerprint {
    Fingerprint::of_text(&format!("prompt {request}"))
}

pub fn attempt(sequence: u64) -> AttemptLabel {
    AttemptLabel(format!("{:x}.{sequence}", NODE.0))
}

pub fn sample(step: u64, index: u32) -> SampleId {
    SampleId {
        job: JobName::new("tono"),
        step: StepNumber(step),
        index,
    }
}

pub fn segments(versions: &[(u64, u32)]) -> VersionSegments {
    let mut segments = VersionSegments::default();
    for (version, token_count) in versions {
        segments.push(VersionNumber(*version), *token_count);
    }
    segments
}

pub fn text_of(tokens: &[u32]) -> Fingerprint {
    Fingerprint::of_text(&format!("{tokens:?}"))
}

pub fn found(revision: u64, value: &str) -> ReadResult {
    ReadResult::Found {
        revision: Revision(revision),
        value: Fingerprint::of_text(value),
    }
}

/// Asserts that exactly this promise is broken and that one violation names exactly these events.
#[track_caller]
pub fn assert_broken(report: &CheckReport, promise: Promise, events: &[usize]) {
    assert_eq!(report.broken(), [promise], "{report}");
    assert_shown(report, promise, events);
}

/// Asserts that a violation of the promise names exactly these events.
#[track_caller]
pub fn assert_shown(report: &CheckReport, promise: Promise, events: &[usize]) {
    let violations = &report.promises[&promise].violations;
    let shown = violations
        .iter()
        .any(|violation| violation.events == events);
    assert!(
        shown,
        "no violation of {promise} names {events:?}:\n{report}"
    );
}

#[track_caller]
pub fn assert_kept(report: &CheckReport, promise: Promise) {
    assert!(report.is_clean(), "{report}");
    assert_eq!(report.verdict(promise), Verdict::Kept, "{report}");
}
