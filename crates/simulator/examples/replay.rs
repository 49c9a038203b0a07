//! Runs one seed, or one regression file, and prints its history and the nodes' log:
//! `replay DEPLOYMENT SEED` or `replay FILE`.

use havenstage_history::file::HistoryWriter;
use havenstage_simulator::search::Failure;
use havenstage_simulator::search::run::{RunOptions, run_seed};
use log::{LevelFilter, Log, Metadata, Record};

struct StderrLog;

impl Log for StderrLog {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        eprintln!("{} {}", record.target(), record.args());
    }

    fn flush(&self) {}
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if log::set_logger(&StderrLog).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
    let Some((deployment, seed, options)) = what_to_run(&arguments) else {
        eprintln!("usage: replay DEPLOYMENT SEED, or replay FILE");
        return;
    };
    match run_seed(seed, deployment, &options) {
        Ok(outcome) => {
            let mut writer = HistoryWriter::new(std::io::stdout().lock());
            for event in &outcome.events {
                if writer.write(event).is_err() {
                    return;
                }
            }
            eprint!("{}", outcome.schedule);
            for violation in &outcome.violations {
                eprintln!("BROKEN {violation}");
            }
        }
        Err(error) => eprintln!("not run: {error}"),
    }
}

fn what_to_run(
    arguments: &[String],
) -> Option<(
    havenstage_simulator::deployment::Deployment,
    u64,
    RunOptions,
)> {
    if let [deployment, seed] = arguments {
        let options = RunOptions::default();
        return Some((deployment.parse().ok()?, seed.parse().ok()?, options));
    }
    let text = std::fs::read_to_string(arguments.first()?).ok()?;
    let failure: Failure = serde_json::from_str(&text).ok()?;
    let options = RunOptions {
        schedule: Some(failure.schedule),
        ..RunOptions::default()
    };
    Some((failure.deployment, failure.seed, options))
}
