//! The command line, read with typed errors.

use std::ffi::OsString;
use std::fmt::Display;
use std::path::PathBuf;
use std::str::FromStr;

use pico_args::Arguments;
use thiserror::Error;

use crate::exit::Failure;

/// How errors name an argument that belongs to no option.
const ARGUMENT: &str = "argument";

/// What is wrong with a command line.
#[derive(Debug, Error)]
pub enum UsageError {
    /// An option or argument is missing or has a value that cannot be read.
    #[error("{name}: {reason}; see `havenstage --help`")]
    Option {
        /// Name of the option, or `argument`.
        name: &'static str,
        /// What is wrong.
        reason: pico_args::Error,
    },
    /// Arguments are left over.
    #[error("unexpected argument {argument}; see `havenstage --help`")]
    Unexpected {
        /// The first of them.
        argument: String,
    },
    /// No such subcommand.
    #[error("there is no command {command}; see `havenstage --help`")]
    UnknownCommand {
        /// Command given.
        command: String,
    },
    /// A subcommand needs another word.
    #[error("{command} needs one of: {choices}")]
    MissingWord {
        /// Command that needs it.
        command: &'static str,
        /// Words to choose from.
        choices: &'static str,
    },
}

/// The arguments that have not been read yet.
pub struct CommandLine {
    arguments: Arguments,
}

impl CommandLine {
    /// The arguments of this process.
    pub fn from_environment() -> Self {
        Self {
            arguments: Arguments::from_env(),
        }
    }

    /// The next word, if it is not an option.
    pub fn word(&mut self) -> Result<Option<String>, Failure> {
        self.arguments.subcommand().map_err(usage(ARGUMENT))
    }

    /// The next argument, which must be there.
    pub fn required<T>(&mut self) -> Result<T, Failure>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.arguments.free_from_str().map_err(usage(ARGUMENT))
    }

    /// Whether a flag is given.
    pub fn flag(&mut self, name: &'static str) -> bool {
        self.arguments.contains(name)
    }

    /// Whether the help text is asked for.
    pub fn wants_help(&mut self) -> bool {
        self.arguments.contains(["-h", "--help"])
    }

    /// The value of an option, if it is given.
    pub fn option<T>(&mut self, name: &'static str) -> Result<Option<T>, Failure>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.arguments.opt_value_from_str(name).map_err(usage(name))
    }

    /// The value of an option that must be given.
    pub fn required_option<T>(&mut self, name: &'static str) -> Result<T, Failure>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.arguments.value_from_str(name).map_err(usage(name))
    }

    /// All values of an option.
    pub fn options<T>(&mut self, name: &'static str) -> Result<Vec<T>, Failure>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.arguments.values_from_str(name).map_err(usage(name))
    }

    /// The path given with an option, if it is given.
    pub fn path(&mut self, name: &'static str) -> Result<Option<PathBuf>, Failure> {
        self.arguments
            .opt_value_from_os_str(name, to_path)
            .map_err(usage(name))
    }

    /// The path given with an option that must be given.
    pub fn required_path(&mut self, name: &'static str) -> Result<PathBuf, Failure> {
        self.arguments
            .value_from_os_str(name, to_path)
            .map_err(usage(name))
    }

    /// The next argument as a path, which must be there.
    pub fn required_path_argument(&mut self) -> Result<PathBuf, Failure> {
        self.arguments
            .free_from_os_str(to_path)
            .map_err(usage(ARGUMENT))
    }

    /// Refuses arguments that nobody has read.
    pub fn finish(self) -> Result<(), Failure> {
        match self.arguments.finish().into_iter().next() {
            None => Ok(()),
            Some(argument) => Err(unexpected(&argument)),
        }
    }
}

fn to_path(text: &std::ffi::OsStr) -> Result<PathBuf, std::convert::Infallible> {
    Ok(PathBuf::from(text))
}

fn unexpected(argument: &OsString) -> Failure {
    Failure::usage(UsageError::Unexpected {
        argument: argument.to_string_lossy().into_owned(),
    })
}

fn usage(name: &'static str) -> impl FnOnce(pico_args::Error) -> Failure {
    move |reason| Failure::usage(UsageError::Option { name, reason })
}
