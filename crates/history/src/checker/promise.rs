//! The nine promises.

use std::fmt;

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// Every sample and answer names the weight versions that produced it.
    TrueVersions,
    /// No sample is built on a version older than the bound.
    StalenessBound,
    /// Every sample reaches the trainer exactly once.
    ExactlyOnce,
    /// Every caller receives the whole answer to its own request.
    WholeAnswer,
    /// A request refused as "not run" did not run.
    NotRunIsTrue,
    /// A request marked as not repeatable runs at most once.
    AtMostOnce,
    /// A leaving back end receives no new work after the grace time.
    LeavingBackEnd,
    /// A planned stop cuts off no request in flight.
    PlannedStop,
    /// An accepted configuration is in force everywhere in time and never reverts.
    ConfigInForce,
}

impl Promise {
    /// All promises, in the order of the users' list.
    pub const ALL: [Self; 9] = [
        Self::TrueVersions,
        Self::StalenessBound,
        Self::ExactlyOnce,
        Self::WholeAnswer,
        Self::NotRunIsTrue,
        Self::AtMostOnce,
        Self::LeavingBackEnd,
        Self::PlannedStop,
        Self::ConfigInForce,
    ];
}

impl fmt::Display for Promise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TrueVersions => "true versions",
            Self::StalenessBound => "staleness bound",
            Self::ExactlyOnce => "exactly once to the trainer",
            Self::WholeAnswer => "whole answer to its own request",
            Self::NotRunIsTrue => "\"not run\" is true",
            Self::AtMostOnce => "at most once",
            Self::LeavingBackEnd => "no new work for a leaving back end",
            Self::PlannedStop => "planned stop cuts off nothing",
            Self::ConfigInForce => "configuration in force everywhere",
        })
    }
}
