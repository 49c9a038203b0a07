//! How the program ends when it could not do as asked.

use std::io::{self, Write};
use std::process::ExitCode;

use anyhow::Error;

/// Exit codes, as the help texts name them. Success is 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// It failed.
    Failed = 1,
    /// The command line or a file is not as required.
    Usage = 2,
    /// The resource is at another revision.
    Conflict = 3,
    /// A change may or may not take effect.
    OutcomeUnknown = 4,
}

/// An error with the exit code it leads to.
#[derive(Debug)]
pub struct Failure {
    exit: Exit,
    error: Error,
}

impl Failure {
    /// An error that leads to `exit`.
    pub fn new(exit: Exit, error: impl Into<Error>) -> Self {
        Self {
            exit,
            error: error.into(),
        }
    }

    /// An error of the command line or a file.
    pub fn usage(error: impl Into<Error>) -> Self {
        Self::new(Exit::Usage, error)
    }

    /// The code to exit with.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(self.exit as u8)
    }

    /// Writes the error and its causes on one line.
    pub fn report(&self, output: &mut impl Write) -> io::Result<()> {
        writeln!(output, "havenstage: {:#}", self.error)
    }
}

impl<E: Into<Error>> From<E> for Failure {
    fn from(error: E) -> Self {
        Self::new(Exit::Failed, error)
    }
}
