//! The prefix cache and the reports of its changes.

mod support;

use havenstage_emulator::cache_events::CacheChange;
use havenstage_emulator::settings::{InvalidEngineSettings, KvSettings};
use havenstage_emulator::{EngineOutput, EngineSettings, EngineTime};
use havenstage_types::engine::GenerateRequest;

use support::{Answers, engine, load_version, request, run_to_end, settings, time_ms};

const PROMPT_TOKENS: usize = 50;
/// Whole blocks of 16 tokens in the prompt.
const CACHED_TOKENS: u32 = 48;

fn with_prompt(sequence: u64, word: &str) -> GenerateRequest {
    let prompt = vec![word; PROMPT_TOKENS].join(" ");
    GenerateRequest {
        prompt,
        max_tokens: 100,
        ..request(sequence)
    }
}

fn cached_tokens(engine: &mut havenstage_emulator::Engine, request: GenerateRequest) -> u32 {
    let sequence = request.attempt.sequence;
    engine.submit(time_ms(sequence * 10_000), request).unwrap();
    let mut answers = Answers::default();
    answers.take(&run_to_end(engine));
    answers.of(sequence).cached_tokens
}

#[test]
fn a_repeated_prompt_is_found_in_the_cache_until_the_version_changes() {
    let mut engine = engine(settings());
    assert_eq!(cached_tokens(&mut engine, with_prompt(1, "crate")), 0);
    assert_eq!(
        cached_tokens(&mut engine, with_prompt(2, "crate")),
        CACHED_TOKENS
    );
    assert_eq!(cached_tokens(&mut engine, with_prompt(3, "slot")), 0);
    engine.order(time_ms(39_000), load_version(1, 2)).unwrap();
    run_to_end(&mut engine);
    assert_eq!(cached_tokens(&mut engine, with_prompt(4, "crate")), 0);
}

#[test]
fn a_cached_prompt_starts_sooner() {
    let mut engine = engine(settings());
    cached_tokens(&mut engine, with_prompt(1, "crate"));
    cached_tokens(&mut engine, with_prompt(2, "crate"));
    let waits: Vec<_> = engine
        .executions()
        .iter()
        .map(|record| record.first_token.unwrap().since(record.started))
        .collect();
    assert!(waits[1] < waits[0], "waits: {waits:?}");
}

#[test]
fn the_prefix_unused_for_longest_is_evicted_first() {
    let mut engine = engine(EngineSettings {
        kv: KvSettings {
            capacity_tokens: 512,
            ..settings().kv
        },
        ..settings()
    });
    // Each run leaves 9 whole blocks in the cache, which has room for 32.
    for (sequence, word) in [(1, "a"), (2, "b"), (3, "c")] {
        cached_tokens(&mut engine, with_prompt(sequence, word));
    }
    assert_eq!(
        cached_tokens(&mut engine, with_prompt(4, "a")),
        CACHED_TOKENS
    );
    cached_tokens(&mut engine, with_prompt(5, "d"));
    assert_eq!(
        cached_tokens(&mut engine, with_prompt(6, "a")),
        CACHED_TOKENS
    );
    assert!(cached_tokens(&mut engine, with_prompt(7, "b")) < CACHED_TOKENS);
}

#[test]
fn the_end_of_a_prefix_is_evicted_before_its_beginning() {
    let mut engine = engine(EngineSettings {
        kv: KvSettings {
            capacity_tokens: 256,
            ..settings().kv
        },
        ..settings()
    });
    // The second run takes 3 of the 9 blocks that the first one left.
    cached_tokens(&mut engine, with_prompt(1, "a"));
    cached_tokens(&mut engine, with_prompt(2, "b"));
    assert_eq!(
        cached_tokens(&mut engine, with_prompt(3, "a")),
        CACHED_TOKENS
    );
}

#[test]
fn cache_events_come_late_and_a_lost_one_leaves_a_gap() {
    let mut lossy = settings();
    lossy.kv.event_loss_probability = 0.3;
    let mut engine = engine(lossy);
    engine
        .submit(EngineTime(0), with_prompt(1, "crate"))
        .unwrap();
    let early = engine.advance(time_ms(400));
    assert!(
        !early
            .iter()
            .any(|output| matches!(output, EngineOutput::Cache(_)))
    );
    let mut sequences = Vec::new();
    for output in run_to_end(&mut engine) {
        if let EngineOutput::Cache(event) = output {
            assert!(matches!(event.change, CacheChange::Stored(_)));
            sequences.push(event.sequence);
        }
    }
    assert!(sequences.is_sorted());
    let highest = *sequences.last().unwrap();
    assert!(
        (sequences.len() as u64) < highest,
        "sequences: {sequences:?}"
    );
}

#[test]
fn exported_memory_is_cached_at_the_importing_engine_after_the_transfer() {
    let mut source = engine(settings());
    source
        .submit(EngineTime(0), with_prompt(1, "crate"))
        .unwrap();
    source.advance(time_ms(100));
    let export = source.export_kv(support::attempt(1)).unwrap();
    assert!(export.transfer.as_micros() > 0);
    let mut target = engine(settings());
    target.import_kv(EngineTime(0), export);
    run_to_end(&mut target);
    assert_eq!(
        cached_tokens(&mut target, with_prompt(2, "crate")),
        CACHED_TOKENS
    );
}

#[test]
fn settings_outside_their_range_are_refused() {
    let mut no_block = settings();
    no_block.kv.capacity_tokens = 3;
    let refused = no_block.validate();
    assert!(matches!(
        refused,
        Err(InvalidEngineSettings::OutOfRange {
            field: "kv.capacity_tokens",
            ..
        })
    ));
    let mut not_a_number = settings();
    not_a_number.compute.slowness = f64::NAN;
    assert!(not_a_number.validate().is_err());
    let mut no_chunk = settings();
    no_chunk.tokens_per_chunk = 0;
    let field = "tokens_per_chunk";
    assert_eq!(
        no_chunk.validate(),
        Err(InvalidEngineSettings::Zero { field })
    );
    assert_eq!(EngineSettings::default().validate(), Ok(()));
}
