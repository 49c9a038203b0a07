//! Draws a schedule from a seed.

use std::time::Duration;

use havenstage_types::ids::Zone;

use super::schedule::{Fault, Schedule, ScheduledFault};
use crate::random::SharedRandom;
use crate::world::log::LogFault;

/// Fewest and most faults of one run, repeats and bursts not counted.
const FAULTS: (u64, u64) = (2, 9);

/// Probability that a fault brings others with it.
const BURST: f64 = 0.2;

/// Most faults that one brings with it.
const BURST_FAULTS: u64 = 3;

/// Longest time within which the faults of a burst begin, in milliseconds.
const BURST_WITHIN_MS: u64 = 3_000;

/// Probability that a fault comes a second time soon after.
const REPEAT: f64 = 0.2;

/// Longest time until a fault comes again, in milliseconds.
const REPEAT_WITHIN_MS: u64 = 8_000;

/// What a schedule may touch.
#[derive(Debug, Clone, PartialEq)]
pub struct Targets {
    /// Number of node machines.
    pub machines: usize,
    /// Number of engines.
    pub engines: usize,
    /// Zones.
    pub zones: Vec<Zone>,
    /// Time in which faults may begin and must end.
    pub horizon: Duration,
}

/// Draws the schedule of a seed.
pub fn generate(seed: u64, targets: &Targets) -> Schedule {
    let random = SharedRandom::new(seed, "faults");
    let mut generator = Generator {
        random,
        targets,
        faults: Vec::new(),
    };
    let count = FAULTS.0 + generator.random.below(FAULTS.1 - FAULTS.0 + 1);
    for _ in 0..count {
        generator.add();
    }
    Schedule {
        faults: generator.faults,
    }
}

struct Generator<'targets> {
    random: SharedRandom,
    targets: &'targets Targets,
    faults: Vec<ScheduledFault>,
}

impl Generator<'_> {
    /// Adds a fault and, now and then, others that begin at about the same time.
    fn add(&mut self) {
        let at_ms = self.random.below(self.horizon_ms());
        self.add_at(at_ms);
        if self.random.chance(BURST) {
            for _ in 0..=self.random.below(BURST_FAULTS) {
                let later_ms = at_ms + self.random.below(BURST_WITHIN_MS);
                self.add_at(later_ms.min(self.horizon_ms() - 1));
            }
        }
    }

    fn horizon_ms(&self) -> u64 {
        u64::try_from(self.targets.horizon.as_millis()).unwrap_or(u64::MAX)
    }

    fn add_at(&mut self, at_ms: u64) {
        let (fault, longest_ms) = self.fault();
        let horizon_ms = self.horizon_ms();
        let duration_ms = self.duration(longest_ms).min(horizon_ms - at_ms);
        self.push(at_ms, duration_ms, fault.clone());
        let again_ms = at_ms + duration_ms + self.random.below(REPEAT_WITHIN_MS);
        if self.random.chance(REPEAT) && again_ms < horizon_ms {
            let duration_ms = self.duration(longest_ms).min(horizon_ms - again_ms);
            self.push(again_ms, duration_ms, fault);
        }
    }

    fn push(&mut self, at_ms: u64, duration_ms: u64, fault: Fault) {
        let number = self.faults.len() as u64 + 1;
        self.faults.push(ScheduledFault {
            number,
            at_ms,
            duration_ms,
            fault,
        });
    }

    /// Short and long durations are about as likely.
    fn duration(&self, longest_ms: u64) -> u64 {
        let shrink = self.random.below(5);
        let longest_ms = (longest_ms >> shrink).max(1);
        longest_ms / 4 + self.random.below(longest_ms)
    }

    /// A fault and the longest time it may last, in milliseconds.
    fn fault(&self) -> (Fault, u64) {
        match self.random.below(31) {
            0..=2 => (
                Fault::KillNode {
                    machine: self.machine(),
                },
                15_000,
            ),
            3..=5 => (
                Fault::FreezeNode {
                    machine: self.machine(),
                },
                25_000,
            ),
            6..=7 => (
                Fault::StopNode {
                    machine: self.machine(),
                },
                10_000,
            ),
            8 => (self.cut(), 20_000),
            9 => (self.one_way_cut(), 20_000),
            10 => (Fault::IsolateZone { zone: self.zone() }, 20_000),
            11 => (Fault::IsolateZoneFromAll { zone: self.zone() }, 25_000),
            12 => (Fault::CutZoneFromPlatform { zone: self.zone() }, 20_000),
            13 => (
                Fault::IsolateNode {
                    machine: self.machine(),
                },
                25_000,
            ),
            14 => (
                Fault::MuteNode {
                    machine: self.machine(),
                },
                20_000,
            ),
            15..=18 => (
                Fault::Log {
                    how: self.log_fault(),
                },
                20_000,
            ),
            19 => (self.unreliable_network(), 20_000),
            20..=21 => (
                Fault::CrashEngine {
                    engine: self.engine(),
                },
                10_000,
            ),
            22 => (
                Fault::StallEngine {
                    engine: self.engine(),
                },
                15_000,
            ),
            23 => (self.slow_engine(), 20_000),
            24 => (
                Fault::FailSwaps {
                    engine: self.engine(),
                },
                20_000,
            ),
            25 => (
                Fault::EngineLeaves {
                    engine: self.engine(),
                },
                20_000,
            ),
            26 => (
                Fault::MachineLeaves {
                    engine: self.engine(),
                },
                25_000,
            ),
            27 => (
                Fault::DrainEngine {
                    engine: self.engine(),
                },
                20_000,
            ),
            28..=29 => (self.racing_operators(), 30_000),
            _ => (self.small_service(), 20_000),
        }
    }

    fn machine(&self) -> usize {
        self.random.below(self.targets.machines as u64) as usize
    }

    fn engine(&self) -> usize {
        self.random.below(self.targets.engines as u64) as usize
    }

    fn zone(&self) -> Zone {
        let index = self.random.below(self.targets.zones.len() as u64);
        self.targets.zones[index as usize].clone()
    }

    fn two_zones(&self) -> (Zone, Zone) {
        let zones = &self.targets.zones;
        let count = zones.len() as u64;
        let one = self.random.below(count);
        let step = 1 + self.random.below(count.saturating_sub(1));
        let other = (one + step) % count;
        (zones[one as usize].clone(), zones[other as usize].clone())
    }

    fn cut(&self) -> Fault {
        let (one, other) = self.two_zones();
        Fault::CutZones { one, other }
    }

    fn one_way_cut(&self) -> Fault {
        let (from, to) = self.two_zones();
        Fault::CutZonesOneWay { from, to }
    }

    fn log_fault(&self) -> LogFault {
        match self.random.below(6) {
            0 => LogFault::Refusing,
            1 => LogFault::Unavailable,
            2 => LogFault::Silent,
            3 => LogFault::Slow(100 + self.random.below(4_000)),
            _ => LogFault::AnswersLost(20 + self.random.below(81) as u8),
        }
    }

    fn unreliable_network(&self) -> Fault {
        Fault::UnreliableNetwork {
            loss_percent: self.random.below(40) as u8,
            duplication_percent: self.random.below(40) as u8,
            delay_ms: self.random.below(500),
        }
    }

    fn slow_engine(&self) -> Fault {
        Fault::SlowEngine {
            engine: self.engine(),
            factor: 2 + self.random.below(19) as u32,
        }
    }

    fn racing_operators(&self) -> Fault {
        Fault::RacingOperators {
            operators: 2 + self.random.below(3) as u32,
            mean_interval_ms: 100 + self.random.below(1_000),
        }
    }

    fn small_service(&self) -> Fault {
        match self.random.below(3) {
            0 => Fault::WeightStoreDown,
            1 => Fault::ScorerDown,
            _ => Fault::MachineListDown,
        }
    }
}
