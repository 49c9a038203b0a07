//! Drives the scale run from the command line.
//!
//! `scale [--size NODES:ENGINES]... [--phases a,b] [--set key=value]... [--json FILE]`
//! `scale --join FILE...` joins the reports of several runs.

use std::fs;
use std::process::ExitCode;

use havenstage_bench::scale::{self, ClusterSize, Phase, ScaleReport, ScaleSettings};

fn main() -> ExitCode {
    match run(std::env::args().skip(1).collect()) {
        Ok(report) => {
            println!("{}", scale::render(&report));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("scale: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: Vec<String>) -> Result<ScaleReport, Box<dyn std::error::Error>> {
    if arguments.first().is_some_and(|first| first == "--join") {
        let reports: Result<Vec<ScaleReport>, _> = arguments[1..].iter().map(read).collect();
        return ScaleReport::joined(reports?).ok_or_else(|| "no report given".into());
    }
    let mut settings = toml::Table::new();
    let mut sizes = Vec::new();
    let mut phases: Vec<Phase> = Phase::ALL.to_vec();
    let mut json = None;
    let mut arguments = arguments.into_iter();
    while let Some(name) = arguments.next() {
        let value = arguments.next().ok_or("an option lacks its value")?;
        match name.as_str() {
            "--size" => sizes.push(size(&value)?),
            "--phases" => phases = self::phases(&value)?,
            "--set" => settings.extend(toml::from_str::<toml::Table>(&value)?),
            "--json" => json = Some(value),
            _ => return Err(format!("unknown option {name}").into()),
        }
    }
    let mut settings: ScaleSettings = settings.try_into()?;
    settings.phases = phases;
    if !sizes.is_empty() {
        settings.sizes = sizes;
    }
    let report = scale::run(&settings, |progress| eprintln!("{progress:?}"))?;
    if let Some(path) = json {
        fs::write(path, serde_json::to_string_pretty(&report)?)?;
    }
    Ok(report)
}

fn read(path: &String) -> Result<ScaleReport, Box<dyn std::error::Error>> {
    Ok(serde_json::from_str(&fs::read_to_string(path)?)?)
}

fn size(value: &str) -> Result<ClusterSize, Box<dyn std::error::Error>> {
    let (nodes, engines) = value.split_once(':').ok_or("a size is NODES:ENGINES")?;
    Ok(ClusterSize {
        nodes: nodes.parse()?,
        engines: engines.parse()?,
    })
}

fn phases(value: &str) -> Result<Vec<Phase>, Box<dyn std::error::Error>> {
    let names = value.split(',').map(str::to_owned);
    let names = names.map(serde_json::Value::String);
    Ok(names
        .map(serde_json::from_value)
        .collect::<Result<_, _>>()?)
}
