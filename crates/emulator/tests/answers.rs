//! Answers are determined by subject and index, whatever happens to an execution.

mod support;

use havenstage_emulator::settings::{KvSettings, LengthDistribution};
use havenstage_emulator::{EngineSettings, EngineTime, ExecutionOutcome};
use havenstage_types::request::FinishReason;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use support::{Answers, engine, request, run_alone, run_to_end, settings, time_ms, training};

fn heavy_tailed() -> EngineSettings {
    EngineSettings {
        output_length: LengthDistribution::Pareto {
            minimum_tokens: 10.0,
            shape: 1.1,
        },
        ..settings()
    }
}

#[test]
fn the_same_input_gives_the_same_output() {
    let run = || {
        let mut engine = engine(heavy_tailed());
        for sequence in 0..20 {
            engine.submit(time_ms(sequence), request(sequence)).unwrap();
        }
        (run_to_end(&mut engine), engine.executions().to_vec())
    };
    assert_eq!(run(), run());
}

#[test]
fn engines_with_one_content_seed_agree_and_others_differ() {
    let fast = run_alone(heavy_tailed(), request(1));
    let mut slow = heavy_tailed();
    slow.compute.slowness = 3.0;
    assert_eq!(run_alone(slow, request(1)).tokens, fast.tokens);
    let mut other = heavy_tailed();
    other.content_seed = 1;
    assert_ne!(run_alone(other, request(1)).tokens, fast.tokens);
}

#[test]
fn an_answer_is_cut_at_max_tokens() {
    let mut short = request(1);
    short.max_tokens = 30;
    let answer = run_alone(settings(), short);
    assert_eq!(answer.finish, Some(FinishReason::Length));
    assert_eq!(
        answer.tokens,
        run_alone(settings(), request(1)).tokens[..30]
    );
}

#[test]
fn an_instant_engine_gives_the_same_answer_at_once() {
    let instant = EngineSettings {
        instant: true,
        ..heavy_tailed()
    };
    let mut instant_engine = engine(instant);
    instant_engine.submit(EngineTime(5), request(1)).unwrap();
    let mut answers = Answers::default();
    answers.take(&instant_engine.advance(EngineTime(5)));
    assert_eq!(
        answers.of(1).tokens,
        run_alone(heavy_tailed(), request(1)).tokens
    );
    assert_eq!(answers.of(1).finish, Some(FinishReason::Stop));
}

#[test]
fn a_cancelled_execution_puts_out_nothing_more_and_frees_its_memory() {
    let mut engine = engine(settings());
    engine.submit(EngineTime(0), request(1)).unwrap();
    engine.advance(time_ms(200));
    engine.cancel(time_ms(200), support::attempt(1));
    let mut answers = Answers::default();
    answers.take(&run_to_end(&mut engine));
    assert!(answers.0.is_empty());
    assert_eq!(engine.true_load().kv_used_tokens, 0);
    assert_eq!(engine.executions()[0].outcome, ExecutionOutcome::Cancelled);
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        cases: 64,
        ..Config::default()
    })]

    #[test]
    fn resuming_equals_running_through(kept in 0_usize..120, subject in 0_u64..50) {
        let whole = run_alone(heavy_tailed(), request(subject));
        let kept = kept.min(whole.tokens.len());
        let mut resumed = request(subject);
        resumed.resume_tokens = whole.tokens[..kept].to_vec();
        let rest = run_alone(heavy_tailed(), resumed);
        prop_assert_eq!(&rest.tokens[..], &whole.tokens[kept..]);
        prop_assert_eq!(rest.finish, whole.finish);
    }

    #[test]
    fn short_memory_is_never_exceeded_and_changes_no_answer(
        arrivals in prop::collection::vec((0_u64..300, 0_u64..6, any::<bool>()), 1..25),
        cancelled in prop::collection::btree_set(0_usize..25, 0..4),
    ) {
        let short_memory = EngineSettings {
            kv: KvSettings { capacity_tokens: 512, ..KvSettings::default() },
            max_running_requests: 6,
            ..heavy_tailed()
        };
        let mut engine = engine(short_memory.clone());
        let mut answers = Answers::default();
        let mut now = 0;
        for (index, (pause, prompt, is_live)) in arrivals.iter().enumerate() {
            now += pause;
            answers.take(&engine.advance(time_ms(now)));
            let sequence = index as u64;
            let mut request = if *is_live { request(sequence) } else { training(sequence) };
            request.prompt = format!("{prompt} ").repeat(60);
            engine.submit(time_ms(now), request).unwrap();
            if cancelled.contains(&index) {
                engine.cancel(time_ms(now + 20), support::attempt(sequence));
                now += 20;
            }
            prop_assert!(engine.kv_occupied_tokens() <= 512);
        }
        while let Some(event_at) = engine.next_event_at() {
            answers.take(&engine.advance(event_at));
            prop_assert!(engine.kv_occupied_tokens() <= 512);
        }
        prop_assert_eq!(engine.true_load().kv_used_tokens, 0);
        for index in 0..arrivals.len() {
            if cancelled.contains(&index) {
                continue;
            }
            let sequence = index as u64;
            let alone = run_alone(short_memory.clone(), request(sequence));
            prop_assert_eq!(answers.of(sequence).tokens, alone.tokens);
            prop_assert!(answers.of(sequence).finish.is_some());
        }
    }
}
