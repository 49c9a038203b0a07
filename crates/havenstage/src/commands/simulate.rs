//! `havenstage simulate`: searches seeded faults for a broken promise, on a virtual clock.

use std::path::{Path, PathBuf};

use anyhow::Context;
use havenstage_simulator::deployment::Deployment;
use havenstage_simulator::search::run::RunOptions;
use havenstage_simulator::search::{
    Failure as FailedRun, SearchOptions, SearchProgress, SearchReport, search,
};
use indicatif::{ProgressBar, ProgressStyle};
use thiserror::Error;

use crate::arguments::CommandLine;
use crate::commands::print;
use crate::exit::Failure;

/// Seeds tried when none are asked for.
const DEFAULT_SEEDS: u64 = 100;

/// Threads when none are asked for.
const DEFAULT_THREADS: usize = 4;

/// Look of the progress bar.
const PROGRESS: &str = "{bar:40} {pos}/{len} seeds, {msg}, {eta} left";

/// The search ended with something broken.
#[derive(Debug, Error)]
#[error("{failed} runs broke a promise, {not_run} could not be run")]
struct Broken {
    failed: usize,
    not_run: usize,
}

/// What the command line asks for.
struct Request {
    deployment: Deployment,
    first: u64,
    seeds: u64,
    options: SearchOptions,
    failures: Option<PathBuf>,
}

/// Runs the command.
pub fn run(mut line: CommandLine) -> Result<(), Failure> {
    if let Some(file) = line.path("--replay")? {
        line.finish()?;
        return replay(&file);
    }
    let request = Request {
        deployment: line.option("--deployment")?.unwrap_or(Deployment::Cobrasur),
        first: line.option("--first")?.unwrap_or(0),
        seeds: line.option("--seeds")?.unwrap_or(DEFAULT_SEEDS),
        options: SearchOptions {
            threads: line.option("--threads")?.unwrap_or(DEFAULT_THREADS),
            ..SearchOptions::default()
        },
        failures: line.path("--failures")?,
    };
    line.finish()?;
    let report = search_with_progress(&request);
    if let Some(directory) = &request.failures {
        write_failures(directory, &report.failures)?;
    }
    print(&report.to_string())?;
    verdict(&report)
}

fn search_with_progress(request: &Request) -> SearchReport {
    let bar = ProgressBar::new(request.seeds);
    if let Ok(style) = ProgressStyle::with_template(PROGRESS) {
        bar.set_style(style);
    }
    let seeds = request.first..request.first.saturating_add(request.seeds);
    let show = |progress: SearchProgress| {
        bar.set_position(progress.done);
        bar.set_message(format!("{} failed", progress.failures));
    };
    let report = search(seeds, request.deployment, &request.options, &show);
    bar.finish_and_clear();
    report
}

fn verdict(report: &SearchReport) -> Result<(), Failure> {
    let failed = report.failures.len();
    let not_run = report.not_run.len();
    if failed + not_run > 0 {
        return Err(Broken { failed, not_run }.into());
    }
    Ok(())
}

fn write_failures(directory: &Path, failures: &[FailedRun]) -> Result<(), Failure> {
    std::fs::create_dir_all(directory).with_context(|| directory.display().to_string())?;
    for failure in failures {
        let name = format!("{}-{}.json", failure.deployment, failure.seed);
        let path = directory.join(name);
        let text = serde_json::to_string_pretty(failure)?;
        std::fs::write(&path, text + "\n").with_context(|| path.display().to_string())?;
    }
    Ok(())
}

/// Runs one recorded failure again, with its schedule.
fn replay(file: &Path) -> Result<(), Failure> {
    let text = std::fs::read_to_string(file)
        .with_context(|| file.display().to_string())
        .map_err(Failure::usage)?;
    let recorded: FailedRun = serde_json::from_str(&text)
        .with_context(|| file.display().to_string())
        .map_err(Failure::usage)?;
    let options = SearchOptions {
        run: RunOptions {
            schedule: Some(recorded.schedule),
            ..RunOptions::default()
        },
        shrink_runs: 0,
        ..SearchOptions::default()
    };
    let seeds = recorded.seed..recorded.seed.saturating_add(1);
    let report = search(seeds, recorded.deployment, &options, &|_progress| {});
    print(&report.to_string())?;
    verdict(&report)
}
