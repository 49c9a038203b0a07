//! Searches seeds from the command line: `search DEPLOYMENT FIRST END THREADS [SHRINK_RUNS]`.

use havenstage_simulator::deployment::Deployment;
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
    let options = SearchOptions {
        threads: number(3, 4) as usize,
        shrink_runs: number(4, 60) as u32,
        ..SearchOptions::default()
    };
    let seeds = number(1, 0)..number(2, 10);
    let report = search(seeds, deployment, &options, &|progress| {
        if progress.done % 20 == 0 {
            eprintln!(
                "{}/{} ({} failed)",
                progress.done, progress.total, progress.failures
            );
        }
    });
    print!("{report}");
}
