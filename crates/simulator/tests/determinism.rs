//! A seed is a run: running it twice gives the same history, byte for byte.

use havenstage_history::file::HistoryWriter;
use havenstage_simulator::deployment::Deployment;
use havenstage_simulator::search::run::{RunOptions, run_seed};

const SEED: u64 = 41;

fn history() -> Vec<u8> {
    let options = RunOptions::default();
    let outcome = run_seed(SEED, Deployment::Cobrasur, &options).expect("the run can be set up");
    assert!(
        outcome.schedule.faults.len() > 3,
        "the seed must have faults"
    );
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
