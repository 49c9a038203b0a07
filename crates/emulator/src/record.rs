//! The engine's own record of what it ran, for checks from outside.

use std::collections::BTreeMap;

use havenstage_types::engine::{GenerateRequest, TokenChunk};
use havenstage_types::ids::AttemptId;
use havenstage_types::version::VersionSegments;
use serde::{Deserialize, Serialize};

use crate::clock::EngineTime;

/// One execution.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// Attempt it belongs to.
    pub attempt: AttemptId,
    /// Request id or sample id.
    pub subject: String,
    /// Boot of the engine it ran on.
    pub boot: u64,
    /// When the engine took it.
    pub started: EngineTime,
    /// When its first new token was put out.
    pub first_token: Option<EngineTime>,
    /// When it ended; `None` while it waits or runs.
    pub ended: Option<EngineTime>,
    /// Tokens resumed from an earlier execution.
    pub resumed_tokens: u32,
    /// New tokens put out.
    pub tokens: u32,
    /// Tokens of the prompt; known when it has finished.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache; known when it has finished.
    #[serde(default)]
    pub cached_tokens: u32,
    /// Versions of the new tokens, counted from the first new token.
    pub versions: VersionSegments,
    /// How often it lost its KV memory to other work and was computed again.
    pub preemptions: u32,
    /// How it ended.
    pub outcome: ExecutionOutcome,
}

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionOutcome {
    /// It waits or runs.
    Running,
    /// All tokens were put out.
    Finished,
    /// It was cancelled.
    Cancelled,
    /// The engine crashed.
    Crashed,
}

/// Records of executions since the engine's first start: all, or the newest.
#[derive(Debug, Default)]
pub(crate) struct ExecutionLog {
    /// Most executions that are kept after they ended; `None` keeps all.
    most_records: Option<usize>,
    records: Vec<ExecutionRecord>,
    /// Attempts of the present boot, with the index of their record.
    known: BTreeMap<AttemptId, usize>,
}

impl ExecutionLog {
    /// No executions yet.
    pub(crate) fn keeping(most_records: Option<u32>) -> Self {
        Self {
            most_records: most_records.map(|most| most as usize),
            ..Self::default()
        }
    }

    pub(crate) fn records(&self) -> &[ExecutionRecord] {
        &self.records
    }

    /// Whether the attempt was taken on this boot.
    pub(crate) fn is_known(&self, attempt: AttemptId) -> bool {
        self.known.contains_key(&attempt)
    }

    /// Begins the record of a request that was taken.
    pub(crate) fn start(&mut self, now: EngineTime, boot: u64, request: &GenerateRequest) {
        self.forget_oldest();
        self.known.insert(request.attempt, self.records.len());
        self.records.push(ExecutionRecord {
            attempt: request.attempt,
            subject: request.subject.clone(),
            boot,
            started: now,
            first_token: None,
            ended: None,
            resumed_tokens: request.resume_tokens.len() as u32,
            tokens: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            versions: VersionSegments::default(),
            preemptions: 0,
            outcome: ExecutionOutcome::Running,
        });
    }

    /// Notes a chunk that was put out.
    pub(crate) fn put_out(&mut self, now: EngineTime, attempt: AttemptId, chunk: &TokenChunk) {
        let Some(record) = self.record_mut(attempt) else {
            return;
        };
        let tokens = chunk.tokens.len() as u32;
        if tokens > 0 {
            record.first_token.get_or_insert(now);
        }
        record.tokens += tokens;
        record.versions.push(chunk.version, tokens);
        if chunk.finish.is_some() {
            record.prompt_tokens = chunk.prompt_tokens;
            record.cached_tokens = chunk.cached_tokens;
            record.ended = Some(now);
            record.outcome = ExecutionOutcome::Finished;
        }
    }

    /// Notes that an execution lost its KV memory.
    pub(crate) fn preempted(&mut self, attempt: AttemptId) {
        if let Some(record) = self.record_mut(attempt) {
            record.preemptions += 1;
        }
    }

    /// Notes that an execution ended early.
    pub(crate) fn end(&mut self, now: EngineTime, attempt: AttemptId, outcome: ExecutionOutcome) {
        if let Some(record) = self.record_mut(attempt) {
            record.ended = Some(now);
            record.outcome = outcome;
        }
    }

    /// Forgets which attempts were taken, as a new boot does; the records stay.
    pub(crate) fn forget_attempts(&mut self) {
        self.known.clear();
    }

    /// Forgets the oldest executions that have ended, once there are twice as many as are to be kept, so that
    /// each is looked at a few times only.
    fn forget_oldest(&mut self) {
        let Some(most) = self.most_records else {
            return;
        };
        if self.records.len() < 2 * most {
            return;
        }
        let old = self.records.len() - most;
        let mut index = 0;
        self.records.retain(|record| {
            index += 1;
            index > old || record.outcome == ExecutionOutcome::Running
        });
        let records = self.records.iter().enumerate();
        let known = records.filter(|(_, record)| self.known.contains_key(&record.attempt));
        self.known = known
            .map(|(index, record)| (record.attempt, index))
            .collect();
    }

    fn record_mut(&mut self, attempt: AttemptId) -> Option<&mut ExecutionRecord> {
        let index = *self.known.get(&attempt)?;
        self.records.get_mut(index)
    }
}
