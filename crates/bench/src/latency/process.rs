//! CPU time, memory and load of the machine, as the kernel tells them under `/proc`.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Bytes of a page, as `/proc/PID/statm` counts memory. True of the platforms served.
const PAGE_BYTES: u64 = 4_096;

/// What cannot be read.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file has another form than the kernel's documentation says.
    #[error("{path} has an unknown form")]
    Malformed {
        /// The file.
        path: PathBuf,
    },
}

/// Load averages of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct MachineLoad {
    /// Over one minute.
    pub one_minute: f64,
    /// Over five minutes.
    pub five_minutes: f64,
}

impl MachineLoad {
    /// The load now.
    pub fn read() -> Result<Self, ProcessError> {
        let path = Path::new("/proc/loadavg");
        let fields = fields(path)?;
        Ok(Self {
            one_minute: number(path, &fields, 0)?,
            five_minutes: number(path, &fields, 1)?,
        })
    }
}

/// Measures the CPU time of a node.
#[derive(Debug, Clone)]
pub(super) struct CpuMeter {
    source: Source,
}

#[derive(Debug, Clone)]
enum Source {
    /// Threads of this process whose name begins so.
    Threads(&'static str),
    /// All threads of another process.
    Process(u32),
    /// Nothing is known of the node.
    Nothing,
}

impl CpuMeter {
    /// Threads of this process whose name begins with `prefix`.
    pub(super) fn of_threads(prefix: &'static str) -> Self {
        let source = Source::Threads(prefix);
        Self { source }
    }

    /// A whole process.
    pub(super) fn of_process(process: Option<u32>) -> Self {
        let source = process.map_or(Source::Nothing, Source::Process);
        Self { source }
    }

    /// CPU time used until now; `None` when nothing is known of the node.
    pub(super) fn used(&self) -> Result<Option<Duration>, ProcessError> {
        let (tasks, prefix) = match self.source {
            Source::Threads(prefix) => (PathBuf::from("/proc/self/task"), prefix),
            Source::Process(id) => (PathBuf::from(format!("/proc/{id}/task")), ""),
            Source::Nothing => return Ok(None),
        };
        let entries = fs::read_dir(&tasks).map_err(unreadable(&tasks))?;
        let mut used = Duration::ZERO;
        for entry in entries {
            let task = entry.map_err(unreadable(&tasks))?.path();
            used += time_of_task(&task, prefix).unwrap_or_default();
        }
        Ok(Some(used))
    }

    /// Resident memory of the node's process in bytes; `None` when the node shares this process.
    pub(super) fn resident_bytes(&self) -> Result<Option<u64>, ProcessError> {
        let Source::Process(id) = self.source else {
            return Ok(None);
        };
        let path = PathBuf::from(format!("/proc/{id}/statm"));
        let pages: u64 = number(&path, &fields(&path)?, 1)?;
        Ok(Some(pages * PAGE_BYTES))
    }
}

/// CPU time of one task if its name begins with `prefix`; nothing when it has ended meanwhile.
fn time_of_task(task: &Path, prefix: &str) -> Option<Duration> {
    let name = fs::read_to_string(task.join("comm")).ok()?;
    if !name.starts_with(prefix) {
        return None;
    }
    let path = task.join("schedstat");
    let nanoseconds = number(&path, &fields(&path).ok()?, 0).ok()?;
    Some(Duration::from_nanos(nanoseconds))
}

fn fields(path: &Path) -> Result<Vec<String>, ProcessError> {
    let text = fs::read_to_string(path).map_err(unreadable(path))?;
    Ok(text.split_whitespace().map(str::to_owned).collect())
}

fn number<T: std::str::FromStr>(
    path: &Path,
    fields: &[String],
    index: usize,
) -> Result<T, ProcessError> {
    fields
        .get(index)
        .and_then(|field| field.parse().ok())
        .ok_or_else(|| ProcessError::Malformed {
            path: path.to_owned(),
        })
}

fn unreadable(path: &Path) -> impl FnOnce(io::Error) -> ProcessError {
    let path = path.to_owned();
    move |source| ProcessError::Unreadable { path, source }
}
