//! Builders of test data and accessors of actions, shared by the admission tests.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::time::Duration;

use havenstage_placement::admission::{AdmissionAction, AdmissionLimits, EngineAdmission};
use havenstage_types::clock::Moment;
use havenstage_types::engine::LoadReport;
use havenstage_types::ids::{AttemptId, EngineName, NodeId, VersionNumber};
use havenstage_types::peer::{AdmitRequest, Permit, ReleaseReason, ReleaseRequest};
use havenstage_types::refusal::{Execution, Refusal, RefusalReason};
use havenstage_types::resource::PriorityClass;

pub const KV_CAPACITY: u64 = 10_000;

pub fn engine() -> EngineName {
    EngineName::new("engine-a")
}

pub fn limits(max_running: u32) -> AdmissionLimits {
    AdmissionLimits {
        max_running,
        max_queued: 8,
        live_reserve_percent: 25,
        kv_capacity_tokens: KV_CAPACITY,
        ..AdmissionLimits::default()
    }
}

pub fn new_admission(max_running: u32) -> EngineAdmission {
    EngineAdmission::new(engine(), limits(max_running))
}

pub fn attempt(sequence: u64) -> AttemptId {
    AttemptId {
        node: NodeId(1),
        sequence,
    }
}

pub fn admit_request(sequence: u64, class: PriorityClass) -> AdmitRequest {
    AdmitRequest {
        attempt: attempt(sequence),
        engine: engine(),
        class,
        context_tokens: 10,
        max_new_tokens: 20,
        oldest_version: None,
        patience: Duration::from_secs(10),
    }
}

pub fn release(attempt: AttemptId, end: ReleaseReason) -> ReleaseRequest {
    ReleaseRequest {
        generated_tokens: None,
        attempt,
        engine: engine(),
        end,
    }
}

pub fn report(boot: u64) -> LoadReport {
    LoadReport {
        version: Some(VersionNumber(7)),
        swapping: false,
        failed_swap: None,
        running: 0,
        waiting: 0,
        kv_used_tokens: 0,
        kv_capacity_tokens: KV_CAPACITY,
        leaving: false,
        boot,
    }
}

pub fn at_seconds(seconds: u64) -> Moment {
    Moment(seconds * 1000)
}

pub fn permits(actions: &[AdmissionAction]) -> Vec<&Permit> {
    actions
        .iter()
        .filter_map(|action| match action {
            AdmissionAction::Grant(permit) => Some(permit),
            _ => None,
        })
        .collect()
}

pub fn granted(actions: &[AdmissionAction]) -> Vec<u64> {
    permits(actions)
        .iter()
        .map(|permit| permit.attempt.sequence)
        .collect()
}

pub fn refusals(actions: &[AdmissionAction]) -> Vec<(u64, &Refusal)> {
    actions
        .iter()
        .filter_map(|action| match action {
            AdmissionAction::Refuse {
                attempt, refusal, ..
            } => Some((attempt.sequence, refusal)),
            _ => None,
        })
        .collect()
}

pub fn preempted(actions: &[AdmissionAction]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|action| match action {
            AdmissionAction::Preempt { attempt } => Some(attempt.sequence),
            _ => None,
        })
        .collect()
}

/// Asserts that `actions` contain exactly one refusal: of `sequence`, as not run, for `reason`.
pub fn assert_refused(actions: &[AdmissionAction], sequence: u64, reason: &RefusalReason) {
    let refusals = refusals(actions);
    assert_eq!(refusals.len(), 1, "{actions:?}");
    let (refused, refusal) = refusals[0];
    assert_eq!(refused, sequence);
    assert_eq!(&refusal.reason, reason);
    assert_eq!(refusal.execution, Execution::NotRun);
}
