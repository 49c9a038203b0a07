//! Measures outages of the log with claims in the log alone and in replica groups, on the same
//! seeds: `outages SCENARIO DEPLOYMENT FIRST_SEED END_SEED [SECONDS]`, `outages latency`, or
//! `outages traffic`.
//!
//! Scenarios: `down`, `slow`, `answers-lost`, `leader-dies`, `zone-cut`, `zone-cut-first`.

mod latency;
mod measure;
mod scenarios;
mod traffic;

use std::time::Duration;

use havenstage_node::settings::ClaimStore;
use havenstage_simulator::deployment::Deployment;
use measure::Figures;
use scenarios::OutageScenario;

const STORES: [ClaimStore; 2] = [ClaimStore::Log, ClaimStore::Replicas];

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |index: usize| arguments.get(index).map_or("", String::as_str);
    if argument(0) == "latency" {
        latency::print();
        return;
    }
    if argument(0) == "traffic" {
        traffic::print();
        return;
    }
    let (Some(scenario), Ok(deployment)) = (
        OutageScenario::parse(argument(0)),
        argument(1).parse::<Deployment>(),
    ) else {
        eprintln!("usage: outages SCENARIO DEPLOYMENT FIRST_SEED END_SEED [SECONDS]");
        return;
    };
    let first = argument(2).parse().unwrap_or(0);
    let end = argument(3).parse().unwrap_or(1);
    let outage = Duration::from_secs(argument(4).parse().unwrap_or(60));
    println!(
        "{deployment}, {} for {} s, seeds {first}..{end}",
        argument(0),
        outage.as_secs()
    );
    println!("{}", Figures::HEADER);
    for store in STORES {
        let mut sum = Figures::default();
        for seed in first..end {
            match measure::run(seed, deployment, store, scenario, outage) {
                Ok(figures) => sum.add(&figures),
                Err(error) => eprintln!("seed {seed}: {error}"),
            }
        }
        println!("{}", sum.row(store));
    }
}
