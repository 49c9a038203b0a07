//! What the tests share: a short scenario and schedules written by hand.

use std::time::Duration;

use havenstage_node::mechanisms::Mechanisms;
use havenstage_simulator::deployment::Deployment;
use havenstage_simulator::faults::schedule::{Fault, Schedule, ScheduledFault};
use havenstage_simulator::scenario::Scenario;
use havenstage_simulator::search::run::{RunOptions, RunOutcome, run_seed};

/// A scenario of a third of the usual length with one node in each zone.
pub fn short_scenario(deployment: Deployment) -> Scenario {
    let mut scenario = Scenario::new(deployment);
    scenario.world.nodes_per_zone = 1;
    scenario.load_time = Duration::from_secs(15);
    scenario.drain_time = Duration::from_secs(120);
    scenario.job.steps = 3;
    scenario.job.spec.steps = Some(3);
    scenario
}

/// A schedule of faults given as begin and duration, in milliseconds, and what is done.
pub fn schedule(faults: impl IntoIterator<Item = (u64, u64, Fault)>) -> Schedule {
    let numbered = faults.into_iter().enumerate();
    let faults = numbered.map(|(index, (at_ms, duration_ms, fault))| ScheduledFault {
        number: index as u64 + 1,
        at_ms,
        duration_ms,
        fault,
    });
    Schedule {
        faults: faults.collect(),
    }
}

/// Runs a scenario under a schedule with the mechanisms given.
pub fn run(
    seed: u64,
    mut scenario: Scenario,
    schedule: Schedule,
    mechanisms: Mechanisms,
) -> RunOutcome {
    scenario.world.mechanisms = mechanisms;
    let options = RunOptions {
        scenario: Some(scenario),
        schedule: Some(schedule),
    };
    run_seed(seed, Deployment::Cobrasur, &options).expect("the run can be set up")
}
