//! Bounds of a store in memory.

use std::time::Duration;

use thiserror::Error;

/// Bounds of a store in memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryStoreSettings {
    /// Time for which records of the log are kept at least, and removals of names in directories.
    pub retention: Duration,
    /// Most bytes of records that one read answers; a larger record is answered by itself.
    pub read_page_bytes: usize,
    /// Most entries in one page of a listing.
    pub listing_page_entries: usize,
    /// Most bytes of records that the log holds; appends beyond them are refused.
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

/// A bound that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{key} is {value}, allowed is {allowed}")]
pub struct InvalidStoreSetting {
    /// The setting.
    pub key: &'static str,
    /// Its value.
    pub value: String,
    /// What is allowed.
    pub allowed: &'static str,
}

impl MemoryStoreSettings {
    /// Checks every bound against its range.
    pub fn validate(&self) -> Result<(), InvalidStoreSetting> {
        if self.retention.is_zero() {
            return Err(InvalidStoreSetting {
                key: "retention",
                value: format!("{:?}", self.retention),
                allowed: "more than no time",
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
