//! The error that every settings struct of this crate reports from `validate`.

use thiserror::Error;

/// A setting is outside its allowed range.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{setting} is {value}, allowed: {allowed}")]
pub struct InvalidSetting {
    /// Name of the setting.
    pub setting: &'static str,
    /// Value given.
    pub value: String,
    /// Allowed range.
    pub allowed: &'static str,
}

impl InvalidSetting {
    /// Reports `setting` unless `holds`.
    pub(crate) fn unless(
        holds: bool,
        setting: &'static str,
        value: impl ToString,
        allowed: &'static str,
    ) -> Result<(), Self> {
        if holds {
            return Ok(());
        }
        Err(Self {
            setting,
            value: value.to_string(),
            allowed,
        })
    }
}
