//! What the operating system says about this process: memory, and processor time by thread name.

use std::fs;
use std::time::Duration;

use super::error::ScaleError;

const BYTES_PER_KIB: u64 = 1_024;

/// Processor time of some threads since they started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ThreadTime {
    /// Time on a processor.
    pub running: Duration,
    /// Time ready to run, waiting for a processor.
    pub waiting: Duration,
}

impl ThreadTime {
    /// What was added since `earlier`.
    pub fn since(self, earlier: ThreadTime) -> ThreadTime {
        ThreadTime {
            running: self.running.saturating_sub(earlier.running),
            waiting: self.waiting.saturating_sub(earlier.waiting),
        }
    }
}

/// Processor time of all threads of this process whose name starts with `prefix`.
pub fn time_of_threads(prefix: &str) -> Result<ThreadTime, ScaleError> {
    let mut total = ThreadTime::default();
    for entry in fs::read_dir("/proc/self/task")? {
        let task = entry?.path();
        // A thread may end while the list is read.
        let Ok(name) = fs::read_to_string(task.join("comm")) else {
            continue;
        };
        if !name.starts_with(prefix) {
            continue;
        }
        let Ok(times) = fs::read_to_string(task.join("schedstat")) else {
            continue;
        };
        let mut nanoseconds = times.split_ascii_whitespace().map(str::parse::<u64>);
        let (Some(Ok(running)), Some(Ok(waiting))) = (nanoseconds.next(), nanoseconds.next())
        else {
            return Err(ScaleError::UnreadableProcFile);
        };
        total.running += Duration::from_nanos(running);
        total.waiting += Duration::from_nanos(waiting);
    }
    Ok(total)
}

/// Resident memory of this process in bytes.
pub fn resident_bytes() -> Result<u64, ScaleError> {
    let status = fs::read_to_string("/proc/self/status")?;
    let kib = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|value| value.split_ascii_whitespace().next())
        .and_then(|value| value.parse::<u64>().ok())
        .ok_or(ScaleError::UnreadableProcFile)?;
    Ok(kib * BYTES_PER_KIB)
}
