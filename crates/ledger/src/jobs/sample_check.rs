//! Checks that the version segments of a sample cover all its tokens.

use havenstage_types::ids::VersionNumber;
use havenstage_types::job::Sample;

/// Oldest and newest version that produced tokens of a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct VersionRange {
    pub(super) oldest: VersionNumber,
    pub(super) newest: VersionNumber,
}

/// Returns the oldest and the newest version of a sample, or `None` when it has no tokens or its
/// segments are empty, overlap, leave gaps or do not cover exactly its tokens.
pub(super) fn version_range(sample: &Sample) -> Option<VersionRange> {
    let mut covered_tokens: u64 = 0;
    for segment in &sample.segments.0 {
        if segment.token_count == 0 || u64::from(segment.first_token) != covered_tokens {
            return None;
        }
        covered_tokens += u64::from(segment.token_count);
    }
    if covered_tokens != sample.tokens.len() as u64 {
        return None;
    }
    let versions = sample.segments.0.iter().map(|segment| segment.version);
    Some(VersionRange {
        oldest: versions.clone().min()?,
        newest: versions.max()?,
    })
}
