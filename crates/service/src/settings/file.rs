//! Reading the settings file.

use std::path::{Path, PathBuf};

use thiserror::Error;

use super::{InvalidServeSetting, ServeSettings};

/// Settings that cannot be used.
#[derive(Debug, Error)]
pub enum ServeSettingsError {
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
    /// A value is not allowed.
    #[error("{}", file.display())]
    NotAllowed {
        /// The file.
        file: PathBuf,
        /// The value, and what is allowed.
        source: InvalidServeSetting,
    },
}

/// Reads and checks a file.
pub fn read(file: &Path) -> Result<ServeSettings, ServeSettingsError> {
    let text = std::fs::read_to_string(file).map_err(|source| ServeSettingsError::Unreadable {
        file: file.to_owned(),
        source,
    })?;
    parse(file, &text)
}

/// Reads and checks a text; `file` is only named in errors.
pub fn parse(file: &Path, text: &str) -> Result<ServeSettings, ServeSettingsError> {
    let document =
        toml::Deserializer::parse(text).map_err(|error| ServeSettingsError::NotToml {
            file: file.to_owned(),
            reason: error.to_string().trim_end().to_owned(),
        })?;
    let settings: ServeSettings = serde_path_to_error::deserialize(document).map_err(|error| {
        ServeSettingsError::WrongKey {
            file: file.to_owned(),
            key: error.path().to_string(),
            reason: error.inner().message().to_owned(),
        }
    })?;
    let checked = settings.validate();
    checked.map_err(|source| ServeSettingsError::NotAllowed {
        file: file.to_owned(),
        source,
    })?;
    Ok(settings)
}
