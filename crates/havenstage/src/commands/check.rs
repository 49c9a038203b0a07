//! `havenstage check`: judges a recorded history.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufReader;

use anyhow::Context;
use havenstage_history::checker::{Bounds, JobBounds, check};
use havenstage_history::file;
use havenstage_types::ids::{JobName, ModelName};
use serde::Deserialize;
use thiserror::Error;

use crate::arguments::CommandLine;
use crate::commands::print;
use crate::exit::Failure;
use crate::settings::file as settings_file;

/// Bounds as a file gives them; what it leaves out has the checker's default.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct BoundsFile {
    leaving_grace_ms: u64,
    config_in_force_ms: u64,
    default_deadline_ms: u64,
    deadline_grace_ms: u64,
    delivery_slack_ms: u64,
    jobs: BTreeMap<JobName, JobBoundsSection>,
}

#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBoundsSection {
    model: ModelName,
    staleness_bound: u64,
    samples_per_step: u32,
}

impl Default for BoundsFile {
    fn default() -> Self {
        let bounds = Bounds::default();
        Self {
            leaving_grace_ms: bounds.leaving_grace_ms,
            config_in_force_ms: bounds.config_in_force_ms,
            default_deadline_ms: bounds.default_deadline_ms,
            deadline_grace_ms: bounds.deadline_grace_ms,
            delivery_slack_ms: bounds.delivery_slack_ms,
            jobs: BTreeMap::new(),
        }
    }
}

impl From<BoundsFile> for Bounds {
    fn from(file: BoundsFile) -> Self {
        let jobs = file
            .jobs
            .into_iter()
            .map(|(name, job)| (name, JobBounds::from(job)));
        Self {
            leaving_grace_ms: file.leaving_grace_ms,
            config_in_force_ms: file.config_in_force_ms,
            default_deadline_ms: file.default_deadline_ms,
            deadline_grace_ms: file.deadline_grace_ms,
            delivery_slack_ms: file.delivery_slack_ms,
            jobs: jobs.collect(),
        }
    }
}

impl From<JobBoundsSection> for JobBounds {
    fn from(section: JobBoundsSection) -> Self {
        Self {
            model: section.model,
            staleness_bound: section.staleness_bound,
            samples_per_step: section.samples_per_step,
        }
    }
}

/// The history shows a broken promise or a recording that cannot be judged.
#[derive(Debug, Error)]
#[error("the history is not clean: {broken} promises broken, {faults} recording faults")]
struct NotClean {
    broken: usize,
    faults: usize,
}

/// Runs the command.
pub fn run(mut line: CommandLine) -> Result<(), Failure> {
    let bounds = line.path("--bounds")?;
    let bounds: BoundsFile =
        settings_file::read_or_default(bounds.as_deref()).map_err(Failure::usage)?;
    let path = line.required_path_argument()?;
    line.finish()?;
    let input = File::open(&path).with_context(|| path.display().to_string())?;
    let events = file::read(BufReader::new(input)).with_context(|| path.display().to_string())?;
    let report = check(&events, &bounds.into());
    print(&report.to_string())?;
    if report.is_clean() {
        return Ok(());
    }
    Err(Failure::from(NotClean {
        broken: report.broken().len(),
        faults: report.recording_faults.len(),
    }))
}
