//! Searches seeds with claims in replica groups, under the usual drawn faults:
//! `claim_search DEPLOYMENT FIRST END THREADS [log|replicas]`.

use havenstage_node::settings::ClaimStore;
use havenstage_simulator::deployment::Deployment;
use havenstage_simulator::scenario::Scenario;
use havenstage_simulator::search::run::RunOptions;
use havenstage_simulator::search::{SearchOptions, search};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize, default: u64| {
        let text = arguments.get(index);
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let deployment: Deployment = arguments
        .first()
        .and_then(|name| name.parse().ok())
        .unwrap_or(Deployment::Cobrasur);
    let mut scenario = Scenario::new(deployment);
    scenario.world.node.claim_store = match arguments.get(4).map(String::as_str) {
        Some("log") => ClaimStore::Log,
        _ => ClaimStore::Replicas,
    };
    let options = SearchOptions {
        run: RunOptions {
            scenario: Some(scenario),
            schedule: None,
        },
        threads: number(3, 4) as usize,
        shrink_runs: 30,
    };
    let seeds = number(1, 0)..number(2, 10);
    let report = search(seeds, deployment, &options, &|progress| {
        eprintln!(
            "{}/{} ({} failed)",
            progress.done, progress.total, progress.failures
        );
    });
    print!("{report}");
}
