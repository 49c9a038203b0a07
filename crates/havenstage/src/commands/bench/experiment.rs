//! `havenstage bench run` and `havenstage bench compare`: experiments on the virtual clock.

use std::fs;
use std::path::Path;

use anyhow::Context;
use havenstage_bench::experiment::{
    Experiment, ExperimentError, compare::compare, page, run as run_experiment, table,
};
use serde::Serialize;

use crate::arguments::CommandLine;
use crate::commands::print;
use crate::exit::Failure;

/// Seeds of a comparison that names none.
const DEFAULT_SEEDS: u64 = 3;

/// Runs at once unless the command line says otherwise.
const DEFAULT_PARALLEL: usize = 2;

/// Runs one experiment.
pub fn run(mut line: CommandLine) -> Result<(), Failure> {
    let json = line.path("--json")?;
    let svg = line.path("--svg")?;
    let seed: Option<u64> = line.option("--seed")?;
    let path = line.required_path_argument()?;
    line.finish()?;
    let mut experiment = read(&path)?;
    experiment.seed = seed.unwrap_or(experiment.seed);
    let report = run_experiment(&experiment).map_err(failure)?;
    if let Some(path) = json {
        write_json(&path, &report)?;
    }
    if let Some(path) = svg {
        let page = page::svg(&report).map_err(failure)?;
        fs::write(&path, page).with_context(|| path.display().to_string())?;
    }
    print(&table::tables(&report))
}

/// Runs several experiments on the same seeds.
pub fn run_comparison(mut line: CommandLine) -> Result<(), Failure> {
    let json = line.path("--json")?;
    let seeds = line.option("--seeds")?.unwrap_or(DEFAULT_SEEDS);
    let parallel = line.option("--parallel")?.unwrap_or(DEFAULT_PARALLEL);
    let mut experiments = vec![read(&line.required_path_argument()?)?];
    experiments.push(read(&line.required_path_argument()?)?);
    while let Some(path) = line.word()? {
        experiments.push(read(Path::new(&path))?);
    }
    line.finish()?;
    let compared = compare(&experiments, seeds, parallel).map_err(failure)?;
    if let Some(path) = json {
        write_json(&path, &compared)?;
    }
    print(&table::comparison(&compared))
}

fn read(path: &Path) -> Result<Experiment, Failure> {
    Experiment::read(path).map_err(failure)
}

fn failure(error: ExperimentError) -> Failure {
    match error {
        ExperimentError::File { .. }
        | ExperimentError::Parse { .. }
        | ExperimentError::OutOfRange { .. } => Failure::usage(error),
        other => Failure::from(other),
    }
}

fn write_json(path: &Path, value: &impl Serialize) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(value)?;
    fs::write(path, text + "\n").with_context(|| path.display().to_string())?;
    Ok(())
}
