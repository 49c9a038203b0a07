//! Settings of an in-memory store.

use std::time::Duration;

use thiserror::Error;

/// Retention, page sizes and size limit of an in-memory store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryStoreSettings {
    /// Minimum time for which records of the log and removals from directories are retained.
    pub retention: Duration,
    /// Maximum size of the records that one read returns, in bytes; a larger record is returned alone.
    pub read_page_bytes: usize,
    /// Maximum number of entries in one page of a listing.
    pub listing_page_entries: usize,
    /// Maximum total size of the records in the log, in bytes; appends that exceed it are rejected.
    pub most_bytes: usize,
}

impl Default for MemoryStoreSettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(300),
            read_page_bytes: 256 * 1024,
            listing_page_entries: 500,
            most_bytes: 256 * 1024 * 1024,
        }
    }
}

/// Error: a setting is out of range.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("setting {key} is {value}, but must be {allowed}")]
pub struct InvalidStoreSetting {
    /// Field of [`MemoryStoreSettings`] that is out of range.
    pub key: &'static str,
    /// The rejected value, formatted.
    pub value: String,
    /// Allowed range, in words.
    pub allowed: &'static str,
}

impl MemoryStoreSettings {
    /// Checks that every setting is in its range; returns the first one that isn't.
    pub fn validate(&self) -> Result<(), InvalidStoreSetting> {
        if self.retention.is_zero() {
            return Err(InvalidStoreSetting {
                key: "retention",
                value: format!("{:?}", self.retention),
                allowed: "longer than zero",
            });
        }
        let counts = [
            ("read_page_bytes", self.read_page_bytes),
            ("listing_page_entries", self.listing_page_entries),
            ("most_bytes", self.most_bytes),
        ];
        match counts.into_iter().find(|(_, value)| *value == 0) {
            Some((key, value)) => Err(InvalidStoreSetting {
                key,
                value: value.to_string(),
                allowed: "at least 1",
            }),
            None => Ok(()),
        }
    }
}
