//! Reading a TOML file into typed settings, with errors that name file, key and value.

use std::io;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why settings were refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: cannot be read", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// The file is not TOML.
    #[error("{}: not TOML: {reason}", file.display())]
    NotToml {
        /// The file.
        file: PathBuf,
        /// What the parser said, with the line.
        reason: String,
    },
    /// A key is unknown, or its value is of the wrong kind.
    #[error("{}: key {key}: {reason}", file.display())]
    WrongKey {
        /// The file.
        file: PathBuf,
        /// Path of the key.
        key: String,
        /// What the parser said, with the value and what is allowed.
        reason: String,
    },
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

/// Reads a file.
pub fn read<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(file).map_err(|source| SettingsError::Unreadable {
        file: file.to_owned(),
        source,
    })?;
    let document = toml::Deserializer::parse(&text).map_err(|error| SettingsError::NotToml {
        file: file.to_owned(),
        reason: error.to_string().trim_end().to_owned(),
    })?;
    serde_path_to_error::deserialize(document).map_err(|error| SettingsError::WrongKey {
        file: file.to_owned(),
        key: error.path().to_string(),
        reason: error.inner().message().to_owned(),
    })
}

/// Reads a file if there is one, and else takes the defaults.
pub fn read_or_default<T: DeserializeOwned + Default>(
    file: Option<&Path>,
) -> Result<T, SettingsError> {
    file.map_or_else(|| Ok(T::default()), read)
}

/// How errors name the place settings come from.
pub fn origin(file: Option<&Path>) -> String {
    file.map_or_else(|| "settings".to_owned(), |file| file.display().to_string())
}
