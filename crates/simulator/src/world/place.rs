//! Places that messages go between, and sides of a cut.

use havenstage_types::ids::Zone;
use serde::{Deserialize, Serialize};

/// A machine, or a service that is no machine of ours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Place {
    /// The machine of a node, by its number.
    Node(usize),
    /// The machine of an engine, by its number.
    Engine(usize),
    /// All services of the platform.
    Platform,
    /// All callers, trainers and operators.
    Clients,
}

/// One side of a cut.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// Every machine in a zone.
    Zone(Zone),
    /// One place.
    Place(Place),
}

/// A cut: what one side sends does not reach the other. A cut in both directions is two of them.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cut {
    /// Side whose messages are held up.
    pub from: Side,
    /// Side that they do not reach.
    pub to: Side,
}

impl Cut {
    /// Both directions between two sides.
    pub fn both_ways(one: Side, other: Side) -> [Cut; 2] {
        let there = Cut {
            from: one.clone(),
            to: other.clone(),
        };
        let back = Cut {
            from: other,
            to: one,
        };
        [there, back]
    }
}
