//! A seed is a run: running it twice gives the same history, byte for byte.

mod support;

use havenstage_history::file::HistoryWriter;
use havenstage_node::mechanisms::Mechanisms;
use havenstage_simulator::deployment::Deployment;
use havenstage_simulator::faults::generator;
use support::{run, short_scenario};

const SEED: u64 = 41;

fn history() -> Vec<u8> {
    let scenario = short_scenario(Deployment::Cobrasur);
    let schedule = generator::generate(SEED, &scenario.targets());
    assert!(schedule.faults.len() > 3, "the seed must have faults");
    let outcome = run(SEED, scenario, schedule, Mechanisms::default());
    let mut writer = HistoryWriter::new(Vec::new());
    for event in &outcome.events {
        writer.write(event).expect("an event can be written");
    }
    writer.finish().expect("memory can be written")
}

#[test]
fn one_seed_gives_one_history() {
    let first = history();
    let second = history();
    assert!(first.len() > 100_000, "the history must tell of a run");
    assert!(first == second, "the two histories differ");
}
