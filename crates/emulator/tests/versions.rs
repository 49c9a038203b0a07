//! Version swaps and fenced orders.

mod support;

use havenstage_emulator::settings::SwapSettings;
use havenstage_emulator::{EngineOutput, EngineSettings, EngineTime, OrderRefusal, SubmitRefusal};
use havenstage_types::ids::{FencingToken, VersionNumber};

use support::{Answers, engine, load_version, request, run_alone, run_to_end, settings, time_ms};

#[test]
fn a_swap_in_the_middle_of_an_answer_starts_a_new_segment() {
    // No chunk fills up before the swap, so the swap itself must put out what came before it.
    let mut engine = engine(EngineSettings {
        tokens_per_chunk: 1_000,
        ..settings()
    });
    engine.submit(EngineTime(0), request(1)).unwrap();
    engine.order(time_ms(100), load_version(1, 2)).unwrap();
    let mut answers = Answers::default();
    answers.take(&run_to_end(&mut engine));
    let answer = answers.of(1);
    let versions: Vec<u64> = answer
        .segments
        .0
        .iter()
        .map(|segment| segment.version.0)
        .collect();
    assert_eq!(versions, [1, 2]);
    assert_eq!(answer.segments.token_count(), 100);
    assert_eq!(answer.tokens, run_alone(settings(), request(1)).tokens);
    assert_eq!(engine.executions()[0].versions, answer.segments);
}

#[test]
fn nothing_is_put_out_while_weights_load() {
    let mut engine = engine(settings());
    engine.submit(EngineTime(0), request(1)).unwrap();
    engine.order(EngineTime(0), load_version(1, 2)).unwrap();
    let mut load_began = None;
    let mut outputs_while_loading = 0;
    while let Some(event_at) = engine.next_event_at() {
        let outputs = engine.advance(event_at);
        if outputs.contains(&EngineOutput::VersionLoaded(VersionNumber(2))) {
            break;
        }
        let pause_us = load_began.map_or(0, |began: EngineTime| event_at.since(began).as_micros());
        outputs_while_loading += usize::from(pause_us > 0 && !outputs.is_empty());
        if event_at >= time_ms(100) && load_began.is_none() && !outputs.is_empty() {
            load_began = Some(event_at);
        }
    }
    assert!(load_began.is_some());
    assert_eq!(outputs_while_loading, 0);
}

#[test]
fn a_failed_swap_leaves_the_old_version_and_may_be_repeated() {
    let mut engine = engine(settings());
    engine.fail_next_swap();
    engine.order(EngineTime(0), load_version(1, 2)).unwrap();
    let outputs = run_to_end(&mut engine);
    assert!(outputs.contains(&EngineOutput::SwapFailed(VersionNumber(2))));
    assert_eq!(engine.true_load().version, Some(VersionNumber(1)));
    assert_eq!(engine.true_load().failed_swap, Some(VersionNumber(2)));
    engine.order(time_ms(500), load_version(1, 2)).unwrap();
    run_to_end(&mut engine);
    assert_eq!(engine.true_load().version, Some(VersionNumber(2)));
    assert_eq!(engine.true_load().failed_swap, None);
}

#[test]
fn swaps_fail_with_the_probability_set() {
    let mut engine = engine(EngineSettings {
        swap: SwapSettings {
            failure_probability: 0.3,
            ..settings().swap
        },
        ..settings()
    });
    let mut failures = 0;
    for version in 2..202 {
        engine
            .order(time_ms(version * 1_000), load_version(version, version))
            .unwrap();
        let outputs = run_to_end(&mut engine);
        failures +=
            usize::from(outputs.contains(&EngineOutput::SwapFailed(VersionNumber(version))));
    }
    assert!((40..=80).contains(&failures), "failures: {failures} of 200");
}

#[test]
fn a_lower_token_is_refused_and_changes_nothing() {
    let mut engine = engine(settings());
    engine.order(EngineTime(0), load_version(9, 3)).unwrap();
    let refused = engine.order(EngineTime(0), load_version(8, 2));
    let highest = FencingToken(9);
    assert_eq!(refused, Err(OrderRefusal::Fenced { highest }));
    engine.order(EngineTime(0), load_version(9, 3)).unwrap();
    let outputs = run_to_end(&mut engine);
    let loaded: Vec<_> = outputs
        .iter()
        .filter(|output| matches!(output, EngineOutput::VersionLoaded(_)))
        .collect();
    assert_eq!(loaded, [&EngineOutput::VersionLoaded(VersionNumber(3))]);
}

#[test]
fn an_order_during_a_load_is_carried_out_after_it() {
    let mut engine = engine(settings());
    engine.order(EngineTime(0), load_version(1, 2)).unwrap();
    engine.order(time_ms(120), load_version(2, 3)).unwrap();
    let outputs = run_to_end(&mut engine);
    let first = VersionNumber(2);
    let second = VersionNumber(3);
    let expected = [
        EngineOutput::VersionLoaded(first),
        EngineOutput::VersionLoaded(second),
    ];
    assert_eq!(outputs, expected);
}

#[test]
fn a_newer_order_replaces_one_that_is_still_fetching() {
    let mut engine = engine(settings());
    engine.order(EngineTime(0), load_version(1, 2)).unwrap();
    engine.order(time_ms(50), load_version(2, 3)).unwrap();
    let outputs = run_to_end(&mut engine);
    assert_eq!(outputs, [EngineOutput::VersionLoaded(VersionNumber(3))]);
}

#[test]
fn an_external_fetch_is_waited_for() {
    let mut external = settings();
    external.swap.external_fetch = true;
    let mut engine = engine(external);
    engine.order(EngineTime(0), load_version(1, 2)).unwrap();
    let outputs = run_to_end(&mut engine);
    let location = "/models/tone/versions/2".to_owned();
    let version = VersionNumber(2);
    assert_eq!(outputs, [EngineOutput::FetchWanted { version, location }]);
    engine.fetch_finished(time_ms(900), VersionNumber(7), true);
    assert!(run_to_end(&mut engine).is_empty());
    engine.fetch_finished(time_ms(1_000), version, true);
    let outputs = run_to_end(&mut engine);
    assert_eq!(outputs, [EngineOutput::VersionLoaded(version)]);
    engine.order(time_ms(2_000), load_version(2, 3)).unwrap();
    engine.fetch_finished(time_ms(2_100), VersionNumber(3), false);
    let outputs = run_to_end(&mut engine);
    assert!(outputs.contains(&EngineOutput::SwapFailed(VersionNumber(3))));
    assert_eq!(engine.true_load().version, Some(version));
}

#[test]
fn a_crash_brings_back_the_initial_version_under_a_new_boot_id() {
    let mut engine = engine(settings());
    let first_boot = engine.true_load().boot;
    engine.order(EngineTime(0), load_version(5, 2)).unwrap();
    run_to_end(&mut engine);
    engine.submit(time_ms(300), request(1)).unwrap();
    engine.crash(time_ms(310));
    let outputs = run_to_end(&mut engine);
    let boot = engine.true_load().boot;
    let attempt = support::attempt(1);
    assert_eq!(
        outputs,
        [
            EngineOutput::Broken { attempt },
            EngineOutput::Crashed { boot }
        ]
    );
    assert_ne!(boot, first_boot);
    assert_eq!(engine.true_load().version, Some(VersionNumber(1)));
    engine.submit(time_ms(320), request(1)).unwrap();
    let boots: Vec<u64> = engine
        .executions()
        .iter()
        .map(|record| record.boot)
        .collect();
    assert_eq!(boots, [first_boot, boot]);
}

#[test]
fn an_engine_without_a_version_or_leaving_takes_nothing() {
    let mut empty = settings();
    empty.initial_version = None;
    let mut empty = engine(empty);
    assert_eq!(
        empty.submit(EngineTime(0), request(1)),
        Err(SubmitRefusal::NoVersion)
    );
    let mut leaving = engine(settings());
    leaving.leave(EngineTime(0));
    assert_eq!(
        leaving.submit(EngineTime(0), request(1)),
        Err(SubmitRefusal::Leaving)
    );
    assert!(leaving.true_load().leaving);
}
