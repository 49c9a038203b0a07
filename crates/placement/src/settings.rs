//! The error that `validate` returns for every settings struct of this crate.

use thiserror::Error;

/// A setting is outside its allowed range.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{setting} is {value}, allowed: {allowed}")]
pub struct InvalidSetting {
    /// Full name of the setting, for example `retry.ttl`.
    pub setting: &'static str,
    /// The rejected value, formatted for the message.
    pub value: String,
    /// Description of the allowed range.
    pub allowed: &'static str,
}

impl InvalidSetting {
    /// Returns an error for `setting` unless `is_valid`.
    pub(crate) fn unless(
        is_valid: bool,
        setting: &'static str,
        value: impl ToString,
        allowed: &'static str,
    ) -> Result<(), Self> {
        if is_valid {
            return Ok(());
        }
        Err(Self {
            setting,
            value: value.to_string(),
            allowed,
        })
    }
}
