//! The engine's interface.

use std::collections::BTreeMap;

use havenstage_types::engine::{
    EngineAction, EngineOrder, GenerateRequest, LoadReport, TokenChunk,
};
use havenstage_types::ids::{AttemptId, FencingToken, VersionNumber};
use havenstage_types::version::VersionSegments;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::EngineTime;
use crate::content::{self, Answer};
use crate::output::{EngineOutput, OrderRefusal, SubmitRefusal};
use crate::record::{ExecutionOutcome, ExecutionRecord};
use crate::settings::{EngineSettings, InvalidEngineSettings};

/// A model of one engine.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    random: ChaCha8Rng,
    boot: u64,
    version: Option<VersionNumber>,
    highest_token: FencingToken,
    leaving: bool,
    now: EngineTime,
    executions: BTreeMap<AttemptId, ExecutionRecord>,
    outputs: Vec<EngineOutput>,
}

impl Engine {
    /// Starts an engine. `seed` decides its boot ids and random failures, not its answers.
    pub fn new(settings: EngineSettings, seed: u64) -> Result<Self, InvalidEngineSettings> {
        settings.validate()?;
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let boot = random.next_u64();
        let version = settings.initial_version.map(VersionNumber);
        Ok(Self {
            settings,
            random,
            boot,
            version,
            highest_token: FencingToken(0),
            leaving: false,
            now: EngineTime(0),
            executions: BTreeMap::new(),
            outputs: Vec::new(),
        })
    }

    /// Takes a request; its output comes from [`Self::advance`].
    pub fn submit(
        &mut self,
        now: EngineTime,
        request: GenerateRequest,
    ) -> Result<(), SubmitRefusal> {
        self.now = now;
        let version = self.version.ok_or(SubmitRefusal::NoVersion)?;
        if self.leaving {
            return Err(SubmitRefusal::Leaving);
        }
        if self.executions.contains_key(&request.attempt) {
            return Err(SubmitRefusal::KnownAttempt);
        }
        self.answer_at_once(version, request);
        Ok(())
    }

    fn answer_at_once(&mut self, version: VersionNumber, request: GenerateRequest) {
        let answer = Answer::new(
            self.settings.content_seed,
            &request.subject,
            &self.settings.output_length,
            request.max_tokens,
        );
        let resumed = request.resume_tokens.len() as u32;
        let tokens: Vec<u32> = (resumed..answer.length())
            .map(|index| answer.token(index))
            .collect();
        let mut versions = VersionSegments::default();
        versions.push(version, tokens.len() as u32);
        let record = ExecutionRecord {
            attempt: request.attempt,
            subject: request.subject,
            boot: self.boot,
            started: self.now,
            first_token: Some(self.now),
            ended: Some(self.now),
            resumed_tokens: resumed,
            tokens: tokens.len() as u32,
            versions,
            preemptions: 0,
            outcome: ExecutionOutcome::Finished,
        };
        self.executions.insert(request.attempt, record);
        let chunk = TokenChunk {
            version,
            log_probabilities: tokens
                .iter()
                .map(|token| content::log_probability(*token))
                .collect(),
            text: content::text_of(&tokens),
            tokens,
            finish: Some(answer.finish()),
            prompt_tokens: content::prompt_tokens(&request.prompt).len() as u32,
            cached_tokens: 0,
        };
        self.outputs.push(EngineOutput::Chunk {
            attempt: request.attempt,
            chunk,
        });
    }

    /// Stops an execution; an unknown attempt is ignored.
    pub fn cancel(&mut self, now: EngineTime, _attempt: AttemptId) {
        self.now = now;
    }

    /// Takes a fenced order.
    pub fn order(&mut self, now: EngineTime, order: EngineOrder) -> Result<(), OrderRefusal> {
        self.now = now;
        if order.token < self.highest_token {
            return Err(OrderRefusal::Fenced {
                highest: self.highest_token,
            });
        }
        self.highest_token = order.token;
        let EngineAction::LoadVersion { version, .. } = order.action;
        self.version = Some(version);
        self.outputs.push(EngineOutput::VersionLoaded(version));
        Ok(())
    }

    /// Moves on to `now` and returns what happened until then, in order.
    pub fn advance(&mut self, now: EngineTime) -> Vec<EngineOutput> {
        self.now = now;
        std::mem::take(&mut self.outputs)
    }

    /// When [`Self::advance`] has something to do next; `None` when only new input changes that.
    pub fn next_event_at(&self) -> Option<EngineTime> {
        (!self.outputs.is_empty()).then_some(self.now)
    }

    /// Stops everything and starts again empty with a new boot id.
    pub fn crash(&mut self, now: EngineTime) {
        self.now = now;
        self.boot = self.random.next_u64();
        self.version = self.settings.initial_version.map(VersionNumber);
        self.highest_token = FencingToken(0);
        self.leaving = false;
        self.outputs.clear();
        self.outputs.push(EngineOutput::Crashed { boot: self.boot });
    }

    /// Makes the engine say that it is leaving and refuse new requests.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// The engine's report about itself.
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            version: self.version,
            swapping: false,
            failed_swap: None,
            running: 0,
            waiting: 0,
            kv_used_tokens: 0,
            kv_capacity_tokens: self.settings.kv.capacity_tokens,
            leaving: self.leaving,
            boot: self.boot,
        }
    }

    /// Everything run since the first start, by attempt.
    pub fn executions(&self) -> impl Iterator<Item = &ExecutionRecord> {
        self.executions.values()
    }
}
