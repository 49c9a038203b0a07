//! Experiment files: strictness, bases, the files that come with the program, and the bound.

use std::path::{Path, PathBuf};

use havenstage_bench::experiment::lower_bound::{SampleWork, lower_bound};
use havenstage_bench::experiment::{Experiment, ExperimentError};
use havenstage_emulator::settings::ComputeCost;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments")
}

#[test]
fn all_files_that_come_with_the_program_are_valid() {
    let files = std::fs::read_dir(directory()).expect("a directory");
    let mut count = 0;
    for file in files {
        let path = file.expect("an entry").path();
        Experiment::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        count += 1;
    }
    assert!(count > 0);
}

#[test]
fn a_file_is_laid_over_its_base() {
    let base = Experiment::read(&directory().join("po-valley.toml")).expect("valid");
    let before = Experiment::read(&directory().join("po-valley-before.toml")).expect("valid");
    assert_eq!(before.job, base.job);
    assert_eq!(before.node.training_patience_ms, 20_000);
    assert_ne!(before.node, base.node);
}

#[test]
fn unknown_keys_and_values_out_of_range_are_refused() {
    let refused = |text: &str| toml::from_str::<Experiment>(text).is_err();
    assert!(refused("sed = 1"));
    assert!(refused("[node]\nno_such_setting = 1"));
    assert!(refused("deployment = \"elsewhere\""));
    let mut experiment = Experiment::default();
    experiment.job.samples_per_step = experiment.job.group_size + 1;
    assert!(matches!(
        experiment.validate(),
        Err(ExperimentError::OutOfRange {
            setting: "job.samples_per_step",
            ..
        })
    ));
}

#[test]
fn the_bound_is_the_longest_sample_or_the_work() {
    let cost = ComputeCost {
        iteration_us: 1_000.0,
        decode_sequence_us: 100.0,
        decode_context_token_us: 0.0,
        ..ComputeCost::default()
    };
    let sample = |tokens| SampleWork {
        prompt_tokens: 10,
        tokens,
    };
    let one = lower_bound(&[sample(1_000)], &cost, 4, 10);
    assert_eq!((one.longest_s, one.work_s), (1.1, 0.05));
    assert_eq!(one.seconds(), 1.1);
    let many = lower_bound(&vec![sample(1_000); 400], &cost, 4, 10);
    assert!((many.work_s - 20.0).abs() < 1e-9);
    assert_eq!(many.seconds(), many.work_s);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn more_engines_or_slots_never_raise_the_bound(
        tokens in proptest::collection::vec(1_u32..2_000, 1..50),
        engines in 1_u32..20,
        slots in 1_u32..200,
    ) {
        let samples: Vec<SampleWork> = tokens
            .iter()
            .map(|&tokens| SampleWork { prompt_tokens: 100, tokens })
            .collect();
        let cost = ComputeCost::default();
        let bound = lower_bound(&samples, &cost, engines, slots).seconds();
        prop_assert!(lower_bound(&samples, &cost, engines + 1, slots).seconds() <= bound);
        prop_assert!(lower_bound(&samples, &cost, engines, slots + 1).seconds() <= bound);
    }
}
