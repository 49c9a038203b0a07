//! Builders of records and samples for the tests of the folds.

#![allow(dead_code, reason = "each test file uses some of the builders")]

use havenstage_types::claim::{Claim, ClaimOutcome, ClaimRecord};
use havenstage_types::ids::{
    AttemptId, EngineName, IdempotencyKey, JobName, LogOffset, NodeId, RequestId, Revision,
    SampleId, StepNumber, TrainerName, VersionNumber,
};
use havenstage_types::job::{JobRecord, JobRules, Placement, Sample};
use havenstage_types::refusal::{Refusal, RefusalReason};
use havenstage_types::request::{AnswerSummary, FinishReason, WholeAnswer};
use havenstage_types::resource::PolicyName;
use havenstage_types::version::VersionSegments;
use proptest::test_runner::{Config, RngSeed};

pub const FINGERPRINT: u64 = 7;

/// Test configuration with a fixed seed, so that every run takes the same cases.
pub fn fixed_cases(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x6c65_6467_6572),
        ..Config::default()
    }
}

pub fn attempt(sequence: u64) -> AttemptId {
    AttemptId {
        node: NodeId(1),
        sequence,
    }
}

pub fn key(name: u64) -> IdempotencyKey {
    IdempotencyKey(format!("key-{name}"))
}

pub fn claim(name: u64, sequence: u64) -> ClaimRecord {
    ClaimRecord::Claim(Claim {
        key: key(name),
        attempt: attempt(sequence),
        request: RequestId(format!("request-{sequence}")),
        fingerprint: FINGERPRINT,
    })
}

pub fn abandon(name: u64, sequence: u64) -> ClaimRecord {
    ClaimRecord::Abandon {
        key: key(name),
        attempt: attempt(sequence),
    }
}

pub fn outcome(name: u64, sequence: u64, outcome: ClaimOutcome) -> ClaimRecord {
    ClaimRecord::Outcome {
        key: key(name),
        attempt: attempt(sequence),
        outcome,
    }
}

pub fn failed() -> ClaimOutcome {
    ClaimOutcome::Failed(Refusal::unknown(RefusalReason::OutcomeUnknown))
}

pub fn answer(text: &str) -> ClaimOutcome {
    ClaimOutcome::Answer(WholeAnswer {
        text: text.to_owned(),
        summary: AnswerSummary {
            engine: EngineName::new("engine"),
            segments: VersionSegments::default(),
            finish: FinishReason::Stop,
            prompt_tokens: 1,
        },
    })
}

pub fn job() -> JobName {
    JobName::new("job")
}

/// Three prompts and three steps. A step samples two of the prompts twice each, and two steps are
/// open at once.
pub fn rules() -> JobRules {
    JobRules {
        samples_per_step: 4,
        group_size: 2,
        prompt_count: 3,
        staleness_bound: 2,
        steps: Some(3),
        steps_ahead: 2,
    }
}

pub fn rules_record(revision: u64, rules: JobRules) -> JobRecord {
    JobRecord::RulesChanged {
        revision: Revision(revision),
        rules,
    }
}

/// A sample of two tokens, one produced by each version.
pub fn sample(step: u64, index: u32, sequence: u64, versions: [u64; 2]) -> Sample {
    let mut segments = VersionSegments::default();
    segments.push(VersionNumber(versions[0]), 1);
    segments.push(VersionNumber(versions[1]), 1);
    Sample {
        id: SampleId {
            job: job(),
            step: StepNumber(step),
            index,
        },
        attempt: attempt(sequence),
        prompt_index: ((step * 2 + u64::from(index) / 2) % 3) as u32,
        text: String::new(),
        tokens: vec![1, 2],
        log_probabilities: Vec::new(),
        reward: 0.0,
        segments,
        placement: Placement {
            engine: EngineName::new("engine"),
            policy: PolicyName::Random,
            node: NodeId(1),
        },
    }
}

pub fn committed(sample: Sample) -> JobRecord {
    JobRecord::SampleCommitted(Box::new(sample))
}

pub fn published(version: u64) -> JobRecord {
    JobRecord::VersionPublished(VersionNumber(version))
}

pub fn acknowledged(step: u64) -> JobRecord {
    JobRecord::StepAcknowledged {
        step: StepNumber(step),
        trainer: TrainerName::new("trainer"),
        version_in_use: VersionNumber(0),
    }
}

/// The records at offset `from` and above, with their offsets.
pub fn tail<T>(log: &[T], from: LogOffset) -> impl Iterator<Item = (LogOffset, &T)> {
    let numbered = log.iter().enumerate().skip(from.0 as usize);
    numbered.map(|(offset, record)| (LogOffset(offset as u64), record))
}
