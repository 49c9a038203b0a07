//! Reads experiment files, each laid over the one it names as its base.

use std::fs;
use std::path::Path;

use toml::{Table, Value};

use super::error::ExperimentError;
use super::settings::Experiment;

/// Key by which a file names the one it is laid over.
const BASE_KEY: &str = "base";

/// Files in a chain of bases, at most.
const MAX_BASES: u32 = 8;

impl Experiment {
    /// Reads an experiment file. A file may name another one as its `base`, relative to itself, and
    /// then holds only what differs; tables are merged, lists replaced.
    ///
    /// # Errors
    /// When a file cannot be read, or is not a valid experiment.
    pub fn read(path: &Path) -> Result<Self, ExperimentError> {
        let parse_error = |source| ExperimentError::Parse {
            path: path.to_owned(),
            source: Box::new(source),
        };
        let table = read_table(path, MAX_BASES)?;
        let experiment: Self = table.try_into().map_err(parse_error)?;
        experiment.validate()?;
        Ok(experiment)
    }
}

/// The table of a file laid over that of its base.
fn read_table(path: &Path, bases_left: u32) -> Result<Table, ExperimentError> {
    let text = fs::read_to_string(path).map_err(|source| ExperimentError::File {
        path: path.to_owned(),
        source,
    })?;
    let mut own: Table = toml::from_str(&text).map_err(|source| ExperimentError::Parse {
        path: path.to_owned(),
        source: Box::new(source),
    })?;
    let Some(base) = own.remove(BASE_KEY) else {
        return Ok(own);
    };
    let base = base.as_str().unwrap_or_default().to_owned();
    if bases_left == 0 {
        return Err(ExperimentError::OutOfRange {
            setting: BASE_KEY,
            value: base,
            allowed: "a chain of at most 8 files",
        });
    }
    let base_path = path.parent().unwrap_or(Path::new(".")).join(base);
    let mut merged = read_table(&base_path, bases_left - 1)?;
    lay_over(&mut merged, own);
    Ok(merged)
}

fn lay_over(base: &mut Table, own: Table) {
    for (key, value) in own {
        match (base.get_mut(&key), value) {
            (Some(Value::Table(below)), Value::Table(above)) => lay_over(below, above),
            (_, value) => {
                base.insert(key, value);
            }
        }
    }
}
