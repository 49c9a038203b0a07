//! Searches seeds from the command line:
//! `search DEPLOYMENT FIRST END THREADS [SHRINK_RUNS [DIRECTORY]]`. Failures are written into the
//! directory, in the form of the regression files.

use std::path::Path;

use havenstage_simulator::deployment::Deployment;
use havenstage_simulator::search::{Failure, SearchOptions, search};

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
    if let Some(directory) = arguments.get(5) {
        for failure in &report.failures {
            write(Path::new(directory), failure);
        }
    }
}

fn write(directory: &Path, failure: &Failure) {
    let name = format!("{}-{}.json", failure.deployment, failure.seed);
    let written = serde_json::to_string_pretty(failure)
        .map_err(std::io::Error::other)
        .and_then(|text| std::fs::write(directory.join(name), text + "\n"));
    if let Err(error) = written {
        eprintln!("a failure cannot be written: {error}");
    }
}
