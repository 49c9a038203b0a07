//! Shrinks a failing schedule: drops one fault after the other as long as the failure stays.

use std::collections::BTreeSet;

use super::run::{RunOptions, RunOutcome, ViolationKind, run_seed};
use crate::deployment::Deployment;
use crate::faults::schedule::Schedule;

/// The smallest schedule found within `runs` runs that still breaks one of the same things.
pub fn shrink(
    deployment: Deployment,
    outcome: &RunOutcome,
    options: &RunOptions,
    runs: u32,
) -> Schedule {
    let mut shrinking = Shrinking {
        deployment,
        seed: outcome.seed,
        options: options.clone(),
        broken: kinds(outcome),
        runs_left: runs,
    };
    let mut smallest = outcome.schedule.clone();
    while let Some(smaller) = shrinking.drop_one(&smallest) {
        smallest = smaller;
    }
    smallest
}

struct Shrinking {
    deployment: Deployment,
    seed: u64,
    options: RunOptions,
    broken: BTreeSet<ViolationKind>,
    runs_left: u32,
}

impl Shrinking {
    fn drop_one(&mut self, schedule: &Schedule) -> Option<Schedule> {
        (0..schedule.faults.len())
            .rev()
            .map(|index| schedule.without(index))
            .find(|smaller| self.still_breaks(smaller))
    }

    fn still_breaks(&mut self, schedule: &Schedule) -> bool {
        if self.runs_left == 0 {
            return false;
        }
        self.runs_left -= 1;
        self.options.schedule = Some(schedule.clone());
        let outcome = run_seed(self.seed, self.deployment, &self.options);
        outcome.is_ok_and(|outcome| !kinds(&outcome).is_disjoint(&self.broken))
    }
}

fn kinds(outcome: &RunOutcome) -> BTreeSet<ViolationKind> {
    let violations = outcome.violations.iter();
    violations.map(|violation| violation.kind).collect()
}
