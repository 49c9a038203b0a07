//! The rules by which samples, steps and rules records take effect, one test for each.

mod support;

use havenstage_ledger::jobs::{JobEffect, JobLedger, OpenSlot};
use havenstage_types::ids::{JobName, LogOffset, Revision, StepNumber, VersionNumber};
use havenstage_types::job::{DropReason, JobRecord, JobRules, Sample};
use support::{acknowledged, committed, job, published, rules, rules_record, sample};

fn apply(ledger: &mut JobLedger, record: JobRecord) -> JobEffect {
    let offset = ledger.next_offset();
    ledger.apply(offset, &record).unwrap()
}

fn ledger_with_rules(rules: JobRules) -> JobLedger {
    let mut ledger = JobLedger::new(job());
    apply(&mut ledger, rules_record(10, rules));
    ledger
}

fn rejection(ledger: &mut JobLedger, sample: Sample) -> Option<DropReason> {
    match apply(ledger, committed(sample)) {
        JobEffect::Rejected { reason, .. } => Some(reason),
        _ => None,
    }
}

fn fill(ledger: &mut JobLedger, step: u64) {
    let slots: Vec<OpenSlot> = ledger.open_slots().collect();
    for slot in slots.iter().filter(|slot| slot.step.0 == step) {
        let mut filler = sample(step, slot.index, 1, [0, 0]);
        filler.prompt_index = slot.prompt_index;
        assert_eq!(rejection(ledger, filler), None);
    }
}

#[test]
fn samples_are_rejected_before_the_first_rules_record() {
    let mut ledger = JobLedger::new(job());
    let early = rejection(&mut ledger, sample(0, 0, 1, [0, 0]));
    assert_eq!(early, Some(DropReason::StepNotOpen));
    assert_eq!(ledger.open_slots().count(), 0);
}

#[test]
fn first_commit_fills_the_slot_and_its_duplicate_is_ignored() {
    let mut ledger = ledger_with_rules(rules());
    let first = sample(0, 0, 1, [0, 0]);
    let id = first.id.clone();
    let effect = apply(&mut ledger, committed(first.clone()));
    assert_eq!(effect, JobEffect::Committed(id));
    assert_eq!(apply(&mut ledger, committed(first)), JobEffect::Ignored);
    let second = rejection(&mut ledger, sample(0, 0, 2, [0, 0]));
    assert_eq!(second, Some(DropReason::SlotFilled));
}

#[test]
fn segments_must_cover_exactly_the_tokens() {
    let mut ledger = ledger_with_rules(rules());
    let mut no_tokens = sample(0, 0, 1, [0, 0]);
    no_tokens.tokens.clear();
    no_tokens.segments.0.clear();
    let mut too_short = sample(0, 0, 1, [0, 1]);
    too_short.segments.0.pop();
    let mut gap = sample(0, 0, 1, [0, 1]);
    gap.segments.0[0].first_token = 1;
    let mut other_job = sample(0, 0, 1, [9, 9]);
    other_job.id.job = JobName::new("other");
    for malformed in [no_tokens, too_short, gap, other_job] {
        let reason = rejection(&mut ledger, malformed);
        assert_eq!(reason, Some(DropReason::Malformed));
    }
    assert_eq!(ledger.newest_version(), None);
}

#[test]
fn stale_sample_leaves_its_slot_open() {
    let mut ledger = ledger_with_rules(rules());
    let advanced = JobEffect::VersionAdvanced(VersionNumber(5));
    assert_eq!(apply(&mut ledger, published(5)), advanced);
    assert_eq!(apply(&mut ledger, published(4)), JobEffect::Ignored);
    let stale = rejection(&mut ledger, sample(0, 0, 1, [2, 5]));
    let too_stale = DropReason::TooStale {
        oldest: VersionNumber(2),
        newest: VersionNumber(5),
    };
    assert_eq!(stale, Some(too_stale));
    assert_eq!(rejection(&mut ledger, sample(0, 0, 2, [3, 5])), None);
}

#[test]
fn sample_newer_than_the_published_version_raises_it() {
    let mut ledger = ledger_with_rules(rules());
    apply(&mut ledger, published(1));
    assert_eq!(rejection(&mut ledger, sample(0, 0, 1, [4, 4])), None);
    assert_eq!(ledger.newest_version(), Some(VersionNumber(4)));
    let spread = rejection(&mut ledger, sample(0, 1, 2, [4, 7]));
    assert!(matches!(spread, Some(DropReason::TooStale { .. })));
}

#[test]
fn steps_open_and_are_acknowledged_in_order() {
    let mut ledger = ledger_with_rules(rules());
    let beyond = rejection(&mut ledger, sample(2, 0, 1, [0, 0]));
    assert_eq!(beyond, Some(DropReason::StepNotOpen));
    fill(&mut ledger, 1);
    assert_eq!(apply(&mut ledger, acknowledged(1)), JobEffect::Ignored);
    assert_eq!(apply(&mut ledger, acknowledged(0)), JobEffect::Ignored);
    fill(&mut ledger, 0);
    for step in 0..3 {
        fill(&mut ledger, step);
        let effect = apply(&mut ledger, acknowledged(step));
        assert_eq!(effect, JobEffect::StepAcknowledged(StepNumber(step)));
        assert_eq!(apply(&mut ledger, acknowledged(step)), JobEffect::Ignored);
    }
    assert!(ledger.is_complete());
    assert_eq!(ledger.acknowledged_through(), Some(StepNumber(2)));
    let late = rejection(&mut ledger, sample(0, 0, 9, [0, 0]));
    assert_eq!(late, Some(DropReason::StepNotOpen));
}

#[test]
fn prompts_continue_where_the_previous_step_stopped() {
    let ledger = ledger_with_rules(rules());
    let prompts: Vec<u32> = ledger.open_slots().map(|slot| slot.prompt_index).collect();
    assert_eq!(prompts, [0, 0, 1, 1, 2, 2, 0, 0]);
}

#[test]
fn only_a_higher_revision_changes_the_rules() {
    let mut ledger = ledger_with_rules(rules());
    let strict = JobRules {
        staleness_bound: 0,
        ..rules()
    };
    for revision in [9, 10] {
        let repeat = rules_record(revision, strict.clone());
        assert_eq!(apply(&mut ledger, repeat), JobEffect::Ignored);
    }
    let unusable = JobRules {
        group_size: 0,
        ..rules()
    };
    let refused = apply(&mut ledger, rules_record(12, unusable));
    assert_eq!(refused, JobEffect::Ignored);
    let changed = apply(&mut ledger, rules_record(11, strict));
    assert_eq!(changed, JobEffect::RulesChanged(Revision(11)));
    let stale = rejection(&mut ledger, sample(0, 0, 1, [0, 1]));
    assert!(matches!(stale, Some(DropReason::TooStale { .. })));
}

#[test]
fn open_steps_keep_their_samples_and_groups_when_the_rules_change() {
    let mut ledger = ledger_with_rules(rules());
    fill(&mut ledger, 0);
    let smaller = JobRules {
        samples_per_step: 2,
        prompt_count: 2,
        ..rules()
    };
    apply(&mut ledger, rules_record(11, smaller));
    apply(&mut ledger, acknowledged(0));
    let slots: Vec<(u64, u32, u32)> = ledger
        .open_slots()
        .map(|slot| (slot.step.0, slot.index, slot.prompt_index))
        .collect();
    let step_one = [(1, 0, 0), (1, 1, 0), (1, 2, 1), (1, 3, 1)];
    assert_eq!(slots, [&step_one[..], &[(2, 0, 0), (2, 1, 0)]].concat());
    let old_prompt = rejection(&mut ledger, sample(1, 0, 1, [0, 0]));
    assert_eq!(old_prompt, Some(DropReason::RulesChanged));
}

#[test]
fn repeated_offset_is_ignored_and_a_gap_is_an_error() {
    let mut ledger = ledger_with_rules(rules());
    let before = ledger.clone();
    let again = ledger.apply(LogOffset(0), &published(3));
    assert_eq!(again, Ok(JobEffect::Ignored));
    assert!(ledger.apply(LogOffset(2), &published(3)).is_err());
    assert_eq!(ledger, before);
}
