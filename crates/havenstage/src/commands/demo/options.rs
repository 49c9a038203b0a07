//! Options of the demonstration.

use std::path::PathBuf;

use havenstage_simulator::deployment::Deployment;
use thiserror::Error;

use crate::arguments::CommandLine;
use crate::exit::Failure;

/// Samples drawn from one prompt.
pub const GROUP_SIZE: u32 = 4;

const DEFAULT_STEPS: u64 = 12;
const DEFAULT_SAMPLES: u32 = 48;
const HIGHEST_STEPS: u64 = 1_000;
const HIGHEST_SAMPLES: u32 = 4_096;

/// An option outside its allowed range.
#[derive(Debug, Error)]
#[error("{option} is {value}, allowed: {allowed}")]
struct OptionOutOfRange {
    option: &'static str,
    value: u64,
    allowed: &'static str,
}

/// What to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemoOptions {
    /// Zones, pools and numbers of engines.
    pub deployment: Deployment,
    /// File with prompts; `None` takes the built-in ones.
    pub prompts: Option<PathBuf>,
    /// Training steps.
    pub steps: u64,
    /// Samples of one step.
    pub samples: u32,
    /// Whether to stop a node, crash an engine and drain another meanwhile.
    pub chaos: bool,
    /// Whether to keep everything running at the end.
    pub hold: bool,
    /// Whether to print the result as JSON.
    pub json: bool,
}

impl DemoOptions {
    /// Reads the command line to its end.
    pub fn read(mut line: CommandLine) -> Result<Self, Failure> {
        let options = Self {
            deployment: line.option("--deployment")?.unwrap_or(Deployment::Cobrasur),
            prompts: line.path("--prompts")?,
            steps: line.option("--steps")?.unwrap_or(DEFAULT_STEPS),
            samples: line.option("--samples")?.unwrap_or(DEFAULT_SAMPLES),
            chaos: line.flag("--chaos"),
            hold: line.flag("--hold"),
            json: line.flag("--json"),
        };
        line.finish()?;
        options.validate().map_err(Failure::usage)?;
        Ok(options)
    }

    fn validate(&self) -> Result<(), OptionOutOfRange> {
        if !(1..=HIGHEST_STEPS).contains(&self.steps) {
            return Err(OptionOutOfRange {
                option: "--steps",
                value: self.steps,
                allowed: "1 to 1000",
            });
        }
        let in_range = (GROUP_SIZE..=HIGHEST_SAMPLES).contains(&self.samples);
        if !in_range || !self.samples.is_multiple_of(GROUP_SIZE) {
            return Err(OptionOutOfRange {
                option: "--samples",
                value: u64::from(self.samples),
                allowed: "4 to 4096, a multiple of 4",
            });
        }
        Ok(())
    }
}
