//! Every failure that a search has found stays mended. Each file holds the seed, the shrunk faults
//! and what was broken at the time.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Mutex;

use havenstage_simulator::search::Failure;
use havenstage_simulator::search::run::{RunOptions, run_seed};

fn regressions() -> Vec<(PathBuf, Failure)> {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/regressions");
    let entries = fs::read_dir(directory).expect("the directory is there");
    let mut paths: Vec<PathBuf> = entries
        .map(|entry| entry.expect("the directory can be read").path())
        .collect();
    paths.sort();
    let read = |path: PathBuf| {
        let text = fs::read_to_string(&path).expect("the file can be read");
        let failure = serde_json::from_str(&text).expect("the file is a failure");
        (path, failure)
    };
    paths.into_iter().map(read).collect()
}

fn replay(path: &Path, failure: &Failure) -> Result<(), String> {
    let options = RunOptions {
        schedule: Some(failure.schedule.clone()),
        ..RunOptions::default()
    };
    let outcome = run_seed(failure.seed, failure.deployment, &options)
        .map_err(|error| format!("{}: {error}", path.display()))?;
    if outcome.violations.is_empty() {
        return Ok(());
    }
    Err(format!("{}: {:#?}", path.display(), outcome.violations))
}

#[test]
fn every_failure_found_stays_mended() {
    let regressions = regressions();
    assert!(!regressions.is_empty());
    let queue = Mutex::new(regressions.into_iter());
    let broken = Mutex::new(Vec::new());
    let next = || queue.lock().expect("no thread panics").next();
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while let Some((path, failure)) = next() {
                    if let Err(what) = replay(&path, &failure) {
                        broken.lock().expect("no thread panics").push(what);
                    }
                }
            });
        }
    });
    let broken = broken.into_inner().expect("no thread panics");
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
