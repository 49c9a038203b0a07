//! The same experiment gives the same digits; another seed gives others.

use havenstage_bench::experiment::compare::compare;
use havenstage_bench::experiment::settings::{
    Experiment, FaultKind, FaultSettings, JobSettings, LiveSettings, PoolRole, TrainerSettings,
};
use havenstage_bench::experiment::{self, Report};
use havenstage_emulator::settings::LengthDistribution;

fn small() -> Experiment {
    let mut experiment = Experiment {
        duration_s: 300.0,
        job: JobSettings {
            prompts: 8,
            group_size: 4,
            samples_per_step: 32,
            max_tokens: 256,
            steps: 2,
            ..JobSettings::default()
        },
        trainer: TrainerSettings {
            train_s: 2.0,
            ..TrainerSettings::default()
        },
        live: vec![LiveSettings {
            name: "route".to_owned(),
            pool: PoolRole::Trained,
            rate_per_s: 2.0,
            burst: None,
            prefixes: 2,
            prefix_words: 16,
            own_words: 4,
            max_tokens: 32,
            deadline_s: 10.0,
        }],
        faults: vec![FaultSettings {
            at_s: 0.5,
            kind: FaultKind::EngineCrash,
            target: 2,
            for_s: 2.0,
        }],
        ..Experiment::default()
    };
    experiment.engine.output_length = LengthDistribution::LogNormal {
        median_tokens: 60.0,
        sigma: 0.8,
    };
    experiment
}

fn run(experiment: &Experiment) -> Report {
    experiment::run(experiment).expect("the job ends")
}

#[test]
fn the_same_seed_gives_the_same_digits() {
    let first = run(&small());
    let second = run(&small());
    assert_eq!(first, second);
    let other = run(&Experiment { seed: 2, ..small() });
    assert_ne!(first, other);
}

#[test]
fn runs_beside_each_other_give_the_digits_of_runs_alone() {
    let experiments = [small(), small()];
    let compared = compare(&experiments, 2, 3).expect("the jobs end");
    let alone = run(&small());
    assert_eq!(compared.variants[0].reports[0], alone);
    assert_eq!(compared.variants[0].reports, compared.variants[1].reports);
    let ratios = compared.variants[1].ratios_to(&compared.variants[0]);
    assert!(
        ratios
            .values()
            .all(|ratio| ratio.min == 1.0 && ratio.max == 1.0)
    );
}

#[test]
fn a_report_accounts_for_every_sample_and_call() {
    let report = run(&small());
    let training = report.training.expect("a job ran");
    assert_eq!(training.staleness_at_delivery.values().sum::<u64>(), 64);
    assert_eq!(training.staleness_at_commit.values().sum::<u64>(), 64);
    let of_steps: u64 = training.steps.iter().map(|step| step.tokens).sum();
    assert_eq!(of_steps, training.tokens.delivered);
    assert!(training.steps.iter().all(|step| step.ratio >= 1.0));
    assert_eq!(training.past_bound, 0);
    assert_eq!(report.swaps.seconds.len(), 1);
    assert_eq!(report.live[0].unanswered, 0);
    assert!(report.live[0].requests > 0);
    assert_eq!(report.faults, 1);
}

#[test]
fn live_load_comes_alike_with_and_without_training() {
    let alone = run(&Experiment {
        training: false,
        duration_s: 20.0,
        ..small()
    });
    assert!(alone.training.is_none());
    assert_eq!(alone.live[0].unanswered, 0);
    assert_eq!(alone.decisions.training_placed, 0);
}
