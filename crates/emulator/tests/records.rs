//! Records of executions: all of them, or a bounded number.

mod support;

use havenstage_emulator::settings::LengthDistribution;
use havenstage_emulator::{EngineSettings, EngineTime, ExecutionOutcome, InvalidEngineSettings};
use support::{attempt, engine, run_to_end};

fn settings(most_records: Option<u32>) -> EngineSettings {
    EngineSettings {
        initial_version: Some(1),
        // Longer than the test, unless a request asks for less.
        output_length: LengthDistribution::Fixed { tokens: 50_000 },
        most_records,
        ..EngineSettings::default()
    }
}

#[test]
fn the_oldest_ended_executions_are_forgotten_and_those_that_run_are_not() {
    let mut bounded = engine(settings(Some(3)));
    let mut endless = support::request(0);
    endless.max_tokens = 100_000;
    bounded.submit(EngineTime(0), endless).unwrap();
    for number in 1..=9 {
        let mut short = support::request(number);
        short.max_tokens = 1;
        let now = EngineTime(number * 1_000_000);
        bounded.submit(now, short).unwrap();
        assert!(bounded.executions().len() <= 6 + 1, "{number}");
    }
    let kept: Vec<u64> = bounded
        .executions()
        .iter()
        .map(|record| record.attempt.sequence)
        .collect();
    assert_eq!((kept[0], kept[kept.len() - 1]), (0, 9), "{kept:?}");
    assert!(!kept.contains(&1) && kept.contains(&7), "{kept:?}");
    bounded.cancel(EngineTime(10_000_000), attempt(0));
    run_to_end(&mut bounded);
    let ended = bounded.executions().iter();
    let mut ended = ended.filter(|record| record.attempt == attempt(0));
    let outcome = ended.next().map(|record| record.outcome);
    assert_eq!(
        outcome,
        Some(ExecutionOutcome::Cancelled),
        "its record was found"
    );
}

#[test]
fn all_are_kept_where_nothing_is_said() {
    let mut unbounded = engine(settings(None));
    for number in 1..=20 {
        unbounded
            .submit(EngineTime(0), support::request(number))
            .unwrap();
    }
    assert_eq!(unbounded.executions().len(), 20);
    let field = "most_records";
    let refused = settings(Some(0)).validate();
    assert_eq!(refused, Err(InvalidEngineSettings::Zero { field }));
}
