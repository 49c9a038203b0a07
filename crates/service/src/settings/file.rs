//! Reads a TOML file into typed settings, with errors that name the file, the key and the value.

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use thiserror::Error;

use super::{InvalidServeSetting, ServeSettings};

/// Why a settings file cannot be read or parsed.
#[derive(Debug, Error)]
pub enum SettingsFileError {
    /// The file could not be read.
    #[error("{}: cannot be read", file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not TOML.
    #[error("{}: not TOML: {reason}", file.display())]
    NotToml {
        /// Path of the file.
        file: PathBuf,
        /// Error of the parser, with the line.
        reason: String,
    },
    /// A key is unknown or missing, or its value has the wrong type.
    #[error("{}: key {key}: {reason}", file.display())]
    WrongKey {
        /// Path of the file.
        file: PathBuf,
        /// Path of the key within the file.
        key: String,
        /// Error of the parser, with the value and what is allowed.
        reason: String,
    },
}

/// Why the settings of `serve` cannot be used.
#[derive(Debug, Error)]
pub enum ServeSettingsError {
    /// The file cannot be read or parsed.
    #[error(transparent)]
    File(#[from] SettingsFileError),
    /// A value is not allowed. The message names the file, and its source names the key and the value.
    #[error("{}", file.display())]
    NotAllowed {
        /// Path of the file.
        file: PathBuf,
        /// Key, value and what is allowed.
        source: InvalidServeSetting,
    },
}

/// Reads a file into settings of any type. Only the keys and the types of the values are checked.
pub fn read_file<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsFileError> {
    let text = std::fs::read_to_string(file).map_err(|source| SettingsFileError::Unreadable {
        file: file.to_owned(),
        source,
    })?;
    let document =
        toml::Deserializer::parse(&text).map_err(|error| SettingsFileError::NotToml {
            file: file.to_owned(),
            reason: error.to_string().trim_end().to_owned(),
        })?;
    serde_path_to_error::deserialize(document).map_err(|error| SettingsFileError::WrongKey {
        file: file.to_owned(),
        key: error.path().to_string(),
        reason: error.inner().message().to_owned(),
    })
}

/// Reads and validates the settings of `serve`.
pub fn read(file: &Path) -> Result<ServeSettings, ServeSettingsError> {
    let settings: ServeSettings = read_file(file)?;
    let checked = settings.validate();
    checked.map_err(|source| ServeSettingsError::NotAllowed {
        file: file.to_owned(),
        source,
    })?;
    Ok(settings)
}
