//! Which weight versions produced which tokens.

use serde::{Deserialize, Serialize};

use crate::ids::VersionNumber;

/// A run of consecutive tokens that one weight version produced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSegment {
    /// Version the engine named for these tokens.
    pub version: VersionNumber,
    /// Index of the first token in the answer.
    pub first_token: u32,
    /// Number of tokens in the run.
    pub token_count: u32,
}

/// Version segments of one answer, in token order and without gaps.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VersionSegments(pub Vec<VersionSegment>);

impl VersionSegments {
    /// Adds `token_count` tokens that `version` produced, joining them to the last segment when
    /// that has the same version.
    pub fn push(&mut self, version: VersionNumber, token_count: u32) {
        if token_count == 0 {
            return;
        }
        match self.0.last_mut() {
            Some(last) if last.version == version => last.token_count += token_count,
            _ => {
                let first_token = self.token_count();
                self.0.push(VersionSegment {
                    version,
                    first_token,
                    token_count,
                });
            }
        }
    }

    /// Number of tokens covered.
    pub fn token_count(&self) -> u32 {
        self.0
            .last()
            .map_or(0, |last| last.first_token + last.token_count)
    }

    /// The oldest version among the segments, or `None` when there is no token yet.
    pub fn oldest(&self) -> Option<VersionNumber> {
        self.0.iter().map(|segment| segment.version).min()
    }
}
