//! Short stand-ins for texts and token sequences, so that histories of long runs stay small.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Hash of a text, a token sequence or a configuration value. Equal contents have equal
/// fingerprints; different contents have different ones but for a chance of about 2^-64.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Fingerprint of a text.
    pub fn of_text(text: &str) -> Self {
        Self(xxh3_64(text.as_bytes()))
    }

    /// Fingerprint of a token sequence.
    pub fn of_tokens(tokens: &[u32]) -> Self {
        let mut hasher = Xxh3::new();
        for token in tokens {
            hasher.update(&token.to_le_bytes());
        }
        Self(hasher.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
