//! A schedule of faults: plain data that can be written down, replayed and shrunk.

use std::collections::BTreeMap;
use std::fmt;

use havenstage_types::ids::Zone;
use serde::{Deserialize, Serialize};

use crate::world::log::LogFault;

/// All faults of one run.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Schedule {
    /// Faults, in the order in which they were drawn.
    pub faults: Vec<ScheduledFault>,
}

/// One fault with its times.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// Its number in the history.
    pub number: u64,
    /// When it begins, in milliseconds after the load has begun.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub duration_ms: u64,
    /// What is done.
    pub fault: Fault,
}

/// What can be done to a world.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A node process is killed; the machine starts another one at the end.
    KillNode {
        /// Its machine.
        machine: usize,
    },
    /// A node process is frozen and wakes at the end.
    FreezeNode {
        /// Its machine.
        machine: usize,
    },
    /// A node is stopped in good order; the machine starts another one at the end, or as soon as
    /// the old one has exited.
    StopNode {
        /// Its machine.
        machine: usize,
    },
    /// Two zones cannot reach each other.
    CutZones {
        /// One zone.
        one: Zone,
        /// The other.
        other: Zone,
    },
    /// What one zone sends does not reach the other.
    CutZonesOneWay {
        /// Zone that is not heard.
        from: Zone,
        /// Zone that does not hear.
        to: Zone,
    },
    /// A zone is cut off from all other zones.
    IsolateZone {
        /// The zone.
        zone: Zone,
    },
    /// A zone is cut off from all other zones and from the platform.
    IsolateZoneFromAll {
        /// The zone.
        zone: Zone,
    },
    /// A zone does not reach the platform.
    CutZoneFromPlatform {
        /// The zone.
        zone: Zone,
    },
    /// A node is cut off from other nodes, the engines and the platform.
    IsolateNode {
        /// Its machine.
        machine: usize,
    },
    /// What a node sends reaches no other node, but it hears them.
    MuteNode {
        /// Its machine.
        machine: usize,
    },
    /// The log service fails.
    Log {
        /// In which way.
        how: LogFault,
    },
    /// Messages between nodes are lost, doubled and late.
    UnreliableNetwork {
        /// Share of datagrams lost, in percent.
        loss_percent: u8,
        /// Share of datagrams that come twice, in percent.
        duplication_percent: u8,
        /// Largest delay of a message, in milliseconds.
        delay_ms: u64,
    },
    /// An engine process dies and starts again at the end.
    CrashEngine {
        /// Its number.
        engine: usize,
    },
    /// An engine takes requests but does not answer.
    StallEngine {
        /// Its number.
        engine: usize,
    },
    /// An engine computes slowly.
    SlowEngine {
        /// Its number.
        engine: usize,
        /// Factor on its computing time.
        factor: u32,
    },
    /// Version swaps of an engine fail.
    FailSwaps {
        /// Its number.
        engine: usize,
    },
    /// An engine says that it leaves; at the end a new process takes its place.
    EngineLeaves {
        /// Its number.
        engine: usize,
    },
    /// The machine list shows an engine's machine as leaving.
    MachineLeaves {
        /// Number of the engine.
        engine: usize,
    },
    /// An operator drains an engine and takes that back at the end.
    DrainEngine {
        /// Its number.
        engine: usize,
    },
    /// Operators race each other with changes to the same resources.
    RacingOperators {
        /// How many.
        operators: u32,
        /// Mean time between the changes of one, in milliseconds.
        mean_interval_ms: u64,
    },
    /// The weight store does not answer.
    WeightStoreDown,
    /// The scorer does not answer.
    ScorerDown,
    /// The machine list does not answer.
    MachineListDown,
}

impl Fault {
    /// Kind of the fault, for counting.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::KillNode { .. } => "kill node",
            Self::FreezeNode { .. } => "freeze node",
            Self::StopNode { .. } => "planned stop",
            Self::CutZones { .. } => "cut zones",
            Self::CutZonesOneWay { .. } => "cut zones one way",
            Self::IsolateZone { .. } => "isolate zone",
            Self::IsolateZoneFromAll { .. } => "isolate zone, platform too",
            Self::CutZoneFromPlatform { .. } => "cut zone from platform",
            Self::IsolateNode { .. } => "isolate node",
            Self::MuteNode { .. } => "mute node",
            Self::Log { how } => log_kind(*how),
            Self::UnreliableNetwork { .. } => "unreliable network",
            Self::CrashEngine { .. } => "crash engine",
            Self::StallEngine { .. } => "stall engine",
            Self::SlowEngine { .. } => "slow engine",
            Self::FailSwaps { .. } => "fail swaps",
            Self::EngineLeaves { .. } => "engine leaves",
            Self::MachineLeaves { .. } => "machine list: leaving",
            Self::DrainEngine { .. } => "drain engine",
            Self::RacingOperators { .. } => "racing operators",
            Self::WeightStoreDown => "weight store down",
            Self::ScorerDown => "scorer down",
            Self::MachineListDown => "machine list down",
        }
    }
}

fn log_kind(how: LogFault) -> &'static str {
    match how {
        LogFault::Refusing | LogFault::Unavailable | LogFault::Silent => "log down",
        LogFault::Slow(_) => "log slow",
        LogFault::AnswersLost(_) => "log answers lost",
    }
}

impl Schedule {
    /// Number of faults of each kind.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        let mut counts = BTreeMap::new();
        for scheduled in &self.faults {
            *counts.entry(scheduled.fault.kind()).or_default() += 1;
        }
        counts
    }

    /// The schedule without the fault at `index`.
    pub fn without(&self, index: usize) -> Self {
        let mut faults = self.faults.clone();
        faults.remove(index);
        Self { faults }
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut ordered: Vec<_> = self.faults.iter().collect();
        ordered.sort_by_key(|scheduled| scheduled.at_ms);
        for scheduled in ordered {
            writeln!(
                formatter,
                "  at {:>6} ms for {:>6} ms: {:?}",
                scheduled.at_ms, scheduled.duration_ms, scheduled.fault
            )?;
        }
        Ok(())
    }
}
