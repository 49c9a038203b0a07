//! `havenstage bench scale`: what many nodes cost, with hollow nodes in this process.

use std::fs;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use anyhow::Context;
use havenstage_bench::scale::{self, ClusterSize, Phase, ScaleReport, ScaleSettings};
use thiserror::Error;

use crate::arguments::CommandLine;
use crate::commands::print;
use crate::exit::Failure;
use crate::settings::file as settings_file;

/// A size or phase that cannot be read.
#[derive(Debug, Error)]
enum Unreadable {
    /// Not two numbers.
    #[error("{0} is not NODES:ENGINES")]
    Size(String),
    /// Not a phase.
    #[error("there is no phase {0}")]
    Phase(String),
    /// Reports of different sizes cannot be told apart when there are none.
    #[error("no report is given")]
    NoReport,
}

/// A size on the command line: nodes and engines.
struct SizeArgument(ClusterSize);

impl FromStr for SizeArgument {
    type Err = Unreadable;

    fn from_str(text: &str) -> Result<Self, Unreadable> {
        let unreadable = || Unreadable::Size(text.to_owned());
        let (nodes, engines) = text.split_once(':').ok_or_else(unreadable)?;
        Ok(Self(ClusterSize {
            nodes: nodes.parse().map_err(|_not_a_number| unreadable())?,
            engines: engines.parse().map_err(|_not_a_number| unreadable())?,
        }))
    }
}

/// A phase on the command line, by the name it has in the settings.
struct PhaseArgument(Phase);

impl FromStr for PhaseArgument {
    type Err = Unreadable;

    fn from_str(text: &str) -> Result<Self, Unreadable> {
        let name = serde_json::Value::String(text.to_owned());
        serde_json::from_value(name)
            .map(Self)
            .map_err(|_unknown| Unreadable::Phase(text.to_owned()))
    }
}

/// Runs the command.
pub fn run(mut line: CommandLine) -> Result<(), Failure> {
    let json = line.path("--json")?;
    let joined: Vec<PathBuf> = line.options("--join")?;
    let report = if joined.is_empty() {
        measure(line)?
    } else {
        line.finish()?;
        join(&joined)?
    };
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&report)?;
        fs::write(&path, text).with_context(|| path.display().to_string())?;
    }
    print(&scale::render(&report))
}

fn measure(mut line: CommandLine) -> Result<ScaleReport, Failure> {
    let mut settings = match line.path("--settings")? {
        Some(path) => settings_file::read(&path)?,
        None => ScaleSettings::default(),
    };
    let sizes: Vec<SizeArgument> = line.options("--size")?;
    let phases: Vec<PhaseArgument> = line.options("--phase")?;
    line.finish()?;
    if !sizes.is_empty() {
        settings.sizes = sizes.into_iter().map(|size| size.0).collect();
    }
    if !phases.is_empty() {
        settings.phases = phases.into_iter().map(|phase| phase.0).collect();
    }
    let report = scale::run(&settings, |progress| eprintln!("{progress:?}"))?;
    Ok(report)
}

fn join(paths: &[PathBuf]) -> Result<ScaleReport, Failure> {
    let reports: Result<Vec<ScaleReport>, Failure> = paths.iter().map(|path| read(path)).collect();
    ScaleReport::joined(reports?).ok_or_else(|| Failure::usage(Unreadable::NoReport))
}

fn read(path: &Path) -> Result<ScaleReport, Failure> {
    let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let report = serde_json::from_str(&text).with_context(|| path.display().to_string())?;
    Ok(report)
}
