//! The mechanisms that keep the promises, each with a switch for the simulator. A test turns one
//! off and shows that its promise then breaks under a fault; in service all are on.

/// Which mechanisms work. Only [`crate::node::Node::with_mechanisms`] takes anything but the
/// default, and only the simulator may call it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Versions are taken from every chunk, not from the first one alone. Keeps: every sample and
    /// answer names the versions that produced it.
    pub version_of_every_chunk: bool,
    /// The staleness bound holds at admission, while a sample runs and at its commit. Keeps: no
    /// sample is built on a version older than the bound.
    pub staleness_bound: bool,
    /// The first commit for a slot fills it and later ones do not count. Keeps: every sample
    /// reaches the trainer exactly once.
    pub first_commit_counts: bool,
    /// Only an engine's finishing chunk makes an answer whole. Keeps: every caller receives the
    /// whole answer.
    pub finishing_chunk: bool,
    /// An engine that broke off before its answer began may have run the request. Keeps: what is
    /// called "not run" did not run.
    pub doubt_is_told: bool,
    /// A not-repeatable request is claimed in the log and the claim read back. Keeps: it runs at
    /// most once.
    pub claims: bool,
    /// Homes heed the operator's, the machine list's and the engine's word of leaving. Keeps: a
    /// leaving back end gets no new work.
    pub leaving_is_heeded: bool,
    /// A planned stop waits for what is in flight. Keeps: it cuts nothing off.
    pub stop_waits: bool,
    /// A node whose configuration may be stale refuses new work. Keeps: an accepted configuration
    /// is in force everywhere.
    pub freshness: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            version_of_every_chunk: true,
            staleness_bound: true,
            first_commit_counts: true,
            finishing_chunk: true,
            doubt_is_told: true,
            claims: true,
            leaving_is_heeded: true,
            stop_waits: true,
            freshness: true,
        }
    }
}
