//! Reading a TOML file into typed settings, with errors that name file, key and value.

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use thiserror::Error;

use super::{InvalidServeSetting, ServeSettings};

/// A settings file that cannot be read.
#[derive(Debug, Error)]
pub enum SettingsFileError {
    /// The file could not be read.
    #[error("{}: cannot be read", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: std::io::Error,
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
}

/// Settings of `serve` that cannot be used.
#[derive(Debug, Error)]
pub enum ServeSettingsError {
    /// The file cannot be read.
    #[error(transparent)]
    File(#[from] SettingsFileError),
    /// A value is not allowed.
    #[error("{}", file.display())]
    NotAllowed {
        /// The file.
        file: PathBuf,
        /// The value, and what is allowed.
        source: InvalidServeSetting,
    },
}

/// Reads a file of any settings; nothing but the types of the values is checked.
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

/// Reads and checks the settings of `serve`.
pub fn read(file: &Path) -> Result<ServeSettings, ServeSettingsError> {
    let settings: ServeSettings = read_file(file)?;
    let checked = settings.validate();
    checked.map_err(|source| ServeSettingsError::NotAllowed {
        file: file.to_owned(),
        source,
    })?;
    Ok(settings)
}
