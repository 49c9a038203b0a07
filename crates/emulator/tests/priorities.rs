//! Who computes first when slots or memory are short.

mod support;

use havenstage_emulator::settings::{KvSettings, WhenKvFull};
use havenstage_emulator::{
    Engine, EngineOutput, EngineSettings, EngineTime, ExecutionOutcome, SubmitRefusal,
};
use havenstage_types::engine::GenerateRequest;
use havenstage_types::resource::PriorityClass;

use support::{attempt, engine, request, run_to_end, settings, time_ms, training};

fn one_slot() -> EngineSettings {
    EngineSettings {
        max_running_requests: 1,
        ..settings()
    }
}

fn submit_all(engine: &mut Engine, requests: impl IntoIterator<Item = GenerateRequest>) {
    for request in requests {
        engine.submit(EngineTime(0), request).unwrap();
    }
}

/// Attempt numbers in the order in which they finished.
fn finish_order(outputs: &[EngineOutput]) -> Vec<u64> {
    outputs
        .iter()
        .filter_map(|output| match output {
            EngineOutput::Chunk { attempt, chunk } if chunk.finish.is_some() => {
                Some(attempt.sequence)
            }
            _ => None,
        })
        .collect()
}

#[test]
fn the_more_urgent_class_goes_first_and_then_the_earlier_arrival() {
    let mut engine = engine(one_slot());
    let urgent = GenerateRequest {
        class: PriorityClass::Urgent,
        ..request(5)
    };
    let requests = [training(1), training(2), request(3), request(4), urgent];
    submit_all(&mut engine, requests);
    let outputs = run_to_end(&mut engine);
    assert_eq!(finish_order(&outputs), [5, 3, 4, 1, 2]);
    assert_eq!(engine.executions()[0].preemptions, 1);
}

#[test]
fn training_does_not_displace_training() {
    let mut engine = engine(one_slot());
    submit_all(&mut engine, [training(1), training(2)]);
    let outputs = run_to_end(&mut engine);
    assert_eq!(finish_order(&outputs), [1, 2]);
    assert!(
        engine
            .executions()
            .iter()
            .all(|record| record.preemptions == 0)
    );
}

fn short_memory(when_full: WhenKvFull) -> EngineSettings {
    EngineSettings {
        kv: KvSettings {
            capacity_tokens: 512,
            when_full,
            ..KvSettings::default()
        },
        ..settings()
    }
}

#[test]
fn when_memory_runs_out_the_latest_training_is_computed_again() {
    let mut engine = engine(short_memory(WhenKvFull::Preempt));
    submit_all(&mut engine, (0..8).map(training));
    let outputs = run_to_end(&mut engine);
    assert_eq!(finish_order(&outputs).len(), 8);
    let preemptions: Vec<u32> = engine
        .executions()
        .iter()
        .map(|record| record.preemptions)
        .collect();
    assert_eq!(preemptions[0], 0);
    assert!(preemptions[7] > 0, "preemptions: {preemptions:?}");
}

#[test]
fn an_engine_set_to_crash_runs_out_of_memory_and_restarts_empty() {
    let mut engine = engine(short_memory(WhenKvFull::Crash));
    let first_boot = engine.true_load().boot;
    submit_all(&mut engine, (0..8).map(training));
    let outputs = run_to_end(&mut engine);
    let broken = outputs
        .iter()
        .filter(|output| matches!(output, EngineOutput::Broken { .. }))
        .count();
    assert_eq!(broken, 8);
    assert_ne!(engine.true_load().boot, first_boot);
    assert_eq!(engine.true_load().kv_used_tokens, 0);
    let crashed = |outcome| outcome == ExecutionOutcome::Crashed;
    assert!(
        engine
            .executions()
            .iter()
            .all(|record| crashed(record.outcome))
    );
}

#[test]
fn what_can_never_fit_is_refused() {
    let mut engine = engine(short_memory(WhenKvFull::Preempt));
    let mut too_long = request(1);
    too_long.max_tokens = 600;
    let refusal = engine.submit(EngineTime(0), too_long).unwrap_err();
    assert!(matches!(
        refusal,
        SubmitRefusal::TooLong {
            capacity_tokens: 512,
            ..
        }
    ));
    assert!(engine.executions().is_empty());
}

#[test]
fn a_known_attempt_and_a_full_queue_are_refused() {
    let mut engine = engine(EngineSettings {
        max_waiting_requests: 1,
        ..one_slot()
    });
    submit_all(&mut engine, [request(1), request(2)]);
    let known = engine.submit(EngineTime(0), request(2));
    assert_eq!(known, Err(SubmitRefusal::KnownAttempt));
    let full = engine.submit(EngineTime(0), request(3));
    assert_eq!(full, Err(SubmitRefusal::QueueFull));
}

#[test]
fn the_load_report_lags_behind() {
    let mut engine = engine(settings());
    engine.submit(time_ms(1_000), request(1)).unwrap();
    assert_eq!(engine.true_load().running, 1);
    assert_eq!(engine.load_report(time_ms(1_100)).running, 0);
    engine.advance(time_ms(1_300));
    assert_eq!(engine.load_report(time_ms(1_300)).running, 1);
    assert_eq!(engine.executions()[0].attempt, attempt(1));
}
