//! Claims in replica groups under drawn faults and while the log is away.

use havenstage_history::event::EventBody;
use havenstage_node::settings::ClaimStore;
use havenstage_simulator::deployment::Deployment;
use havenstage_simulator::faults::schedule::{Fault, Schedule, ScheduledFault};
use havenstage_simulator::scenario::Scenario;
use havenstage_simulator::search::run::{RunOptions, RunOutcome, run_seed};
use havenstage_simulator::world::log::LogFault;

fn run(seed: u64, deployment: Deployment, schedule: Option<Schedule>) -> RunOutcome {
    let mut scenario = Scenario::new(deployment);
    scenario.world.node.claim_store = ClaimStore::Replicas;
    let options = RunOptions {
        scenario: Some(scenario),
        schedule,
    };
    run_seed(seed, deployment, &options).expect("the run can be set up")
}

#[test]
fn no_promise_is_broken_under_drawn_faults() {
    for deployment in Deployment::ALL {
        for seed in 1_000..1_004 {
            let outcome = run(seed, deployment, None);
            assert_eq!(outcome.violations, [], "{deployment} seed {seed}");
        }
    }
}

/// The log falls silent; a node dies meanwhile.
fn outage() -> Schedule {
    let log_down = ScheduledFault {
        number: 1,
        at_ms: 5_000,
        duration_ms: 35_000,
        fault: Fault::Log {
            how: LogFault::Silent,
        },
    };
    let node_dies = ScheduledFault {
        number: 2,
        at_ms: 18_000,
        duration_ms: 10_000,
        fault: Fault::KillNode { machine: 0 },
    };
    Schedule {
        faults: vec![log_down, node_dies],
    }
}

#[test]
fn no_claim_is_refused_for_want_of_the_log() {
    let outcome = run(1, Deployment::PoValley, Some(outage()));
    assert_eq!(outcome.violations, []);
    let refused = outcome.events.iter().filter(|event| match &event.body {
        EventBody::CallRefused(refused) => refused.code.is("log_away"),
        _ => false,
    });
    assert_eq!(refused.count(), 0);
}
