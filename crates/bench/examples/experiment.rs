//! Runs experiment files and prints their tables.

use std::path::Path;

use havenstage_bench::experiment::{self, Experiment, ExperimentError, table};

fn main() -> Result<(), ExperimentError> {
    for path in std::env::args().skip(1) {
        let experiment = Experiment::read(Path::new(&path))?;
        println!("{}", table::tables(&experiment::run(&experiment)?));
    }
    Ok(())
}
