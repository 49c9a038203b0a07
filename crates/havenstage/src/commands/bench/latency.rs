//! `havenstage bench latency`: what a node adds to a request, and how many it serves.

use std::fs;
use std::path::Path;

use anyhow::Context;
use havenstage_bench::latency::{
    LatencyError, LatencyReport, LatencySettings, NodeProcesses, Targets, run_against,
    run_in_process,
};
use havenstage_types::ids::PoolName;

use crate::arguments::CommandLine;
use crate::commands::print;
use crate::exit::Failure;

/// Runs the command.
pub fn run(mut line: CommandLine) -> Result<(), Failure> {
    let settings = read_settings(&mut line)?;
    let json = line.path("--json")?;
    let running = read_running(&mut line)?;
    line.finish()?;
    let report = match running {
        Some((targets, processes)) => run_against(&settings, &targets, processes),
        None => run_in_process(&settings),
    };
    let report = report.map_err(failure)?;
    if let Some(path) = json {
        write_json(&path, &report)?;
    }
    print(&report.to_string())
}

fn failure(error: LatencyError) -> Failure {
    match error {
        LatencyError::Settings(error) => Failure::usage(error),
        other => Failure::from(other),
    }
}

fn read_settings(line: &mut CommandLine) -> Result<LatencySettings, Failure> {
    let default = LatencySettings::default();
    Ok(LatencySettings {
        seconds: line.option("--seconds")?.unwrap_or(default.seconds),
        latency_rounds: line.option("--rounds")?.unwrap_or(default.latency_rounds),
        latency_connections: line
            .option("--latency-connections")?
            .unwrap_or(default.latency_connections),
        throughput_connections: line
            .option("--connections")?
            .unwrap_or(default.throughput_connections),
        ..default
    })
}

/// Services that run already, when `--engine` names one.
fn read_running(line: &mut CommandLine) -> Result<Option<(Targets, NodeProcesses)>, Failure> {
    let Some(engine) = line.option("--engine")? else {
        return Ok(None);
    };
    let pool: String = line.required_option("--pool")?;
    let targets = Targets {
        engine,
        home: line.required_option("--home")?,
        front: line.required_option("--front")?,
        pool: PoolName(pool),
    };
    let processes = NodeProcesses {
        home: line.option("--home-process")?,
        front: line.option("--front-process")?,
    };
    Ok(Some((targets, processes)))
}

fn write_json(path: &Path, report: &LatencyReport) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(report)?;
    fs::write(path, text + "\n").with_context(|| path.display().to_string())?;
    Ok(())
}
