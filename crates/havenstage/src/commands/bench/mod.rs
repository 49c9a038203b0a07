//! `havenstage bench`: measures the system, one module for each measurement.

mod latency;

use crate::arguments::{CommandLine, UsageError};
use crate::exit::Failure;

const CHOICES: &str = "latency";

/// Runs the command.
pub fn run(mut line: CommandLine) -> Result<(), Failure> {
    let Some(measurement) = line.word()? else {
        return Err(Failure::usage(UsageError::MissingWord {
            command: "bench",
            choices: CHOICES,
        }));
    };
    match measurement.as_str() {
        "latency" => latency::run(line),
        _ => Err(Failure::usage(UsageError::UnknownCommand {
            command: format!("bench {measurement}"),
        })),
    }
}
