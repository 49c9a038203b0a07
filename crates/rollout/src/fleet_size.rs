//! How many machines there are, told by a few of them: a sketch of the smallest hashes (k minimum values).
//!
//! The load that this answers: all machines start at once, and each said so in the one partition that all read.
//! 985 announcements take 3.9 s of it, and signs of life wait behind them. Now a machine announces itself only if
//! its hash is among the smallest that are known, and waits in proportion to its hash first, so that the smallest
//! are there before the others look. The announcements do not grow with the fleet: 64 to 80 among 60, 1,000 and
//! 2,000 machines (`tests/fleet_size.rs`).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::MachineName;

/// Machines in the sketch. Its estimate is off by some 13 % (one over the root of this), far less than the pace of
/// reads must know it by.
pub const SKETCH_MACHINES: usize = 64;
/// Time after a start by which the machine with the largest hash has announced itself. Among 2,000 machines those in
/// the sketch take 0.5 s then, twice what the users' store needs for them (4 ms each).
pub const ANNOUNCE_SPREAD: Duration = Duration::from_secs(16);
/// Time that an announcement takes to be read, at most as long as nothing is known that would slow reads down.
const READ_LAG: Duration = Duration::from_millis(100);
/// Machines that are assumed while nobody has said anything: a pace that a fleet of hundreds can bear until the
/// first announcements are there, a few milliseconds after all have started.
const UNKNOWN_FLEET: usize = 300;
/// More machines are not assumed from a few small hashes.
const LARGEST_FLEET: usize = 5_000;

/// The machines that announced themselves.
#[derive(Debug, Clone, Default)]
pub struct FleetSize {
    machines: BTreeSet<MachineName>,
    /// The machines with the smallest hashes.
    smallest: BTreeMap<u64, MachineName>,
}

fn hash(machine: &MachineName) -> u64 {
    xxh3_64(machine.as_str().as_bytes())
}

/// The share of all hashes that are not larger.
fn share(hash: u64) -> f64 {
    (hash as f64 + 1.0) / u64::MAX as f64
}

impl FleetSize {
    /// A machine announced itself.
    pub fn record_announcement(&mut self, machine: MachineName) {
        self.smallest.insert(hash(&machine), machine.clone());
        if self.smallest.len() > SKETCH_MACHINES {
            self.smallest.pop_last();
        }
        self.machines.insert(machine);
    }

    /// All machines that announced themselves.
    pub fn machines(&self) -> &BTreeSet<MachineName> {
        &self.machines
    }

    /// How many machines there are, about: never fewer than announced themselves. `read_for` is how long ago all
    /// announcements were read for the first time: a fleet that started then has announced itself up to a certain
    /// hash since, and one that started before further than that.
    pub fn estimate(&self, read_for: Duration) -> usize {
        let largest = self.smallest.last_key_value();
        let known_share = largest.map_or(0.0, |(largest, _)| share(*largest));
        let (count, known_share) = match self.smallest.len() {
            // The k-th smallest of n hashes lies at k in n + 1, so one fewer than k lie below it.
            SKETCH_MACHINES => (SKETCH_MACHINES - 1, known_share),
            count => (count.max(1), known_share.max(announced_share(read_for))),
        };
        if known_share == 0.0 {
            return UNKNOWN_FLEET;
        }
        let estimate = (count as f64 / known_share) as usize;
        estimate.clamp(self.machines.len(), self.machines.len().max(LARGEST_FLEET))
    }

    /// Whether the announcement of a machine would tell anything: it is not known, and its hash is among the
    /// smallest.
    pub fn is_wanted(&self, machine: &MachineName) -> bool {
        if self.machines.contains(machine) {
            return false;
        }
        let largest = self.smallest.last_key_value();
        self.smallest.len() < SKETCH_MACHINES
            || largest.is_some_and(|(largest, _)| hash(machine) < *largest)
    }
}

/// The share of all machines that have announced themselves so long after they started.
fn announced_share(since_start: Duration) -> f64 {
    let announced = since_start.saturating_sub(READ_LAG);
    (announced.as_secs_f64() / ANNOUNCE_SPREAD.as_secs_f64()).min(1.0)
}

/// Time after its start at which a machine looks whether it has to announce itself.
pub fn announce_delay(machine: &MachineName) -> Duration {
    ANNOUNCE_SPREAD.mul_f64(share(hash(machine)).min(1.0))
}
