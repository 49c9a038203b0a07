//! The number of descriptors that a process may open.

use nix::sys::resource::{Resource, getrlimit};

/// Assumed if the operating system does not tell.
const DEFAULT_DESCRIPTORS: usize = 1_024;

/// Number of descriptors that this process may have open, by the limit of the operating system.
pub fn max_descriptors() -> usize {
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map(|(soft, _)| soft);
    limit
        .ok()
        .and_then(|soft| usize::try_from(soft).ok())
        .unwrap_or(DEFAULT_DESCRIPTORS)
}
