//! Reading a TOML file into typed settings, with errors that name file, key and value.

use std::path::Path;

use havenstage_service::settings::{self, SettingsFileError};
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why settings were refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error(transparent)]
    File(#[from] SettingsFileError),
    /// A value is outside its allowed range.
    #[error("{origin}: key {key} is {value}, allowed: {allowed}")]
    OutOfRange {
        /// The file, or the command line.
        origin: String,
        /// Path of the key.
        key: String,
        /// Value given.
        value: String,
        /// Allowed range.
        allowed: String,
    },
    /// A key that must be set is not.
    #[error("{origin}: key {key} is not set; set it there or with {option}")]
    Missing {
        /// The file, or the command line.
        origin: String,
        /// Path of the key.
        key: &'static str,
        /// Option of the command line that sets it too.
        option: &'static str,
    },
    /// The service refused its settings.
    #[error("{origin}: {reason}")]
    Refused {
        /// The file, or the defaults.
        origin: String,
        /// What the service said.
        reason: String,
    },
}

/// Reads a file if there is one, and else takes the defaults.
pub fn read_or_default<T: DeserializeOwned + Default>(
    file: Option<&Path>,
) -> Result<T, SettingsError> {
    let read = file.map_or_else(|| Ok(T::default()), settings::read_file);
    Ok(read?)
}

/// How errors name the place settings come from.
pub fn origin(file: Option<&Path>) -> String {
    file.map_or_else(|| "settings".to_owned(), |file| file.display().to_string())
}
