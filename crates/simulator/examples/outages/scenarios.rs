//! The faults of each scenario.

use std::time::Duration;

use havenstage_simulator::deployment::Deployment;
use havenstage_simulator::faults::schedule::{Fault, Schedule, ScheduledFault};
use havenstage_simulator::world::log::LogFault;

/// Part of an outage after which a second fault comes.
const SECOND_FAULT_AFTER: u32 = 3;

/// Time by which a zone is cut off before the log fails, so that groups have moved.
const CUT_BEFORE: Duration = Duration::from_secs(25);

/// An outage of the log and what comes with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageScenario {
    Down,
    Slow,
    AnswersLost,
    LeaderDies,
    ZoneCut,
    ZoneCutFirst,
}

impl OutageScenario {
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "down" => Some(Self::Down),
            "slow" => Some(Self::Slow),
            "answers-lost" => Some(Self::AnswersLost),
            "leader-dies" => Some(Self::LeaderDies),
            "zone-cut" => Some(Self::ZoneCut),
            "zone-cut-first" => Some(Self::ZoneCutFirst),
            _ => None,
        }
    }

    /// The faults, the log's from `from` for `outage`.
    pub fn schedule(self, deployment: Deployment, from: Duration, outage: Duration) -> Schedule {
        let how = match self {
            Self::Slow => LogFault::Slow(2_000),
            Self::AnswersLost => LogFault::AnswersLost(50),
            _ => LogFault::Silent,
        };
        let mut faults = vec![fault(1, from, outage, Fault::Log { how })];
        let second_at = from + outage / SECOND_FAULT_AFTER;
        let rest = from + outage - second_at;
        let zone = deployment.settings().zones[0].clone();
        match self {
            Self::Down | Self::Slow | Self::AnswersLost => {}
            Self::LeaderDies => {
                // Every machine leads some of the partitions' groups.
                faults.push(fault(2, second_at, rest, Fault::KillNode { machine: 0 }));
            }
            Self::ZoneCut => {
                faults.push(fault(2, second_at, rest, Fault::IsolateZone { zone }));
            }
            Self::ZoneCutFirst => {
                let cut_at = from - CUT_BEFORE;
                let cut = Fault::IsolateZone { zone };
                faults.push(fault(2, cut_at, CUT_BEFORE + outage, cut));
            }
        }
        Schedule { faults }
    }
}

fn fault(number: u64, at: Duration, duration: Duration, fault: Fault) -> ScheduledFault {
    ScheduledFault {
        number,
        at_ms: at.as_millis() as u64,
        duration_ms: duration.as_millis() as u64,
        fault,
    }
}
