//! Settings of the HTTP interface.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Limits of the HTTP interface.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HttpApiSettings {
    /// Largest request body in bytes.
    pub max_body_bytes: u64,
    /// Bytes of all request bodies that are held at a time.
    pub max_held_body_bytes: u64,
    /// Most connections at a time; half of the descriptors of the process if that is less.
    pub max_connections: u64,
    /// Longest wait of a long poll in milliseconds; a longer one asked for is cut to this.
    pub max_wait_ms: u64,
    /// Longest deadline a caller may ask for in milliseconds.
    pub max_deadline_ms: u64,
    /// Tokens generated at most for a request that names no limit.
    pub default_max_tokens: u32,
    /// Highest limit on generated tokens that a request may name.
    pub max_tokens_limit: u32,
    /// Most samples handed to a trainer in one batch.
    pub max_batch_samples: u64,
}

impl Default for HttpApiSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            max_held_body_bytes: 64 * 1024 * 1024,
            max_connections: 8_192,
            max_wait_ms: 30_000,
            max_deadline_ms: 3_600_000,
            default_max_tokens: 256,
            max_tokens_limit: 32_768,
            max_batch_samples: 256,
        }
    }
}

/// A setting of the HTTP interface outside its allowed range.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{key} is {value}, allowed: {lowest} to {highest}")]
pub struct InvalidHttpSetting {
    /// Key in the settings file.
    pub key: &'static str,
    /// Value given.
    pub value: u64,
    /// Lowest value allowed.
    pub lowest: u64,
    /// Highest value allowed.
    pub highest: u64,
}

impl HttpApiSettings {
    /// Checks every value against its allowed range.
    pub fn validate(&self) -> Result<(), InvalidHttpSetting> {
        let default_max_tokens = u64::from(self.default_max_tokens);
        let max_tokens_limit = u64::from(self.max_tokens_limit);
        let ranges = [
            ("max_body_bytes", self.max_body_bytes, 1_024, 1 << 30),
            (
                "max_held_body_bytes",
                self.max_held_body_bytes,
                // Large bodies leave a part of the memory to small ones.
                self.max_body_bytes.saturating_mul(2),
                1 << 40,
            ),
            ("max_connections", self.max_connections, 1, 1 << 20),
            ("max_wait_ms", self.max_wait_ms, 1, 600_000),
            ("max_deadline_ms", self.max_deadline_ms, 10, 86_400_000),
            ("max_tokens_limit", max_tokens_limit, 1, 1 << 24),
            (
                "default_max_tokens",
                default_max_tokens,
                1,
                max_tokens_limit,
            ),
            ("max_batch_samples", self.max_batch_samples, 1, 65_536),
        ];
        for (key, value, lowest, highest) in ranges {
            if value < lowest || value > highest {
                return Err(InvalidHttpSetting {
                    key,
                    value,
                    lowest,
                    highest,
                });
            }
        }
        Ok(())
    }

    /// The wait a client asked for, cut to [`Self::max_wait_ms`].
    pub fn wait(&self, asked_ms: Option<u64>) -> Duration {
        Duration::from_millis(asked_ms.unwrap_or(0).min(self.max_wait_ms))
    }
}
