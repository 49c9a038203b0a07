//! Helpers shared by the tests.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::collections::BTreeMap;

use havenstage_emulator::settings::{KvSettings, LengthDistribution, SwapSettings};
use havenstage_emulator::{Engine, EngineOutput, EngineSettings, EngineTime};
use havenstage_types::engine::{EngineAction, EngineOrder, GenerateRequest};
use havenstage_types::ids::{AttemptId, FencingToken, NodeId, VersionNumber};
use havenstage_types::request::FinishReason;
use havenstage_types::resource::PriorityClass;
use havenstage_types::version::VersionSegments;

/// What an attempt has put out.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answer {
    pub tokens: Vec<u32>,
    pub segments: VersionSegments,
    pub finish: Option<FinishReason>,
    pub cached_tokens: u32,
}

/// Collects outputs by attempt.
#[derive(Debug, Default)]
pub struct Answers(pub BTreeMap<AttemptId, Answer>);

impl Answers {
    pub fn take(&mut self, outputs: &[EngineOutput]) {
        for output in outputs {
            let EngineOutput::Chunk { attempt, chunk } = output else {
                continue;
            };
            let answer = self.0.entry(*attempt).or_default();
            assert_eq!(answer.finish, None, "output after the finish of {attempt}");
            answer.tokens.extend(&chunk.tokens);
            answer
                .segments
                .push(chunk.version, chunk.tokens.len() as u32);
            answer.finish = chunk.finish;
            answer.cached_tokens = chunk.cached_tokens;
        }
    }

    pub fn of(&self, sequence: u64) -> Answer {
        self.0.get(&attempt(sequence)).cloned().unwrap_or_default()
    }
}

pub fn attempt(sequence: u64) -> AttemptId {
    AttemptId {
        node: NodeId(1),
        sequence,
    }
}

pub fn request(sequence: u64) -> GenerateRequest {
    GenerateRequest {
        attempt: attempt(sequence),
        subject: format!("subject-{sequence}"),
        prompt: "when is the payment due".to_owned(),
        resume_tokens: Vec::new(),
        max_tokens: 400,
        class: PriorityClass::Live,
    }
}

pub fn training(sequence: u64) -> GenerateRequest {
    GenerateRequest {
        class: PriorityClass::Training,
        ..request(sequence)
    }
}

pub fn load_version(token: u64, version: u64) -> EngineOrder {
    EngineOrder {
        token: FencingToken(token),
        action: EngineAction::LoadVersion {
            version: VersionNumber(version),
            location: format!("/models/tone/versions/{version}"),
        },
    }
}

/// Version 1, answers of 100 tokens, exact cache events.
pub fn settings() -> EngineSettings {
    EngineSettings {
        initial_version: Some(1),
        output_length: LengthDistribution::Fixed { tokens: 100 },
        kv: KvSettings {
            event_loss_probability: 0.0,
            ..KvSettings::default()
        },
        swap: SwapSettings {
            fetch_us: 100_000,
            load_us: 50_000,
            ..SwapSettings::default()
        },
        ..EngineSettings::default()
    }
}

pub fn engine(settings: EngineSettings) -> Engine {
    Engine::new(settings, 7).expect("valid settings")
}

pub fn time_ms(milliseconds: u64) -> EngineTime {
    EngineTime(milliseconds * 1_000)
}

/// Advances event by event until nothing is left to do, and returns everything put out.
pub fn run_to_end(engine: &mut Engine) -> Vec<EngineOutput> {
    let mut outputs = Vec::new();
    while let Some(event_at) = engine.next_event_at() {
        outputs.extend(engine.advance(event_at));
    }
    outputs
}

/// Runs one request alone and returns its answer.
pub fn run_alone(settings: EngineSettings, request: GenerateRequest) -> Answer {
    let sequence = request.attempt.sequence;
    let mut engine = engine(settings);
    engine.submit(EngineTime(0), request).expect("taken");
    let mut answers = Answers::default();
    answers.take(&run_to_end(&mut engine));
    answers.of(sequence)
}
