//! The havenstage program: a node, the operator's tool, stand-ins of the platform, and checks.

mod arguments;
mod commands;
mod exit;
mod help;
mod logging;
mod settings;

use std::process::ExitCode;

use arguments::CommandLine;
use commands::run;

fn main() -> ExitCode {
    match run(CommandLine::from_environment()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            // Standard error may be closed; there is nobody left to tell then.
            let _ = failure.report(&mut std::io::stderr());
            failure.exit_code()
        }
    }
}
